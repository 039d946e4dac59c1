package route

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// Parameters of ejection.
const (
	// failuresToEject is the number of consecutive failures that ejects an upstream.
	failuresToEject    = 4
	firstEjectionMS    = clock.Millis(1000)
	maxEjectionMS      = clock.Millis(30000)
	maxEjectedFraction = 0.34
	// kindFailureThreshold is the failure rate of a kind above which a failure counts
	// against a healthy upstream only if no other healthy upstream of the kind has
	// consecutive failures.
	kindFailureThreshold = 0.5
)

// eligible reports whether u serves the kind and its health allows new tasks.
func (f *Fleet) eligible(u *Upstream, kind string, now clock.Millis) bool {
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

// available reports whether u can get a task of the kind now: it is eligible, and its
// window is not full, or it is being probed and has no other task.
func (f *Fleet) available(u *Upstream, kind string, now clock.Millis) bool {
	if !f.eligible(u, kind, now) {
		return false
	}
	if u.Health != HealthGood {
		return u.InFlight == 0
	}
	return u.InFlight < u.Window
}

// RecordStart records that a task was sent to an upstream. For an ejected upstream, the
// task is a probe.
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

// Outcome describes how a task ended at an upstream.
type Outcome struct {
	Kind string
	// Failed is set if the task failed, may have run without a known result, or could not
	// be sent to the upstream.
	Failed bool
	// NotRun is set when the upstream did not start the task. If Failed is set as well,
	// the reason was that the upstream could not be reached.
	NotRun bool
	// Inconclusive is set when the outcome says nothing about the upstream's health: the
	// task was cancelled or had too little time.
	Inconclusive bool
	// ServiceMS is the time that the task occupied its slot.
	ServiceMS float64
	// Reason describes a failure, to explain an ejection.
	Reason string
}

// RecordFinish records the end of a task at an upstream and updates the upstream's
// health and service times.
func (f *Fleet) RecordFinish(id string, o Outcome, now clock.Millis) {
	u := f.upstreams[id]
	if u == nil {
		return
	}
	u.InFlight = max(0, u.InFlight-1)
	if o.Inconclusive || (o.NotRun && !o.Failed) {
		return
	}
	k := f.statsOf(o.Kind)
	if o.Failed {
		f.recordFailure(u, k, o, now)
		k.failureRate += (1 - k.failureRate) * estimateWeight
		return
	}
	k.failureRate -= k.failureRate * estimateWeight
	f.recordSuccess(u, k, o, now)
}

// statsOf returns the statistics of a kind and adds them if the kind is new.
func (f *Fleet) statsOf(name string) *kindStats {
	k := f.kinds[name]
	if k == nil {
		k = &kindStats{}
		f.kinds[name] = k
	}
	return k
}

// recordSuccess updates the service times and ends a probe. Failures never update
// service times: an upstream that fails immediately would look like the fastest one
// and attract all tasks.
func (f *Fleet) recordSuccess(u *Upstream, k *kindStats, o Outcome, now clock.Millis) {
	e := u.ServiceTime[o.Kind]
	if e == nil {
		e = &Estimate{}
		u.ServiceTime[o.Kind] = e
	}
	e.add(o.ServiceMS, now)
	k.serviceTime.add(o.ServiceMS, now)
	u.ConsecutiveFailures = 0
	if u.Health == HealthProbing {
		u.Health = HealthGood
		u.Reason = ""
		u.Ejections = 0
	}
}

// recordFailure counts a failure against u and ejects it after a failed probe or
// failuresToEject consecutive failures. A failure of a kind that mostly fails, also on other
// upstreams, does not count against a healthy upstream.
func (f *Fleet) recordFailure(u *Upstream, k *kindStats, o Outcome, now clock.Millis) {
	if k.failureRate > kindFailureThreshold && u.Health == HealthGood && len(f.sorted) > 1 && f.failsElsewhere(u, o.Kind) {
		return
	}
	u.ConsecutiveFailures++
	if u.Health == HealthProbing || u.ConsecutiveFailures >= failuresToEject {
		f.eject(u, o.Reason, now)
	}
}

// failsElsewhere reports whether another healthy upstream that serves the kind has
// consecutive failures too. This distinguishes a kind that fails on all upstreams from
// an upstream that fails all its tasks.
func (f *Fleet) failsElsewhere(u *Upstream, kind string) bool {
	for _, other := range f.sorted {
		if other != u && other.Kinds[kind] && other.ConsecutiveFailures > 0 && other.Health == HealthGood {
			return true
		}
	}
	return false
}

// eject stops new tasks for u for a time that doubles with each ejection since it last
// recovered, up to maxEjectionMS. Unless u failed a probe, it does so only if mayEject allows
// it.
func (f *Fleet) eject(u *Upstream, reason string, now clock.Millis) {
	if u.Health != HealthProbing && !f.mayEject() {
		return
	}
	// The bound of the shift prevents an overflow.
	duration := min(firstEjectionMS<<min(u.Ejections, 10), maxEjectionMS)
	u.Ejections++
	u.Health = HealthEjected
	u.Reason = "failed: " + reason
	u.EjectedUntil = now + duration
	u.ConsecutiveFailures = 0
}

// mayEject reports whether another upstream may be ejected. The ejected fraction of the fleet
// is limited: when most upstreams fail, ejecting all of them would overload the rest.
func (f *Fleet) mayEject() bool {
	ejected := 0
	for _, u := range f.sorted {
		if u.Health == HealthEjected || u.Health == HealthProbing {
			ejected++
		}
	}
	return float64(ejected+1) <= max(1, maxEjectedFraction*float64(len(f.sorted))) && len(f.sorted) > 1
}

// NextProbe returns the earliest end of an ejection, or zero if no upstream is ejected.
func (f *Fleet) NextProbe() clock.Millis {
	next := clock.Millis(0)
	for _, u := range f.sorted {
		if u.Health == HealthEjected && (next == 0 || u.EjectedUntil < next) {
			next = u.EjectedUntil
		}
	}
	return next
}
