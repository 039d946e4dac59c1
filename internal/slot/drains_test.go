package slot_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/slot"
)

// Guards against a start in a drained zone: of a queued task, of one from an entry that does not
// know of the drain yet, and after the upstream has announced itself again.
func TestNothingIsStartedInADrainedZone(t *testing.T) {
	p := newPool(1)
	p.Enqueue(task("e1", 1), 0)
	p.Enqueue(task("e1", 2), 0)
	runs, _, _ := splitActions(p.TakeActions())
	p.SetZoneDrained(true, 1)
	_, completions, aborts := splitActions(p.TakeActions())
	require.Len(t, completions, 1, "the queued task is returned")
	require.Equal(t, slot.StatusNotRun, completions[0].Outcome.Status)
	require.True(t, completions[0].Leaving, "its entry tries another upstream")
	require.Empty(t, aborts)

	p.Announce(slot.Upstream{Name: "minion-1", Slots: 2, HoldMS: 500}, 2)
	p.Enqueue(task("e2", 1), 3)
	p.Finish(runs[0].ID, slot.Outcome{}, 4)
	started, completions, _ := splitActions(p.TakeActions())
	require.Empty(t, started)
	require.Equal(t, slot.StatusNotRun, completions[0].Outcome.Status)
	require.Equal(t, slot.StatusOK, completions[1].Outcome.Status, "a running task finishes")

	p.SetZoneDrained(false, 5)
	p.Enqueue(task("e2", 2), 6)
	started, _, _ = splitActions(p.TakeActions())
	require.Len(t, started, 1)
}

func TestEndOfADrainDoesNotResumeAnUpstreamThatLeft(t *testing.T) {
	p := newPool(1)
	p.SetZoneDrained(true, 0)
	p.Leave("leaving", 1)
	p.SetZoneDrained(false, 2)
	p.Enqueue(task("e1", 1), 3)
	_, completions, _ := splitActions(p.TakeActions())
	require.Equal(t, slot.StatusNotRun, completions[0].Outcome.Status)
}
