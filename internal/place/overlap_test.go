package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// addSecondWorker adds a worker, and sets a long objective, so that no job is abandoned.
func addSecondWorker(s *Scheduler, now clock.Millis) {
	for _, j := range s.Jobs {
		j.Objective = 10_000
	}
	s.UpdateWorker(Report{Worker: newWorker("other", 4, 1)}, now)
}

// Guards against two runs at once: a claim was lost with its link, and the run, which the agent
// no longer listed after the claim window, was retried while it was at work.
func TestRunWhoseClaimWasLostIsNotRetriedBeforeItIsResolved(t *testing.T) {
	s, l := launchOnHost(t)
	addSecondWorker(s, 490)
	s.ReplaceOldAgents("new", "h", 500)
	s.AgentConnected("new", map[jobs.TaskRef]int64{taskRef(l, 0): l.Tasks[0].Run}, 500)
	require.Len(t, takeLaunches(s), 1, "the claim")
	s.AgentDisconnected("new", 600)
	s.AgentConnected("new", nil, 800)
	require.Empty(t, takeLaunches(s), "the run may be at work until the lease of the earlier agent has expired")
	s.Tick(500 + maxUnknownMS - 1)
	require.Empty(t, takeLaunches(s))
}
