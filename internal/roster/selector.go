package roster

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
)

const (
	// seedDelayMS is how long a process waits for the store's list of entries before it
	// uses the configured seeds. If seeds came first, a few entries would have all the
	// links and the others none.
	seedDelayMS clock.Millis = 700
	// connectTimeoutMS is how long a process waits for a link to an entry before it dials
	// the next entry in order as well.
	connectTimeoutMS clock.Millis = 1500
	// unlistedGraceMS is how long an entry is dialed after it was last listed.
	unlistedGraceMS clock.Millis = 30_000
)

// Selector selects the entries that a process links to. Each process has its own order of
// the entries (rendezvous hashing), so that links are spread evenly over them, and links to
// the first ones. The number of its links does not grow with the number of entries.
type Selector struct {
	// Name is the name of the process, which determines its order of the entries.
	Name string
	// Seeds are the addresses to use if no link is up after seedDelayMS.
	Seeds []string
	// Links is the number of entries to link to.
	Links int
	// MeshSize is the number of known entries up to which the process links to all of them.
	MeshSize int

	startedAt clock.Millis
	// listedAt is when each known address was last listed or linked.
	listedAt map[string]clock.Millis
	// dialedAt is when dialing of an address began.
	dialedAt map[string]clock.Millis
	// ranked holds the known addresses in the order of this process. It is nil when an
	// address was added or removed since it was computed.
	ranked []string
}

// Selection is what changes in the dialed addresses.
type Selection struct {
	// Dial holds the addresses to dial from now on.
	Dial []string
	// StopDialing holds the addresses that are no longer listed.
	StopDialing []string
	// Excess holds the linked addresses that are dialed but no longer among the first in
	// order, while all of those are linked. Their links can be closed once they are unused.
	Excess []string
}

// NewSelector returns a selector that has no addresses apart from the seeds.
func NewSelector(name string, seeds []string, links, meshSize int, now clock.Millis) *Selector {
	return &Selector{Name: name, Seeds: seeds, Links: links, MeshSize: meshSize, startedAt: now,
		listedAt: map[string]clock.Millis{}, dialedAt: map[string]clock.Millis{}}
}

// Add records an address that the store or an entry lists. It ignores an invalid one.
func (s *Selector) Add(address string, now clock.Millis) {
	if !host.ValidAddress(address) {
		return
	}
	if _, known := s.listedAt[address]; !known {
		s.ranked = nil
	}
	s.listedAt[address] = now
}

// Remove drops an address whose entry is already linked under another address.
func (s *Selector) Remove(address string) {
	delete(s.dialedAt, address)
	delete(s.listedAt, address)
	s.ranked = nil
}

// DialStopped records that an address is no longer dialed, for example because its entry is
// linked by a link that the entry dialed.
func (s *Selector) DialStopped(address string) {
	delete(s.dialedAt, address)
}

// Known returns the number of known addresses.
func (s *Selector) Known() int {
	return len(s.listedAt)
}

// Mesh reports whether there are so few entries that each links to all others.
func (s *Selector) Mesh() bool {
	return len(s.listedAt) <= s.MeshSize
}

// Select returns the changes in the dialed addresses. linked holds the addresses of the
// linked entries.
func (s *Selector) Select(linked map[string]bool, now clock.Millis) Selection {
	s.useSeeds(linked, now)
	selection := Selection{StopDialing: s.dropUnlisted(linked, now)}
	wanted := s.Links
	if s.Mesh() {
		wanted = s.MeshSize
	}
	linkedOrDialing, connected := 0, 0
	for _, address := range s.rankedAddresses() {
		at, dialing := s.dialedAt[address]
		if linkedOrDialing >= wanted {
			if dialing && linked[address] && connected >= wanted {
				selection.Excess = append(selection.Excess, address)
			}
			continue
		}
		if !dialing && !linked[address] {
			s.dialedAt[address] = now
			at = now
			selection.Dial = append(selection.Dial, address)
		}
		if linked[address] {
			connected++
		}
		if linked[address] || now-at < connectTimeoutMS {
			linkedOrDialing++
		}
	}
	return selection
}

// useSeeds adds the seeds if no link is up after seedDelayMS.
func (s *Selector) useSeeds(linked map[string]bool, now clock.Millis) {
	if len(linked) > 0 || now-s.startedAt <= seedDelayMS {
		return
	}
	for _, seed := range s.Seeds {
		if _, known := s.listedAt[seed]; !known {
			s.Add(seed, now)
		}
	}
}

// dropUnlisted drops the addresses that were last listed or linked more than unlistedGraceMS
// ago, and returns them.
func (s *Selector) dropUnlisted(linked map[string]bool, now clock.Millis) []string {
	var dropped []string
	for address, at := range s.listedAt {
		switch {
		case linked[address]:
			s.listedAt[address] = now
		case now-at > unlistedGraceMS:
			dropped = append(dropped, address)
		}
	}
	for _, address := range dropped {
		s.Remove(address)
	}
	return dropped
}

// rankedAddresses returns the known addresses in the order of this process.
func (s *Selector) rankedAddresses() []string {
	if s.ranked != nil {
		return s.ranked
	}
	scores := make(map[string]uint64, len(s.listedAt))
	s.ranked = make([]string, 0, len(s.listedAt))
	for address := range s.listedAt {
		scores[address] = xxhash.Sum64String(s.Name + "|" + address)
		s.ranked = append(s.ranked, address)
	}
	sort.Slice(s.ranked, func(a, b int) bool { return scores[s.ranked[a]] < scores[s.ranked[b]] })
	return s.ranked
}
