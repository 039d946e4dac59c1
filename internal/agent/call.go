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

// Bounds of a call to the upstream.
const (
	maxAnswerBytes  = 8 << 20
	connectTimeout  = time.Second
	idleConnTimeout = 30 * time.Second
)

// result is the end of a call.
type result struct {
	id      uint64
	outcome slot.Outcome
}

// caller holds the connections to one upstream. HTTP/1.1 carries one task a
// connection at a time, and a connection on which a call was broken off is closed.
type caller struct {
	address string
	client  *http.Client
}

func newCaller(address string, connections int) *caller {
	d := &net.Dialer{Timeout: connectTimeout}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &caller{address: address, client: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (c *caller) close() {
	c.client.CloseIdleConnections()
}

// call runs one task at the upstream and reports its end.
func (c *caller) call(ctx context.Context, r slot.Run, results chan<- result) {
	results <- result{id: r.ID, outcome: c.outcome(ctx, r.Task)}
}

func (c *caller) outcome(ctx context.Context, t slot.Task) slot.Outcome {
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
		return failedCall(ctx, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return brokenOff(ctx, "the answer was not whole when the call was broken off")
	case err != nil:
		return slot.Outcome{Status: slot.StatusFailed, Detail: "the upstream cut its answer short: " + err.Error()}
	case len(body) > maxAnswerBytes:
		return slot.Outcome{Status: slot.StatusFailed, Detail: "the upstream's answer is over 8 MiB"}
	case resp.StatusCode/100 != 2:
		return slot.Outcome{Status: slot.StatusFailed, Detail: fmt.Sprintf("the upstream answered with status %d", resp.StatusCode)}
	}
	return slot.Outcome{Result: reply.Result{ContentType: resp.Header.Get("Content-Type"), Body: body}}
}

// failedCall tells a call that never reached the upstream from one that may have.
func failedCall(ctx context.Context, err error) slot.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return slot.Outcome{Status: slot.StatusNotRun, Detail: "the upstream can't be reached: " + op.Error(), Unreachable: true}
	}
	if ctx.Err() != nil {
		return brokenOff(ctx, "the call was broken off before its answer")
	}
	return slot.Outcome{Status: slot.StatusUnknown, Detail: "the connection to the upstream broke: " + err.Error()}
}

// brokenOff is the end of a call that the agent broke off, at its deadline or because
// it was withdrawn.
func brokenOff(ctx context.Context, detail string) slot.Outcome {
	late := errors.Is(ctx.Err(), context.DeadlineExceeded)
	return slot.Outcome{Status: slot.StatusUnknown, Detail: detail, TimedOut: late}
}
