package slot_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
)

// A fixed seed makes rapid generate the same cases on every run.
func init() { flag.Set("rapid.seed", "1") }

func newPool(slots int) *slot.Pool {
	p := slot.New(slot.Settings{Cache: slot.CacheLimits{MaxAge: 1000, MaxTasks: 100, MaxBytes: 1000}}, fair.New())
	p.Announce(slot.Upstream{Name: "minion-1", Slots: slots, Connections: 60, Kinds: []string{"check"}, HoldMS: 500}, 0)
	p.AddEntry("e1")
	p.AddEntry("e2")
	return p
}

func task(entry string, messageID uint64) slot.Task {
	return slot.Task{Entry: entry, MessageID: messageID, Customer: "c", Kind: "check", Key: fmt.Sprintf("%s-%d", entry, messageID), Deadline: 10_000, CostMS: 10}
}

// splitActions groups actions by type.
func splitActions(actions []slot.Action) (runs []slot.Run, completions []slot.Completion, aborts []slot.Abort) {
	for _, a := range actions {
		switch act := a.(type) {
		case slot.Run:
			runs = append(runs, act)
		case slot.Completion:
			completions = append(completions, act)
		case slot.Abort:
			aborts = append(aborts, act)
		}
	}
	return runs, completions, aborts
}

func TestLeavingReturnsQueuedTasksAndFinishesRunningOnes(t *testing.T) {
	for name, stop := range map[string]func(*slot.Pool){
		"announced":      func(p *slot.Pool) { p.Leave("leaving", 10) },
		"heartbeat lost": func(p *slot.Pool) { p.Tick(600) },
		"drain":          func(p *slot.Pool) { p.Drain(10) },
	} {
		p := newPool(1)
		p.Enqueue(task("e1", 1), 0)
		p.Enqueue(task("e1", 2), 0)
		runs, _, _ := splitActions(p.TakeActions())
		require.Len(t, runs, 1, name)
		stop(p)
		_, completions, aborts := splitActions(p.TakeActions())
		require.Len(t, completions, 1, name)
		require.Equal(t, slot.StatusNotRun, completions[0].Outcome.Status, name)
		require.Empty(t, aborts, name)
		p.Enqueue(task("e1", 3), 700)
		_, completions, _ = splitActions(p.TakeActions())
		require.Equal(t, slot.StatusNotRun, completions[0].Outcome.Status, name)
		p.Finish(runs[0].ID, slot.Outcome{}, 800)
		_, completions, _ = splitActions(p.TakeActions())
		require.Equal(t, slot.StatusOK, completions[0].Outcome.Status, name)
		require.True(t, p.Idle(), name)
	}
}

func TestCancelAbortsOnlyIdempotentRunningTasks(t *testing.T) {
	p := newPool(2)
	nonIdempotent, idempotent := task("e1", 1), task("e1", 2)
	idempotent.Idempotent = true
	p.Enqueue(nonIdempotent, 0)
	p.Enqueue(idempotent, 0)
	p.TakeActions()
	p.Cancel("e1", 1, 1)
	p.Cancel("e1", 2, 1)
	_, _, aborts := splitActions(p.TakeActions())
	require.Len(t, aborts, 1)
}

func TestResultIsCachedAfterItsEntryDisconnects(t *testing.T) {
	p := newPool(1)
	p.Enqueue(task("e1", 1), 0)
	p.Enqueue(task("e1", 2), 0)
	runs, _, _ := splitActions(p.TakeActions())
	p.RemoveEntry("e1")
	p.Finish(runs[0].ID, slot.Outcome{Result: reply.Result{Body: []byte("whole")}}, 5)
	runs, completions, _ := splitActions(p.TakeActions())
	require.Empty(t, completions)
	require.Empty(t, runs, "queued tasks of a removed entry do not start")
	found := p.Find("c", "e1-1")
	require.Len(t, found, 1)
	require.Equal(t, []byte("whole"), found[0].Result.Body)
	require.Empty(t, p.Find("c", "e1-2"))
	p.Tick(5000)
	require.Empty(t, p.Find("c", "e1-1"))
}

func TestCompletionReportsUsageThroughOtherEntries(t *testing.T) {
	p := newPool(2)
	p.Enqueue(task("e1", 1), 0)
	p.Enqueue(task("e2", 1), 0)
	runs, _, _ := splitActions(p.TakeActions())
	p.Finish(runs[0].ID, slot.Outcome{}, 30)
	_, completions, _ := splitActions(p.TakeActions())
	require.Equal(t, slot.Usage{Starts: 1, Running: 1}, completions[0].RemoteUsage)
	p.Finish(runs[1].ID, slot.Outcome{}, 50)
	_, completions, _ = splitActions(p.TakeActions())
	require.Equal(t, slot.Usage{SlotMS: 30, Starts: 1}, completions[0].RemoteUsage)
}

func TestSlotsStayBusyAndWindowsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		p := newPool(slots)
		running := map[uint64]bool{}
		completed := map[uint64]int{}
		lastMessage := uint64(0)
		now := clock.Millis(0)
		processActions := func() {
			runs, completions, _ := splitActions(p.TakeActions())
			for _, r := range runs {
				running[r.ID] = true
			}
			for _, c := range completions {
				completed[c.MessageID]++
				require.Equal(t, 1, completed[c.MessageID])
				require.GreaterOrEqual(t, c.Load.Window, 1)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				lastMessage++
				p.Enqueue(task(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry"), lastMessage), now)
				processActions()
			},
			"backlog": func(t *rapid.T) {
				p.SetBacklog(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry"), rapid.IntRange(0, 100).Draw(t, "waiting"), rapid.Float64Range(0, 9).Draw(t, "weight"))
			},
			"finish": func(t *rapid.T) {
				now += 5
				for id := range running {
					delete(running, id)
					p.Finish(id, slot.Outcome{}, now)
					break
				}
				processActions()
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, p.Running(), slots)
				require.False(t, p.Queued() > 0 && p.Running() < slots, "a slot is free while a task is queued")
				w1, w2 := p.LoadFor("e1").Window, p.LoadFor("e2").Window
				require.LessOrEqual(t, w1, slots+max(1, slots/4))
				require.GreaterOrEqual(t, min(w1, w2), 1)
			},
		})
	})
}
