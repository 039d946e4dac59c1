package serve_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/admit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/serve"
)

func newServer() *serve.Server {
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	return serve.New("127.0.0.1:0", serve.NewGate(admit.Defaults(0, 0), clock.New(), log), log)
}

func TestReadTimeoutDoesNotCancelSlowHandler(t *testing.T) {
	s := newServer()
	s.ReadTimeout = 200 * time.Millisecond
	address, err := s.Open()
	require.NoError(t, err)
	handlerErr := make(chan error, 1)
	h := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		if err != nil {
			handlerErr <- err
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(4 * s.ReadTimeout):
		}
		handlerErr <- r.Context().Err()
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go s.Run(ctx, h, done)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	resp, err := client.Post("http://"+address, "text/plain", strings.NewReader("x"))
	require.NoError(t, err)
	resp.Body.Close()
	require.NoError(t, <-handlerErr, "the request was cancelled while the client waited")
	cancel()
	<-done
}

// serveWith starts a server with the given limits, which the end of the test closes.
func serveWith(t *testing.T, s admit.Settings, h http.HandlerFunc) (*serve.Gate, string) {
	log := slog.New(slog.NewJSONHandler(io.Discard, nil))
	gate := serve.NewGate(s, clock.New(), log)
	server := serve.New("127.0.0.1:0", gate, log)
	address, err := server.Open()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go server.Run(ctx, h, done)
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return gate, address
}

func echoLength(rw http.ResponseWriter, r *http.Request) {
	n, _ := io.Copy(io.Discard, r.Body)
	fmt.Fprint(rw, n)
}

// Guards against a request whose many header lines take much more memory than their length.
func TestRequestWithTooManyHeaderLinesIsRefused(t *testing.T) {
	s := admit.Defaults(0, 0)
	s.HeaderLines = 50
	gate, address := serveWith(t, s, echoLength)
	for lines, want := range map[int]string{40: "HTTP/1.1 200", 100: "HTTP/1.1 400"} {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: q\r\nConnection: close\r\n"+strings.Repeat("a:\r\n", lines)+"\r\n")
		response, _ := io.ReadAll(conn)
		require.True(t, strings.HasPrefix(string(response), want), string(response))
		conn.Close()
	}
	var metrics strings.Builder
	gate.WriteMetrics(&metrics)
	require.Contains(t, metrics.String(), `turmericbarrow_clients_refused_total{reason="header_lines"} 1`)
}

// Guards against bytes that a connection keeps after its requests: pipelined requests, bodies
// in chunks and bodies that the handler does not read.
func TestAllIsReleasedAfterRequests(t *testing.T) {
	gate, address := serveWith(t, admit.Defaults(0, 0), func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unread" {
			return
		}
		echoLength(rw, r)
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	const count = 50
	for range count {
		io.WriteString(conn, "POST / HTTP/1.1\r\nHost: q\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: q\r\n\r\n"+
			"POST /unread HTTP/1.1\r\nHost: q\r\nContent-Length: 1\r\n\r\nx"+
			"POST / HTTP/1.1\r\nHost: q\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
		for _, want := range []string{"3", "0", "", "2"} {
			resp, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, want, string(got))
		}
	}
	conn.Close()
	require.Eventually(t, func() bool {
		var metrics strings.Builder
		gate.WriteMetrics(&metrics)
		return strings.Contains(metrics.String(), "turmericbarrow_client_bytes 0\n")
	}, 5*time.Second, 10*time.Millisecond)
}
