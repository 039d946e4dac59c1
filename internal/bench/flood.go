package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

// floodKind is which kind of one customer floods in.
type floodKind string

const (
	floodLow    floodKind = "assign"
	floodUrgent floodKind = "check"
)

const (
	floodFactor    = 10
	otherLoad      = 0.3
	boundFloodKeep = 0.95
)

// flood measures what other work keeps while one kind of one customer comes in at
// ten times the capacity.
func flood(kind floodKind) func(context.Context, Options) ([]Figure, error) {
	return func(ctx context.Context, o Options) ([]Figure, error) {
		base, err := floodRun(ctx, o, kind, true)
		if err != nil {
			return nil, err
		}
		own, err := floodRun(ctx, o, kind, false)
		if err != nil {
			return nil, err
		}
		return []Figure{
			atLeast("flood_keep", own.keep, boundFloodKeep).against(base.keep),
			plain("others_p99_ms", own.p99).against(base.p99),
			plain("flood_answered_per_second", own.flooded).against(base.flooded),
		}, nil
	}
}

// floodResult is what one flood run gives.
type floodResult struct {
	keep, p99, flooded float64
}

func floodRun(ctx context.Context, o Options, kind floodKind, baseline bool) (floodResult, error) {
	r := floodResult{}
	err := with(ctx, o, options(o, baseline), func(_ *local.Stack, g *generator) error {
		span := time.Duration(o.Seconds) * time.Second
		others := otherSources(kind)
		g.run(ctx, warmUp, others)
		without := g.run(ctx, span, others)
		stream := source{token: tokenOf(customerEvents), kind: string(kind), timeout: 5000, flood: true,
			keyed: kind == floodLow, perSecond: floodFactor * capacityOf(string(kind))}
		during := g.run(ctx, span, append(others, stream))
		r = othersIn(without, during)
		r.flooded = float64(count(during, func(s sample) bool { return isFlood(s) && s.inDeadline() })) / span.Seconds()
		o.progress(fmt.Sprintf("  baseline %t: %s", baseline, outcomes(during)))
		return nil
	})
	return r, err
}

// othersIn returns what the other work keeps in a flood, and its slowest answers.
func othersIn(without, during []sample) floodResult {
	r := floodResult{keep: part(during, isNotFlood, sample.inDeadline) / part(without, isNotFlood, sample.inDeadline)}
	h := newHistogram()
	for _, s := range during {
		if isNotFlood(s) {
			h.add(float64(s.took.Milliseconds()))
		}
	}
	r.p99 = h.at(99)
	return r
}

// otherSources are the flooding customer's other kind and two other customers.
func otherSources(kind floodKind) []source {
	other := "check"
	if kind == floodUrgent {
		other = "assign"
	}
	third := otherLoad / 3
	return []source{
		{token: tokenOf(customerEvents), kind: other, perSecond: third * capacityOf(other), timeout: 2000, keyed: other == "assign"},
		{token: tokenOf(customerAgency), kind: "check", perSecond: third * capacityOf("check"), timeout: 2000},
		{token: tokenOf(customerJoiners), kind: "lookup", perSecond: third * capacityOf("lookup"), timeout: 2000},
	}
}

// floodOneEntry measures what a quiet customer at one entry keeps while another
// floods in through the other entry alone. Both have the same share.
func floodOneEntry(ctx context.Context, o Options) ([]Figure, error) {
	var values [2]floodResult
	for i, baseline := range []bool{true, false} {
		r, err := oneEntryRun(ctx, o, baseline)
		if err != nil {
			return nil, err
		}
		values[i] = r
	}
	return []Figure{
		atLeast("flood_keep", values[1].keep, boundFloodKeep).against(values[0].keep),
		plain("quiet_p99_ms", values[1].p99).against(values[0].p99),
	}, nil
}

func oneEntryRun(ctx context.Context, o Options, baseline bool) (floodResult, error) {
	r := floodResult{}
	err := with(ctx, o, options(o, baseline), func(_ *local.Stack, g *generator) error {
		span := time.Duration(o.Seconds) * time.Second
		quiet := source{token: tokenOf(customerJoiners), kind: "check", timeout: 2000, entry: 2, perSecond: otherLoad * capacityOf("check")}
		stream := source{token: tokenOf(customerEvents), kind: "check", timeout: 5000, flood: true, entry: 1,
			perSecond: floodFactor * capacityOf("check") / 2}
		g.run(ctx, warmUp, []source{quiet})
		without := g.run(ctx, span, []source{quiet})
		during := g.run(ctx, span, []source{quiet, stream})
		r = othersIn(without, during)
		o.progress(fmt.Sprintf("  baseline %t: %s", baseline, outcomes(during)))
		return nil
	})
	return r, err
}
