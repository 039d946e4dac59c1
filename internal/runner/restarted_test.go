package runner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

var overlapWorker = runs.Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: jobs.Size{MilliCPU: 4000}}

// newConfirmedAgent returns an agent whose worker is confirmed and has no runs. It does not run.
func newConfirmedAgent(w Worker) *Agent {
	a := New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), w,
		fakeStore{}, fakeStore{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	now := a.clock.Now()
	a.supervisor.Announce(runs.Announcement{Worker: overlapWorker}, now)
	a.supervisor.HandlePoll(runs.PollResult{SentEpoch: 1, Epoch: 1}, now)
	a.supervisor.Tick(now + clock.Second) // the claim window is over
	a.clockOffset, a.clockOffsetKnown = 1000-now, true
	return a
}

// endsReported returns how many ends of runs the agent has reported.
func endsReported(a *Agent) uint64 {
	n := uint64(0)
	for _, outcome := range []jobs.Outcome{jobs.OutcomeDone, jobs.OutcomeFailed, jobs.OutcomeStopped, jobs.OutcomeLost,
		jobs.OutcomeNotRun, jobs.OutcomeRefused} {
		n += a.metrics.set.GetOrCreateCounter(fmt.Sprintf("turmericbarrow_runs_ended_total{end=%q}", outcome)).Get()
	}
	return n
}

// restartedWorker crashes just before the first start arrives and is back at once under its id, with
// a new epoch that has seen no fencing token. It accepts the start acceptDelay later.
type restartedWorker struct {
	acceptDelay, workTime time.Duration
	state                 chan restartedState
}

type restartedState struct {
	token                     int64
	running, ended, forgotten bool
	stops                     int
}

func (w restartedWorker) with(f func(s *restartedState)) {
	s := <-w.state
	f(&s)
	w.state <- s
}

func (w restartedWorker) Start(_ context.Context, target runs.Worker, _ runs.Run, _ clock.Millis) (outcome runs.StartOutcome, clockMS clock.Millis) {
	time.Sleep(w.acceptDelay)
	w.with(func(s *restartedState) {
		if target.Token < s.token || s.ended {
			outcome = runs.StartRefused
			return
		}
		s.token, s.running = target.Token, true
		time.AfterFunc(w.workTime, func() {
			w.with(func(s *restartedState) { s.ended, s.running = s.running, false })
		})
	})
	return outcome, 5
}

func (w restartedWorker) Stop(context.Context, runs.Worker, jobs.TaskRef, int64) error {
	w.with(func(s *restartedState) { s.stops++ })
	return nil
}

// Poll acknowledges an end that an earlier poll has listed, and waits for the next end.
func (w restartedWorker) Poll(_ context.Context, target runs.Worker, _, wait clock.Millis) (runs.PollResult, error) {
	time.Sleep(time.Millisecond)
	result := runs.PollResult{ClockMS: 5, Epoch: 2}
	w.with(func(s *restartedState) { s.token = max(s.token, target.Token) })
	for waited := clock.Millis(0); waited <= wait; waited++ {
		done := false
		w.with(func(s *restartedState) {
			switch {
			case s.ended && !s.forgotten:
				s.forgotten, done = true, true
				result.Ended = []runs.EndedRun{{Ref: jobs.TaskRef{Job: "j"}, Number: 1, Outcome: jobs.OutcomeDone}}
			case s.running && waited == wait:
				result.Running = []runs.RunID{{Ref: jobs.TaskRef{Job: "j"}, Number: 1}}
			}
		})
		if done {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return result, nil
}

// Guards against the record of issue 32: one of two runs at once was not stopped, ended done, and
// its end was acknowledged. A worker that is back under its id accepts a start, and its first
// announcement made the agent report the run as lost.
func TestRunThatARestartedWorkerAcceptsIsNotReportedBeforeItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := restartedWorker{acceptDelay: 5 * time.Millisecond, workTime: 60 * time.Millisecond, state: make(chan restartedState, 1)}
		w.state <- restartedState{}
		a := newConfirmedAgent(w)
		a.supervisor.Launch([]runs.Run{{Ref: jobs.TaskRef{Job: "j"}, Number: 1, Entry: "e"}}, a.clock.Now())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		time.Sleep(30 * time.Millisecond)
		next := overlapWorker
		next.Epoch = 2
		a.Announce(ctx, Announcement{Worker: next, Sequence: 1, ClockMS: 30, Handled: make(chan struct{})})
		overlapMS := 0
		for range 500 {
			time.Sleep(time.Millisecond)
			w.with(func(s *restartedState) {
				if s.running && endsReported(a) > 0 {
					overlapMS++
				}
			})
		}
		cancel()
		<-done
		s := <-w.state
		require.True(t, s.ended, "the worker has executed the run")
		require.Zero(t, overlapMS, "ms at work after the agent reported an end; stops: %d, end listed: %t", s.stops, s.forgotten)
	})
}
