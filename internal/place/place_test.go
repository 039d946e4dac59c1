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

func worker(agent string, cores int64, speed float64) Worker {
	size := jobs.Size{MilliCPU: cores * 1000, MemoryMB: 10_000}
	return Worker{Agent: agent, Zone: "z", ID: agent, Fleet: fleet, Capacity: size, ReportedFree: size, Speed: speed}
}

func scheduler(ws ...Worker) *Scheduler {
	s := New("z")
	for _, w := range ws {
		s.UpdateWorker(Report{Worker: w}, 0)
	}
	return s
}

func queue(name string) contr.Queue {
	return contr.Queue{Name: name, Fleet: fleet, MaxAttempts: 2, Stretch: 1.6, SlackMS: 60}
}

func job(id string, tasks int, estimate clock.Millis) Submission {
	return Submission{Queue: queue("q"), TermsVersion: 3, Spec: jobs.Spec{ID: jobs.ID(id), Queue: "q",
		Steps: []jobs.Step{{Count: tasks, Size: jobs.Size{MilliCPU: 2000, MemoryMB: 64}, EstimateMS: estimate}}}}
}

func launches(s *Scheduler) []Launch {
	var out []Launch
	for _, a := range s.TakeActions() {
		if l, ok := a.(Launch); ok {
			out = append(out, l)
		}
	}
	return out
}

func answers(s *Scheduler) []Answer {
	var out []Answer
	for _, a := range s.TakeActions() {
		if l, ok := a.(Answer); ok {
			out = append(out, l)
		}
	}
	return out
}

func end(s *Scheduler, l Launch, i int, e jobs.Outcome, now clock.Millis) {
	s.RunEnded(l.Agent, jobs.TaskRef{Job: l.Job, Task: l.Tasks[i].ID}, l.Tasks[i].Run, e, 50, now)
}

func TestJobIsPlacedWholeOnTheFastestRoomAndAnsweredOnce(t *testing.T) {
	s := scheduler(worker("slow", 16, 0.5), worker("fast", 16, 1.2))
	s.Submit(job("a", 3, 100), 0)
	ls := launches(s)
	require.Len(t, ls, 1, "one message for all tasks on one worker")
	require.Equal(t, "fast", ls[0].Agent)
	require.Len(t, ls[0].Tasks, 3)
	for i := range ls[0].Tasks {
		require.Empty(t, answers(s), "part of an answer is none")
		end(s, ls[0], i, jobs.OutcomeDone, 80)
	}
	as := answers(s)
	require.Len(t, as, 1)
	require.Equal(t, VerdictSucceeded, as[0].Verdict)
	require.True(t, s.Idle())
}

func TestRoomCountsLaunchesThatTheAgentHasNotSeen(t *testing.T) {
	s := scheduler(worker("w", 4, 1))
	s.Submit(job("a", 2, 100), 0)
	require.Len(t, launches(s), 1)
	w := worker("w", 4, 1)
	s.UpdateWorker(Report{Worker: w, AckedLaunch: 0}, 1)
	s.Submit(job("b", 1, 100), 1)
	require.Empty(t, launches(s), "the report is older than the launch")
}

// A long task on a slow worker ends late as soon as it starts, while a fast worker
// that is full for a moment would still end it in time.
func TestLongTaskWaitsForAFastWorker(t *testing.T) {
	s := scheduler(worker("slow", 16, 0.5), worker("fast", 2, 1.2))
	s.Submit(job("a", 1, 1000), 0)
	first := launches(s)
	require.Equal(t, "fast", first[0].Agent)
	s.Submit(job("b", 1, 1000), 0)
	require.Empty(t, launches(s))
	w := worker("fast", 2, 1.2)
	s.UpdateWorker(Report{Worker: w, AckedLaunch: 1}, 200)
	require.Equal(t, "fast", launches(s)[0].Agent)
}

func TestShortTaskGoesToTheSlowWorkerThatIsFree(t *testing.T) {
	s := scheduler(worker("slow", 16, 0.5), worker("fast", 2, 1.2))
	s.Submit(job("a", 1, 50), 0)
	launches(s)
	s.Submit(job("b", 1, 50), 0)
	ls := launches(s)
	require.Len(t, ls, 1)
	require.Equal(t, "slow", ls[0].Agent)
}

