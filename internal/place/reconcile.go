package place

import (
	"maps"
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// ReplaceOldAgents handles a new link of an agent. If its host had an agent of another
// incarnation, that process is gone, but its runs may continue at the worker. Their
// tasks are assigned to the new agent in the state TaskUnknown.
func (s *Scheduler) ReplaceOldAgents(agent, host string, now clock.Millis) {
	replaced := map[string]bool{}
	for other, w := range s.Workers {
		if w.Host == host && other != agent {
			s.AgentDisconnected(other, now)
			replaced[other] = true
		}
	}
	if len(replaced) == 0 {
		return
	}
	if s.Workers[agent] == nil {
		s.Workers[agent] = &Worker{Agent: agent, Host: host, Closed: true, Speed: 1, UndescribedSince: now}
	}
	for _, j := range s.Jobs {
		for _, t := range j.Tasks {
			if t.State == TaskUnknown && replaced[t.Agent] {
				t.Agent, t.AgentReplaced = agent, true
			}
		}
	}
}

// claim sends a launch with which a new agent process takes over a run that it found at
// its worker. A stop of the run went to the earlier process, and may be needed again.
func (s *Scheduler) claim(j *Job, t *Task, agent string) {
	w := s.Workers[agent]
	l := s.newLaunch(j, launchKey{agent, t.ID.Step}, w)
	l.Tasks = []LaunchTask{{ID: t.ID, Run: t.Run}}
	l.Claim = true
	w.unacked = append(w.unacked, unackedTask{launch: l.Number, size: l.Size})
	t.State, t.Stopping = TaskSent, false
	s.actions = append(s.actions, *l)
}

// AgentConnected handles the lists of runs that an agent sent over its link: those that it
// holds for this entry, and those of an earlier agent process that no entry has claimed. Both hold
// the number of each run by its task. A run that is missing from them never reached the agent,
// unless it was sent to an earlier agent process of that worker.
func (s *Scheduler) AgentConnected(agent string, held, unclaimed map[jobs.TaskRef]int64, now clock.Millis) {
	if w := s.Workers[agent]; w != nil {
		w.DisconnectedAt = 0
		w.unacked = nil
	}
	s.stopOutdated(agent, held)
	for _, j := range s.sortedJobs() {
		for _, t := range j.Tasks {
			if t.isRunOf(agent) {
				ref := jobs.TaskRef{Job: j.Spec.ID, Task: t.ID}
				s.reconcile(j, t, held[ref] == t.Run, unclaimed[ref] == t.Run, now)
			}
		}
		if j.Answered {
			s.resendStops(j, agent)
		}
	}
	s.schedule(now)
}

// isRunOf reports whether an agent may have the current run of t.
func (t *Task) isRunOf(agent string) bool {
	return t.Agent == agent && (t.State == TaskUnknown || t.State == TaskSent)
}

// reconcile updates a run of an agent that has connected. A run in the state TaskSent was sent on
// this link, on which its launch may still be on the way.
func (s *Scheduler) reconcile(j *Job, t *Task, held, unclaimed bool, now clock.Millis) {
	switch {
	case held:
		t.State = TaskSent
		t.Stopping = false
	case unclaimed && !j.Answered:
		s.claim(j, t, t.Agent)
	case unclaimed || t.AgentReplaced: // the run is stopped, or counts as lost at ResolvesAt
	case t.State == TaskUnknown:
		s.resolve(j, t, jobs.OutcomeNotRun, ResolvedByInventory, now)
	}
}

// stopOutdated stops the runs that an agent holds for this entry and that are not current: while
// the agent was not linked they were taken for lost, and may have been started elsewhere.
func (s *Scheduler) stopOutdated(agent string, held map[jobs.TaskRef]int64) {
	for _, ref := range slices.SortedFunc(maps.Keys(held), jobs.CompareRefs) {
		if !s.isCurrent(agent, ref, held[ref]) {
			s.actions = append(s.actions, Stop{Agent: agent, Job: ref.Job, Tasks: []jobs.TaskID{ref.Task}})
		}
	}
}

// isCurrent reports whether a run at an agent is the current one of its task.
func (s *Scheduler) isCurrent(agent string, ref jobs.TaskRef, run int64) bool {
	j := s.Jobs[ref.Job]
	if j == nil {
		return false
	}
	for _, t := range j.Tasks {
		if t.ID == ref.Task {
			return t.Run == run && t.isRunOf(agent)
		}
	}
	return false
}

// resendStops repeats the stops of an answered job at an agent, since they may have been
// lost with the old link.
func (s *Scheduler) resendStops(j *Job, agent string) {
	for _, t := range j.Tasks {
		if t.State == TaskSent && t.Agent == agent {
			t.Stopping = true
			s.actions = append(s.actions, Stop{Agent: agent, Job: j.Spec.ID, Tasks: []jobs.TaskID{t.ID}})
		}
	}
}
