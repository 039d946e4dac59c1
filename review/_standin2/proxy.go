package main

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Proxy passes TCP connections on to a target. While it is cut, it passes nothing in either
// direction and resets nothing, like a partition. What was held up on an open connection is passed
// on after it. The opening packet of a connection that is opened during the cut is lost, and is sent
// again 1, 3 and 7 s later; if its client has closed it by then, it never reaches the target.
type Proxy struct {
	target string
	mu     sync.Mutex
	cut    bool
	pairs  []pair
}

// pair is a connection from a client and the one that passes it on.
type pair struct{ client, target net.Conn }

// NewProxy serves a proxy at an address.
func NewProxy(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Reset resets the first n connections. The first of them is reset for its client only: the packet
// that resets it for the target is lost, and such packets are not sent again.
func (p *Proxy) Reset(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range p.pairs[:min(n, len(p.pairs))] {
		reset(c.client)
		if i > 0 {
			reset(c.target)
		}
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// Cut begins or ends the partition.
func (p *Proxy) Cut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *Proxy) await() {
	for p.isCut() {
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *Proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// awaitOpen waits until an opening packet gets through. It returns what the connection has sent
// meanwhile, and false if its client has closed it.
func (p *Proxy) awaitOpen(c net.Conn) (head []byte, open bool) {
	buffer := make([]byte, 32<<10)
	openedAt := time.Now()
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second, 7 * time.Second} {
		for time.Since(openedAt) < after {
			c.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
			n, err := c.Read(buffer)
			head = append(head, buffer[:n]...)
			if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
				return nil, false
			}
		}
		if !p.isCut() {
			c.SetReadDeadline(time.Time{})
			return head, true
		}
	}
	return nil, false
}

func (p *Proxy) serve(c net.Conn) {
	defer c.Close()
	head, open := p.awaitOpen(c)
	if !open {
		return
	}
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.pairs = append(p.pairs, pair{c, target})
	p.mu.Unlock()
	if _, err := target.Write(head); err != nil {
		target.Close()
		return
	}
	done := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			p.await()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(target, c)
	go pump(c, target)
	<-done
	if isOpen(c) {
		target.Close()
	}
}

// isOpen reports whether a connection has not been closed here. One that was reset by Reset has.
func isOpen(c net.Conn) bool {
	return c.SetDeadline(time.Time{}) == nil
}
