// Package route chooses the upstream for a task by predicted finish time. It measures
// the speed of upstreams from their answers and never relies on declared values. The
// package does no I/O and reads no clock.
package route

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Health is the health state of an upstream.
type Health string

// The health states of an upstream.
const (
	HealthGood    Health = "good"
	HealthEjected Health = "ejected"
	// HealthProbing means that the ejection has ended and that one task at a time tests
	// the upstream.
	HealthProbing Health = "probing"
	HealthLeaving Health = "leaving"
)

// Upstream is the state of one back end as seen by this entry.
type Upstream struct {
	// ID is the incarnation of the agent beside the upstream.
	ID   string `json:"id"`
	Name string `json:"name"`
	// Kinds is the set of request kinds that it serves.
	Kinds map[string]bool `json:"kinds"`
	Slots int             `json:"slots"`
	// Window is the maximum number of this entry's tasks there, at least one.
	Window int `json:"window"`
	// InFlight is the number of this entry's tasks there; it is never negative.
	InFlight int `json:"in_flight"`
	// RemoteInFlight is the number of other entries' tasks there according to the last
	// load report; it is never negative.
	RemoteInFlight int          `json:"others"`
	RoundTrip      clock.Millis `json:"round_trip_ms"`
	Health         Health       `json:"health"`
	// Reason explains why Health is not HealthGood.
	Reason string `json:"reason,omitempty"`
	// EjectedUntil is the time at which the last ejection ends.
	EjectedUntil clock.Millis `json:"until,omitempty"`
	// ConsecutiveFailures counts the failures since the last success or ejection. It
	// excludes failures of a kind that fails on other upstreams too.
	ConsecutiveFailures int `json:"failures"`
	// Ejections counts the ejections since the upstream last recovered.
	Ejections int `json:"ejections"`
	// ServiceTime holds the measured service time of each kind.
	ServiceTime map[string]*Estimate `json:"service"`
}

// Fleet holds the upstreams to which an entry has links.
type Fleet struct {
	upstreams map[string]*Upstream
	// sorted holds the upstreams in order of their ids, so that ties are broken in a
	// stable way.
	sorted []*Upstream
	kinds  map[string]*kindStats
	// sampleStart is the index in sorted at which the last sample began.
	sampleStart int
}

// In a fleet of more than sampleThreshold upstreams, a decision considers at most
// sampleSize of them: the best of a few is nearly as good as the best of all, at a
// small part of the cost.
const (
	sampleThreshold = 48
	sampleSize      = 16
)

// sample returns the upstreams that the next decision considers. Since ids are random,
// a run of consecutive upstreams in id order is a random sample.
func (f *Fleet) sample() []*Upstream {
	n := len(f.sorted)
	if n <= sampleThreshold {
		return f.sorted
	}
	f.sampleStart = (f.sampleStart + sampleSize) % n
	end := min(f.sampleStart+sampleSize, n)
	return f.sorted[f.sampleStart:end]
}

// kindStats holds the statistics of a kind over all upstreams.
type kindStats struct {
	serviceTime Estimate
	arrivals    rate
	// failureRate is the fraction of the kind's recent tasks that failed on any upstream.
	failureRate float64
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{upstreams: map[string]*Upstream{}, kinds: map[string]*kindStats{}}
}

// Add adds an upstream to the fleet, without any service times.
func (f *Fleet) Add(u Upstream) {
	u.ServiceTime = map[string]*Estimate{}
	if u.Health == "" {
		u.Health = HealthGood
	}
	u.Window = max(1, u.Window)
	f.upstreams[u.ID] = &u
	f.rebuildSorted()
}

// Remove removes an upstream from the fleet.
func (f *Fleet) Remove(id string) {
	delete(f.upstreams, id)
	f.rebuildSorted()
}

func (f *Fleet) rebuildSorted() {
	f.sorted = f.sorted[:0]
	for _, u := range f.upstreams {
		f.sorted = append(f.sorted, u)
	}
	sort.Slice(f.sorted, func(i, j int) bool { return f.sorted[i].ID < f.sorted[j].ID })
}

// Get returns the upstream with the given id, or nil.
func (f *Fleet) Get(id string) *Upstream {
	return f.upstreams[id]
}

// All returns the upstreams in order of their ids.
func (f *Fleet) All() []*Upstream {
	return f.sorted
}

// Slots returns the number of slots of all upstreams that are not leaving.
func (f *Fleet) Slots() int {
	n := 0
	for _, u := range f.sorted {
		if u.Health != HealthLeaving {
			n += u.Slots
		}
	}
	return n
}

// SlotShare returns the number of slots that this entry can use at present. A window is
// the part of an agent's capacity that the agent allots to this entry.
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

