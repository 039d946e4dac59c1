package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatEvery = 1500 * time.Millisecond
	heartbeatAck   = time.Second
	holdMaxMS      = 1000
	stopTakes      = 10 * time.Millisecond
)

// Size is the capacity of a minion.
type Size struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem-mb"`
	GPU   int `json:"gpu"`
}

// Kind is what differs between the incarnations of a minion.
type Kind struct {
	Service  string
	Capacity Size
	Labels   []string
	// Guards is set if the minion rejects what does not fit.
	Guards bool
}

// Task is what a minion has started.
type Task struct {
	Minion string
	Name   string
	Run    int64
	Spec   Spec
	Kind   Kind
	// UsedCPU is the processor time of all that runs on the minion, this task included.
	UsedCPU   int
	StartedAt int64
	EndedAt   int64
	How       string
	timer     *time.Timer
}

// Spec is the text that the minions of these cases understand as a task's work.
type Spec struct {
	Label  string
	CPU    int
	WorkMS int
}

// String returns the text of a spec.
func (s Spec) String() string {
	return fmt.Sprintf("label=%s cpu=%d work-ms=%d", s.Label, s.CPU, s.WorkMS)
}

func parseSpec(text string) (s Spec) {
	for _, field := range strings.Fields(text) {
		key, value, _ := strings.Cut(field, "=")
		switch key {
		case "label":
			s.Label = value
		case "cpu":
			fmt.Sscan(value, &s.CPU)
		case "work-ms":
			fmt.Sscan(value, &s.WorkMS)
		}
	}
	return s
}

type end struct {
	number int
	task   *Task
}

// Minion is one incarnation of a minion.
type Minion struct {
	ID      string
	Kind    Kind
	Born    int64
	App     string // the address that its heartbeats name
	Control string
	Zone    string

	record  *Record
	ctx     context.Context
	stop    context.CancelFunc
	server  *http.Server
	client  *http.Client
	started func(*Task)

	mu         sync.Mutex
	since      time.Time
	fence      float64
	leaseUntil int64
	running    map[string]*Task
	floor      map[string]int64 // the highest run that ended or was stopped
	ended      []end
	ends       int
	sequence   int
	draining   bool
	changed    chan struct{}
}

// NewMinion starts a minion that listens at an address and registers at once.
func NewMinion(m *Minion, listen string, record *Record, started func(*Task)) (*Minion, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	m.record, m.started = record, started
	m.Born = time.Now().UnixMilli()
	m.since = time.Now()
	m.running, m.floor = map[string]*Task{}, map[string]int64{}
	m.changed = make(chan struct{})
	m.ctx, m.stop = context.WithCancel(context.Background())
	m.client = &http.Client{Timeout: heartbeatAck, Transport: &http.Transport{DisableKeepAlives: true}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {})
	mux.HandleFunc("POST /run-start", m.runStart)
	mux.HandleFunc("POST /run-stop", m.runStop)
	mux.HandleFunc("POST /hold", m.hold)
	m.server = &http.Server{Handler: mux}
	go m.server.Serve(l)
	go m.beat()
	go m.lapse()
	record.Add("minion %s starts: service %s, labels %v, cpu %d", m.ID, m.Kind.Service, m.Kind.Labels, m.Kind.Capacity.CPU)
	return m, nil
}

// Crash ends the minion: what runs on it is gone, and it sends nothing.
func (m *Minion) Crash() {
	m.stop()
	m.server.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.running {
		t.timer.Stop()
		t.EndedAt, t.How = m.record.Now(), "crashed"
		m.record.Add("minion %s: %s run %d is gone with the minion", m.ID, t.Name, t.Run)
	}
	m.running = map[string]*Task{}
	m.record.Add("minion %s crashed", m.ID)
}

func (m *Minion) clock() int64 {
	return time.Since(m.since).Milliseconds() + 1
}

// beat sends heartbeats: the first at once, and further ones at the interval of the settings.
func (m *Minion) beat() {
	t := time.NewTicker(heartbeatEvery)
	defer t.Stop()
	for {
		go m.sendBeat()
		select {
		case <-t.C:
		case <-m.ctx.Done():
			return
		}
	}
}

func (m *Minion) sendBeat() {
	m.mu.Lock()
	m.sequence++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	body := beatBody(m.Kind, m.App, m.Zone, state, m.clock(), m.sequence, m.Born)
	m.mu.Unlock()
	req, err := http.NewRequestWithContext(m.ctx, http.MethodPost, "http://"+m.Control+"/instances/"+m.ID+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := m.client.Do(req)
	if err != nil {
		if m.ctx.Err() == nil {
			m.record.Add("minion %s: heartbeat not acknowledged", m.ID)
		}
		return
	}
	resp.Body.Close()
	if m.ctx.Err() == nil {
		m.record.Add("minion %s: heartbeat %s labels %v answered %d", m.ID, state, m.Kind.Labels, resp.StatusCode)
	}
}

// beatBody returns a heartbeat as the platform's page shows it.
func beatBody(k Kind, app, zone, state string, clock int64, sequence int, born int64) []byte {
	body, _ := json.Marshal(map[string]any{"service": k.Service, "address": app, "zone": zone, "version": "v1", "slots": 8,
		"state": state, "cold-remaining-ms": 0, "capacity": k.Capacity, "labels": k.Labels, "clock-ms": clock,
		"sequence": sequence, "born": born})
	return body
}

// lapse ends everything once the lease has expired.
func (m *Minion) lapse() {
	for m.ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		if m.clock() > m.leaseUntil {
			for _, t := range m.running {
				m.end(t, "lapsed")
			}
		}
		m.mu.Unlock()
	}
}

