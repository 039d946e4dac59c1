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
	p.Announce(slot.Upstream{Name: "minion-1", Slots: 1, HoldMS: 500}, 1)
	require.True(t, refusesTasks(1))
	p.Leave("leaving", 2)
	p.SetZoneDrained(false, 3)
	require.True(t, refusesTasks(2))
	p.Announce(slot.Upstream{Name: "minion-1", Slots: 1, HoldMS: 500}, 4)
	require.False(t, refusesTasks(3))
}
