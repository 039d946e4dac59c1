package runner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/guard"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// entryLink is the link to an entry and what was exchanged on it.
type entryLink struct {
	link *link.Link
	// lastLaunch is the number of the newest launch received on the link.
	lastLaunch uint64
	// reportedRevision is that of the worker's description last reported on the link; zero without one.
	reportedRevision uint64
}

// queryEntries queries the store for the list of entries, more often while there is no link.
func (a *Agent) queryEntries(ctx context.Context, now clock.Millis) {
	interval := roster.ReadInterval(now-a.startedAt, linkedQueryMS)
	if len(a.links) == 0 {
		interval = unlinkedQueryMS
	}
	if a.queryingEntries || now-a.entriesQueriedAt < interval {
		return
	}
	a.queryingEntries, a.entriesQueriedAt = true, now
	a.activeCalls++
	go func() {
		list := entryList{}
		list.err = guard.Call("read the list of entries", func() (err error) {
			list.records, err = a.directory.Entries(ctx)
			return err
		})
		a.entryLists <- list
	}()
}

// entryList is the result of one read of the list of entries.
type entryList struct {
	records []roster.Record
	err     error
}

func (a *Agent) onEntryList(list entryList) {
	a.activeCalls--
	a.queryingEntries = false
	if list.err != nil {
		a.log.Warn("failed to read the entries from the store", "error", list.err.Error())
		return
	}
	now := a.clock.Now()
	live, _ := a.listing.Update(list.records, now)
	for _, address := range live {
		a.selector.Add(address, now)
	}
	a.updateDials(now)
}

// updateDials starts and stops dialing entries as the selector decides. An excess link is
// closed once the agent has no runs of its entry.
func (a *Agent) updateDials(now clock.Millis) {
	a.selectedAt = now
	linked := map[string]bool{}
	unused := map[string]bool{}
	entriesWithRuns := a.supervisor.EntriesWithRuns()
	for incarnation, l := range a.links {
		linked[l.link.Peer.Address] = true
		unused[l.link.Peer.Address] = !entriesWithRuns[incarnation]
	}
	selection := a.selector.Select(linked, now)
	for _, address := range selection.Dial {
		a.node.Dial(address)
	}
	for _, address := range selection.StopDialing {
		a.node.StopDialing(address)
	}
	for _, address := range selection.Excess {
		if unused[address] {
			a.node.StopDialing(address)
			a.selector.DialStopped(address)
		}
	}
}

func (a *Agent) onLinkEvent(e link.Event) {
	entry := e.Link.Peer.Incarnation
	switch e.Type {
	case link.Up:
		if a.links[entry] != nil {
			a.node.StopDialing(e.Link.DialedAddress)
			a.selector.Remove(e.Link.DialedAddress)
			e.Link.Close("another link to this entry is up")
			return
		}
		a.links[entry] = &entryLink{link: e.Link}
		a.log.Info("link up", "peer", e.Link.Peer.Name, "address", e.Link.RemoteAddr().String(), "incarnation", entry)
		a.sendInventory(entry, e.Link)
		e.Link.Send(a.capacityFrame(a.links[entry]))
	case link.Received:
		if l := a.links[entry]; l != nil && l.link == e.Link {
			e.Link.Observe(e.Frame)
			a.recordContact(entry, e.Link)
			a.onFrame(entry, l, e.Frame)
		}
	case link.Down:
		a.onLinkDown(e)
	}
}

// recordContact passes the last proof that an entry was alive on to the supervisor.
func (a *Agent) recordContact(entry string, l *link.Link) {
	if l.ContactAt.IsZero() {
		return
	}
	age := clock.FromDuration(time.Since(l.ContactAt)) + 1 // rounded up
	a.supervisor.RecordContact(entry, a.clock.Now()-age)
}

