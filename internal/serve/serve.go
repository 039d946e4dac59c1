// Package serve is the task that owns one listening HTTP socket.
package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Bounds that every HTTP interface of the system has. A slow sender loses its
// connection, and large headers are refused.
const (
	maxHeaderBytes    = 16 << 10
	readHeaderTimeout = 5 * time.Second
	defaultRead       = 15 * time.Second
	idleTimeout       = 2 * time.Minute
	shutdownTimeout   = 3 * time.Second
)

// Server owns one listening socket.
type Server struct {
	// Listen is the address to listen on.
	Listen string
	// ReadTimeout is how long a whole request may take to arrive.
	ReadTimeout time.Duration
	log         *slog.Logger
	socket      net.Listener
	stop        chan struct{}
	last        chan struct{}
}

// New returns a server; Open it before Run.
func New(listen string, log *slog.Logger) *Server {
	return &Server{Listen: listen, ReadTimeout: defaultRead, log: log, stop: make(chan struct{}, 1), last: make(chan struct{}, 1)}
}

// Open binds the socket and returns its address.
func (s *Server) Open() (string, error) {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return "", errors.Annotatef(err, "listen on %s", s.Listen)
	}
	s.socket = l
	return l.Addr().String(), nil
}

// Close stops taking connections; what is in flight is finished.
func (s *Server) Close() {
	select {
	case s.stop <- struct{}{}:
	default:
	}
}

// DisableKeepAlives lets every connection end with its next answer, so that callers
// connect elsewhere; new connections are still taken.
func (s *Server) DisableKeepAlives() {
	select {
	case s.last <- struct{}{}:
	default:
	}
}

// Run serves until Close or until ctx ends, and then reports on done.
func (s *Server) Run(ctx context.Context, h http.Handler, done chan<- error) {
	hs := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       s.ReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	ended := make(chan error, 1)
	go func() { ended <- hs.Serve(s.socket) }()
	for serving := true; serving; {
		select {
		case <-s.last:
			hs.SetKeepAlivesEnabled(false)
		case <-ctx.Done():
			serving = false
		case <-s.stop:
			serving = false
		}
	}
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := hs.Shutdown(limit); err != nil {
		hs.Close()
	}
	done <- errors.Annotatef(<-ended, "serve on %s", s.Listen)
}
