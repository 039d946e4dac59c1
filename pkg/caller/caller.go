// Package caller is the Go client of the HTTP interface that entries offer to callers.
// It keeps a small stock of tickets to use as idempotency keys. A submission keeps its
// key for all of its attempts, so that a retry cannot start it a second time.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

// Ran states whether any part of a submission has run.
type Ran string

// The possible values of Ran. RanMaybe means that it is not known whether
// any part ran.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Problem is the RFC 9457 problem document of a rejected or failed submission. It
// implements error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Ran is RanNo only if no part of the submission ran.
	Ran Ran `json:"ran"`
	// Line is the contract line that caused a rejection, such as "rate.per_second".
	Line            string `json:"line"`
	ContractVersion int64  `json:"contract_version"`
	RequestID       string `json:"request_id"`
	// RetryAfter is the delay that the entry recommends before another attempt, and
	// zero if waiting does not help.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the problem's type and detail, whether anything ran, and the request ID.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s, request %s)", p.Type, p.Detail, p.Ran, p.RequestID)
}

// Settings configure a Client.
type Settings struct {
	// Entries are the base URLs of the entries, at least one. The first attempt of a
	// submission uses the first entry, and each further attempt the next one in turn.
	Entries []string
	Token   string
	// Attempts is the maximum number of times that one submission is sent. Values below
	// one select the default of 3.
	Attempts int
	// Wait is the pause before each further attempt. Values of zero or less select the
	// default of 50 ms.
	Wait time.Duration
	// HTTP is http.DefaultClient if it is nil.
	HTTP *http.Client
}

// Client submits requests and jobs. It is safe for concurrent use by multiple goroutines.
type Client struct {
	settings Settings
	// tickets holds unused tickets, at most maxTickets.
	tickets chan string
}

// Limits and defaults of a Client.
const (
	maxTickets       = 16
	defaultAttempts  = 3
	defaultWait      = 50 * time.Millisecond
	maxResponseBytes = 256 << 20
)

// New returns a Client with the given settings. Unset ones get their defaults.
func New(s Settings) *Client {
	if s.Attempts < 1 {
		s.Attempts = defaultAttempts
	}
	if s.Wait <= 0 {
		s.Wait = defaultWait
	}
	if s.HTTP == nil {
		s.HTTP = http.DefaultClient
	}
	return &Client{settings: s, tickets: make(chan string, maxTickets)}
}

// Request is a single request to an upstream.
type Request struct {
	Kind        string
	Payload     []byte
	ContentType string
	// Key is the idempotency key. If it is empty, the client chooses one.
	Key string
	// Timeout limits the time until the answer. Zero selects the contract's deadline.
	Timeout time.Duration
	// NotIdempotent marks this request as not idempotent, although its kind is.
	NotIdempotent bool
}

// Answer is the complete answer of an upstream.
type Answer struct {
	Body        []byte
	ContentType string
	RequestID   string
}

// Job is a group of tasks that are answered together or not at all. An empty ID lets the
// client choose one.
type Job struct {
	ID       string
	Kind     string
	Payloads []json.RawMessage
	Timeout  time.Duration
}

// JobResult is the result of one task of a job.
type JobResult struct {
	ContentType string          `json:"content_type"`
	Payload     json.RawMessage `json:"payload"`
}

// Key returns an idempotency key for one submission: a stored ticket if there is one, or
// else a newly fetched one. If no entry issues a ticket, Key returns a plain key, which is
// a UUIDv7.
func (c *Client) Key(ctx context.Context) string {
	select {
	case t := <-c.tickets:
		return t
	default:
	}
	if err := c.fetchTickets(ctx); err != nil {
		return uuid.Must(uuid.NewV7()).String()
	}
	select {
	case t := <-c.tickets:
		return t
	default:
		return uuid.Must(uuid.NewV7()).String()
	}
}

func (c *Client) fetchTickets(ctx context.Context) error {
	var out struct {
		Tickets []string `json:"tickets"`
	}
	var err error
	for _, entry := range c.settings.Entries {
		var resp *response
		resp, err = c.send(ctx, http.MethodPost, entry+"/v1/tickets?count="+strconv.Itoa(maxTickets), nil, nil)
		if err != nil {
			continue
		}
		if err = json.Unmarshal(resp.body, &out); err == nil {
			break
		}
	}
	for _, t := range out.Tickets {
		c.storeTicket(t)
	}
	return err
}

// storeTicket keeps a ticket for a later submission. It drops the ticket if the stock is
// full.
func (c *Client) storeTicket(ticket string) {
	if ticket == "" {
		return
	}
	select {
	case c.tickets <- ticket:
	default:
	}
}

