package link

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/retry"
)

// Settings of a node.
type Settings struct {
	// Self is told to every peer.
	Self host.Host
	// Listen is the UDP address to accept links on; empty for none.
	Listen string
	TLS    *tls.Config
	// IdleTimeout is how long a link may bring nothing before it is closed; more than
	// twice the interval at which the owner sends heartbeats.
	IdleTimeout clock.Millis
}

const (
	eventBuffer  = 1024
	acceptBuffer = 16
	// A peer that starts a moment after this host does not see the packets sent before;
	// a new attempt reaches it sooner than their retransmission, which slows down.
	firstHandshake     = 300 * time.Millisecond
	maxHandshake       = 2 * time.Second
	handshakeDoublings = 3
	maxRedialMS        = clock.Millis(1000)
	closeOnShutdown    = "shutting down"
	// packetBytes fits a path of 1,500 bytes with all headers.
	packetBytes = 1350
)

// command asks the node's task to start or stop dialing an address.
type command struct {
	address string
	stop    bool
}

// Node owns all links of one process.
type Node struct {
	settings Settings
	log      *slog.Logger
	events   chan Event
	commands chan command
	socket   *net.UDPConn
	ended    chan struct{}
}

// New returns a node; Open it before use.
func New(s Settings, log *slog.Logger) *Node {
	return &Node{
		settings: s,
		log:      log,
		events:   make(chan Event, eventBuffer),
		commands: make(chan command, acceptBuffer),
		ended:    make(chan struct{}),
	}
}

// Open binds the listening socket and returns the address it got.
func (n *Node) Open() (string, error) {
	if n.settings.Listen == "" {
		return "", nil
	}
	addr, err := net.ResolveUDPAddr("udp", n.settings.Listen)
	if err != nil {
		return "", errors.Annotatef(err, "listen for links on %s", n.settings.Listen)
	}
	n.socket, err = net.ListenUDP(networkOf(addr), addr)
	if err != nil {
		return "", errors.Annotatef(err, "listen for links on %s", n.settings.Listen)
	}
	n.settings.Self.Address = n.socket.LocalAddr().String()
	return n.settings.Self.Address, nil
}

// Advertise sets the address that peers are told; it must be called before Run.
func (n *Node) Advertise(address string) {
	n.settings.Self.Address = address
}

// Events returns what happens on the links; the owner must read it until Run ends.
func (n *Node) Events() <-chan Event {
	return n.events
}

// Dial keeps a link to an address up until Forget.
func (n *Node) Dial(address string) {
	n.command(command{address: address})
}

// StopDialing stops dialing an address; a link that is up stays until it ends.
func (n *Node) StopDialing(address string) {
	n.command(command{address: address, stop: true})
}

func (n *Node) command(c command) {
	select {
	case n.commands <- c:
	case <-n.ended:
	}
}

// Run owns the links until ctx ends, and then reports on done.
func (n *Node) Run(ctx context.Context, done chan<- error) {
	defer close(n.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	accepted := make(chan *quic.Conn, acceptBuffer)
	ends := make(chan struct{}, acceptBuffer)
	running := 0
	if n.socket != nil {
		running++
		go n.listen(ctx, accepted, ends)
	}
	dialers := map[string]context.CancelFunc{}
	for {
		select {
		case conn := <-accepted:
			running++
			go n.serve(ctx, conn, ends)
		case c := <-n.commands:
			running += n.obey(ctx, c, dialers, ends)
		case <-ends:
			running--
		case <-ctx.Done():
			n.drain(running, accepted, ends)
			done <- errors.Annotate(ctx.Err(), "run links")
			return
		}
	}
}

// obey returns the number of tasks that it started.
func (n *Node) obey(ctx context.Context, c command, dialers map[string]context.CancelFunc, ends chan<- struct{}) int {
	stop, dialing := dialers[c.address]
	if c.stop {
		if dialing {
			stop()
			delete(dialers, c.address)
		}
		return 0
	}
	if dialing || c.address == n.settings.Self.Address {
		return 0
	}
	ctx, cancel := context.WithCancel(ctx)
	dialers[c.address] = cancel
	go n.keepDialing(ctx, c.address, ends)
	return 1
}

// drain waits for the node's tasks to end and turns late connections away.
func (n *Node) drain(running int, accepted <-chan *quic.Conn, ends <-chan struct{}) {
	for running > 0 {
		select {
		case conn := <-accepted:
			conn.CloseWithError(0, closeOnShutdown)
		case <-ends:
			running--
		}
	}
	for {
		select {
		case conn := <-accepted:
			conn.CloseWithError(0, closeOnShutdown)
		default:
			return
		}
	}
}

// handshakeTimeout returns how long an attempt may bring nothing, after so many that
// failed.
func handshakeTimeout(failures int) time.Duration {
	return min(firstHandshake<<min(failures, handshakeDoublings), maxHandshake)
}

func (n *Node) quicConfig(handshake time.Duration) *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 n.settings.IdleTimeout.Duration(),
		HandshakeIdleTimeout:           handshake,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: streamWindow,
		MaxConnectionReceiveWindow:     maxStreamWindow,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		InitialPacketSize:              packetBytes,
		// Probes for a larger packet cost more than the heartbeats of an idle link.
		DisablePathMTUDiscovery: true,
	}
}

