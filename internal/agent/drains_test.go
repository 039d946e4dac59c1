package agent

import (
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

func startFrame(ask uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{Ask: ask, Customer: "c", Kind: "check", TimeoutMs: 5000}}}
}

func drainFrame(version int64, deleted bool) *wire.Frame {
	drain := contr.Document{Name: "zone/a", Version: version, Text: "power", Deleted: deleted}
	return &wire.Frame{Body: &wire.Frame_Config{Config: contr.EncodeConfig(version, []contr.Document{drain})}}
}

// Guards against starts in a drained zone that come from an entry which does not know of the drain
// yet, or that wait in the agent's queue.
func TestAgentThatKnowsOfTheDrainRefusesStartsOfAnEntryThatDoesNot(t *testing.T) {
	self := host.Host{Name: "minion", Role: host.RoleAgent, Location: zone.Location{Region: "r", Zone: "a"}}
	a := New(Settings{Self: self}, clock.New(), fair.New(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	a.pool.Announce(slot.Upstream{Name: "u", Slots: 1, Connections: 1, HoldMS: 5000}, a.clock.Now())
	sent := map[string]func() []*wire.Frame{}
	for _, entry := range []string{"knowing", "unaware"} {
		a.links[entry], sent[entry] = link.NewUnconnected(host.Host{Name: entry, Incarnation: entry, Role: host.RoleEntry})
		a.pool.AddEntry(entry)
	}
	requireNotRun := func(id uint64) {
		t.Helper()
		actions := a.pool.TakeActions()
		require.Len(t, actions, 1)
		c := actions[0].(slot.Completion)
		require.Equal(t, "unaware", c.Entry)
		require.Equal(t, id, c.MessageID)
		require.Equal(t, slot.StatusNotRun, c.Outcome.Status)
		require.True(t, c.Leaving, "its entry tries another upstream")
	}

	a.onFrame("unaware", startFrame(1))
	a.onFrame("unaware", startFrame(2))
	running := a.pool.TakeActions()[0].(slot.Run)
	a.onFrame("knowing", drainFrame(7, false))
	requireNotRun(2)
	require.True(t, sent["unaware"]()[0].GetHeartbeat().GetUpstream().GetLeaving(), "the entry learns of it at once")
	a.onFrame("unaware", startFrame(3))
	requireNotRun(3)
	a.onFrame("knowing", drainFrame(6, true))
	a.onFrame("unaware", startFrame(4))
	requireNotRun(4) // a late copy of an older version changes nothing
	a.pool.Finish(running.ID, slot.Outcome{}, a.clock.Now())
	require.Equal(t, slot.StatusOK, a.pool.TakeActions()[0].(slot.Completion).Outcome.Status, "the running task finishes")

	a.onFrame("knowing", drainFrame(8, true))
	require.False(t, sent["unaware"]()[0].GetHeartbeat().GetUpstream().GetLeaving())
	a.onFrame("unaware", startFrame(5))
	require.IsType(t, slot.Run{}, a.pool.TakeActions()[0])
}
