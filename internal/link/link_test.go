package link_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/turmericbarrow/turmericbarrow/internal/certs"
	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// nodes starts nodes that stop with the test.
type nodes struct {
	t         *testing.T
	authority certs.Authority
	ctx       context.Context
}

func newNodes(t *testing.T) *nodes {
	t.Helper()
	a, err := certs.NewAuthority(time.Hour)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { goleak.VerifyNone(t) })
	t.Cleanup(cancel)
	return &nodes{t: t, authority: a, ctx: ctx}
}

func (ns *nodes) start(authority certs.Authority, name, claimedName string, listen string, valid time.Duration) (*link.Node, string) {
	ns.t.Helper()
	pair, err := authority.IssueCredentials(name, host.RoleEntry, valid)
	require.NoError(ns.t, err)
	c, err := pair.TLSConfig()
	require.NoError(ns.t, err)
	n := link.New(link.Settings{
		Self:   host.Host{Name: claimedName, Incarnation: host.NewIncarnation(), Role: host.RoleEntry},
		Listen: listen, TLS: c, IdleTimeout: 600,
	}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	address, err := n.Open()
	require.NoError(ns.t, err)
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(ns.ctx)
	go n.Run(ctx, done)
	ns.t.Cleanup(func() {
		cancel()
		<-done
	})
	return n, address
}

const loopback = "127.0.0.1:0"

// waitForEvent waits for an event of the wanted type and fails the test on a timeout.
func waitForEvent(t *testing.T, n *link.Node, want link.EventType) link.Event {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case e := <-n.Events():
			if e.Type == want {
				return e
			}
		case <-timeout:
			require.FailNow(t, "no event", "type %d", want)
		}
	}
}

func TestFramesTravelBothWaysWithUnknownFields(t *testing.T) {
	ns := newNodes(t)
	a, address := ns.start(ns.authority, "a", "a", loopback, time.Hour)
	b, _ := ns.start(ns.authority, "b", "b", "", time.Hour)
	b.Dial(address)
	up := waitForEvent(t, a, link.Up)
	require.Equal(t, "b", up.Link.Peer.Name)
	dialed := waitForEvent(t, b, link.Up)
	require.Equal(t, address, dialed.Link.DialedAddress)

	newer := &wire.Cancel{Ask: 7}
	unknown := protowire.AppendString(protowire.AppendTag(nil, 900, protowire.BytesType), "from a later version")
	newer.ProtoReflect().SetUnknown(unknown)
	dialed.Link.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: newer}})
	require.Equal(t, uint64(7), waitForEvent(t, a, link.Received).Frame.GetCancel().GetAsk())

	up.Link.Send(&wire.Frame{Body: &wire.Frame_Find{Find: &wire.Find{Ask: 9}}})
	up.Link.Shutdown()
	require.Equal(t, uint64(9), waitForEvent(t, b, link.Received).Frame.GetFind().GetAsk(), "frames queued before Shutdown arrive")
	waitForEvent(t, b, link.Down)
}

func TestUntrustedPeersAreRejected(t *testing.T) {
	ns := newNodes(t)
	other, err := certs.NewAuthority(time.Hour)
	require.NoError(t, err)
	a, address := ns.start(ns.authority, "a", "a", loopback, time.Hour)
	foreign, _ := ns.start(other, "b", "b", "", time.Hour)
	expired, _ := ns.start(ns.authority, "c", "c", "", -time.Minute)
	impostor, _ := ns.start(ns.authority, "d", "somebody", "", time.Hour)
	for _, n := range []*link.Node{foreign, expired, impostor} {
		n.Dial(address)
	}
	trusted, _ := ns.start(ns.authority, "e", "e", "", time.Hour)
	trusted.Dial(address)
	require.Equal(t, "e", waitForEvent(t, a, link.Up).Link.Peer.Name)
	require.Never(t, func() bool {
		select {
		case e := <-a.Events():
			return e.Type == link.Up && e.Link.Peer.Name != "e"
		default:
			return false
		}
	}, 500*time.Millisecond, 10*time.Millisecond)
}

