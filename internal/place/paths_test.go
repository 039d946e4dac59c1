package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// entryName is the entry whose scheduler these tests use.
const entryName = "e"

// pathAgent is an agent with its supervisor, in virtual time. Messages to and from it take the
// time that the test lets pass.
type pathAgent struct {
	name       string
	supervisor *runs.Supervisor
}

// newPathAgent returns an agent whose worker has the given number of cores and runs nothing.
func newPathAgent(name string, cores int64) pathAgent {
	a := pathAgent{name: name, supervisor: runs.New(1209)}
	a.supervisor.Announce(runs.Announcement{Worker: pathWorker(cores)}, -1000)
	a.poll(-1000)
	a.supervisor.Tick(-500)
	a.supervisor.TakeActions()
	return a
}

func pathWorker(cores int64) runs.Worker {
	return runs.Worker{ID: "w", Epoch: 1, Fleet: fleet, Capacity: jobs.Size{MilliCPU: cores * 1000, MemoryMB: 10_000}}
}

// poll passes an answered poll to the agent. It lists the given runs as running.
func (a pathAgent) poll(now clock.Millis, running ...runs.RunID) {
	a.supervisor.HandlePoll(runs.PollResult{ClockMS: now, SentAt: now, Epoch: 1, Running: running}, now)
}

// receive passes a launch to the agent.
func (a pathAgent) receive(l Launch, now clock.Millis) {
	var launched []runs.Run
	for _, t := range l.Tasks {
		launched = append(launched, runs.Run{Ref: jobs.TaskRef{Job: l.Job, Task: t.ID}, Number: t.Run, Entry: entryName, Size: l.Size})
	}
	a.supervisor.Launch(launched, now)
}

// sendEnds passes the ends that the agent reports to the scheduler, and returns the agent's other
// actions.
func (a pathAgent) sendEnds(s *Scheduler, now clock.Millis) []runs.Action {
	var others []runs.Action
	for _, action := range a.supervisor.TakeActions() {
		if r, ok := action.(runs.Report); ok {
			s.RunEnded(a.name, r.End.Ref, r.End.Number, r.End.Outcome, r.End.RanMS, now)
			continue
		}
		others = append(others, action)
	}
	return others
}

// sendInventory links the agent, as Entry.onInventory and Agent.sendInventory do.
func (a pathAgent) sendInventory(s *Scheduler, host string, now clock.Millis) {
	held, ends := a.supervisor.EntryConnected(entryName)
	running, ended := a.supervisor.Orphans()
	numbers, unclaimed := map[jobs.TaskRef]int64{}, map[jobs.TaskRef]int64{}
	for _, r := range held {
		numbers[r.Ref] = r.Number
	}
	for _, o := range running {
		unclaimed[o.Ref] = o.Number
	}
	s.ReplaceOldAgents(a.name, host, now)
	for _, e := range ends {
		s.RunEnded(a.name, e.Ref, e.Number, e.Outcome, e.RanMS, now)
	}
	for _, o := range ended {
		s.RunEnded(a.name, o.Ref, o.Number, o.Outcome, 0, now)
	}
	s.AgentConnected(a.name, numbers, unclaimed, now)
}

// newPathScheduler returns a scheduler that prefers the worker of agent "a", on host "h", to that
// of agent "b".
func newPathScheduler() *Scheduler {
	a := newWorker("a", 2, 1.2)
	a.Host = "h"
	return newScheduler(a, newWorker("b", 16, 0.9))
}

func runOf(l Launch) runs.RunID {
	return runs.RunID{Ref: jobs.TaskRef{Job: l.Job, Task: l.Tasks[0].ID}, Number: l.Tasks[0].Run}
}

// Guards against a second run of a task: the claim of a run reached the next agent process after
// the claim window, and was reported as not run while the run was at work.
func TestRunWhoseClaimArrivesLateIsNotRetriedWhileItIsAtWork(t *testing.T) {
	s := newPathScheduler()
	s.Submit(newSubmission("j", 1, 2000), 0)
	first := takeLaunches(s)[0]
	require.Equal(t, "a", first.Agent)
	next := pathAgent{name: "a2", supervisor: runs.New(1209)} // the process of agent "a" was killed
	next.supervisor.Restore(pathWorker(2))
	next.poll(300, runOf(first))
	next.sendInventory(s, "h", 540) // the link comes up near the end of the claim window
	claim := takeLaunches(s)[0]
	require.Equal(t, runOf(first), runOf(claim))
	next.supervisor.Tick(560) // the window has closed
	s.UpdateWorker(Report{Worker: newWorker("b", 16, 0.9)}, 560)
	next.receive(claim, 570)
	next.sendEnds(s, 571)
	next.poll(572, runOf(first)) // the worker still executes the run
	next.sendEnds(s, 573)
	s.Tick(580)
	require.Empty(t, takeLaunches(s), "the run is at work on the worker of the host")
}

