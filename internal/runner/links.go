package runner

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// entryLink is a linked entry.
type entryLink struct {
	link *link.Link
	// seenLaunch is the number of the newest launch that came over it.
	seenLaunch uint64
	// told is the worker that the entry was told of last.
	told *runs.Worker
}

// askMembers asks the store for entries: often while there is no link.
func (a *Agent) askMembers(ctx context.Context, now clock.Millis) {
	every := membersEveryMS
	if len(a.links) == 0 {
		every = membersAloneMS
	}
	if a.asking || now-a.askedAt < every {
		return
	}
	a.asking, a.askedAt = true, now
	a.calls++
	go func() {
		list, err := a.members.Entries(ctx)
		if err != nil {
			a.log.Warn("entries not read from the store", "error", err.Error())
		}
		a.listed <- list
	}()
}

func (a *Agent) onListed(list []string) {
	a.calls--
	a.asking = false
	for _, address := range list {
		a.entries.Add(address, a.clock.Now())
	}
	a.choose(a.clock.Now())
}

// choose dials the entries that this agent should be linked to.
func (a *Agent) choose(now clock.Millis) {
	linked := map[string]bool{}
	for _, e := range a.links {
		linked[e.link.Peer.Address] = true
	}
	dial, forget := a.entries.Select(linked, now)
	for _, address := range dial {
		a.node.Dial(address)
	}
	for _, address := range forget {
		a.node.StopDialing(address)
	}
}

func (a *Agent) onLink(e link.Event) {
	inc := e.Link.Peer.Incarnation
	switch e.Type {
	case link.Up:
		if a.links[inc] != nil {
			a.node.StopDialing(e.Link.DialedAddress)
			a.entries.Remove(e.Link.DialedAddress)
			e.Link.Close("another link to this entry is up")
			return
		}
		a.links[inc] = &entryLink{link: e.Link}
		a.heard[inc] = a.clock.Now()
		a.log.Info("link up", "peer", e.Link.Peer.Name, "address", e.Link.RemoteAddr().String())
		a.sendInventory(inc, e.Link)
		e.Link.Send(a.roomFrame(a.links[inc]))
	case link.Received:
		if l := a.links[inc]; l != nil && l.link == e.Link {
			a.heard[inc] = a.clock.Now()
			a.onFrame(inc, l, e.Frame)
		}
	case link.Down:
		a.onDown(e)
	}
}

// sendInventory tells an entry what the agent holds for it, and what an earlier
// process beside the worker left.
func (a *Agent) sendInventory(inc string, l *link.Link) {
	held, ends := a.supervisor.EntryConnected(inc)
	running, ended := a.supervisor.Orphans()
	for _, f := range running {
		held = append(held, runs.Run{Ref: f.Ref, Number: f.Number})
	}
	for _, f := range ended {
		ends = append(ends, runs.RunEnd{Ref: f.Ref, Number: f.Number, Outcome: f.Outcome})
	}
	l.Send(inventoryFrame(held, ends))
}

func (a *Agent) onDown(e link.Event) {
	inc := e.Link.Peer.Incarnation
	if l := a.links[inc]; l == nil || l.link != e.Link {
		return
	}
	delete(a.links, inc)
	a.supervisor.EntryDisconnected(inc, a.clock.Now())
	a.log.Info("link down", "peer", e.Link.Peer.Name, "error", errors.Details(e.Err))
}

func (a *Agent) onFrame(inc string, l *entryLink, f *wire.Frame) {
	now := a.clock.Now()
	switch b := f.Body.(type) {
	case *wire.Frame_Launch:
		l.seenLaunch = b.Launch.GetNumber()
		a.supervisor.Launch(runsOf(inc, b.Launch), now)
	case *wire.Frame_Halt:
		job, tasks := haltOf(b.Halt)
		a.supervisor.StopTasks(inc, job, tasks, now)
	case *wire.Frame_Roster:
		for _, h := range b.Roster.GetEntries() {
			if h.GetRegion() == a.settings.Self.Place.Region {
				a.entries.Add(h.GetAddress(), now)
			}
		}
		a.choose(now)
	}
}

// pulse reports the room over links that have carried nothing for a while.
func (a *Agent) pulse() {
	for _, l := range a.links {
		if time.Since(l.link.LastSentAt) >= KeepaliveMS.Duration() {
			l.link.Send(a.roomFrame(l))
		}
	}
}

// tellRoom reports the room to every entry.
func (a *Agent) tellRoom() {
	a.supervisor.Changed, a.supervisor.NotifyNow = false, false
	a.roomAt = a.clock.Now()
	for _, l := range a.links {
		l.link.Send(a.roomFrame(l))
	}
}
