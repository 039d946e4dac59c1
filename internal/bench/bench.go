// Package bench measures the dispatcher: real entries, agents and links on loopback
// with small stand-ins of upstreams and the log, each figure beside its bound from
// the promises and, where it makes sense, a baseline under the same load.
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
	// Baseline is nil where there is nothing to compare with.
	Baseline *float64 `json:"baseline"`
	// Bound is nil for figures without a promise.
	Bound *float64 `json:"bound"`
	// Holds is true for figures without a bound.
	Holds bool   `json:"holds"`
	Seed  uint64 `json:"seed"`
}

// Options of a run.
type Options struct {
	Seed uint64
	// Seconds is the length of each load phase.
	Seconds int
	// OutageSeconds is the length of the log's outage in log_down.
	OutageSeconds int
	Log           *slog.Logger
	// Progress is told of each step; it may be nil.
	Progress func(string)
}

func (o Options) progress(step string) {
	if o.Progress != nil {
		o.Progress(step)
	}
}

// scenario measures one thing.
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
		{"doubles", doubles},
		{"log_down", logDown},
		{"config", config},
		{"restart", restart},
		{"capacity", capacity},
	}
}

// All stands for every scenario but capacity.
const All = "all"

// Names returns the names of all scenarios.
func Names() []string {
	var out []string
	for _, s := range scenarios() {
		out = append(out, s.name)
	}
	return out
}

// Run measures one scenario, or all.
func Run(ctx context.Context, name string, o Options) ([]Figure, error) {
	var out []Figure
	known := false
	for _, s := range scenarios() {
		if s.name != name && (name != All || s.name == "capacity") {
			continue
		}
		known = true
		o.progress(s.name)
		fs, err := s.run(ctx, o)
		if err != nil {
			return out, errors.Annotatef(err, "scenario %s", s.name)
		}
		for i := range fs {
			fs[i].Scenario = s.name
			fs[i].Seed = o.Seed
		}
		out = append(out, fs...)
	}
	if !known {
		return nil, errors.Errorf("there is no scenario %s", name)
	}
	return out, nil
}

// atMost is a figure that its bound limits from above.
func atMost(measure string, value, bound float64) Figure {
	return Figure{Measure: measure, Value: value, Bound: &bound, Holds: value <= bound}
}

// atLeast is a figure that its bound limits from below.
func atLeast(measure string, value, bound float64) Figure {
	return Figure{Measure: measure, Value: value, Bound: &bound, Holds: value >= bound}
}

// plain is a figure without a bound.
func plain(measure string, value float64) Figure {
	return Figure{Measure: measure, Value: value, Holds: true}
}

func (f Figure) against(baseline float64) Figure {
	f.Baseline = &baseline
	return f
}