// SetLoad applies an upstream's load report: this entry's window, and the number of
// tasks of all entries there. A window of zero leaves the window unchanged.
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

// SetLeaving stops new tasks for an upstream, or makes it available again.
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

// Choose returns the upstream on which a task of the kind is predicted to finish first,
// or nil if none is available or if it is better to wait. waiting is the number of
// queued tasks. An upstream in avoid is chosen only if no other is available.
func (f *Fleet) Choose(kind string, waiting int, now clock.Millis, avoid map[string]bool) *Upstream {
	candidates := f.sample()
	best, finish := f.best(candidates, kind, now, avoid)
	if best == nil && len(candidates) < len(f.sorted) {
		candidates = f.sorted
		best, finish = f.best(candidates, kind, now, avoid)
	}
	if best == nil && len(avoid) > 0 {
		return f.Choose(kind, waiting, now, nil)
	}
	if best == nil || f.worthWaiting(candidates, kind, waiting, now, finish) {
		return nil
	}
	return best
}

// best returns the available upstream with the earliest predicted finish, and the
// predicted time until then in milliseconds.
func (f *Fleet) best(candidates []*Upstream, kind string, now clock.Millis, avoid map[string]bool) (*Upstream, float64) {
	var best *Upstream
	bestFinish := 0.0
	for _, u := range candidates {
		if !f.available(u, kind, now) || avoid[u.ID] {
			continue
		}
		finish := f.predictedFinish(u, kind, now)
		if best == nil || finish < bestFinish {
			best, bestFinish = u, finish
		}
	}
	return best, bestFinish
}

// predictedFinish returns the predicted time in milliseconds until the answer to a task
// that is sent to u now. A wait in the agent's queue is weighted as in worthWaiting.
func (f *Fleet) predictedFinish(u *Upstream, kind string, now clock.Millis) float64 {
	service := f.ExpectedServiceMS(u, kind, now)
	total := float64(u.InFlight + u.RemoteInFlight + 1)
	slots := float64(max(1, u.Slots))
	finish := float64(u.RoundTrip) + service
	if total <= slots {
		return finish
	}
	ownSlots := slots * float64(u.InFlight+1) / total
	wait := service * (total - slots) / slots
	return finish + wait*f.waitWeight(kind, service, ownSlots, now)
}

// waitWeight returns the factor by which a wait for slots counts. A waiting task also
// delays later arrivals, and more of them the higher the load on the slots is.
func (f *Fleet) waitWeight(kind string, service, slots float64, now clock.Millis) float64 {
	free := 1 - f.offeredLoad(kind, service, now)/slots
	return 1 / max(free, minFreeFraction)
}

// worthWaiting reports whether the last of the waiting tasks would finish earlier by
// waiting for a faster upstream whose window is full than on an available one. Without
// this rule, a fleet with one fast and many slow upstreams answered at the speed of the
// slow ones while the fast one became idle every few milliseconds.
//
// A waiting task also delays the tasks that arrive after it until the queue is empty,
// and more of them the busier the faster upstreams are. When only the task's own wait
// was counted, the queue stayed so long that the median latency was 1.6 times the ideal
// at 70 % load.
func (f *Fleet) worthWaiting(candidates []*Upstream, kind string, waiting int, now clock.Millis, finish float64) bool {
	releaseRate := 0.0 // tasks per millisecond
	busy := 0
	for _, u := range candidates {
		if !f.eligible(u, kind, now) || u.InFlight < u.Window {
			continue
		}
		turnaround := f.ExpectedServiceMS(u, kind, now) + float64(u.RoundTrip)
		if turnaround >= finish {
			continue
		}
		running := min(u.InFlight, u.Slots)
		releaseRate += float64(running) / max(turnaround, 1)
		busy += running
	}
	if releaseRate == 0 {
		return false
	}
	service := float64(busy) / releaseRate
	wait := float64(waiting) / releaseRate * f.waitWeight(kind, service, float64(busy), now)
	return wait+service < finish
}

// minFreeFraction is the lowest free fraction of the slots that waitWeight assumes. It
// bounds the weight of a wait.
const minFreeFraction = 0.1

// offeredLoad returns the number of slots that the arrivals of all kinds would keep busy
// on upstreams where a task of the given kind takes service milliseconds.
func (f *Fleet) offeredLoad(kind string, service float64, now clock.Millis) float64 {
	total := 0.0
	for _, k := range f.kinds {
		total += k.arrivals.decayed(now) * max(k.serviceTime.MeanMS, 1)
	}
	return total * service / f.MeanServiceMS(kind)
}

// Copy returns a deep copy of u.
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
