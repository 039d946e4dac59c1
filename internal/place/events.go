package place

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Report is the state of a worker as its agent told it.
type Report struct {
	Worker Worker
	// AckedLaunch is the newest launch of this entry that Worker.Reported includes.
	AckedLaunch uint64
}

// UpdateWorker takes a report.
func (s *Scheduler) UpdateWorker(r Report, now clock.Millis) {
	w := r.Worker
	w.ReportedAt = now
	if old := s.Workers[w.Agent]; old != nil {
		w.LastLaunch = old.LastLaunch
		for _, u := range old.unseen {
			if u.number > r.AckedLaunch {
				w.unseen = append(w.unseen, u)
			}
		}
	}
	s.Workers[w.Agent] = &w
	w.Ejected = w.Ejected && s.mayRest(&w)
	s.pump(now)
}

// mayRest reports whether the fleet can do without w.
func (s *Scheduler) mayRest(w *Worker) bool {
	fleet, resting := 0, 1
	for _, o := range s.Workers {
		if o.Fleet != w.Fleet || o.DisconnectedAt > 0 || o == w {
			continue
		}
		fleet++
		if o.Ejected {
			resting++
		}
	}
	return float64(resting) <= maxRestingPart*float64(fleet+1)
}

// AgentDisconnected notes that the link to an agent has ended. Its runs may go on until they
// settle.
func (s *Scheduler) AgentDisconnected(agent string, now clock.Millis) {
	if w := s.Workers[agent]; w != nil && w.DisconnectedAt == 0 {
		w.DisconnectedAt = now
	}
	for _, j := range s.Jobs {
		for _, t := range j.Tasks {
			if t.State == TaskSent && t.Agent == agent {
				t.State = TaskUnknown
				t.ResolvesAt = now + settleMS
			}
		}
	}
}

// AgentReplaced notes that a new process stands beside a worker: the one before it on
// that host is gone. Its runs may go on at the worker.
func (s *Scheduler) AgentReplaced(agent, host string, now clock.Millis) {
	gone := map[string]bool{}
	for inc, w := range s.Workers {
		if w.Host == host && inc != agent {
			s.AgentDisconnected(inc, now)
			gone[inc] = true
		}
	}
	if len(gone) == 0 {
		return
	}
	if s.Workers[agent] == nil {
		s.Workers[agent] = &Worker{Agent: agent, Host: host, Closed: true, Speed: 1}
	}
	for _, j := range s.Jobs {
		for _, t := range j.Tasks {
			if t.State == TaskUnknown && gone[t.Agent] {
				t.Agent, t.AgentReplaced = agent, true
			}
		}
	}
}

// claim asks the new process beside a worker to go on with a run that it found.
func (s *Scheduler) claim(j *Job, t *Task, agent string) {
	w := s.Workers[agent]
	l := s.newLaunch(j, launchKey{agent, t.ID.Step}, w)
	l.Tasks = []LaunchTask{{ID: t.ID, Run: t.Run}}
	w.unseen = append(w.unseen, unseen{number: l.Number, size: l.Size})
	t.State, t.AgentReplaced = TaskSent, false
	s.actions = append(s.actions, *l)
}

// AgentReconnected takes what an agent holds for this entry, over a new link. What it does
// not hold was never received, unless an earlier process beside the worker got it.
func (s *Scheduler) AgentReconnected(agent string, held map[jobs.TaskRef]int64, now clock.Millis) {
	if w := s.Workers[agent]; w != nil {
		w.DisconnectedAt = 0
		w.unseen = nil
	}
	for _, j := range s.sortedJobs() {
		for _, t := range j.Tasks {
			if t.Agent != agent || (t.State != TaskUnknown && t.State != TaskSent) {
				continue
			}
			holds := held[jobs.TaskRef{Job: j.Spec.ID, Task: t.ID}] == t.Run
			if t.AgentReplaced {
				if holds && !j.Ending {
					s.claim(j, t, agent)
				}
				continue // or it settles
			}
			if holds {
				t.State = TaskSent
				t.Stopping = false
				continue
			}
			s.taskBack(j, t, jobs.OutcomeNotRun, now)
		}
		if j.Ending {
			s.haltAgain(j, agent)
		}
	}
	s.pump(now)
}

// haltAgain repeats a stop that a lost link may have swallowed.
func (s *Scheduler) haltAgain(j *Job, agent string) {
	for _, t := range j.Tasks {
		if t.State == TaskSent && t.Agent == agent {
			t.Stopping = true
			s.actions = append(s.actions, Stop{Agent: agent, Job: j.Spec.ID, Tasks: []jobs.TaskID{t.ID}})
		}
	}
}

// RunEnded takes the end of a run.
func (s *Scheduler) RunEnded(agent string, name jobs.TaskRef, run int64, end jobs.Outcome, ran clock.Millis, now clock.Millis) {
	j := s.Jobs[name.Job]
	if j == nil {
		return
	}
	for _, t := range j.Tasks {
		if t.ID != name.Task {
			continue
		}
		if t.Agent == agent && t.Run == run && (t.State == TaskSent || t.State == TaskUnknown) {
			s.endOf(j, t, end, ran, now)
		}
		return
	}
}

