package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// addSecondWorker adds a worker, and sets a long objective, so that no job is abandoned.
func addSecondWorker(s *Scheduler, now clock.Millis) {
	for _, j := range s.Jobs {
		j.Objective = 10_000
	}
	s.UpdateWorker(Report{Worker: newWorker("other", 4, 1)}, now)
}

// Guards against two runs at once: a claim was lost with its link, and the run, which the agent
// no longer listed after the claim window, was retried while it was at work.
func TestRunWhoseClaimWasLostIsNotRetriedBeforeItIsResolved(t *testing.T) {
	s, l := launchOnHost(t)
	addSecondWorker(s, 490)
	s.ReplaceOldAgents("new", "h", 500)
	s.AgentConnected("new", nil, map[jobs.TaskRef]int64{taskRef(l, 0): l.Tasks[0].Run}, 500)
	require.Len(t, takeLaunches(s), 1, "the claim")
	s.AgentDisconnected("new", 600)
	s.AgentConnected("new", nil, nil, 800)
	require.Empty(t, takeLaunches(s), "the run may be at work until the lease of the earlier agent has expired")
	s.Tick(500 + maxUnknownMS - 1)
	require.Empty(t, takeLaunches(s))
}

// Guards against two runs at once: an agent linked again with a run that the entry had given up
// and sent elsewhere, and nobody stopped it.
func TestRunThatTheEntryHasGivenUpIsStoppedWhenItsAgentIsLinkedAgain(t *testing.T) {
	s, l := launchOnHost(t)
	addSecondWorker(s, 90)
	s.AgentDisconnected("old", 100)
	s.Tick(101 + maxUnknownMS)
	again := takeLaunches(s)
	require.Len(t, again, 1)
	require.Equal(t, "other", again[0].Agent)
	s.AgentConnected("old", map[jobs.TaskRef]int64{taskRef(l, 0): l.Tasks[0].Run}, nil, 110+maxUnknownMS)
	require.Contains(t, s.TakeActions(), Action(Stop{Agent: "old", Job: l.Job, Tasks: []jobs.TaskID{l.Tasks[0].ID}}))
}

// Guards against two entries that keep starting the tasks of one job: its caller had submitted it
// again, and the first entry retried the runs that were stopped in favour of the second.
func TestJobIsAbandonedOnceAnotherEntryRunsIt(t *testing.T) {
	s, l := launchOnHost(t)
	addSecondWorker(s, 90)
	s.RunEnded("old", taskRef(l, 0), l.Tasks[0].Run, jobs.OutcomeSuperseded, 0, 100)
	actions := s.TakeActions()
	require.Len(t, actions, 2)
	require.Equal(t, Stop{Agent: "old", Job: l.Job, Tasks: []jobs.TaskID{l.Tasks[1].ID}}, actions[0], "the stop is sent before the answer")
	require.Equal(t, VerdictUnknown, actions[1].(Answer).Verdict)
}

// Guards against two runs at once: the stop of a run that a new agent process had taken over was lost
// with its link, and was not sent again on the next one.
func TestClaimedRunOfAnAnsweredJobIsStoppedWhenItsAgentIsLinkedAgain(t *testing.T) {
	s, l := launchOnHost(t)
	ref := taskRef(l, 0)
	listed := map[jobs.TaskRef]int64{ref: l.Tasks[0].Run}
	s.ReplaceOldAgents("new", "h", 500)
	s.AgentConnected("new", nil, listed, 500)
	require.Len(t, takeLaunches(s), 1, "the claim")
	s.CallerDisconnected(l.Job, 600)
	s.TakeActions() // the stop is lost
	s.AgentDisconnected("new", 601)
	s.AgentConnected("new", listed, nil, 620)
	require.Contains(t, s.TakeActions(), Action(Stop{Agent: "new", Job: l.Job, Tasks: []jobs.TaskID{ref.Task}}))
}

