package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

// warmUp lets speeds be learned before figures count.
const warmUp = 2 * time.Second

// ratios is what one steady run gives.
type ratios struct {
	p50, p99, wasted, kept float64
}

// The bounds of response time against the ideal, at 70 % load.
const (
	boundP50    = 1.2
	boundP99    = 2.0
	boundWasted = 0.05
	boundLoad   = 0.7
)

// steady measures response time against the ideal at a part of the capacity.
func steady(load float64) func(context.Context, Options) ([]Figure, error) {
	return func(ctx context.Context, o Options) ([]Figure, error) {
		base, err := steadyRun(ctx, o, load, true)
		if err != nil {
			return nil, err
		}
		own, err := steadyRun(ctx, o, load, false)
		if err != nil {
			return nil, err
		}
		p50, p99 := plain("response_ratio_p50", own.p50), plain("response_ratio_p99", own.p99)
		if load == boundLoad {
			p50, p99 = atMost("response_ratio_p50", own.p50, boundP50), atMost("response_ratio_p99", own.p99, boundP99)
		}
		return []Figure{
			p50.against(base.p50),
			p99.against(base.p99),
			plain("answered_in_deadline", own.kept).against(base.kept),
			atMost("wasted_messages", own.wasted, boundWasted).against(base.wasted),
		}, nil
	}
}

func steadyRun(ctx context.Context, o Options, load float64, baseline bool) (ratios, error) {
	r := ratios{}
	err := with(ctx, o, options(o, baseline), func(s *local.Stack, g *generator) error {
		sources := []source{
			{token: tokenOf(customerEvents), kind: "check", perSecond: load / 2 * capacityOf("check"), timeout: 5000},
			{token: tokenOf(customerJoiners), kind: "lookup", perSecond: load / 2 * capacityOf("lookup"), timeout: 5000},
		}
		g.run(ctx, warmUp, sources)
		samples := g.run(ctx, time.Duration(o.Seconds)*time.Second, sources)
		h := newHistogram()
		for _, sm := range samples {
			if sm.ok() {
				h.add(float64(sm.took.Microseconds()) / 1000 / ideal(sm))
			}
		}
		r.p50, r.p99 = h.at(50), h.at(99)
		r.kept = part(samples, everything, sample.inDeadline)
		o.progress(fmt.Sprintf("  baseline %t: %s", baseline, outcomes(samples)))
		var err error
		r.wasted, err = wastedPart(ctx, s)
		return err
	})
	return r, err
}

// ideal is the service time on the fastest upstream plus one round trip, in ms.
func ideal(s sample) float64 {
	fastest := speeds[len(speeds)-1]
	return float64(fakes.ServiceTime(services()[s.source.kind]/fastest, spread, s.request, 0)) + roundTrip
}
