package place

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Report is the state of a worker as reported by its agent.
type Report struct {
	Worker Worker
	// AckedLaunch is the number of this entry's newest launch that Worker.ReportedFree
	// accounts for.
	AckedLaunch uint64
}

// UpdateWorker handles a report from an agent. The report replaces the known state of the
// worker, except for launches that the report does not account for yet.
func (s *Scheduler) UpdateWorker(r Report, now clock.Millis) {
	w := r.Worker
	w.ReportedAt = now
	old := s.Workers[w.Agent]
	switch {
	case w.Fleet != "":
	case old != nil && old.Fleet == "":
		w.UndescribedSince = old.UndescribedSince
	default:
		w.UndescribedSince = now
	}
	if old != nil {
		w.LastLaunch = old.LastLaunch
		for _, u := range old.unacked {
			if u.launch > r.AckedLaunch {
				w.unacked = append(w.unacked, u)
			}
		}
	}
	s.Workers[w.Agent] = &w
	w.ZoneDrained = s.drains.Contains(w.Zone)
	w.Ejected = w.Ejected && s.mayEject(&w)
	s.schedule(now)
}

// mayEject reports whether w can be ejected without exceeding maxEjectedFraction of its
// fleet.
func (s *Scheduler) mayEject(w *Worker) bool {
	others, ejected := 0, 1
	for _, o := range s.Workers {
		if o.Fleet != w.Fleet || o.DisconnectedAt > 0 || o == w {
			continue
		}
		others++
		if o.Ejected {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedFraction*float64(others+1)
}

// AgentDisconnected handles the loss of the link to an agent. The agent's runs may
// continue, so their state is unknown until ResolvesAt.
func (s *Scheduler) AgentDisconnected(agent string, now clock.Millis) {
	if w := s.Workers[agent]; w != nil && w.DisconnectedAt == 0 {
		w.DisconnectedAt = now
	}
	for _, j := range s.Jobs {
		for _, t := range j.Tasks {
			if t.State == TaskSent && t.Agent == agent {
				t.State = TaskUnknown
				t.ResolvesAt = now + maxUnknownMS
			}
		}
	}
}

// RunEnded handles the end of a run, which took ranMS. It ignores a run that isn't
// current.
func (s *Scheduler) RunEnded(agent string, ref jobs.TaskRef, run int64, outcome jobs.Outcome, ranMS clock.Millis, now clock.Millis) {
	j := s.Jobs[ref.Job]
	if j == nil {
		return
	}
	for _, t := range j.Tasks {
		if t.ID != ref.Task {
			continue
		}
		if t.Agent == agent && t.Run == run && (t.State == TaskSent || t.State == TaskUnknown) {
			s.handleRunEnd(j, t, outcome, ranMS, now)
		}
		return
	}
}

// handleRunEnd handles the end of the current run of t. It records the run time of a
// successful run, answers the job if all its tasks are done, and retries t after any other
// outcome if the job's limits allow it.
func (s *Scheduler) handleRunEnd(j *Job, t *Task, outcome jobs.Outcome, ranMS, now clock.Millis) {
	if outcome != jobs.OutcomeDone {
		s.retryOrFinish(j, t, outcome, now)
		s.schedule(now)
		return
	}
	if w := s.Workers[t.Agent]; w != nil {
		s.recordWork(j.Queue.Name, float64(ranMS)*w.Speed)
	}
	t.State = TaskDone
	t.Agent = ""
	if j.Answered {
		s.deleteIfNoRuns(j)
		return
	}
	if j.allTasksDone() {
		j.Answered = true
		delete(s.Jobs, j.Spec.ID)
		s.dequeue(j)
		s.emitAnswer(Answer{Job: j, Verdict: VerdictSucceeded})
		return
	}
	s.schedule(now)
}

func (j *Job) allTasksDone() bool {
	for _, t := range j.Tasks {
		if t.State != TaskDone {
			return false
		}
	}
	return true
}

// resolve handles a run whose end no agent reported.
func (s *Scheduler) resolve(j *Job, t *Task, outcome jobs.Outcome, cause ResolveCause, now clock.Millis) {
	s.actions = append(s.actions, Resolved{Job: j.Spec.ID, Task: t.ID, Run: t.Run, Agent: t.Agent, Worker: s.WorkerID(t.Agent),
		Outcome: outcome, Cause: cause, AgentReplaced: t.AgentReplaced, SentAt: t.SentAt})
	s.retryOrFinish(j, t, outcome, now)
}

// retryOrFinish queues a task again after a run that didn't succeed, or finishes the
// job if no further run is allowed.
func (s *Scheduler) retryOrFinish(j *Job, t *Task, outcome jobs.Outcome, now clock.Millis) {
	agent := t.Agent
	// The run of an earlier agent process had started, whatever the present one knows of it.
	j.HadUnsuccessfulRun = j.HadUnsuccessfulRun || t.AgentReplaced
	t.State = TaskWaiting
	t.Agent = ""
	t.Stopping, t.AgentReplaced = false, false
	if j.Answered {
		s.deleteIfNoRuns(j)
		return
	}
	switch outcome {
	case jobs.OutcomeSuperseded:
		j.HadUnsuccessfulRun = true
		s.finish(j, VerdictUnknown, ReasonSuperseded, now)
		return
	case jobs.OutcomeFailed:
		t.Failures++
		t.AvoidAgent = agent
		j.HadUnsuccessfulRun = true
	case jobs.OutcomeStopped, jobs.OutcomeLost:
		t.AvoidAgent = agent
		j.HadUnsuccessfulRun = true
	case jobs.OutcomeNotRun, jobs.OutcomeRefused:
		// If no run of the job may have executed and no other task is with an agent or
		// done, the job waits like a new one.
		j.Started = j.HadUnsuccessfulRun || j.hasStartedTask()
		s.reservations.recordReturn(t)
	}
	if outcome == jobs.OutcomeRefused {
		// The worker may know a higher run number from an earlier submission of this
		// job, in which case it refuses all lower ones.
		t.Run *= 2
	}
	switch {
	case t.Failures >= max(j.Queue.MaxAttempts, 1):
		s.finish(j, VerdictFailed, ReasonMaxAttempts, now)
	case t.Run >= 1<<maxRunDoublings:
		s.finish(j, VerdictUnknown, ReasonWorkerLost, now)
	case !j.Started && s.onlyInDrainedZones(j, now):
		s.finish(j, VerdictRefused, ReasonZonesDrained, now)
	default:
		s.requeue(j)
	}
}

// requeue adds j to the jobs to place unless it is already one of them.
func (s *Scheduler) requeue(j *Job) {
	for _, o := range s.jobsToPlace {
		if o == j {
			return
		}
	}
	s.enqueue(j)
}

// HasJobsToPlace reports whether any job has tasks to be placed, in which case Tick is due
// within milliseconds.
func (s *Scheduler) HasJobsToPlace() bool {
	return len(s.jobsToPlace) > 0
}

// Tick treats runs of unknown state as lost from their ResolvesAt on, abandons jobs that
// are too late, stops overdue runs on stalled workers, removes workers that have been
// disconnected for longer than maxUnknownMS, and calls schedule.
func (s *Scheduler) Tick(now clock.Millis) {
	for _, j := range s.sortedJobs() {
		s.tickJob(j, now)
	}
	for agent, w := range s.Workers {
		if w.DisconnectedAt > 0 && now-w.DisconnectedAt > maxUnknownMS {
			delete(s.Workers, agent)
		}
	}
	s.schedule(now)
}

func (s *Scheduler) tickJob(j *Job, now clock.Millis) {
	for _, t := range j.Tasks {
		if t.State == TaskUnknown && now >= t.ResolvesAt {
			s.resolve(j, t, jobs.OutcomeLost, ResolvedByTime, now)
		}
	}
	if j.Answered {
		return
	}
	if j.CallerDeadline > 0 && now >= j.CallerDeadline {
		s.finish(j, VerdictUnknown, ReasonCallerDeadline, now)
		return
	}
	if now > j.usefulUntil() && (j.hasUnknownTask() || j.hasWaitingTask()) {
		// The answer would come too late to be of use.
		s.finish(j, VerdictUnknown, ReasonWorkerLost, now)
		return
	}
	s.stopOverdue(j, now)
}

// hasStartedTask reports whether any task is with an agent or done.
func (j *Job) hasStartedTask() bool {
	for _, t := range j.Tasks {
		if t.State != TaskWaiting {
			return true
		}
	}
	return false
}

func (j *Job) hasUnknownTask() bool {
	for _, t := range j.Tasks {
		if t.State == TaskUnknown {
			return true
		}
	}
	return false
}

// stopOverdue stops overdue runs on stalled workers, so that their tasks can run
// elsewhere.
func (s *Scheduler) stopOverdue(j *Job, now clock.Millis) {
	for _, t := range j.Tasks {
		w := s.Workers[t.Agent]
		if t.State != TaskSent || t.Stopping || t.StoppedForStall || w == nil || !w.Stalled {
			continue
		}
		if now-t.SentAt > clock.Millis(overdueFactor*float64(t.PredictedRunMS))+overdueMS {
			t.Stopping, t.StoppedForStall = true, true
			s.actions = append(s.actions, Stop{Agent: t.Agent, Job: j.Spec.ID, Tasks: []jobs.TaskID{t.ID}})
		}
	}
}

// sortedJobs returns all jobs in a fixed order, which makes replays deterministic.
func (s *Scheduler) sortedJobs() []*Job {
	sorted := make([]*Job, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		sorted = append(sorted, j)
	}
	sortJobs(sorted)
	return sorted
}

// AbandonAll abandons all jobs. Their agents stop the runs.
func (s *Scheduler) AbandonAll(now clock.Millis) {
	for _, j := range s.sortedJobs() {
		s.finish(j, VerdictUnknown, ReasonWorkerLost, now)
	}
}

// AgentsWithRuns returns the reachable agents that may hold runs of this entry.
func (s *Scheduler) AgentsWithRuns() map[string]bool {
	agents := map[string]bool{}
	for _, j := range s.Jobs {
		for _, t := range j.Tasks {
			if t.State == TaskSent {
				agents[t.Agent] = true
			}
		}
	}
	return agents
}

// HoldsRuns reports whether an agent that can be reached may hold runs of this entry.
func (s *Scheduler) HoldsRuns(agent string) bool {
	return s.AgentsWithRuns()[agent]
}

// WorkerID returns the id of an agent's worker for logs, or "" if it is not known.
func (s *Scheduler) WorkerID(agent string) string {
	if w := s.Workers[agent]; w != nil {
		return w.ID
	}
	return ""
}
