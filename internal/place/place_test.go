package place

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

const fleet = "f"

func newWorker(agent string, cores int64, speed float64) Worker {
	size := jobs.Size{MilliCPU: cores * 1000, MemoryMB: 10_000}
	return Worker{Agent: agent, Zone: "z", ID: agent, Fleet: fleet, Capacity: size, ReportedFree: size, Speed: speed}
}

func newScheduler(ws ...Worker) *Scheduler {
	s := New("z")
	for _, w := range ws {
		s.UpdateWorker(Report{Worker: w}, 0)
	}
	return s
}

func newQueue(name string) contr.Queue {
	return contr.Queue{Name: name, Fleet: fleet, MaxAttempts: 2, Stretch: 1.6, SlackMS: 60}
}

func newSubmission(id string, tasks int, estimate clock.Millis) Submission {
	return Submission{Queue: newQueue("q"), TermsVersion: 3, Spec: jobs.Spec{ID: jobs.ID(id), Queue: "q",
		Steps: []jobs.Step{{Count: tasks, Size: jobs.Size{MilliCPU: 2000, MemoryMB: 64}, EstimateMS: estimate}}}}
}

func takeLaunches(s *Scheduler) []Launch {
	var out []Launch
	for _, a := range s.TakeActions() {
		if l, ok := a.(Launch); ok {
			out = append(out, l)
		}
	}
	return out
}

func takeAnswers(s *Scheduler) []Answer {
	var out []Answer
	for _, a := range s.TakeActions() {
		if l, ok := a.(Answer); ok {
			out = append(out, l)
		}
	}
	return out
}

func endRun(s *Scheduler, l Launch, i int, outcome jobs.Outcome, now clock.Millis) {
	s.RunEnded(l.Agent, jobs.TaskRef{Job: l.Job, Task: l.Tasks[i].ID}, l.Tasks[i].Run, outcome, 50, now)
}

func TestJobIsPlacedInOneLaunchOnTheFastestWorkerAndAnsweredOnce(t *testing.T) {
	s := newScheduler(newWorker("slow", 16, 0.5), newWorker("fast", 16, 1.2))
	s.Submit(newSubmission("a", 3, 100), 0)
	ls := takeLaunches(s)
	require.Len(t, ls, 1, "one message for all tasks on one worker")
	require.Equal(t, "fast", ls[0].Agent)
	require.Len(t, ls[0].Tasks, 3)
	for i := range ls[0].Tasks {
		require.Empty(t, takeAnswers(s), "a job is answered only after its last task")
		endRun(s, ls[0], i, jobs.OutcomeDone, 80)
	}
	as := takeAnswers(s)
	require.Len(t, as, 1)
	require.Equal(t, VerdictSucceeded, as[0].Verdict)
	require.True(t, s.Idle())
}

func TestFreeCapacityCountsUnacknowledgedLaunches(t *testing.T) {
	s := newScheduler(newWorker("w", 4, 1))
	s.Submit(newSubmission("a", 2, 100), 0)
	require.Len(t, takeLaunches(s), 1)
	w := newWorker("w", 4, 1)
	s.UpdateWorker(Report{Worker: w, AckedLaunch: 0}, 1)
	s.Submit(newSubmission("b", 1, 100), 1)
	require.Empty(t, takeLaunches(s), "the report is older than the launch")
}

// On the slow worker the long task is bound to end late. The fast worker is full only
// briefly and can still finish it in time.
func TestLongTaskWaitsForAFastWorker(t *testing.T) {
	s := newScheduler(newWorker("slow", 16, 0.5), newWorker("fast", 2, 1.2))
	s.Submit(newSubmission("a", 1, 1000), 0)
	first := takeLaunches(s)
	require.Equal(t, "fast", first[0].Agent)
	s.Submit(newSubmission("b", 1, 1000), 0)
	require.Empty(t, takeLaunches(s))
	w := newWorker("fast", 2, 1.2)
	s.UpdateWorker(Report{Worker: w, AckedLaunch: 1}, 200)
	require.Equal(t, "fast", takeLaunches(s)[0].Agent)
}

func TestShortTaskGoesToAFreeSlowWorker(t *testing.T) {
	s := newScheduler(newWorker("slow", 16, 0.5), newWorker("fast", 2, 1.2))
	s.Submit(newSubmission("a", 1, 50), 0)
	takeLaunches(s)
	s.Submit(newSubmission("b", 1, 50), 0)
	ls := takeLaunches(s)
	require.Len(t, ls, 1)
	require.Equal(t, "slow", ls[0].Agent)
}

