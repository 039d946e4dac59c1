package entry

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/audit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/serve"
)

// Errors for an amendment without a verdict.
const (
	errTooManyAmendments = errors.ConstError("too many amendments wait for the log; not sent")
	errUnconfirmed       = errors.ConstError("the log did not confirm the amendment in time; look for its id in the history")
)

// maxAmendmentBytes is the maximum size of the request body of an amendment.
const maxAmendmentBytes = 128 << 10

// queryTimeout is how long a handler waits for the entry's main goroutine to answer.
const queryTimeout = 5 * time.Second

// operatorServer is the HTTP server for operators.
type operatorServer struct {
	server
	token string
}

func newOperatorServer(s Settings, c Clock, inbox chan<- message, g *serve.Gate, log *slog.Logger) *operatorServer {
	return &operatorServer{server: newServer(s.OperatorAddress, c, inbox, g, log), token: s.OperatorToken}
}

func (o *operatorServer) serveRoutes(ctx context.Context, done chan<- error) {
	r := mux.NewRouter()
	r.Use(o.authorize)
	r.HandleFunc("/metrics", o.metrics).Methods(http.MethodGet)
	r.HandleFunc("/debug/state", o.state).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", o.config).Methods(http.MethodGet)
	r.HandleFunc("/v1/amendments", o.amend).Methods(http.MethodPost)
	r.HandleFunc("/v1/explain/{request}", o.explain).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", o.explain).Methods(http.MethodGet)
	o.Run(ctx, r, done)
}

// authorize rejects requests without the operator token. If the entry's token is empty, all
// requests are allowed.
func (o *operatorServer) authorize(next http.Handler) http.Handler {
	want := []byte("Bearer " + o.token)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if o.token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(rw, "operator token missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(rw, r)
	})
}

// query sends a message to the entry's main goroutine and waits for the answer. If it
// reports false, it has written an error response, or the client has disconnected.
func query[T any](o *operatorServer, rw http.ResponseWriter, r *http.Request, timeout time.Duration, newMessage func(chan<- T) message) (T, bool) {
	answer := make(chan T, 1)
	var zero T
	if !o.send(r.Context(), newMessage(answer)) {
		return zero, false
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case v := <-answer:
		return v, true
	case <-t.C:
		http.Error(rw, "the entry is stopping", http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
	return zero, false
}

func (o *operatorServer) state(rw http.ResponseWriter, r *http.Request) {
	s, ok := query(o, rw, r, queryTimeout, func(c chan<- State) message { return stateQuery{state: c} })
	if ok {
		writeJSON(rw, http.StatusOK, s)
	}
}

func (o *operatorServer) metrics(rw http.ResponseWriter, r *http.Request) {
	s, ok := query(o, rw, r, queryTimeout, func(c chan<- State) message { return stateQuery{state: c} })
	if !ok {
		return
	}
	writeMetrics(rw, s)
	o.WriteClientMetrics(rw)
	metrics.WriteProcessMetrics(rw)
}

func (o *operatorServer) config(rw http.ResponseWriter, r *http.Request) {
	c, ok := query(o, rw, r, queryTimeout, func(c chan<- ConfigResponse) message { return configQuery{config: c} })
	if ok {
		writeJSON(rw, http.StatusOK, c)
	}
}

func (o *operatorServer) amend(rw http.ResponseWriter, r *http.Request) {
	var a contr.Amendment
	body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxAmendmentBytes))
	if err == nil {
		err = json.Unmarshal(body, &a)
	}
	if err != nil {
		http.Error(rw, "malformed amendment: "+err.Error(), http.StatusBadRequest)
		return
	}
	a.ID = uuid.NewString()
	timeout := amendmentTimeoutMS.Duration() + queryTimeout
	result, ok := query(o, rw, r, timeout, func(c chan<- amendmentResult) message { return proposeAmendment{amendment: a, result: c} })
	switch {
	case !ok:
	case result.err != nil:
		http.Error(rw, result.err.Error()+" (id "+a.ID+")", http.StatusGatewayTimeout)
	case !result.verdict.Accepted:
		writeJSON(rw, http.StatusConflict, result.verdict)
	default:
		writeJSON(rw, http.StatusOK, result.verdict)
	}
}

func (o *operatorServer) explain(rw http.ResponseWriter, r *http.Request) {
	q := explainQuery{request: mux.Vars(r)["request"], customer: r.URL.Query().Get("customer")}
	if v := r.URL.Query().Get("since_ms"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			http.Error(rw, "since_ms: want a number of milliseconds", http.StatusBadRequest)
			return
		}
		q.since = o.clock.Now() - clock.Millis(ms)
	}
	explanations, ok := query(o, rw, r, queryTimeout, func(c chan<- []audit.Explanation) message {
		q.explanations = c
		return q
	})
	if !ok {
		return
	}
	if len(explanations) == 0 && q.request != "" {
		http.Error(rw, "nothing is remembered of this request here", http.StatusNotFound)
		return
	}
	writeJSON(rw, http.StatusOK, explanations)
}