func TestOversizedFrameClosesTheLink(t *testing.T) {
	ns := newNodes(t)
	a, address := ns.start(ns.authority, "a", "a", loopback, time.Hour)
	b, _ := ns.start(ns.authority, "b", "b", "", time.Hour)
	b.Dial(address)
	waitForEvent(t, a, link.Up)
	l := waitForEvent(t, b, link.Up).Link
	l.Send(&wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{Payload: make([]byte, link.MaxFrameBytes+1)}}})
	require.ErrorContains(t, waitForEvent(t, a, link.Down).Err, "read from b")
}

func TestLinkOverASilentPathIsRedialedFromANewPort(t *testing.T) {
	ns := newNodes(t)
	a, address := ns.start(ns.authority, "a", "a", loopback, time.Hour)
	relay, relayAddress, err := fakes.NewRelay(address)
	require.NoError(t, err)
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(ns.ctx)
	go relay.Run(ctx, done)
	t.Cleanup(func() { cancel(); <-done })
	b, _ := ns.start(ns.authority, "b", "b", "", time.Hour)
	b.Dial(relayAddress)
	before := waitForEvent(t, a, link.Up).Link.RemoteAddr().String()
	require.Equal(t, 1, relay.DropFlows(ctx))
	require.NotEqual(t, before, waitForEvent(t, a, link.Up).Link.RemoteAddr().String())
}

// The owner removes a link when it is down. A Down that is lost leaves a dead link in use.
func TestStopDialingReportsThatTheLinkIsDown(t *testing.T) {
	ns := newNodes(t)
	_, address := ns.start(ns.authority, "a", "a", loopback, time.Hour)
	b, _ := ns.start(ns.authority, "b", "b", "", time.Hour)
	for range 12 {
		b.Dial(address)
		l := waitForEvent(t, b, link.Up).Link
		b.StopDialing(address)
		require.Same(t, l, waitForEvent(t, b, link.Down).Link)
	}
}

func FuzzFrame(f *testing.F) {
	data, err := proto.Marshal(&wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Name: "a"}}})
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		m := &wire.Frame{}
		if proto.Unmarshal(data, m) == nil {
			link.DecodeHost(m.GetHello())
		}
	})
}

// Guards against leases that outlive a peer: a frame that waited on its way or in the process
// proves no contact at the time at which it is handled.
func TestContactCountsFromWhenTheEchoedFrameWasSent(t *testing.T) {
	ns := newNodes(t)
	server, address := ns.start(ns.authority, "server", "server", loopback, time.Hour)
	client, _ := ns.start(ns.authority, "client", "client", loopback, time.Hour)
	client.Dial(address)
	clientLink := waitForEvent(t, client, link.Up).Link
	serverLink := waitForEvent(t, server, link.Up).Link
	pulse := &wire.Frame{Body: &wire.Frame_Pulse{Pulse: &wire.Pulse{}}}

	serverLink.Send(pulse)
	clientLink.Observe(waitForEvent(t, client, link.Received).Frame)
	require.True(t, clientLink.ContactAt.IsZero(), "a frame that echoes nothing proves no contact")

	clientLink.Send(pulse)
	sentAt := time.Now()
	received := waitForEvent(t, server, link.Received).Frame
	time.Sleep(100 * time.Millisecond)
	serverLink.Observe(received)
	serverLink.Send(pulse)
	echo := waitForEvent(t, client, link.Received).Frame
	time.Sleep(100 * time.Millisecond)
	clientLink.Observe(echo)
	require.False(t, clientLink.ContactAt.IsZero())
	require.False(t, clientLink.ContactAt.After(sentAt))

	contact := clientLink.ContactAt
	clientLink.Observe(&wire.Frame{SentMs: 1, EchoMs: 1 << 60})
	require.Equal(t, contact, clientLink.ContactAt, "an echo of a frame that was never sent is ignored")
	clientLink.Observe(&wire.Frame{})
	require.True(t, clientLink.ContactAt.After(contact), "a peer of an earlier version echoes nothing")
}
