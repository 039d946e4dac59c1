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

// net is a set of nodes that end with the test.
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

func (ns *nodes) start(a certs.Authority, name, claimed string, listen string, valid time.Duration) (*link.Node, string) {
	ns.t.Helper()
	pair, err := a.IssueCredentials(name, host.RoleEntry, valid)
	require.NoError(ns.t, err)
	c, err := pair.TLSConfig()
	require.NoError(ns.t, err)
	n := link.New(link.Settings{
		Self:   host.Host{Name: claimed, Incarnation: host.NewIncarnation(), Role: host.RoleEntry},
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

// next waits for an event of a type; a node that stays silent fails by timeout.
func next(t *testing.T, n *link.Node, want link.EventType) link.Event {
	t.Helper()
	limit := time.After(20 * time.Second)
	for {
		select {
		case e := <-n.Events():
			if e.Type == want {
				return e
			}
		case <-limit:
			require.FailNow(t, "no event", "type %d", want)
		}
	}
}

func TestFramesBothWaysAndUnknownFields(t *testing.T) {
	ns := newNodes(t)
	a, address := ns.start(ns.authority, "a", "a", loopback, time.Hour)
	b, _ := ns.start(ns.authority, "b", "b", "", time.Hour)
	b.Dial(address)
	up := next(t, a, link.Up)
	require.Equal(t, "b", up.Link.Peer.Name)
	dialed := next(t, b, link.Up)
	require.Equal(t, address, dialed.Link.DialedAddress)

	newer := &wire.Cancel{Ask: 7}
	unknown := protowire.AppendString(protowire.AppendTag(nil, 900, protowire.BytesType), "from a later version")
	newer.ProtoReflect().SetUnknown(unknown)
	dialed.Link.Send(&wire.Frame{Body: &wire.Frame_Cancel{Cancel: newer}})
	require.Equal(t, uint64(7), next(t, a, link.Received).Frame.GetCancel().GetAsk())

	up.Link.Send(&wire.Frame{Body: &wire.Frame_Find{Find: &wire.Find{Ask: 9}}})
	up.Link.Shutdown()
	require.Equal(t, uint64(9), next(t, b, link.Received).Frame.GetFind().GetAsk(), "what was queued arrives before the end")
	next(t, b, link.Down)
}

func TestStrangersGetNoLink(t *testing.T) {
	ns := newNodes(t)
	other, err := certs.NewAuthority(time.Hour)
	require.NoError(t, err)
	a, address := ns.start(ns.authority, "a", "a", loopback, time.Hour)
	stranger, _ := ns.start(other, "b", "b", "", time.Hour)
	expired, _ := ns.start(ns.authority, "c", "c", "", -time.Minute)
	impostor, _ := ns.start(ns.authority, "d", "somebody", "", time.Hour)
	for _, n := range []*link.Node{stranger, expired, impostor} {
		n.Dial(address)
	}
	friend, _ := ns.start(ns.authority, "e", "e", "", time.Hour)
	friend.Dial(address)
	require.Equal(t, "e", next(t, a, link.Up).Link.Peer.Name)
	require.Never(t, func() bool {
		select {
		case e := <-a.Events():
			return e.Type == link.Up && e.Link.Peer.Name != "e"
		default:
			return false
		}
	}, 500*time.Millisecond, 10*time.Millisecond)
}

func TestFrameOverTheLimitEndsTheLink(t *testing.T) {
	ns := newNodes(t)
	a, address := ns.start(ns.authority, "a", "a", loopback, time.Hour)
	b, _ := ns.start(ns.authority, "b", "b", "", time.Hour)
	b.Dial(address)
	next(t, a, link.Up)
	l := next(t, b, link.Up).Link
	l.Send(&wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{Payload: make([]byte, link.MaxFrameBytes+1)}}})
	require.ErrorContains(t, next(t, a, link.Down).Err, "read from b")
}

func TestSilentPathIsReplacedFromANewPort(t *testing.T) {
	ns := newNodes(t)
	a, address := ns.start(ns.authority, "a", "a", loopback, time.Hour)
	relay, through, err := fakes.NewRelay(address)
	require.NoError(t, err)
	done := make(chan error, 1)
	ctx, cancel := context.WithCancel(ns.ctx)
	go relay.Run(ctx, done)
	t.Cleanup(func() { cancel(); <-done })
	b, _ := ns.start(ns.authority, "b", "b", "", time.Hour)
	b.Dial(through)
	before := next(t, a, link.Up).Link.RemoteAddr().String()
	require.Equal(t, 1, relay.DropFlows(ctx))
	require.NotEqual(t, before, next(t, a, link.Up).Link.RemoteAddr().String())
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
