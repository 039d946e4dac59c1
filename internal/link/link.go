// Package link carries frames between the system's processes over QUIC, with
// mutual TLS. A Node owns the listening socket and the dialers; each Link owns its
// connection, and a dialed one its own UDP socket as well.
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
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// Bounds of a link.
const (
	// MaxFrameBytes is the largest frame that is read.
	MaxFrameBytes = 16 << 20
	// outboxFrames is the most frames that wait for a slow peer; then the link is
	// closed, since its task may not block its senders.
	outboxFrames    = 2048
	writeBuffer     = 8 << 10
	readBuffer      = 8 << 10
	helloTimeout    = 3 * time.Second
	finishTimeout   = 2 * time.Second
	streamWindow    = 1 << 20
	maxStreamWindow = 8 << 20
)

// EventType is what happened on a link.
type EventType int

// The events of a link: Up first, Down last.
const (
	Up EventType = iota
	Received
	Down
)

// Event is a message of a link to its node's owner.
type Event struct {
	Type EventType
	Link *Link
	// Frame is set for Got.
	Frame *wire.Frame
	// Err is the reason of Down.
	Err error
}

// Link is one connection to one peer.
type Link struct {
	// Peer is what the other end said of itself, checked against its certificate.
	Peer host.Host
	// DialedAddress is the address that was dialed; empty on the accepting side.
	DialedAddress string
	// LastSentAt is when the owner last sent a frame: an idle link needs a pulse.
	LastSentAt time.Time

	conn   *quic.Conn
	stream *quic.Stream
	outbox chan *wire.Frame
	finish chan struct{}
	reader *bufio.Reader
	writer *bufio.Writer
}

// Send queues a frame and never blocks. A link whose outbox is full is closed, and
// false is returned.
func (l *Link) Send(f *wire.Frame) bool {
	l.LastSentAt = time.Now()
	select {
	case l.outbox <- f:
		return true
	default:
		l.Close("outbox full")
		return false
	}
}

// Close ends the link at once.
func (l *Link) Close(reason string) {
	l.conn.CloseWithError(0, reason)
}

// Shutdown ends the link once all queued frames have reached the peer.
func (l *Link) Shutdown() {
	select {
	case l.finish <- struct{}{}:
	default:
	}
}

// RemoteAddr returns the peer's address, for errors and logs.
func (l *Link) RemoteAddr() net.Addr {
	return l.conn.RemoteAddr()
}

func newLink(conn *quic.Conn, stream *quic.Stream, dialed string) *Link {
	return &Link{
		DialedAddress: dialed,
		conn:          conn,
		stream:        stream,
		outbox:        make(chan *wire.Frame, outboxFrames),
		finish:        make(chan struct{}, 1),
		reader:        bufio.NewReaderSize(stream, readBuffer),
		writer:        bufio.NewWriterSize(stream, writeBuffer),
	}
}

// greet exchanges hellos and checks the peer's claim against its certificate.
func (l *Link) greet(self host.Host) error {
	l.stream.SetDeadline(time.Now().Add(helloTimeout))
	defer l.stream.SetDeadline(time.Time{})
	hello := &wire.Frame{Body: &wire.Frame_Hello{Hello: EncodeHost(self)}}
	if err := l.write(hello); err != nil {
		return errors.Annotatef(err, "send hello to %s", l.RemoteAddr())
	}
	if err := l.writer.Flush(); err != nil {
		return errors.Annotatef(err, "send hello to %s", l.RemoteAddr())
	}
	f, err := l.read()
	if err != nil {
		return errors.Annotatef(err, "read hello of %s", l.RemoteAddr())
	}
	if f.GetHello() == nil {
		return errors.Errorf("read hello of %s: another frame came first", l.RemoteAddr())
	}
	l.Peer = DecodeHost(f.GetHello())
	return l.checkIdentity()
}

