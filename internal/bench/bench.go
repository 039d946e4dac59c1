// Package bench runs benchmarks against real entries, agents and links on loopback, with
// simple fakes of the upstreams and the log. Each figure is reported with the bound
// that the dispatcher guarantees, if there is one, and, where a comparison makes sense,
// with the result of a baseline scheduler under the same load.
package bench

import (
	"context"
	"log/slog"

	"github.com/juju/errors"
)

// Figure is one measured value.
type Figure struct {
	Scenario string  `json:"scenario"`
	Measure  string  `json:"measure"`
	Value    float64 `json:"value"`
	// Baseline is the value of the baseline scheduler, or nil if there is none.
	Baseline *float64 `json:"baseline"`
	// Bound is nil if the dispatcher guarantees nothing for the figure.
	Bound *float64 `json:"bound"`
	// Holds reports whether the value is within the bound. It is true if there is no bound.
	Holds bool   `json:"holds"`
	Seed  uint64 `json:"seed"`
}

// Options configures a benchmark run.
type Options struct {
	Seed uint64
	// Seconds is the length of each load phase.
	Seconds int
	// OutageSeconds is the length of the log outage in scenario log_down.
	OutageSeconds int
	Log           *slog.Logger
	// Progress is called with a description of each step. It may be nil.
	Progress func(string)
}

func (o Options) progress(step string) {
	if o.Progress != nil {
		o.Progress(step)
	}
}

// scenario is a named benchmark.
type scenario struct {
	name string
	run  func(context.Context, Options) ([]Figure, error)
}

func scenarios() []scenario {
	return []scenario{
		{"path", path},
		{"steady_30", steady(0.3)},
		{"steady_70", steady(0.7)},
		{"steady_90", steady(0.9)},
		{"flood_low", flood(floodLow)},
		{"flood_urgent", flood(floodUrgent)},
		{"flood_one_entry", floodOneEntry},
		{"leave", leave},
		{"silent_link", silentLink},
		{"doubles", duplicates},
		{"log_down", logDown},
		{"config", config},
		{"restart", restart},
		{"capacity", capacity},
	}
}

// All selects every scenario except capacity.
const All = "all"

// Names returns the names of all scenarios.
func Names() []string {
	var out []string
	for _, s := range scenarios() {
		out = append(out, s.name)
	}
	return out
}

// Run runs the scenario of that name, or all but capacity if name is
// All.
func Run(ctx context.Context, name string, o Options) ([]Figure, error) {
	var out []Figure
	found := false
	for _, s := range scenarios() {
		if s.name != name && (name != All || s.name == "capacity") {
			continue
		}
		found = true
		o.progress(s.name)
		figures, err := s.run(ctx, o)
		if err != nil {
			return out, errors.Annotatef(err, "scenario %s", s.name)
		}
		for i := range figures {
			figures[i].Scenario = s.name
			figures[i].Seed = o.Seed
		}
		out = append(out, figures...)
	}
	if !found {
		return nil, errors.Errorf("there is no scenario %s", name)
	}
	return out, nil
}

// atMost returns a figure with an upper bound.
func atMost(measure string, value, bound float64) Figure {
	return Figure{Measure: measure, Value: value, Bound: &bound, Holds: value <= bound}
}

// atLeast returns a figure with a lower bound.
func atLeast(measure string, value, bound float64) Figure {
	return Figure{Measure: measure, Value: value, Bound: &bound, Holds: value >= bound}
}

// unbounded returns a figure without a bound.
func unbounded(measure string, value float64) Figure {
	return Figure{Measure: measure, Value: value, Holds: true}
}

func (f Figure) withBaseline(baseline float64) Figure {
	f.Baseline = &baseline
	return f
}