func TestJobThatCannotStartInTimeIsRefused(t *testing.T) {
	s := newScheduler(newWorker("w", 2, 1))
	s.Submit(newSubmission("a", 1, 5000), 0)
	require.Len(t, takeLaunches(s), 1)
	s.Submit(newSubmission("b", 1, 50), 0)
	var got []Answer
	for now := clock.Millis(0); now < 400 && len(got) == 0; now += 10 {
		s.Tick(now)
		got = takeAnswers(s)
	}
	require.Len(t, got, 1)
	require.Equal(t, VerdictRefused, got[0].Verdict)
	require.Equal(t, ReasonOverload, got[0].Reason)
	require.GreaterOrEqual(t, got[0].RetryAfter, minRetryAfterMS)
	require.Len(t, s.Jobs, 1)
}

func TestFailedTaskIsRetriedOnAnotherWorkerUpToMaxAttempts(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 1), newWorker("b", 16, 1))
	s.Submit(newSubmission("j", 1, 100), 0)
	first := takeLaunches(s)[0]
	endRun(s, first, 0, jobs.OutcomeFailed, 50)
	second := takeLaunches(s)[0]
	require.NotEqual(t, first.Agent, second.Agent)
	require.Greater(t, second.Tasks[0].Run, first.Tasks[0].Run)
	endRun(s, second, 0, jobs.OutcomeFailed, 90)
	require.Equal(t, VerdictFailed, takeAnswers(s)[0].Verdict)
}

// A task must not run elsewhere while a run of unknown state may still be executing.
func TestUnknownRunIsResolvedBeforeItsTaskIsRetried(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 1), newWorker("b", 16, 0.9))
	s.Submit(newSubmission("j", 1, 2000), 0)
	first := takeLaunches(s)[0]
	require.Equal(t, "a", first.Agent)
	s.AgentDisconnected("a", 100)
	for now := clock.Millis(100); now < 100+maxUnknownMS; now += 100 {
		s.Tick(now)
		require.Empty(t, takeLaunches(s))
	}
	s.Tick(100 + maxUnknownMS)
	ls := takeLaunches(s)
	require.Len(t, ls, 1)
	require.Equal(t, "b", ls[0].Agent)
}

func TestRunsThatAReconnectedAgentNeverReceivedAreSentAgain(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 1))
	s.Submit(newSubmission("held", 1, 1000), 0)
	s.Submit(newSubmission("never", 1, 1000), 0)
	takeLaunches(s)
	s.AgentDisconnected("a", 100)
	held := map[jobs.TaskRef]int64{{Job: "held", Task: jobs.TaskID{}}: 1}
	s.AgentConnected("a", held, nil, 200)
	s.UpdateWorker(Report{Worker: newWorker("a", 16, 1)}, 200)
	ls := takeLaunches(s)
	require.Len(t, ls, 1)
	require.Equal(t, jobs.ID("never"), ls[0].Job)
}

func TestRunsAreStoppedWhenTheCallerDisconnects(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 1))
	s.Submit(newSubmission("j", 2, 1000), 0)
	l := takeLaunches(s)[0]
	s.CallerDisconnected("j", 10)
	actions := s.TakeActions()
	require.Contains(t, actions, Action(Stop{Agent: "a", Job: "j", Tasks: []jobs.TaskID{{Index: 0}, {Index: 1}}}))
	require.False(t, s.Submit(newSubmission("j", 2, 1000), 20), "its runs may still be executing")
	endRun(s, l, 0, jobs.OutcomeStopped, 30)
	endRun(s, l, 1, jobs.OutcomeStopped, 30)
	require.True(t, s.Submit(newSubmission("j", 2, 1000), 40))
}

func TestStepWaitsForEarlierSteps(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 1))
	sub := newSubmission("j", 1, 100)
	sub.Spec.Steps = append(sub.Spec.Steps, jobs.Step{Count: 1, Size: jobs.Size{MilliCPU: 1000}, EstimateMS: 100, After: []int{0}})
	s.Submit(sub, 0)
	ls := takeLaunches(s)
	require.Len(t, ls, 1)
	endRun(s, ls[0], 0, jobs.OutcomeDone, 100)
	ls = takeLaunches(s)
	require.Len(t, ls, 1)
	require.Equal(t, 1, ls[0].Tasks[0].ID.Step)
}

