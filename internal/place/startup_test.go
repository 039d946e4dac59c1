package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// An entry that had just started refused jobs until the first agents had linked, some 200 ms
// later; their callers do not submit a refused job again.
func TestJobWaitsForTheFirstWorkersAfterAStart(t *testing.T) {
	s := newScheduler()
	s.AwaitWorkersUntil = 1000
	s.Submit(newSubmission("a", 2, 50), 100)
	s.Tick(290)
	require.Empty(t, takeAnswers(s), "past its queue deadline, but a late answer is of use")
	s.UpdateWorker(Report{Worker: newWorker("w", 16, 1)}, 300)
	require.Len(t, takeLaunches(s), 1)
}

func TestJobIsNotHeldAfterAStartOnceItsAnswerWouldBeOfNoUse(t *testing.T) {
	s := newScheduler()
	s.AwaitWorkersUntil = 1000
	s.Submit(newSubmission("a", 1, 50), 100)
	deadline := s.Jobs["a"].ArrivedAt + LateFactor*s.Jobs["a"].Objective
	s.Tick(deadline)
	as := takeAnswers(s)
	require.Len(t, as, 1)
	require.Equal(t, VerdictRefused, as[0].Verdict)
}

func TestJobIsRefusedWithoutWorkersLongAfterTheStart(t *testing.T) {
	s := newScheduler()
	s.AwaitWorkersUntil = 1000
	s.Submit(newSubmission("a", 1, 50), 1000)
	require.Equal(t, ReasonNoWorker, takeAnswers(s)[0].Reason)
}

// Such a job was answered like one that was refused for overload, which tells its caller to come
// back soon.
func TestJobThatFitsNoWorkerAfterAStartIsRefusedForThat(t *testing.T) {
	s := newScheduler(newWorker("w", 1, 1))
	s.AwaitWorkersUntil = 1000
	s.Submit(newSubmission("a", 1, 50), 100)
	s.Tick(s.Jobs["a"].ArrivedAt + LateFactor*s.Jobs["a"].Objective)
	require.Equal(t, ReasonNeverFits, takeAnswers(s)[0].Reason)
}

// Workers of zones in use may link a moment later.
func TestJobIsNotRefusedForADrainRightAfterAStart(t *testing.T) {
	s := newScheduler(newWorker("w", 16, 1))
	s.AwaitWorkersUntil = 1000
	s.Submit(newSubmission("a", 1, 50), 100)
	takeLaunches(s)
	s.Submit(newSubmission("b", 40, 50), 100)
	s.Submit(newSubmission("c", 1, 50), 100)
	takeLaunches(s)
	s.SetDrainedZones(zone.Drains{Revision: 1, Zones: []string{"z"}}, 110)
	require.Empty(t, takeAnswers(s))
}
