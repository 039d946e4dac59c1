package fakes

import (
	"context"
	"net"

	"github.com/juju/errors"
)

// Relay is a path between a dialer and a UDP address that can lose track of flows:
// after Silence, packets of the flows that exist are dropped for good, in both
// directions, while new flows pass. One task owns the flows.
type Relay struct {
	target  *net.UDPAddr
	socket  *net.UDPConn
	packets chan relayPacket
	silence chan chan<- int
	block   chan bool
}

// relayPacket is a packet of a dialer, or, with back set, of the target.
type relayPacket struct {
	flow string
	from *net.UDPAddr
	data []byte
	back bool
}

type relayFlow struct {
	client *net.UDPAddr
	socket *net.UDPConn
	silent bool
}

const (
	relayBuffer   = 1024
	maxPacketSize = 2048
)

// NewRelay binds a relay to a target address and returns it with its own address.
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
		target:  addr,
		socket:  s,
		packets: make(chan relayPacket, relayBuffer),
		silence: make(chan chan<- int),
		block:   make(chan bool),
	}
	return r, s.LocalAddr().String(), nil
}

// DropFlows drops all flows that exist, and returns how many there were.
func (r *Relay) DropFlows(ctx context.Context) int {
	n := make(chan int, 1)
	select {
	case r.silence <- n:
		return <-n
	case <-ctx.Done():
		return 0
	}
}

// Block drops all packets, of new flows as well, until it is called with false.
func (r *Relay) Block(ctx context.Context, blocked bool) {
	select {
	case r.block <- blocked:
	case <-ctx.Done():
	}
}

// Run passes packets until ctx ends, and then reports on done.
func (r *Relay) Run(ctx context.Context, done chan<- error) {
	ends := make(chan struct{}, relayBuffer)
	tasks := 1
	go r.readClients(ctx, ends)
	flows := map[string]*relayFlow{}
	blocked := false
	for {
		select {
		case p := <-r.packets:
			if !blocked {
				tasks += r.pass(ctx, p, flows, ends)
			}
		case blocked = <-r.block:
		case n := <-r.silence:
			for _, f := range flows {
				f.silent = true
			}
			n <- len(flows)
		case <-ctx.Done():
			r.socket.Close()
			for _, f := range flows {
				f.socket.Close()
			}
			for ; tasks > 0; tasks-- {
				<-ends
			}
			done <- errors.Annotate(ctx.Err(), "relay")
			return
		}
	}
}

// pass forwards one packet and returns the number of tasks that it started.
func (r *Relay) pass(ctx context.Context, p relayPacket, flows map[string]*relayFlow, ends chan<- struct{}) int {
	f := flows[p.flow]
	if p.back {
		if f != nil && !f.silent {
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
		go r.readTarget(ctx, p.flow, s, ends)
	}
	if !f.silent {
		f.socket.Write(p.data)
	}
	return started
}

func (r *Relay) readClients(ctx context.Context, ends chan<- struct{}) {
	defer func() { ends <- struct{}{} }()
	buf := make([]byte, maxPacketSize)
	for {
		n, from, err := r.socket.ReadFromUDP(buf)
		if err != nil {
			return
		}
		r.offer(ctx, relayPacket{flow: from.String(), from: from, data: append([]byte(nil), buf[:n]...)})
	}
}

func (r *Relay) readTarget(ctx context.Context, flow string, s *net.UDPConn, ends chan<- struct{}) {
	defer func() { ends <- struct{}{} }()
	buf := make([]byte, maxPacketSize)
	for ctx.Err() == nil {
		n, err := s.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the target is not there at present
		}
		r.offer(ctx, relayPacket{flow: flow, data: append([]byte(nil), buf[:n]...), back: true})
	}
}

func (r *Relay) offer(ctx context.Context, p relayPacket) {
	select {
	case r.packets <- p:
	case <-ctx.Done():
	}
}
