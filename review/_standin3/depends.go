package main

import (
	"context"
	"encoding/json"
	"sync"
	"time"
)

// Sizes of the job of manyDependencies.
const (
	quickSteps = 900
	wideSteps  = 52
	wideCount  = 60
)

// dependentJob returns a job with a first step that takes gateMS, many quick steps, a last step
// that takes long, and wide steps that depend on all of these.
func dependentJob(gateMS int) *job {
	j := &job{ID: newJobID(), Spec: "many dependencies"}
	add := func(count, ms int, after []int) {
		j.Steps = append(j.Steps, step{Count: count, CPU: 1, EstimatedMS: ms, After: after})
	}
	add(1, gateMS, nil)
	after := []int{0}
	for range quickSteps {
		after = append(after, len(j.Steps))
		add(1, 5, nil)
	}
	after = append(after, len(j.Steps))
	add(1, 60_000, nil)
	for range wideSteps {
		add(wideCount, 50, after)
	}
	return j
}

// silence is the longest time for which an entry may answer nothing at all: recover-s of the site.
const silence = 12 * time.Second

// manyDependencies submits one job with many dependencies beside ordinary traffic.
func manyDependencies(ctx context.Context, rec *record, trouble bool) error {
	const jobDeadline, watch = 60 * time.Second, 45 * time.Second
	d, err := newDeployment(ctx, rec, 3, workers(8), true)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.awaitReady(); err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(ctx, watch)
	defer stop()
	t := newAnswerTimes(len(d.entries))
	var clients sync.WaitGroup
	for i := range d.entries {
		for range 2 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				d.sendOrdinary(ctx, i, t)
			}()
		}
	}
	time.Sleep(2 * time.Second)
	j := dependentJob(4000)
	body, _ := json.Marshal(map[string]any{"spec": j.Spec, "steps": j.Steps, "best-effort": true})
	rec.log("the job %s has %d steps, %d tasks and a body of %d bytes", j.ID, len(j.Steps), 1+quickSteps+1+wideSteps*wideCount, len(body))
	if trouble {
		go newClient(d).submit(0, j, jobDeadline)
	}
	clients.Wait()
	return t.check(rec, d)
}

// sendOrdinary sends one small job after another to an entry.
func (d *deployment) sendOrdinary(ctx context.Context, entry int, t *answerTimes) {
	for ctx.Err() == nil {
		c := newClient(d)
		j := &job{ID: newJobID(), Spec: "ordinary", Steps: []step{{Count: 2, CPU: 1600, MemMB: 64, EstimatedMS: 60}}}
		sentAt := time.Now()
		a := c.submit(entry, j, 1500*time.Millisecond)
		t.add(entry, sentAt, a.status != 0)
		c.http.CloseIdleConnections()
		time.Sleep(100 * time.Millisecond)
	}
}

// answerTimes holds, for each entry, for how long it has answered nothing.
type answerTimes struct {
	mu       sync.Mutex
	lastAt   []time.Time
	longest  []time.Duration
	answered []int
	silent   []int
}

func newAnswerTimes(entries int) *answerTimes {
	t := &answerTimes{lastAt: make([]time.Time, entries), longest: make([]time.Duration, entries), answered: make([]int, entries), silent: make([]int, entries)}
	for i := range t.lastAt {
		t.lastAt[i] = time.Now()
	}
	return t
}

func (t *answerTimes) add(entry int, sentAt time.Time, answered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longest[entry] = max(t.longest[entry], time.Since(t.lastAt[entry]))
	if answered {
		t.answered[entry]++
		t.lastAt[entry] = time.Now()
	} else {
		t.silent[entry]++
	}
}

func (t *answerTimes) check(rec *record, d *deployment) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var err error
	for i, p := range d.entries {
		rec.log("%s: %d ordinary requests answered, %d without a response; longest time without any response %d ms", p.name, t.answered[i], t.silent[i],
			t.longest[i].Milliseconds())
		if t.longest[i] > silence {
			err = broken("%s answered no request for %d ms", p.name, t.longest[i].Milliseconds())
		}
	}
	return err
}
