package runs

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// newBusySupervisor returns the supervisor of a worker of ten cores and speed 2, with a started run
// of one core for each expected run time.
func newBusySupervisor(expected ...clock.Millis) *Supervisor {
	s := New(10_000)
	s.Announce(Announcement{Worker: Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: jobs.Size{MilliCPU: 10_000}}}, 0)
	s.HandlePoll(PollResult{SentEpoch: 1, Epoch: 1}, 0)
	s.Speed = 2
	s.recordSize(jobs.Size{MilliCPU: 2000}, 0)
	for i, ms := range expected {
		launchOne(s, fmt.Sprint("j", i), 1000, ms, 0)
	}
	return s
}

func launchOne(s *Supervisor, job string, milliCPU int64, expected, holdMS clock.Millis) {
	s.Launch([]Run{{Ref: jobs.TaskRef{Job: jobs.ID(job)}, Number: 1, Entry: "e", Size: jobs.Size{MilliCPU: milliCPU},
		ExpectedMS: expected, HoldMS: holdMS}}, 0)
}

// Guards against entries that reserve capacity which a run far over its expected time keeps.
func TestReleasesCountRunsThatAreExpectedToEndSoon(t *testing.T) {
	s := newBusySupervisor(60, 90, 90, 120, 120, 1000)
	cores := func(n int64) jobs.Size { return jobs.Size{MilliCPU: n * 1000} }
	require.Equal(t, []Release{{50, cores(3)}, {100, cores(2)}}, s.Releases(0))
	require.Equal(t, []Release{{20, cores(5)}}, s.Releases(50), "the first run is past its expected time of 30 ms and ends soon")
	require.Equal(t, []Release{{20, cores(2)}}, s.Releases(90), "the first three runs count as stragglers")
}

func TestReleasesAreOmittedUnlessTheWorkerIsNearlyFull(t *testing.T) {
	require.Empty(t, newBusySupervisor(60, 60, 60, 60).Releases(0))
	s := newBusySupervisor(60, 60, 60, 60, 60)
	require.NotEmpty(t, s.Releases(0))
	s.SetZoneDrained(true, 0)
	require.Empty(t, s.Releases(0), "nothing may be reserved on a worker that accepts no runs")
}

// Reports to entries that never reserve would grow for nothing.
func TestReleasesAreOmittedWithoutLargeTasks(t *testing.T) {
	s := newBusySupervisor(60, 60, 60, 60, 60)
	s.largeUntil = 0
	require.Empty(t, s.Releases(0))
	launchOne(s, "large", 2000, 60, 0)
	require.NotEmpty(t, s.Releases(0))
}

// Guards against gaps that close again: small runs used to take what became free before the large
// run fitted.
func TestHeldRunKeepsFreedCapacity(t *testing.T) {
	s := newBusySupervisor(60, 60, 60, 60, 60, 60, 60, 60, 60)
	launchOne(s, "large", 4000, 60, 60)
	require.Equal(t, 1, s.HeldForCapacity())
	require.Negative(t, s.Free().MilliCPU, "entries are told that the capacity is taken")
	s.TakeActions()
	ended := PollResult{SentEpoch: 1, Epoch: 1, SentAt: 30}
	for i := range 9 {
		id := RunID{Ref: jobs.TaskRef{Job: jobs.ID(fmt.Sprint("j", i))}, Number: 1}
		if i < 3 {
			ended.Ended = append(ended.Ended, EndedRun{Ref: id.Ref, Number: 1, Outcome: jobs.OutcomeDone})
		} else {
			ended.Running = append(ended.Running, id)
		}
	}
	s.Tick(29)
	s.HandlePoll(ended, 30)
	require.Contains(t, startedJobs(s.TakeActions()), jobs.ID("large"))
	require.Zero(t, s.HeldForCapacity())
}

// Guards against a job that waits for a run which lasts longer than predicted, and against entries
// that ask for holds of any length.
func TestHeldRunIsReturnedWhenThePredictionFails(t *testing.T) {
	for _, c := range []struct{ holdMS, effectiveMS clock.Millis }{{60, 60}, {1 << 40, MaxHoldMS}, {-1, 0}} {
		s := newBusySupervisor(60, 60, 60, 60, 60, 60, 60, 60, 60)
		launchOne(s, "large", 4000, 60, c.holdMS)
		s.TakeActions()
		s.Tick(maxQueuedMS + c.effectiveMS)
		require.Empty(t, s.TakeActions())
		s.Tick(maxQueuedMS + c.effectiveMS + 1)
		require.Equal(t, jobs.OutcomeNotRun, s.TakeActions()[0].(Report).End.Outcome)
	}
}

// Guards against a hold that outlives the worker: its job could run elsewhere.
func TestHeldRunIsReturnedWhenTheWorkerLeaves(t *testing.T) {
	s := newBusySupervisor(60, 60, 60, 60, 60, 60, 60, 60, 60)
	launchOne(s, "large", 4000, 60, 60)
	s.TakeActions()
	s.StopAccepting(10)
	require.Equal(t, jobs.OutcomeNotRun, s.TakeActions()[0].(Report).End.Outcome)
}

func startedJobs(actions []Action) []jobs.ID {
	var ids []jobs.ID
	for _, a := range actions {
		if start, ok := a.(Start); ok {
			ids = append(ids, start.Run.Ref.Job)
		}
	}
	return ids
}

func BenchmarkReleases(b *testing.B) {
	s := newBusySupervisor(60, 90, 120, 200, 200, 200, 900, 900, 900, 900)
	b.ReportAllocs()
	for b.Loop() {
		s.Releases(10)
	}
}
