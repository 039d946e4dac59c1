package sched

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// callMessage runs a function in the entry's goroutine.
type callMessage struct {
	call func(*Entry)
	done chan struct{}
}

func (m callMessage) apply(e *Entry) {
	m.call(e)
	close(m.done)
}

// do runs a function in the entry's goroutine and waits for it.
func do(e *Entry, call func(*Entry)) {
	m := callMessage{call: call, done: make(chan struct{})}
	e.inbox <- m
	<-m.done
}

// linkFakeAgent links an agent that holds the given runs, and returns the frames that the entry
// sends to it.
func linkFakeAgent(e *Entry, held ...*wire.HeldTask) func() []*wire.Frame {
	l, sent := link.NewUnconnected(host.Host{Name: "a", Incarnation: "a", Role: host.RoleAgent})
	e.onFrame(l, &wire.Frame{Body: &wire.Frame_Inventory{Inventory: &wire.Inventory{Held: held}}})
	e.onFrame(l, &wire.Frame{Body: &wire.Frame_Room{Room: &wire.Room{Speed: 1, Free: &wire.Size{MilliCpu: 100},
		Worker: &wire.RoomWorker{Id: "w", Fleet: "f", Capacity: &wire.Size{MilliCpu: 100}}}}})
	return sent
}

func launches(frames []*wire.Frame) []*wire.Launch {
	var out []*wire.Launch
	for _, f := range frames {
		if l := f.GetLaunch(); l != nil {
			out = append(out, l)
		}
	}
	return out
}

func halts(frames []*wire.Frame) []*wire.Halt {
	var out []*wire.Halt
	for _, f := range frames {
		if h := f.GetHalt(); h != nil {
			out = append(out, h)
		}
	}
	return out
}

// submitInBackground submits a job whose caller waits for timeout, and never leaves.
func submitInBackground(ctx context.Context, e *Entry, timeout clock.Millis) <-chan Reply {
	replies := make(chan Reply, 1)
	request := newTestRequest("1")
	request.TimeoutMS = timeout
	go func() {
		r, _ := e.Submit(ctx, request)
		replies <- r
	}()
	return replies
}

// Guards against a second run of a task: a submission that lay in the inbox while the process was
// paused must not be placed once its agents link again, since its caller has submitted the job
// elsewhere.
func TestSubmissionOfBeforeAPauseIsNotPlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		ctx, cancel := context.WithCancel(t.Context())
		replies := submitInBackground(ctx, e, 1500)
		synctest.Wait()
		time.Sleep(3 * time.Second) // the process is paused: its loop does not run
		done := make(chan error, 1)
		go func() { done <- e.loop(ctx) }()
		var sent func() []*wire.Frame
		do(e, func(e *Entry) { sent = linkFakeAgent(e) })
		time.Sleep(100 * time.Millisecond)
		cancel()
		<-done
		<-replies
		require.Empty(t, launches(sent()), "placed 3 s after it was submitted by a caller that waited for 1.5 s")
	})
}

// Guards against a second run of a task: a submission whose caller left while it lay in the inbox
// must not be placed for the moment until the entry handles the next message.
func TestSubmissionWhoseCallerLeftBeforeItWasHandledIsNotPlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		sent := linkFakeAgent(e)
		ctx, cancel := context.WithCancel(t.Context())
		callerCtx, leave := context.WithCancel(ctx)
		replies := submitInBackground(callerCtx, e, 1500)
		synctest.Wait()
		leave()
		synctest.Wait()
		done := make(chan error, 1)
		go func() { done <- e.loop(ctx) }()
		time.Sleep(100 * time.Millisecond)
		cancel()
		<-done
		<-replies
		require.Empty(t, launches(sent()))
	})
}

// startedEntry runs an entry with one job whose task is with an agent.
func startedEntry(t *testing.T) (e *Entry, sent func() []*wire.Frame, replies <-chan Reply, ended func()) {
	e = newTestEntry(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- e.loop(ctx) }()
	do(e, func(e *Entry) { sent = linkFakeAgent(e) })
	replies = submitInBackground(ctx, e, 1500)
	synctest.Wait()
	require.Len(t, launches(sent()), 1)
	return e, sent, replies, func() {
		cancel()
		<-done
	}
}