func TestJobThatCanNotStartInTimeIsRefusedAsNotRun(t *testing.T) {
	s := scheduler(worker("w", 2, 1))
	s.Submit(job("a", 1, 5000), 0)
	require.Len(t, launches(s), 1)
	s.Submit(job("b", 1, 50), 0)
	var got []Answer
	for now := clock.Millis(0); now < 400 && len(got) == 0; now += 10 {
		s.Tick(now)
		got = answers(s)
	}
	require.Len(t, got, 1)
	require.Equal(t, VerdictRefused, got[0].Verdict)
	require.Equal(t, ReasonOverload, got[0].Reason)
	require.GreaterOrEqual(t, got[0].RetryAfter, minRetryMS)
	require.Len(t, s.Jobs, 1)
}

func TestFailedTaskIsTriedElsewhereUpToItsAttempts(t *testing.T) {
	s := scheduler(worker("a", 16, 1), worker("b", 16, 1))
	s.Submit(job("j", 1, 100), 0)
	first := launches(s)[0]
	end(s, first, 0, jobs.OutcomeFailed, 50)
	second := launches(s)[0]
	require.NotEqual(t, first.Agent, second.Agent)
	require.Greater(t, second.Tasks[0].Run, first.Tasks[0].Run)
	end(s, second, 0, jobs.OutcomeFailed, 90)
	require.Equal(t, VerdictFailed, answers(s)[0].Verdict)
}

// Until a run out of reach has ended, its task must not run elsewhere.
func TestRunOutOfReachIsSettledBeforeItsTaskRunsAgain(t *testing.T) {
	s := scheduler(worker("a", 16, 1), worker("b", 16, 0.9))
	s.Submit(job("j", 1, 2000), 0)
	first := launches(s)[0]
	require.Equal(t, "a", first.Agent)
	s.AgentDisconnected("a", 100)
	for now := clock.Millis(100); now < 100+settleMS; now += 100 {
		s.Tick(now)
		require.Empty(t, launches(s))
	}
	s.Tick(100 + settleMS)
	ls := launches(s)
	require.Len(t, ls, 1)
	require.Equal(t, "b", ls[0].Agent)
}

func TestAgentThatIsBackTellsWhichRunsItNeverGot(t *testing.T) {
	s := scheduler(worker("a", 16, 1))
	s.Submit(job("held", 1, 1000), 0)
	s.Submit(job("never", 1, 1000), 0)
	launches(s)
	s.AgentDisconnected("a", 100)
	held := map[jobs.TaskRef]int64{{Job: "held", Task: jobs.TaskID{}}: 1}
	s.AgentReconnected("a", held, 200)
	s.UpdateWorker(Report{Worker: worker("a", 16, 1)}, 200)
	ls := launches(s)
	require.Len(t, ls, 1)
	require.Equal(t, jobs.ID("never"), ls[0].Job)
}

func TestCallerThatLeavesFreesItsRoom(t *testing.T) {
	s := scheduler(worker("a", 16, 1))
	s.Submit(job("j", 2, 1000), 0)
	l := launches(s)[0]
	s.CallerGone("j", 10)
	actions := s.TakeActions()
	require.Contains(t, actions, Action(Stop{Agent: "a", Job: "j", Tasks: []jobs.TaskID{{Index: 0}, {Index: 1}}}))
	require.False(t, s.Submit(job("j", 2, 1000), 20), "its runs may still be alive")
	end(s, l, 0, jobs.OutcomeStopped, 30)
	end(s, l, 1, jobs.OutcomeStopped, 30)
	require.True(t, s.Submit(job("j", 2, 1000), 40))
}

func TestStepWaitsForTheStepsBeforeIt(t *testing.T) {
	s := scheduler(worker("a", 16, 1))
	sub := job("j", 1, 100)
	sub.Spec.Steps = append(sub.Spec.Steps, jobs.Step{Count: 1, Size: jobs.Size{MilliCPU: 1000}, EstimateMS: 100, After: []int{0}})
	s.Submit(sub, 0)
	ls := launches(s)
	require.Len(t, ls, 1)
	end(s, ls[0], 0, jobs.OutcomeDone, 100)
	ls = launches(s)
	require.Len(t, ls, 1)
	require.Equal(t, 1, ls[0].Tasks[0].ID.Step)
}

func TestJobThatFitsNowhereIsRefusedAtOnce(t *testing.T) {
	s := scheduler(worker("a", 1, 1))
	s.Submit(job("j", 1, 100), 0)
	require.Equal(t, ReasonNeverFits, answers(s)[0].Reason)
}

func TestPredictionLearnsFromEndsBesidesTheEstimate(t *testing.T) {
	s := scheduler(worker("a", 16, 1))
	for i := range 200 {
		s.Submit(job(fmt.Sprint(i), 1, 400), 0)
		l := launches(s)[0]
		s.RunEnded(l.Agent, jobs.TaskRef{Job: l.Job, Task: l.Tasks[0].ID}, l.Tasks[0].Run, jobs.OutcomeDone, 100, 0)
		s.UpdateWorker(Report{Worker: worker("a", 16, 1), AckedLaunch: l.Number}, 0)
	}
	p := s.predict("q", 400)
	require.Greater(t, p, clock.Millis(150))
	require.Less(t, p, clock.Millis(250))
}

