package place

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Submission is a job submitted to the scheduler.
type Submission struct {
	Spec         jobs.Spec
	Queue        contr.Queue
	TermsVersion int64
	// CallerDeadline is when the caller stops waiting; zero if it waits indefinitely.
	CallerDeadline clock.Millis
}

// Submit admits or refuses a job. It returns false and ignores the submission if the
// scheduler still holds a job with the same ID.
func (s *Scheduler) Submit(sub Submission, now clock.Millis) bool {
	if s.Jobs[sub.Spec.ID] != nil {
		return false
	}
	j := s.newJob(sub, now)
	if reason := s.refusalReason(j, now); reason != ReasonNone {
		s.emitAnswer(Answer{Job: j, Verdict: VerdictRefused, Reason: reason, RetryAfter: minRetryAfterMS,
			View: s.fleetView(j, now)})
		return true
	}
	s.Jobs[j.Spec.ID] = j
	s.recordSizes(j, now)
	s.enqueue(j)
	s.schedule(now)
	return true
}

// newJob creates a job that arrives now. It predicts the job's run time from the sum of its
// steps' estimates and the queue's mean run time per task, and derives the objective and the
// deadlines from the prediction.
func (s *Scheduler) newJob(sub Submission, now clock.Millis) *Job {
	j := &Job{Spec: sub.Spec, Queue: sub.Queue, TermsVersion: sub.TermsVersion, ArrivedAt: now, CallerDeadline: sub.CallerDeadline}
	estimate := clock.Millis(0)
	for i, st := range sub.Spec.Steps {
		estimate += st.EstimateMS
		for n := range st.Count {
			j.Tasks = append(j.Tasks, &Task{ID: jobs.TaskID{Step: i, Index: n}})
		}
	}
	j.PredictedWorkMS = s.predict(sub.Queue.Name, estimate)
	stretch := max(sub.Queue.Stretch, 1)
	j.Objective = clock.Millis(stretch*float64(j.PredictedWorkMS)) + sub.Queue.SlackMS
	runMS := clock.Millis(float64(j.PredictedWorkMS) / s.fastestSpeed(sub.Queue.Fleet))
	j.LatestStart = now + j.Objective - runMS - overheadMS
	j.QueueDeadline = now + clock.Millis(maxWaitFraction*float64(j.LatestStart-now))
	return j
}

// refusalReason returns why a job must be refused on arrival, or ReasonNone.
func (s *Scheduler) refusalReason(j *Job, now clock.Millis) Reason {
	if s.Draining {
		return ReasonDraining
	}
	if now < s.AwaitWorkersUntil {
		return ReasonNone
	}
	return s.unservedReason(j, now)
}

// unservedReason returns why no known worker can ever run a step of j as things stand, or
// ReasonNone. A worker that is not described may yet turn out to be one that can.
func (s *Scheduler) unservedReason(j *Job, now clock.Millis) Reason {
	for _, w := range s.Workers {
		if w.awaitsDescription(now) {
			return ReasonNone
		}
	}
	fleetKnown := false
	for _, st := range j.Spec.Steps {
		fits := false
		for _, w := range s.Workers {
			fleetKnown = fleetKnown || w.Fleet == j.Queue.Fleet
			fits = fits || w.fitsWhenIdle(j.Queue.Fleet, st.Label, st.Size)
		}
		if !fits && fleetKnown {
			return ReasonNeverFits
		}
	}
	if !fleetKnown {
		return ReasonNoWorker
	}
	if s.onlyInDrainedZones(j, now) {
		return ReasonZonesDrained
	}
	return ReasonNone
}

// emitAnswer queues the action that answers the callers of a.Job. It does not set
// a.Job.Answered: the caller of emitAnswer does, unless it refuses the job on arrival.
func (s *Scheduler) emitAnswer(a Answer) {
	s.actions = append(s.actions, a)
}

// enqueue inserts j into the jobs to place, after the jobs that it doesn't precede.
func (s *Scheduler) enqueue(j *Job) {
	at := len(s.jobsToPlace)
	for at > 0 && precedes(j, s.jobsToPlace[at-1]) {
		at--
	}
	s.jobsToPlace = append(s.jobsToPlace, nil)
	copy(s.jobsToPlace[at+1:], s.jobsToPlace[at:])
	s.jobsToPlace[at] = j
}

// precedes reports whether a goes before b: the job with the earlier LatestStart goes
// first, and if these are equal, the one whose queue has the lower Priority.
func precedes(a, b *Job) bool {
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	return a.Queue.Priority < b.Queue.Priority
}

// dequeue removes j from the jobs to place, if it is one of them.
func (s *Scheduler) dequeue(j *Job) {
	for i, o := range s.jobsToPlace {
		if o == j {
			s.jobsToPlace = append(s.jobsToPlace[:i], s.jobsToPlace[i+1:]...)
			return
		}
	}
}

// CallerDisconnected abandons a job whose callers no longer wait for the answer.
func (s *Scheduler) CallerDisconnected(id jobs.ID, now clock.Millis) {
	s.finish(s.Jobs[id], VerdictUnknown, ReasonCallerGone, now)
}

// Cancel cancels a job on request. It reports whether the job was held and unanswered.
func (s *Scheduler) Cancel(id jobs.ID, now clock.Millis) bool {
	j := s.Jobs[id]
	if j == nil || j.Answered {
		return false
	}
	s.finish(j, VerdictCancelled, ReasonNone, now)
	return true
}

// finish answers a job and stops its remaining runs. If the job is not Started, it
// replaces VerdictUnknown by VerdictRefused. It does nothing if j is nil or already
// answered.
func (s *Scheduler) finish(j *Job, v Verdict, reason Reason, now clock.Millis) {
	if j == nil || j.Answered {
		return
	}
	j.Answered = true
	s.dequeue(j)
	if v == VerdictUnknown && !j.Started {
		v = VerdictRefused
	}
	stops := map[string][]jobs.TaskID{}
	for _, t := range j.Tasks {
		if t.State == TaskSent && !t.Stopping {
			t.Stopping = true
			stops[t.Agent] = append(stops[t.Agent], t.ID)
		}
	}
	for agent, ids := range stops {
		s.actions = append(s.actions, Stop{Agent: agent, Job: j.Spec.ID, Tasks: ids})
	}
	// The caller may submit the job again as soon as it has the answer.
	s.emitAnswer(Answer{Job: j, Verdict: v, Reason: reason, RetryAfter: minRetryAfterMS,
		View: s.fleetView(j, now)})
	s.deleteIfNoRuns(j)
}

// deleteIfNoRuns removes a job if none of its runs can still be executing. Until then,
// a resubmission of the same job must not start a second run.
func (s *Scheduler) deleteIfNoRuns(j *Job) {
	for _, t := range j.Tasks {
		if t.State == TaskSent || t.State == TaskUnknown {
			return
		}
	}
	delete(s.Jobs, j.Spec.ID)
}

func sortJobs(js []*Job) {
	sort.Slice(js, func(a, b int) bool {
		if js[a].LatestStart != js[b].LatestStart {
			return js[a].LatestStart < js[b].LatestStart
		}
		return js[a].Spec.ID < js[b].Spec.ID
	})
}
