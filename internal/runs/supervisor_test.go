package runs

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

const (
	entryA = "entry-a"
	entryB = "entry-b"
	lease  = clock.Millis(1000)
	// contactLeaseMS leaves callers that resubmit after 1300 ms a reserve for slow clocks.
	contactLeaseMS = clock.Millis(1209)
)

func cores(n int64) jobs.Size { return jobs.Size{MilliCPU: n * 1000, MemoryMB: 64} }

func ref(job string, index int) jobs.TaskRef {
	return jobs.TaskRef{Job: jobs.ID(job), Task: jobs.TaskID{Index: index}}
}

func newRun(entry, job string, index int, latestStart int64) Run {
	return Run{Ref: ref(job, index), Number: 1, Entry: entry, Size: cores(2), ExpectedMS: 100, LatestStart: latestStart}
}

// newSupervisor returns a supervisor whose worker has capacity for two of newRun's tasks.
func newSupervisor() *Supervisor {
	return newSupervisorOf(jobs.Size{MilliCPU: 4000, MemoryMB: 1000})
}

// newSupervisorOf returns a supervisor whose worker has the given capacity, was confirmed by a
// poll before the time 0, and had no runs.
func newSupervisorOf(capacity jobs.Size) *Supervisor {
	const start = -clock.Second
	s := New(contactLeaseMS)
	s.Announce(Announcement{Worker: Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: capacity}}, start)
	s.HandlePoll(PollResult{SentAt: start, SentEpoch: 1, Epoch: 1}, start)
	s.Tick(start + claimWindowMS)
	return s
}

// takeActions takes the pending actions and returns those of type A, converted by convert.
func takeActions[A Action, T any](s *Supervisor, convert func(A) T) []T {
	var out []T
	for _, action := range s.TakeActions() {
		if a, ok := action.(A); ok {
			out = append(out, convert(a))
		}
	}
	return out
}

func takeStarts(s *Supervisor) []jobs.TaskRef {
	return takeActions(s, func(a Start) jobs.TaskRef { return a.Run.Ref })
}

func takeEnds(s *Supervisor) []RunEnd {
	return takeActions(s, func(a Report) RunEnd { return a.End })
}

func takeStops(s *Supervisor) []jobs.TaskRef {
	return takeActions(s, func(a Stop) jobs.TaskRef { return a.Run.Ref })
}

func answerStart(s *Supervisor, ref jobs.TaskRef, entry string, outcome StartOutcome, at clock.Millis) {
	s.SetLease(ref, entry, at+StartLeaseMS)
	s.HandleStartOutcome(ref, entry, 1, outcome, at)
}

func TestStartsRunsByLatestStartWithinCapacity(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "late", 0, 30), newRun(entryB, "soon", 0, 10), newRun(entryA, "mid", 0, 20)}, 0)
	require.Equal(t, []jobs.TaskRef{ref("soon", 0), ref("mid", 0)}, takeStarts(s))
	require.Equal(t, int64(-2000), s.Free().MilliCPU, "queued runs count, so that entries send no more")
	answerStart(s, ref("soon", 0), entryB, StartOK, 0)
	s.HandlePoll(PollResult{ClockMS: 50, SentAt: 10, Ended: []EndedRun{{ref("soon", 0), 1, jobs.OutcomeDone}}}, 50)
	require.Contains(t, s.TakeActions(), Action(Report{entryB, RunEnd{Ref: ref("soon", 0), Number: 1, Outcome: jobs.OutcomeDone, RanMS: 50}}))
}

func TestCapacityIsFreedWhenTheWorkerListsTheEnd(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0), newRun(entryA, "a", 1, 0), newRun(entryA, "b", 0, 1)}, 0)
	require.Len(t, takeStarts(s), 2)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	answerStart(s, ref("a", 1), entryA, StartOK, 1)
	s.StopTasks(entryA, "a", nil, 5)
	require.Len(t, takeStops(s), 2)
	require.Equal(t, 2, s.RunsAtWorker(), "a stopped run uses capacity until the worker lists its end")
	s.HandlePoll(PollResult{ClockMS: 20, SentAt: 10, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeStopped}}}, 20)
	require.Equal(t, []jobs.TaskRef{ref("b", 0)}, takeStarts(s))
}

