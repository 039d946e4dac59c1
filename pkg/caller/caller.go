// Package caller is the Go client of turmericbarrow's callers' interface. It keeps a
// few tickets ready, so that every submission has one key for good, and sends a
// submission again only under the same key.
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

// Ran tells whether any part of a submission has run.
type Ran string

// The values of Ran.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Problem is a refusal or failure, as RFC 9457 gives it. It is an error.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Ran is "no" only if nothing of the submission ran.
	Ran             Ran    `json:"ran"`
	Line            string `json:"line"`
	ContractVersion int64  `json:"contract_version"`
	RequestID       string `json:"request_id"`
	// RetryAfter is zero when waiting does not help.
	RetryAfter time.Duration `json:"-"`
}

// Error names the problem and whether anything ran.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s, request %s)", p.Type, p.Detail, p.Ran, p.RequestID)
}

// Settings of a client.
type Settings struct {
	// Entries are base URLs; the client tries them in turn.
	Entries []string
	Token   string
	// Attempts is the most times that one submission is sent, at least one.
	Attempts int
	// Wait is the pause before a submission is sent again.
	Wait time.Duration
	HTTP *http.Client
}

// Client submits requests and jobs. It is safe for use by many goroutines.
type Client struct {
	settings Settings
	// tickets holds keys that are ready for use.
	tickets chan string
}

// Bounds of a client.
const (
	readyTickets    = 16
	defaultAttempts = 3
	defaultWait     = 50 * time.Millisecond
	maxAnswerBytes  = 256 << 20
)

// New returns a client.
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
	return &Client{settings: s, tickets: make(chan string, readyTickets)}
}

// Request is one request.
type Request struct {
	Kind        string
	Payload     []byte
	ContentType string
	// Key is the submission's key; empty lets the client choose one.
	Key string
	// Timeout is zero for the contract's deadline.
	Timeout time.Duration
	// NotIdempotent marks one request of an idempotent kind.
	NotIdempotent bool
}

// Answer is an upstream's whole answer.
type Answer struct {
	Body        []byte
	ContentType string
	RequestID   string
}

// Job is a number of tasks that are answered together or not at all.
type Job struct {
	ID       string
	Kind     string
	Payloads []json.RawMessage
	Timeout  time.Duration
}

// JobResult is one task's result.
type JobResult struct {
	ContentType string          `json:"content_type"`
	Payload     json.RawMessage `json:"payload"`
}

// Key returns a key for one submission: a ticket that is ready, a fresh one, or,
// when no entry gives one, a plain key.
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
	for _, e := range c.settings.Entries {
		var resp *response
		resp, err = c.send(ctx, http.MethodPost, e+"/v1/tickets?count="+strconv.Itoa(readyTickets), nil, nil)
		if err != nil {
			continue
		}
		if err = json.Unmarshal(resp.body, &out); err == nil {
			break
		}
	}
	for _, t := range out.Tickets {
		c.keep(t)
	}
	return err
}

// keep puts a ticket aside if there is room.
func (c *Client) keep(ticket string) {
	if ticket == "" {
		return
	}
	select {
	case c.tickets <- ticket:
	default:
	}
}

// Do submits a request and returns its whole answer. A *Problem says whether it ran.
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

// DoJob submits a job and returns every task's result, or an error and none.
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

// CancelJob ends a job. A problem of type cancelled says whether any of it ran.
func (c *Client) CancelJob(ctx context.Context, id string) error {
	_, err := c.submit(ctx, http.MethodDelete, "/v1/jobs/"+id, http.Header{}, nil)
	return err
}

// submit sends one submission until it has a final answer. The same key makes it
// safe to send again, through any entry.
func (c *Client) submit(ctx context.Context, method, path string, h http.Header, body []byte) (*response, error) {
	var err error
	for i := range c.settings.Attempts {
		if i > 0 && !pause(ctx, c.settings.Wait) {
			break
		}
		e := c.settings.Entries[i%len(c.settings.Entries)]
		var resp *response
		resp, err = c.send(ctx, method, e+path, h, body)
		if err == nil {
			c.keep(resp.header.Get("Next-Ticket"))
			return resp, nil
		}
		var p *Problem
		if errors.As(err, &p) && !worthRetrying(p) {
			return nil, err
		}
	}
	return nil, err
}

// worthRetrying reports whether the same key may get another answer at once: its
// entry was stopping, or the fate was not known at the time.
func worthRetrying(p *Problem) bool {
	return strings.HasSuffix(p.Type, ":shutting_down") || strings.HasSuffix(p.Type, ":no_grant") ||
		strings.HasSuffix(p.Type, ":fate_unknown")
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// response is a whole HTTP answer.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Annotatef(err, "read answer of %s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, problemOf(resp, data)
	}
	return &response{header: resp.Header, body: data}, nil
}

func problemOf(resp *http.Response, data []byte) error {
	p := &Problem{Status: resp.StatusCode, Ran: RanMaybe}
	if err := json.Unmarshal(data, p); err != nil {
		p.Detail = strings.TrimSpace(string(data))
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		p.RetryAfter = time.Duration(s) * time.Second
	}
	return p
}