// Do submits a request and returns its complete answer. If the error is a *Problem, it
// states whether the request ran.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	if r.Key == "" {
		r.Key = c.Key(ctx)
	}
	h := http.Header{}
	h.Set("Idempotency-Key", r.Key)
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	if r.Timeout > 0 {
		h.Set("Request-Timeout", strconv.FormatInt(r.Timeout.Milliseconds(), 10))
	}
	if r.NotIdempotent {
		h.Set("Idempotent", "false")
	}
	resp, err := c.submit(ctx, http.MethodPost, "/v1/requests/"+r.Kind, h, r.Payload)
	if err != nil {
		return Answer{}, err
	}
	return Answer{Body: resp.body, ContentType: resp.header.Get("Content-Type"), RequestID: resp.header.Get("Request-Id")}, nil
}

// DoJob submits a job and returns the results of all its tasks. It returns no results if
// there is an error.
func (c *Client) DoJob(ctx context.Context, j Job) ([]JobResult, error) {
	if j.ID == "" {
		j.ID = c.Key(ctx)
	}
	type task struct {
		Payload json.RawMessage `json:"payload"`
	}
	body := struct {
		ID        string `json:"id"`
		Kind      string `json:"kind"`
		Tasks     []task `json:"tasks"`
		TimeoutMS int64  `json:"timeout_ms"`
	}{ID: j.ID, Kind: j.Kind, TimeoutMS: j.Timeout.Milliseconds()}
	for _, p := range j.Payloads {
		body.Tasks = append(body.Tasks, task{Payload: p})
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Annotate(err, "encode job")
	}
	resp, err := c.submit(ctx, http.MethodPost, "/v1/jobs", http.Header{}, data)
	if err != nil {
		return nil, err
	}
	var out struct {
		Results []JobResult `json:"results"`
	}
	if err := json.Unmarshal(resp.body, &out); err != nil {
		return nil, errors.Annotate(err, "decode job")
	}
	return out.Results, nil
}

// CancelJob cancels a job. A successful cancellation returns a *Problem of type cancelled,
// as does the cancellation of a job that was cancelled before; the problem states whether
// any part of the job ran. A nil error means that the job was not cancelled, because it was
// already complete.
func (c *Client) CancelJob(ctx context.Context, id string) error {
	_, err := c.submit(ctx, http.MethodDelete, "/v1/jobs/"+id, http.Header{}, nil)
	return err
}

// submit sends one submission until it receives a final answer or has made all attempts.
// Sending it again through any entry is safe, since the key stays the same.
func (c *Client) submit(ctx context.Context, method, path string, h http.Header, body []byte) (*response, error) {
	var err error
	for i := range c.settings.Attempts {
		if i > 0 && !sleep(ctx, c.settings.Wait) {
			break
		}
		entry := c.settings.Entries[i%len(c.settings.Entries)]
		var resp *response
		resp, err = c.send(ctx, method, entry+path, h, body)
		if err == nil {
			c.storeTicket(resp.header.Get("Next-Ticket"))
			return resp, nil
		}
		var p *Problem
		if errors.As(err, &p) && !isRetryable(p) {
			return nil, err
		}
	}
	return nil, err
}

// isRetryable reports whether an immediate retry with the same key may be answered
// differently: the entry was shutting down or had no grant for the key, or the outcome of
// the submission was unknown at that time.
func isRetryable(p *Problem) bool {
	return strings.HasSuffix(p.Type, ":shutting_down") || strings.HasSuffix(p.Type, ":no_grant") ||
		strings.HasSuffix(p.Type, ":fate_unknown")
}

// sleep waits for d and reports false if the context ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// response is a complete HTTP response.
type response struct {
	header http.Header
	body   []byte
}

func (c *Client) send(ctx context.Context, method, url string, h http.Header, body []byte) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Annotatef(err, "submit to %s", url)
	}
	for name, values := range h {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.settings.Token)
	resp, err := c.settings.HTTP.Do(req)
	if err != nil {
		return nil, errors.Annotatef(err, "submit to %s", url)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Annotatef(err, "read response from %s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, decodeProblem(resp, data)
	}
	return &response{header: resp.Header, body: data}, nil
}

// decodeProblem returns the problem in an HTTP error response. Unless the response says
// otherwise, Ran is RanMaybe.
func decodeProblem(resp *http.Response, data []byte) error {
	p := &Problem{Status: resp.StatusCode, Ran: RanMaybe}
	if err := json.Unmarshal(data, p); err != nil {
		p.Detail = strings.TrimSpace(string(data))
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		p.RetryAfter = time.Duration(s) * time.Second
	}
	return p
}
