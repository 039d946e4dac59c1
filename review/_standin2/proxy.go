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
}

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
	defer target.Close()
	if _, err := target.Write(head); err != nil {
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
}