// end lists a task as ended. The caller holds the lock.
func (m *Minion) end(t *Task, how string) {
	if m.running[t.Name] != t || m.ctx.Err() != nil {
		return
	}
	t.timer.Stop()
	delete(m.running, t.Name)
	m.floor[t.Name] = max(m.floor[t.Name], t.Run)
	m.ends++
	t.EndedAt, t.How = m.record.Now(), how
	m.ended = append(m.ended, end{m.ends, t})
	m.record.Add("minion %s: %s run %d ended %s", m.ID, t.Name, t.Run, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

type order struct {
	Task         string   `json:"task"`
	Run          float64  `json:"run"`
	Spec         string   `json:"spec"`
	UntilMS      *float64 `json:"until-ms"`
	AckCursor    float64  `json:"ack-cursor"`
	WaitMS       float64  `json:"wait-ms"`
	FencingToken float64  `json:"fencing-token"`
}

// accept decodes an order and checks its instance and fencing token. The caller holds the lock.
func (m *Minion) accept(rw http.ResponseWriter, r *http.Request, o *order) bool {
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		m.answer(rw, http.StatusBadRequest, nil)
		return false
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != m.ID {
		m.answer(rw, http.StatusMisdirectedRequest, nil)
		return false
	}
	if o.FencingToken < m.fence {
		m.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return false
	}
	m.fence = o.FencingToken
	if o.UntilMS != nil {
		m.leaseUntil = max(m.leaseUntil, min(int64(*o.UntilMS), m.clock()+holdMaxMS))
	}
	return true
}

func (m *Minion) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	out := map[string]any{"clock-ms": m.clock(), "born": m.Born}
	for k, v := range fields {
		out[k] = v
	}
	writeJSON(rw, status, out)
}

func (m *Minion) runStart(rw http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var o order
	if !m.accept(rw, r, &o) {
		return
	}
	run, spec := int64(o.Run), parseSpec(o.Spec)
	used := spec.CPU
	for _, t := range m.running {
		used += t.Spec.CPU
	}
	reason := ""
	switch present := m.running[o.Task]; {
	case present != nil && present.Run == run:
		m.answer(rw, http.StatusOK, nil)
		return
	case run <= m.floor[o.Task] || present != nil:
		reason = "old"
	case o.UntilMS == nil || int64(*o.UntilMS) <= m.clock():
		reason = "late"
	case m.Kind.Guards && used > m.Kind.Capacity.CPU:
		reason = "room"
	}
	if reason != "" {
		m.record.Add("minion %s: start of %s run %d rejected (%s)", m.ID, o.Task, run, reason)
		m.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	t := &Task{Minion: m.ID, Name: o.Task, Run: run, Spec: spec, Kind: m.Kind, UsedCPU: used, StartedAt: m.record.Now()}
	t.timer = time.AfterFunc(time.Duration(spec.WorkMS)*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(t, "done")
	})
	m.running[o.Task] = t
	m.record.Add("minion %s: %s run %d started (%s)", m.ID, o.Task, run, spec)
	m.answer(rw, http.StatusOK, nil)
	m.started(t)
}

func (m *Minion) runStop(rw http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var o order
	if !m.accept(rw, r, &o) {
		return
	}
	m.floor[o.Task] = max(m.floor[o.Task], int64(o.Run))
	if t := m.running[o.Task]; t != nil && t.Run <= int64(o.Run) {
		time.AfterFunc(stopTakes, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.end(t, "stopped")
		})
	}
	m.answer(rw, http.StatusOK, nil)
}

func (m *Minion) hold(rw http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var o order
	if !m.accept(rw, r, &o) {
		return
	}
	for len(m.ended) > 0 && m.ended[0].number <= int(o.AckCursor) {
		m.record.Add("minion %s: the end of %s run %d is acknowledged", m.ID, m.ended[0].task.Name, m.ended[0].task.Run)
		m.ended = m.ended[1:]
	}
	if len(m.ended) == 0 && o.WaitMS > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		m.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range m.running {
		running = append(running, []any{t.Name, t.Run, "", 50})
	}
	for _, e := range m.ended {
		ended = append(ended, []any{e.number, e.task.Name, e.task.Run, e.task.How, ""})
	}
	m.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}
