// Package roster tracks which entries are up. Its input is the records of the log and
// the state of links. The package does no I/O.
package roster

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
)

// Member is one entry.
type Member struct {
	Host host.Host `json:"host"`
	// LastSeen is when a log record or a link last proved it alive, by this process's
	// clock.
	LastSeen clock.Millis `json:"seen_at"`
	// Linked is true while a link to it is up.
	Linked bool `json:"linked"`
	// Leaving is set when the entry drains, and never cleared: an entry that returns has
	// a new incarnation.
	Leaving bool `json:"leaving"`
}

// livenessTimeoutMS is how long a member without a link counts as up after LastSeen.
const livenessTimeoutMS = 3 * clock.Second

// Roster holds the known entries by incarnation.
type Roster struct {
	members map[string]*Member
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{members: map[string]*Member{}}
}

// Observe records that an entry is alive and reports whether it is new to the roster.
func (r *Roster) Observe(h host.Host, now clock.Millis) bool {
	m, ok := r.members[h.Incarnation]
	if !ok {
		r.members[h.Incarnation] = &Member{Host: h, LastSeen: now}
		return true
	}
	m.LastSeen = max(m.LastSeen, now)
	return false
}

// SetLinked records whether a link to the member is up. In both cases it updates
// LastSeen, and adds an unknown entry to the roster.
func (r *Roster) SetLinked(h host.Host, linked bool, now clock.Millis) {
	r.Observe(h, now)
	r.members[h.Incarnation].Linked = linked
}

// SetLeaving marks a member as draining.
func (r *Roster) SetLeaving(incarnation string) {
	if m, ok := r.members[incarnation]; ok {
		m.Leaving = true
	}
}

// Get returns the member with the given incarnation, or nil.
func (r *Roster) Get(incarnation string) *Member {
	return r.members[incarnation]
}

// Up returns the members that are up and not leaving, sorted by incarnation.
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

// Expire removes the members that are not up and returns them.
func (r *Roster) Expire(now clock.Millis) []Member {
	var expired []Member
	for id, m := range r.members {
		if !m.alive(now) {
			expired = append(expired, *m)
			delete(r.members, id)
		}
	}
	return expired
}

func (m *Member) alive(now clock.Millis) bool {
	return m.Linked || now-m.LastSeen < livenessTimeoutMS
}
