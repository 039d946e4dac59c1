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
)

// Errors of an amendment that leave its fate open.
const (
	errBusy        = errors.ConstError("too many amendments wait for the log; not sent")
	errUnconfirmed = errors.ConstError("the log did not confirm the amendment in time; look for its id in the history")
)

// maxAmendmentBytes bounds the body of an amendment.
const maxAmendmentBytes = 128 << 10

// queryTimeout is how long the entry's task has to answer an operator.
const queryTimeout = 5 * time.Second

// operatorsWeb serves operators.
type operatorsWeb struct {
	server
	token string
}

func newOperatorsWeb(s Settings, c Clock, inbox chan<- message, log *slog.Logger) *operatorsWeb {
	return &operatorsWeb{server: newServer(s.OperatorAddress, c, inbox, log), token: s.OperatorToken}
}

func (w *operatorsWeb) runTask(ctx context.Context, done chan<- error) {
	r := mux.NewRouter()
	r.Use(w.authorize)
	r.HandleFunc("/metrics", w.metrics).Methods(http.MethodGet)
	r.HandleFunc("/debug/state", w.state).Methods(http.MethodGet)
	r.HandleFunc("/v1/config", w.config).Methods(http.MethodGet)
	r.HandleFunc("/v1/amendments", w.amend).Methods(http.MethodPost)
	r.HandleFunc("/v1/explain/{request}", w.explain).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain", w.explain).Methods(http.MethodGet)
	w.Run(ctx, r, done)
}

func (w *operatorsWeb) authorize(next http.Handler) http.Handler {
	want := []byte("Bearer " + w.token)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if w.token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(rw, "operator token missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(rw, r)
	})
}

// query asks the entry's task and waits for its answer; on failure the caller has
// been answered.
func query[T any](w *operatorsWeb, rw http.ResponseWriter, r *http.Request, wait time.Duration, ask func(chan<- T) message) (T, bool) {
	answer := make(chan T, 1)
	var none T
	if !w.send(r.Context(), ask(answer)) {
		return none, false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case v := <-answer:
		return v, true
	case <-t.C:
		http.Error(rw, "the entry is stopping", http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
	return none, false
}

func (w *operatorsWeb) state(rw http.ResponseWriter, r *http.Request) {
	s, ok := query(w, rw, r, queryTimeout, func(c chan<- State) message { return stateQuery{state: c} })
	if ok {
		writeJSON(rw, http.StatusOK, s)
	}
}

func (w *operatorsWeb) metrics(rw http.ResponseWriter, r *http.Request) {
	s, ok := query(w, rw, r, queryTimeout, func(c chan<- State) message { return stateQuery{state: c} })
	if !ok {
		return
	}
	writeMetrics(rw, s)
	metrics.WriteProcessMetrics(rw)
}

func (w *operatorsWeb) config(rw http.ResponseWriter, r *http.Request) {
	c, ok := query(w, rw, r, queryTimeout, func(c chan<- Config) message { return configQuery{config: c} })
	if ok {
		writeJSON(rw, http.StatusOK, c)
	}
}

func (w *operatorsWeb) amend(rw http.ResponseWriter, r *http.Request) {
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
	wait := amendmentWaitMS.Duration() + queryTimeout
	m, ok := query(w, rw, r, wait, func(c chan<- amended) message { return amend{amendment: a, verdict: c} })
	switch {
	case !ok:
	case m.err != nil:
		http.Error(rw, m.err.Error()+" (id "+a.ID+")", http.StatusGatewayTimeout)
	case !m.verdict.Accepted:
		writeJSON(rw, http.StatusConflict, m.verdict)
	default:
		writeJSON(rw, http.StatusOK, m.verdict)
	}
}

func (w *operatorsWeb) explain(rw http.ResponseWriter, r *http.Request) {
	q := explainQuery{request: mux.Vars(r)["request"], customer: r.URL.Query().Get("customer")}
	if v := r.URL.Query().Get("since_ms"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms < 0 {
			http.Error(rw, "since_ms: want a number of milliseconds", http.StatusBadRequest)
			return
		}
		q.since = w.clock.Now() - clock.Millis(ms)
	}
	xs, ok := query(w, rw, r, queryTimeout, func(c chan<- []audit.Explanation) message {
		q.found = c
		return q
	})
	if !ok {
		return
	}
	if len(xs) == 0 && q.request != "" {
		http.Error(rw, "nothing is remembered of this request here", http.StatusNotFound)
		return
	}
	writeJSON(rw, http.StatusOK, xs)
}
