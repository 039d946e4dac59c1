package place

import (
	"math"
	"slices"
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
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
					s.placeJob(j, now)
				}
			}
		}
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

// placeJob sends the job's waiting tasks to workers until no worker suits the next one.
func (s *Scheduler) placeJob(j *Job, now clock.Millis) {
	launches := map[launchKey]*Launch{}
	var order []launchKey
	for _, t := range j.Tasks {
		if t.State != TaskWaiting || !j.stepReady(t.ID.Step) {
			continue
		}
		w := s.chooseWorker(j, t, now)
		if w == nil {
			break
		}
		k := launchKey{w.Agent, t.ID.Step}
		if launches[k] == nil {
			launches[k] = s.newLaunch(j, k, w)
			order = append(order, k)
		}
		s.assign(j, t, w, launches[k], now)
	}
	for _, k := range order {
		s.actions = append(s.actions, *launches[k])
	}
	if !j.hasWaitingTask() {
		s.dequeue(j)
	}
}

// launchKey groups tasks that are sent in the same launch.
type launchKey struct {
	agent string
	step  int
}

// newLaunch returns the next launch of j to w, without tasks.
func (s *Scheduler) newLaunch(j *Job, k launchKey, w *Worker) *Launch {
	w.LastLaunch++
	return &Launch{
		Agent:       k.agent,
		Number:      w.LastLaunch,
		Job:         j.Spec.ID,
		Queue:       j.Queue.Name,
		Payload:     j.Spec.Payload,
		Size:        j.Spec.Steps[k.step].Size,
		ExpectedMS:  j.PredictedWorkMS,
		LatestStart: int64(j.LatestStart),
	}
}

// assign gives t its next run number, marks it as sent to w and adds it to l.
func (s *Scheduler) assign(j *Job, t *Task, w *Worker, l *Launch, now clock.Millis) {
	t.State = TaskSent
	t.Run++
	t.Agent = w.Agent
	t.SentAt = now
	t.Stopping = false
	t.PredictedRunMS = clock.Millis(float64(j.PredictedWorkMS)/w.Speed) + overheadMS
	if !j.Started {
		j.Started, j.FirstSentAt = true, now
	}
	j.LastSentAt = now
	l.Tasks = append(l.Tasks, LaunchTask{ID: t.ID, Run: t.Run})
	w.unacked = append(w.unacked, unackedTask{launch: l.Number, size: l.Size})
}

// stepReady reports whether all steps that the given step depends on are complete.
func (j *Job) stepReady(step int) bool {
	for _, before := range j.Spec.Steps[step].After {
		for _, t := range j.Tasks {
			if t.ID.Step == before && t.State != TaskDone {
				return false
			}
		}
	}
	return true
}

func (j *Job) hasWaitingTask() bool {
	for _, t := range j.Tasks {
		if t.State == TaskWaiting {
			return true
		}
	}
	return false
}

// chooseWorker returns the worker for a task, or nil if no worker accepts it or it should wait.
// Until its QueueDeadline, a job doesn't use a worker on which the task would end late, since
// a faster one may become free in time. A job that has not started never uses a worker on
// which its answer would come too late to be of use.
func (s *Scheduler) chooseWorker(j *Job, t *Task, now clock.Millis) *Worker {
	deadline := j.ArrivedAt + j.Objective
	best := s.pickCandidate(s.findCandidates(j, t, now), j.Spec.Steps[t.ID.Step].Size)
	if best.worker == nil {
		return nil
	}
	if best.end > float64(deadline) && !j.pastQueueDeadline(now) {
		return nil
	}
	if best.end > float64(j.ArrivedAt+LateFactor*j.Objective) && !j.Started {
		return nil
	}
	return best.worker
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
	for _, bound := range []clock.Millis{j.ArrivedAt + j.Objective, j.ArrivedAt + LateFactor*j.Objective} {
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

// pickCandidate returns the emptiest of a few candidates that it draws at random, or none if
// there are none. Entries decide at the same time from reports that are out of date: if all
// chose the worker that was best in these, it would get the tasks of all of them.
func (s *Scheduler) pickCandidate(candidates []candidate, size jobs.Size) candidate {
	if len(candidates) == 0 {
		return candidate{}
	}
	best := candidates[s.random.IntN(len(candidates))]
	for range drawnCandidates - 1 {
		other := candidates[s.random.IntN(len(candidates))]
		if s.tieBreak(other.worker, size) < s.tieBreak(best.worker, size) {
			best = other
		}
	}
	return best
}

// predictedEnd returns when a task of j would end if it were sent to w now.
func (s *Scheduler) predictedEnd(j *Job, w *Worker, now clock.Millis) float64 {
	end := float64(now+overheadMS) + float64(j.PredictedWorkMS)/w.Speed
	if w.Zone != s.Zone {
		end += float64(crossZoneMS)
	}
	if reportAge := now - w.ReportedAt; reportAge > staleReportMS {
		// The agent may be dead even though the link has not timed out yet.
		end += float64(reportAge)
	}
	return end
}

// tieBreak returns the fraction of w's processor capacity in use with the task added;
// the lower one wins. The emptier of two workers is less likely to be full by the time at
// which the task arrives.
func (s *Scheduler) tieBreak(w *Worker, size jobs.Size) float64 {
	if w.Capacity.MilliCPU < 1 {
		return 1
	}
	return 1 - float64(w.Free().MilliCPU-size.MilliCPU)/float64(w.Capacity.MilliCPU)
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
		reason := s.unservedReason(j)
		if reason == ReasonNone {
			reason = ReasonOverload
		}
		s.emitAnswer(Answer{Job: j, Verdict: VerdictRefused, Reason: reason,
			RetryAfter: s.retryAfter(j.Queue.Fleet), View: s.fleetView(j.Queue.Fleet, now)})
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
