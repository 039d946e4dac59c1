package agent

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
)

// Limits of a call to the upstream.
const (
	maxResponseBytes = 8 << 20
	connectTimeout   = time.Second
	idleConnTimeout  = 30 * time.Second
)

// callResult reports the outcome of a call to the agent's goroutine.
type callResult struct {
	id      uint64
	outcome slot.Outcome
}

// upstreamClient holds the connections to one upstream. With HTTP/1.1 a connection
// carries one task at a time, and it is closed when a call on it is cancelled.
type upstreamClient struct {
	address string
	client  *http.Client
}

func newUpstreamClient(address string, connections int) *upstreamClient {
	d := &net.Dialer{Timeout: connectTimeout}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &upstreamClient{address: address, client: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (c *upstreamClient) close() {
	c.client.CloseIdleConnections()
}

// call runs one task at the upstream and sends its outcome to results.
func (c *upstreamClient) call(ctx context.Context, r slot.Run, results chan<- callResult) {
	results <- callResult{id: r.ID, outcome: c.post(ctx, r.Task)}
}

// post sends the task to the upstream and reads the whole response.
func (c *upstreamClient) post(ctx context.Context, t slot.Task) slot.Outcome {
	url := fmt.Sprintf("%s/tasks/%s", c.address, t.Kind)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(t.Payload))
	if err != nil {
		return slot.Outcome{Status: slot.StatusNotRun, Detail: "malformed upstream address " + c.address, Unreachable: true}
	}
	req.Header.Set("Content-Type", t.ContentType)
	req.Header.Set("Task-Key", t.Key)
	req.Header.Set("Task-Index", strconv.Itoa(t.Index))
	resp, err := c.client.Do(req)
	if err != nil {
		return requestErrorOutcome(ctx, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return cancelledOutcome(ctx, "the answer was not whole when the call was broken off")
	case err != nil:
		return slot.Outcome{Status: slot.StatusFailed, Detail: "the upstream cut its answer short: " + err.Error()}
	case len(body) > maxResponseBytes:
		return slot.Outcome{Status: slot.StatusFailed, Detail: "the upstream's answer is over 8 MiB"}
	case resp.StatusCode/100 != 2:
		return slot.Outcome{Status: slot.StatusFailed, Detail: fmt.Sprintf("the upstream answered with status %d", resp.StatusCode)}
	}
	return slot.Outcome{Result: reply.Result{ContentType: resp.Header.Get("Content-Type"), Body: body}}
}

// requestErrorOutcome distinguishes a call that never reached the upstream from one that
// may have.
func requestErrorOutcome(ctx context.Context, err error) slot.Outcome {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return slot.Outcome{Status: slot.StatusNotRun, Detail: "the upstream can't be reached: " + opErr.Error(), Unreachable: true}
	}
	if ctx.Err() != nil {
		return cancelledOutcome(ctx, "the call was broken off before its answer")
	}
	return slot.Outcome{Status: slot.StatusUnknown, Detail: "the connection to the upstream broke: " + err.Error()}
}

// cancelledOutcome returns the outcome of a call that the agent cancelled: at its deadline,
// because the entry cancelled the task, or because the agent stops.
func cancelledOutcome(ctx context.Context, detail string) slot.Outcome {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	return slot.Outcome{Status: slot.StatusUnknown, Detail: detail, TimedOut: timedOut}
}
