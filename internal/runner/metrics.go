package runner

import (
	"context"
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// Metrics counts an agent's worker calls and ended runs. docs/OPERATIONS.md explains what a
// rise of each count means.
type Metrics struct {
	set *metrics.Set
}

func newMetrics() *Metrics {
	return &Metrics{set: metrics.NewSet()}
}

var outcomeLabels = map[runs.StartOutcome]string{
	runs.StartOK: "ok", runs.StartRefused: "refused", runs.StartNoCapacity: "no_room",
	runs.StartUnhealthy: "unhealthy", runs.StartUnanswered: "unanswered", runs.StartMisdirected: "misdirected",
}

func (m *Metrics) recordStart(outcome runs.StartOutcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_starts_total{answer=%q}", outcomeLabels[outcome])).Inc()
}

func (m *Metrics) recordPoll(ok bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_looks_total{answered=\"%t\"}", ok)).Inc()
}

func (m *Metrics) recordPanic() {
	m.set.GetOrCreateCounter("turmericbarrow_unexpected_errors_total").Inc()
}

func (m *Metrics) recordRefuted(n int) {
	m.set.GetOrCreateCounter("turmericbarrow_announcements_refuted_total").Add(n)
}

func (m *Metrics) recordOutdated() {
	m.set.GetOrCreateCounter("turmericbarrow_runs_outdated_total").Inc()
}

func (m *Metrics) recordOffer() {
	m.set.GetOrCreateCounter("turmericbarrow_offers_total").Inc()
}

func (m *Metrics) recordUsedOffer() {
	m.set.GetOrCreateCounter("turmericbarrow_offers_used_total").Inc()
}

func (m *Metrics) recordRunEnd(outcome jobs.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_runs_ended_total{end=%q}", outcome)).Inc()
}

func (m *Metrics) recordLoss(cause runs.LossCause) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_runs_lost_total{cause=%q}", string(cause))).Inc()
}

// Gauges are an agent's current values. Held is the number of runs that the agent holds, Reserved
// the number of those that wait for reserved capacity, Entries the number of linked entries.
type Gauges struct {
	Held         int
	Reserved     int
	FreeMilliCPU int64
	Speed        float64
	OnProbation  bool
	Unreachable  bool
	Undescribed  bool
	ZoneDrained  bool
	Entries      int
	// EntriesWaiting is the number of entries at which a job waits for this worker.
	EntriesWaiting int
}

// WriteMetrics writes the agent's metrics in the Prometheus text format.
func (a *Agent) WriteMetrics(ctx context.Context, w io.Writer) {
	reply := make(chan Gauges, 1)
	select {
	case a.gaugeQueries <- reply:
	case <-ctx.Done():
		return
	}
	g := <-reply
	a.metrics.set.WritePrometheus(w)
	gauges := metrics.NewSet()
	for name, v := range map[string]float64{
		"turmericbarrow_runs_held":          float64(g.Held),
		"turmericbarrow_runs_reserved":      float64(g.Reserved),
		"turmericbarrow_free_milli_cpu":     float64(g.FreeMilliCPU),
		"turmericbarrow_worker_speed":       g.Speed,
		"turmericbarrow_worker_on_trial":    boolValue(g.OnProbation),
		"turmericbarrow_worker_unreachable": boolValue(g.Unreachable),
		"turmericbarrow_worker_undescribed": boolValue(g.Undescribed),
		"turmericbarrow_zone_drained":       boolValue(g.ZoneDrained),
		"turmericbarrow_links_entries":      float64(g.Entries),
		"turmericbarrow_entries_waiting":    float64(g.EntriesWaiting),
	} {
		gauges.NewGauge(name, func() float64 { return v })
	}
	gauges.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// Refuse answers the metrics queries that arrive after Run has returned, until ctx ends, and then
// sends nil to done. It acknowledges no announcements: a worker repeats them.
func (a *Agent) Refuse(ctx context.Context, done chan<- error) {
	for {
		select {
		case q := <-a.gaugeQueries:
			q <- a.gauges()
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (a *Agent) gauges() Gauges {
	onProbation, _ := a.supervisor.Probation(a.clock.Now())
	return Gauges{Held: a.supervisor.Held(), Reserved: a.supervisor.HeldForCapacity(), FreeMilliCPU: a.supervisor.Free().MilliCPU, Speed: a.supervisor.Speed,
		OnProbation: onProbation, Unreachable: a.supervisor.Unreachable, Undescribed: a.supervisor.IsUndescribed(), ZoneDrained: a.supervisor.ZoneDrained, Entries: len(a.links),
		EntriesWaiting: a.book.Waiting()}
}
