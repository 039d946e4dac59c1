package runner

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
)

// Limits of the choice of entries.
const (
	// maxLinks is enough to spread uneven load of the entries over all workers. Each link
	// costs processor time on both ends.
	maxLinks = 6
	// seedDelayMS is how long the agent waits for the store's list of entries before it
	// uses the configured seeds. If seeds came first, a few entries would have all the
	// agents and the others none.
	seedDelayMS clock.Millis = 700
	// connectTimeoutMS is how long the agent waits for a link to an entry before it dials
	// the next entry in order as well.
	connectTimeoutMS clock.Millis = 1500
	// unlistedGraceMS is how long an entry is dialed after it was last listed.
	unlistedGraceMS clock.Millis = 30_000
)

// EntrySelector selects the entries that an agent links to. Each agent has its own order
// of the entries (rendezvous hashing), so that agents are spread evenly over them.
type EntrySelector struct {
	// Name is the agent's name, which determines its order of the entries.
	Name string
	// Seeds are the addresses to use if no link is up after seedDelayMS.
	Seeds []string

	startedAt clock.Millis
	// listedAt is when each known address was last listed or linked.
	listedAt map[string]clock.Millis
	// dialedAt is when dialing of an address began.
	dialedAt map[string]clock.Millis
}

// NewEntrySelector returns a selector that has no addresses apart from the seeds.
func NewEntrySelector(name string, seeds []string, now clock.Millis) *EntrySelector {
	return &EntrySelector{Name: name, Seeds: seeds, startedAt: now, listedAt: map[string]clock.Millis{}, dialedAt: map[string]clock.Millis{}}
}

// Add records an address that the store or an entry lists. It ignores an invalid one.
func (s *EntrySelector) Add(address string, now clock.Millis) {
	if link.ValidAddress(address) {
		s.listedAt[address] = now
	}
}

// Remove drops an address whose entry is already linked under another address.
func (s *EntrySelector) Remove(address string) {
	delete(s.dialedAt, address)
	delete(s.listedAt, address)
}

// Select returns the addresses to dial now and those to stop dialing. Existing links are
// kept even if other entries come first in order.
func (s *EntrySelector) Select(linked map[string]bool, now clock.Millis) (dial, stopDialing []string) {
	if len(linked) == 0 && now-s.startedAt > seedDelayMS {
		for _, seed := range s.Seeds {
			if _, known := s.listedAt[seed]; !known {
				s.listedAt[seed] = now
			}
		}
	}
	linkedOrDialing := 0
	for _, address := range s.rankedAddresses() {
		if linkedOrDialing >= maxLinks {
			break
		}
		at, dialing := s.dialedAt[address]
		if !dialing && !linked[address] {
			s.dialedAt[address] = now
			at = now
			dial = append(dial, address)
		}
		if linked[address] || now-at < connectTimeoutMS {
			linkedOrDialing++
		}
	}
	for address, at := range s.listedAt {
		if now-at > unlistedGraceMS && !linked[address] {
			delete(s.listedAt, address)
			delete(s.dialedAt, address)
			stopDialing = append(stopDialing, address)
		}
	}
	for address := range linked {
		if _, known := s.listedAt[address]; known {
			s.listedAt[address] = now
		}
	}
	return dial, stopDialing
}

// rankedAddresses returns the known addresses in the agent's order.
func (s *EntrySelector) rankedAddresses() []string {
	out := make([]string, 0, len(s.listedAt))
	for address := range s.listedAt {
		out = append(out, address)
	}
	sort.Slice(out, func(a, b int) bool { return s.score(out[a]) < s.score(out[b]) })
	return out
}

func (s *EntrySelector) score(address string) uint64 {
	return xxhash.Sum64String(s.Name + "|" + address)
}
