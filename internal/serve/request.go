package serve

import (
	"io"
	"net/http"
	"os"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/admit"
)

// extensionBytes is the smallest cost that Extend acquires. Smaller ones, such as those of jobs of
// fewer than 52 tasks, are not charged.
const extensionBytes = 8 << 10

// Extend acquires further bytes for a decoded request. If it reports false, the process has no
// memory for the request, which must then be refused as not run.
func Extend(r *http.Request, cost int64) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return !ok || cost < extensionBytes || c.gate.extend(c.client, cost)
}

// body is the body of a request on conn.
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
