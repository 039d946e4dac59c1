// Package link carries frames between the processes of the system over QUIC with
// mutual TLS. A Node owns the listening socket and the dialers. Each Link owns its
// connection, and a dialed link also has its own UDP socket.
package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/turmericbarrow/turmericbarrow/internal/certs"
	"github.com/turmericbarrow/turmericbarrow/internal/guard"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// Limits of a link.
const (
	// MaxFrameBytes is the maximum size of a received frame.
	MaxFrameBytes = 16 << 20
	// maxHelloBytes is the maximum size of the first frame, whose sender is not known yet. A
	// hello has a few hundred bytes.
	maxHelloBytes = 16 << 10
	// maxPendingLinks is the maximum number of connections of peers that have not sent a hello.
	// Each takes up to 200 KB.
	maxPendingLinks = 128
	// pendingTimeout exceeds the longest time from the first packet to a hello: twice the
	// timeout of the handshake, and helloTimeout.
	pendingTimeout = 2*maxHandshakeTimeout + helloTimeout + time.Second
	// maxQueuedFrames is the maximum number of frames queued for a slow peer. When it
	// is exceeded the link is closed, because Send must not block its callers.
	maxQueuedFrames  = 2048
	writeBufferBytes = 8 << 10
	readBufferBytes  = 8 << 10
	helloTimeout     = 3 * time.Second
	shutdownTimeout  = 2 * time.Second
	// initialWindowBytes and maxWindowBytes are the initial and the largest flow control window of
	// a stream and of a connection. The initial one bounds what an unknown peer can make this
	// process buffer.
	initialWindowBytes = 64 << 10
	maxWindowBytes     = 8 << 20
)

// EventType is the type of a link event.
type EventType int

// The event types of a link. Up comes first, and no event follows Down. A link that ends
// because of the end of Node.Run may omit Down.
const (
	Up EventType = iota
	Received
	Down
)

// Event is a message from a link to the owner of its node.
type Event struct {
	Type EventType
	Link *Link
	// Frame is set for Received.
	Frame *wire.Frame
	// Err is the reason for Down.
	Err error
}

// Link is a connection to a peer.
type Link struct {
	// Peer is the peer's description of itself in its hello; its name and role have been
	// checked against its certificate.
	Peer host.Host
	// DialedAddress is the address that was dialed; empty on an accepted link.
	DialedAddress string
	// LastSentAt is when the owner last sent a frame. An idle link needs a keepalive.
	LastSentAt time.Time
	// ContactAt is the last time at which the peer is known to have been alive: this end had sent
	// a frame by then that the peer's owner handled later. It is zero until Observe is called with
	// such a proof, and never decreases.
	ContactAt time.Time

	// openedAt is the origin of the times of this end's frames.
	openedAt time.Time
	// observed is the time of the peer's newest frame that the owner has handled; it is echoed.
	observed int64
	conn     *quic.Conn
	stream   *quic.Stream
	outbox   chan *wire.Frame
	shutdown chan struct{}
	reader   *bufio.Reader
	writer   *bufio.Writer
}

// Send queues a frame without blocking. If the outbox is full, it closes the link and
// returns false. The frame may be sent on other links as well.
func (l *Link) Send(f *wire.Frame) bool {
	l.LastSentAt = time.Now()
	select {
	case l.outbox <- &wire.Frame{Body: f.Body, SentMs: l.timestamp(l.LastSentAt), EchoMs: l.observed}:
		return true
	default:
		l.Close("outbox full")
		return false
	}
}

// Observe records a received frame when its owner handles it: the next frames that are sent
// echo its time, and its own echo may advance ContactAt. A frame is no proof of contact at the
// time at which it is handled, since it may have waited for long. Only a peer of an earlier
// version, which echoes nothing, counts as alive when its frame is handled.
func (l *Link) Observe(f *wire.Frame) {
	l.observed = max(l.observed, f.GetSentMs())
	if contact := l.provenContact(f); contact.After(l.ContactAt) {
		l.ContactAt = contact
	}
}

