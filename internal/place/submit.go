package place

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Submission is a job at its arrival.
type Submission struct {
	Spec         jobs.Spec
	Queue        contr.Queue
	TermsVersion int64
	// CallerDeadline is when the caller stops waiting; zero for never.
	CallerDeadline clock.Millis
}

// Submit admits a job or refuses it at once. It reports false for a job that the
// scheduler still holds.
func (s *Scheduler) Submit(sub Submission, now clock.Millis) bool {
	if s.Jobs[sub.Spec.ID] != nil {
		return false
	}
	j := s.newJob(sub, now)
	if reason := s.refusal(j); reason != ReasonNone {
		s.answer(Answer{Job: j, Verdict: VerdictRefused, Reason: reason, RetryAfter: minRetryMS,
			View: s.view(j.Queue.Fleet, now)})
		return true
	}
	s.Jobs[j.Spec.ID] = j
	s.enqueue(j)
	s.pump(now)
	return true
}

func (s *Scheduler) newJob(sub Submission, now clock.Millis) *Job {
	j := &Job{Spec: sub.Spec, Queue: sub.Queue, TermsVersion: sub.TermsVersion, ArrivedAt: now, CallerDeadline: sub.CallerDeadline}
	estimate := clock.Millis(0)
	for i, st := range sub.Spec.Steps {
		estimate += st.EstimateMS
		for n := range st.Count {
			j.Tasks = append(j.Tasks, &Task{ID: jobs.TaskID{Step: i, Index: n}})
		}
	}
	j.WorkMS = s.predict(sub.Queue.Name, estimate)
	stretch := max(sub.Queue.Stretch, 1)
	j.Objective = clock.Millis(stretch*float64(j.WorkMS)) + sub.Queue.SlackMS
	run := clock.Millis(float64(j.WorkMS) / s.fastest(sub.Queue.Fleet))
	j.LatestStart = now + j.Objective - run - overheadMS
	j.QueueDeadline = now + clock.Millis(waitPart*float64(j.LatestStart-now))
	return j
}

// refusal returns why a job can't run at all.
func (s *Scheduler) refusal(j *Job) Reason {
	if s.Draining {
		return ReasonDraining
	}
	known := false
	for _, st := range j.Spec.Steps {
		fits := false
		for _, w := range s.Workers {
			known = known || w.Fleet == j.Queue.Fleet
			fits = fits || w.could(j.Queue.Fleet, st.Label, st.Size)
		}
		if !fits && known {
			return ReasonNeverFits
		}
	}
	if !known {
		return ReasonNoWorker
	}
	return ReasonNone
}

func (s *Scheduler) answer(a Answer) {
	s.actions = append(s.actions, a)
}

// enqueue keeps the waiting jobs in order of rank, then of arrival.
func (s *Scheduler) enqueue(j *Job) {
	at := len(s.waiting)
	for at > 0 && goesBefore(j, s.waiting[at-1]) {
		at--
	}
	s.waiting = append(s.waiting, nil)
	copy(s.waiting[at+1:], s.waiting[at:])
	s.waiting[at] = j
}

func goesBefore(a, b *Job) bool {
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	return a.Queue.Priority < b.Queue.Priority
}

func (s *Scheduler) dequeue(j *Job) {
	for i, o := range s.waiting {
		if o == j {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// CallerGone ends a job whose caller does not wait any more.
func (s *Scheduler) CallerGone(id jobs.ID, now clock.Millis) {
	s.finish(s.Jobs[id], VerdictUnknown, ReasonCallerGone, now)
}

// Cancel ends a job for its caller; it reports whether it was known.
func (s *Scheduler) Cancel(id jobs.ID, now clock.Millis) bool {
	j := s.Jobs[id]
	if j == nil || j.Ending {
		return false
	}
	s.finish(j, VerdictCancelled, ReasonNone, now)
	return true
}

// finish answers a job and stops what still runs of it.
func (s *Scheduler) finish(j *Job, v Verdict, reason Reason, now clock.Millis) {
	if j == nil || j.Ending {
		return
	}
	j.Ending = true
	s.dequeue(j)
	if v == VerdictUnknown && !j.Started {
		v = VerdictRefused
	}
	s.answer(Answer{Job: j, Verdict: v, Reason: reason, RetryAfter: minRetryMS,
		View: s.view(j.Queue.Fleet, now)})
	halts := map[string][]jobs.TaskID{}
	for _, t := range j.Tasks {
		if t.State == TaskSent && !t.Stopping {
			t.Stopping = true
			halts[t.Agent] = append(halts[t.Agent], t.ID)
		}
	}
	for agent, ids := range halts {
		s.actions = append(s.actions, Stop{Agent: agent, Job: j.Spec.ID, Tasks: ids})
	}
	s.forgetIfOver(j)
}

// forgetIfOver forgets a job once none of its runs can be alive: until then the same
// job, submitted again, must not start a second run.
func (s *Scheduler) forgetIfOver(j *Job) {
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
