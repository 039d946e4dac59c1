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
)

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
