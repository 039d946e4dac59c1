package place

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// schedule places the tasks that can be placed now, and refuses jobs that have not started
// by their QueueDeadline. Jobs are placed in three groups, each in the order of precedes:
//
//  1. Jobs that have started. A job is answered when its last task ends, so if every job
//     had only some of its tasks running, all of them would end late.
//  2. Jobs before their QueueDeadline.
//  3. Jobs past their QueueDeadline. Ordered by LatestStart alone they would go first, and
//     each of them would make the next job late as well.
//
// A job that waits for a faster worker doesn't block the jobs behind it, which may use
// the capacity that it left free.
func (s *Scheduler) schedule(now clock.Millis) {
	if s.findWorkersWithFreeCPU() {
		jobsToPlace := append([]*Job(nil), s.jobsToPlace...)
		for group := groupStarted; group <= groupPastQueueDeadline; group++ {
			for _, j := range jobsToPlace {
				if !j.Answered && j.group(now) == group {
					s.placeJob(j, s.chooseWorker, now)
				}
			}
		}
		s.reserveCapacity(now)
	}
	s.rejectExpired(now)
}

// The groups of jobs to place, in the order in which they are placed.
const (
	groupStarted = iota
	groupBeforeQueueDeadline
	groupPastQueueDeadline
)

// group returns the group in which schedule places the job.
func (j *Job) group(now clock.Millis) int {
	switch {
	case j.Started:
		return groupStarted
	case j.pastQueueDeadline(now):
		return groupPastQueueDeadline
	default:
		return groupBeforeQueueDeadline
	}
}

// findWorkersWithFreeCPU sets s.withFreeCPU, in a fixed order. It reports whether there
// are both jobs to place and workers with free processor time. If there are no jobs to
// place, it leaves s.withFreeCPU as it is.
func (s *Scheduler) findWorkersWithFreeCPU() bool {
	if len(s.jobsToPlace) == 0 {
		return false
	}
	s.withFreeCPU = s.withFreeCPU[:0]
	for _, w := range s.Workers {
		if w.hasFreeCPU() {
			s.withFreeCPU = append(s.withFreeCPU, w)
		}
	}
	sort.Slice(s.withFreeCPU, func(a, b int) bool { return s.withFreeCPU[a].Agent < s.withFreeCPU[b].Agent })
	return len(s.withFreeCPU) > 0
}

// pastQueueDeadline reports whether the job's QueueDeadline has passed. A job that starts
// only then will probably end late.
func (j *Job) pastQueueDeadline(now clock.Millis) bool {
	return now > j.QueueDeadline
}

// rejectExpired refuses the jobs that have not started by their QueueDeadline, and finishes
// the jobs to place whose caller deadline has passed.
func (s *Scheduler) rejectExpired(now clock.Millis) {
	for _, j := range append([]*Job(nil), s.jobsToPlace...) {
		if j.CallerDeadline > 0 && now >= j.CallerDeadline {
			s.finish(j, VerdictUnknown, ReasonCallerDeadline, now)
			continue
		}
		if j.group(now) != groupPastQueueDeadline || s.awaitsWorkers(j, now) {
			continue
		}
		j.Answered = true
		s.dequeue(j)
		delete(s.Jobs, j.Spec.ID)
		reason := s.unservedReason(j, now)
		if reason == ReasonNone {
			reason = ReasonOverload
		}
		s.emitAnswer(Answer{Job: j, Verdict: VerdictRefused, Reason: reason,
			RetryAfter: s.retryAfter(j.Queue.Fleet), View: s.fleetView(j, now)})
	}
}

// awaitsWorkers reports whether a job past its QueueDeadline waits on, because workers that are not
// known yet may still give an answer that is of use to its caller.
func (s *Scheduler) awaitsWorkers(j *Job, now clock.Millis) bool {
	lastUsefulStart := j.LatestStart + (LateFactor-1)*j.Objective
	return now < s.AwaitWorkersUntil && now < lastUsefulStart
}

// retryAfter returns the retry delay for callers of refused jobs: the time that the fleet
// is predicted to need to work off its backlog, within minRetryAfterMS and
// maxRetryAfterMS. It assumes that the other entries have the same backlog.
func (s *Scheduler) retryAfter(fleet string) clock.Millis {
	rate := 0.0
	for _, w := range s.Workers {
		if w.Fleet == fleet && w.usable() {
			rate += float64(w.Capacity.MilliCPU) * w.Speed
		}
	}
	if rate < 1 {
		return minRetryAfterMS
	}
	work := 0.0
	for _, j := range s.jobsToPlace {
		if j.Queue.Fleet != fleet {
			continue
		}
		for _, t := range j.Tasks {
			if t.State == TaskWaiting {
				work += float64(j.PredictedWorkMS) * float64(j.Spec.Steps[t.ID.Step].Size.MilliCPU)
			}
		}
	}
	drainMS := clock.Millis(work / rate * float64(max(s.Entries, 1)))
	return min(max(drainMS, minRetryAfterMS), maxRetryAfterMS)
}
