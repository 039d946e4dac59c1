package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// newFragmentedScheduler returns a scheduler whose workers of 16 cores have two cores free each. On
// the first one, two are predicted to become free in 20 ms, and two more in 50 ms.
func newFragmentedScheduler(lookAhead bool) *Scheduler {
	s := New("z")
	s.LookAhead = lookAhead
	for _, agent := range []string{"a", "b", "c"} {
		w := newWorker(agent, 16, 1)
		w.ReportedFree.MilliCPU = 2000
		if agent == "a" {
			w.Releases = []Release{{At: 20, Size: jobs.Size{MilliCPU: 2000}}, {At: 50, Size: jobs.Size{MilliCPU: 2000}}}
		}
		s.UpdateWorker(Report{Worker: w}, 0)
	}
	return s
}

func newLargeSubmission(id string, milliCPU int64) Submission {
	sub := newSubmission(id, 1, 400)
	sub.Spec.Steps[0].Size.MilliCPU = milliCPU
	return sub
}

func TestLargeTaskIsSentAheadToTheWorkerThatWillHaveCapacity(t *testing.T) {
	for size, holdMS := range map[int64]clock.Millis{4000: 20 - 10 + holdMarginMS, 6000: 50 - 10 + holdMarginMS} {
		s := newFragmentedScheduler(true)
		s.Submit(newLargeSubmission("large", size), 5)
		require.Empty(t, takeLaunches(s), "it does not fit and has not waited")
		s.Tick(10)
		ls := takeLaunches(s)
		require.Len(t, ls, 1)
		require.Equal(t, "a", ls[0].Agent)
		require.Equal(t, holdMS, ls[0].HoldMS)
		require.Equal(t, ReservationCounts{Made: 1}, s.ReservationCounts())
	}
}

func TestNothingIsReservedUnlessItHelps(t *testing.T) {
	for name, c := range map[string]struct {
		lookAhead bool
		milliCPU  int64
		change    func(s *Scheduler)
	}{
		"look-ahead is off":                 {false, 4000, func(*Scheduler) {}},
		"nothing is predicted to be enough": {true, 8000, func(*Scheduler) {}},
		"the task is small":                 {true, 3000, func(*Scheduler) {}},
		"the worker is closed":              {true, 4000, func(s *Scheduler) { s.Workers["a"].Closed = true }},
		"the zone is drained":               {true, 4000, func(s *Scheduler) { s.Workers["a"].ZoneDrained = true }},
		"the worker is stalled":             {true, 4000, func(s *Scheduler) { s.Workers["a"].Stalled = true }},
		"it would begin after the job's latest start": {true, 4000, func(s *Scheduler) {
			s.Workers["a"].Releases[0].At = s.jobsToPlace[0].LatestStart + 1
			s.Workers["a"].Releases = s.Workers["a"].Releases[:1]
		}},
		"it would end late": {true, 4000, func(s *Scheduler) { s.Workers["a"].Speed = 0.1 }},
		"all workers are short of capacity": {true, 4000, func(s *Scheduler) {
			s.Workers["b"].ReportedFree.MilliCPU, s.Workers["c"].ReportedFree.MilliCPU = 0, 0
		}},
		"a job with smaller tasks waits": {true, 4000, func(s *Scheduler) { s.Submit(newLargeSubmission("smaller", 2500), 6) }},
	} {
		s := newFragmentedScheduler(c.lookAhead)
		s.Submit(newLargeSubmission("large", c.milliCPU), 5)
		c.change(s)
		s.Tick(10)
		for _, l := range takeLaunches(s) {
			require.Zero(t, l.HoldMS, name)
		}
	}
}

// Guards against a job that waits for a run which lasts longer than predicted, and against one that
// is lost with the worker on which its capacity is reserved.
func TestReturnedReservationIsPlannedAgain(t *testing.T) {
	for _, closed := range []bool{false, true} {
		s := newFragmentedScheduler(true)
		s.Submit(newLargeSubmission("large", 4000), 5)
		s.Tick(10)
		l := takeLaunches(s)[0]
		other := newWorker("b", 16, 1)
		other.ReportedFree.MilliCPU = 2000
		other.Releases = []Release{{At: 50, Size: jobs.Size{MilliCPU: 2000}}}
		s.UpdateWorker(Report{Worker: other}, 30)
		w := *s.Workers["a"]
		w.unacked, w.Releases, w.Closed = nil, nil, closed
		s.UpdateWorker(Report{Worker: w, AckedLaunch: l.Number}, 30)
		endRun(s, l, 0, jobs.OutcomeNotRun, 30)
		s.Tick(40)
		again := takeLaunches(s)
		require.Len(t, again, 1)
		require.Equal(t, "b", again[0].Agent)
		require.Equal(t, ReservationCounts{Made: 2, Failed: 1}, s.ReservationCounts())
		endRun(s, again[0], 0, jobs.OutcomeNotRun, s.Jobs["large"].QueueDeadline)
		s.Tick(s.Jobs["large"].QueueDeadline + 1)
		require.Equal(t, VerdictRefused, takeAnswers(s)[0].Verdict, "the job may be refused: nothing of it ran")
	}
}

func TestFewReservationsAreInForceAtOnce(t *testing.T) {
	s := newFragmentedScheduler(true)
	s.Workers["a"].Releases[0].Size.MilliCPU = 100_000
	for i := range maxReservations + 2 {
		s.Submit(newLargeSubmission(string(rune('a'+i)), 4000), 5)
	}
	s.Tick(10)
	require.Len(t, takeLaunches(s), maxReservations)
	s.Tick(12)
	require.Empty(t, takeLaunches(s))
}

// Guards against small tasks that are spread while large ones arrive, so that no worker has a gap,
// and against entries that all fill the last gap of a worker.
func TestSmallTasksArePackedOnlyWhileLargeOnesArrive(t *testing.T) {
	for name, c := range map[string]struct {
		lookAhead  bool
		large      int64
		now        clock.Millis
		fullerFree int64
		agent      string
	}{
		"large tasks arrive":          {true, 8000, 10, 4000, "fuller"},
		"others are not much larger":  {true, 3000, 10, 4000, "emptier"},
		"no large one arrived lately": {true, 8000, 20 + largestMemoryMS, 4000, "emptier"},
		"it would be the last gap":    {true, 8000, 10, 3000, "emptier"},
		"look-ahead is off":           {false, 8000, 10, 4000, "emptier"},
	} {
		s := New("z")
		s.LookAhead = c.lookAhead
		fuller, emptier := newWorker("fuller", 16, 1), newWorker("emptier", 16, 1)
		fuller.ReportedFree.MilliCPU = c.fullerFree
		s.UpdateWorker(Report{Worker: fuller}, c.now)
		s.UpdateWorker(Report{Worker: emptier}, c.now)
		s.largest = map[string]largestSize{fleet: {milliCPU: c.large, at: 5}}
		s.Submit(newLargeSubmission("small", 2000), c.now)
		require.Equal(t, c.agent, takeLaunches(s)[0].Agent, name)
	}
}
