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

// Limits of the agent's HTTP interface.
const (
	maxAnnouncementBytes = 64 << 10
	// replyTimeout is how long a handler waits for the agent's goroutine to reply.
	replyTimeout = 5 * time.Second
	// maxSlots and minHoldMS limit the values that an upstream may announce.
	maxSlots  = 4096
	minHoldMS = clock.Millis(100)
)

// message is a request from another goroutine that the agent's goroutine carries out.
type message interface{ apply(a *Agent) }

type announceRequest struct {
	upstream slot.Upstream
	done     chan<- struct{}
}

type leaveRequest struct {
	done chan<- struct{}
}

type stateQuery struct {
	state chan<- State
}

// State is the agent's state as returned by /debug/state.
type State struct {
	Name          string         `json:"name"`
	Incarnation   string         `json:"incarnation"`
	Upstream      *slot.Upstream `json:"upstream"`
	Leaving       bool           `json:"leaving"`
	LeaveReason   string         `json:"reason,omitempty"`
	ZoneDrained   bool           `json:"zone_drained"`
	Running       int            `json:"running"`
	Queued        int            `json:"queued"`
	Started       uint64         `json:"started"`
	ConfigVersion int64          `json:"config_version"`
	Entries       []string       `json:"entries"`
	// Windows holds the maximum number of tasks that each linked entry may have here, by
	// the entry's name.
	Windows map[string]int `json:"windows"`

	CertificateExpiry time.Time `json:"certificate_expiry"`
}

func (m announceRequest) apply(a *Agent) {
	u := m.upstream
	if a.client == nil || a.pool.Upstream.Address != u.Address || a.pool.Upstream.Connections != u.Connections {
		if a.client != nil {
			a.client.close()
		}
		a.client = newUpstreamClient(u.Address, u.Connections)
	}
	changed := a.pool.Upstream == nil || a.pool.Leaving || a.pool.Upstream.Slots != u.Slots ||
		fmt.Sprint(a.pool.Upstream.Kinds) != fmt.Sprint(u.Kinds)
	a.pool.Announce(u, a.clock.Now())
	if changed {
		a.sendHeartbeats()
	}
	m.done <- struct{}{}
}

func (m leaveRequest) apply(a *Agent) {
	a.pool.Leave("the upstream is leaving", a.clock.Now())
	a.sendHeartbeats()
	m.done <- struct{}{}
}

func (m stateQuery) apply(a *Agent) {
	s := State{
		Name:          a.settings.Self.Name,
		Incarnation:   a.settings.Self.Incarnation,
		Upstream:      a.pool.Upstream,
		Leaving:       a.pool.Leaving,
		LeaveReason:   a.pool.LeaveReason,
		ZoneDrained:   a.pool.ZoneDrained,
		Running:       a.pool.Running(),
		Queued:        a.pool.Queued(),
		Started:       a.pool.Started,
		ConfigVersion: a.config.Version,
		Windows:       map[string]int{},

		CertificateExpiry: a.settings.CertificateExpiry,
	}
	for incarnation, l := range a.links {
		s.Entries = append(s.Entries, l.Peer.Name)
		s.Windows[l.Peer.Name] = a.pool.LoadFor(incarnation).Window
	}
	m.state <- s
}

// webServer serves the agent's HTTP interface to its upstream and to operators.
type webServer struct {
	*serve.Server
	inbox chan<- message
}

func newWebServer(listen string, inbox chan<- message, g *serve.Gate, log *slog.Logger) *webServer {
	return &webServer{Server: serve.New(listen, g, log), inbox: inbox}
}

func (w *webServer) serve(ctx context.Context, done chan<- error) {
	r := mux.NewRouter()
	r.HandleFunc("/v1/upstream", w.handleAnnounce).Methods(http.MethodPut)
	r.HandleFunc("/v1/upstream", w.handleLeave).Methods(http.MethodDelete)
	r.HandleFunc("/debug/state", w.handleState).Methods(http.MethodGet)
	r.HandleFunc("/metrics", w.handleMetrics).Methods(http.MethodGet)
	w.Run(ctx, r, done)
}

func (w *webServer) handleAnnounce(rw http.ResponseWriter, r *http.Request) {
	u := slot.Upstream{}
	d := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&u); err != nil {
		http.Error(rw, "malformed announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if reason := announcementProblem(u); reason != "" {
		http.Error(rw, reason, http.StatusBadRequest)
		return
	}
	done := make(chan struct{}, 1)
	w.performAndRespond(rw, r, announceRequest{upstream: u, done: done}, done)
}

// announcementProblem returns what is wrong with an announcement, or "".
func announcementProblem(u slot.Upstream) string {
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

func (w *webServer) handleLeave(rw http.ResponseWriter, r *http.Request) {
	done := make(chan struct{}, 1)
	w.performAndRespond(rw, r, leaveRequest{done: done}, done)
}

// performAndRespond passes a message to the agent's goroutine and responds with 204 (no
// content) once done reports that it has been carried out.
func (w *webServer) performAndRespond(rw http.ResponseWriter, r *http.Request, m message, done <-chan struct{}) {
	select {
	case w.inbox <- m:
	case <-r.Context().Done():
		return
	}
	select {
	case <-done:
		rw.WriteHeader(http.StatusNoContent)
	case <-time.After(replyTimeout):
		http.Error(rw, "the agent is stopping", http.StatusServiceUnavailable)
	}
}

// queryState returns the agent's state, or false if the agent did not reply in time.
func (w *webServer) queryState(r *http.Request) (State, bool) {
	state := make(chan State, 1)
	select {
	case w.inbox <- stateQuery{state: state}:
	case <-r.Context().Done():
		return State{}, false
	}
	select {
	case s := <-state:
		return s, true
	case <-time.After(replyTimeout):
		return State{}, false
	}
}

func (w *webServer) handleState(rw http.ResponseWriter, r *http.Request) {
	s, ok := w.queryState(r)
	if !ok {
		http.Error(rw, "the agent is stopping", http.StatusServiceUnavailable)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(rw)
	e.SetIndent("", "  ")
	e.Encode(s)
}

func (w *webServer) handleMetrics(rw http.ResponseWriter, r *http.Request) {
	s, ok := w.queryState(r)
	if !ok {
		http.Error(rw, "the agent is stopping", http.StatusServiceUnavailable)
		return
	}
	writeMetrics(rw, s)
	w.WriteClientMetrics(rw)
	metrics.WriteProcessMetrics(rw)
}

func writeMetrics(w io.Writer, s State) {
	set := metrics.NewSet()
	set.NewGauge("turmericbarrow_agent_running", func() float64 { return float64(s.Running) })
	set.NewGauge("turmericbarrow_agent_queued", func() float64 { return float64(s.Queued) })
	set.NewGauge("turmericbarrow_agent_links", func() float64 { return float64(len(s.Entries)) })
	set.NewGauge("turmericbarrow_agent_zone_drained", func() float64 { return boolGauge(s.ZoneDrained) })
	set.NewGauge("turmericbarrow_config_version", func() float64 { return float64(s.ConfigVersion) })
	set.NewGauge("turmericbarrow_certificate_expiry_seconds", func() float64 { return float64(s.CertificateExpiry.Unix()) })
	set.NewCounter("turmericbarrow_agent_tasks_started_total").Set(s.Started)
	set.WritePrometheus(w)
}

// boolGauge returns the value of a gauge for a condition.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