// leaveStartsUnanswered leaves every start of a run unanswered until the agent stops retrying.
func leaveStartsUnanswered(t *testing.T, s *Supervisor, ref jobs.TaskRef, at clock.Millis) {
	for range maxUnansweredStarts - 1 {
		answerStart(s, ref, entryA, StartUnanswered, at)
		require.Equal(t, []jobs.TaskRef{ref}, takeStarts(s), "a start is idempotent")
	}
	answerStart(s, ref, entryA, StartUnanswered, at)
}

// The agent used to abandon a run after one unanswered start. With one start in ten
// unanswered, half of the jobs of eight tasks were late.
func TestUnansweredStartIsRetried(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartUnanswered, 20)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStarts(s))
	answerStart(s, ref("a", 0), entryA, StartOK, 22)
	require.Empty(t, s.TakeActions())
	s.HandlePoll(PollResult{ClockMS: 80, SentAt: 25, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeDone}}}, 80)
	require.Equal(t, jobs.OutcomeDone, takeEnds(s)[0].Outcome)
}

// The earlier, unanswered start may still be executed, or its run may have ended.
func TestRefusalAfterUnansweredStartLeavesRunUnknown(t *testing.T) {
	for _, outcome := range []StartOutcome{StartRefused, StartNoCapacity, StartUnhealthy} {
		s := newSupervisor()
		s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
		takeStarts(s)
		answerStart(s, ref("a", 0), entryA, StartUnanswered, 20)
		takeStarts(s)
		answerStart(s, ref("a", 0), entryA, outcome, 22)
		require.Equal(t, []Action{Stop{Run: *s.findRun(ref("a", 0), 1)}}, s.TakeActions())
		s.HandlePoll(PollResult{ClockMS: 40, SentAt: 23, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeDone}}}, 40)
		require.Equal(t, jobs.OutcomeDone, takeEnds(s)[0].Outcome)
	}
}

func TestStoppingRunIsNotRetried(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	s.StopTasks(entryA, "a", nil, 10)
	answerStart(s, ref("a", 0), entryA, StartUnanswered, 20)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s))
}

// The worker may execute an unanswered start seconds later, but not after the lease that
// it carries. Until the lease has expired, the task must not run elsewhere.
func TestUnansweredStartIsResolvedByLeaseExpiry(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	require.Len(t, takeStarts(s), 1)
	leaveStartsUnanswered(t, s, ref("a", 0), 100)
	s.HandlePoll(PollResult{ClockMS: 100 + StartLeaseMS, SentAt: 650}, 700)
	require.Empty(t, takeEnds(s), "the lease may not have expired")
	s.HandlePoll(PollResult{ClockMS: 101 + StartLeaseMS, SentAt: 701}, 705)
	require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}, takeEnds(s))
}

// When only the lease of 600 ms resolved unanswered starts, one such start in twenty made
// a third of the jobs of eight tasks late.
func TestUnansweredStartIsResolvedByStop(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	leaveStartsUnanswered(t, s, ref("a", 0), 100)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s))
	s.HandleStopAck(ref("a", 0), entryA, 1, 103)
	s.HandlePoll(PollResult{ClockMS: 104, SentAt: 102}, 104)
	require.Empty(t, takeEnds(s), "the poll was sent before the stop was acknowledged")
	s.HandlePoll(PollResult{ClockMS: 106, SentAt: 104}, 106)
	require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}, takeEnds(s))
}

func TestUnansweredStartThatIsRunningEndsAsStopped(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	leaveStartsUnanswered(t, s, ref("a", 0), 100)
	s.HandleStopAck(ref("a", 0), entryA, 1, 103)
	s.HandlePoll(PollResult{ClockMS: 110, SentAt: 104, Running: []RunID{{ref("a", 0), 1}}}, 110)
	require.Empty(t, takeEnds(s), "the run is still being stopped")
	s.HandlePoll(PollResult{ClockMS: 150, SentAt: 111, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeStopped}}}, 150)
	require.Equal(t, jobs.OutcomeStopped, takeEnds(s)[0].Outcome)
}

func TestRunsOfDisconnectedEntryAreStopped(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0), newRun(entryB, "b", 0, 0), newRun(entryA, "c", 0, 1)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	answerStart(s, ref("b", 0), entryB, StartOK, 1)
	s.EntryDisconnected(entryA, 10)
	s.Tick(10 + DisconnectGraceMS - 1)
	require.Empty(t, takeStops(s))
	s.Tick(10 + DisconnectGraceMS)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s), "the queued run is dropped, the other entry's run continues")
}