func TestJobThatFitsNoWorkerIsRefusedAtOnce(t *testing.T) {
	s := newScheduler(newWorker("a", 1, 1))
	s.Submit(newSubmission("j", 1, 100), 0)
	require.Equal(t, ReasonNeverFits, takeAnswers(s)[0].Reason)
}

func TestPredictionCombinesPastRunTimesWithTheEstimate(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 1))
	for i := range 200 {
		s.Submit(newSubmission(fmt.Sprint(i), 1, 400), 0)
		l := takeLaunches(s)[0]
		s.RunEnded(l.Agent, jobs.TaskRef{Job: l.Job, Task: l.Tasks[0].ID}, l.Tasks[0].Run, jobs.OutcomeDone, 100, 0)
		s.UpdateWorker(Report{Worker: newWorker("a", 16, 1), AckedLaunch: l.Number}, 0)
	}
	p := s.predict("q", 400)
	require.Greater(t, p, clock.Millis(150))
	require.Less(t, p, clock.Millis(250))
}

// A job past its QueueDeadline must not make the next one late as well.
func TestJobPastQueueDeadlineIsPlacedAfterOthers(t *testing.T) {
	s := newScheduler(newWorker("w", 2, 1))
	s.Submit(newSubmission("running", 1, 5000), 0)
	s.Submit(newSubmission("late", 1, 100), 0)
	s.Submit(newSubmission("timely", 1, 100), 15)
	takeLaunches(s)
	s.Jobs["late"].QueueDeadline = 10
	s.UpdateWorker(Report{Worker: newWorker("w", 2, 1), AckedLaunch: 1}, 20)
	ls := takeLaunches(s)
	require.Len(t, ls, 1)
	require.Equal(t, jobs.ID("timely"), ls[0].Job)
}

// While a long job waits for the fast worker, a short job can use the slow one.
func TestJobWaitingForAFastWorkerDoesNotBlockOthers(t *testing.T) {
	s := newScheduler(newWorker("slow", 16, 0.5), newWorker("fast", 2, 1.2))
	s.Submit(newSubmission("first", 1, 1000), 0)
	s.Submit(newSubmission("long", 1, 1000), 0)
	takeLaunches(s)
	s.Submit(newSubmission("short", 1, 50), 100)
	ls := takeLaunches(s)
	require.Len(t, ls, 1)
	require.Equal(t, jobs.ID("short"), ls[0].Job)
}

// If every job had only some of its tasks running, all of them would end late.
func TestStartedJobIsCompletedBeforeAnotherStarts(t *testing.T) {
	s := newScheduler(newWorker("w", 6, 1))
	s.Submit(newSubmission("running", 1, 5000), 0)
	s.Submit(newSubmission("started", 4, 900), 0)
	require.Len(t, takeLaunches(s), 2)
	s.Submit(newSubmission("urgent", 1, 50), 1)
	w := newWorker("w", 6, 1)
	w.ReportedFree.MilliCPU = 2000
	s.UpdateWorker(Report{Worker: w, AckedLaunch: 2}, 5)
	ls := takeLaunches(s)
	require.Len(t, ls, 1)
	require.Equal(t, jobs.ID("started"), ls[0].Job)
}

func TestStalledTaskIsStoppedOnlyOnce(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 1), newWorker("b", 16, 0.9))
	s.Submit(newSubmission("j", 1, 50), 0)
	for i, agent := range []string{"a", "b"} {
		l := takeLaunches(s)[0]
		require.Equal(t, agent, l.Agent)
		s.Workers[agent].Stalled = true
		s.Tick(clock.Millis(1000 * (i + 1)))
		stops := len(s.TakeActions())
		if i == 0 {
			require.Equal(t, 1, stops)
			endRun(s, l, 0, jobs.OutcomeStopped, 1010)
			continue
		}
		require.Zero(t, stops, "the task may simply take far longer than expected")
	}
}

// If many workers fail, the cause is the work rather than the workers.
func TestOnlyAFractionOfTheFleetIsEjected(t *testing.T) {
	s := newScheduler()
	ejected := 0
	for i := range 9 {
		w := newWorker(fmt.Sprint(i), 16, 1)
		w.Ejected = true
		s.UpdateWorker(Report{Worker: newWorker(fmt.Sprint(i), 16, 1)}, 0)
		s.UpdateWorker(Report{Worker: w}, 0)
	}
	for _, w := range s.Workers {
		if w.Ejected {
			ejected++
		}
	}
	require.LessOrEqual(t, ejected, 4)
}

