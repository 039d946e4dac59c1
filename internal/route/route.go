// Package route chooses the upstream of a task by predicted finish. It learns speed
// from answers and never takes declared figures for it. The package does no I/O
// and reads no clock.
package route

import (
	"math"
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
	// Others is what other entries had there at the last answer; never negative.
	Others    int          `json:"others"`
	RoundTrip clock.Millis `json:"round_trip_ms"`
	Health    Health       `json:"health"`
	// Reason says why Health is not good.
	Reason string `json:"reason,omitempty"`
	// Until is the end of an ejection.
	Until clock.Millis `json:"until,omitempty"`
	// Failures counts failures in a row that other upstreams did not share.
	Failures  int                  `json:"failures"`
	Ejections int                  `json:"ejections"`
	Service   map[string]*Estimate `json:"service"`
}

// Estimate is a running mean.
type Estimate struct {
	MS    float64 `json:"ms"`
	Count int     `json:"count"`
	// UpdatedAt is when the last sample came.
	UpdatedAt clock.Millis `json:"updated_at"`
}

// estimateWeight is the weight of a new sample once an estimate has settled.
const estimateWeight = 0.1

func (e *Estimate) add(ms float64, now clock.Millis) {
	e.Count++
	e.UpdatedAt = now
	e.MS += (ms - e.MS) * max(estimateWeight, 1/float64(e.Count))
}

// Bounds of ejection.
const (
	failuresToEject  = 4
	firstEjectionMS  = clock.Millis(1000)
	maxEjectionMS    = clock.Millis(30000)
	maxEjectedPart   = 0.34
	unknownServiceMS = 100.0
	kindFailingPart  = 0.5
)

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

// rate is a running rate of events.
type rate struct {
	perMS float64
	at    clock.Millis
}

// rateSpanMS is the span over which arrivals are averaged.
const rateSpanMS = 1000.0

func (r *rate) decayed(now clock.Millis) float64 {
	return r.perMS * math.Exp(-float64(now-r.at)/rateSpanMS)
}

func (r *rate) add(now clock.Millis) {
	r.perMS = r.decayed(now) + 1/rateSpanMS
	r.at = now
}

// Arrived counts a task that came in, whether or not it can be placed at once.
func (f *Fleet) Arrived(kind string, now clock.Millis) {
	f.kind(kind).arrivals.add(now)
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{upstreams: map[string]*Upstream{}, kinds: map[string]*kindRecord{}}
}

