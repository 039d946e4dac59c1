package runner

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

type fakeStore struct{}

func (fakeStore) Entries(context.Context) ([]roster.Record, error)         { return nil, nil }
func (fakeStore) SaveWorker(context.Context, string, *runs.Worker) error   { return nil }
func (fakeStore) LoadWorker(context.Context, string) (*runs.Worker, error) { return nil, nil }

// Guards against a second run of a task: an entry was killed and its agent paused within
// the next second, so the worker continued for the whole lease, while the caller had
// already resubmitted the job through another entry.
func TestLeaseOfUnresponsiveEntryEndsBeforeCallersResubmit(t *testing.T) {
	a := New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), nil,
		fakeStore{}, fakeStore{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	a.supervisor.Announce(runs.Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: jobs.Size{MilliCPU: 4000}}, 0)
	a.lastReceived["gone"], a.lastReceived["lives"] = 1000, 1900
	require.Equal(t, clock.Millis(2900), a.computeLeaseEnd(1900, 1000), "the worker has no runs of the unresponsive entry")
	a.lastReceived["gone"] = 1000
	a.supervisor.Launch([]runs.Run{{Ref: jobs.TaskRef{Job: "j"}, Number: 1, Entry: "gone"}}, 1000)
	require.Equal(t, clock.Millis(2209), a.computeLeaseEnd(1900, 1000))
	require.Less(t, a.computeLeaseEnd(1900, 1000), clock.Millis(1000+1300))
	a.lastReceived["gone"] = 1850
	require.Equal(t, clock.Millis(2900), a.computeLeaseEnd(1900, 1000))
}
