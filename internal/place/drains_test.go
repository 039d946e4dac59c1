package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// newWorkerIn returns a worker with room for two tasks of newSubmission.
func newWorkerIn(z, agent string) Worker {
	w := newWorker(agent, 4, 1)
	w.Zone = z
	return w
}

func requireRefused(t *testing.T, s *Scheduler, id string) {
	t.Helper()
	as := takeAnswers(s)
	require.Len(t, as, 1)
	require.Equal(t, jobs.ID(id), as[0].Job.Spec.ID)
	require.Equal(t, VerdictRefused, as[0].Verdict)
	require.Equal(t, ReasonZonesDrained, as[0].Reason)
	require.GreaterOrEqual(t, as[0].RetryAfter, minRetryAfterMS)
}

// Guards against a launch to a drained zone, also after a report of its worker, and against a zone
// that is not used again.
func TestNothingIsLaunchedInADrainedZone(t *testing.T) {
	s := newScheduler(newWorkerIn("a", "in-a"), newWorkerIn("b", "in-b"))
	s.SetDrainedZones(zone.NewDrains(5, []string{"a"}), 0)
	s.UpdateWorker(Report{Worker: newWorkerIn("a", "in-a")}, 1)
	s.UpdateWorker(Report{Worker: newWorkerIn("a", "new-in-a")}, 1)
	require.Equal(t, 2, s.WorkersInDrainedZones())
	s.Submit(newSubmission("job", 4, 100), 1)
	ls := takeLaunches(s)
	require.Len(t, ls, 1)
	require.Equal(t, "in-b", ls[0].Agent)
	require.Len(t, ls[0].Tasks, 2)
	s.SetDrainedZones(zone.NewDrains(6, nil), 2)
	for _, l := range takeLaunches(s) {
		require.Contains(t, []string{"in-a", "new-in-a"}, l.Agent, "the others start once the drain has ended")
	}
	require.Zero(t, s.WorkersInDrainedZones())
	require.False(t, s.Jobs["job"].hasWaitingTask())
}

func TestTaskReturnedFromADrainedZoneIsPlacedElsewhereAtOnce(t *testing.T) {
	s := newScheduler(newWorkerIn("z", "in-z"))
	s.Submit(newSubmission("job", 1, 100), 0)
	l := takeLaunches(s)[0]
	s.UpdateWorker(Report{Worker: newWorkerIn("b", "in-b")}, 1)
	closed := newWorkerIn("z", "in-z")
	closed.Closed = true // as the agent reports it that knows of the drain
	s.UpdateWorker(Report{Worker: closed, AckedLaunch: 1}, 2)
	endRun(s, l, 0, jobs.OutcomeNotRun, 2)
	ls := takeLaunches(s)
	require.Len(t, ls, 1)
	require.Equal(t, "in-b", ls[0].Agent)
}

// Guards against jobs that wait until their deadline for zones that stay drained, or that are
// refused although something of them has run.
func TestJobsForDrainedZonesOnlyAreRefusedAtOnceAsNotRun(t *testing.T) {
	s := newScheduler(newWorkerIn("a", "in-a"), newWorkerIn("b", "in-b"))
	s.Submit(newSubmission("running", 4, 5000), 0)
	require.Len(t, takeLaunches(s), 2)
	s.Submit(newSubmission("waiting", 1, 5000), 1)
	s.SetDrainedZones(zone.NewDrains(5, []string{"a"}), 2)
	require.Empty(t, takeAnswers(s), "zone b is in use")
	s.SetDrainedZones(zone.NewDrains(6, []string{"a", "b"}), 3)
	requireRefused(t, s, "waiting")
	s.Submit(newSubmission("arriving", 1, 5000), 4)
	requireRefused(t, s, "arriving")
	require.Contains(t, s.Jobs, jobs.ID("running"))
	s.SetDrainedZones(zone.NewDrains(7, []string{"a"}), 5)
	s.Submit(newSubmission("later", 1, 5000), 6)
	require.Empty(t, takeAnswers(s))
}

// Guards against a job that waits although every zone is drained: its tasks were on their way to
// an agent that knew of the drain, and came back after the entry had put it in force.
func TestJobReturnedFromTheLastDrainedZoneIsRefusedAtOnce(t *testing.T) {
	s := newScheduler(newWorkerIn("a", "in-a"))
	s.Submit(newSubmission("job", 2, 100), 0)
	l := takeLaunches(s)[0]
	s.SetDrainedZones(zone.NewDrains(5, []string{"a"}), 1)
	endRun(s, l, 0, jobs.OutcomeNotRun, 2)
	require.Empty(t, takeAnswers(s), "the other task may run")
	endRun(s, l, 1, jobs.OutcomeNotRun, 2)
	requireRefused(t, s, "job")
	require.True(t, s.Idle())
}

// Guards against jobs that are admitted for the capacity of drained zones and end late.
func TestAdmissionCountsOnlyZonesInUse(t *testing.T) {
	s := newScheduler(newWorkerIn("a", "in-a"), newWorkerIn("b", "in-b"))
	s.SetDrainedZones(zone.NewDrains(5, []string{"a"}), 0)
	s.Submit(newSubmission("first", 2, 5000), 0)
	s.Submit(newSubmission("second", 2, 100), 0)
	launched := takeLaunches(s)
	require.Len(t, launched, 1)
	var as []Answer
	for now := clock.Millis(0); now < 200 && len(as) == 0; now += 5 {
		s.Tick(now)
		as = takeAnswers(s)
	}
	require.Len(t, as, 1)
	require.Equal(t, jobs.ID("second"), as[0].Job.Spec.ID)
	require.Equal(t, VerdictRefused, as[0].Verdict)
	require.Equal(t, ReasonOverload, as[0].Reason)
}

func TestZoneWithoutWorkersChangesNothing(t *testing.T) {
	s := newScheduler(newWorkerIn("a", "in-a"))
	s.SetDrainedZones(zone.NewDrains(5, []string{"elsewhere"}), 0)
	s.Submit(newSubmission("job", 1, 100), 0)
	require.Len(t, takeLaunches(s), 1)
}
