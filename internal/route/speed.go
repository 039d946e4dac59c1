package route

import (
	"math"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Estimate is an exponential moving average of service times. The first samples have equal
// weight.
type Estimate struct {
	MeanMS float64 `json:"ms"`
	Count  int     `json:"count"`
	// UpdatedAt is the time of the last sample.
	UpdatedAt clock.Millis `json:"updated_at"`
}

// estimateWeight is the weight of a new sample in an estimate or a failure rate. The first
// samples of an estimate weigh more.
const estimateWeight = 0.1

func (e *Estimate) add(ms float64, now clock.Millis) {
	e.Count++
	e.UpdatedAt = now
	e.MeanMS += (ms - e.MeanMS) * max(estimateWeight, 1/float64(e.Count))
}

// Expected service times are lowered while an upstream has no new samples, so that it is
// tried again. Otherwise the first upstream to answer would keep all tasks at low load, even
// if another is faster.
const (
	// untriedFactor applies to an upstream without any sample of the kind.
	untriedFactor = 0.5
	// optimismHalfLifeMS is the time since the last sample in which the expected service
	// time halves, down to minOptimismFactor.
	optimismHalfLifeMS = 10_000.0
	minOptimismFactor  = 0.1
)

// defaultServiceMS is the assumed service time of a kind without samples.
const defaultServiceMS = 100.0

// ExpectedServiceMS returns the expected service time of a kind at an upstream. The
// estimate is lowered with the time since its last sample.
func (f *Fleet) ExpectedServiceMS(u *Upstream, kind string, now clock.Millis) float64 {
	e := u.ServiceTime[kind]
	if e == nil || e.Count == 0 {
		return f.MeanServiceMS(kind) * f.relativeSlowness(u) * untriedFactor
	}
	halfLives := float64(now-e.UpdatedAt) / optimismHalfLifeMS
	return e.MeanMS * max(math.Exp2(-halfLives), minOptimismFactor)
}

// relativeSlowness returns the mean ratio of u's service times to those of the whole
// fleet, over the kinds that u has served, or 1 if it has served none.
func (f *Fleet) relativeSlowness(u *Upstream) float64 {
	sum, n := 0.0, 0
	for kind, e := range u.ServiceTime {
		if fleetStats := f.kinds[kind]; fleetStats != nil && fleetStats.serviceTime.MeanMS > 0 {
			sum += e.MeanMS / fleetStats.serviceTime.MeanMS
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// HasSamples reports whether any task of the kind has succeeded.
func (f *Fleet) HasSamples(kind string) bool {
	k := f.kinds[kind]
	return k != nil && k.serviceTime.Count > 0
}

// MeanServiceMS returns the mean service time of a kind over all upstreams, at least one
// millisecond.
func (f *Fleet) MeanServiceMS(kind string) float64 {
	if !f.HasSamples(kind) {
		return defaultServiceMS
	}
	return max(f.kinds[kind].serviceTime.MeanMS, 1)
}

// rate is an exponentially decaying rate of events; perMS is its value at updatedAt.
type rate struct {
	perMS     float64
	updatedAt clock.Millis
}

// rateDecayMS is the time constant with which a rate decays.
const rateDecayMS = 1000.0

// decayed returns the rate at the given time, in events per millisecond.
func (r *rate) decayed(now clock.Millis) float64 {
	return r.perMS * math.Exp(-float64(now-r.updatedAt)/rateDecayMS)
}

func (r *rate) add(now clock.Millis) {
	r.perMS = r.decayed(now) + 1/rateDecayMS
	r.updatedAt = now
}

// RecordArrival counts an arriving task, whether or not it can be placed at once.
func (f *Fleet) RecordArrival(kind string, now clock.Millis) {
	f.statsOf(kind).arrivals.add(now)
}
