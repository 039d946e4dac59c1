package runner

import (
	"context"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// Metrics counts what an agent saw of its worker. docs/OPERATIONS.md says what a rise
// means.
type Metrics struct {
	set *metrics.Set
}

func newMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

var startNames = map[runs.StartOutcome]string{
	runs.StartOK: "ok", runs.StartRefused: "refused", runs.StartNoCapacity: "no_room",
	runs.StartUnhealthy: "unhealthy", runs.StartUnanswered: "unanswered",
}

func (m *Metrics) started(a runs.StartOutcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_starts_total{answer=%q}", startNames[a])).Inc()
}

func (m *Metrics) looked(ok bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_looks_total{answered=\"%t\"}", ok)).Inc()
}

func (m *Metrics) ended(end jobs.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_runs_ended_total{end=%q}", end)).Inc()
}

// Gauges are the levels of an agent at one moment.
type Gauges struct {
	Held         int
	FreeMilliCPU int64
	Speed        float64
	OnProbation  bool
	Unreachable  bool
	Entries      int
}

// WriteMetrics writes the agent's metrics as text.
func (a *Agent) WriteMetrics(ctx context.Context, w io.Writer) {
	answer := make(chan Gauges, 1)
	select {
	case a.queries <- answer:
	case <-ctx.Done():
		return
	}
	g := <-answer
	a.metrics.set.WritePrometheus(w)
	levels := metrics.NewSet()
	for name, v := range map[string]float64{
		"turmericbarrow_runs_held":          float64(g.Held),
		"turmericbarrow_free_milli_cpu":     float64(g.FreeMilliCPU),
		"turmericbarrow_worker_speed":       g.Speed,
		"turmericbarrow_worker_on_trial":    boolValue(g.OnProbation),
		"turmericbarrow_worker_unreachable": boolValue(g.Unreachable),
		"turmericbarrow_links_entries":      float64(g.Entries),
	} {
		levels.NewGauge(name, func() float64 { return v })
	}
	levels.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (a *Agent) gauges() Gauges {
	trial, _ := a.supervisor.Probation(a.clock.Now())
	return Gauges{Held: a.supervisor.Held(), FreeMilliCPU: a.supervisor.Free().MilliCPU, Speed: a.supervisor.Speed,
		OnProbation: trial, Unreachable: a.supervisor.Unreachable, Entries: len(a.links)}
}
