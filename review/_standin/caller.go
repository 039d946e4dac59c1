package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"
)

// answer is what a caller received: a status, or zero if no whole answer arrived.
type answer struct {
	status int
	body   string
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	return fmt.Sprintf("%d %q after %d ms", a.status, strings.TrimSpace(a.body), a.took.Milliseconds())
}

// step is a step of a job.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu"`
	MemMB       int    `json:"mem-mb"`
	EstimatedMS int    `json:"estimated-ms"`
	After       []int  `json:"after,omitempty"`
	Requires    string `json:"requirements,omitempty"`
}

// jobBody returns the body of a job that is answered when it has ended. All its tasks take
// workMS.
func jobBody(workMS, cpu int, steps ...step) string {
	spec, _ := json.Marshal(taskSpec{CPU: cpu, WorkMS: workMS})
	for i := range steps {
		steps[i].CPU, steps[i].MemMB, steps[i].EstimatedMS = cpu, 64, workMS
	}
	body, _ := json.Marshal(map[string]any{"spec": string(spec), "steps": steps, "best-effort": true})
	return string(body)
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one request to an entry over a connection of its own, and waits for the answer
// for the given time.
func (w *world) call(entry int, method, path, body string, wait time.Duration) answer {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: wait}
	req, err := http.NewRequest(method, "http://"+w.address(entryIP(entry), portCallers)+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = queueHost
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	sent := time.Now()
	resp, err := client.Do(req)
	a := answer{err: err}
	if err == nil {
		var content []byte
		content, a.err = io.ReadAll(resp.Body)
		resp.Body.Close()
		a.status, a.body = resp.StatusCode, string(content)
	}
	a.took = time.Since(sent)
	w.note("caller: %s %s to frontend-%d, sent at %.3f, waits %v: %v", method, path, entry+1, sent.Sub(w.started).Seconds(), wait, a)
	return a
}

// callAsync is call in a goroutine of its own.
func (w *world) callAsync(entry int, method, path, body string, wait time.Duration) <-chan answer {
	c := make(chan answer, 1)
	go func() { c <- w.call(entry, method, path, body, wait) }()
	return c
}

// awaitStart waits until a worker is at work on a task, and returns the worker.
func (w *world) awaitStart(task string, timeout time.Duration) *worker {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		for _, x := range w.workers {
			if x.runsTask(task) {
				return x
			}
		}
	}
	return nil
}

// startsOf returns the runs of a job that began after the given time.
func (w *world) startsOf(job string, after time.Time) []*interval {
	w.mu.Lock()
	defer w.mu.Unlock()
	var late []*interval
	for _, i := range w.runs {
		if strings.HasPrefix(i.task, job+".") && i.from.After(after) {
			late = append(late, i)
		}
	}
	return late
}
