package fakes

import (
	"context"
	"net"

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

// Run forwards packets until ctx ends, and then sends the error of ctx to done.
func (r *Relay) Run(ctx context.Context, done chan<- error) {
	readerDone := make(chan struct{}, relayBuffer)
	readers := 1
	go r.readClients(ctx, readerDone)
	flows := map[string]*relayFlow{}
	blocked := false
	for {
		select {
		case p := <-r.packets:
			if !blocked {
				readers += r.forward(ctx, p, flows, readerDone)
			}
		case blocked = <-r.block:
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

// forward sends a packet to the other side. It starts a reader if the flow is new, and
// returns the number of readers started.
func (r *Relay) forward(ctx context.Context, p relayPacket, flows map[string]*relayFlow, readerDone chan<- struct{}) int {
	f := flows[p.flow]
	if p.fromTarget {
		if f != nil && !f.dropped {
			r.socket.WriteToUDP(p.data, f.client)
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
