package sched

import (
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// Entries read the drained zones from the store and pass them on to the linked entries, some of
// which the store may refuse, and to the agents, which don't read the store for them.

// onPublished puts in force what the store has published. The drained zones come first, since
// jobs may be placed once there is a configuration.
func (e *Entry) onPublished(p Published) {
	if p.Drains != nil {
		e.onDrains(*p.Drains, "store")
	}
	if p.Terms != nil {
		e.onTerms(p.Terms, "store")
	}
}

// onDrains puts a set of drained zones in force if it is newer than the present one, and passes
// it on. The set is passed on even if it has the same zones: a process that was told of an older
// revision by another entry may have different ones.
func (e *Entry) onDrains(d zone.Drains, from string) {
	if !d.NewerThan(e.drains) {
		return
	}
	e.log.Info("drained zones in force", "revision", d.Revision, "zones", d.Zones, "from", from)
	e.drains = d
	e.scheduler.SetDrainedZones(d, e.clock.Now())
	f := link.DrainsFrame(d)
	for _, other := range e.linkedEntries {
		other.link.Send(f)
	}
	for _, a := range e.agents {
		a.Send(f)
	}
}

// onDrainsFrame handles the drained zones as known to a linked entry. An entry that knows an
// older revision receives the present one.
func (e *Entry) onDrainsFrame(other *linkedEntry, m *wire.ZoneDrains) {
	d := link.DecodeDrains(m)
	if e.drains.NewerThan(d) {
		e.sendDrains(other.link)
		return
	}
	e.onDrains(d, other.link.Peer.Name)
}

// sendDrains sends the drained zones, if they are known, on a link that has come up.
func (e *Entry) sendDrains(l *link.Link) {
	if e.drains.Revision > 0 {
		l.Send(link.DrainsFrame(e.drains))
	}
}
