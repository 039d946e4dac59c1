package runner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// Guards against a run that outlives its entry: the entry was forgotten while its run was queued,
// and later leases did not depend on it.
func TestLeaseEndsForAnEntryWhoseLinkWasLostWhileItsRunWasQueued(t *testing.T) {
	a := newConfirmedAgent(nil)
	full := runs.Run{Ref: jobs.TaskRef{Job: "full"}, Number: 1, Entry: "lives", Size: jobs.Size{MilliCPU: 4000}}
	queued := runs.Run{Ref: jobs.TaskRef{Job: "j"}, Number: 1, Entry: "gone", Size: jobs.Size{MilliCPU: 1000}}
	a.supervisor.RecordContact("lives", 1000)
	a.supervisor.RecordContact("gone", 1000)
	a.supervisor.Launch([]runs.Run{full, queued}, 1000)
	a.supervisor.EntryDisconnected("gone", 1001)
	a.supervisor.GrantLease(1002, 1000)
	a.supervisor.HandleStartOutcome(full.Ref, full.Entry, 1, runs.StartNoCapacity, 1003)
	a.supervisor.RecordContact("lives", 1900)
	if a.supervisor.RunsAtWorker() > 0 {
		require.Less(t, a.supervisor.GrantLease(1900, 1000), clock.Millis(1000+1300))
	}
}

// Guards against leases that outlive their entry: the worker's clock starts anew with each epoch,
// and an answer of the earlier one was taken for the present clock.
func TestClockOfAnEarlierEpochIsNotUsed(t *testing.T) {
	a := newConfirmedAgent(nil)
	next := overlapWorker
	next.Epoch = 2
	earlier := runs.Run{Ref: jobs.TaskRef{Job: "j"}, Number: 1, Entry: "e", Epoch: 1}
	a.announce(Announcement{Worker: next, Sequence: 1, ClockMS: 10}, a.clock.Now())
	a.activeCalls++
	a.onPollResult(t.Context(), pollResult{result: runs.PollResult{ClockMS: 10, SentAt: a.clock.Now(), SentEpoch: 1, Epoch: 2}})
	require.Equal(t, next.Identity(), a.supervisor.Worker.Identity())
	offset := a.clockOffset
	require.InDelta(t, int64(10-a.clock.Now()), int64(offset), 100)
	a.activeCalls++
	a.onStartResult(startResult{run: earlier, outcome: runs.StartOK, clockMS: 500_000})
	require.InDelta(t, int64(offset), int64(a.clockOffset), 100, "an answered start")
	a.activeCalls++
	a.onPollResult(t.Context(), pollResult{result: runs.PollResult{ClockMS: 500_000, Epoch: 1, SentEpoch: 1}})
	require.InDelta(t, int64(offset), int64(a.clockOffset), 100, "an answered poll")
}

// startRecorder records the starts that are sent, with their leases.
type startRecorder struct {
	answeringWorker
	leases chan clock.Millis
}

func (w startRecorder) Start(_ context.Context, _ runs.Worker, _ runs.Run, leaseUntil clock.Millis) (runs.StartOutcome, clock.Millis) {
	w.leases <- leaseUntil
	return runs.StartOK, 1
}

// Guards against a start that comes late: the process was paused while it handled a launch, after
// it had looked for pauses, and then started the run, which its entry had given up.
func TestLaunchIsNotStartedAfterAPauseWhileItWasHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startRecorder{leases: make(chan clock.Millis, 10)}
		a := newConfirmedAgent(w)
		a.clockOffset = 0
		launch := &wire.Frame{Body: &wire.Frame_Launch{Launch: &wire.Launch{Number: 1, Job: "j", Tasks: []*wire.RunTask{{Run: 1}}}}}
		a.checkPause()
		received := a.clock.Now()
		a.handleGuarded(t.Context(), nil, func() {
			a.onFrame("e", &entryLink{}, launch)
			time.Sleep(3 * time.Second)
		})
		time.Sleep(clock.Second.Duration()) // the calls end
		for len(w.leases) > 0 {
			require.Less(t, <-w.leases, received+1300, "the lease of a start")
		}
	})
}

// runningWorker runs a task, answers polls, and carries out no stop. It records the end of the
// lease and the time of the first stop.
type runningWorker struct {
	clock *clock.Clock
	state chan runningState
}

type runningState struct {
	started               bool
	leaseUntil, stoppedAt clock.Millis
}

// runsUntil returns when the run has ended: at its first stop, or with its lease.
func (s runningState) runsUntil() clock.Millis {
	if s.stoppedAt > 0 {
		return min(s.stoppedAt, s.leaseUntil)
	}
	return s.leaseUntil
}

func newRunningWorker() runningWorker {
	w := runningWorker{clock: clock.New(), state: make(chan runningState, 1)}
	w.state <- runningState{}
	return w
}