// Add puts an upstream into the fleet; its learned figures start empty.
func (f *Fleet) Add(u Upstream) {
	u.Service = map[string]*Estimate{}
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
	u.Others = max(0, tasks-u.InFlight)
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

// Optimism about upstreams that have not been tried for a while. Without it the
// first upstream to answer kept all work at low load, though another was faster.
const (
	untriedFactor   = 0.5
	halfOptimismMS  = 10_000.0
	maxOptimismPart = 0.1
)

// Expect returns the expected service time of a kind at an upstream.
func (f *Fleet) Expect(u *Upstream, kind string, now clock.Millis) float64 {
	e := u.Service[kind]
	if e == nil || e.Count == 0 {
		return f.Cost(kind) * f.speed(u) * untriedFactor
	}
	untried := float64(now-e.UpdatedAt) / halfOptimismMS
	return e.MS * max(math.Exp2(-untried), maxOptimismPart)
}

// speed is how much slower u is than the whole fleet on kinds that it has served.
func (f *Fleet) speed(u *Upstream) float64 {
	sum, n := 0.0, 0
	for kind, e := range u.Service {
		if whole := f.kinds[kind]; whole != nil && whole.service.MS > 0 {
			sum += e.MS / whole.service.MS
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Cost returns the expected service time of a kind over all upstreams.
func (f *Fleet) Cost(kind string) float64 {
	k := f.kinds[kind]
	if k == nil || k.service.Count == 0 {
		return unknownServiceMS
	}
	return max(k.service.MS, 1)
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

func (f *Fleet) finish(u *Upstream, kind string, now clock.Millis) float64 {
	service := f.Expect(u, kind, now)
	ahead := max(0, u.InFlight+u.Others+1-u.Slots)
	return float64(u.RoundTrip) + service + service*float64(ahead)/float64(max(1, u.Slots))
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
		s := f.Expect(u, kind, now) + float64(u.RoundTrip)
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
	free := 1 - f.offered(kind, service, now)/float64(busy)
	wait := float64(waiting) / releases / max(free, minFreePart)
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
	return total * service / f.Cost(kind)
}

// takes reports whether u may get tasks of the kind at all.
func (f *Fleet) takes(u *Upstream, kind string, now clock.Millis) bool {
	if !u.Kinds[kind] {
		return false
	}
	switch u.Health {
	case HealthGood:
		return true
	case HealthEjected:
		return now >= u.Until
	case HealthProbing:
		return true
	default:
		return false
	}
}

// open reports whether u may get a task of the kind now.
func (f *Fleet) open(u *Upstream, kind string, now clock.Millis) bool {
	if !f.takes(u, kind, now) {
		return false
	}
	if u.Health != HealthGood {
		return u.InFlight == 0
	}
	return u.InFlight < u.Window
}

// Started counts a task that was sent to an upstream.
func (f *Fleet) Started(id string) {
	u := f.upstreams[id]
	if u == nil {
		return
	}
	u.InFlight++
	if u.Health == HealthEjected {
		u.Health = HealthProbing
	}
}

// Outcome is how an upstream dealt with a task.
type Outcome struct {
	Kind string
	// Failed is set for faults of the upstream, not for a withdrawn task.
	Failed bool
	// NotRun is set when the upstream did not start the task; with Failed, because
	// it could not be reached.
	NotRun bool
	// ServiceMS is the time in the slot.
	ServiceMS float64
	Reason    string
}

// Finished counts the end of a task at an upstream and judges its health.
func (f *Fleet) Finished(id string, o Outcome, now clock.Millis) {
	u := f.upstreams[id]
	if u == nil {
		return
	}
	u.InFlight = max(0, u.InFlight-1)
	if o.NotRun && !o.Failed {
		return
	}
	k := f.kind(o.Kind)
	if o.Failed {
		f.failed(u, k, o, now)
		k.failing += (1 - k.failing) * estimateWeight
		return
	}
	k.failing -= k.failing * estimateWeight
	f.succeeded(u, k, o, now)
}

func (f *Fleet) kind(name string) *kindRecord {
	k := f.kinds[name]
	if k == nil {
		k = &kindRecord{}
		f.kinds[name] = k
	}
	return k
}

// succeeded learns speed. Failures never do: an upstream that fails at once would
// look like the fastest and draw all work.
func (f *Fleet) succeeded(u *Upstream, k *kindRecord, o Outcome, now clock.Millis) {
	e := u.Service[o.Kind]
	if e == nil {
		e = &Estimate{}
		u.Service[o.Kind] = e
	}
	e.add(o.ServiceMS, now)
	k.service.add(o.ServiceMS, now)
	u.Failures = 0
	if u.Health == HealthProbing {
		u.Health = HealthGood
		u.Reason = ""
		u.Ejections = 0
	}
}

func (f *Fleet) failed(u *Upstream, k *kindRecord, o Outcome, now clock.Millis) {
	if k.failing > kindFailingPart && u.Health == HealthGood && len(f.sorted) > 1 && f.failsElsewhere(u, o.Kind) {
		return
	}
	u.Failures++
	if u.Health == HealthProbing || u.Failures >= failuresToEject {
		f.eject(u, o.Reason, now)
	}
}

// failsElsewhere tells a kind that fails everywhere from an upstream that fails
// everything: then another upstream has failures in a row as well.
func (f *Fleet) failsElsewhere(u *Upstream, kind string) bool {
	for _, other := range f.sorted {
		if other != u && other.Kinds[kind] && other.Failures > 0 && other.Health == HealthGood {
			return true
		}
	}
	return false
}

func (f *Fleet) eject(u *Upstream, reason string, now clock.Millis) {
	if u.Health != HealthProbing && !f.mayEject() {
		return
	}
	span := min(firstEjectionMS<<min(u.Ejections, 10), maxEjectionMS)
	u.Ejections++
	u.Health = HealthEjected
	u.Reason = "failed: " + reason
	u.Until = now + span
	u.Failures = 0
}

// mayEject keeps the ejected part of the fleet bounded: when most upstreams fail,
// ejecting them all would leave the rest with load that they can't take.
func (f *Fleet) mayEject() bool {
	out := 0
	for _, u := range f.sorted {
		if u.Health == HealthEjected || u.Health == HealthProbing {
			out++
		}
	}
	return float64(out+1) <= max(1, maxEjectedPart*float64(len(f.sorted))) && len(f.sorted) > 1
}

// NextProbe returns the earliest end of an ejection, or zero.
func (f *Fleet) NextProbe() clock.Millis {
	next := clock.Millis(0)
	for _, u := range f.sorted {
		if u.Health == HealthEjected && (next == 0 || u.Until < next) {
			next = u.Until
		}
	}
	return next
}

// Copy returns a copy of u that shares nothing with it.
func (u *Upstream) Copy() Upstream {
	c := *u
	c.Kinds = map[string]bool{}
	for k := range u.Kinds {
		c.Kinds[k] = true
	}
	c.Service = map[string]*Estimate{}
	for k, e := range u.Service {
		copied := *e
		c.Service[k] = &copied
	}
	return c
}
