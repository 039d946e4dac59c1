package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/serve"
)

// Headers of the callers' HTTP interface.
const (
	headerKey        = "Idempotency-Key"
	headerTimeout    = "Request-Timeout"
	headerIdempotent = "Idempotent"
	headerRequest    = "Request-Id"
	headerTicket     = "Next-Ticket"
)

// Limits of the callers' HTTP interface.
const (
	maxTickets   = 1000
	maxTimeoutMS = clock.Millis(600_000)
)

// server is an HTTP server whose handlers send messages to the entry's main goroutine.
type server struct {
	*serve.Server
	clock Clock
	inbox chan<- message
}

func newServer(listen string, c Clock, inbox chan<- message, g *serve.Gate, log *slog.Logger) server {
	return server{Server: serve.New(listen, g, log), clock: c, inbox: inbox}
}

// send passes a message to the entry's main goroutine. It reports false if ctx ended
// first.
func (s *server) send(ctx context.Context, m message) bool {
	select {
	case s.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// callerServer is the HTTP server for callers.
type callerServer struct {
	server
	maxBodyBytes int64
	incarnation  string
	// ready always holds one value: whether the entry has a configuration and is not
	// shutting down. To read or set it, a method takes the value out and puts one back.
	ready chan bool
}

func newCallerServer(s Settings, c Clock, inbox chan<- message, g *serve.Gate, log *slog.Logger) *callerServer {
	cs := &callerServer{server: newServer(s.CallerAddress, c, inbox, g, log), maxBodyBytes: s.MaxBodyBytes, incarnation: s.Self.Incarnation, ready: make(chan bool, 1)}
	cs.ready <- false
	return cs
}

func (c *callerServer) setReady(ready bool) {
	<-c.ready
	c.ready <- ready
}

func (c *callerServer) serveRoutes(ctx context.Context, done chan<- error) {
	r := mux.NewRouter()
	r.HandleFunc("/v1/requests/{kind}", c.request).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", c.job).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/{id}", c.jobByID).Methods(http.MethodGet, http.MethodDelete)
	r.HandleFunc("/v1/tickets", c.tickets).Methods(http.MethodPost)
	r.HandleFunc("/healthz", c.healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", c.readyz).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(notFound)
	c.Run(ctx, r, done)
}

// notFound rejects an unknown path or method. There is no problem type for paths; unknown_kind
// has the status 404 (not found).
func notFound(rw http.ResponseWriter, _ *http.Request) {
	writeProblem(rw, "", reply.Problem{Type: reply.TypeUnknownKind, Ran: reply.RanNo, Detail: "no such path"})
}

func (c *callerServer) healthz(rw http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(rw, "ok")
}

func (c *callerServer) readyz(rw http.ResponseWriter, _ *http.Request) {
	if !c.isReady() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(rw, "draining, or without a configuration")
		return
	}
	fmt.Fprintln(rw, "ready")
}

func (c *callerServer) request(rw http.ResponseWriter, r *http.Request) {
	m := submit{request: newRequestID(), kind: mux.Vars(r)["kind"]}
	if p := c.parseHeaders(r, &m); p != nil {
		writeProblem(rw, m.request, *p)
		return
	}
	body, p := c.readBody(rw, r)
	if p != nil {
		writeProblem(rw, m.request, *p)
		return
	}
	m.tasks = []disp.Task{{ContentType: r.Header.Get("Content-Type"), Payload: body}}
	a, ok := c.submitAndWait(r, m)
	if !ok {
		return
	}
	c.setNextTicket(rw)
	writeRequestAnswer(rw, a)
}

// setNextTicket adds the header with a ticket for the caller's next request, unless the
// entry has no configuration yet or is shutting down.
func (c *callerServer) setNextTicket(rw http.ResponseWriter) {
	if c.isReady() {
		rw.Header().Set(headerTicket, grant.NewTicket(c.incarnation, c.clock.Now()))
	}
}

func (c *callerServer) isReady() bool {
	ready := <-c.ready
	c.ready <- ready
	return ready
}

// parseHeaders sets the fields of m that come from the request's headers.
func (c *callerServer) parseHeaders(r *http.Request, m *submit) *reply.Problem {
	m.tokenHash = tokenHash(r)
	m.notIdempotent = strings.EqualFold(r.Header.Get(headerIdempotent), "false")
	if v := r.Header.Get(headerTimeout); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 1 || clock.Millis(ms) > maxTimeoutMS {
			return malformed(fmt.Sprintf("%s: want 1 to %d ms", headerTimeout, maxTimeoutMS))
		}
		m.timeout = clock.Millis(ms)
	}
	if v := r.Header.Get(headerKey); v != "" {
		key, err := grant.ParseKey(v)
		if err != nil {
			return malformed(headerKey + ": " + err.Error())
		}
		m.key = key
	}
	return nil
}