// Guards against a refusal of a job that ran (REFUSED), and against a second run by a caller that
// submits it again at once: the claim of its run arrived late.
func TestJobWhoseClaimArrivesLateIsNotRefused(t *testing.T) {
	a := newWorker("a", 2, 1.2)
	a.Host = "h"
	s := newScheduler(a)
	s.Submit(newSubmission("j", 1, 2000), 0)
	first := takeLaunches(s)[0]
	next := pathAgent{name: "a2", supervisor: runs.New(1209)}
	next.supervisor.Restore(pathWorker(2))
	next.poll(300, runOf(first))
	next.sendInventory(s, "h", 540)
	claim := takeLaunches(s)[0]
	next.supervisor.Tick(560)
	next.receive(claim, 570)
	next.sendEnds(s, 571)
	next.supervisor.HandlePoll(runs.PollResult{ClockMS: 600, SentAt: 600, Epoch: 1,
		Ended: []runs.EndedRun{{Ref: runOf(first).Ref, Number: 1, Outcome: jobs.OutcomeStopped}}}, 600)
	next.sendEnds(s, 601)
	var answers []Answer
	for now := clock.Millis(580); now < 10_000 && len(answers) == 0; now += 10 {
		s.Tick(now)
		answers = takeAnswers(s)
	}
	require.NotEmpty(t, answers)
	require.NotEqual(t, VerdictRefused, answers[0].Verdict, "a task of the job ran")
}

// Guards against a second run of a task: the claim of a run was lost with the link on which it was
// sent, and the next inventory, after the claim window, ended the run as not run.
func TestRunWhoseClaimWasLostIsNotRetriedWhileItIsAtWork(t *testing.T) {
	s := newPathScheduler()
	s.Submit(newSubmission("j", 1, 2000), 0)
	first := takeLaunches(s)[0]
	next := pathAgent{name: "a2", supervisor: runs.New(1209)}
	next.supervisor.Restore(pathWorker(2))
	next.poll(300, runOf(first))
	next.sendInventory(s, "h", 400)
	require.Equal(t, runOf(first), runOf(takeLaunches(s)[0]))
	s.AgentDisconnected("a2", 450) // the claim did not arrive
	next.supervisor.Tick(560)      // the claim window has closed
	next.poll(565, runOf(first))   // the stop was not carried out yet
	next.supervisor.Tick(570)
	s.UpdateWorker(Report{Worker: newWorker("b", 16, 0.9)}, 570)
	next.sendInventory(s, "h", 575)
	require.Empty(t, takeLaunches(s), "the run is at work on the worker of the host")
}

// Guards against a second run of a task: the end of a run of an earlier submission, repeated on
// a new link, was taken for the end of the run of the same number of the present submission.
func TestRepeatedEndOfAnEarlierSubmissionEndsNoRun(t *testing.T) {
	s := newPathScheduler()
	a := newPathAgent("a", 2)
	a.supervisor.Launch([]runs.Run{{Ref: jobs.TaskRef{Job: "other"}, Number: 1, Entry: "other entry", Size: jobs.Size{MilliCPU: 2000}}}, 0)
	a.supervisor.HandleStartOutcome(jobs.TaskRef{Job: "other"}, "other entry", 1, runs.StartOK, 1)
	s.Submit(newSubmission("j", 1, 1000), 0)
	returned := takeLaunches(s)[0]
	require.Equal(t, "a", returned.Agent)
	a.receive(returned, 2)
	a.supervisor.Tick(20) // the worker is full: the run ends as not run
	full := newWorker("a", 2, 1.2)
	full.Host, full.ReportedFree = "h", jobs.Size{}
	s.UpdateWorker(Report{Worker: full, AckedLaunch: 1}, 20)
	a.sendEnds(s, 21)
	second := takeLaunches(s)[0]
	require.Equal(t, "b", second.Agent)
	s.CallerDisconnected("j", 100)
	endRun(s, second, 0, jobs.OutcomeStopped, 120)
	require.True(t, s.Idle())
	a.supervisor.HandlePoll(runs.PollResult{ClockMS: 200, SentAt: 200, Epoch: 1,
		Ended: []runs.EndedRun{{Ref: jobs.TaskRef{Job: "other"}, Number: 1, Outcome: jobs.OutcomeDone}}}, 200)
	free := newWorker("a", 2, 1.2)
	free.Host = "h"
	s.UpdateWorker(Report{Worker: free, AckedLaunch: 1}, 1390)
	s.UpdateWorker(Report{Worker: newWorker("b", 16, 0.9), AckedLaunch: 1}, 1390)
	s.TakeActions()
	a.supervisor.TakeActions()

	s.Submit(newSubmission("j", 1, 1000), 1400) // the caller submits the job again, here
	again := takeLaunches(s)[0]
	require.Equal(t, "a", again.Agent)
	a.receive(again, 1402)
	a.supervisor.HandleStartOutcome(runOf(again).Ref, entryName, 1, runs.StartOK, 1403)
	s.AgentDisconnected("a", 1500) // a short loss of the link
	a.supervisor.EntryDisconnected(entryName, 1500)
	a.sendInventory(s, "h", 1530)
	require.Empty(t, takeLaunches(s), "the run is at work on the worker of agent a")
}