// provenContact returns the time at which a frame proves that the peer was alive, or the zero time.
func (l *Link) provenContact(f *wire.Frame) time.Time {
	echo := f.GetEchoMs()
	switch {
	case f.GetSentMs() == 0:
		return time.Now()
	case echo < 1 || echo > l.timestamp(l.LastSentAt):
		return time.Time{} // no echo, or not of a frame of this link
	default:
		return l.openedAt.Add(time.Duration(echo-1) * time.Millisecond)
	}
}

// timestamp returns a time as the frames of this end carry it, which is above zero.
func (l *Link) timestamp(t time.Time) int64 {
	return t.Sub(l.openedAt).Milliseconds() + 1
}

// Close closes the link at once, dropping queued frames.
func (l *Link) Close(reason string) {
	if l.conn != nil {
		l.conn.CloseWithError(0, reason)
	}
}

// Shutdown closes the link gracefully: once all queued frames have reached the peer, or
// shutdownTimeout after they were written. It does not wait.
func (l *Link) Shutdown() {
	select {
	case l.shutdown <- struct{}{}:
	default:
	}
}

// RemoteAddr returns the peer's address, for errors and logs.
func (l *Link) RemoteAddr() net.Addr {
	return l.conn.RemoteAddr()
}

func newLink(conn *quic.Conn, stream *quic.Stream, dialedAddress string) *Link {
	return &Link{
		DialedAddress: dialedAddress,
		openedAt:      time.Now(),
		conn:          conn,
		stream:        stream,
		outbox:        make(chan *wire.Frame, maxQueuedFrames),
		shutdown:      make(chan struct{}, 1),
		reader:        bufio.NewReaderSize(stream, readBufferBytes),
		writer:        bufio.NewWriterSize(stream, writeBufferBytes),
	}
}

// exchangeHellos exchanges hellos, sets Peer from the received one, and checks the peer's
// name and role against its certificate.
func (l *Link) exchangeHellos(self host.Host) error {
	l.stream.SetDeadline(time.Now().Add(helloTimeout))
	defer l.stream.SetDeadline(time.Time{})
	hello := &wire.Frame{Body: &wire.Frame_Hello{Hello: EncodeHost(self)}}
	if err := l.bufferFrame(hello); err != nil {
		return errors.Annotatef(err, "send hello to %s", l.RemoteAddr())
	}
	if err := l.writer.Flush(); err != nil {
		return errors.Annotatef(err, "send hello to %s", l.RemoteAddr())
	}
	peer, err := readHello(l.reader)
	if err != nil {
		return errors.Annotatef(err, "read hello from %s", l.RemoteAddr())
	}
	l.Peer = DecodeHost(peer)
	return l.checkIdentity()
}

// readHello reads the first frame of a peer, which must be a hello.
func readHello(r *bufio.Reader) (*wire.Hello, error) {
	f, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return nil, err
	}
	if f.GetHello() == nil {
		return nil, errors.New("the first frame is not a hello")
	}
	return f.GetHello(), nil
}

func (l *Link) checkIdentity() error {
	name, role, err := certs.PeerIdentity(l.conn.ConnectionState().TLS)
	if err != nil {
		return errors.Annotatef(err, "check certificate of %s", l.RemoteAddr())
	}
	if name != l.Peer.Name || role != l.Peer.Role {
		return errors.Errorf("check certificate of %s: the certificate is for %s %s, the hello claims %s %s",
			l.RemoteAddr(), role, name, l.Peer.Role, l.Peer.Name)
	}
	if l.Peer.Incarnation == "" {
		return errors.Errorf("check hello of %s: the incarnation is missing", l.RemoteAddr())
	}
	return nil
}

// bufferFrame appends a frame to the write buffer; the caller flushes it.
func (l *Link) bufferFrame(f *wire.Frame) error {
	_, err := protodelim.MarshalTo(l.writer, f)
	return err
}

