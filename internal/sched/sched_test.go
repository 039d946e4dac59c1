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

// list counts the renewals of the entry's record.
type list struct{ joins chan struct{} }

func (l list) Join(context.Context, host.Host) error {
	l.joins <- struct{}{}
	return nil
}

func (l list) Leave(context.Context, host.Host) error { return nil }

func (l list) Entries(context.Context) ([]string, error) { return nil, nil }

// noTerms never has a configuration.
type noTerms struct{}

func (noTerms) Next(ctx context.Context, _ int64) (*contr.Terms, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A record that is not renewed is taken for that of a host that is gone.
func TestEntryRenewsItsRecordOnTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := list{joins: make(chan struct{}, 1000)}
		self := host.Host{Name: "e", Incarnation: host.NewIncarnation(), Role: host.RoleEntry}
		e := New(Settings{Self: self}, clock.New(), noTerms{}, l, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- e.Run(ctx) }()
		time.Sleep(4 * membersEveryMS.Duration())
		cancel()
		<-done
		require.GreaterOrEqual(t, len(l.joins), 4)
		require.LessOrEqual(t, len(l.joins), 6, "one write in 20 s, also while no peer is linked")
	})
}

// Most reports leave the worker out, since it is the same.
func TestReportWithoutAWorkerIsAboutTheSameOne(t *testing.T) {
	self := host.Host{Name: "e", Incarnation: host.NewIncarnation(), Role: host.RoleEntry}
	e := New(Settings{Self: self}, clock.New(), noTerms{}, list{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	agent := host.Host{Name: "a", Incarnation: "i", Role: host.RoleAgent}
	free := &wire.Size{MilliCpu: 500}
	unknown := e.reportOf(agent, &wire.Room{Free: free})
	require.True(t, unknown.Worker.Closed, "no worker was told of")
	first := e.reportOf(agent, &wire.Room{Free: free, Worker: &wire.RoomWorker{Id: "w", Fleet: "f",
		Labels: []string{"l"}, Capacity: &wire.Size{MilliCpu: 4000}}})
	e.core.UpdateWorker(first, 0)
	second := e.reportOf(agent, &wire.Room{Free: free, Speed: 2})
	require.Equal(t, first.Worker.Capacity, second.Worker.Capacity)
	require.Equal(t, "w", second.Worker.ID)
	require.Equal(t, []string{"l"}, second.Worker.Labels)
	require.False(t, second.Worker.Closed)
}
