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
	"github.com/turmericbarrow/turmericbarrow/internal/guard"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/retry"
)

// Settings configures a node.
type Settings struct {
	// Self describes this process; every peer receives it in the hello.
	Self host.Host
	// Listen is the UDP address on which to accept links. If empty, none are accepted.
	Listen string
	TLS    *tls.Config
	// IdleTimeout is how long a link may receive nothing before it is closed. It must be
	// more than twice the interval at which the owner sends heartbeats.
	IdleTimeout clock.Millis
}

const (
	eventBuffer = 1024
	// channelBuffer is the capacity of the node's other channels.
	channelBuffer = 16
	// minHandshakeTimeout is short because a peer that starts a moment after this host
	// misses the packets sent before. A new attempt reaches it sooner than their
	// retransmission, whose interval grows.
	minHandshakeTimeout   = 300 * time.Millisecond
	maxHandshakeTimeout   = 2 * time.Second
	maxHandshakeDoublings = 3
	maxRedialMS           = clock.Millis(1000)
	shutdownReason        = "shutting down"
	// initialPacketBytes fits, with all headers, a path with an MTU of 1,500 bytes.
	initialPacketBytes = 1350
)

// dialCommand requests that the node's goroutine start or stop dialing an address.
type dialCommand struct {
	address string
	stop    bool
}

// Node owns all links of one process.
type Node struct {
	settings Settings
	log      *slog.Logger
	events   chan Event
	commands chan dialCommand
	socket   *net.UDPConn
	stopped  chan struct{}
	// pending holds one value for each accepted connection from its first packet to its hello.
	// Until then its peer is unknown.
	pending chan struct{}
}

// New returns a node. Call Open before Run if the node accepts links.
func New(s Settings, log *slog.Logger) *Node {
	return &Node{
		settings: s,
		log:      log,
		events:   make(chan Event, eventBuffer),
		commands: make(chan dialCommand, channelBuffer),
		stopped:  make(chan struct{}),
		pending:  make(chan struct{}, maxPendingLinks),
	}
}

// Open binds the listening socket, if there is one, and returns its address.
func (n *Node) Open() (string, error) {
	if n.settings.Listen == "" {
		return "", nil
	}
	addr, err := net.ResolveUDPAddr("udp", n.settings.Listen)
	if err != nil {
		return "", errors.Annotatef(err, "listen for links on %s", n.settings.Listen)
	}
	n.socket, err = net.ListenUDP(networkFor(addr), addr)
	if err != nil {
		return "", errors.Annotatef(err, "listen for links on %s", n.settings.Listen)
	}
	n.settings.Self.Address = n.socket.LocalAddr().String()
	return n.settings.Self.Address, nil
}

// Advertise sets the address that is sent to peers. It must be called before Run.
func (n *Node) Advertise(address string) {
	n.settings.Self.Address = address
}

// Events returns the events of all links. The owner must receive from it until Run ends.
func (n *Node) Events() <-chan Event {
	return n.events
}

// Dial dials an address, and again whenever the link ends, until StopDialing.
func (n *Node) Dial(address string) {
	n.sendCommand(dialCommand{address: address})
}

// StopDialing ends the dialer of an address and closes the link that it dialed, if any. It
// does not wait for either.
func (n *Node) StopDialing(address string) {
	n.sendCommand(dialCommand{address: address, stop: true})
}

func (n *Node) sendCommand(c dialCommand) {
	select {
	case n.commands <- c:
	case <-n.stopped:
	}
}

// Run owns the links until ctx ends, then sends the reason to done.
func (n *Node) Run(ctx context.Context, done chan<- error) {
	defer close(n.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	accepted := make(chan *quic.Conn, channelBuffer)
	ended := make(chan struct{}, channelBuffer)
	goroutines := 0
	if n.socket != nil {
		goroutines++
		go n.listen(ctx, accepted, ended)
	}
	dialers := map[string]context.CancelFunc{}
	for {
		select {
		case conn := <-accepted:
			goroutines++
			go n.runAccepted(ctx, conn, ended)
		case c := <-n.commands:
			goroutines += n.handleCommand(ctx, c, dialers, ended)
		case <-ended:
			goroutines--
		case <-ctx.Done():
			n.awaitGoroutines(goroutines, accepted, ended)
			done <- errors.Annotate(ctx.Err(), "run links")
			return
		}
	}
}

// handleCommand starts or stops a dialer and returns the number of goroutines started.
func (n *Node) handleCommand(ctx context.Context, c dialCommand, dialers map[string]context.CancelFunc, ended chan<- struct{}) int {
	cancelDialer, dialing := dialers[c.address]
	if c.stop {
		if dialing {
			cancelDialer()
			delete(dialers, c.address)
		}
		return 0
	}
	if dialing || c.address == n.settings.Self.Address {
		return 0
	}
	dialCtx, cancel := context.WithCancel(ctx)
	dialers[c.address] = cancel
	go n.keepDialing(ctx, dialCtx, c.address, ended)
	return 1
}

// awaitGoroutines waits for the node's goroutines to end and rejects connections that were
// accepted too late to run.
func (n *Node) awaitGoroutines(goroutines int, accepted <-chan *quic.Conn, ended <-chan struct{}) {
	for goroutines > 0 {
		select {
		case conn := <-accepted:
			conn.CloseWithError(0, shutdownReason)
		case <-ended:
			goroutines--
		}
	}
	for {
		select {
		case conn := <-accepted:
			conn.CloseWithError(0, shutdownReason)
		default:
			return
		}
	}
}

// handshakeTimeout returns how long the next handshake may receive nothing, given the
// number of attempts that have failed in a row.
func handshakeTimeout(consecutiveFailures int) time.Duration {
	return min(minHandshakeTimeout<<min(consecutiveFailures, maxHandshakeDoublings), maxHandshakeTimeout)
}

// quicConfig returns the QUIC configuration of a connection. timeout is how long its handshake
// may receive nothing.
func (n *Node) quicConfig(timeout time.Duration) *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 n.settings.IdleTimeout.Duration(),
		HandshakeIdleTimeout:           timeout,
		InitialStreamReceiveWindow:     initialWindowBytes,
		MaxStreamReceiveWindow:         maxWindowBytes,
		InitialConnectionReceiveWindow: initialWindowBytes,
		MaxConnectionReceiveWindow:     maxWindowBytes,
		MaxIncomingStreams:             1,
		MaxIncomingUniStreams:          -1,
		InitialPacketSize:              initialPacketBytes,
		// Path MTU probes cost more than the heartbeats of an idle link.
		DisablePathMTUDiscovery: true,
	}
}

