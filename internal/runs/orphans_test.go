package runs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

var aWorker = Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: jobs.Size{MilliCPU: 4000, MemoryMB: 1000}}

// restored returns a room that knows its worker from a record, and that found a run
// at work and one that has ended.
func restored() *Supervisor {
	r := New()
	r.Restore(aWorker)
	r.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, Epoch: 1, Running: []RunID{{name("a", 0), 3}},
		Ended: []EndedRun{{name("a", 1), 3, jobs.OutcomeDone}}}, 5)
	return r
}

func claimOf(index int) Run {
	run := run(entryA, "a", index, 0)
	run.Number = 3
	return run
}

func TestRestoredWorkerTakesNothingBeforeItsFirstLook(t *testing.T) {
	r := New()
	r.Restore(aWorker)
	require.False(t, r.Confirmed())
	r.Launch([]Run{run(entryA, "b", 0, 0)}, 1)
	require.Equal(t, jobs.OutcomeNotRun, ends(r)[0].Outcome)
	r.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, Epoch: 1}, 5)
	require.True(t, r.Confirmed())
	r.Launch([]Run{run(entryA, "c", 0, 0)}, 6)
	require.Len(t, starts(r), 1)
}

func TestRecordOfAnEarlierLifeNamesNoWorker(t *testing.T) {
	r := New()
	r.Restore(aWorker)
	r.HandlePoll(PollResult{ClockMS: 5, SentAt: 1, Epoch: 2, Running: []RunID{{name("a", 0), 3}}}, 5)
	require.Nil(t, r.Worker, "the heartbeat tells what the new life can do")
	r.Restore(aWorker)
	next := aWorker
	next.Epoch = 2
	r.Announce(next, 6)
	require.True(t, r.Confirmed())
}

func TestRunsOfAnEarlierProcessGoOnOnceClaimed(t *testing.T) {
	r := restored()
	running, ended := r.Orphans()
	require.Equal(t, []RunID{{name("a", 0), 3}}, running)
	require.Equal(t, []EndedRun{{name("a", 1), 3, jobs.OutcomeDone}}, ended)
	require.True(t, r.NotAccepting(), "it is not known how much room the found run takes")
	r.Launch([]Run{claimOf(0)}, 10)
	require.Empty(t, r.TakeActions(), "it is not started again")
	require.Equal(t, int64(2000), r.Free().MilliCPU)
	require.False(t, r.NotAccepting())
	r.HandlePoll(PollResult{ClockMS: 90, SentAt: 80, Epoch: 1, Ended: []EndedRun{{name("a", 0), 3, jobs.OutcomeDone}}}, 90)
	require.Equal(t, []RunEnd{{Ref: name("a", 0), Number: 3, Outcome: jobs.OutcomeDone}}, ends(r), "how long it ran is not known")
	require.InDelta(t, 1, r.Speed, 0, "so nothing is learned of the worker's speed")
	r.Tick(5 + claimMS)
	require.Empty(t, stops(r))
}

func TestRunThatEndsBeforeItsClaimIsToldToTheEntryThatClaimsIt(t *testing.T) {
	r := restored()
	r.HandlePoll(PollResult{ClockMS: 9, SentAt: 8, Epoch: 1, Ended: []EndedRun{{name("a", 0), 3, jobs.OutcomeDone}}}, 9)
	r.Launch([]Run{claimOf(0)}, 10)
	require.Equal(t, []RunEnd{{Ref: name("a", 0), Number: 3, Outcome: jobs.OutcomeDone}}, ends(r))
	require.Zero(t, r.Held())
}

func TestRunsThatNobodyClaimsAreStopped(t *testing.T) {
	r := restored()
	r.Tick(5 + claimMS - 1)
	require.Empty(t, stops(r))
	require.True(t, r.Pending())
	r.Tick(5 + claimMS)
	require.Equal(t, []jobs.TaskRef{name("a", 0)}, stops(r))
	require.False(t, r.NotAccepting())
	r.HandlePoll(PollResult{ClockMS: 600, SentAt: 590, Epoch: 1, Running: []RunID{{name("a", 0), 3}}}, 600)
	require.Equal(t, []jobs.TaskRef{name("a", 0)}, stops(r), "as long as it is listed")
}

func TestWorkerIsTheSameWhateverItsState(t *testing.T) {
	draining, other := aWorker, aWorker
	draining.Draining = true
	other.Labels = []string{"r1"}
	require.True(t, aWorker.SameExceptDraining(draining))
	require.False(t, aWorker.SameExceptDraining(other))
}
