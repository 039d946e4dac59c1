package route

import (
	"math"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Estimate is a moving average of service times. The first samples have equal weight.
type Estimate struct {
	MeanMS float64 `json:"ms"`
	Count  int     `json:"count"`
	// UpdatedAt is the time of the last sample.
	UpdatedAt clock.Millis `json:"updated_at"`
}

// estimateWeight is the weight of a new sample, except for the first ones of an
// estimate, which weigh more.
const estimateWeight = 0.1

func (e *Estimate) add(ms float64, now clock.Millis) {
	e.Count++
	e.UpdatedAt = now
	e.MeanMS += (ms - e.MeanMS) * max(estimateWeight, 1/float64(e.Count))
}

// Optimism about upstreams without recent samples: their expected service time is
// lowered, so that they are tried again. Without it, the first upstream to answer kept
// all tasks at low load although another was faster.
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
// fleet, over the kinds that u has served.
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

// rate is an exponentially decaying rate of events.
type rate struct {
	perMS     float64
	updatedAt clock.Millis
}

// rateWindowMS is the time constant with which the rate of arrivals decays.
const rateWindowMS = 1000.0

func (r *rate) decayed(now clock.Millis) float64 {
	return r.perMS * math.Exp(-float64(now-r.updatedAt)/rateWindowMS)
}

func (r *rate) add(now clock.Millis) {
	r.perMS = r.decayed(now) + 1/rateWindowMS
	r.updatedAt = now
}

// RecordArrival counts an arriving task, whether or not it can be placed at once.
func (f *Fleet) RecordArrival(kind string, now clock.Millis) {
	f.statsOf(kind).arrivals.add(now)
}
