package agent_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/turmericbarrow/turmericbarrow/internal/agent"
	"github.com/turmericbarrow/turmericbarrow/internal/certs"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

const loopback = "127.0.0.1:0"

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// drainTest runs an agent with its upstream, and two nodes that stand in for entries.
type drainTest struct {
	t         *testing.T
	authority certs.Authority
	// timeout ends the wait for frames, of which heartbeats never cease.
	timeout <-chan time.Time
}

func (d *drainTest) run(f func(context.Context, chan<- error)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go f(ctx, done)
	d.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// startEntry starts a node that stands in for an entry.
func (d *drainTest) startEntry(name string) (*link.Node, string) {
	credentials, err := d.authority.IssueCredentials(name, host.RoleEntry, time.Hour)
	require.NoError(d.t, err)
	tls, err := credentials.TLSConfig()
	require.NoError(d.t, err)
	self := host.Host{Name: name, Incarnation: host.NewIncarnation(), Role: host.RoleEntry}
	n := link.New(link.Settings{Self: self, Listen: loopback, TLS: tls, IdleTimeout: 1800}, discardLogger())
	address, err := n.Open()
	require.NoError(d.t, err)
	d.run(n.Run)
	return n, address
}

// startAgent starts an agent in zone a with an upstream of one slot.
func (d *drainTest) startAgent(entries []string) {
	credentials, err := d.authority.IssueCredentials("minion", host.RoleAgent, time.Hour)
	require.NoError(d.t, err)
	tls, err := credentials.TLSConfig()
	require.NoError(d.t, err)
	self := host.Host{Name: "minion", Incarnation: host.NewIncarnation(), Role: host.RoleAgent, Location: zone.Location{Region: "r", Zone: "a"}}
	a := agent.New(agent.Settings{Self: self, Listen: loopback, Entries: entries, TLS: tls, HeartbeatInterval: 250, LinkIdleTimeout: 1800,
		Slot: slot.Settings{Cache: slot.CacheLimits{MaxAge: 1000, MaxTasks: 10, MaxBytes: 1000}}}, clock.New(), fair.New(), discardLogger())
	address, err := a.Open()
	require.NoError(d.t, err)
	d.run(func(ctx context.Context, done chan<- error) { done <- a.Run(ctx) })
	u := fakes.NewUpstream(fakes.UpstreamSettings{Name: "u", Slots: 1, Connections: 4, Speed: 1,
		ServiceTimesMS: map[string]float64{"check": 800}, HoldMS: 5000, Agent: "http://" + address})
	require.NoError(d.t, u.Open())
	d.run(u.Run)
}

// awaitLink waits until the agent has reported its upstream to an entry.
func (d *drainTest) awaitLink(entry *link.Node) *link.Link {
	for {
		e := d.next(entry)
		if e.Frame.GetHeartbeat().GetUpstream() != nil {
			return e.Link
		}
	}
}

// awaitDone waits for the outcome of a start.
func (d *drainTest) awaitDone(entry *link.Node, ask uint64) *wire.Done {
	for {
		if done := d.next(entry).Frame.GetDone(); done != nil && done.GetAsk() == ask {
			return done
		}
	}
}

func (d *drainTest) next(entry *link.Node) link.Event {
	select {
	case e := <-entry.Events():
		return e
	case <-d.timeout:
		require.FailNow(d.t, "no frame from the agent")
		return link.Event{}
	}
}

func startFrame(ask uint64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{Ask: ask, Customer: "c", Kind: "check", Key: "k", TimeoutMs: 5000, CostMs: 300}}}
}

func drainFrame(version int64, deleted bool) *wire.Frame {
	drain := contr.Document{Name: "zone/a", Version: version, Text: "power", Deleted: deleted}
	return &wire.Frame{Body: &wire.Frame_Config{Config: contr.EncodeConfig(version, []contr.Document{drain})}}
}

// Guards against starts in a drained zone that come from an entry which does not know of the drain
// yet, or that wait in the agent's queue.
func TestAgentThatKnowsOfTheDrainRefusesStartsOfAnEntryThatDoesNot(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	authority, err := certs.NewAuthority(time.Hour)
	require.NoError(t, err)
	d := &drainTest{t: t, authority: authority, timeout: time.After(20 * time.Second)}
	knowing, knowingAddress := d.startEntry("knowing")
	unaware, unawareAddress := d.startEntry("unaware")
	d.startAgent([]string{knowingAddress, unawareAddress})
	toKnowing, toUnaware := d.awaitLink(knowing), d.awaitLink(unaware)

	toUnaware.Send(startFrame(1))
	toUnaware.Send(startFrame(2))
	for queued := int32(0); queued == 0; { // one runs and one is queued
		queued = d.next(unaware).Frame.GetHeartbeat().GetLoad().GetQueued()
	}
	toKnowing.Send(drainFrame(7, false))
	queued := d.awaitDone(unaware, 2)
	require.Equal(t, wire.Outcome_OUTCOME_NOT_RUN, queued.GetOutcome())
	require.True(t, queued.GetLeaving())
	toUnaware.Send(startFrame(3))
	require.Equal(t, wire.Outcome_OUTCOME_NOT_RUN, d.awaitDone(unaware, 3).GetOutcome())
	require.Equal(t, wire.Outcome_OUTCOME_OK, d.awaitDone(unaware, 1).GetOutcome(), "the running task finishes")
	toKnowing.Send(drainFrame(6, true))
	toKnowing.Send(startFrame(4))
	require.Equal(t, wire.Outcome_OUTCOME_NOT_RUN, d.awaitDone(knowing, 4).GetOutcome(), "a late copy of an older version changes nothing")
	toKnowing.Send(drainFrame(8, true))
	toKnowing.Send(startFrame(5))
	require.Equal(t, wire.Outcome_OUTCOME_OK, d.awaitDone(knowing, 5).GetOutcome())
}
