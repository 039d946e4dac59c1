package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkOrdinaryRequest measures a request with a body of 2 KB on a connection that is kept.
// docs/CAPACITY.md has its result.
func BenchmarkOrdinaryRequest(b *testing.B) {
	s := newServer()
	address, err := s.Open()
	require.NoError(b, err)
	h := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		rw.WriteHeader(http.StatusNoContent)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go s.Run(ctx, h, done)
	conn, err := net.Dial("tcp", address)
	require.NoError(b, err)
	request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: q\r\nContent-Length: 2000\r\n\r\n%s", strings.Repeat("x", 2000))
	reader := bufio.NewReader(conn)
	for b.Loop() {
		io.WriteString(conn, request)
		resp, err := http.ReadResponse(reader, nil)
		require.NoError(b, err)
		resp.Body.Close()
	}
	conn.Close()
	cancel()
	<-done
}
