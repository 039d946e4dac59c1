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
	s := New()
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
	s := New()
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
	s := New()
	s.Restore(testWorker)
	s.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, Epoch: 2, Running: []RunID{{ref("a", 0), 3}}}, 5)
	require.Nil(t, s.Worker, "the next heartbeat describes the new epoch")
	s.Restore(testWorker)
	next := testWorker
	next.Epoch = 2
	s.Announce(next, 6)
	require.True(t, s.Confirmed())
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
	require.False(t, s.RefusesRuns())
	s.HandlePoll(PollResult{ClockMS: 600, SentAt: 590, Epoch: 1, Running: []RunID{{ref("a", 0), 3}}}, 600)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s), "stops are repeated while the run is listed")
}

func TestSameExceptDraining(t *testing.T) {
	draining, relabeled := testWorker, testWorker
	draining.Draining = true
	relabeled.Labels = []string{"r1"}
	require.True(t, testWorker.SameExceptDraining(draining))
	require.False(t, testWorker.SameExceptDraining(relabeled))
}