func (s *Scheduler) endOf(j *Job, t *Task, end jobs.Outcome, ran, now clock.Millis) {
	if end != jobs.OutcomeDone {
		s.taskBack(j, t, end, now)
		s.pump(now)
		return
	}
	if w := s.Workers[t.Agent]; w != nil {
		s.learn(j.Queue.Name, float64(ran)*w.Speed)
	}
	t.State = TaskDone
	t.Agent = ""
	if j.Ending {
		s.forgetIfOver(j)
		return
	}
	if j.done() {
		j.Ending = true
		delete(s.Jobs, j.Spec.ID)
		s.dequeue(j)
		s.answer(Answer{Job: j, Verdict: VerdictSucceeded})
		return
	}
	s.pump(now)
}

func (j *Job) done() bool {
	for _, t := range j.Tasks {
		if t.State != TaskDone {
			return false
		}
	}
	return true
}

// taskBack puts a task whose run has ended without success back into the queue, or
// ends its job.
func (s *Scheduler) taskBack(j *Job, t *Task, end jobs.Outcome, now clock.Millis) {
	agent := t.Agent
	t.State = TaskWaiting
	t.Agent = ""
	t.Stopping, t.AgentReplaced = false, false
	if j.Ending {
		s.forgetIfOver(j)
		return
	}
	switch end {
	case jobs.OutcomeFailed:
		t.Failures++
		t.AvoidAgent = agent
		j.HasRun = true
	case jobs.OutcomeStopped, jobs.OutcomeLost:
		t.AvoidAgent = agent
		j.HasRun = true
	case jobs.OutcomeNotRun:
		// With nothing of it at work it waits like a new one.
		j.Started = j.HasRun || j.out()
		// A worker that knows a higher number of an earlier submission of this
		// job refuses lower ones.
		t.Run *= 2
	}
	switch {
	case t.Failures >= max(j.Queue.MaxAttempts, 1):
		s.finish(j, VerdictFailed, ReasonMaxAttempts, now)
	case t.Run >= 1<<maxRuns:
		s.finish(j, VerdictUnknown, ReasonWorkerLost, now)
	default:
		s.requeue(j)
	}
}

func (s *Scheduler) requeue(j *Job) {
	for _, o := range s.waiting {
		if o == j {
			return
		}
	}
	s.enqueue(j)
}

// HasWaitingJobs reports whether something is due within milliseconds.
func (s *Scheduler) HasWaitingJobs() bool {
	return len(s.waiting) > 0
}

// Tick does what is due.
func (s *Scheduler) Tick(now clock.Millis) {
	for _, j := range s.sortedJobs() {
		s.tickJob(j, now)
	}
	for agent, w := range s.Workers {
		if w.DisconnectedAt > 0 && now-w.DisconnectedAt > settleMS {
			delete(s.Workers, agent)
		}
	}
	s.pump(now)
}

func (s *Scheduler) tickJob(j *Job, now clock.Millis) {
	for _, t := range j.Tasks {
		if t.State == TaskUnknown && now >= t.ResolvesAt {
			s.taskBack(j, t, jobs.OutcomeLost, now)
		}
	}
	if j.Ending {
		return
	}
	if j.CallerDeadline > 0 && now >= j.CallerDeadline {
		s.finish(j, VerdictUnknown, ReasonCallerDeadline, now)
		return
	}
	if now > j.ArrivedAt+LateFactor*j.Objective && (j.unsure() || j.hasWaiting()) {
		// Its answer would come too late to be of use.
		s.finish(j, VerdictUnknown, ReasonWorkerLost, now)
		return
	}
	s.haltOverdue(j, now)
}

// out reports whether a task is with an agent, or done.
func (j *Job) out() bool {
	for _, t := range j.Tasks {
		if t.State != TaskWaiting {
			return true
		}
	}
	return false
}

func (j *Job) unsure() bool {
	for _, t := range j.Tasks {
		if t.State == TaskUnknown {
			return true
		}
	}
	return false
}

// haltOverdue stops runs that stand still, so that they can be run elsewhere.
func (s *Scheduler) haltOverdue(j *Job, now clock.Millis) {
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

// sortedJobs returns all jobs in a fixed order, so that a replay gives the same
// result.
func (s *Scheduler) sortedJobs() []*Job {
	out := make([]*Job, 0, len(s.Jobs))
	for _, j := range s.Jobs {
		out = append(out, j)
	}
	sortJobs(out)
	return out
}

// AbandonAll gives up every job at once; its runs are stopped by their agents.
func (s *Scheduler) AbandonAll(now clock.Millis) {
	for _, j := range s.sortedJobs() {
		s.finish(j, VerdictUnknown, ReasonWorkerLost, now)
	}
}

// AgentsWithRuns returns the agents that may hold runs.
func (s *Scheduler) AgentsWithRuns() map[string]bool {
	out := map[string]bool{}
	for _, j := range s.Jobs {
		for _, t := range j.Tasks {
			if t.State == TaskSent {
				out[t.Agent] = true
			}
		}
	}
	return out
}

// WorkerID returns the id of an agent's worker, for logs.
func (s *Scheduler) WorkerID(agent string) string {
	if w := s.Workers[agent]; w != nil {
		return w.ID
	}
	return ""
}
