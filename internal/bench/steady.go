package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

// warmUp is the time for which load is generated before a measurement, so that the
// dispatcher can estimate the speeds of the upstreams.
const warmUp = 2 * time.Second

// steadyResult is the result of one steady run: the ratio of response time to the ideal at
// two percentiles, the mean number of wasted messages per submission, and the fraction of
// requests answered within their deadline.
type steadyResult struct {
	p50, p99, wasted, inDeadline float64
}

// Bounds of the ratio of response time to the ideal, which apply at 70 % load (boundLoad),
// and of the wasted messages per submission.
const (
	boundP50    = 1.2
	boundP99    = 2.0
	boundWasted = 0.05
	boundLoad   = 0.7
)

// steady measures the ratio of response time to the ideal at a load that is a fraction of
// the capacity.
func steady(load float64) func(context.Context, Options) ([]Figure, error) {
	return func(ctx context.Context, o Options) ([]Figure, error) {
		baseline, err := steadyRun(ctx, o, load, true)
		if err != nil {
			return nil, err
		}
		dispatcher, err := steadyRun(ctx, o, load, false)
		if err != nil {
			return nil, err
		}
		p50, p99 := unbounded("response_ratio_p50", dispatcher.p50), unbounded("response_ratio_p99", dispatcher.p99)
		if load == boundLoad {
			p50, p99 = atMost("response_ratio_p50", dispatcher.p50, boundP50), atMost("response_ratio_p99", dispatcher.p99, boundP99)
		}
		return []Figure{
			p50.withBaseline(baseline.p50),
			p99.withBaseline(baseline.p99),
			unbounded("answered_in_deadline", dispatcher.inDeadline).withBaseline(baseline.inDeadline),
			atMost("wasted_messages", dispatcher.wasted, boundWasted).withBaseline(baseline.wasted),
		}, nil
	}
}

func steadyRun(ctx context.Context, o Options, load float64, baseline bool) (steadyResult, error) {
	r := steadyResult{}
	err := withDeployment(ctx, o, deploymentOptions(o, baseline), func(d *local.Deployment, g *generator) error {
		sources := []source{
			{token: tokenOf(customerEvents), kind: "check", perSecond: load / 2 * capacityOf("check"), timeoutMS: 5000},
			{token: tokenOf(customerJoiners), kind: "lookup", perSecond: load / 2 * capacityOf("lookup"), timeoutMS: 5000},
		}
		g.run(ctx, warmUp, sources)
		samples := g.run(ctx, time.Duration(o.Seconds)*time.Second, sources)
		h := newHistogram()
		for _, sm := range samples {
			if sm.ok() {
				h.add(float64(sm.latency.Microseconds()) / 1000 / idealMS(sm))
			}
		}
		r.p50, r.p99 = h.percentile(50), h.percentile(99)
		r.inDeadline = fraction(samples, anySample, sample.withinDeadline)
		o.progress(fmt.Sprintf("  baseline %t: %s", baseline, summarizeOutcomes(samples)))
		var err error
		r.wasted, err = wastedPerSubmission(ctx, d)
		return err
	})
	return r, err
}

// idealMS returns the service time on the fastest upstream plus one round trip.
func idealMS(s sample) float64 {
	fastest := speeds[len(speeds)-1]
	return float64(fakes.ServiceTime(serviceTimesMS()[s.source.kind]/fastest, spread, s.requestID, 0)) + roundTripMS
}