// A job that is late already must not make the next one late as well.
func TestLateJobGoesAfterThoseThatCanBeInTime(t *testing.T) {
	s := scheduler(worker("w", 2, 1))
	s.Submit(job("runs", 1, 5000), 0)
	s.Submit(job("late", 1, 100), 0)
	s.Submit(job("timely", 1, 100), 15)
	launches(s)
	s.Jobs["late"].QueueDeadline = 10
	s.UpdateWorker(Report{Worker: worker("w", 2, 1), AckedLaunch: 1}, 20)
	ls := launches(s)
	require.Len(t, ls, 1)
	require.Equal(t, jobs.ID("timely"), ls[0].Job)
}

// A long job that waits for the fast worker leaves the slow one to a short job.
func TestJobThatWaitsForAFastWorkerHoldsUpNobody(t *testing.T) {
	s := scheduler(worker("slow", 16, 0.5), worker("fast", 2, 1.2))
	s.Submit(job("first", 1, 1000), 0)
	s.Submit(job("long", 1, 1000), 0)
	launches(s)
	s.Submit(job("short", 1, 50), 100)
	ls := launches(s)
	require.Len(t, ls, 1)
	require.Equal(t, jobs.ID("short"), ls[0].Job)
}

// When every job has a part of its tasks at work, all of them end late.
func TestJobThatHasBegunIsCompletedBeforeAnotherBegins(t *testing.T) {
	s := scheduler(worker("w", 6, 1))
	s.Submit(job("runs", 1, 5000), 0)
	s.Submit(job("begun", 4, 900), 0)
	require.Len(t, launches(s), 2)
	s.Submit(job("urgent", 1, 50), 1)
	w := worker("w", 6, 1)
	w.ReportedFree.MilliCPU = 2000
	s.UpdateWorker(Report{Worker: w, AckedLaunch: 2}, 5)
	ls := launches(s)
	require.Len(t, ls, 1)
	require.Equal(t, jobs.ID("begun"), ls[0].Job)
}

func TestTaskThatStandsStillIsStoppedOnceOnly(t *testing.T) {
	s := scheduler(worker("a", 16, 1), worker("b", 16, 0.9))
	s.Submit(job("j", 1, 50), 0)
	for i, agent := range []string{"a", "b"} {
		l := launches(s)[0]
		require.Equal(t, agent, l.Agent)
		s.Workers[agent].Stalled = true
		s.Tick(clock.Millis(1000 * (i + 1)))
		halts := len(s.TakeActions())
		if i == 0 {
			require.Equal(t, 1, halts)
			end(s, l, 0, jobs.OutcomeStopped, 1010)
			continue
		}
		require.Zero(t, halts, "it may only take far longer than expected")
	}
}

// When many workers fail, the work is at fault, not the fleet.
func TestPartOfTheFleetOnlyRests(t *testing.T) {
	s := scheduler()
	resting := 0
	for i := range 9 {
		w := worker(fmt.Sprint(i), 16, 1)
		w.Ejected = true
		s.UpdateWorker(Report{Worker: worker(fmt.Sprint(i), 16, 1)}, 0)
		s.UpdateWorker(Report{Worker: w}, 0)
	}
	for _, w := range s.Workers {
		if w.Ejected {
			resting++
		}
	}
	require.LessOrEqual(t, resting, 4)
}

// Its only worker drained just as the launch was on its way.
func TestJobThatCameBackNotRunIsRefusedInTheEnd(t *testing.T) {
	s := scheduler(worker("w", 16, 1))
	s.Submit(job("j", 2, 100), 0)
	l := launches(s)[0]
	w := worker("w", 16, 1)
	w.Closed = true
	s.UpdateWorker(Report{Worker: w, AckedLaunch: 1}, 5)
	end(s, l, 0, jobs.OutcomeNotRun, 6)
	end(s, l, 1, jobs.OutcomeNotRun, 6)
	s.Tick(1000)
	as := answers(s)
	require.Len(t, as, 1)
	require.Equal(t, VerdictRefused, as[0].Verdict)
}

