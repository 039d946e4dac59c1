// Package route chooses the upstream of a task by predicted finish. It learns speed
// from answers and never takes declared figures for it. The package does no I/O
// and reads no clock.
package route

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Health is the standing of an upstream.
type Health string

// The standings of an upstream.
const (
	HealthGood    Health = "good"
	HealthEjected Health = "ejected"
	// HealthProbing: the ejection ended, and one task at a time tries the upstream.
	HealthProbing Health = "probing"
	HealthLeaving Health = "leaving"
)

// Upstream is one back end as this entry sees it.
type Upstream struct {
	// ID is the incarnation of the agent beside the upstream.
	ID   string `json:"id"`
	Name string `json:"name"`
	// Kinds are the kinds of request that it serves.
	Kinds map[string]bool `json:"kinds"`
	Slots int             `json:"slots"`
	// Window is the most tasks that this entry may have there; at least one.
	Window int `json:"window"`
	// InFlight counts this entry's tasks there; never negative.
	InFlight int `json:"in_flight"`
	// RemoteInFlight is what other entries had there at the last answer; never negative.
	RemoteInFlight int          `json:"others"`
	RoundTrip      clock.Millis `json:"round_trip_ms"`
	Health         Health       `json:"health"`
	// Reason says why Health is not good.
	Reason string `json:"reason,omitempty"`
	// EjectedUntil is the end of an ejection.
	EjectedUntil clock.Millis `json:"until,omitempty"`
	// ConsecutiveFailures counts failures in a row that other upstreams did not share.
	ConsecutiveFailures int                  `json:"failures"`
	Ejections           int                  `json:"ejections"`
	ServiceTime         map[string]*Estimate `json:"service"`
}

// Fleet is all upstreams that an entry has links to.
type Fleet struct {
	upstreams map[string]*Upstream
	// sorted holds the upstreams by id, so that equal choices are stable.
	sorted []*Upstream
	kinds  map[string]*kindRecord
	// turn moves the sample of a long list on.
	turn int
}

// In a fleet of more than sampleFrom upstreams, a decision looks at sampleSize of
// them: the best of a few is near the best of all, at a small part of the cost.
const (
	sampleFrom = 48
	sampleSize = 16
)

// sample returns the upstreams that the next decision looks at. They are ordered by
// random ids, so that neighbours are a random choice.
func (f *Fleet) sample() []*Upstream {
	n := len(f.sorted)
	if n <= sampleFrom {
		return f.sorted
	}
	f.turn = (f.turn + sampleSize) % n
	end := min(f.turn+sampleSize, n)
	return f.sorted[f.turn:end]
}

// kindRecord is what is known of a kind over all upstreams.
type kindRecord struct {
	service  Estimate
	arrivals rate
	// failing is the recent part of tasks of the kind that failed anywhere.
	failing float64
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{upstreams: map[string]*Upstream{}, kinds: map[string]*kindRecord{}}
}

// Add puts an upstream into the fleet; its learned figures start empty.
func (f *Fleet) Add(u Upstream) {
	u.ServiceTime = map[string]*Estimate{}
	if u.Health == "" {
		u.Health = HealthGood
	}
	u.Window = max(1, u.Window)
	f.upstreams[u.ID] = &u
	f.resort()
}

// Remove takes an upstream out.
func (f *Fleet) Remove(id string) {
	delete(f.upstreams, id)
	f.resort()
}

func (f *Fleet) resort() {
	f.sorted = f.sorted[:0]
	for _, u := range f.upstreams {
		f.sorted = append(f.sorted, u)
	}
	sort.Slice(f.sorted, func(i, j int) bool { return f.sorted[i].ID < f.sorted[j].ID })
}

// Get returns an upstream, or nil.
func (f *Fleet) Get(id string) *Upstream {
	return f.upstreams[id]
}

// All returns the upstreams by id.
func (f *Fleet) All() []*Upstream {
	return f.sorted
}

// Slots returns the slots of all upstreams that take work.
func (f *Fleet) Slots() int {
	n := 0
	for _, u := range f.sorted {
		if u.Health != HealthLeaving {
			n += u.Slots
		}
	}
	return n
}

// SlotShare returns the slots that this entry can count on at present: a window is what
// an agent leaves it beside the other entries.
func (f *Fleet) SlotShare() int {
	n := 0
	for _, u := range f.sorted {
		if u.Health != HealthLeaving {
			n += min(u.Window, u.Slots)
		}
	}
	return n
}

// Serves reports whether any upstream that is not leaving serves the kind.
func (f *Fleet) Serves(kind string) bool {
	for _, u := range f.sorted {
		if u.Kinds[kind] && u.Health != HealthLeaving {
			return true
		}
	}
	return false
}

// SetLoad takes what an upstream told: this entry's window, and the tasks of all
// entries there.
func (f *Fleet) SetLoad(id string, window, tasks int) {
	u := f.upstreams[id]
	if u == nil {
		return
	}
	if window > 0 {
		u.Window = window
	}
	u.RemoteInFlight = max(0, tasks-u.InFlight)
}

