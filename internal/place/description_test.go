package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// undescribed returns the report of a worker whose present life has not described itself.
func undescribed(agent string) Worker {
	return Worker{Agent: agent, Zone: "z", ID: agent, Speed: 1, Closed: true, Revision: 2}
}

// Guards against a job that waits for a worker that nobody can describe, or is refused because of it,
// while another one could serve it.
func TestJobIsServedByAnotherWorkerWhileOneIsNotDescribed(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 2), newWorker("b", 16, 1))
	s.UpdateWorker(Report{Worker: undescribed("a")}, 1)
	s.Submit(newSubmission("j", 2, 100), 2)
	ls := takeLaunches(s)
	require.Len(t, ls, 1)
	require.Equal(t, "b", ls[0].Agent)
	require.Len(t, ls[0].Tasks, 2)
}

// Guards against a task that was returned by a worker that has started anew and is sent there again.
func TestTaskReturnedByAnUndescribedWorkerIsPlacedElsewhereAtOnce(t *testing.T) {
	s := newScheduler(newWorker("a", 16, 2), newWorker("b", 16, 1))
	s.Submit(newSubmission("j", 1, 100), 0)
	l := takeLaunches(s)[0]
	require.Equal(t, "a", l.Agent)
	s.UpdateWorker(Report{Worker: undescribed("a"), AckedLaunch: 1}, 1)
	endRun(s, l, 0, jobs.OutcomeNotRun, 1)
	require.Equal(t, "b", takeLaunches(s)[0].Agent)
}

// Guards against a refusal at arrival although the only worker that fits is about to describe itself.
// The job starts with the description, or is refused at its queue deadline.
func TestJobThatOnlyAnUndescribedWorkerMayFitWaitsForItsDescription(t *testing.T) {
	for _, isOfAnotherKind := range []bool{false, true} {
		labelled, other := newWorker("a", 16, 1), newWorker("b", 16, 1)
		labelled.Labels, other.Labels = []string{"gpu"}, []string{"cpu"}
		s := newScheduler(labelled, other)
		s.UpdateWorker(Report{Worker: undescribed("a")}, 1)
		sub := newSubmission("j", 1, 100)
		sub.Spec.Steps[0].Label = "gpu"
		s.Submit(sub, 2)
		require.Empty(t, takeAnswers(s))
		if isOfAnotherKind {
			labelled.Labels = []string{"cpu"}
		}
		labelled.Revision = 3
		s.UpdateWorker(Report{Worker: labelled}, 10)
		if isOfAnotherKind {
			require.Empty(t, takeLaunches(s))
			s.Tick(s.Jobs["j"].QueueDeadline + 1)
			require.Equal(t, ReasonNeverFits, takeAnswers(s)[0].Reason)
			continue
		}
		l := takeLaunches(s)[0]
		require.Equal(t, "a", l.Agent)
		require.Equal(t, uint64(3), l.Revision)
	}
}

// A worker that never describes itself delays no refusal for long.
func TestDescriptionIsAwaitedForABoundedTime(t *testing.T) {
	s := newScheduler(newWorker("b", 16, 1))
	for now := clock.Millis(0); now <= descriptionWaitMS; now += 100 {
		s.UpdateWorker(Report{Worker: undescribed("a")}, now)
	}
	sub := newSubmission("j", 1, 100)
	sub.Spec.Steps[0].Label = "gpu"
	s.Submit(sub, descriptionWaitMS)
	require.Equal(t, ReasonNeverFits, takeAnswers(s)[0].Reason)
}

// Guards against a refusal for drained zones although a worker elsewhere may describe itself as one
// that fits. One in a drained zone changes nothing.
func TestUndescribedWorkerOutsideDrainedZonesMayFit(t *testing.T) {
	s := newScheduler(newWorkerIn("a", "in-a"), newWorkerIn("b", "in-b"))
	s.SetDrainedZones(zone.NewDrains(5, []string{"a"}), 0)
	s.UpdateWorker(Report{Worker: undescribed("in-b")}, 1)
	s.Submit(newSubmission("waits", 1, 100), 2)
	require.Empty(t, takeAnswers(s))
	inDrained := undescribed("in-b")
	inDrained.Zone = "a"
	s.UpdateWorker(Report{Worker: inDrained}, 3)
	s.Submit(newSubmission("refused", 1, 100), 4)
	requireRefused(t, s, "refused")
}
