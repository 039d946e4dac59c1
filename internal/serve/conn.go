package serve

import (
	"io"
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

// conn is a connection that acquires the bytes which it reads. Its fields are used by the
// goroutine that serves the connection, and by the server's background read, which never runs
// at the same time.
type conn struct {
	net.Conn
	gate   *Gate
	client *admit.Conn
	// credit is what was acquired and is not used.
	credit int64
	// inHeaders is set from the end of a request until the headers of the next one are read.
	inHeaders bool
	// head is what has arrived of the current headers.
	head head
	// complete is set while a request that has arrived whole is served. Only the goroutine that
	// serves the connection uses it.
	complete bool
}

// Read reads and acquires what was read. It fails once the connection was shed.
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

// stateChanged follows the requests on a connection. The server calls it.
func stateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.inHeaders = false
		// The headers may have arrived together with the request before.
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

// extensionBytes is the smallest cost that Extend acquires. The bytes of an ordinary request
// include less.
const extensionBytes = 8 << 10

// Extend acquires further bytes for a decoded request. If it reports false, the process has no
// memory for the request, which must then be refused as not run.
func Extend(r *http.Request, cost int64) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return !ok || cost < extensionBytes || c.gate.extend(c.client, cost)
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads from the body and records its end.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case err == io.EOF:
		if !b.conn.arrived() {
			return n, errShed
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.gate.refuse(b.conn.client, admit.SlowBody)
	}
	return n, err
}

// recordArrival returns a handler that records when each request has arrived whole.
func recordArrival(h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			h.ServeHTTP(rw, r)
			return
		}
		if r.Body == http.NoBody {
			c.arrived()
			h.ServeHTTP(rw, r)
			return
		}
		// The server keeps using its own request, so this one is a copy.
		copied := *r
		copied.Body = &body{ReadCloser: r.Body, conn: c}
		h.ServeHTTP(rw, &copied)
	})
}
