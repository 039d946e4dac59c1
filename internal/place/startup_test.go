package place

import (
	"testing"

	"github.com/stretchr/testify/require"
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