// Guards against a second run of a task that goes on to its end: a run that its entry has given up
// is stopped when its agent lists it.
func TestHeldRunThatTheEntryHasGivenUpIsStopped(t *testing.T) {
	s := newPathScheduler()
	s.Submit(newSubmission("j", 1, 3000), 0)
	first := takeLaunches(s)[0]
	s.AgentDisconnected(first.Agent, 100)
	s.Tick(100 + maxUnknownMS)
	require.NotEqual(t, first.Agent, takeLaunches(s)[0].Agent)
	s.AgentConnected(first.Agent, map[jobs.TaskRef]int64{runOf(first).Ref: 1}, nil, 1700)
	var stopped []Stop
	for _, action := range s.TakeActions() {
		if stop, ok := action.(Stop); ok {
			stopped = append(stopped, stop)
		}
	}
	require.Equal(t, []Stop{{Agent: first.Agent, Job: "j", Tasks: []jobs.TaskID{{}}}}, stopped)
}

// Guards against a second run of a task: an inventory that an agent sent before a launch reached
// it must not end the run of that launch.
func TestInventorySentBeforeALaunchArrivedEndsNoRun(t *testing.T) {
	s := newPathScheduler()
	a := newPathAgent("a", 2)
	s.Submit(newSubmission("j", 1, 1000), 0)
	first := takeLaunches(s)[0]
	require.Equal(t, "a", first.Agent)
	a.sendInventory(s, "h", 1) // on the same link, while the launch is on its way
	a.receive(first, 2)
	require.Empty(t, takeLaunches(s))
}

// Guards against a second run of a task: a resubmitted job must wait until no run of its earlier
// submission can be at work, whatever became of the link to its agent.
func TestJobSubmittedAgainToItsEntryWaitsUntilItsRunsAreResolved(t *testing.T) {
	s := newPathScheduler()
	s.Submit(newSubmission("j", 1, 1000), 0)
	first := takeLaunches(s)[0]
	s.AgentDisconnected(first.Agent, 100)
	s.CallerDisconnected("j", 110)
	for now := clock.Millis(120); now < 100+maxUnknownMS; now += 10 {
		s.Tick(now)
		require.False(t, s.Submit(newSubmission("j", 1, 1000), now))
	}
	s.Tick(100 + maxUnknownMS)
	require.True(t, s.Submit(newSubmission("j", 1, 1000), 100+maxUnknownMS))
}

// Guards against a second run of a task: each further process of an agent must leave the run the
// time until it has certainly ended, counted from the last process that held it.
func TestRunOfAnAgentReplacedTwiceIsNotRetriedBeforeItIsResolved(t *testing.T) {
	s := newPathScheduler()
	s.Submit(newSubmission("j", 1, 4000), 0)
	first := takeLaunches(s)[0]
	s.ReplaceOldAgents("a2", "h", 1000)
	s.AgentConnected("a2", nil, map[jobs.TaskRef]int64{runOf(first).Ref: 1}, 1000)
	require.Equal(t, "a2", takeLaunches(s)[0].Agent, "claimed")
	s.ReplaceOldAgents("a3", "h", 2000)
	s.AgentConnected("a3", nil, nil, 2000)
	for now := clock.Millis(2000); now < 2000+maxUnknownMS; now += 10 {
		s.Tick(now)
		require.Empty(t, takeLaunches(s), "at %d ms", now)
	}
	s.Tick(2000 + maxUnknownMS)
	require.Equal(t, "b", takeLaunches(s)[0].Agent)
}