func TestJobThatCanNotBeCompletedIsGivenUp(t *testing.T) {
	s := scheduler(worker("w", 2, 1))
	s.Submit(job("j", 2, 100), 0)
	l := launches(s)[0]
	end(s, l, 0, jobs.OutcomeDone, 100)
	w := worker("w", 2, 1)
	w.Closed = true
	s.UpdateWorker(Report{Worker: w, AckedLaunch: 1}, 5)
	s.Tick(5000)
	as := answers(s)
	require.Len(t, as, 1)
	require.Equal(t, VerdictUnknown, as[0].Verdict, "a task of it has run")
}

// taken submits a job of two tasks to a worker of a host, and loses its agent.
func taken(t *testing.T) (*Scheduler, Launch) {
	w := worker("old", 4, 1)
	w.Host = "h"
	s := scheduler(w)
	s.Submit(job("a", 2, 100), 0)
	return s, launches(s)[0]
}

func nameOf(l Launch, i int) jobs.TaskRef { return jobs.TaskRef{Job: l.Job, Task: l.Tasks[i].ID} }

// An agent that was killed starts again within the lease of what its worker runs.
func TestRunsGoOnUnderTheNextAgentOfTheirHost(t *testing.T) {
	s, l := taken(t)
	s.AgentReplaced("new", "h", 500)
	s.RunEnded("new", nameOf(l, 1), l.Tasks[1].Run, jobs.OutcomeDone, 0, 500)
	s.AgentReconnected("new", map[jobs.TaskRef]int64{nameOf(l, 0): l.Tasks[0].Run}, 500)
	claims := launches(s)
	require.Len(t, claims, 1)
	require.Equal(t, "new", claims[0].Agent)
	require.Equal(t, []LaunchTask{l.Tasks[0]}, claims[0].Tasks, "the same run, not the next")
	s.RunEnded("new", nameOf(l, 0), l.Tasks[0].Run, jobs.OutcomeDone, 0, 600)
	require.Equal(t, VerdictSucceeded, answers(s)[0].Verdict)
}

// What the new agent does not find may still be carried out, until its lease has passed.
func TestRunsThatTheNextAgentDoesNotFindSettle(t *testing.T) {
	s, _ := taken(t)
	s.AgentReplaced("new", "h", 500)
	s.AgentReconnected("new", nil, 500)
	w := worker("new", 4, 1)
	w.Host = "h"
	s.UpdateWorker(Report{Worker: w}, 510)
	for _, j := range s.Jobs {
		j.Objective = 10_000 // so that it is not given up
	}
	s.Tick(500 + settleMS - 1)
	require.Empty(t, launches(s))
	s.Tick(501 + settleMS)
	again := launches(s)
	require.Len(t, again, 1)
	require.Greater(t, again[0].Tasks[0].Run, int64(1))
}

func TestLinkLostToAnAgentThatGoesOnReplacesNothing(t *testing.T) {
	s, l := taken(t)
	s.AgentReplaced("old", "h", 100)
	require.Zero(t, s.Workers["old"].DisconnectedAt)
	s.RunEnded("old", nameOf(l, 0), 1, jobs.OutcomeDone, 50, 100)
	require.Equal(t, TaskDone, s.Jobs["a"].Tasks[0].State)
}

// An agent that was killed is missed by its link only after its silence, and all that is
// sent to it meanwhile is lost.
func TestWorkerWhoseAgentIsQuietIsPassedOver(t *testing.T) {
	s := scheduler(worker("fast", 16, 2), worker("slow", 16, 1))
	now := quietMS + 1
	s.UpdateWorker(Report{Worker: worker("slow", 16, 1)}, now)
	s.Submit(job("a", 1, 100), now)
	require.Equal(t, "slow", launches(s)[0].Agent)
	s.UpdateWorker(Report{Worker: worker("fast", 16, 2)}, now)
	s.Submit(job("b", 1, 100), now)
	require.Equal(t, "fast", launches(s)[0].Agent)
}

// When this entry itself stood still for a moment all reports are old.
func TestQuietWorkersAreUsedWhenThereAreNoOthers(t *testing.T) {
	s := scheduler(worker("a", 16, 1), worker("b", 16, 1))
	now := quietMS + 1
	s.Submit(job("a", 1, 100), now)
	for at := now; at < now+200; at += 10 {
		s.Tick(at)
	}
	require.Len(t, launches(s), 1)
}

func TestAgentsAtWorkAreThoseWithRuns(t *testing.T) {
	s := scheduler(worker("fast", 4, 2), worker("slow", 4, 1))
	require.Empty(t, s.AgentsWithRuns())
	s.Submit(job("a", 1, 100), 0)
	l := launches(s)[0]
	require.Equal(t, map[string]bool{"fast": true}, s.AgentsWithRuns())
	end(s, l, 0, jobs.OutcomeDone, 50)
	require.Empty(t, s.AgentsWithRuns())
}
