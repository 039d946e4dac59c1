package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 1000 // milliseconds
	lateFrom          = 2 * time.Second
	lateTo            = 12 * time.Second
	stopTime          = 30 * time.Millisecond // below stop-ms
	workerCPU         = 16000
	workerMemory      = 32768
)

// taskSpec is the payload of the tasks of this review.
type taskSpec struct {
	CPU    int `json:"cpu"`
	WorkMS int `json:"work_ms"`
}

// interval is the time for which a run was at work on a worker that was up.
type interval struct {
	worker, task string
	born         int64
	run          float64
	from, to     time.Time
	how          string // empty while the run is at work
}

// worker plays a minion. It survives a crash as a new life under the same id.
type worker struct {
	world  *world
	id, ip string
	// kind is the label of the worker's kind.
	kind string

	mu   sync.Mutex
	life *life
	// lateShare is the share of the orders to start or stop a run that get no answer and are
	// carried out lateFrom to lateTo later.
	lateShare float64
}

// life is one life of a worker. It knows nothing of the one before.
type life struct {
	worker    *worker
	born      int64
	startedAt time.Time
	server    *http.Server
	ended     chan struct{}

	fence      float64
	leaseUntil float64
	runs       map[runKey]*run
	highest    map[string]float64
	ends       [][]any
	lastEnd    int
	sequence   int
	touched    time.Time
}

// runKey identifies a run: a task and the number of its start.
type runKey struct {
	task   string
	number float64
}

type run struct {
	cpu      int
	left     time.Duration
	interval *interval
}

func newWorker(w *world, id, ip string) *worker {
	return &worker{world: w, id: id, ip: ip, kind: "a"}
}

// start begins a new life: the worker listens, and announces itself after the given time.
func (x *worker) start(firstHeartbeat time.Duration) {
	l, err := net.Listen("tcp", x.world.address(x.ip, portWorker))
	if err != nil {
		panic(err)
	}
	now := time.Now()
	f := &life{worker: x, born: now.UnixMilli(), startedAt: now, touched: now, ended: make(chan struct{}),
		runs: map[runKey]*run{}, highest: map[string]float64{}}
	f.server = &http.Server{Handler: f}
	x.mu.Lock()
	x.life = f
	x.mu.Unlock()
	go f.server.Serve(l)
	go f.sendHeartbeats(firstHeartbeat)
	go f.work()
}

// crash ends the present life: its connections break, and its runs are gone.
func (x *worker) crash() {
	x.mu.Lock()
	f := x.life
	x.life = nil
	if f != nil {
		for k := range f.runs {
			f.endRun(k, "crashed")
		}
		close(f.ended)
	}
	x.mu.Unlock()
	if f != nil {
		f.server.Close()
	}
}

// setLateShare sets the share of late orders.
func (x *worker) setLateShare(share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lateShare = share
}

func (x *worker) leavesLate() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return rand.Float64() < x.lateShare
}

// runsTask reports whether the worker is at work on a task.
func (x *worker) runsTask(task string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.life == nil {
		return false
	}
	for k := range x.life.runs {
		if k.task == task {
			return true
		}
	}
	return false
}

func (f *life) clock() float64 { return float64(time.Since(f.startedAt).Milliseconds()) + 1 }

func (f *life) gone() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// advance accounts for the work since the last call and ends the runs that are done or whose
// lease has expired.
func (f *life) advance() {
	now := time.Now()
	elapsed := now.Sub(f.touched)
	f.touched = now
	for k, r := range f.runs {
		r.left -= elapsed
		switch {
		case f.clock() > f.leaseUntil:
			f.endRun(k, "lapsed")
		case r.left <= 0:
			f.endRun(k, "done")
		}
	}
}

func (f *life) endRun(k runKey, how string) {
	r := f.runs[k]
	delete(f.runs, k)
	f.highest[k.task] = max(f.highest[k.task], k.number)
	f.lastEnd++
	f.ends = append(f.ends, []any{f.lastEnd, k.task, k.number, how, ""})
	w := f.worker.world
	w.mu.Lock()
	r.interval.to, r.interval.how = time.Now(), how
	w.mu.Unlock()
	w.note("%s (life %d): %s run %v ends: %s", f.worker.id, f.born, k.task, k.number, how)
}