func TestReconnectedEntryKeepsRunsAndReceivesMissedEnds(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0), newRun(entryA, "a", 1, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	answerStart(s, ref("a", 1), entryA, StartOK, 1)
	s.EntryDisconnected(entryA, 10)
	s.HandlePoll(PollResult{ClockMS: 60, SentAt: 20, Running: []RunID{{ref("a", 1), 1}}, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeDone}}}, 60)
	held, missed := s.EntryConnected(entryA)
	require.Len(t, held, 1)
	require.Equal(t, ref("a", 1), held[0].Ref)
	require.Equal(t, jobs.OutcomeDone, missed[0].Outcome)
	s.TakeActions()
	s.Tick(60 + DisconnectGraceMS)
	require.Empty(t, takeStops(s))
}

// A caller resubmits its job through another entry while the first entry's run continues.
// Two simultaneous runs of one task would be a duplicate execution.
func TestResubmittedTaskWaitsUntilEarlierRunEnds(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	second := newRun(entryB, "a", 0, 0)
	second.Number = 2
	s.Launch([]Run{second}, 10)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s), "the earlier run is stopped, the new one is queued")
	s.HandlePoll(PollResult{ClockMS: 40, SentAt: 20, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeStopped}}}, 40)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStarts(s))
}

func TestDrainingWorkerStartsNothing(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0), newRun(entryA, "a", 1, 0), newRun(entryA, "a", 2, 0)}, 0)
	require.Len(t, takeStarts(s), 2)
	s.Announce(Announcement{Worker: Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: jobs.Size{MilliCPU: 4000, MemoryMB: 1000}, Draining: true}, Sequence: 1}, 5)
	require.Equal(t, []RunEnd{{Ref: ref("a", 2), Number: 1, Outcome: jobs.OutcomeNotRun}}, takeEnds(s))
	s.Launch([]Run{newRun(entryA, "b", 0, 0)}, 6)
	require.Equal(t, []RunEnd{{Ref: ref("b", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}, takeEnds(s))
}

func TestNewWorkerEpochEndsEarlierRunsAsLost(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 400, SentEpoch: 1, Epoch: 2}, 405)
	require.Empty(t, takeEnds(s), "the new epoch may still accept an earlier start")
	s.HandlePoll(PollResult{ClockMS: 6, SentAt: 405, SentEpoch: 2, Epoch: 2}, 406)
	require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 1, Outcome: jobs.OutcomeLost}}, takeEnds(s))
	s.HandlePoll(PollResult{ClockMS: 9000, SentAt: 500, Epoch: 1, Running: []RunID{{ref("a", 0), 1}}}, 505)
	require.Empty(t, takeStops(s), "a late answer of the earlier epoch is ignored")
}

// Guards against a second run of a task on another worker (review/1): a worker that crashed and
// started anew under its id accepted starts before its new epoch was known, and these runs were
// reported as lost.
func TestRunsThatTheNewEpochAcceptedContinue(t *testing.T) {
	firstSeen := map[string]func(t *testing.T, s *Supervisor){
		"poll": func(_ *testing.T, s *Supervisor) {
			s.HandlePoll(PollResult{ClockMS: 5, SentAt: 100, SentEpoch: 1, Epoch: 2, Running: []RunID{{ref("accepted", 0), 1}}}, 105)
		},
		"announcement": func(t *testing.T, s *Supervisor) {
			w := *s.Worker
			w.Epoch = 2
			require.Equal(t, Pending, s.Announce(Announcement{Worker: w}, 100))
			require.False(t, s.HasRunsOfEarlierEpoch(), "an announcement proves no epoch")
			s.HandlePoll(PollResult{ClockMS: 5, SentAt: 101, SentEpoch: 1, Epoch: 2}, 105)
			require.Equal(t, Ignored, s.Announce(Announcement{Worker: w}, 105), "it has been applied")
		},
	}
	for name, see := range firstSeen {
		t.Run(name, func(t *testing.T) {
			s := newSupervisor()
			s.Worker.Capacity.MilliCPU = 8000
			for i, job := range []string{"crashed", "accepted", "late", "refused"} {
				s.Launch([]Run{newRun(entryA, job, 0, int64(i))}, 0)
			}
			answerStart(s, ref("crashed", 0), entryA, StartOK, 1)
			answerStart(s, ref("accepted", 0), entryA, StartOK, 90)
			s.TakeActions()
			see(t, s)
			require.Empty(t, takeEnds(s), "each of the runs may be in the new epoch")
			require.True(t, s.HasRunsOfEarlierEpoch())
			answerStart(s, ref("late", 0), entryA, StartOK, 106)
			answerStart(s, ref("refused", 0), entryA, StartRefused, 106)
			require.Equal(t, []RunEnd{{Ref: ref("refused", 0), Number: 1, Outcome: jobs.OutcomeRefused}}, takeEnds(s))
			s.HandlePoll(PollResult{ClockMS: 8, SentAt: 106, SentEpoch: 2, Epoch: 2,
				Running: []RunID{{ref("accepted", 0), 1}, {ref("late", 0), 1}}}, 108)
			require.Equal(t, []RunEnd{{Ref: ref("crashed", 0), Number: 1, Outcome: jobs.OutcomeLost}}, takeEnds(s))
			require.False(t, s.HasRunsOfEarlierEpoch())
			s.HandlePoll(PollResult{ClockMS: 60, SentAt: 108, SentEpoch: 2, Epoch: 2, Ended: []EndedRun{
				{ref("accepted", 0), 1, jobs.OutcomeDone}, {ref("late", 0), 1, jobs.OutcomeDone}}}, 160)
			ends := takeEnds(s)
			require.Len(t, ends, 2)
			require.Equal(t, jobs.OutcomeDone, ends[0].Outcome)
			require.Equal(t, jobs.OutcomeDone, ends[1].Outcome)
			require.Zero(t, s.Held())
		})
	}
}

