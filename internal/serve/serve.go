// Package serve provides an HTTP server with the limits, the admission control and the shutdown
// that all HTTP interfaces of the system share.
package serve

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Limits of every HTTP interface of the system. The server closes the connection of a client
// that sends too slowly, and rejects requests whose headers exceed maxHeaderBytes.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	shutdownTimeout   = 3 * time.Second
)

// Server is an HTTP server on one listening socket, which the goroutine of Run owns.
type Server struct {
	// Listen is the address to listen on.
	Listen string
	// ReadTimeout is the maximum time for reading a whole request, including the body.
	ReadTimeout       time.Duration
	gate              *Gate
	log               *slog.Logger
	socket            net.Listener
	stop              chan struct{}
	disableKeepAlives chan struct{}
}

// New returns a server that admits clients through the gate of the process. Open must be called
// before Run.
func New(listen string, g *Gate, log *slog.Logger) *Server {
	return &Server{Listen: listen, ReadTimeout: g.settings.BodyTimeout.Duration(), gate: g, log: log, stop: make(chan struct{}, 1), disableKeepAlives: make(chan struct{}, 1)}
}

// Open binds the socket and returns its address.
func (s *Server) Open() (string, error) {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return "", errors.Annotatef(err, "listen on %s", s.Listen)
	}
	s.socket = &listener{Listener: l, name: l.Addr().String(), gate: s.gate}
	return l.Addr().String(), nil
}

// Decode calls Gate.Decode of the gate of the process.
func (s *Server) Decode(ctx context.Context, size int, f func()) error {
	return s.gate.Decode(ctx, size, f)
}

// WriteClientMetrics writes the metrics of the gate of the process.
func (s *Server) WriteClientMetrics(w io.Writer) {
	s.gate.WriteMetrics(w)
}

// Close stops accepting connections and makes Run return after the requests in progress
// have completed, or after shutdownTimeout.
func (s *Server) Close() {
	select {
	case s.stop <- struct{}{}:
	default:
	}
}

// DisableKeepAlives closes every connection after its next response, so that callers
// connect to another process. New connections are still accepted.
func (s *Server) DisableKeepAlives() {
	select {
	case s.disableKeepAlives <- struct{}{}:
	default:
	}
}

// Run serves until Close is called or ctx ends, shuts down and then sends the error of
// the server to done.
func (s *Server) Run(ctx context.Context, h http.Handler, done chan<- error) {
	hs := &http.Server{
		Handler:           recordArrival(h),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       s.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
		ConnContext:       withConn,
		ConnState:         stateChanged,
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- hs.Serve(s.socket) }()
	for serving := true; serving; {
		select {
		case <-s.disableKeepAlives:
			hs.SetKeepAlivesEnabled(false)
		case <-ctx.Done():
			serving = false
		case <-s.stop:
			serving = false
		}
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := hs.Shutdown(shutdownCtx); err != nil {
		hs.Close()
	}
	done <- errors.Annotatef(<-serveErr, "serve on %s", s.Listen)
}