// work ends runs at their time.
func (f *life) work() {
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-f.ended:
			return
		case <-t.C:
			f.worker.mu.Lock()
			if !f.gone() {
				f.advance()
			}
			f.worker.mu.Unlock()
		}
	}
}

// sendHeartbeats sends the first heartbeat after the given time, and then one at each interval.
func (f *life) sendHeartbeats(first time.Duration) {
	t := time.NewTimer(first)
	defer t.Stop()
	for {
		select {
		case <-f.ended:
			return
		case <-t.C:
			f.sendHeartbeat()
			t.Reset(heartbeatInterval)
		}
	}
}

func (f *life) sendHeartbeat() {
	x := f.worker
	f.sequence++
	body, err := json.Marshal(map[string]any{"service": service, "address": x.world.address(x.ip, portWorker),
		"zone": "lisboa-a", "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
		"capacity": map[string]any{"cpu": workerCPU, "mem-mb": workerMemory, "gpu": 0}, "labels": []string{x.kind, "r1-1"},
		"clock-ms": f.clock(), "sequence": f.sequence, "born": f.born})
	if err != nil {
		panic(err)
	}
	status := postHeartbeat(x.world.address(x.ip, portControl), x.id, body)
	x.world.note("%s (life %d): heartbeat %d: %s", x.id, f.born, f.sequence, status)
}

// postHeartbeat sends a heartbeat to an agent and returns what came back.
func postHeartbeat(control, id string, body []byte) string {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+control+"/instances/"+id+"/heartbeat", "application/json", bytes.NewReader(body))
	if err != nil {
		return "no answer"
	}
	resp.Body.Close()
	return fmt.Sprint(resp.StatusCode)
}