// An unanswered start of the earlier epoch is not repeated once the new one is known, and the
// acknowledgement of a stop in the earlier epoch says nothing of the new one.
func TestCallsOfTheEarlierEpochResolveNoRunOfTheNewOne(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "unanswered", 0, 0), newRun(entryA, "stopped", 0, 1)}, 0)
	s.TakeActions()
	leaveStartsUnanswered(t, s, ref("stopped", 0), 50)
	s.HandleStopAck(ref("stopped", 0), entryA, 1, 60)
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 90, SentEpoch: 1, Epoch: 2}, 105)
	require.Empty(t, takeEnds(s), "the earlier epoch acknowledged the stop")
	answerStart(s, ref("unanswered", 0), entryA, StartUnanswered, 106)
	require.Empty(t, takeStarts(s))
	s.HandlePoll(PollResult{ClockMS: 7, SentAt: 105, SentEpoch: 1, Epoch: 2}, 107)
	require.Empty(t, takeEnds(s), "the new epoch may still accept both starts")
	s.HandlePoll(PollResult{ClockMS: 8, SentAt: 106, SentEpoch: 2, Epoch: 2}, 108)
	require.ElementsMatch(t, []RunEnd{{Ref: ref("unanswered", 0), Number: 1, Outcome: jobs.OutcomeLost},
		{Ref: ref("stopped", 0), Number: 1, Outcome: jobs.OutcomeLost}}, takeEnds(s))
	require.Zero(t, s.Held())
}

// Epochs are times of day. A worker that restarts after its host's clock stepped back has a
// lower epoch than before, and used to be ignored from then on.
func TestWorkerIsUsedAgainAfterItsClockSteppedBack(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	old := *s.Worker
	s.Worker.Epoch, old.Epoch = 50, 50
	restarted := Worker{ID: "w", Epoch: 20, Fleet: "f", Capacity: old.Capacity}
	require.Equal(t, Pending, s.Announce(Announcement{Worker: restarted}, 99), "it may be a late announcement of an earlier epoch")
	require.Equal(t, int64(50), s.Worker.Epoch)
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 100, SentEpoch: 50, Epoch: 20}, 105)
	require.Equal(t, Ignored, s.Announce(Announcement{Worker: restarted}, 105), "the poll has proved and applied it")
	require.Empty(t, takeEnds(s), "the new epoch may still accept an earlier start")
	s.HandlePoll(PollResult{ClockMS: 6, SentAt: 105, SentEpoch: 20, Epoch: 20}, 106)
	require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 1, Outcome: jobs.OutcomeLost}}, takeEnds(s))
	require.Equal(t, Applied, s.Announce(Announcement{Worker: restarted, Sequence: 1}, 110), "a poll has confirmed the epoch")
	require.Equal(t, Ignored, s.Announce(Announcement{Worker: old, Sequence: 1000}, 110), "a late announcement of the epoch that ended")
	s.Launch([]Run{newRun(entryA, "b", 0, 0)}, 120)
	require.Len(t, takeStarts(s), 1)
}

