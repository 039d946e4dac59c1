package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// kind is what a worker says of itself besides its id, and stays the same for one life.
type kind struct {
	Labels   []string
	MilliCPU int
	MemoryMB int
	// Guards is set if the worker rejects what does not fit.
	Guards bool
}

// start is one task that a worker has begun.
type start struct {
	Task   string
	Run    float64
	Worker string
	Life   int
	Kind   kind
	At     time.Time
	// UsedMilliCPU is what runs on the worker with this task.
	UsedMilliCPU int
	// Known is set if the worker had answered a hold in this life, which tells its start.
	Known bool
}

// taskNeeds tells what a task needs and how long it takes.
type taskNeeds struct {
	MilliCPU int
	Duration time.Duration
}

// worker stands in for a minion. It follows "Running tasks" and "Service discovery" of the page.
type worker struct {
	id        string
	service   string
	zone      string
	address   string
	control   string
	maxLease  time.Duration
	heartbeat time.Duration
	needs     func(task string) taskNeeds
	// onStart is called for each task that is begun.
	onStart func(start)
	onEnd   func(worker, task string, run float64, how string)
	// clockRate is the rate of the worker's clock, which may be 2% slow.
	clockRate float64

	// lateShare is the share of starts and stops that get no answer and are carried out seconds
	// later, in the same life.
	lateShare float64

	mu      sync.Mutex
	life    int
	known   bool
	kind    kind
	bornAt  time.Time
	token   float64
	until   float64
	runs    map[string]*workerRun
	highest map[string]float64
	ended   [][]any
	endedN  int
	changed chan struct{}
	server  *http.Server
	stop    context.CancelFunc
}

type workerRun struct {
	number float64
	endsAt time.Time
	needs  taskNeeds
}

// tick is the interval at which a worker ends what is due.
const tick = 2 * time.Millisecond

// begin starts a new life of the worker. It registers after firstHeartbeat and then sends
// heartbeats at its interval.
func (w *worker) begin(k kind, firstHeartbeat time.Duration) error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.life++
	w.kind, w.bornAt, w.token, w.until, w.endedN, w.known = k, time.Now(), 0, 0, 0, false
	w.runs, w.highest, w.ended = map[string]*workerRun{}, map[string]float64{}, nil
	w.changed, w.stop = make(chan struct{}), cancel
	life := w.life
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.inLife(life, w.runStart))
	mux.HandleFunc("POST /run-stop", w.inLife(life, w.runStop))
	mux.HandleFunc("POST /hold", w.inLife(life, w.hold))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux}
	server := w.server
	w.mu.Unlock()
	go server.Serve(l)
	go w.keepEnding(ctx, life)
	go w.sendHeartbeats(ctx, life, firstHeartbeat)
	return nil
}

// crash ends the life of the worker: its connections break, and all that it ran is gone.
func (w *worker) crash() {
	w.mu.Lock()
	for task, r := range w.runs {
		w.onEnd(w.id, task, r.number, "crashed")
	}
	w.runs = map[string]*workerRun{}
	w.life++
	server, stop := w.server, w.stop
	w.mu.Unlock()
	stop()
	server.Close()
}

// clockMS is the time on the worker's clock. The caller holds the lock.
func (w *worker) clockMS() float64 {
	return math.Floor(float64(time.Since(w.bornAt).Milliseconds())*w.clockRate) + 1
}

