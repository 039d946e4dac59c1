package offer

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Intervals of an agent's offers.
const (
	// ExpiryMS is how long the demand of an entry counts that does not renew it.
	ExpiryMS clock.Millis = 250
	// offerMS is how long an entry has to use an offer before the next entry gets one. A report
	// and the launch that answers it take 4 ms.
	offerMS clock.Millis = 8
)

// Book holds the demands that an agent knows and decides to which entry the free capacity is
// offered next.
type Book struct {
	// demands is keyed by the incarnation of the entry.
	demands map[string]*entryDemand
	// offeredTo is the entry that has an offer, and offeredAt when it got it; offeredTo is empty
	// while no offer is outstanding.
	offeredTo string
	offeredAt clock.Millis
	// free is the free capacity at the last call of Next.
	free jobs.Size
}

// entryDemand is the demand of one entry.
type entryDemand struct {
	demand Demand
	// at is when the demand was received.
	at clock.Millis
	// offered is set once an offer was made for the demand. It is cleared when more capacity
	// becomes free.
	offered bool
}

// NewBook returns a book without demands.
func NewBook() *Book {
	return &Book{demands: map[string]*entryDemand{}}
}

// Waiting returns the number of entries whose demand is known.
func (b *Book) Waiting() int {
	return len(b.demands)
}

// SetDemand records the demand of an entry. It replaces an earlier demand of that entry.
func (b *Book) SetDemand(entry string, d Demand, now clock.Millis) {
	b.demands[entry] = &entryDemand{demand: d, at: now}
}

// Remove drops the demand of an entry, and its offer if it has one: no job waits there any more,
// or it can't be reached.
func (b *Book) Remove(entry string) {
	delete(b.demands, entry)
	if b.offeredTo == entry {
		b.offeredTo = ""
	}
}

// Launched records that an entry has launched tasks, and reports whether it had an offer, which
// is used then: what is left can be offered to others.
func (b *Book) Launched(entry string) bool {
	if b.offeredTo != entry {
		return false
	}
	b.offeredTo = ""
	return true
}

// HasDemandFor reports whether a job waits at an entry and a task of it fits into the free capacity.
func (b *Book) HasDemandFor(free jobs.Size) bool {
	for _, known := range b.demands {
		if known.demand.Size.FitsIn(free) {
			return true
		}
	}
	return false
}

// Next returns the entry to which the free capacity is offered now, or false if none is.
func (b *Book) Next(free jobs.Size, now clock.Millis) (string, bool) {
	b.expire(now)
	b.recordFree(free)
	if b.offeredTo != "" && now-b.offeredAt < offerMS {
		return "", false
	}
	entry, found := b.first(free)
	b.offeredTo = entry
	if found {
		b.demands[entry].offered = true
		b.offeredAt = now
	}
	return entry, found
}

// Suspend ends the outstanding offer, if there is one. It is called in place of Next while no
// capacity may be offered.
func (b *Book) Suspend(now clock.Millis) {
	b.expire(now)
	b.offeredTo = ""
}

// Due returns when Next has to be called at the latest, or limit if that is earlier.
func (b *Book) Due(limit clock.Millis) clock.Millis {
	if b.offeredTo == "" {
		return limit
	}
	return min(limit, b.offeredAt+offerMS)
}

// expire drops the demands that were not renewed.
func (b *Book) expire(now clock.Millis) {
	for entry, known := range b.demands {
		if now-known.at >= ExpiryMS {
			b.Remove(entry)
		}
	}
}

// recordFree records the free capacity. If more is free than before, each entry may get an offer
// again.
func (b *Book) recordFree(free jobs.Size) {
	if !free.FitsIn(b.free) {
		for _, known := range b.demands {
			known.offered = false
		}
	}
	b.free = free
}

// first returns the entry whose demand goes first among those that fit and got no offer yet.
func (b *Book) first(free jobs.Size) (string, bool) {
	entry, found := "", false
	for e, known := range b.demands {
		if known.offered || !known.demand.Size.FitsIn(free) {
			continue
		}
		if !found || goesFirst(e, known.demand, entry, b.demands[entry].demand) {
			entry, found = e, true
		}
	}
	return entry, found
}

// goesFirst reports whether the demand d of an entry goes before that of another entry. Equal
// demands are ordered by entry.
func goesFirst(entry string, d Demand, otherEntry string, other Demand) bool {
	if d.precedes(other) || other.precedes(d) {
		return d.precedes(other)
	}
	return entry < otherEntry
}