// Guards against a worker that is lost for good: its host's clock stepped back, it started anew
// with a lower epoch, and it refused every call that carried this epoch as its fencing token,
// because it had seen the earlier one.
func TestFencingTokenRisesWithEachEpoch(t *testing.T) {
	s := newSupervisor()
	w := *s.Worker
	w.Epoch = 50
	s.Announce(Announcement{Worker: w}, 100)
	require.Equal(t, int64(1), s.Worker.Token, "an announcement alone raises no token")
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 100, SentEpoch: 1, Epoch: 50}, 105)
	require.Equal(t, int64(50), s.Worker.Token)
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 200, SentEpoch: 50, Epoch: 20}, 205)
	require.Equal(t, int64(20), s.Worker.Epoch)
	require.Equal(t, int64(51), s.Worker.Token)
	w.Epoch = 20
	s.Announce(Announcement{Worker: w}, 210)
	require.Equal(t, int64(51), s.Worker.Token, "the same epoch")
}

// An earlier process of the agent may have used a higher token.
func TestRefusedFencingTokenIsRaised(t *testing.T) {
	const (
		day = 24 * 3600 * int64(clock.Second)
		now = 20_000 * day
	)
	s := New(contactLeaseMS)
	s.Announce(Announcement{Worker: Worker{ID: "w", Epoch: now}}, 0)
	polls := 0
	for s.Worker.Token < now+day {
		s.HandleFencedPoll(s.Worker.Token)
		s.HandleFencedPoll(now - 1)
		polls++
	}
	require.Less(t, polls, 30)
	require.Less(t, s.Worker.Token, now+3*day)
}

func TestLateAnnouncementIsIgnored(t *testing.T) {
	s := newSupervisor()
	w := *s.Worker
	for _, m := range []struct {
		sequence int64
		verdict  Verdict
	}{{5, Applied}, {5, Ignored}, {4, Ignored}, {6, Applied}} {
		require.Equal(t, m.verdict, s.Announce(Announcement{Worker: w, Sequence: m.sequence}, 10), m.sequence)
	}
	other := w
	other.ID = "other"
	require.Equal(t, Pending, s.Announce(Announcement{Worker: other}, 10), "the sequence numbers of two workers can't be compared")
	s.HandleMisdirected("w", 10, 11)
	require.Equal(t, "other", s.NextPollTarget(11).ID)
	s.HandlePoll(PollResult{ClockMS: 12, SentAt: 11, SentID: "other", SentEpoch: 1, Epoch: 1}, 12)
	require.Equal(t, other.Identity(), s.Worker.Identity())
	require.Equal(t, other.Capacity, s.Worker.Capacity)
}

func TestRunsOfUnreachableWorkerAreLostOnlyAfterLeaseExpiry(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	require.True(t, s.RenewLeases(100))
	for range unreachablePolls {
		s.HandlePollFailure(lease, 400)
		require.True(t, s.RenewLeases(500), "a few failed polls in a short time do not make a worker unreachable")
	}
	s.HandlePollFailure(lease, 400+unreachableMS)
	require.True(t, s.Unreachable)
	require.False(t, s.RenewLeases(900), "a renewal that might arrive would make the lease expiry unknown")
	s.HandlePollFailure(lease, 1600)
	require.Empty(t, takeEnds(s))
	s.HandlePollFailure(lease, 1700)
	require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 1, Outcome: jobs.OutcomeLost, WorkerFault: true}}, takeEnds(s))
}

// A worker that fails every task is ejected. A job that can never succeed fails on all
// workers and must not eject the whole fleet.
func TestWorkerIsEjectedAfterConsecutiveFailedJobs(t *testing.T) {
	s := newSupervisor()
	fail := func(job string, at clock.Millis) {
		s.Launch([]Run{newRun(entryA, job, 0, 0)}, at)
		answerStart(s, ref(job, 0), entryA, StartOK, at)
		s.HandlePoll(PollResult{ClockMS: at + 5, SentAt: at + 1, Ended: []EndedRun{{ref(job, 0), 1, jobs.OutcomeFailed}}}, at+5)
	}
	fail("a", 0)
	fail("b", 10)
	_, ejected := s.Probation(20)
	require.False(t, ejected)
	fail("c", 20)
	_, ejected = s.Probation(30)
	require.True(t, ejected)
	onProbation, ejected := s.Probation(30 + minEjectionMS)
	require.True(t, onProbation)
	require.False(t, ejected)
	s.Launch([]Run{newRun(entryA, "d", 0, 0)}, 1100)
	answerStart(s, ref("d", 0), entryA, StartOK, 1100)
	s.HandlePoll(PollResult{ClockMS: 1200, SentAt: 1101, Ended: []EndedRun{{ref("d", 0), 1, jobs.OutcomeDone}}}, 1200)
	onProbation, _ = s.Probation(1201)
	require.False(t, onProbation)
}