// extend extends the lease of the run, if that has started.
func (w runningWorker) extend(until clock.Millis, start bool) {
	s := <-w.state
	s.started = s.started || start
	if s.started && (start || s.leaseUntil > w.clock.Now()) {
		s.leaseUntil = max(s.leaseUntil, until)
	}
	w.state <- s
}

func (w runningWorker) Start(_ context.Context, _ runs.Worker, _ runs.Run, until clock.Millis) (runs.StartOutcome, clock.Millis) {
	w.extend(until, true)
	return runs.StartOK, w.clock.Now()
}

func (w runningWorker) Stop(ctx context.Context, _ runs.Worker, _ jobs.TaskRef, _ int64) error {
	s := <-w.state
	if s.stoppedAt == 0 {
		s.stoppedAt = w.clock.Now()
	}
	w.state <- s
	<-ctx.Done()
	return ctx.Err()
}

func (w runningWorker) Poll(_ context.Context, target runs.Worker, until, wait clock.Millis) (runs.PollResult, error) {
	w.extend(until, false)
	time.Sleep(wait.Duration())
	result := runs.PollResult{ClockMS: w.clock.Now(), Epoch: target.Epoch}
	s := <-w.state
	w.state <- s
	if s.leaseUntil > w.clock.Now() {
		result.Running = []runs.RunID{{Ref: jobs.TaskRef{Job: "j"}, Number: 1}}
	}
	return result, nil
}

// Guards against a second run of a task on another worker: the caller of a live entry was gone and
// submitted again, and the lease of its run was renewed while the stops of the run went
// unanswered.
func TestLeaseOfARunThatIsToBeStoppedIsNotRenewedPastTheResubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newRunningWorker()
		a := newConfirmedAgent(w)
		a.clockOffset = 0
		run := runs.Run{Ref: jobs.TaskRef{Job: "j"}, Number: 1, Entry: "e"}
		stoppedAt := a.clock.Now()
		a.supervisor.Launch([]runs.Run{run}, stoppedAt)
		a.supervisor.TakeActions()
		w.extend(stoppedAt+runs.StartLeaseMS, true)
		a.supervisor.HandleStartOutcome(run.Ref, run.Entry, run.Number, runs.StartOK, stoppedAt)
		a.supervisor.StopTasks("e", "j", nil, stoppedAt)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		time.Sleep(3 * time.Second)
		cancel()
		<-done
		require.Less(t, (<-w.state).leaseUntil, stoppedAt+1300)
	})
}

// oneLeaseWorker accepts every run. Its one lease, which never shortens, holds for all of them.
type oneLeaseWorker struct {
	clock *clock.Clock
	until chan clock.Millis
}

func (w oneLeaseWorker) extend(until clock.Millis) {
	w.until <- max(<-w.until, until)
}

func (w oneLeaseWorker) Start(_ context.Context, _ runs.Worker, _ runs.Run, until clock.Millis) (runs.StartOutcome, clock.Millis) {
	w.extend(until)
	return runs.StartOK, w.clock.Now()
}

func (w oneLeaseWorker) Stop(context.Context, runs.Worker, jobs.TaskRef, int64) error { return nil }

func (w oneLeaseWorker) Poll(_ context.Context, target runs.Worker, until, wait clock.Millis) (runs.PollResult, error) {
	w.extend(until)
	time.Sleep(wait.Duration())
	return runs.PollResult{ClockMS: w.clock.Now(), Epoch: target.Epoch}, nil
}

// Guards against a second run of a task: its entry was killed, the launch was handled 400 ms later, and the
// agent was then frozen. The lease of the worker had been renewed for the runs of another entry.
func TestLateLaunchOfKilledEntryEndsBeforeCallersResubmitThoughOtherEntriesLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := oneLeaseWorker{clock: clock.New(), until: make(chan clock.Millis, 1)}
		w.until <- 0
		a := newConfirmedAgent(w)
		a.clockOffset = 0
		launch := func(entry, job string, contact clock.Millis) {
			a.handleGuarded(t.Context(), nil, func() {
				a.supervisor.RecordContact(entry, contact)
				a.supervisor.Launch([]runs.Run{{Ref: jobs.TaskRef{Job: jobs.ID(job)}, Number: 1, Entry: entry}}, a.clock.Now())
			})
			synctest.Wait()
		}
		launch("lives", "k", a.clock.Now())
		killed := a.clock.Now() - 400
		launch("killed", "j", killed)
		started := a.supervisor.RunsAtWorker() == 2
		time.Sleep(3 * time.Second) // the agent is frozen
		if started {
			require.Less(t, <-w.until, killed+1300, "the run of the killed entry goes on until then")
		}
	})
}
