package serve_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/serve"
)

func TestReadTimeoutDoesNotCancelSlowHandler(t *testing.T) {
	s := serve.New("127.0.0.1:0", slog.New(slog.NewJSONHandler(io.Discard, nil)))
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
