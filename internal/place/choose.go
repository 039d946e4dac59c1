package place

import (
	"math"
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// endTolerance is the fraction of a job's objective by which predicted ends may differ and still
// count as equal.
const endTolerance = 0.1

// chooseWorker returns the worker for a task, or nil if no worker accepts it or it should wait.
// Until its QueueDeadline, a job doesn't use a worker on which the task would end late, since
// a faster one may become free in time. A job that has not started never uses a worker on
// which its answer would come too late to be of use. The worker has capacity for the task, so that
// holdMS is always zero.
func (s *Scheduler) chooseWorker(j *Job, t *Task, now clock.Millis) (w *Worker, holdMS clock.Millis) {
	size := j.Spec.Steps[t.ID.Step].Size
	best := s.pickCandidate(s.findCandidates(j, t, now), s.tieBreakFor(j.Queue.Fleet, size, now))
	if best.worker == nil || !j.acceptsEnd(best.end, now) {
		return nil, 0
	}
	return best.worker, 0
}

// acceptsEnd reports whether a task of j may be placed where it is predicted to end at the given
// time.
func (j *Job) acceptsEnd(end float64, now clock.Millis) bool {
	if !j.pastQueueDeadline(now) {
		return end <= float64(j.onTimeUntil())
	}
	return j.Started || end <= float64(j.usefulUntil())
}

// onTimeUntil returns the latest time at which an answer meets the job's objective.
func (j *Job) onTimeUntil() clock.Millis {
	return j.ArrivedAt + j.Objective
}

// usefulUntil returns the latest time at which a late answer is still of use to the caller.
func (j *Job) usefulUntil() clock.Millis {
	return j.ArrivedAt + LateFactor*j.Objective
}

// candidate is a worker that accepts a task, and the predicted end of the task on it.
type candidate struct {
	worker *Worker
	end    float64
}

// findCandidates returns the workers that accept a task and on which it is predicted to end
// at most endTolerance of its job's objective later than on the best one, and not late if it
// ends in time on that one. The worker of t.AvoidAgent is considered only if there is no
// other one for the task. The result is valid until the next call.
func (s *Scheduler) findCandidates(j *Job, t *Task, now clock.Millis) []candidate {
	step := j.Spec.Steps[t.ID.Step]
	s.candidates = s.candidates[:0]
	earliest := math.Inf(1)
	for _, w := range s.withFreeCPU {
		if !w.accepts(j.Queue.Fleet, step.Label, step.Size) {
			continue
		}
		if w.Agent == t.AvoidAgent && s.hasOtherWorker(j, step, w) {
			continue
		}
		end := s.predictedEnd(j, w, now)
		earliest = min(earliest, end)
		s.candidates = append(s.candidates, candidate{worker: w, end: end})
	}
	latest := earliest + endTolerance*float64(j.Objective)
	for _, bound := range []clock.Millis{j.onTimeUntil(), j.usefulUntil()} {
		if earliest <= float64(bound) {
			latest = min(latest, float64(bound))
		}
	}
	return slices.DeleteFunc(s.candidates, func(c candidate) bool { return c.end > latest })
}

// hasOtherWorker reports whether a task of the given step could run on a worker other than w,
// now or later.
func (s *Scheduler) hasOtherWorker(j *Job, step jobs.Step, w *Worker) bool {
	for _, o := range s.Workers {
		if o != w && o.usable() && o.fitsWhenIdle(j.Queue.Fleet, step.Label, step.Size) {
			return true
		}
	}
	return false
}

// predictedEnd returns when a task of j would end if it were sent to w now.
func (s *Scheduler) predictedEnd(j *Job, w *Worker, now clock.Millis) float64 {
	end := j.earliestEnd(w, now)
	if w.Zone != s.Zone {
		end += float64(crossZoneMS)
	}
	if reportAge := now - w.ReportedAt; reportAge > staleReportMS {
		// The agent may be dead even though the link has not timed out yet.
		end += float64(reportAge)
	}
	return end
}

// earliestEnd is predictedEnd without the additional time for a worker in another zone or one
// whose last report is stale.
func (j *Job) earliestEnd(w *Worker, now clock.Millis) float64 {
	return float64(now+overheadMS) + float64(j.PredictedWorkMS)/w.Speed
}
