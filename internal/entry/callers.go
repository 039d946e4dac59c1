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

// Headers of the callers' interface.
const (
	headerKey        = "Idempotency-Key"
	headerTimeout    = "Request-Timeout"
	headerIdempotent = "Idempotent"
	headerRequest    = "Request-Id"
	headerTicket     = "Next-Ticket"
)

// Bounds of the callers' interface.
const (
	maxTickets   = 1000
	maxTimeoutMS = clock.Millis(600_000)
)

// server is an HTTP interface of the entry: a socket, and the way to the entry's task.
type server struct {
	*serve.Server
	clock Clock
	inbox chan<- message
}

func newServer(listen string, c Clock, inbox chan<- message, log *slog.Logger) server {
	return server{Server: serve.New(listen, log), clock: c, inbox: inbox}
}

// send passes a message to the entry's task; it reports whether it was taken.
func (s *server) send(ctx context.Context, m message) bool {
	select {
	case s.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// callersWeb serves callers.
type callersWeb struct {
	server
	maxBody     int64
	incarnation string
	// ready holds one value: whether the entry wants callers.
	ready chan bool
}

func newCallersWeb(s Settings, c Clock, inbox chan<- message, log *slog.Logger) *callersWeb {
	w := &callersWeb{server: newServer(s.CallerAddress, c, inbox, log), maxBody: s.MaxBodyBytes, incarnation: s.Self.Incarnation, ready: make(chan bool, 1)}
	w.ready <- false
	return w
}

func (w *callersWeb) setReady(ready bool) {
	<-w.ready
	w.ready <- ready
}

func (w *callersWeb) runTask(ctx context.Context, done chan<- error) {
	r := mux.NewRouter()
	r.HandleFunc("/v1/requests/{kind}", w.request).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs", w.job).Methods(http.MethodPost)
	r.HandleFunc("/v1/jobs/{id}", w.jobByID).Methods(http.MethodGet, http.MethodDelete)
	r.HandleFunc("/v1/tickets", w.tickets).Methods(http.MethodPost)
	r.HandleFunc("/healthz", w.healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", w.readyz).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(notFound)
	w.Run(ctx, r, done)
}

func notFound(rw http.ResponseWriter, _ *http.Request) {
	writeProblem(rw, "", reply.Problem{Type: reply.TypeUnknownKind, Ran: reply.RanNo, Detail: "no such path"})
}

func (w *callersWeb) healthz(rw http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(rw, "ok")
}

func (w *callersWeb) readyz(rw http.ResponseWriter, _ *http.Request) {
	if !w.isReady() {
		rw.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(rw, "draining, or without a configuration")
		return
	}
	fmt.Fprintln(rw, "ready")
}

func (w *callersWeb) request(rw http.ResponseWriter, r *http.Request) {
	m := submit{request: newRequestID(), kind: mux.Vars(r)["kind"]}
	if p := w.readHeaders(r, &m); p != nil {
		writeProblem(rw, m.request, *p)
		return
	}
	body, p := w.readBody(rw, r)
	if p != nil {
		writeProblem(rw, m.request, *p)
		return
	}
	m.tasks = []disp.Task{{ContentType: r.Header.Get("Content-Type"), Payload: body}}
	a, ok := w.ask(r, m)
	if !ok {
		return
	}
	w.offerTicket(rw)
	writeSingle(rw, a)
}

// offerTicket gives the caller a ticket for its next request, unless this entry is
// about to leave.
func (w *callersWeb) offerTicket(rw http.ResponseWriter) {
	if w.isReady() {
		rw.Header().Set(headerTicket, grant.NewTicket(w.incarnation, w.clock.Now()))
	}
}

func (w *callersWeb) isReady() bool {
	ready := <-w.ready
	w.ready <- ready
	return ready
}

// readHeaders fills in what the request's headers say.
func (w *callersWeb) readHeaders(r *http.Request, m *submit) *reply.Problem {
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

// tokenHash hashes the bearer token; a missing one hashes to nobody's.
func tokenHash(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (w *callersWeb) readBody(rw http.ResponseWriter, r *http.Request) ([]byte, *reply.Problem) {
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, w.maxBody))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &reply.Problem{Type: reply.TypeTooLarge, Ran: reply.RanNo,
			Detail: fmt.Sprintf("the body is over the limit of %d bytes", w.maxBody)}
	}
	return nil, malformed("the body did not arrive whole")
}

// jobBody is the body of POST /v1/jobs.
type jobBody struct {
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

func (w *callersWeb) job(rw http.ResponseWriter, r *http.Request) {
	m := submit{request: newRequestID(), job: true, tokenHash: tokenHash(r)}
	body, p := w.readBody(rw, r)
	if p == nil {
		p = fillJob(&m, body)
	}
	if p != nil {
		writeProblem(rw, m.request, *p)
		return
	}
	a, ok := w.ask(r, m)
	if !ok {
		return
	}
	w.offerTicket(rw)
	writeJob(rw, m.key.Text, a)
}

func fillJob(m *submit, body []byte) *reply.Problem {
	var b jobBody
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

func (w *callersWeb) jobByID(rw http.ResponseWriter, r *http.Request) {
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
	if a, ok := w.ask(r, m); ok {
		writeJob(rw, key.Text, a)
	}
}

func (w *callersWeb) tickets(rw http.ResponseWriter, r *http.Request) {
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
	if !w.send(r.Context(), ticketQuery{tokenHash: tokenHash(r), count: count, tickets: tickets}) {
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

// ask passes a submission to the entry's task and waits for its answer, or tells
// the task that the caller has gone.
func (w *callersWeb) ask(r *http.Request, m submit) (reply.Answer, bool) {
	answer := make(chan reply.Answer, 1)
	m.answer = answer
	if !w.send(r.Context(), m) {
		return reply.Answer{}, false
	}
	select {
	case a := <-answer:
		return a, true
	case <-r.Context().Done():
		w.send(context.Background(), gone{answer: answer})
		return reply.Answer{}, false
	}
}

func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}
