package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/serve"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
)

// Bounds of the agent's HTTP interface.
const (
	maxAnnouncementBytes = 64 << 10
	queryTimeout         = 5 * time.Second
	maxSlots             = 4096
	minHoldMS            = clock.Millis(100)
)

// message is something that the agent's task does for another task.
type message interface{ apply(a *Agent) }

type announce struct {
	upstream slot.Upstream
	done     chan<- struct{}
}

type leave struct {
	done chan<- struct{}
}

type stateQuery struct {
	state chan<- State
}

// State is the dump of an agent.
type State struct {
	Name          string         `json:"name"`
	Incarnation   string         `json:"incarnation"`
	Upstream      *slot.Upstream `json:"upstream"`
	Leaving       bool           `json:"leaving"`
	Reason        string         `json:"reason,omitempty"`
	Running       int            `json:"running"`
	Queued        int            `json:"queued"`
	Started       uint64         `json:"started"`
	ConfigVersion int64          `json:"config_version"`
	Entries       []string       `json:"entries"`
	Windows       map[string]int `json:"windows"`

	CertificateExpiry time.Time `json:"certificate_expiry"`
}

func (m announce) apply(a *Agent) {
	u := m.upstream
	if a.caller == nil || a.core.Upstream.Address != u.Address || a.core.Upstream.Connections != u.Connections {
		if a.caller != nil {
			a.caller.close()
		}
		a.caller = newCaller(u.Address, u.Connections)
	}
	changed := a.core.Upstream == nil || a.core.Leaving || a.core.Upstream.Slots != u.Slots ||
		fmt.Sprint(a.core.Upstream.Kinds) != fmt.Sprint(u.Kinds)
	a.core.Announce(u, a.clock.Now())
	if changed {
		a.beat()
	}
	m.done <- struct{}{}
}

func (m leave) apply(a *Agent) {
	a.core.Leave("the upstream is leaving", a.clock.Now())
	a.beat()
	m.done <- struct{}{}
}

func (m stateQuery) apply(a *Agent) {
	s := State{
		Name:          a.settings.Self.Name,
		Incarnation:   a.settings.Self.Incarnation,
		Upstream:      a.core.Upstream,
		Leaving:       a.core.Leaving,
		Reason:        a.core.LeaveReason,
		Running:       a.core.Running(),
		Queued:        a.core.Queued(),
		Started:       a.core.Started,
		ConfigVersion: a.config.Version,
		Windows:       map[string]int{},

		CertificateExpiry: a.settings.CertificateExpiry,
	}
	for inc, l := range a.links {
		s.Entries = append(s.Entries, l.Peer.Name)
		s.Windows[l.Peer.Name] = a.core.LoadFor(inc).Window
	}
	m.state <- s
}

// web is the agent's HTTP interface, for its upstream and for operators.
type web struct {
	*serve.Server
	inbox chan<- message
}

func newWeb(listen string, inbox chan<- message, log *slog.Logger) *web {
	return &web{Server: serve.New(listen, log), inbox: inbox}
}

func (w *web) runTask(ctx context.Context, done chan<- error) {
	r := mux.NewRouter()
	r.HandleFunc("/v1/upstream", w.announce).Methods(http.MethodPut)
	r.HandleFunc("/v1/upstream", w.leave).Methods(http.MethodDelete)
	r.HandleFunc("/debug/state", w.state).Methods(http.MethodGet)
	r.HandleFunc("/metrics", w.metrics).Methods(http.MethodGet)
	w.Run(ctx, r, done)
}

func (w *web) announce(rw http.ResponseWriter, r *http.Request) {
	u := slot.Upstream{}
	d := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&u); err != nil {
		http.Error(rw, "malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if reason := badAnnouncement(u); reason != "" {
		http.Error(rw, reason, http.StatusBadRequest)
		return
	}
	done := make(chan struct{}, 1)
	w.ask(rw, r, announce{upstream: u, done: done}, done)
}

func badAnnouncement(u slot.Upstream) string {
	switch {
	case u.Name == "":
		return "name: want a name"
	case u.Address == "":
		return "address: want the upstream's base URL"
	case u.Slots < 1 || u.Slots > maxSlots:
		return fmt.Sprintf("slots: want 1 to %d", maxSlots)
	case u.Connections < 1:
		return "connections: want 1 or more"
	case len(u.Kinds) == 0:
		return "kinds: want at least one"
	case u.HoldMS < minHoldMS:
		return fmt.Sprintf("hold_ms: want %d or more", minHoldMS)
	}
	return ""
}

func (w *web) leave(rw http.ResponseWriter, r *http.Request) {
	done := make(chan struct{}, 1)
	w.ask(rw, r, leave{done: done}, done)
}

// ask passes a message to the agent's task and answers once it is done.
func (w *web) ask(rw http.ResponseWriter, r *http.Request, m message, done <-chan struct{}) {
	select {
	case w.inbox <- m:
	case <-r.Context().Done():
		return
	}
	select {
	case <-done:
		rw.WriteHeader(http.StatusNoContent)
	case <-time.After(queryTimeout):
		http.Error(rw, "the agent is stopping", http.StatusServiceUnavailable)
	}
}

func (w *web) query(r *http.Request) (State, bool) {
	state := make(chan State, 1)
	select {
	case w.inbox <- stateQuery{state: state}:
	case <-r.Context().Done():
		return State{}, false
	}
	select {
	case s := <-state:
		return s, true
	case <-time.After(queryTimeout):
		return State{}, false
	}
}

func (w *web) state(rw http.ResponseWriter, r *http.Request) {
	s, ok := w.query(r)
	if !ok {
		http.Error(rw, "the agent is stopping", http.StatusServiceUnavailable)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(rw)
	e.SetIndent("", "  ")
	e.Encode(s)
}

func (w *web) metrics(rw http.ResponseWriter, r *http.Request) {
	s, ok := w.query(r)
	if !ok {
		http.Error(rw, "the agent is stopping", http.StatusServiceUnavailable)
		return
	}
	writeMetrics(rw, s)
	metrics.WriteProcessMetrics(rw)
}

func writeMetrics(w io.Writer, s State) {
	set := metrics.NewSet()
	set.NewGauge("turmericbarrow_agent_running", func() float64 { return float64(s.Running) })
	set.NewGauge("turmericbarrow_agent_queued", func() float64 { return float64(s.Queued) })
	set.NewGauge("turmericbarrow_agent_links", func() float64 { return float64(len(s.Entries)) })
	set.NewGauge("turmericbarrow_config_version", func() float64 { return float64(s.ConfigVersion) })
	set.NewGauge("turmericbarrow_certificate_expiry_seconds", func() float64 { return float64(s.CertificateExpiry.Unix()) })
	set.NewCounter("turmericbarrow_agent_tasks_started_total").Set(s.Started)
	set.WritePrometheus(w)
}
