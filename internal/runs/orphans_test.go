package runs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

var testWorker = Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: jobs.Size{MilliCPU: 4000, MemoryMB: 1000}}

// restoredSupervisor returns a supervisor that restored its worker from a record and
// polled one running and one ended orphan.
func restoredSupervisor() *Supervisor {
	s := New(contactLeaseMS)
	s.Restore(testWorker)
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, Epoch: 1, Running: []RunID{{ref("a", 0), 3}},
		Ended: []EndedRun{{ref("a", 1), 3, jobs.OutcomeDone}}}, 5)
	return s
}

// newClaim returns the run with which entryA claims an orphan of restoredSupervisor.
func newClaim(index int) Run {
	run := newRun(entryA, "a", index, 0)
	run.Number = 3
	return run
}

func TestRestoredWorkerAcceptsNoRunsBeforeFirstPoll(t *testing.T) {
	s := New(contactLeaseMS)
	s.Restore(testWorker)
	require.False(t, s.Confirmed())
	s.Launch([]Run{newRun(entryA, "b", 0, 0)}, 1)
	require.Equal(t, jobs.OutcomeNotRun, takeEnds(s)[0].Outcome)
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, Epoch: 1}, 5)
	require.True(t, s.Confirmed())
	s.Launch([]Run{newRun(entryA, "c", 0, 0)}, 6)
	require.Len(t, takeStarts(s), 1)
}

func TestRecordOfEarlierEpochIsDiscarded(t *testing.T) {
	s := New(contactLeaseMS)
	s.Restore(testWorker)
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, Epoch: 2, Running: []RunID{{ref("a", 0), 3}}}, 5)
	require.Nil(t, s.Worker, "the next heartbeat describes the new epoch")
	s.Restore(testWorker)
	next := testWorker
	next.Epoch = 2
	s.Announce(Announcement{Worker: next}, 6)
	require.False(t, s.Confirmed(), "an earlier process may have started runs in the new epoch")
	s.HandlePoll(PollResult{ClockMS: 7, SentAt: 6, SentEpoch: 2, Epoch: 2}, 7)
	require.True(t, s.Confirmed())
	require.Equal(t, int64(2), s.Worker.Epoch)
}

// An answer without an epoch says nothing against the announced one.
func TestFirstPollWithoutEpochConfirmsTheWorker(t *testing.T) {
	s := New(contactLeaseMS)
	s.Announce(Announcement{Worker: testWorker}, 0)
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, SentEpoch: 1}, 5)
	require.True(t, s.Confirmed())
}

// Guards against a renewed lease of a run that no entry holds, as in review/2, by an agent that
// starts while the store is away and learns of its worker by an announcement.
func TestAnnouncedWorkerIsNotUsedBeforeItsRunsAreListed(t *testing.T) {
	s := New(contactLeaseMS)
	s.Announce(Announcement{Worker: testWorker}, 0)
	require.False(t, s.RenewLeases(0))
	s.Launch([]Run{newRun(entryA, "b", 0, 0)}, 1)
	require.Equal(t, jobs.OutcomeNotRun, takeEnds(s)[0].Outcome)
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, Epoch: 1, Running: []RunID{{ref("a", 0), 3}}}, 5)
	require.False(t, s.RenewLeases(5))
	s.Launch([]Run{newClaim(0)}, 10)
	require.Empty(t, s.TakeActions(), "the run continues for the entry that claims it")
	require.True(t, s.RenewLeases(10))
}

func TestClaimedOrphanContinues(t *testing.T) {
	s := restoredSupervisor()
	running, ended := s.Orphans()
	require.Equal(t, []RunID{{ref("a", 0), 3}}, running)
	require.Equal(t, []EndedRun{{ref("a", 1), 3, jobs.OutcomeDone}}, ended)
	require.True(t, s.RefusesRuns(), "the capacity used by the running orphan is unknown")
	s.Launch([]Run{newClaim(0)}, 10)
	require.Empty(t, s.TakeActions(), "the run is not started again")
	require.Equal(t, int64(2000), s.Free().MilliCPU)
	require.False(t, s.RefusesRuns())
	s.HandlePoll(PollResult{ClockMS: 90, SentAt: 80, Epoch: 1, Ended: []EndedRun{{ref("a", 0), 3, jobs.OutcomeDone}}}, 90)
	require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 3, Outcome: jobs.OutcomeDone}}, takeEnds(s), "the run time is unknown")
	require.InDelta(t, 1, s.Speed, 0, "so the worker's speed is unchanged")
	s.Tick(5 + claimWindowMS)
	require.Empty(t, takeStops(s))
}

func TestOrphanThatEndedBeforeItsClaimIsReportedToClaimant(t *testing.T) {
	s := restoredSupervisor()
	s.HandlePoll(PollResult{ClockMS: 9, SentAt: 8, Epoch: 1, Ended: []EndedRun{{ref("a", 0), 3, jobs.OutcomeDone}}}, 9)
	s.Launch([]Run{newClaim(0)}, 10)
	require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 3, Outcome: jobs.OutcomeDone}}, takeEnds(s))
	require.Zero(t, s.Held())
}