// Guards against a second run of a task: a caller that is told that its job was not run may never
// submit it again, and one that is told nothing certain does so while runs may be at work.
func TestDrainDeadlineStopsRunsAndSaysThatTheirOutcomeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, sent, replies, ended := startedEntry(t)
		e.settings.ShutdownDelayMS, e.settings.DrainMS = 100, 300
		do(e, func(e *Entry) { e.startDrain(t.Context()) })
		r := <-replies
		require.Equal(t, place.VerdictUnknown, r.Verdict)
		require.Len(t, halts(sent()), 1, "the stop is sent before the answer")
		ended()
	})
}

// Guards against a second run of a task: after a panic the runs of abandoned jobs would go on.
func TestRunsOfJobsAbandonedAfterAPanicAreStoppedWhenTheirAgentLinksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _, replies, ended := startedEntry(t)
		e.inbox <- panicMessage{}
		require.Equal(t, place.VerdictUnknown, (<-replies).Verdict)
		var sent func() []*wire.Frame
		do(e, func(e *Entry) { sent = linkFakeAgent(e, &wire.HeldTask{Job: "1", Run: 1}) })
		synctest.Wait()
		require.Len(t, halts(sent()), 1)
		ended()
	})
}

// Guards against a second run of a task: the same after a pause of the process.
func TestRunsOfJobsAbandonedAfterAPauseAreStoppedWhenTheirAgentLinksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, _, replies, ended := startedEntry(t)
		do(e, func(e *Entry) { e.pause = clock.NewPauseDetector(0, 2) }) // a wait of over 2 ms counts as a pause
		require.Equal(t, place.VerdictUnknown, (<-replies).Verdict)
		do(e, func(e *Entry) { e.pause = clock.NewPauseDetector(pauseLimitMS, clock.Second) })
		var sent func() []*wire.Frame
		do(e, func(e *Entry) { sent = linkFakeAgent(e, &wire.HeldTask{Job: "1", Run: 1}) })
		synctest.Wait()
		require.Len(t, halts(sent()), 1)
		ended()
	})
}

// Guards against a second run of a task: a report of an agent that another process has replaced
// must not bring its worker back.
func TestReportOfAReplacedAgentChangesNothing(t *testing.T) {
	e := newTestEntry(t)
	old, _ := link.NewUnconnected(host.Host{Name: "h", Incarnation: "old", Role: host.RoleAgent})
	room := &wire.Frame{Body: &wire.Frame_Room{Room: &wire.Room{Speed: 1, Free: &wire.Size{MilliCpu: 100},
		Worker: &wire.RoomWorker{Id: "w", Fleet: "f", Capacity: &wire.Size{MilliCpu: 100}}}}}
	inventory := &wire.Frame{Body: &wire.Frame_Inventory{Inventory: &wire.Inventory{}}}
	e.onFrame(old, inventory)
	e.onFrame(old, room)
	replacement, _ := link.NewUnconnected(host.Host{Name: "h", Incarnation: "new", Role: host.RoleAgent})
	e.onFrame(replacement, inventory)
	require.NotZero(t, e.scheduler.Workers["old"].DisconnectedAt)
	e.onFrame(old, room)
	require.NotZero(t, e.scheduler.Workers["old"].DisconnectedAt, "the process of this link is gone")
}

// Guards against a second run of a task: a task that a stopped entry sent must not be placed by
// a submission that arrives while the entry ends.
func TestSubmissionWhileTheEntryEndsIsNotPlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		sent := linkFakeAgent(e)
		replies := submitInBackground(t.Context(), e, 1500)
		synctest.Wait()
		done := make(chan error, entryGoroutines)
		go e.awaitGoroutines(done)
		require.Equal(t, place.VerdictRefused, (<-replies).Verdict)
		for range entryGoroutines {
			done <- nil
		}
		synctest.Wait()
		require.Empty(t, launches(sent()))
		require.Equal(t, jobs.State(""), func() jobs.State { s, _ := e.scheduler.JobState("1"); return s }())
	})
}