func (l *Link) checkIdentity() error {
	name, role, err := certs.PeerIdentity(l.conn.ConnectionState().TLS)
	if err != nil {
		return errors.Annotatef(err, "check certificate of %s", l.RemoteAddr())
	}
	if name != l.Peer.Name || role != l.Peer.Role {
		return errors.Errorf("check certificate of %s: it is %s %s, but says %s %s",
			l.RemoteAddr(), role, name, l.Peer.Role, l.Peer.Name)
	}
	if l.Peer.Incarnation == "" {
		return errors.Errorf("check hello of %s: no incarnation", l.RemoteAddr())
	}
	return nil
}

func (l *Link) write(f *wire.Frame) error {
	_, err := protodelim.MarshalTo(l.writer, f)
	return err
}

func (l *Link) read() (*wire.Frame, error) {
	f := &wire.Frame{}
	o := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := o.UnmarshalFrom(l.reader, f); err != nil {
		return nil, err
	}
	return f, nil
}

// run carries frames until the link ends, and returns why.
func (l *Link) run(ctx context.Context, events chan<- Event) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 2)
	go l.readLoop(ctx, events, done)
	go l.writeLoop(ctx, done)
	err := <-done
	cancel()
	l.Close("link ended")
	<-done
	return err
}

func (l *Link) readLoop(ctx context.Context, events chan<- Event, done chan<- error) {
	for {
		f, err := l.read()
		if err != nil {
			done <- errors.Annotatef(err, "read from %s", l.Peer.Name)
			return
		}
		select {
		case events <- Event{Type: Received, Link: l, Frame: f}:
		case <-ctx.Done():
			done <- errors.Annotatef(ctx.Err(), "read from %s", l.Peer.Name)
			return
		}
	}
}

func (l *Link) writeLoop(ctx context.Context, done chan<- error) {
	for {
		select {
		case f := <-l.outbox:
			if err := l.writeBatch(f); err != nil {
				done <- errors.Annotatef(err, "write to %s", l.Peer.Name)
				return
			}
		case <-l.finish:
			done <- l.finishWriting()
			return
		case <-ctx.Done():
			done <- errors.Annotatef(ctx.Err(), "write to %s", l.Peer.Name)
			return
		case <-l.conn.Context().Done():
			done <- errors.Annotatef(context.Cause(l.conn.Context()), "write to %s", l.Peer.Name)
			return
		}
	}
}

// writeBatch writes f and all frames that wait behind it, then flushes once.
func (l *Link) writeBatch(f *wire.Frame) error {
	for {
		if err := l.write(f); err != nil {
			return err
		}
		select {
		case f = <-l.outbox:
		default:
			return l.writer.Flush()
		}
	}
}

// finishWriting writes out the queue, ends the stream, and waits for the peer to
// close the connection: closing it here would drop what is still in flight.
func (l *Link) finishWriting() error {
	select {
	case f := <-l.outbox:
		if err := l.writeBatch(f); err != nil {
			return errors.Annotatef(err, "write to %s", l.Peer.Name)
		}
	default:
	}
	if err := l.stream.Close(); err != nil {
		return errors.Annotatef(err, "finish link to %s", l.Peer.Name)
	}
	t := time.NewTimer(finishTimeout)
	defer t.Stop()
	select {
	case <-l.conn.Context().Done():
	case <-t.C:
	}
	return errors.Annotatef(io.EOF, "finish link to %s", l.Peer.Name)
}

// Preferred reports whether l is the one to keep of two links between self and a
// peer that dialed each other: the one dialed by the lower incarnation.
func Preferred(l *Link, self host.Host) bool {
	selfLower := self.Incarnation < l.Peer.Incarnation
	return (l.DialedAddress != "") == selfLower
}

// EncodeHost encodes a host.
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

// DecodeHost decodes a host.
func DecodeHost(m *wire.Hello) host.Host {
	return host.Host{
		Name:        m.GetName(),
		Incarnation: m.GetIncarnation(),
		Role:        host.Role(m.GetRole()),
		Location:    zone.Location{Region: m.GetRegion(), Zone: m.GetZone(), Rack: m.GetRack()},
		Address:     m.GetAddress(),
	}
}