// The only worker starts to drain while the launch is in transit.
func TestJobWhoseRunsNeverStartedIsEventuallyRefused(t *testing.T) {
	s := newScheduler(newWorker("w", 16, 1))
	s.Submit(newSubmission("j", 2, 100), 0)
	l := takeLaunches(s)[0]
	w := newWorker("w", 16, 1)
	w.Closed = true
	s.UpdateWorker(Report{Worker: w, AckedLaunch: 1}, 5)
	endRun(s, l, 0, jobs.OutcomeNotRun, 6)
	endRun(s, l, 1, jobs.OutcomeNotRun, 6)
	s.Tick(1000)
	as := takeAnswers(s)
	require.Len(t, as, 1)
	require.Equal(t, VerdictRefused, as[0].Verdict)
}

func TestJobThatCannotBeCompletedIsAbandoned(t *testing.T) {
	s := newScheduler(newWorker("w", 2, 1))
	s.Submit(newSubmission("j", 2, 100), 0)
	l := takeLaunches(s)[0]
	endRun(s, l, 0, jobs.OutcomeDone, 100)
	w := newWorker("w", 2, 1)
	w.Closed = true
	s.UpdateWorker(Report{Worker: w, AckedLaunch: 1}, 5)
	s.Tick(5000)
	as := takeAnswers(s)
	require.Len(t, as, 1)
	require.Equal(t, VerdictUnknown, as[0].Verdict, "a task of the job has run")
}

// launchOnHost submits a job of two tasks to a worker on host h, and returns the
// launch.
func launchOnHost(t *testing.T) (*Scheduler, Launch) {
	w := newWorker("old", 4, 1)
	w.Host = "h"
	s := newScheduler(w)
	s.Submit(newSubmission("a", 2, 100), 0)
	return s, takeLaunches(s)[0]
}

func taskRef(l Launch, i int) jobs.TaskRef { return jobs.TaskRef{Job: l.Job, Task: l.Tasks[i].ID} }

// A killed agent restarts before the leases of its worker's runs expire.
func TestReplacementAgentTakesOverTheRunsOfItsHost(t *testing.T) {
	s, l := launchOnHost(t)
	s.ReplaceOldAgents("new", "h", 500)
	s.RunEnded("new", taskRef(l, 1), l.Tasks[1].Run, jobs.OutcomeDone, 0, 500)
	s.AgentConnected("new", nil, map[jobs.TaskRef]int64{taskRef(l, 0): l.Tasks[0].Run}, 500)
	claims := takeLaunches(s)
	require.Len(t, claims, 1)
	require.Equal(t, "new", claims[0].Agent)
	require.Equal(t, []LaunchTask{l.Tasks[0]}, claims[0].Tasks, "the same run, not a new one")
	s.RunEnded("new", taskRef(l, 0), l.Tasks[0].Run, jobs.OutcomeDone, 0, 600)
	require.Equal(t, VerdictSucceeded, takeAnswers(s)[0].Verdict)
}

// A run that the new agent doesn't find may still execute until its lease expires.
func TestRunsNotFoundByTheReplacementAgentAreRetriedOnceResolved(t *testing.T) {
	s, _ := launchOnHost(t)
	s.ReplaceOldAgents("new", "h", 500)
	s.AgentConnected("new", nil, nil, 500)
	w := newWorker("new", 4, 1)
	w.Host = "h"
	s.UpdateWorker(Report{Worker: w}, 510)
	for _, j := range s.Jobs {
		j.Objective = 10_000 // so that the job is not abandoned
	}
	s.Tick(500 + maxUnknownMS - 1)
	require.Empty(t, takeLaunches(s))
	s.Tick(501 + maxUnknownMS)
	again := takeLaunches(s)
	require.Len(t, again, 1)
	require.Greater(t, again[0].Tasks[0].Run, int64(1))
}

func TestReconnectionOfTheSameAgentIsNotAReplacement(t *testing.T) {
	s, l := launchOnHost(t)
	s.ReplaceOldAgents("old", "h", 100)
	require.Zero(t, s.Workers["old"].DisconnectedAt)
	s.RunEnded("old", taskRef(l, 0), 1, jobs.OutcomeDone, 50, 100)
	require.Equal(t, TaskDone, s.Jobs["a"].Tasks[0].State)
}

