package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// showNewLife passes an answer of the worker's next life to the agent.
func showNewLife(a *Agent) {
	now := a.clock.Now()
	a.onPollAnswer(runs.PollResult{ClockMS: 1, SentAt: now, SentEpoch: 1, Epoch: 2}, now)
}

// announceNext passes an announcement of the worker's next life to the agent.
func announceNext(a *Agent) {
	next := overlapWorker
	next.Epoch, next.Labels = 2, []string{"b"}
	a.onAnnouncement(context.Background(), Announcement{Worker: next, ClockMS: 1, Handled: make(chan struct{})})
}

// Guards against a record that joins a new life with the description of the one before: the next agent
// process would confirm it and start tasks by it.
func TestLifeIsRecordedOnceItHasDescribedItself(t *testing.T) {
	for name, saved := range map[string]*runs.Worker{"recorded before": &overlapWorker, "not recorded": nil} {
		t.Run(name, func(t *testing.T) {
			a := newConfirmedAgent(answeringWorker{})
			a.recordWriter.saved, a.recordWriter.savedKnown = saved, true
			showNewLife(a)
			require.False(t, a.recordWriter.unsaved(a.workerToRecord()), "nothing is written")
			announceNext(a)
			require.True(t, a.recordWriter.unsaved(a.workerToRecord()))
			require.Equal(t, int64(2), a.workerToRecord().Epoch)
			require.Equal(t, []string{"b"}, a.workerToRecord().Labels)
		})
	}
}

// Guards against entries that keep the description of an earlier life, because the report of the next
// one leaves it out as unchanged.
func TestNewLifeIsReportedWithoutADescriptionAndThenWithItsOwn(t *testing.T) {
	a := newConfirmedAgent(answeringWorker{})
	l, sent := link.NewUnconnected(host.Host{Name: "e", Incarnation: "e"})
	a.links["e"] = &entryLink{link: l}
	report := func() *wire.Room {
		a.performActions(t.Context())
		frames := sent()
		require.NotEmpty(t, frames)
		return frames[len(frames)-1].GetRoom()
	}
	a.reportCapacity()
	first := report()
	require.Equal(t, "f", first.GetWorker().GetFleet())
	showNewLife(a)
	unknown := report()
	require.True(t, unknown.GetClosed())
	require.Equal(t, "w", unknown.GetWorker().GetId())
	require.Empty(t, unknown.GetWorker().GetFleet())
	require.Zero(t, unknown.GetWorker().GetCapacity().GetMilliCpu())
	announceNext(a)
	described := report()
	require.False(t, described.GetClosed())
	require.Equal(t, []string{"b"}, described.GetWorker().GetLabels())
	require.Greater(t, described.GetWorker().GetRevision(), unknown.GetWorker().GetRevision())
	require.Greater(t, unknown.GetWorker().GetRevision(), first.GetWorker().GetRevision())
}

// Guards against a launch whose revision is lost on the way: it would count as placed by whatever
// description is in force when it arrives.
func TestLaunchNamesItsRevision(t *testing.T) {
	launched := decodeLaunch("e", &wire.Launch{Job: "j", Revision: 7, Claim: true, Tasks: []*wire.RunTask{{Run: 3}}}, 0)
	require.Equal(t, uint64(7), launched[0].Revision)
	require.True(t, launched[0].Claim)
}

// failingWorker fails its first poll, and records how long each poll may wait.
type failingWorker struct {
	answeringWorker
	waits chan clock.Millis
}

func (w failingWorker) Poll(ctx context.Context, target runs.Worker, until, wait clock.Millis) (runs.PollResult, error) {
	w.waits <- wait
	if len(w.waits) == 1 {
		return runs.PollResult{}, errors.New("connection refused")
	}
	return w.answeringWorker.Poll(ctx, target, until, wait)
}

// Guards against a worker that has started anew and holds back the answer that shows it, since the poll
// allows it to wait for the end of a run.
func TestPollAfterAFailedOneDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := failingWorker{waits: make(chan clock.Millis, 100)}
		a := newConfirmedAgent(w)
		for range 2 {
			a.poll(t.Context())
			a.onPollResult(t.Context(), <-a.pollResults)
			time.Sleep(idleInterval)
		}
		require.Equal(t, idlePollWaitMS, <-w.waits)
		require.Zero(t, <-w.waits)
	})
}

// Guards against a start that another worker has refused and that is taken for one that the worker
// refuses for good. A poll tells at once who is at the address.
func TestMisdirectedStartCausesAPoll(t *testing.T) {
	a := newConfirmedAgent(answeringWorker{})
	a.nextPollAt = a.clock.Now() + clock.Second
	a.activeCalls++
	a.onStartResult(startResult{run: runs.Run{}, outcome: runs.StartMisdirected})
	require.LessOrEqual(t, a.nextPollAt, a.clock.Now())
}
