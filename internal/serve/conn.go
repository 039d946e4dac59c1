package serve

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/admit"
)

// errShed is the error of reads from a connection that was shed.
const errShed = errors.ConstError("connection closed to protect the process")

// writeTimeout bounds how long a client may leave a response unread.
const writeTimeout = 30 * time.Second

// listener admits the connections that it accepts.
type listener struct {
	net.Listener
	name string
	gate *Gate
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.open(l.name, socket); c != nil {
			return c, nil
		}
	}
}

// conn is a connection that acquires the bytes that it reads. Its fields are used by the goroutine
// that serves the connection and by the server's background read, but never at the same time.
type conn struct {
	net.Conn
	gate   *Gate
	client *admit.Conn
	// credit is the part of the acquired bytes that is not used yet.
	credit int64
	// inHeaders is set from the end of a request until the server has read the headers of the
	// next one.
	inHeaders bool
	// head is what has arrived of the current headers.
	head head
	// complete is set while a request that has arrived whole is served. Only the goroutine that
	// serves the connection uses it.
	complete bool
}

// Read reads bytes and acquires their cost. It fails once the connection was shed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.received(p[:n]) {
		return 0, errShed
	}
	if err != nil && c.inHeaders && c.head.bytes > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.refuse(c.client, admit.SlowHeaders)
	}
	return n, err
}

// received acquires the cost of bytes. It reports false if the connection was refused or shed.
func (c *conn) received(p []byte) bool {
	if !c.inHeaders {
		return c.spend(admit.BodyCost(len(p)))
	}
	length, lines := c.head.add(p)
	// The first line is the request line.
	if c.head.lines > c.gate.settings.HeaderLines+1 {
		c.gate.refuse(c.client, admit.HeaderLines)
		return false
	}
	return c.spend(admit.HeaderCost(length, lines) + admit.BodyCost(len(p)-length))
}

// spend takes a cost from the credit, and acquires more if that does not suffice. It reports false
// if the connection was shed.
func (c *conn) spend(cost int64) bool {
	if c.credit < cost {
		granted := c.gate.acquire(c.client, cost-c.credit)
		if granted == 0 {
			return false
		}
		c.credit += granted
	}
	c.credit -= cost
	return true
}

// Write writes, and fails if the client does not read for writeTimeout.
func (c *conn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}

// CloseWrite ends the server's side of the connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases what it acquired.
func (c *conn) Close() error {
	c.gate.close(c.client)
	return c.Conn.Close()
}

// stateChanged records where a request begins and ends on a connection. The server calls it.
func stateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.inHeaders = false
		// If the headers arrived together with the previous request, nothing was acquired for
		// this one yet.
		c.spend(1)
	case http.StateIdle:
		c.gate.finish(c.client)
		c.inHeaders, c.head, c.complete, c.credit = true, head{}, false, 0
	}
}

// arrived records that the current request has arrived whole. It reports false if the
// connection was shed before.
func (c *conn) arrived() bool {
	if !c.complete {
		c.complete = c.gate.complete(c.client)
	}
	return c.complete
}
