package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// soak is no case of its own: it looks for broken rules under a random series of disruptions, with
// jobs of several steps, long tasks, labels, cancels and late copies.
func soak(ctx context.Context, rec *record, trouble bool) error {
	seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
	seconds = max(seconds, 60)
	guarded := os.Getenv("GUARDED") == "1"
	k := kind{Labels: []string{"a", "r1-1"}, MilliCPU: 8000, MemoryMB: 32768, Guards: guarded}
	b := kind{Labels: []string{"b", "r1-2"}, MilliCPU: 8000, MemoryMB: 32768, Guards: guarded}
	d, err := newDeployment(ctx, rec, 3, []kind{k, b, k, b, k, b}, guarded)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.awaitReady(); err != nil {
		return err
	}
	for _, w := range d.workers {
		w.mu.Lock()
		w.clockRate = 0.98
		w.mu.Unlock()
	}
	ctx, stop := context.WithTimeout(ctx, time.Duration(seconds)*time.Second)
	defer stop()
	var clients sync.WaitGroup
	for range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for ctx.Err() == nil {
				d.soakJob(ctx)
			}
		}()
	}
	if trouble {
		d.soakTrouble(ctx)
	}
	clients.Wait()
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	rec.log("%d jobs, %d starts, %d problems", len(d.jobs.jobs), len(d.jobs.starts), len(d.jobs.problems))
	for _, p := range d.jobs.problems {
		rec.log("PROBLEM %s", p)
	}
	if len(d.jobs.problems) > 0 {
		return broken("%d problems, the first: %s", len(d.jobs.problems), d.jobs.problems[0])
	}
	return nil
}

func soakSteps() []step {
	var steps []step
	for i := range 1 + rand.IntN(3) {
		st := step{Count: 1 + rand.IntN(4), CPU: 300 + rand.IntN(2500), MemMB: 64, EstimatedMS: 20 + rand.IntN(250)}
		if rand.IntN(20) == 0 {
			st.EstimatedMS = 2500
		}
		if rand.IntN(3) == 0 {
			st.Requirements = []string{"a", "b"}[rand.IntN(2)]
		}
		if i > 0 {
			st.After = []int{i - 1}
		}
		steps = append(steps, st)
	}
	return steps
}

func (d *deployment) soakJob(ctx context.Context) {
	j := &job{ID: newJobID(), Spec: "soak", Steps: soakSteps()}
	deadline := []time.Duration{1500, 1500, 4000}[rand.IntN(3)] * time.Millisecond
	refused, attempts := 0, 0
	for range 3 {
		c := newClient(d)
		if rand.IntN(15) == 0 {
			deadline := time.Duration(50+rand.IntN(400)) * time.Millisecond
			go func() {
				time.Sleep(deadline)
				c.cancel(rand.IntN(3), j.ID, 1500*time.Millisecond)
			}()
		}
		a := c.submit(rand.IntN(3), j, deadline)
		c.http.CloseIdleConnections()
		attempts++
		if a.status == 429 || a.status == 503 {
			refused++
		}
		if a.status != 0 && a.status != 502 && a.status != 504 {
			break
		}
		time.Sleep(resendDelay)
		if ctx.Err() != nil {
			return
		}
	}
	if refused == attempts {
		if n := len(d.jobs.startsOf(j.ID)); n > 0 {
			d.jobs.mu.Lock()
			d.jobs.problems = append(d.jobs.problems, fmt.Sprintf("REFUSED %s has %d starts", j.ID, n))
			d.jobs.mu.Unlock()
		}
	}
	time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond)
}

// soakTrouble disturbs one or two processes or workers at a time.
func (d *deployment) soakTrouble(ctx context.Context) {
	restart := func(p *process) {
		p.wait()
		time.Sleep(restartDelay)
		if ctx.Err() == nil {
			p.start()
		}
	}
	freeze := func(p *process, t time.Duration) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(t)
		p.signal(syscall.SIGCONT)
	}
	busy := map[any]bool{}
	var mu sync.Mutex
	once := func(p any, f func()) {
		mu.Lock()
		defer mu.Unlock()
		if busy[p] {
			return
		}
		busy[p] = true
		go func() {
			f()
			mu.Lock()
			busy[p] = false
			mu.Unlock()
		}()
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(300+rand.IntN(2500)) * time.Millisecond)
		p := append(append([]*process{}, d.entries...), d.agents...)[rand.IntN(len(d.entries)+len(d.agents))]
		w := d.workers[rand.IntN(len(d.workers))]
		switch rand.IntN(7) {
		case 0:
			once(p, func() { d.record.log("kill %s", p.name); p.signal(syscall.SIGKILL); restart(p) })
		case 1:
			once(p, func() { d.record.log("term %s", p.name); p.signal(syscall.SIGTERM); restart(p) })
		case 2, 3:
			t := time.Duration(100+rand.IntN(4000)) * time.Millisecond
			once(p, func() { d.record.log("freeze %s for %v", p.name, t); freeze(p, t); d.record.log("woke %s", p.name) })
		case 4:
			t := time.Duration(50+rand.IntN(2000)) * time.Millisecond
			once(w, func() {
				d.record.log("worker %s crashes for %v", w.id, t)
				k := w.kind
				w.crash()
				time.Sleep(t)
				if w.begin(k, time.Duration(20+rand.IntN(300))*time.Millisecond) == nil {
					d.record.log("worker %s is up", w.id)
				}
			})
		case 5:
			once(w, func() {
				d.record.log("worker %s leaves orders unanswered", w.id)
				w.mu.Lock()
				w.lateShare = 0.5
				w.mu.Unlock()
				time.Sleep(3 * time.Second)
				w.mu.Lock()
				w.lateShare = 0
				w.mu.Unlock()
			})
		}
	}
}
