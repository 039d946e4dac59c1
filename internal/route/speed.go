package route

import (
	"math"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

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

// Optimism about upstreams that have not been tried for a while. Without it the
// first upstream to answer kept all work at low load, though another was faster.
const (
	untriedFactor   = 0.5
	halfOptimismMS  = 10_000.0
	maxOptimismPart = 0.1
)

// unknownServiceMS stands for the service time of a kind that never ran.
const unknownServiceMS = 100.0

// ExpectedServiceMS returns the expected service time of a kind at an upstream.
func (f *Fleet) ExpectedServiceMS(u *Upstream, kind string, now clock.Millis) float64 {
	e := u.ServiceTime[kind]
	if e == nil || e.Count == 0 {
		return f.MeanServiceMS(kind) * f.speed(u) * untriedFactor
	}
	untried := float64(now-e.UpdatedAt) / halfOptimismMS
	return e.MS * max(math.Exp2(-untried), maxOptimismPart)
}

// speed is how much slower u is than the whole fleet on kinds that it has served.
func (f *Fleet) speed(u *Upstream) float64 {
	sum, n := 0.0, 0
	for kind, e := range u.ServiceTime {
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

// HasSamples reports whether a task of the kind has ended well here.
func (f *Fleet) HasSamples(kind string) bool {
	k := f.kinds[kind]
	return k != nil && k.service.Count > 0
}

// MeanServiceMS returns the expected service time of a kind over all upstreams.
func (f *Fleet) MeanServiceMS(kind string) float64 {
	if !f.HasSamples(kind) {
		return unknownServiceMS
	}
	return max(f.kinds[kind].service.MS, 1)
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

// RecordArrival counts a task that came in, whether or not it can be placed at once.
func (f *Fleet) RecordArrival(kind string, now clock.Millis) {
	f.kind(kind).arrivals.add(now)
}
