package slot_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/slot"
)

// Guards against starts when a drain ends at an upstream that left, or when the upstream announces
// itself while its zone is drained.
func TestDrainOfTheZoneAndLeavingAreIndependent(t *testing.T) {
	p := newPool(1)
	refusesTasks := func(id uint64) bool {
		p.Enqueue(task("e1", id), 0)
		runs, completions, _ := splitActions(p.TakeActions())
		return len(runs) == 0 && completions[0].Outcome.Status == slot.StatusNotRun
	}
	p.SetZoneDrained(true, 0)
	p.Announce(slot.Upstream{Name: "minion-1", Slots: 1, Connections: 1, HoldMS: 500}, 1)
	require.True(t, refusesTasks(1))
	p.Leave("leaving", 2)
	p.SetZoneDrained(false, 3)
	require.True(t, refusesTasks(2))
	p.Announce(slot.Upstream{Name: "minion-1", Slots: 1, Connections: 1, HoldMS: 500}, 4)
	require.False(t, refusesTasks(3))
}

// Guards against a task that waits for a connection and starts while the zone is drained.
func TestTaskWithoutAConnectionIsReturnedByADrain(t *testing.T) {
	p := newPool(2)
	p.Announce(slot.Upstream{Name: "minion-1", Slots: 2, Connections: 1, HoldMS: 500}, 0)
	p.Enqueue(task("e1", 1), 0)
	p.Enqueue(task("e1", 2), 0)
	runs, _, _ := splitActions(p.TakeActions())
	require.Len(t, runs, 1)
	p.SetZoneDrained(true, 1)
	_, completions, _ := splitActions(p.TakeActions())
	require.Equal(t, slot.StatusNotRun, completions[0].Outcome.Status)
}
