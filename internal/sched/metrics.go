package sched

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
)

// Metrics counts an entry's decisions. docs/OPERATIONS.md explains what a rise of each
// metric means.
type Metrics struct {
	// TasksPlaced counts tasks sent to agents.
	TasksPlaced *metrics.Counter

	set *metrics.Set
	// waitTime is the time from a job's arrival until its first task is sent, and
	// answerTime the time until its answer. Both cover only jobs that have started.
	waitTime   *metrics.Histogram
	answerTime *metrics.Histogram
}

func newMetrics() *Metrics {
	set := metrics.NewSet()
	return &Metrics{
		TasksPlaced: set.NewCounter("turmericbarrow_tasks_placed_total"),
		set:         set,
		waitTime:    set.NewHistogram("turmericbarrow_job_wait_seconds"),
		answerTime:  set.NewHistogram("turmericbarrow_job_answer_seconds"),
	}
}

func seconds(d clock.Millis) float64 {
	return d.Duration().Seconds()
}

func (m *Metrics) recordAnswer(a place.Answer, took clock.Millis) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_jobs_total{verdict=%q,reason=%q}", a.Verdict, a.Reason)).Inc()
	if a.Job.Started {
		m.waitTime.Update(seconds(a.Job.FirstSentAt - a.Job.ArrivedAt))
		m.answerTime.Update(seconds(took))
	}
}

func (m *Metrics) recordPanic() {
	m.set.GetOrCreateCounter("turmericbarrow_unexpected_errors_total").Inc()
}

func (m *Metrics) recordRunEnd(outcome jobs.Outcome) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_runs_ended_total{end=%q}", outcome)).Inc()
}

// recordNotice counts a notice to an agent: that a job waits, or that none does any more.
func (m *Metrics) recordNotice(waiting bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_waiting_notices_total{waiting=\"%t\"}", waiting)).Inc()
}

func (m *Metrics) write(w io.Writer, g Gauges) {
	m.set.WritePrometheus(w)
	gauges := metrics.NewSet()
	for name, v := range map[string]int64{
		"turmericbarrow_config_version":  g.TermsVersion,
		"turmericbarrow_jobs_held":       int64(g.HeldJobs),
		"turmericbarrow_jobs_waiting":    int64(g.JobsToPlace),
		"turmericbarrow_workers_known":   int64(g.KnownWorkers),
		"turmericbarrow_workers_open":    int64(g.WorkersWithFreeCPU),
		"turmericbarrow_zones_drained":   int64(g.DrainedZones),
		"turmericbarrow_workers_drained": int64(g.DrainedWorkers),
		"turmericbarrow_links_entries":   int64(g.EntryLinks),
		"turmericbarrow_links_agents":    int64(g.AgentLinks),

		"turmericbarrow_reservations_total":        int64(g.Reservations.Made),
		"turmericbarrow_reservations_failed_total": int64(g.Reservations.Failed),
	} {
		gauges.NewGauge(name, func() float64 { return float64(v) })
	}
	gauges.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