func (f *life) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Task    string   `json:"task"`
		Run     float64  `json:"run"`
		Spec    string   `json:"spec"`
		UntilMS *float64 `json:"until-ms"`
		Fence   float64  `json:"fencing-token"`
		Cursor  float64  `json:"ack-cursor"`
		WaitMS  float64  `json:"wait-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != f.worker.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path != "/hold" && f.worker.leavesLate() {
		delay := lateFrom + time.Duration(rand.Int63n(int64(lateTo-lateFrom)))
		f.worker.world.note("%s (life %d): %s of %s run %v is carried out %d ms late", f.worker.id, f.born, r.URL.Path, body.Task, body.Run, delay.Milliseconds())
		time.Sleep(delay)
	}
	f.worker.mu.Lock()
	defer f.worker.mu.Unlock()
	if f.gone() {
		panic(http.ErrAbortHandler)
	}
	f.advance()
	if body.Fence < f.fence {
		f.respond(rw, "fence")
		return
	}
	f.fence = body.Fence
	switch r.URL.Path {
	case "/run-start":
		until := 0.0
		if body.UntilMS != nil {
			until = *body.UntilMS
		}
		f.respond(rw, f.startRun(body.Task, body.Run, body.Spec, until))
	case "/run-stop":
		f.stopRun(body.Task, body.Run)
		f.respond(rw, "")
	case "/hold":
		if body.UntilMS != nil {
			f.renew(*body.UntilMS)
		}
		f.hold(rw, r, body.Cursor, time.Duration(body.WaitMS)*time.Millisecond)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// renew extends the lease of everything that runs here, by holdMax at most.
func (f *life) renew(until float64) {
	f.leaseUntil = max(f.leaseUntil, min(until, f.clock()+holdMax))
}

// startRun starts a run and returns "", or the reason for its refusal.
func (f *life) startRun(task string, number float64, spec string, until float64) string {
	var s taskSpec
	if json.Unmarshal([]byte(spec), &s) != nil {
		panic("a spec that no client sent: " + spec)
	}
	k := runKey{task, number}
	if f.runs[k] != nil {
		return ""
	}
	if f.clock() > until {
		return "late"
	}
	if number <= f.highest[task] {
		f.renew(until)
		return "old"
	}
	used := s.CPU
	for _, r := range f.runs {
		used += r.cpu
	}
	if used > workerCPU {
		f.renew(until)
		return "room"
	}
	f.renew(until)
	x := f.worker
	i := &interval{worker: x.id, task: task, born: f.born, run: number, from: time.Now()}
	f.runs[k] = &run{cpu: s.CPU, left: time.Duration(s.WorkMS) * time.Millisecond, interval: i}
	x.world.mu.Lock()
	x.world.runs = append(x.world.runs, i)
	x.world.mu.Unlock()
	x.world.note("%s (life %d): %s run %v starts, fencing token %.0f", x.id, f.born, task, number, f.fence)
	return ""
}

func (f *life) stopRun(task string, number float64) {
	f.highest[task] = max(f.highest[task], number)
	k := runKey{task, number}
	if f.runs[k] == nil {
		return
	}
	f.worker.mu.Unlock()
	time.Sleep(stopTime)
	f.worker.mu.Lock()
	if f.runs[k] != nil && !f.gone() {
		f.endRun(k, "stopped")
	}
}

func (f *life) respond(rw http.ResponseWriter, reason string) {
	rw.Header().Set("Content-Type", "application/json")
	if reason != "" {
		rw.WriteHeader(http.StatusConflict)
	}
	json.NewEncoder(rw).Encode(map[string]any{"clock-ms": f.clock(), "born": f.born, "reason": reason})
}

// hold forgets the acknowledged ends, waits for an end, and lists what runs and has ended.
func (f *life) hold(rw http.ResponseWriter, r *http.Request, cursor float64, wait time.Duration) {
	for len(f.ends) > 0 && float64(f.ends[0][0].(int)) <= cursor {
		f.ends = f.ends[1:]
	}
	deadline := time.Now().Add(wait)
	for len(f.ends) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		f.worker.mu.Unlock()
		time.Sleep(time.Millisecond)
		f.worker.mu.Lock()
		if f.gone() {
			panic(http.ErrAbortHandler)
		}
		f.advance()
	}
	running := [][]any{}
	for k := range f.runs {
		running = append(running, []any{k.task, k.number, "", 50})
	}
	rw.Header().Set("Content-Type", "application/json")
	json.NewEncoder(rw).Encode(map[string]any{"clock-ms": f.clock(), "born": f.born, "running": running, "ended": f.ends})
}

// twice returns the pairs of runs of one task that were at work at the same time, for longer
// than the given time, on workers that were up.
func (w *world) twice(longerThan time.Duration) [][2]*interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	byTask := map[string][]*interval{}
	for _, i := range w.runs {
		byTask[i.task] = append(byTask[i.task], i)
	}
	var pairs [][2]*interval
	for _, is := range byTask {
		for a := range is {
			for b := a + 1; b < len(is); b++ {
				if overlap(is[a], is[b]) > longerThan {
					pairs = append(pairs, [2]*interval{is[a], is[b]})
				}
			}
		}
	}
	return pairs
}

func overlap(a, b *interval) time.Duration {
	from, to := a.from, a.end()
	if b.from.After(from) {
		from = b.from
	}
	if b.end().Before(to) {
		to = b.end()
	}
	return to.Sub(from)
}

func (i *interval) end() time.Time {
	if i.how == "" {
		return time.Now()
	}
	return i.to
}

// noteTwice writes the pairs to the record and reports whether there are any.
func (w *world) noteTwice(pairs [][2]*interval) bool {
	for _, p := range pairs {
		w.note("TWICE: %s run %v on %s (life %d) and run %v on %s (life %d) for %d ms", p[0].task, p[0].run, p[0].worker, p[0].born,
			p[1].run, p[1].worker, p[1].born, overlap(p[0], p[1]).Milliseconds())
	}
	return len(pairs) > 0
}