func TestUnclaimedOrphansAreStopped(t *testing.T) {
	s := restoredSupervisor()
	s.Tick(5 + claimWindowMS - 1)
	require.Empty(t, takeStops(s))
	require.True(t, s.NeedsFrequentTicks())
	s.Tick(5 + claimWindowMS)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s))
	require.True(t, s.RefusesRuns(), "a start would extend the lease of the orphan")
	s.HandlePoll(PollResult{ClockMS: 600, SentAt: 590, Epoch: 1, Running: []RunID{{ref("a", 0), 3}}}, 600)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s), "stops are repeated while the run is listed")
}

// Guards against a second run of a task on another worker (review/2): all processes were killed,
// and the next agent renewed the lease of a run that no entry held, while its stop was carried
// out late. The caller had resubmitted the job before the run ended.
func TestOrphanIsStoppedAndItsLeaseIsNotRenewed(t *testing.T) {
	s := New(contactLeaseMS)
	s.Restore(testWorker)
	both := []RunID{{ref("a", 0), 3}, {ref("b", 0), 1}}
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, Epoch: 1, Running: both}, 5)
	s.Launch([]Run{newClaim(0)}, 10)
	now := 5 + claimWindowMS
	s.Tick(now)
	require.Equal(t, []jobs.TaskRef{ref("b", 0)}, takeStops(s))
	require.False(t, s.RenewLeases(now))
	require.True(t, s.Cautious(now), "a poll sees soon that the run has ended")
	require.True(t, s.NeedsFrequentTicks())
	s.Tick(now + stopRetryMS - 1)
	require.Empty(t, takeStops(s))
	now += stopRetryMS
	s.Tick(now)
	require.Equal(t, []jobs.TaskRef{ref("b", 0)}, takeStops(s), "repeated without an answered poll")
	s.Launch([]Run{newRun(entryB, "c", 0, 0)}, now)
	require.Equal(t, []RunEnd{{Ref: ref("c", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}, takeEnds(s))
	s.Launch([]Run{newRun(entryB, "b", 0, 0)}, now)
	require.Empty(t, s.TakeActions(), "a late claim is answered once the run has ended")
	s.HandlePoll(PollResult{ClockMS: 400, SentAt: now, Epoch: 1, Running: both}, now+5)
	require.False(t, s.RenewLeases(now+5))
	s.HandlePoll(PollResult{ClockMS: 420, SentAt: now + 5, Epoch: 1, Running: both[:1],
		Ended: []EndedRun{{ref("b", 0), 1, jobs.OutcomeStopped}}}, now+25)
	require.Equal(t, []RunEnd{{Ref: ref("b", 0), Number: 1, Outcome: jobs.OutcomeStopped}}, takeEnds(s))
	require.True(t, s.RenewLeases(now+25))
	require.False(t, s.RefusesRuns())
	require.Equal(t, 1, s.RunsAtWorker(), "the claimed run continues")
}

// Guards against a second run of a task: an entry claimed the run of a restarted agent just after
// the claim window, was told that it had not run, and started the task on another worker while
// the run was still to be stopped.
func TestLateClaimIsAnsweredOnceTheRunHasEnded(t *testing.T) {
	s := restoredSupervisor()
	now := 5 + claimWindowMS
	s.Tick(now)
	require.Len(t, takeStops(s), 1)
	s.Launch([]Run{newClaim(0)}, now+1)
	require.Empty(t, s.TakeActions())
	held, _ := s.EntryConnected(entryA)
	require.Len(t, held, 1, "the entry must not take the run for one that never arrived")
	s.Tick(now + stopRetryMS)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s))
	require.False(t, s.RenewLeases(now+stopRetryMS))
	s.HandlePoll(PollResult{ClockMS: 400, SentAt: now + stopRetryMS, Epoch: 1,
		Ended: []EndedRun{{ref("a", 0), 3, jobs.OutcomeStopped}}}, now+80)
	require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 3, Outcome: jobs.OutcomeStopped}}, takeEnds(s))
}

// A start that the earlier agent process sent may be executed after the claim window.
func TestRunThatAppearsLaterIsStoppedAndItsLeaseIsNotRenewed(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "held", 0, 0)}, 0)
	s.TakeActions()
	running := []RunID{{ref("held", 0), 1}, {ref("orphan", 0), 4}}
	s.HandlePoll(PollResult{ClockMS: 20, SentAt: 10, Running: running}, 20)
	require.Equal(t, []jobs.TaskRef{ref("orphan", 0)}, takeStops(s))
	require.False(t, s.RenewLeases(20))
	answerStart(s, ref("held", 0), entryA, StartUnanswered, 25)
	require.Empty(t, takeStarts(s), "a repeated start would extend the lease as well")
	s.HandlePoll(PollResult{ClockMS: 50, SentAt: 30, Running: running[:1]}, 50)
	require.True(t, s.RenewLeases(50))
}

func TestSameExceptDraining(t *testing.T) {
	draining, relabeled := testWorker, testWorker
	draining.Draining = true
	relabeled.Labels = []string{"r1"}
	require.True(t, testWorker.SameExceptDraining(draining))
	require.False(t, testWorker.SameExceptDraining(relabeled))
}