// sendInventory records that an entry is linked, and reports to it its runs at the agent, the
// ends that it may have missed, and the orphaned runs of an earlier agent process.
func (a *Agent) sendInventory(entry string, l *link.Link) {
	held, ends := a.supervisor.EntryConnected(entry)
	running, ended := a.supervisor.Orphans()
	for _, orphan := range running {
		held = append(held, runs.Run{Ref: orphan.Ref, Number: orphan.Number})
	}
	for _, orphan := range ended {
		ends = append(ends, runs.RunEnd{Ref: orphan.Ref, Number: orphan.Number, Outcome: orphan.Outcome})
	}
	l.Send(inventoryFrame(held, ends))
}

func (a *Agent) onLinkDown(e link.Event) {
	entry := e.Link.Peer.Incarnation
	if l := a.links[entry]; l == nil || l.link != e.Link {
		return
	}
	delete(a.links, entry)
	a.supervisor.EntryDisconnected(entry, a.clock.Now())
	held, atWorker := a.entryRuns(entry)
	a.log.Info("link down", "peer", e.Link.Peer.Name, "incarnation", entry, "held", held, "at_worker", atWorker,
		"contact_ms", a.contactAge(entry), "error", errors.Details(e.Err))
}

func (a *Agent) onFrame(entry string, l *entryLink, f *wire.Frame) {
	now := a.clock.Now()
	switch b := f.Body.(type) {
	case *wire.Frame_Launch:
		l.lastLaunch = b.Launch.GetNumber()
		launched := decodeLaunch(entry, b.Launch, now)
		a.logClaims(launched)
		a.recordLaunch(entry)
		a.supervisor.Launch(launched, now)
	case *wire.Frame_Halt:
		job, tasks := decodeHalt(b.Halt)
		a.supervisor.StopTasks(entry, job, tasks, now)
	case *wire.Frame_Roster:
		for _, h := range b.Roster.GetEntries() {
			if h.GetRegion() == a.settings.Self.Location.Region {
				a.selector.Add(h.GetAddress(), now)
			}
		}
		a.updateDials(now)
	case *wire.Frame_Waiting:
		a.onWaiting(entry, b.Waiting, now)
	case *wire.Frame_ZoneDrains:
		a.onDrains(link.DecodeDrains(b.ZoneDrains), l.link.Peer.Name, now)
	}
}

// onDrains puts a set of drained zones in force if it is newer than the present one. The agent is
// the last to enforce it, since some entries may learn of a drain later.
func (a *Agent) onDrains(d zone.Drains, from string, now clock.Millis) {
	if !d.NewerThan(a.drains) {
		return
	}
	a.drains = d
	drained := d.Contains(a.settings.Self.Location.Zone)
	if drained != a.supervisor.ZoneDrained {
		a.log.Info("drain of the zone in force", "drained", drained, "revision", d.Revision, "from", from, "held", a.supervisor.Held())
	}
	a.supervisor.SetZoneDrained(drained, now)
}

// sendKeepalives reports the capacity on links on which nothing was sent for a while.
func (a *Agent) sendKeepalives() {
	for _, l := range a.links {
		if time.Since(l.link.LastSentAt) >= KeepaliveMS.Duration() {
			l.link.Send(a.capacityFrame(l))
		}
	}
}

// nextKeepalive returns when the next keepalive to an entry with runs is due, or limit if that is
// earlier. The leases of these runs depend on the entry's answers.
func (a *Agent) nextKeepalive(now, limit clock.Millis) clock.Millis {
	due := limit
	for entry := range a.supervisor.EntriesWithRuns() {
		if l := a.links[entry]; l != nil {
			due = min(due, now+KeepaliveMS-clock.FromDuration(time.Since(l.link.LastSentAt)))
		}
	}
	return due
}

// reportCapacity reports the worker's capacity and state to every entry.
func (a *Agent) reportCapacity() {
	a.supervisor.Changed, a.supervisor.NotifyNow = false, false
	a.capacityReportedAt = a.clock.Now()
	for _, l := range a.links {
		l.link.Send(a.capacityFrame(l))
	}
}
