package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

// floodKind is the kind of the requests with which one customer overloads the dispatcher.
type floodKind string

const (
	floodLow    floodKind = "assign" // of ordinary priority
	floodUrgent floodKind = "check"
)

const (
	floodFactor    = 10
	otherLoad      = 0.3 // fraction of the capacity
	boundFloodKeep = 0.95
)

// flood measures how much of the other load is still answered while one customer sends
// requests of one kind at ten times the capacity.
func flood(kind floodKind) func(context.Context, Options) ([]Figure, error) {
	return func(ctx context.Context, o Options) ([]Figure, error) {
		baseline, err := floodRun(ctx, o, kind, true)
		if err != nil {
			return nil, err
		}
		dispatcher, err := floodRun(ctx, o, kind, false)
		if err != nil {
			return nil, err
		}
		return []Figure{
			atLeast("flood_keep", dispatcher.kept, boundFloodKeep).withBaseline(baseline.kept),
			unbounded("others_p99_ms", dispatcher.p99).withBaseline(baseline.p99),
			unbounded("flood_answered_per_second", dispatcher.floodPerSecond).withBaseline(baseline.floodPerSecond),
		}, nil
	}
}

// floodResult is the result of one flood run: the fraction of the other requests answered
// within the deadline during the flood, relative to the fraction before it; their latency in
// milliseconds; and the rate at which requests of the flood are answered in time.
type floodResult struct {
	kept, p99, floodPerSecond float64
}

func floodRun(ctx context.Context, o Options, kind floodKind, baseline bool) (floodResult, error) {
	r := floodResult{}
	err := withDeployment(ctx, o, deploymentOptions(o, baseline), func(_ *local.Deployment, g *generator) error {
		duration := time.Duration(o.Seconds) * time.Second
		others := otherSources(kind)
		g.run(ctx, warmUp, others)
		before := g.run(ctx, duration, others)
		flooding := source{token: tokenOf(customerEvents), kind: string(kind), timeoutMS: 5000, flood: true,
			keyed: kind == floodLow, perSecond: floodFactor * capacityOf(string(kind))}
		during := g.run(ctx, duration, append(others, flooding))
		r = compareOthers(before, during)
		r.floodPerSecond = float64(count(during, func(s sample) bool { return isFlood(s) && s.withinDeadline() })) / duration.Seconds()
		o.progress(fmt.Sprintf("  baseline %t: %s", baseline, summarizeOutcomes(during)))
		return nil
	})
	return r, err
}

// compareOthers returns kept and p99 of the requests that don't belong to the flood.
func compareOthers(before, during []sample) floodResult {
	r := floodResult{kept: fraction(during, isNotFlood, sample.withinDeadline) / fraction(before, isNotFlood, sample.withinDeadline)}
	h := newHistogram()
	for _, s := range during {
		if isNotFlood(s) {
			h.add(float64(s.latency.Milliseconds()))
		}
	}
	r.p99 = h.percentile(99)
	return r
}

// otherSources returns the load beside the flood: another kind of the flooding customer,
// and two other customers.
func otherSources(kind floodKind) []source {
	other := "check"
	if kind == floodUrgent {
		other = "assign"
	}
	loadEach := otherLoad / 3
	return []source{
		{token: tokenOf(customerEvents), kind: other, perSecond: loadEach * capacityOf(other), timeoutMS: 2000, keyed: other == "assign"},
		{token: tokenOf(customerAgency), kind: "check", perSecond: loadEach * capacityOf("check"), timeoutMS: 2000},
		{token: tokenOf(customerJoiners), kind: "lookup", perSecond: loadEach * capacityOf("lookup"), timeoutMS: 2000},
	}
}

// floodOneEntry measures how much of a quiet customer's load at one entry is still answered
// while another customer with the same share floods the other entry only.
func floodOneEntry(ctx context.Context, o Options) ([]Figure, error) {
	var values [2]floodResult
	for i, baseline := range []bool{true, false} {
		r, err := floodOneEntryRun(ctx, o, baseline)
		if err != nil {
			return nil, err
		}
		values[i] = r
	}
	return []Figure{
		atLeast("flood_keep", values[1].kept, boundFloodKeep).withBaseline(values[0].kept),
		unbounded("quiet_p99_ms", values[1].p99).withBaseline(values[0].p99),
	}, nil
}

func floodOneEntryRun(ctx context.Context, o Options, baseline bool) (floodResult, error) {
	r := floodResult{}
	err := withDeployment(ctx, o, deploymentOptions(o, baseline), func(_ *local.Deployment, g *generator) error {
		duration := time.Duration(o.Seconds) * time.Second
		quiet := source{token: tokenOf(customerJoiners), kind: "check", timeoutMS: 2000, entry: 2, perSecond: otherLoad * capacityOf("check")}
		flooding := source{token: tokenOf(customerEvents), kind: "check", timeoutMS: 5000, flood: true, entry: 1,
			perSecond: floodFactor * capacityOf("check") / 2}
		g.run(ctx, warmUp, []source{quiet})
		before := g.run(ctx, duration, []source{quiet})
		during := g.run(ctx, duration, []source{quiet, flooding})
		r = compareOthers(before, during)
		o.progress(fmt.Sprintf("  baseline %t: %s", baseline, summarizeOutcomes(during)))
		return nil
	})
	return r, err
}