func (n *Node) listen(ctx context.Context, accepted chan<- *quic.Conn, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	t := &quic.Transport{Conn: n.socket, ConnContext: n.reservePending, VerifySourceAddress: n.verifiesAddresses}
	defer n.socket.Close()
	defer t.Close()
	l, err := t.Listen(n.settings.TLS, n.quicConfig(maxHandshakeTimeout))
	if err != nil {
		n.log.Error("cannot accept links", "address", n.settings.Listen, "error", err.Error())
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
			conn.CloseWithError(0, shutdownReason)
			return
		}
	}
}

// runAccepted runs one accepted link until it ends.
func (n *Node) runAccepted(ctx context.Context, conn *quic.Conn, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	l := n.acceptLink(ctx, conn)
	releasePending(conn.Context())
	if l != nil {
		n.runLink(ctx, ctx, l)
	}
}

// acceptLink waits for the stream and the hello of an accepted connection. It closes the
// connection and returns nil if they do not arrive, or if the hello is refused.
func (n *Node) acceptLink(ctx context.Context, conn *quic.Conn) *Link {
	helloCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	stream, err := conn.AcceptStream(helloCtx)
	if err != nil {
		n.log.Warn("link setup failed", "peer", conn.RemoteAddr().String(), "error", err.Error())
		conn.CloseWithError(0, "no stream")
		return nil
	}
	l := newLink(conn, stream, "")
	if !n.setUp(l) {
		return nil
	}
	return l
}

// setUp exchanges hellos. It closes the link and returns false if that fails.
func (n *Node) setUp(l *Link) bool {
	err := guard.Call("exchange hellos", func() error { return l.exchangeHellos(n.settings.Self) })
	if err != nil {
		n.log.Warn("link setup failed", "peer", l.RemoteAddr().String(), "error", err.Error())
		l.Close("refused")
		return false
	}
	return true
}

// runLink runs a link that is set up until it or linkCtx ends. The owner gets a Down for each
// Up, unless ctx, the context of the node, ends.
func (n *Node) runLink(ctx, linkCtx context.Context, l *Link) {
	if !n.emit(ctx, Event{Type: Up, Link: l}) {
		l.Close(shutdownReason)
		return
	}
	err := l.run(linkCtx, n.events)
	n.emit(ctx, Event{Type: Down, Link: l, Err: err})
}

// emit sends an event to the owner. It may drop the event, and then returns false, once ctx
// has ended.
func (n *Node) emit(ctx context.Context, e Event) bool {
	select {
	case n.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

// keepDialing dials an address, with backoff, whenever there is no link to it, until dialCtx
// ends.
func (n *Node) keepDialing(ctx, dialCtx context.Context, address string, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	backoff := retry.Backoff{}
	for dialCtx.Err() == nil {
		if n.dialOnce(ctx, dialCtx, address, handshakeTimeout(backoff.ConsecutiveFailures)) {
			backoff.Reset()
		}
		// The delay is shortest after a link that came up.
		clock.Wait(dialCtx, min(backoff.Next(), maxRedialMS))
	}
}

// dialOnce dials from a new socket and runs the link until it ends. If a device on the
// path (such as a NAT) has lost its state for the old flow, only a new port gets through.
// dialOnce reports whether the link came up.
func (n *Node) dialOnce(ctx, dialCtx context.Context, address string, timeout time.Duration) bool {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		n.log.Error("cannot resolve peer address", "peer", address, "error", err.Error())
		return false
	}
	socket, err := net.ListenUDP(networkFor(addr), &net.UDPAddr{})
	if err != nil {
		n.log.Error("cannot open socket for link", "peer", address, "error", err.Error())
		return false
	}
	defer socket.Close()
	t := &quic.Transport{Conn: socket}
	defer t.Close()
	conn, err := t.Dial(dialCtx, addr, n.settings.TLS, n.quicConfig(timeout))
	if err != nil {
		n.log.Debug("dial failed", "peer", address, "error", err.Error())
		return false
	}
	stream, err := conn.OpenStreamSync(dialCtx)
	if err != nil {
		conn.CloseWithError(0, "no stream")
		return false
	}
	l := newLink(conn, stream, address)
	if !n.setUp(l) {
		return false
	}
	n.runLink(ctx, dialCtx, l)
	return true
}

// networkFor returns the network of an address. IPv4 is explicit because hosts may lack
// IPv6.
func networkFor(a *net.UDPAddr) string {
	if a.IP.To4() != nil {
		return "udp4"
	}
	return "udp"
}