// readFrame reads a frame of at most the given size.
func readFrame(r *bufio.Reader, maxBytes int64) (*wire.Frame, error) {
	f := &wire.Frame{}
	o := protodelim.UnmarshalOptions{MaxSize: maxBytes}
	if err := o.UnmarshalFrom(r, f); err != nil {
		return nil, err
	}
	return f, nil
}

// run sends and receives frames until the link ends, and returns the reason.
func (l *Link) run(ctx context.Context, events chan<- Event) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 2)
	go func() { done <- guard.Call("read", func() error { return l.readLoop(ctx, events) }) }()
	go func() { done <- guard.Call("write", func() error { return l.writeLoop(ctx) }) }()
	err := <-done
	cancel()
	l.Close("link ended")
	<-done
	return err
}

// readLoop passes received frames to the owner until the link or ctx ends.
func (l *Link) readLoop(ctx context.Context, events chan<- Event) error {
	for {
		f, err := readFrame(l.reader, MaxFrameBytes)
		if err != nil {
			return errors.Annotatef(err, "read from %s", l.Peer.Name)
		}
		select {
		case events <- Event{Type: Received, Link: l, Frame: f}:
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "read from %s", l.Peer.Name)
		}
	}
}

// writeLoop writes queued frames until the link or ctx ends.
func (l *Link) writeLoop(ctx context.Context) error {
	for {
		select {
		case f := <-l.outbox:
			if err := l.writeBatch(f); err != nil {
				return errors.Annotatef(err, "write to %s", l.Peer.Name)
			}
		case <-l.shutdown:
			return l.flushAndClose()
		case <-ctx.Done():
			return errors.Annotatef(ctx.Err(), "write to %s", l.Peer.Name)
		case <-l.conn.Context().Done():
			return errors.Annotatef(context.Cause(l.conn.Context()), "write to %s", l.Peer.Name)
		}
	}
}

// writeBatch writes f and all frames queued behind it, then flushes once.
func (l *Link) writeBatch(f *wire.Frame) error {
	for {
		if err := l.bufferFrame(f); err != nil {
			return err
		}
		select {
		case f = <-l.outbox:
		default:
			return l.writer.Flush()
		}
	}
}

// flushAndClose writes the queued frames, ends the stream, and waits for the peer to
// close the connection. Closing it here would drop data that is still in flight. It returns
// an error that wraps io.EOF, which marks a graceful end.
func (l *Link) flushAndClose() error {
	select {
	case f := <-l.outbox:
		if err := l.writeBatch(f); err != nil {
			return errors.Annotatef(err, "write to %s", l.Peer.Name)
		}
	default:
	}
	if err := l.stream.Close(); err != nil {
		return errors.Annotatef(err, "shut down link to %s", l.Peer.Name)
	}
	t := time.NewTimer(shutdownTimeout)
	defer t.Stop()
	select {
	case <-l.conn.Context().Done():
	case <-t.C:
	}
	return errors.Annotatef(io.EOF, "shut down link to %s", l.Peer.Name)
}

// Preferred reports whether l is the link to keep when self and a peer have dialed each
// other. The link dialed by the lower incarnation is kept.
func Preferred(l *Link, self host.Host) bool {
	selfLower := self.Incarnation < l.Peer.Incarnation
	return (l.DialedAddress != "") == selfLower
}

// EncodeHost encodes a host as a hello.
func EncodeHost(h host.Host) *wire.Hello {
	return &wire.Hello{
		Name:        h.Name,
		Incarnation: h.Incarnation,
		Role:        string(h.Role),
		Region:      h.Location.Region,
		Zone:        h.Location.Zone,
		Rack:        h.Location.Rack,
		Address:     h.Address,
	}
}

// DecodeHost decodes the host in a hello.
func DecodeHost(m *wire.Hello) host.Host {
	return host.Host{
		Name:        m.GetName(),
		Incarnation: m.GetIncarnation(),
		Role:        host.Role(m.GetRole()),
		Location:    zone.Location{Region: m.GetRegion(), Zone: m.GetZone(), Rack: m.GetRack()},
		Address:     m.GetAddress(),
	}
}
