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
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

type noStore struct{}

func (noStore) Entries(context.Context) ([]string, error)                { return nil, nil }
func (noStore) SaveWorker(context.Context, string, *runs.Worker) error   { return nil }
func (noStore) LoadWorker(context.Context, string) (*runs.Worker, error) { return nil, nil }

// An entry was killed, and its agent stood still within the next second: the worker
// went on for the whole lease, while the caller had submitted the job elsewhere.
func TestLeaseOfASilentEntrysRunsEndsBeforeItsCallersReturn(t *testing.T) {
	a := New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), nil,
		noStore{}, noStore{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	a.supervisor.Announce(runs.Worker{ID: "w", Epoch: 1, Fleet: "f", Capacity: jobs.Size{MilliCPU: 4000}}, 0)
	a.heard["gone"], a.heard["lives"] = 1000, 1900
	require.Equal(t, clock.Millis(2900), a.leaseUntil(1900, 1000), "nothing of the silent one runs here")
	a.heard["gone"] = 1000
	a.supervisor.Launch([]runs.Run{{Ref: jobs.TaskRef{Job: "j"}, Number: 1, Entry: "gone"}}, 1000)
	require.Equal(t, clock.Millis(2209), a.leaseUntil(1900, 1000))
	require.Less(t, a.leaseUntil(1900, 1000), clock.Millis(1000+1300))
	a.heard["gone"] = 1850
	require.Equal(t, clock.Millis(2900), a.leaseUntil(1900, 1000))
}
