package runner

import (
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/certs"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// Guards against a second run of a task on another worker: the entry of a run was gone, and the
// agent, between busy hosts, neither noticed it nor let the lease end before callers resubmit.
func TestRunBetweenBusyHostsEndsBeforeCallersOfItsEntryResubmit(t *testing.T) {
	authority, err := certs.NewAuthority(time.Hour)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	entry := link.New(link.Settings{Self: host.Host{Name: "e", Incarnation: "e1", Role: host.RoleEntry}, Listen: "127.0.0.1:0",
		TLS: tlsConfig(t, authority, "e", host.RoleEntry), IdleTimeout: 2600}, log)
	address, err := entry.Open()
	require.NoError(t, err)
	relay, relayAddress, err := fakes.NewStallingRelay(address, 250*time.Millisecond)
	require.NoError(t, err)
	w := newRunningWorker()
	a := New(Settings{Self: host.Host{Name: "a", Incarnation: "a1", Role: host.RoleAgent}, Seeds: []string{relayAddress},
		TLS: tlsConfig(t, authority, "a", host.RoleAgent), LeaseMS: 1000, ResendMS: 1300}, w.clock, w, fakeStore{}, fakeStore{}, log)
	a.supervisor.Announce(runs.Announcement{Worker: overlapWorker}, a.clock.Now())
	a.supervisor.HandlePoll(runs.PollResult{SentEpoch: 1, Epoch: 1}, a.clock.Now())
	a.clockOffsetKnown = true
	done := make(chan error, 3)
	go entry.Run(ctx, done)
	go relay.Run(ctx, done)
	go func() { done <- a.Run(ctx) }()

	pulses := time.NewTicker(200 * time.Millisecond)
	defer pulses.Stop()
	var l *link.Link
	for sent := 0; sent < 15; {
		select {
		case e := <-entry.Events():
			if e.Type == link.Received {
				e.Link.Observe(e.Frame)
				l.Send(&wire.Frame{Body: &wire.Frame_Pulse{Pulse: &wire.Pulse{}}})
			}
			if e.Type == link.Up {
				l = e.Link
				relay.Stall()
				l.Send(&wire.Frame{Body: &wire.Frame_Launch{Launch: &wire.Launch{Number: 1, Job: "j", Tasks: []*wire.RunTask{{Run: 1}}}}})
			}
		case <-pulses.C:
			if l != nil {
				l.Send(&wire.Frame{Body: &wire.Frame_Pulse{Pulse: &wire.Pulse{}}})
				sent++
			}
		}
	}
	gone := w.clock.Now()
	time.Sleep(260 * time.Millisecond) // what the entry has sent arrives
	relay.Block()
	for w.clock.Now() < gone+3000 {
		select {
		case <-entry.Events():
		case <-pulses.C:
		}
	}
	cancel()
	for range 3 {
		<-done
	}
	s := <-w.state
	require.Greater(t, s.leaseUntil, gone, "the run was at work when the entry was gone")
	require.Less(t, s.runsUntil()-gone, clock.Millis(1300), "the lease ended after %d ms; stopped: %t", s.leaseUntil-gone, s.stoppedAt > 0)
}

func tlsConfig(t *testing.T, authority certs.Authority, name string, role host.Role) *tls.Config {
	t.Helper()
	pair, err := authority.IssueCredentials(name, role, time.Hour)
	require.NoError(t, err)
	c, err := pair.TLSConfig()
	require.NoError(t, err)
	return c
}
