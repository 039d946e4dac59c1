package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
)

// Behaviour determines how an upstream responds to tasks.
type Behaviour int

// The behaviours of an upstream.
const (
	// BehaviourServe answers every task after its service time.
	BehaviourServe Behaviour = iota
	// BehaviourFail answers every task immediately with status 500.
	BehaviourFail
	// BehaviourTruncate sends half of each answer and then closes the connection.
	BehaviourTruncate
	// BehaviourHang never answers.
	BehaviourHang
)

// UpstreamSettings configures a fake upstream.
type UpstreamSettings struct {
	Name string
	// Slots is the maximum number of concurrent tasks and Connections that of open
	// connections, as announced to the agent. The upstream itself does not enforce them.
	Slots       int
	Connections int
	// Speed is the factor, above zero, by which the service times are divided.
	Speed float64
	// ServiceTimesMS holds the mean service time of each kind at speed one.
	ServiceTimesMS map[string]float64
	// Spread is the maximum deviation of service times from their mean, as a fraction of the
	// mean from 0 to 1.
	Spread float64
	// Agent is the base URL of the agent that receives the announcements.
	Agent string
	// HoldMS is the time for which an announcement is valid.
	HoldMS clock.Millis
	// OnStart is called concurrently for every task that starts. It may be nil.
	OnStart func(TaskStart)
}

// TaskStart describes the start of a task at an upstream.
type TaskStart struct {
	Upstream string
	Kind     string
	Key      string
	Index    int
	Payload  string
}

// Upstream is a fake upstream: an HTTP server that answers each task after a simulated
// service time.
type Upstream struct {
	settings UpstreamSettings
	socket   net.Listener
	address  string
	// behaviour always holds one value, the current behaviour. To read or set it, a
	// goroutine takes the value out and puts one back.
	behaviour chan Behaviour
	leave     chan chan<- error
	client    *http.Client
}

// NewUpstream returns an upstream. Open must be called before Run.
func NewUpstream(s UpstreamSettings) *Upstream {
	u := &Upstream{
		settings:  s,
		behaviour: make(chan Behaviour, 1),
		leave:     make(chan chan<- error),
		client:    &http.Client{Timeout: headerTimeout, Transport: &http.Transport{}},
	}
	u.behaviour <- BehaviourServe
	return u
}

// Open binds the upstream's socket.
func (u *Upstream) Open() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Annotate(err, "listen for tasks")
	}
	u.socket = l
	u.address = "http://" + l.Addr().String()
	return nil
}

// Address returns the base URL at which the upstream accepts tasks.
func (u *Upstream) Address() string {
	return u.address
}

// SetBehaviour changes the behaviour for tasks that start from now on.
func (u *Upstream) SetBehaviour(b Behaviour) {
	<-u.behaviour
	u.behaviour <- b
}

// Leave announces to the agent that the upstream is leaving. The upstream continues to serve
// tasks, but does not announce itself again.
func (u *Upstream) Leave(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case u.leave <- done:
		return <-done
	case <-ctx.Done():
		return errors.Annotate(ctx.Err(), "leave")
	}
}

// Run serves tasks and announces the upstream until ctx ends, and then sends the HTTP server's
// error to done, which is http.ErrServerClosed after a normal end.
func (u *Upstream) Run(ctx context.Context, done chan<- error) {
	r := mux.NewRouter()
	r.HandleFunc("/tasks/{kind}", u.serveTask).Methods(http.MethodPost)
	hs := &http.Server{Handler: r, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- hs.Serve(u.socket) }()
	u.announceLoop(ctx)
	hs.Close()
	u.client.CloseIdleConnections()
	done <- errors.Annotatef(<-served, "serve tasks of %s", u.settings.Name)
}

// announceLoop repeats the announcement three times within its validity.
func (u *Upstream) announceLoop(ctx context.Context) {
	t := time.NewTicker((u.settings.HoldMS / 3).Duration())
	defer t.Stop()
	u.announce(ctx, http.MethodPut)
	leaving := false
	for {
		select {
		case <-t.C:
			if !leaving {
				u.announce(ctx, http.MethodPut)
			}
		case done := <-u.leave:
			leaving = true
			done <- u.announce(ctx, http.MethodDelete)
		case <-ctx.Done():
			return
		}
	}
}

func (u *Upstream) announce(ctx context.Context, method string) error {
	var kinds []string
	for k := range u.settings.ServiceTimesMS {
		kinds = append(kinds, k)
	}
	body, err := json.Marshal(slot.Upstream{
		Name:        u.settings.Name,
		Address:     u.address,
		Slots:       u.settings.Slots,
		Connections: u.settings.Connections,
		Kinds:       kinds,
		HoldMS:      u.settings.HoldMS,
	})
	if err != nil {
		return errors.Annotate(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, method, u.settings.Agent+"/v1/upstream", bytes.NewReader(body))
	if err != nil {
		return errors.Annotatef(err, "announce to %s", u.settings.Agent)
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return errors.Annotatef(err, "announce to %s", u.settings.Agent)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("announce to %s: status %d", u.settings.Agent, resp.StatusCode)
	}
	return nil
}

func (u *Upstream) serveTask(rw http.ResponseWriter, r *http.Request) {
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	kind := mux.Vars(r)["kind"]
	key := r.Header.Get("Task-Key")
	index, _ := strconv.Atoi(r.Header.Get("Task-Index"))
	if u.settings.OnStart != nil {
		u.settings.OnStart(TaskStart{Upstream: u.settings.Name, Kind: kind, Key: key, Index: index, Payload: string(payload)})
	}
	b := <-u.behaviour
	u.behaviour <- b
	switch b {
	case BehaviourFail:
		http.Error(rw, "broken", http.StatusInternalServerError)
		return
	case BehaviourHang:
		<-r.Context().Done()
		return
	}
	if !clock.Wait(r.Context(), u.serviceTime(kind, key, index)) {
		return
	}
	answer := fmt.Sprintf(`{"upstream":%q,"kind":%q,"payload_bytes":%d,"payload_hash":"%x"}`,
		u.settings.Name, kind, len(payload), xxhash.Sum64(payload))
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if b == BehaviourTruncate {
		io.WriteString(rw, answer[:len(answer)/2])
		http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	io.WriteString(rw, answer)
}

func (u *Upstream) serviceTime(kind, key string, index int) clock.Millis {
	return ServiceTime(u.settings.ServiceTimesMS[kind]/u.settings.Speed, u.settings.Spread, key, index)
}

// ServiceTime returns the service time of a task, which varies around a mean in
// milliseconds. It is always the same for the same task, so that runs can be compared.
func ServiceTime(mean, spread float64, key string, index int) clock.Millis {
	h := xxhash.Sum64String(key + "/" + strconv.Itoa(index))
	f := rand.New(rand.NewPCG(h, h)).Float64()*2 - 1
	return clock.Millis(mean*(1+spread*f) + 0.5)
}