func malformed(detail string) *reply.Problem {
	return &reply.Problem{Type: reply.TypeMalformed, Ran: reply.RanNo, Detail: detail}
}

// tokenHash returns the SHA-256 hash of the bearer token in hex. Without a token it
// returns an empty string, which belongs to no customer.
func tokenHash(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (c *callerServer) readBody(rw http.ResponseWriter, r *http.Request) ([]byte, *reply.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, c.maxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &reply.Problem{Type: reply.TypeTooLarge, Ran: reply.RanNo,
			Detail: fmt.Sprintf("the body is over the limit of %d bytes", c.maxBodyBytes)}
	}
	return nil, malformed("the body did not arrive whole")
}

// jobRequest is the request body of POST /v1/jobs.
type jobRequest struct {
	ID        string       `json:"id"`
	Kind      string       `json:"kind"`
	Tasks     []jobTask    `json:"tasks"`
	TimeoutMS clock.Millis `json:"timeout_ms"`
}

type jobTask struct {
	Payload json.RawMessage `json:"payload"`
}

// contentTypeJSON is the content type of a job's payloads.
const contentTypeJSON = "application/json"

func (c *callerServer) job(rw http.ResponseWriter, r *http.Request) {
	m := submit{request: newRequestID(), job: true, tokenHash: tokenHash(r)}
	body, p := c.readBody(rw, r)
	if p == nil {
		decode := func() { p = parseJob(&m, body) }
		if c.Decode(r.Context(), len(body), decode) != nil {
			// A caller that closed only its sending side must not take this for an answer.
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	if p != nil {
		writeProblem(rw, m.request, *p)
		return
	}
	a, ok := c.submitAndWait(r, m)
	if !ok {
		return
	}
	c.setNextTicket(rw)
	writeJobAnswer(rw, m.key.Text, a)
}

// parseJob sets the fields of m that come from the request's body.
func parseJob(m *submit, body []byte) *reply.Problem {
	var b jobRequest
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(&b); err != nil {
		return malformed("the job is not understood: " + err.Error())
	}
	key, err := grant.ParseKey(b.ID)
	if err != nil {
		return malformed("id: " + err.Error())
	}
	if len(b.Tasks) == 0 || b.TimeoutMS < 0 || b.TimeoutMS > maxTimeoutMS {
		return malformed(fmt.Sprintf("want at least one task, and timeout_ms from 0 to %d", maxTimeoutMS))
	}
	m.key, m.kind, m.timeout = key, b.Kind, b.TimeoutMS
	for _, t := range b.Tasks {
		m.tasks = append(m.tasks, disp.Task{ContentType: contentTypeJSON, Payload: t.Payload})
	}
	return nil
}

// jobByID looks up a job or, for the method DELETE, cancels it. A cancelled job is answered with
// the problem cancelled, and a job that had already ended with its answer, or with the problem
// answer_gone if the answer is no longer kept.
func (c *callerServer) jobByID(rw http.ResponseWriter, r *http.Request) {
	m := submit{
		request:   newRequestID(),
		job:       true,
		tokenHash: tokenHash(r),
		lookup:    r.Method == http.MethodGet,
		cancel:    r.Method == http.MethodDelete,
	}
	key, err := grant.ParseKey(mux.Vars(r)["id"])
	if err != nil {
		writeProblem(rw, m.request, *malformed("id: " + err.Error()))
		return
	}
	m.key = key
	if a, ok := c.submitAndWait(r, m); ok {
		writeJobAnswer(rw, key.Text, a)
	}
}

func (c *callerServer) tickets(rw http.ResponseWriter, r *http.Request) {
	count := 1
	if v := r.URL.Query().Get("count"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxTickets {
			writeProblem(rw, "", *malformed(fmt.Sprintf("count: want 1 to %d", maxTickets)))
			return
		}
		count = n
	}
	tickets := make(chan []string, 1)
	if !c.send(r.Context(), ticketQuery{tokenHash: tokenHash(r), count: count, tickets: tickets}) {
		return
	}
	select {
	case ts := <-tickets:
		if ts == nil {
			writeProblem(rw, "", reply.Problem{Type: reply.TypeBadToken, Ran: reply.RanNo, Detail: "no contract has this token, or the entry is draining"})
			return
		}
		writeJSON(rw, http.StatusOK, map[string][]string{"tickets": ts})
	case <-r.Context().Done():
	}
}

// submitAndWait passes a submission to the entry's main goroutine and waits for the
// answer. If the caller disconnects first, it notifies that goroutine and reports false.
func (c *callerServer) submitAndWait(r *http.Request, m submit) (reply.Answer, bool) {
	answer := make(chan reply.Answer, 1)
	m.answer = answer
	if !c.send(r.Context(), m) {
		return reply.Answer{}, false
	}
	select {
	case a := <-answer:
		return a, true
	case <-r.Context().Done():
		c.send(context.Background(), callerDisconnected{answer: answer})
		return reply.Answer{}, false
	}
}

func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}
