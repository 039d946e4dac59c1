package runner

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

type fakeStore struct{}

func (fakeStore) Entries(context.Context) ([]roster.Record, error)         { return nil, nil }
func (fakeStore) SaveWorker(context.Context, string, *runs.Worker) error   { return nil }
func (fakeStore) LoadWorker(context.Context, string) (*runs.Worker, error) { return nil, nil }

// Guards against a second run of a task: an entry was killed and its agent paused within
// the next second, so the worker continued for the whole lease, while the caller had
// already resubmitted the job through another entry.
func TestLeaseOfUnresponsiveEntryEndsBeforeCallersResubmit(t *testing.T) {
	newSupervisor := func() *runs.Supervisor {
		a := New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), nil,
			fakeStore{}, fakeStore{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		a.supervisor.Announce(runs.Announcement{Worker: runs.Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: jobs.Size{MilliCPU: 4000}}}, 0)
		a.supervisor.HandlePoll(runs.PollResult{SentEpoch: 1, Epoch: 1}, 0)
		a.supervisor.RecordContact("gone", 1000)
		a.supervisor.RecordContact("lives", 1900)
		return a.supervisor
	}
	require.Equal(t, clock.Millis(2900), newSupervisor().GrantLease(1900, 1000), "the worker has no runs of the unresponsive entry")
	s := newSupervisor()
	s.Launch([]runs.Run{{Ref: jobs.TaskRef{Job: "j"}, Number: 1, Entry: "gone"}}, 1000)
	require.Equal(t, clock.Millis(2209), s.GrantLease(1900, 1000))
	require.Less(t, s.GrantLease(1900, 1000), clock.Millis(1000+1300))
	s.RecordContact("gone", 1850)
	require.Equal(t, clock.Millis(2900), s.GrantLease(1900, 1000))
}

// slowStore takes saveTime for each write.
type slowStore struct {
	fakeStore
	saveTime time.Duration
}

func (s slowStore) SaveWorker(context.Context, string, *runs.Worker) error {
	time.Sleep(s.saveTime)
	return nil
}

// answeringWorker answers every poll at once.
type answeringWorker struct{}

func (answeringWorker) Start(context.Context, runs.Worker, runs.Run, clock.Millis) (runs.StartOutcome, clock.Millis) {
	return runs.StartOK, 1
}

func (answeringWorker) Stop(context.Context, runs.Worker, jobs.TaskRef, int64) error { return nil }

func (answeringWorker) Poll(_ context.Context, w runs.Worker, _, wait clock.Millis) (runs.PollResult, error) {
	time.Sleep(wait.Duration())
	return runs.PollResult{ClockMS: 1, Epoch: w.Epoch}, nil
}

// If an agent acknowledged that its worker drains and was killed before that was recorded, the
// next process would use the worker again. A store that is away must not delay the
// acknowledgement for longer than the worker waits.
func TestDrainingIsAcknowledgedOnceRecorded(t *testing.T) {
	for saveTime, wanted := range map[time.Duration]time.Duration{
		100 * time.Millisecond: 100 * time.Millisecond,
		3 * time.Second:        maxSaveWaitMS.Duration(),
	} {
		synctest.Test(t, func(t *testing.T) {
			a := New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), answeringWorker{},
				fakeStore{}, slowStore{saveTime: saveTime}, slog.New(slog.NewTextHandler(io.Discard, nil)))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- a.Run(ctx) }()
			announce := func(draining bool, sequence int64) time.Duration {
				start, handled := time.Now(), make(chan struct{})
				a.Announce(ctx, Announcement{Worker: runs.Worker{ID: "w", Epoch: 1, Fleet: "f", Draining: draining,
					Capacity: jobs.Size{MilliCPU: 1}}, Sequence: sequence, ClockMS: 1, Handled: handled})
				<-handled
				return time.Since(start)
			}
			require.Less(t, announce(false, 1), 50*time.Millisecond)
			time.Sleep(10 * time.Second)
			waited := announce(true, 2)
			require.GreaterOrEqual(t, waited, wanted)
			require.Less(t, waited, wanted+2*idleInterval)
			cancel()
			<-done
		})
	}
}

// An agent process may end right after it has acknowledged the first announcement it received.
func TestFirstAnnouncementOfDrainingIsAcknowledgedOnceRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const saveTime = 100 * time.Millisecond
		a := New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), silentWorker{},
			fakeStore{}, slowStore{saveTime: saveTime}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		start, handled := time.Now(), make(chan struct{})
		a.Announce(ctx, Announcement{Worker: runs.Worker{ID: "w", Epoch: 1, Fleet: "f", Draining: true,
			Capacity: jobs.Size{MilliCPU: 1}}, Sequence: 1, ClockMS: 1, Handled: handled})
		<-handled
		require.GreaterOrEqual(t, time.Since(start), saveTime)
		cancel()
		<-done
	})
}

// orphanWorker runs a task that no entry holds, until it has received the third stop of it.
type orphanWorker struct {
	answeringWorker
	stops    chan time.Time
	renewals chan clock.Millis
}

const stopsOfOrphan = 3

func (w orphanWorker) Stop(context.Context, runs.Worker, jobs.TaskRef, int64) error {
	w.stops <- time.Now()
	return nil
}

