package fakes

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
)

// Relay forwards UDP packets between clients and a target address. Like a stateful middlebox
// that loses track of its flows, it can permanently drop the packets of all existing flows in
// both directions, while new flows pass. One goroutine owns the flows.
type Relay struct {
	target    *net.UDPAddr
	socket    *net.UDPConn
	packets   chan relayPacket
	dropFlows chan chan<- int
	block     chan bool
	delay     chan time.Duration
}

// relayPacket is a packet from a client or, if fromTarget is set, from the target.
type relayPacket struct {
	flow       string
	from       *net.UDPAddr
	data       []byte
	fromTarget bool
}

type relayFlow struct {
	client  *net.UDPAddr
	socket  *net.UDPConn
	dropped bool
}

const (
	relayBuffer   = 1024
	maxPacketSize = 2048
)

// NewRelay returns a relay to a target address, and the address on which it listens.
func NewRelay(target string) (*Relay, string, error) {
	addr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, "", errors.Annotatef(err, "relay to %s", target)
	}
	s, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, "", errors.Annotatef(err, "relay to %s", target)
	}
	r := &Relay{
		target:    addr,
		socket:    s,
		packets:   make(chan relayPacket, relayBuffer),
		dropFlows: make(chan chan<- int),
		block:     make(chan bool),
		delay:     make(chan time.Duration),
	}
	return r, s.LocalAddr().String(), nil
}

// DropFlows drops all further packets of the existing flows and returns the number of these
// flows.
func (r *Relay) DropFlows(ctx context.Context) int {
	n := make(chan int, 1)
	select {
	case r.dropFlows <- n:
		return <-n
	case <-ctx.Done():
		return 0
	}
}

// SetBlocked drops all packets, including those of new flows, until it is called with false.
func (r *Relay) SetBlocked(ctx context.Context, blocked bool) {
	select {
	case r.block <- blocked:
	case <-ctx.Done():
	}
}

// SetDelay holds the further packets from the target back for d, like a client that is slow to
// read. Those that are held back are delivered even if the relay is blocked meanwhile.
func (r *Relay) SetDelay(ctx context.Context, d time.Duration) {
	select {
	case r.delay <- d:
	case <-ctx.Done():
	}
}

// Run forwards packets until ctx ends, and then sends the error of ctx to done.
func (r *Relay) Run(ctx context.Context, done chan<- error) {
	readerDone := make(chan struct{}, relayBuffer)
	readers := 1
	go r.readClients(ctx, readerDone)
	flows := map[string]*relayFlow{}
	blocked, delay := false, time.Duration(0)
	for {
		select {
		case p := <-r.packets:
			if !blocked {
				readers += r.forward(ctx, p, delay, flows, readerDone)
			}
		case blocked = <-r.block:
		case delay = <-r.delay:
		case n := <-r.dropFlows:
			for _, f := range flows {
				f.dropped = true
			}
			n <- len(flows)
		case <-ctx.Done():
			r.socket.Close()
			for _, f := range flows {
				f.socket.Close()
			}
			for ; readers > 0; readers-- {
				<-readerDone
			}
			done <- errors.Annotate(ctx.Err(), "relay")
			return
		}
	}
}

// forward sends a packet to the other side, after delay if it is from the target. It starts a
// reader if the flow is new, and returns the number of readers started.
func (r *Relay) forward(ctx context.Context, p relayPacket, delay time.Duration, flows map[string]*relayFlow, readerDone chan<- struct{}) int {
	f := flows[p.flow]
	if p.fromTarget {
		if f != nil && !f.dropped {
			r.deliver(p.data, f.client, delay)
		}
		return 0
	}
	started := 0
	if f == nil {
		s, err := net.DialUDP("udp", nil, r.target)
		if err != nil {
			return 0
		}
		f = &relayFlow{client: p.from, socket: s}
		flows[p.flow] = f
		started = 1
		go r.readTarget(ctx, p.flow, s, readerDone)
	}
	if !f.dropped {
		f.socket.Write(p.data)
	}
	return started
}

// deliver sends a packet to a client after delay. A write after the end of Run has no effect.
func (r *Relay) deliver(data []byte, client *net.UDPAddr, delay time.Duration) {
	if delay == 0 {
		r.socket.WriteToUDP(data, client)
		return
	}
	time.AfterFunc(delay, func() { r.socket.WriteToUDP(data, client) })
}

func (r *Relay) readClients(ctx context.Context, readerDone chan<- struct{}) {
	defer func() { readerDone <- struct{}{} }()
	buf := make([]byte, maxPacketSize)
	for {
		n, from, err := r.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.enqueue(ctx, relayPacket{flow: from.String(), from: from, data: append([]byte(nil), buf[:n]...)})
	}
}

func (r *Relay) readTarget(ctx context.Context, flow string, s *net.UDPConn, readerDone chan<- struct{}) {
	defer func() { readerDone <- struct{}{} }()
	buf := make([]byte, maxPacketSize)
	for ctx.Err() == nil {
		n, err := s.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the target is currently unreachable
		}
		r.enqueue(ctx, relayPacket{flow: flow, data: append([]byte(nil), buf[:n]...), fromTarget: true})
	}
}

func (r *Relay) enqueue(ctx context.Context, p relayPacket) {
	select {
	case r.packets <- p:
	case <-ctx.Done():
	}
}