// The link to a killed agent ends only after a period of silence, and everything sent
// to the agent until then is lost.
func TestWorkerWithAStaleReportIsPassedOver(t *testing.T) {
	s := newScheduler(newWorker("fast", 16, 2), newWorker("slow", 16, 1))
	now := staleReportMS + 1
	s.UpdateWorker(Report{Worker: newWorker("slow", 16, 1)}, now)
	s.Submit(newSubmission("a", 1, 100), now)
	require.Equal(t, "slow", takeLaunches(s)[0].Agent)
	s.UpdateWorker(Report{Worker: newWorker("fast", 16, 2)}, now)
	s.Submit(newSubmission("b", 1, 100), now)
	require.Equal(t, "fast", takeLaunches(s)[0].Agent)
}

// All reports are stale if this entry itself was paused for a moment.
func TestWorkersWithStaleReportsAreUsedWhenThereAreNoOthers(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 1), newWorker("b", 16, 1))
	now := staleReportMS + 1
	s.Submit(newSubmission("a", 1, 100), now)
	for at := now; at < now+200; at += 10 {
		s.Tick(at)
	}
	require.Len(t, takeLaunches(s), 1)
}

func TestAgentsWithRuns(t *testing.T) {
	s := newScheduler(newWorker("fast", 4, 2), newWorker("slow", 4, 1))
	require.Empty(t, s.AgentsWithRuns())
	s.Submit(newSubmission("a", 1, 100), 0)
	l := takeLaunches(s)[0]
	require.Equal(t, map[string]bool{"fast": true}, s.AgentsWithRuns())
	endRun(s, l, 0, jobs.OutcomeDone, 50)
	require.Empty(t, s.AgentsWithRuns())
}

// Entries with the same reports must not all choose the same worker.
func TestEntriesSpreadTasksOverAboutEqualWorkers(t *testing.T) {
	chosen := map[string]bool{}
	for seed := range uint64(8) {
		s := newScheduler(newWorker("a", 16, 1.2), newWorker("b", 16, 1.22), newWorker("c", 16, 1.21), newWorker("slow", 16, 0.5))
		s.Seed(seed)
		s.Submit(newSubmission("job", 1, 60), 0)
		chosen[takeLaunches(s)[0].Agent] = true
	}
	require.Greater(t, len(chosen), 1)
	require.NotContains(t, chosen, "slow", "the task would end late there")
}

// Among about equal workers there may be some on which the task would end late.
func TestTaskGoesToWorkerOnWhichItEndsInTime(t *testing.T) {
	for seed := range uint64(20) {
		s := newScheduler(newWorker("in-time", 16, 0.48), newWorker("late", 16, 0.45))
		s.Seed(seed)
		s.Submit(newSubmission("job", 1, 100), 0)
		launches := takeLaunches(s)
		require.Len(t, launches, 1, "seed %d", seed)
		require.Equal(t, "in-time", launches[0].Agent, "seed %d", seed)
	}
}

// A run that an agent returns without sending it to the worker says nothing about the run
// numbers that the worker knows, and may be returned many times under overload.
func TestReturnedRunsDoNotUseUpRunNumbers(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 1))
	s.Submit(newSubmission("job", 1, 60), 0)
	for i := range 50 {
		l := takeLaunches(s)
		require.Len(t, l, 1)
		require.Equal(t, int64(i+1), l[0].Tasks[0].Run)
		endRun(s, l[0], 0, jobs.OutcomeNotRun, 1)
		s.UpdateWorker(Report{Worker: newWorker("a", 16, 1), AckedLaunch: l[0].Number}, 1)
	}
	refused := takeLaunches(s)[0]
	endRun(s, refused, 0, jobs.OutcomeRefused, 1)
	s.UpdateWorker(Report{Worker: newWorker("a", 16, 1), AckedLaunch: refused.Number}, 1)
	require.Greater(t, takeLaunches(s)[0].Tasks[0].Run, 2*refused.Tasks[0].Run, "the worker may know a higher number")
}

// A failed task avoids its worker while another one could run it. The only worker of a fleet
// used to get it never again once a worker of another fleet was known.
func TestFailedTaskReturnsToTheOnlyWorkerOfItsFleet(t *testing.T) {
	other := newWorker("other", 16, 1)
	other.Fleet = "other"
	s := newScheduler(newWorker("a", 16, 1), other)
	s.Submit(newSubmission("job", 1, 60), 0)
	l := takeLaunches(s)[0]
	s.UpdateWorker(Report{Worker: newWorker("a", 16, 1), AckedLaunch: l.Number}, 1)
	endRun(s, l, 0, jobs.OutcomeFailed, 1)
	again := takeLaunches(s)
	require.Len(t, again, 1)
	require.Equal(t, "a", again[0].Agent)
}
