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

// The same cases on every run.
func init() { flag.Set("rapid.seed", "1") }

func newTable(slots int) *slot.Table {
	t := slot.New(slot.Settings{Cache: slot.CacheLimits{MaxAge: 1000, MaxTasks: 100, MaxBytes: 1000}}, fair.New())
	t.Announce(slot.Upstream{Name: "minion-1", Slots: slots, Connections: 60, Kinds: []string{"check"}, HoldMS: 500}, 0)
	t.AddEntry("e1")
	t.AddEntry("e2")
	return t
}

func task(entry string, ask uint64) slot.Task {
	return slot.Task{Entry: entry, DispatchID: ask, Customer: "c", Kind: "check", Key: fmt.Sprintf("%s-%d", entry, ask), Deadline: 10_000, CostMS: 10}
}

// sorted splits actions by type.
func sorted(actions []slot.Action) (runs []slot.Run, answers []slot.Completion, aborts []slot.Abort) {
	for _, a := range actions {
		switch act := a.(type) {
		case slot.Run:
			runs = append(runs, act)
		case slot.Completion:
			answers = append(answers, act)
		case slot.Abort:
			aborts = append(aborts, act)
		}
	}
	return runs, answers, aborts
}

func TestLeavingReturnsWhatWaitsAndFinishesWhatRuns(t *testing.T) {
	for name, leave := range map[string]func(*slot.Table){
		"announced":      func(s *slot.Table) { s.Leave("leaving", 10) },
		"heartbeat lost": func(s *slot.Table) { s.Tick(600) },
		"drain":          func(s *slot.Table) { s.Drain(10) },
	} {
		s := newTable(1)
		s.Enqueue(task("e1", 1), 0)
		s.Enqueue(task("e1", 2), 0)
		runs, _, _ := sorted(s.TakeActions())
		require.Len(t, runs, 1, name)
		leave(s)
		_, answers, aborts := sorted(s.TakeActions())
		require.Len(t, answers, 1, name)
		require.Equal(t, slot.StatusNotRun, answers[0].Outcome.Status, name)
		require.Empty(t, aborts, name)
		s.Enqueue(task("e1", 3), 700)
		_, answers, _ = sorted(s.TakeActions())
		require.Equal(t, slot.StatusNotRun, answers[0].Outcome.Status, name)
		s.Finished(runs[0].ID, slot.Outcome{}, 800)
		_, answers, _ = sorted(s.TakeActions())
		require.Equal(t, slot.StatusOK, answers[0].Outcome.Status, name)
		require.True(t, s.Idle(), name)
	}
}

func TestOnlyIdempotentWorkIsBrokenOff(t *testing.T) {
	s := newTable(2)
	plain, idempotent := task("e1", 1), task("e1", 2)
	idempotent.Idempotent = true
	s.Enqueue(plain, 0)
	s.Enqueue(idempotent, 0)
	s.TakeActions()
	s.Cancel("e1", 1, 1)
	s.Cancel("e1", 2, 1)
	_, _, aborts := sorted(s.TakeActions())
	require.Len(t, aborts, 1)
}

func TestAnswerIsKeptWhenItsEntryIsGone(t *testing.T) {
	s := newTable(1)
	s.Enqueue(task("e1", 1), 0)
	s.Enqueue(task("e1", 2), 0)
	runs, _, _ := sorted(s.TakeActions())
	s.RemoveEntry("e1")
	s.Finished(runs[0].ID, slot.Outcome{Result: reply.Result{Body: []byte("whole")}}, 5)
	runs, answers, _ := sorted(s.TakeActions())
	require.Empty(t, answers)
	require.Empty(t, runs, "what a gone entry had waiting does not start")
	found := s.Find("c", "e1-1")
	require.Len(t, found, 1)
	require.Equal(t, []byte("whole"), found[0].Result.Body)
	require.Empty(t, s.Find("c", "e1-2"))
	s.Tick(5000)
	require.Empty(t, s.Find("c", "e1-1"))
}

func TestOthersUseIsToldWithAnswers(t *testing.T) {
	s := newTable(2)
	s.Enqueue(task("e1", 1), 0)
	s.Enqueue(task("e2", 1), 0)
	runs, _, _ := sorted(s.TakeActions())
	s.Finished(runs[0].ID, slot.Outcome{}, 30)
	_, answers, _ := sorted(s.TakeActions())
	require.Equal(t, slot.Usage{Starts: 1, Running: 1}, answers[0].OthersUsage)
	s.Finished(runs[1].ID, slot.Outcome{}, 50)
	_, answers, _ = sorted(s.TakeActions())
	require.Equal(t, slot.Usage{SlotMS: 30, Starts: 1}, answers[0].OthersUsage)
}

func TestSlotsAndWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 16).Draw(t, "slots")
		s := newTable(slots)
		running := map[uint64]bool{}
		answered := map[uint64]int{}
		asks := uint64(0)
		now := clock.Millis(0)
		take := func() {
			runs, answers, _ := sorted(s.TakeActions())
			for _, r := range runs {
				running[r.ID] = true
			}
			for _, a := range answers {
				answered[a.DispatchID]++
				require.Equal(t, 1, answered[a.DispatchID])
				require.GreaterOrEqual(t, a.Load.Window, 1)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				asks++
				s.Enqueue(task(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry"), asks), now)
				take()
			},
			"backlog": func(t *rapid.T) {
				s.SetBacklog(rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "entry"), rapid.IntRange(0, 100).Draw(t, "waiting"), rapid.Float64Range(0, 9).Draw(t, "weight"))
			},
			"finish": func(t *rapid.T) {
				now += 5
				for id := range running {
					delete(running, id)
					s.Finished(id, slot.Outcome{}, now)
					break
				}
				take()
			},
			"": func(t *rapid.T) {
				require.LessOrEqual(t, s.Running(), slots)
				require.False(t, s.Queued() > 0 && s.Running() < slots, "a slot is free while a task waits")
				w1, w2 := s.LoadFor("e1").Window, s.LoadFor("e2").Window
				require.LessOrEqual(t, w1, slots+max(1, slots/4))
				require.GreaterOrEqual(t, min(w1, w2), 1)
			},
		})
	})
}
