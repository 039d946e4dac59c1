package serve

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sys/unix"
)

// connKey is the context key of the connection of a request.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// States of a TCP connection in the kernel, of which the unix package names none.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// ClientLeft reports whether the client of a request has closed or reset its connection. The
// context of a request ends only once the server has read the end of the connection, which takes
// long on a busy host; bytes that the client sent before hide it altogether. It returns false if
// the state of the connection is not known.
func ClientLeft(r *http.Request) bool {
	if r.Context().Err() != nil {
		return true
	}
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		left = err == nil && (info.State == tcpClose || info.State == tcpCloseWait)
	})
	return err == nil && left
}
