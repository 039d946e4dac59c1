// Package roster decides which entries are up. It is fed with what was read from
// the log and from links, and does no I/O.
package roster

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
)

// Member is one entry.
type Member struct {
	Host host.Host `json:"host"`
	// LastSeen is when a record or link last proved it alive, by this process's clock.
	LastSeen clock.Millis `json:"seen_at"`
	// Linked is true while a link to it is up.
	Linked bool `json:"linked"`
	// Leaving never becomes false again: a returning process is a new incarnation.
	Leaving bool `json:"leaving"`
}

// leaseMS is how long a member counts as up after its last sign of life.
const leaseMS = 3 * clock.Second

// Roster holds the entries that are known, by incarnation.
type Roster struct {
	members map[string]*Member
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{members: map[string]*Member{}}
}

// Observe counts a sign of life. It reports whether the member is new.
func (r *Roster) Observe(h host.Host, now clock.Millis) bool {
	m, ok := r.members[h.Incarnation]
	if !ok {
		r.members[h.Incarnation] = &Member{Host: h, LastSeen: now}
		return true
	}
	m.LastSeen = max(m.LastSeen, now)
	return false
}

// SetLinked tells whether a link to the member is up.
func (r *Roster) SetLinked(h host.Host, linked bool, now clock.Millis) {
	r.Observe(h, now)
	r.members[h.Incarnation].Linked = linked
}

// SetLeaving marks a member that drains.
func (r *Roster) SetLeaving(incarnation string) {
	if m, ok := r.members[incarnation]; ok {
		m.Leaving = true
	}
}

// Get returns a member, or nil.
func (r *Roster) Get(incarnation string) *Member {
	return r.members[incarnation]
}

// Up returns the members that are up and not leaving, by incarnation.
func (r *Roster) Up(now clock.Millis) []Member {
	var up []Member
	for _, m := range r.members {
		if !m.Leaving && m.alive(now) {
			up = append(up, *m)
		}
	}
	sort.Slice(up, func(i, j int) bool { return up[i].Host.Incarnation < up[j].Host.Incarnation })
	return up
}

// Expire forgets members that are not up, and returns them.
func (r *Roster) Expire(now clock.Millis) []Member {
	var gone []Member
	for id, m := range r.members {
		if !m.alive(now) {
			gone = append(gone, *m)
			delete(r.members, id)
		}
	}
	return gone
}

func (m *Member) alive(now clock.Millis) bool {
	return m.Linked || now-m.LastSeen < leaseMS
}
