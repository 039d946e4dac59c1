package sched

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// fakeMembers is an empty membership list that records each Join.
type fakeMembers struct{ joins chan struct{} }

func (f fakeMembers) Join(context.Context, host.Host) error {
	f.joins <- struct{}{}
	return nil
}

func (f fakeMembers) Leave(context.Context, host.Host) error { return nil }

func (f fakeMembers) Entries(context.Context) ([]string, error) { return nil, nil }

// noTerms is a terms source without a configuration.
type noTerms struct{}

func (noTerms) Next(ctx context.Context, _ int64) (*contr.Terms, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// The host of a record that is not renewed is considered gone.
func TestEntryRenewsItsMembershipRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := fakeMembers{joins: make(chan struct{}, 1000)}
		self := host.Host{Name: "e", Incarnation: host.NewIncarnation(), Role: host.RoleEntry}
		e := New(Settings{Self: self}, clock.New(), noTerms{}, members, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- e.Run(ctx) }()
		time.Sleep(4 * membersIntervalMS.Duration())
		cancel()
		<-done
		require.GreaterOrEqual(t, len(members.joins), 4)
		require.LessOrEqual(t, len(members.joins), 6, "one write every 20 s, even while no other entry is linked")
	})
}

// Most reports omit the worker's description, since it has not changed.
func TestReportWithoutWorkerKeepsPreviousWorker(t *testing.T) {
	self := host.Host{Name: "e", Incarnation: host.NewIncarnation(), Role: host.RoleEntry}
	e := New(Settings{Self: self}, clock.New(), noTerms{}, fakeMembers{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	agent := host.Host{Name: "a", Incarnation: "i", Role: host.RoleAgent}
	free := &wire.Size{MilliCpu: 500}
	unknown := e.decodeReport(agent, &wire.Room{Free: free})
	require.True(t, unknown.Worker.Closed, "no worker was described yet")
	first := e.decodeReport(agent, &wire.Room{Free: free, Worker: &wire.RoomWorker{Id: "w", Fleet: "f",
		Labels: []string{"l"}, Capacity: &wire.Size{MilliCpu: 4000}}})
	e.scheduler.UpdateWorker(first, 0)
	second := e.decodeReport(agent, &wire.Room{Free: free, Speed: 2})
	require.Equal(t, first.Worker.Capacity, second.Worker.Capacity)
	require.Equal(t, "w", second.Worker.ID)
	require.Equal(t, []string{"l"}, second.Worker.Labels)
	require.False(t, second.Worker.Closed)
}
