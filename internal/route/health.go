package route

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// Bounds of ejection.
const (
	failuresToEject = 4
	firstEjectionMS = clock.Millis(1000)
	maxEjectionMS   = clock.Millis(30000)
	maxEjectedPart  = 0.34
	kindFailingPart = 0.5
)

// takes reports whether u may get tasks of the kind at all.
func (f *Fleet) takes(u *Upstream, kind string, now clock.Millis) bool {
	if !u.Kinds[kind] {
		return false
	}
	switch u.Health {
	case HealthGood:
		return true
	case HealthEjected:
		return now >= u.EjectedUntil
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

// RecordStart counts a task that was sent to an upstream.
func (f *Fleet) RecordStart(id string) {
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
	// Inconclusive ends tell nothing of the upstream: the task was withdrawn, or had too
	// little time.
	Inconclusive bool
	// ServiceMS is the time in the slot.
	ServiceMS float64
	Reason    string
}

// RecordFinish counts the end of a task at an upstream and judges its health.
func (f *Fleet) RecordFinish(id string, o Outcome, now clock.Millis) {
	u := f.upstreams[id]
	if u == nil {
		return
	}
	u.InFlight = max(0, u.InFlight-1)
	if o.Inconclusive || (o.NotRun && !o.Failed) {
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
	e := u.ServiceTime[o.Kind]
	if e == nil {
		e = &Estimate{}
		u.ServiceTime[o.Kind] = e
	}
	e.add(o.ServiceMS, now)
	k.service.add(o.ServiceMS, now)
	u.ConsecutiveFailures = 0
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
	u.ConsecutiveFailures++
	if u.Health == HealthProbing || u.ConsecutiveFailures >= failuresToEject {
		f.eject(u, o.Reason, now)
	}
}

// failsElsewhere tells a kind that fails everywhere from an upstream that fails
// everything: then another upstream has failures in a row as well.
func (f *Fleet) failsElsewhere(u *Upstream, kind string) bool {
	for _, other := range f.sorted {
		if other != u && other.Kinds[kind] && other.ConsecutiveFailures > 0 && other.Health == HealthGood {
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
	u.EjectedUntil = now + span
	u.ConsecutiveFailures = 0
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
		if u.Health == HealthEjected && (next == 0 || u.EjectedUntil < next) {
			next = u.EjectedUntil
		}
	}
	return next
}
