package place

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/offer"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// newFullFleet returns a scheduler whose workers have no free capacity.
func newFullFleet(agents ...string) *Scheduler {
	s := New("z")
	for _, a := range agents {
		w := newWorker(a, 16, 1)
		w.ReportedFree = jobs.Size{}
		s.UpdateWorker(Report{Worker: w}, 0)
	}
	return s
}

// agentsOf returns the agents that are told of a demand with the given latest start.
func agentsOf(demand map[string]offer.Demand, latestStart clock.Millis) int {
	n := 0
	for _, d := range demand {
		if d.LatestStart == latestStart {
			n++
		}
	}
	return n
}

// Agents that are told of jobs which are placed a moment later offer in vain.
func TestDemandBeginsAfterAMoment(t *testing.T) {
	s := newFullFleet("a", "b")
	s.Submit(newSubmission("1", 1, 100), 0)
	require.Nil(t, s.Demand(minDemandWaitMS-1))
	require.Len(t, s.Demand(minDemandWaitMS), 2)
	s.Cancel("1", minDemandWaitMS)
	require.Nil(t, s.Demand(minDemandWaitMS), "no job waits any more")
}

// If all agents were told of the first job, the capacity that it does not need would be used for
// jobs of this entry that go after those of others.
func TestDemandIsSpreadOverTheWaitingJobs(t *testing.T) {
	s := newFullFleet("a", "b", "c", "d", "e", "f")
	s.Submit(newSubmission("urgent", 2, 60), 0)
	s.Submit(newSubmission("later", 1, 900), 0)
	urgent, later := s.Jobs["urgent"].LatestStart, s.Jobs["later"].LatestStart
	require.Less(t, urgent, later)
	demand := s.Demand(minDemandWaitMS)
	require.Equal(t, 2*agentsPerTask, agentsOf(demand, urgent), "%v", demand)
	require.Equal(t, agentsPerTask, agentsOf(demand, later), "%v", demand)
}

// A worker that no waiting job could use must not be told: it is slow, drained or of another fleet.
func TestDemandIsToldOnlyToWorkersThatCouldServeIt(t *testing.T) {
	s := newFullFleet("fits", "drained")
	w := newWorker("slow", 16, 0.3)
	w.ReportedFree = jobs.Size{}
	s.UpdateWorker(Report{Worker: w}, 0)
	other := newWorker("other", 16, 1)
	other.Fleet = "other"
	s.UpdateWorker(Report{Worker: other}, 0)
	s.Workers["drained"].Zone = "y"
	s.SetDrainedZones(zone.NewDrains(1, []string{"y"}), 0)
	s.Submit(newSubmission("1", 3, 400), 0)
	demand := s.Demand(minDemandWaitMS)
	require.Len(t, demand, 1)
	require.Contains(t, demand, "fits")
}

// A step that depends on one that is running waits for no capacity.
func TestStepThatIsNotReadyHasNoDemand(t *testing.T) {
	s := New("z")
	w := newWorker("a", 16, 1)
	s.UpdateWorker(Report{Worker: w}, 0)
	sub := newSubmission("1", 1, 100)
	sub.Spec.Steps = append(sub.Spec.Steps, sub.Spec.Steps[0])
	sub.Spec.Steps[1].After = []int{0}
	s.Submit(sub, 0)
	require.True(t, s.HasJobsToPlace())
	require.Nil(t, s.Demand(minDemandWaitMS))
}

// BenchmarkDecisionDemand measures what an entry with 26 agents computes in each round of notices
// while 40 jobs wait.
func BenchmarkDecisionDemand(b *testing.B) {
	var agents []string
	for i := range 26 {
		agents = append(agents, fmt.Sprint("agent-", i))
	}
	s := newFullFleet(agents...)
	for i := range 40 {
		s.Submit(newSubmission(fmt.Sprint("job-", i), 8, clock.Millis(60+10*i)), 0)
	}
	announcer := offer.NewAnnouncer()
	now := minDemandWaitMS
	for b.Loop() {
		announcer.Update(s.Demand(minDemandWaitMS), now)
		now += 20
	}
}