func (n *Node) listen(ctx context.Context, accepted chan<- *quic.Conn, ends chan<- struct{}) {
	defer func() { ends <- struct{}{} }()
	t := &quic.Transport{Conn: n.socket}
	defer n.socket.Close()
	defer t.Close()
	l, err := t.Listen(n.settings.TLS, n.quicConfig(maxHandshake))
	if err != nil {
		n.log.Error("links not accepted", "address", n.settings.Listen, "error", err.Error())
		return
	}
	defer l.Close()
	for {
		conn, err := l.Accept(ctx)
		if err != nil {
			return
		}
		select {
		case accepted <- conn:
		case <-ctx.Done():
			conn.CloseWithError(0, closeOnShutdown)
			return
		}
	}
}

// serve runs one accepted link.
func (n *Node) serve(ctx context.Context, conn *quic.Conn, ends chan<- struct{}) {
	defer func() { ends <- struct{}{} }()
	hello, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(hello)
	if err != nil {
		n.log.Warn("link refused", "peer", conn.RemoteAddr().String(), "error", err.Error())
		conn.CloseWithError(0, "no stream")
		return
	}
	n.carry(ctx, newLink(conn, stream, ""))
}

// carry greets the peer and runs the link; it reports whether the link came up.
func (n *Node) carry(ctx context.Context, l *Link) bool {
	if err := l.greet(n.settings.Self); err != nil {
		n.log.Warn("link refused", "peer", l.RemoteAddr().String(), "error", err.Error())
		l.Close("refused")
		return false
	}
	if !n.tell(ctx, Event{Type: Up, Link: l}) {
		l.Close(closeOnShutdown)
		return false
	}
	err := l.run(ctx, n.events)
	n.tell(ctx, Event{Type: Down, Link: l, Err: err})
	return true
}

func (n *Node) tell(ctx context.Context, e Event) bool {
	select {
	case n.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// keepDialing dials again whenever the link ends.
func (n *Node) keepDialing(ctx context.Context, address string, ends chan<- struct{}) {
	defer func() { ends <- struct{}{} }()
	back := retry.Backoff{}
	for ctx.Err() == nil {
		if n.dialOnce(ctx, address, handshakeTimeout(back.ConsecutiveFailures)) {
			back.Reset()
		}
		clock.Wait(ctx, min(back.Next(), maxRedialMS))
	}
}

// dialOnce runs one link from a socket of its own: after something between the
// ends has lost track of the old flow, only a new port gets through.
func (n *Node) dialOnce(ctx context.Context, address string, handshake time.Duration) bool {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		n.log.Error("address not understood", "peer", address, "error", err.Error())
		return false
	}
	socket, err := net.ListenUDP(networkOf(addr), &net.UDPAddr{})
	if err != nil {
		n.log.Error("no socket for link", "peer", address, "error", err.Error())
		return false
	}
	defer socket.Close()
	t := &quic.Transport{Conn: socket}
	defer t.Close()
	conn, err := t.Dial(ctx, addr, n.settings.TLS, n.quicConfig(handshake))
	if err != nil {
		n.log.Debug("dial failed", "peer", address, "error", err.Error())
		return false
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		conn.CloseWithError(0, "no stream")
		return false
	}
	return n.carry(ctx, newLink(conn, stream, address))
}

// networkOf names the network of an address; hosts may have no IPv6.
func networkOf(a *net.UDPAddr) string {
	if a.IP.To4() != nil {
		return "udp4"
	}
	return "udp"
}
