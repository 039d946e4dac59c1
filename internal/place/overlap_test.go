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
	s.AgentConnected("new", nil, map[jobs.TaskRef]int64{taskRef(l, 0): l.Tasks[0].Run}, 500)
	require.Len(t, takeLaunches(s), 1, "the claim")
	s.AgentDisconnected("new", 600)
	s.AgentConnected("new", nil, nil, 800)
	require.Empty(t, takeLaunches(s), "the run may be at work until the lease of the earlier agent has expired")
	s.Tick(500 + maxUnknownMS - 1)
	require.Empty(t, takeLaunches(s))
}

// Guards against two runs at once: an agent linked again with a run that the entry had given up
// and sent elsewhere, and nobody stopped it.
func TestRunThatTheEntryHasGivenUpIsStoppedWhenItsAgentIsLinkedAgain(t *testing.T) {
	s, l := launchOnHost(t)
	addSecondWorker(s, 90)
	s.AgentDisconnected("old", 100)
	s.Tick(101 + maxUnknownMS)
	again := takeLaunches(s)
	require.Len(t, again, 1)
	require.Equal(t, "other", again[0].Agent)
	s.AgentConnected("old", map[jobs.TaskRef]int64{taskRef(l, 0): l.Tasks[0].Run}, nil, 110+maxUnknownMS)
	require.Contains(t, s.TakeActions(), Action(Stop{Agent: "old", Job: l.Job, Tasks: []jobs.TaskID{l.Tasks[0].ID}}))
}

// Guards against two entries that keep starting the tasks of one job: its caller had submitted it
// again, and the first entry retried the runs that were stopped in favour of the second.
func TestJobIsAbandonedOnceAnotherEntryRunsIt(t *testing.T) {
	s, l := launchOnHost(t)
	addSecondWorker(s, 90)
	s.RunEnded("old", taskRef(l, 0), l.Tasks[0].Run, jobs.OutcomeSuperseded, 0, 100)
	actions := s.TakeActions()
	require.Len(t, actions, 2)
	require.Equal(t, VerdictUnknown, actions[0].(Answer).Verdict)
	require.Equal(t, Stop{Agent: "old", Job: l.Job, Tasks: []jobs.TaskID{l.Tasks[1].ID}}, actions[1])
}