func jobName(i int) string { return fmt.Sprint("j", i) }

// All tasks of one job may take far longer than its caller estimated.
func TestOneOverdueJobDoesNotMarkWorkerStalled(t *testing.T) {
	s := newSupervisorOf(jobs.Size{MilliCPU: 100_000, MemoryMB: 10_000})
	for i := range 6 {
		s.Launch([]Run{newRun(entryA, "long", i, 0)}, 0)
		answerStart(s, ref("long", i), entryA, StartOK, 1)
	}
	s.lastPollAt = 5000
	s.Tick(5000)
	require.False(t, s.Stalled())
}

// supervisorWithRuns returns a supervisor with n runs, each expected to take 100 ms, that
// the worker confirmed at 1 ms.
func supervisorWithRuns(n int) *Supervisor {
	s := newSupervisorOf(jobs.Size{MilliCPU: 100_000, MemoryMB: 10_000})
	for i := range n {
		s.Launch([]Run{newRun(entryA, jobName(i), i, 0)}, 0)
		answerStart(s, ref(jobName(i), i), entryA, StartOK, 1)
	}
	s.TakeActions()
	return s
}

func TestStalledWorkerIsEjected(t *testing.T) {
	s := supervisorWithRuns(4)
	s.HandlePoll(allRunning(4, 180), 180)
	s.Tick(180)
	require.False(t, s.Stalled())
	s.Tick(500)
	require.False(t, s.Stalled(), "no poll was answered since; some runs may have ended")
	s.HandlePoll(allRunning(4, 500), 500)
	s.Tick(501)
	require.True(t, s.Stalled())
	_, ejected := s.Probation(502)
	require.True(t, ejected)
}

func allRunning(n int, at clock.Millis) PollResult {
	p := PollResult{ClockMS: at, SentAt: at - 1}
	for i := range n {
		p.Running = append(p.Running, RunID{ref(jobName(i), i), 1})
	}
	return p
}

func TestSlowWorkerIsNotStalledWhileRunsEnd(t *testing.T) {
	s := supervisorWithRuns(6)
	for i, at := range []clock.Millis{300, 420} {
		s.HandlePoll(PollResult{ClockMS: at, SentAt: at - 1, Ended: []EndedRun{{ref(jobName(i), i), 1, jobs.OutcomeDone}}}, at)
		s.Tick(at + 1)
		require.False(t, s.Stalled())
	}
}

func TestSpeedFollowsWorkerThatSlowsDown(t *testing.T) {
	s := New(contactLeaseMS)
	for range 100 {
		s.updateSpeed(0)
	}
	for range 4 {
		s.updateSpeed(-1.6)
	}
	require.Less(t, s.Speed, 0.5)
	for range 100 {
		s.updateSpeed(-1.6)
	}
	require.InDelta(t, 0.2, s.Speed, 0.02)
}

func TestUnclaimedRunOfEarlierAgentIsStopped(t *testing.T) {
	s := newSupervisor()
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, Running: []RunID{{ref("old", 0), 3}}}, 5)
	require.Equal(t, []jobs.TaskRef{ref("old", 0)}, takeStops(s))
}

// While every call is answered, polls may wait for long. An unanswered call may be the first
// of many, and the runs that end meanwhile are seen only by the next answered poll.
func TestSupervisorIsCautiousAfterUnansweredCalls(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 1)
	takeStarts(s)
	require.False(t, s.Cautious(1))
	answerStart(s, ref("a", 0), entryA, StartUnanswered, 10)
	require.True(t, s.Cautious(10))
	answerStart(s, ref("a", 0), entryA, StartOK, 20)
	require.False(t, s.Cautious(10+cautiousMS))
	s.HandlePollFailure(lease, 3000)
	require.True(t, s.Cautious(3001))
	require.False(t, s.Cautious(3000+cautiousMS))
	s.StopTasks(entryA, "a", nil, 6000)
	require.True(t, s.Cautious(6000), "the run is to be stopped")
}
