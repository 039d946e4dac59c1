package caller_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/examples"
	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
	"github.com/turmericbarrow/turmericbarrow/pkg/caller"
)

func TestClientSubmitsOnceUnderOneKeyAndReportsProblems(t *testing.T) {
	contracts, err := examples.Contracts()
	require.NoError(t, err)
	starts := make(chan fakes.TaskStart, 100)
	s, err := local.Start(context.Background(), local.Options{
		Entries: 2, Contracts: contracts,
		Upstreams: []fakes.UpstreamSettings{{Name: "minion-1", Slots: 8, Connections: 60, Speed: 1, HoldMS: 1000,
			ServiceTimesMS: map[string]float64{"availability": 5, "assignment": 5}, OnStart: func(st fakes.TaskStart) { starts <- st }}},
	}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	require.NoError(t, err)
	defer s.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ctx := context.Background()
	c := caller.New(caller.Settings{HTTP: client, Token: "lusofala-events-token",
		Entries: []string{"http://" + s.Entries[0].Addresses.Callers, "http://" + s.Entries[1].Addresses.Callers}})

	key := c.Key(ctx)
	require.Contains(t, key, "t1.", "the key is a ticket if an entry issues one")
	first, err := c.Do(ctx, caller.Request{Kind: "assignment", Key: key, Payload: []byte("x")})
	require.NoError(t, err)
	second, err := c.Do(ctx, caller.Request{Kind: "assignment", Key: key, Payload: []byte("x")})
	require.NoError(t, err)
	require.Equal(t, first, second)
	require.Len(t, starts, 1)

	results, err := c.DoJob(ctx, caller.Job{Kind: "assignment", Payloads: []json.RawMessage{json.RawMessage("1"), json.RawMessage("2")}})
	require.NoError(t, err)
	require.Len(t, results, 2)

	_, err = c.Do(ctx, caller.Request{Kind: "nothing"})
	var p *caller.Problem
	require.True(t, errors.As(err, &p), "%v", err)
	require.Equal(t, caller.RanNo, p.Ran)
	require.Equal(t, http.StatusNotFound, p.Status)
}

func TestRetriesUseTheSameKey(t *testing.T) {
	keys := make(chan string, 10)
	refusals := make(chan string, 2)
	refusals <- `{"type":"urn:turmericbarrow:problem:shutting_down","ran":"no"}`
	refusals <- `{"type":"urn:turmericbarrow:problem:fate_unknown","ran":"maybe"}`
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/tickets" {
			io.WriteString(w, `{"tickets":["t1.a.b.c"]}`)
			return
		}
		keys <- r.Header.Get("Idempotency-Key")
		select {
		case body := <-refusals:
			w.Header().Set("Retry-After", "2")
			w.WriteHeader(http.StatusServiceUnavailable)
			io.WriteString(w, body)
		default:
			w.Header().Set("Next-Ticket", "t1.d.e.f")
			io.WriteString(w, "whole")
		}
	}))
	defer server.Close()
	c := caller.New(caller.Settings{Entries: []string{server.URL}, Wait: time.Millisecond, HTTP: server.Client()})
	a, err := c.Do(context.Background(), caller.Request{Kind: "assignment"})
	require.NoError(t, err)
	require.Equal(t, "whole", string(a.Body))
	for range 3 {
		require.Equal(t, "t1.a.b.c", <-keys)
	}
	require.Equal(t, "t1.d.e.f", c.Key(context.Background()), "the next key is the ticket that came with the answer")

	refusals <- `{"type":"urn:turmericbarrow:problem:rate_limit","ran":"no","line":"rate.per_second"}`
	_, err = c.Do(context.Background(), caller.Request{Kind: "assignment", Key: "k"})
	var p *caller.Problem
	require.True(t, errors.As(err, &p))
	require.Equal(t, 2*time.Second, p.RetryAfter)
	require.Equal(t, "rate.per_second", p.Line)
	require.Len(t, keys, 1, "a rate limited request is not retried immediately")
}

func TestKeyIsPlainWhenNoEntryIssuesTickets(t *testing.T) {
	c := caller.New(caller.Settings{Entries: []string{"http://127.0.0.1:1"}})
	require.Len(t, c.Key(context.Background()), 36)
}
