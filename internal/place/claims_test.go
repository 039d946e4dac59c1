package place

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Guards against two runs at once: a run on a stalled worker was stopped, the stop went to an agent
// process that was killed, and the one that took the run over was never sent a stop once the caller
// was gone.
func TestClaimedRunWhoseStopWasLostIsStoppedWithItsJob(t *testing.T) {
	s, l := launchOnHost(t)
	stalled := newWorker("old", 4, 1)
	stalled.Host, stalled.Stalled = "h", true
	s.UpdateWorker(Report{Worker: stalled, AckedLaunch: l.Number}, 400)
	s.Tick(400)
	stop := Stop{Agent: "old", Job: l.Job, Tasks: []jobs.TaskID{l.Tasks[0].ID}}
	require.Contains(t, s.TakeActions(), Action(stop))
	s.ReplaceOldAgents("new", "h", 500)
	s.AgentConnected("new", nil, map[jobs.TaskRef]int64{taskRef(l, 0): l.Tasks[0].Run}, 500)
	require.Len(t, takeLaunches(s), 1, "the claim")
	s.CallerDisconnected(l.Job, 600)
	stop.Agent = "new"
	require.Contains(t, s.TakeActions(), Action(stop))
}