func (w orphanWorker) Poll(_ context.Context, target runs.Worker, leaseUntil, wait clock.Millis) (runs.PollResult, error) {
	result := runs.PollResult{ClockMS: 1, Epoch: target.Epoch}
	if len(w.stops) < stopsOfOrphan {
		if leaseUntil > 0 {
			w.renewals <- leaseUntil
		}
		result.Running = []runs.RunID{{Ref: jobs.TaskRef{Job: "j"}, Number: 1}}
	}
	time.Sleep(wait.Duration())
	return result, nil
}

// Guards against a second run of a task on another worker (review/2): the lease of a run that no
// entry holds was renewed, and its stop was repeated only after the next answered poll. An agent
// knows its worker from the record or, while the store is away, from an announcement.
func TestRestartedAgentStopsOrphanAndDoesNotRenewItsLease(t *testing.T) {
	known := runs.Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: jobs.Size{MilliCPU: 1}}
	for name, store := range map[string]WorkerStore{
		"record": recordingStore{worker: known, deleted: make(chan struct{}, 1)}, "announcement": fakeStore{},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := orphanWorker{stops: make(chan time.Time, 100), renewals: make(chan clock.Millis, 100)}
				a := New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), w,
					fakeStore{}, store, slog.New(slog.NewTextHandler(io.Discard, nil)))
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- a.Run(ctx) }()
				time.Sleep(10 * time.Millisecond)
				a.Announce(ctx, Announcement{Worker: known, Sequence: 1, ClockMS: 1, Handled: make(chan struct{})})
				time.Sleep(time.Second)
				cancel()
				<-done
				require.Empty(t, w.renewals)
				require.Len(t, w.stops, stopsOfOrphan)
				first := <-w.stops
				require.LessOrEqual(t, (<-w.stops).Sub(first), 2*busyInterval+60*time.Millisecond)
			})
		})
	}
}

// unchangedWorker answers every poll after a millisecond or, if that is longer, the time that the
// poll waits for a run to end, always in epoch 1, and counts the polls.
type unchangedWorker struct {
	answeringWorker
	polls chan struct{}
}

func (w unchangedWorker) Poll(_ context.Context, _ runs.Worker, _, wait clock.Millis) (runs.PollResult, error) {
	w.polls <- struct{}{}
	time.Sleep(max(time.Millisecond, wait.Duration()))
	return runs.PollResult{ClockMS: 1, Epoch: 1}, nil
}

// Announcements may go on naming epochs that the worker's answers never confirm. The agent must not
// poll without a pause for as long as that lasts.
func TestPollsThatResolveNothingAreSpaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := unchangedWorker{polls: make(chan struct{}, 10_000)}
		a := New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), w,
			fakeStore{}, fakeStore{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		known := runs.Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: jobs.Size{MilliCPU: 1}}
		a.supervisor.Announce(runs.Announcement{Worker: known}, a.clock.Now())
		a.supervisor.HandlePoll(runs.PollResult{SentEpoch: 1, Epoch: 1}, a.clock.Now())
		a.supervisor.Launch([]runs.Run{{Ref: jobs.TaskRef{Job: "j"}, Number: 1, Entry: "e"}}, a.clock.Now())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		for other := known; other.Epoch <= 100; time.Sleep(10 * time.Millisecond) {
			other.Epoch++
			a.Announce(ctx, Announcement{Worker: other, Handled: make(chan struct{})})
		}
		cancel()
		<-done
		require.LessOrEqual(t, len(w.polls), 60)
		require.Greater(t, len(w.polls), 10)
	})
}

// recordingStore holds one worker's record and counts its deletions.
type recordingStore struct {
	fakeStore
	worker  runs.Worker
	deleted chan struct{}
}

func (s recordingStore) LoadWorker(context.Context, string) (*runs.Worker, error) {
	return &s.worker, nil
}

func (s recordingStore) SaveWorker(_ context.Context, _ string, w *runs.Worker) error {
	if w == nil {
		s.deleted <- struct{}{}
	}
	return nil
}

// silentWorker answers nothing.
type silentWorker struct{ answeringWorker }

func (silentWorker) Poll(ctx context.Context, _ runs.Worker, _, _ clock.Millis) (runs.PollResult, error) {
	<-ctx.Done()
	return runs.PollResult{}, ctx.Err()
}

// While the worker does not answer, a restarted agent must keep the record from which the
// next process would take over its runs.
func TestRecordOfUnconfirmedWorkerIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := recordingStore{worker: runs.Worker{ID: "w", Epoch: 1, Fleet: "f"}, deleted: make(chan struct{}, 100)}
		a := New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), silentWorker{},
			fakeStore{}, store, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		time.Sleep(5 * time.Second)
		require.Empty(t, store.deleted)
		cancel()
		<-done
	})
}

// The clocks of two entries differ by seconds. The runs of the one that is behind must not go
// first for that.
func TestOrderOfRunsDoesNotDependOnClocksOfEntries(t *testing.T) {
	ahead := &wire.Launch{Rank: 9_000_050, SlackMs: proto.Int64(50), Tasks: []*wire.RunTask{{}}}
	behind := &wire.Launch{Rank: 100, SlackMs: proto.Int64(100), Tasks: []*wire.RunTask{{}}}
	require.Less(t, decodeLaunch("a", ahead, 1000)[0].LatestStart, decodeLaunch("b", behind, 1000)[0].LatestStart)
	require.Equal(t, int64(7), decodeLaunch("c", &wire.Launch{Rank: 7, Tasks: []*wire.RunTask{{}}}, 1000)[0].LatestStart,
		"an entry of an earlier version")
}