// SetLeaving stops new work for an upstream, or lets it back in.
func (f *Fleet) SetLeaving(id string, leaving bool, reason string) {
	u := f.upstreams[id]
	if u == nil {
		return
	}
	if leaving {
		u.Health = HealthLeaving
		u.Reason = reason
		return
	}
	if u.Health == HealthLeaving {
		u.Health = HealthGood
		u.Reason = ""
	}
}

// Choose returns the upstream on which a task of the kind is predicted to finish
// first while waiting tasks stand in line, or nil when it is better to wait. An
// upstream in avoid is taken only if there is no other.
func (f *Fleet) Choose(kind string, waiting int, now clock.Millis, avoid map[string]bool) *Upstream {
	among := f.sample()
	best, finish := f.best(among, kind, now, avoid)
	if best == nil && len(among) < len(f.sorted) {
		among = f.sorted
		best, finish = f.best(among, kind, now, avoid)
	}
	if best == nil && len(avoid) > 0 {
		return f.Choose(kind, waiting, now, nil)
	}
	if best == nil || f.worthWaiting(among, kind, waiting, now, finish) {
		return nil
	}
	return best
}

// best returns the open upstream of earliest predicted finish, and that.
func (f *Fleet) best(among []*Upstream, kind string, now clock.Millis, avoid map[string]bool) (*Upstream, float64) {
	var best *Upstream
	bestFinish := 0.0
	for _, u := range among {
		if !f.open(u, kind, now) || avoid[u.ID] {
			continue
		}
		finish := f.finish(u, kind, now)
		if best == nil || finish < bestFinish {
			best, bestFinish = u, finish
		}
	}
	return best, bestFinish
}

// finish returns the predicted time until a task that is sent to u now has its answer,
// with a wait in the agent's queue counted as in worthWaiting.
func (f *Fleet) finish(u *Upstream, kind string, now clock.Millis) float64 {
	service := f.ExpectedServiceMS(u, kind, now)
	total := float64(u.InFlight + u.RemoteInFlight + 1)
	slots := float64(max(1, u.Slots))
	finish := float64(u.RoundTrip) + service
	if total <= slots {
		return finish
	}
	mine := slots * float64(u.InFlight+1) / total
	wait := service * (total - slots) / slots
	return finish + wait*f.waitWeight(kind, service, mine, now)
}

// waitWeight returns by how much a wait for slots counts, since it delays those who come
// later: the more, the fuller the arrivals keep the slots.
func (f *Fleet) waitWeight(kind string, service, slots float64, now clock.Millis) float64 {
	free := 1 - f.offered(kind, service, now)/slots
	return 1 / max(free, minFreePart)
}

// worthWaiting reports whether the last of the waiting tasks does better to wait for
// the faster upstreams that are full than to take an open one. Without this rule, a
// fleet with one fast and many slow upstreams answered at the slow ones' speed while
// the fast one fell idle every few milliseconds.
//
// A task that waits also delays those that come after it, until the line is empty
// again; the fuller the faster upstreams are, the more of them. Counting its own
// wait alone kept the line so long that the median was 1.6 times the ideal at 70 %
// load.
func (f *Fleet) worthWaiting(among []*Upstream, kind string, waiting int, now clock.Millis, finish float64) bool {
	releases := 0.0 // tasks a millisecond
	busy := 0
	for _, u := range among {
		if !f.takes(u, kind, now) || u.InFlight < u.Window {
			continue
		}
		s := f.ExpectedServiceMS(u, kind, now) + float64(u.RoundTrip)
		if s >= finish {
			continue
		}
		running := min(u.InFlight, u.Slots)
		releases += float64(running) / max(s, 1)
		busy += running
	}
	if releases == 0 {
		return false
	}
	service := float64(busy) / releases
	wait := float64(waiting) / releases * f.waitWeight(kind, service, float64(busy), now)
	return wait+service < finish
}

// minFreePart bounds how much a wait counts for those who come later.
const minFreePart = 0.1

// offered returns the slots that the arrivals of all kinds would keep busy where a
// task of the given kind takes service.
func (f *Fleet) offered(kind string, service float64, now clock.Millis) float64 {
	total := 0.0
	for _, k := range f.kinds {
		total += k.arrivals.decayed(now) * max(k.service.MS, 1)
	}
	return total * service / f.MeanServiceMS(kind)
}

// Copy returns a copy of u that shares nothing with it.
func (u *Upstream) Copy() Upstream {
	c := *u
	c.Kinds = map[string]bool{}
	for k := range u.Kinds {
		c.Kinds[k] = true
	}
	c.ServiceTime = map[string]*Estimate{}
	for k, e := range u.ServiceTime {
		copied := *e
		c.ServiceTime[k] = &copied
	}
	return c
}
