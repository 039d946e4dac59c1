package runner

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Bounds of the entries that an agent links to.
const (
	// maxEntries is enough to spread the load of uneven entries over all workers;
	// each link costs processor time on both ends.
	maxEntries = 6
	// seedsAfterMS is how long the list on the store may take before the seeds of
	// the settings are used: with the seeds first, a few entries would have all
	// agents and the others none.
	seedsAfterMS clock.Millis = 700
	// reachMS is how long an entry may take to be linked before the next one in
	// order is dialed as well.
	reachMS clock.Millis = 1500
	// unlistedMS is how long an entry is dialed that nobody lists any more.
	unlistedMS clock.Millis = 30_000
)

// EntrySelector chooses which entries an agent links to, in an order of the agent's own
// (rendezvous hashing), so that every entry has its part of the agents.
type EntrySelector struct {
	// Name is the agent's.
	Name string
	// Seeds are used while nothing is listed.
	Seeds []string

	began  clock.Millis
	listed map[string]clock.Millis
	dialed map[string]clock.Millis
}

// NewEntrySelector returns a choice among no entries but the seeds.
func NewEntrySelector(name string, seeds []string, now clock.Millis) *EntrySelector {
	return &EntrySelector{Name: name, Seeds: seeds, began: now, listed: map[string]clock.Millis{}, dialed: map[string]clock.Millis{}}
}

// Add takes an address that the store or an entry names.
func (e *EntrySelector) Add(address string, now clock.Millis) {
	if address != "" {
		e.listed[address] = now
	}
}

// Remove forgets an address under which another link to the same entry is up.
func (e *EntrySelector) Remove(address string) {
	delete(e.dialed, address)
	delete(e.listed, address)
}

// Select returns the addresses to dial now and those to give up. Links that are up
// stay, also when others come first in order.
func (e *EntrySelector) Select(linked map[string]bool, now clock.Millis) (dial, forget []string) {
	if len(linked) == 0 && now-e.began > seedsAfterMS {
		for _, s := range e.Seeds {
			if _, known := e.listed[s]; !known {
				e.listed[s] = now
			}
		}
	}
	good := 0
	for _, address := range e.order() {
		if good >= maxEntries {
			break
		}
		at, dialing := e.dialed[address]
		if !dialing && !linked[address] {
			e.dialed[address] = now
			at = now
			dial = append(dial, address)
		}
		if linked[address] || now-at < reachMS {
			good++
		}
	}
	for address, at := range e.listed {
		if now-at > unlistedMS && !linked[address] {
			delete(e.listed, address)
			delete(e.dialed, address)
			forget = append(forget, address)
		}
	}
	for address := range linked {
		if _, known := e.listed[address]; known {
			e.listed[address] = now
		}
	}
	return dial, forget
}

func (e *EntrySelector) order() []string {
	out := make([]string, 0, len(e.listed))
	for address := range e.listed {
		out = append(out, address)
	}
	sort.Slice(out, func(a, b int) bool { return e.score(out[a]) < e.score(out[b]) })
	return out
}

func (e *EntrySelector) score(address string) uint64 {
	return xxhash.Sum64String(e.Name + "|" + address)
}
