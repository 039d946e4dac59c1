package fakes

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
)

// StallingRelay forwards UDP packets between one client and a target. While it stalls, it forwards
// them only at the end of each slot, as between hosts whose processes run at intervals. One
// goroutine owns the packets.
type StallingRelay struct {
	slot    time.Duration
	socket  *net.UDPConn
	target  *net.UDPConn
	packets chan relayPacket
	stall   chan struct{}
	block   chan struct{}
}

// NewStallingRelay returns a relay to a target address, and the address on which it listens.
func NewStallingRelay(target string, slot time.Duration) (*StallingRelay, string, error) {
	addr, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, "", errors.Annotatef(err, "relay to %s", target)
	}
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, "", errors.Annotatef(err, "relay to %s", target)
	}
	upstream, err := net.DialUDP("udp4", nil, addr)
	if err != nil {
		socket.Close()
		return nil, "", errors.Annotatef(err, "relay to %s", target)
	}
	return &StallingRelay{slot: slot, socket: socket, target: upstream, packets: make(chan relayPacket, relayBuffer),
		stall: make(chan struct{}, 1), block: make(chan struct{}, 1)}, socket.LocalAddr().String(), nil
}

// Stall makes the relay forward packets only at the end of each slot from now on.
func (r *StallingRelay) Stall() { r.stall <- struct{}{} }

// Block makes the relay drop all packets from now on.
func (r *StallingRelay) Block() { r.block <- struct{}{} }

// Run forwards packets until ctx ends, and then sends the error of ctx to done.
func (r *StallingRelay) Run(ctx context.Context, done chan<- error) {
	readers := make(chan struct{}, 2)
	go r.read(ctx, r.socket, false, readers)
	go r.read(ctx, r.target, true, readers)
	r.forward(ctx)
	r.socket.Close()
	r.target.Close()
	<-readers
	<-readers
	done <- errors.Annotate(ctx.Err(), "relay")
}

// forward forwards packets until ctx ends.
func (r *StallingRelay) forward(ctx context.Context) {
	slots := time.NewTicker(r.slot)
	defer slots.Stop()
	var client *net.UDPAddr
	var pending []relayPacket
	stalled, blocked := false, false
	for {
		select {
		case p := <-r.packets:
			if !p.fromTarget {
				client = p.from
			}
			pending = append(pending, p)
			if stalled {
				continue
			}
		case <-slots.C:
		case <-r.stall:
			stalled = true
		case <-r.block:
			blocked = true
		case <-ctx.Done():
			return
		}
		for _, p := range pending {
			if !blocked {
				r.send(p, client)
			}
		}
		pending = nil
	}
}

// send sends a packet to the target or, if it is from there, to the client.
func (r *StallingRelay) send(p relayPacket, client *net.UDPAddr) {
	if p.fromTarget {
		r.socket.WriteToUDP(p.data, client)
		return
	}
	r.target.Write(p.data)
}

func (r *StallingRelay) read(ctx context.Context, s *net.UDPConn, fromTarget bool, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, maxPacketSize)
	for {
		n, from, err := s.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the target is currently unreachable
		}
		select {
		case r.packets <- relayPacket{from: from, data: append([]byte(nil), buf[:n]...), fromTarget: fromTarget}:
		case <-ctx.Done():
			return
		}
	}
}