// inLife decodes a call and passes it on while the worker lives, and rejects calls for another one.
func (w *worker) inLife(life int, serve func(rw http.ResponseWriter, r *http.Request, body map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		body := map[string]any{}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life != life {
			panic(http.ErrAbortHandler)
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if w.lateShare > 0 && rand.Float64() < w.lateShare && r.URL.Path != "/hold" {
			go w.carryOutLate(life, body, serve)
			w.mu.Unlock()
			select {
			case <-r.Context().Done():
			case <-time.After(unansweredTime):
			}
			w.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		token, _ := body["fencing-token"].(float64)
		if token < w.token {
			w.answer(rw, http.StatusConflict, "fence")
			return
		}
		w.token = token
		serve(rw, r, body)
	}
}

const (
	// unansweredTime is how long a connection stays open on which no response will come.
	unansweredTime = 2 * time.Second
	minLate        = 2 * time.Second
	maxLate        = 12 * time.Second
)

// carryOutLate carries an order out seconds later, unless the worker has crashed by then.
func (w *worker) carryOutLate(life int, body map[string]any, serve func(http.ResponseWriter, *http.Request, map[string]any)) {
	time.Sleep(minLate + rand.N(maxLate-minLate))
	w.mu.Lock()
	defer w.mu.Unlock()
	token, _ := body["fencing-token"].(float64)
	if w.life == life && token >= w.token {
		serve(nil, nil, body)
	}
}

// answer answers a call. The caller holds the lock. A call that is carried out late gets no answer.
func (w *worker) answer(rw http.ResponseWriter, status int, reason string) {
	if rw == nil {
		return
	}
	m := map[string]any{"clock-ms": w.clockMS()}
	if reason != "" {
		m["reason"] = reason
	}
	writeJSON(rw, status, m)
}

func (w *worker) renew(until float64) {
	w.until = max(w.until, min(until, w.clockMS()+float64(w.maxLease.Milliseconds())))
}

func (w *worker) used() int {
	used := 0
	for _, r := range w.runs {
		used += r.needs.MilliCPU
	}
	return used
}

func (w *worker) runStart(rw http.ResponseWriter, _ *http.Request, body map[string]any) {
	w.endDue()
	task, _ := body["task"].(string)
	number, _ := body["run"].(float64)
	until, _ := body["until-ms"].(float64)
	r := w.runs[task]
	needs := w.needs(task)
	switch {
	case r != nil && r.number == number:
		w.renew(until)
		w.answer(rw, http.StatusOK, "")
		return
	case number <= w.highest[task] || r != nil:
		w.renew(until)
		w.answer(rw, http.StatusConflict, "old")
		return
	case until <= w.clockMS():
		w.answer(rw, http.StatusConflict, "late")
		return
	case w.kind.Guards && w.used()+needs.MilliCPU > w.kind.MilliCPU:
		w.renew(until)
		w.answer(rw, http.StatusConflict, "room")
		return
	}
	w.renew(until)
	w.runs[task] = &workerRun{number: number, endsAt: time.Now().Add(needs.Duration), needs: needs}
	w.onStart(start{Task: task, Run: number, Worker: w.id, Life: w.life, Kind: w.kind, At: time.Now(), UsedMilliCPU: w.used(), Known: w.known})
	w.answer(rw, http.StatusOK, "")
}

func (w *worker) runStop(rw http.ResponseWriter, _ *http.Request, body map[string]any) {
	w.endDue()
	task, _ := body["task"].(string)
	number, _ := body["run"].(float64)
	w.highest[task] = max(w.highest[task], number)
	if r := w.runs[task]; r != nil && r.number <= number {
		w.end(task, "stopped")
	}
	w.answer(rw, http.StatusOK, "")
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, body map[string]any) {
	cursor, _ := body["ack-cursor"].(float64)
	waitMS, _ := body["wait-ms"].(float64)
	life := w.life
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	w.endDue()
	if until, ok := body["until-ms"].(float64); ok {
		w.renew(until)
	}
	for len(w.ended) > 0 && float64(w.ended[0][0].(int)) <= cursor {
		w.ended = w.ended[1:]
	}
	for waiting := true; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
		if w.life != life {
			panic(http.ErrAbortHandler)
		}
	}
	w.known = true
	running := [][]any{}
	for task, run := range w.runs {
		running = append(running, []any{task, run.number, "", 50})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock-ms": w.clockMS(), "born": w.bornAt.UnixMilli(), "running": running,
		"ended": append([][]any{}, w.ended[:min(len(w.ended), 500)]...)})
}

func (w *worker) end(task, how string) {
	r := w.runs[task]
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.endedN++
	w.ended = append(w.ended, []any{w.endedN, task, r.number, how, ""})
	w.onEnd(w.id, task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// endDue ends the runs that are done and, once the lease has expired, all others.
func (w *worker) endDue() {
	for task, r := range w.runs {
		switch {
		case w.clockMS() > w.until:
			w.end(task, "lapsed")
		case time.Now().After(r.endsAt):
			w.end(task, "done")
		}
	}
}

func (w *worker) keepEnding(ctx context.Context, life int) {
	for ctx.Err() == nil {
		time.Sleep(tick)
		w.mu.Lock()
		if w.life == life {
			w.endDue()
		}
		w.mu.Unlock()
	}
}

func (w *worker) sendHeartbeats(ctx context.Context, life int, first time.Duration) {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for sequence, wait := 1, first; ; sequence, wait = sequence+1, w.heartbeat {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		w.mu.Lock()
		k := w.kind
		body, _ := json.Marshal(map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8,
			"state": "ready", "cold-remaining-ms": 0, "capacity": map[string]any{"cpu": k.MilliCPU, "mem-mb": k.MemoryMB, "gpu": 0},
			"labels": k.Labels, "clock-ms": w.clockMS(), "sequence": sequence, "born": w.bornAt.UnixMilli()})
		isCurrent := w.life == life
		w.mu.Unlock()
		if !isCurrent {
			return
		}
		resp, err := client.Post(fmt.Sprintf("http://%s/instances/%s/heartbeat", w.control, w.id), "application/json", bytes.NewReader(body))
		if err == nil {
			resp.Body.Close()
		}
	}
}