// Guards against a task that waits for ever: an entry that had given up a run sent the next one to the
// same agent, which was still stopping the first.
func TestTaskThatReturnsToTheAgentOfAGivenUpRunIsRun(t *testing.T) {
	a := newPathAgent("a", 2)
	w := newWorker("a", 2, 1)
	w.Host = "h"
	s := newScheduler(w)
	s.Submit(newSubmission("j", 1, 1000), 0)
	s.Jobs["j"].Objective = 10_000
	first := takeLaunches(s)[0]
	a.receive(first, 1)
	a.supervisor.HandleStartOutcome(runOf(first).Ref, entryName, 1, runs.StartOK, 2)
	a.poll(10, runOf(first))
	a.supervisor.EntryDisconnected(entryName, 100)
	s.AgentDisconnected("a", 100)
	s.Tick(100 + maxUnknownMS)
	now := 110 + maxUnknownMS
	a.sendInventory(s, "h", now) // the agent was paused, and its worker still has to stop the run
	a.supervisor.StopTasks(entryName, "j", nil, now)
	a.supervisor.TakeActions()
	s.UpdateWorker(Report{Worker: w}, now+1)
	second := takeLaunches(s)
	if len(second) == 0 {
		return // it may as well wait for the end of the first run
	}
	a.receive(second[0], now+2)
	require.NotEqual(t, runOf(first), runOf(second[0]))
	a.supervisor.HandlePoll(runs.PollResult{ClockMS: now + 20, SentAt: now + 15, Epoch: 1,
		Ended: []runs.EndedRun{{Ref: runOf(first).Ref, Number: 1, Outcome: jobs.OutcomeStopped}}}, now+20)
	for at := now + 21; at < now+2*clock.Second; at += 20 {
		a.supervisor.Tick(at)
		others := a.sendEnds(s, at)
		s.UpdateWorker(Report{Worker: w, AckedLaunch: s.Workers["a"].LastLaunch}, at)
		for _, l := range takeLaunches(s) {
			a.receive(l, at)
		}
		for _, action := range others {
			if _, started := action.(runs.Start); started {
				return
			}
		}
	}
	require.Fail(t, "the task was never started again", "state %v", s.Jobs["j"].Tasks[0])
}

// Guards against a task that waits for ever: its launch was lost, and the agent lists a run of an earlier
// submission, with the same number, that is not claimed.
func TestUnclaimedRunIsClaimedByATaskWhoseLaunchWasLost(t *testing.T) {
	s, l := launchOnHost(t)
	s.AgentDisconnected("old", 100)
	s.AgentConnected("old", nil, map[jobs.TaskRef]int64{taskRef(l, 0): l.Tasks[0].Run}, 120)
	claims := 0
	for _, launch := range takeLaunches(s) {
		if launch.Claim {
			claims++
		}
	}
	require.True(t, claims == 1 || s.Jobs[l.Job].Tasks[0].State != TaskSent, "no entry holds the run, and the agent will report no end")
}

// Guards against an untrue refusal: a claim arrived after the run had been stopped and forgotten, and was
// taken for a run that never started.
func TestJobWhoseClaimArrivesAfterItsRunHasEndedIsNotRefused(t *testing.T) {
	w := newWorker("a", 2, 1.2)
	w.Host = "h"
	s := newScheduler(w)
	s.Submit(newSubmission("j", 1, 2000), 0)
	first := takeLaunches(s)[0]
	next := pathAgent{name: "a2", supervisor: runs.New(1209)}
	next.supervisor.Restore(pathWorker(2))
	next.poll(300, runOf(first))
	next.sendInventory(s, "h", 400)
	claim := takeLaunches(s)[0]
	next.supervisor.Tick(560) // the claim window has closed
	next.supervisor.HandlePoll(runs.PollResult{ClockMS: 600, SentAt: 600, Epoch: 1,
		Ended: []runs.EndedRun{{Ref: runOf(first).Ref, Number: 1, Outcome: jobs.OutcomeStopped}}}, 600)
	next.supervisor.StopAccepting(601)
	next.receive(claim, 610)
	next.sendEnds(s, 611)
	s.AbandonAll(700)
	answers := takeAnswers(s)
	require.Len(t, answers, 1)
	require.NotEqual(t, VerdictRefused, answers[0].Verdict, "a task of the job ran")
}

// Guards against a job that is abandoned although its caller waits: with the next link the agent repeated
// the end of a superseded run of an earlier submission, which had the same number.
func TestEndOfAnEarlierSubmissionDoesNotAbandonTheJob(t *testing.T) {
	a := newPathAgent("a", 2)
	w := newWorker("a", 2, 1)
	w.Host = "h"
	s := newScheduler(w)
	s.Submit(newSubmission("j", 1, 1000), 0)
	first := takeLaunches(s)[0]
	a.receive(first, 1)
	ref := runOf(first).Ref
	a.supervisor.HandleStartOutcome(ref, entryName, 1, runs.StartOK, 2)
	a.supervisor.Launch([]runs.Run{{Ref: ref, Number: 1, Entry: "other", Size: first.Size}}, 100)
	a.supervisor.HandlePoll(runs.PollResult{ClockMS: 120, SentAt: 110, Epoch: 1,
		Ended: []runs.EndedRun{{Ref: ref, Number: 1, Outcome: jobs.OutcomeStopped}}}, 120)
	a.sendEnds(s, 121)
	require.Len(t, takeAnswers(s), 1, "the first submission is abandoned")

	s.UpdateWorker(Report{Worker: w, AckedLaunch: first.Number}, 2000)
	s.Submit(newSubmission("j", 1, 1000), 2000)
	again := takeLaunches(s)
	require.Len(t, again, 1)
	require.Equal(t, runOf(first), runOf(again[0]))
	s.AgentDisconnected("a", 2001) // the launch is lost
	a.sendInventory(s, "h", 2100)
	require.Empty(t, takeAnswers(s), "the run that was superseded is not the one of this submission")
}
