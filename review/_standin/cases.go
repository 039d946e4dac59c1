package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

const (
	cancelMS = 3000 * time.Millisecond // cancel_ms
	settle   = 200 * time.Millisecond
)

// runLateDuplicate submits a job and cancels it. With the disruption, a copy of the
// submission arrives seconds after it was answered.
func runLateDuplicate(w *world) bool {
	w.start(3, 3)
	id := newJobID()
	body := jobBody(1200, 1600, step{Count: 2})
	result := w.callAsync(0, http.MethodPost, prefix+id, body, 1500*time.Millisecond)
	if w.awaitStart(id+".0.0.0", time.Second) == nil {
		panic("the job does not start")
	}
	time.Sleep(settle)
	a := w.call(0, http.MethodDelete, prefix+id, "", 1500*time.Millisecond)
	cancelled := time.Now()
	if a.status/100 != 2 && a.status != http.StatusGone {
		panic("the cancel was not acknowledged")
	}
	if answered := <-result; answered.status/100 != 2 {
		panic("the submission was not answered with 2xx")
	}
	time.Sleep(cancelMS + 500*time.Millisecond)
	if w.trouble {
		w.note("a copy of the submission arrives")
		w.call(1, http.MethodPost, prefix+id, body, 1500*time.Millisecond)
	}
	time.Sleep(settle)
	return w.startedAfterCancel(id, cancelled)
}

// startedAfterCancel reports whether a task of a job started later than cancelMS after the
// acknowledgement of its cancelling.
func (w *world) startedAfterCancel(id string, acknowledged time.Time) bool {
	late := w.startsOf(id, acknowledged.Add(cancelMS))
	for _, i := range late {
		w.note("UNASKED: %s run %v starts on %s %d ms after the cancel was acknowledged", i.task, i.run, i.worker,
			i.from.Sub(acknowledged).Milliseconds())
	}
	return len(late) > 0
}

// runKilledAfterAck cancels a job through an entry that does not hold it. With the disruption,
// that entry is killed right after its answer.
func runKilledAfterAck(w *world) bool {
	w.start(3, 3)
	id := newJobID()
	result := w.callAsync(0, http.MethodPost, prefix+id, jobBody(3600, 1600, step{Count: 1}, step{Count: 1, After: []int{0}}), 10*time.Second)
	if w.awaitStart(id+".0.0.0", time.Second) == nil {
		panic("the job does not start")
	}
	time.Sleep(settle)
	a := w.call(1, http.MethodDelete, prefix+id, "", 1500*time.Millisecond)
	cancelled := time.Now()
	if w.trouble {
		w.entries[1].signal(syscall.SIGKILL)
		w.note("frontend-2 is killed")
	}
	if a.status/100 != 2 && a.status != http.StatusGone {
		panic("the cancel was not acknowledged")
	}
	<-result
	return w.startedAfterCancel(id, cancelled)
}

// runStoppedEntries has callers request a queue's count from each entry all the while, each
// time over a new connection. With the disruption, the entries are stopped with SIGTERM and
// started again in turn.
func runStoppedEntries(w *world) bool {
	const (
		lossSlack = 200 * time.Millisecond
		callers   = 16 // of each entry
		pause     = 2 * time.Millisecond
		rounds    = 3
		gap       = 2500 * time.Millisecond
	)
	w.start(3, 11)
	stop := make(chan struct{})
	results := make(chan map[int]int)
	lost := make(chan answer, 1000)
	for i := range callers * len(w.entries) {
		go func() {
			counts := map[int]int{}
			for {
				select {
				case <-stop:
					results <- counts
					return
				case <-time.After(pause):
				}
				a := w.count(i % len(w.entries))
				counts[a.status]++
				// A connection that ends before the request was sent has lost nothing.
				if a.status == 0 && a.took > lossSlack {
					select {
					case lost <- a:
					default:
					}
				}
			}
		}()
	}
	for i := range rounds * len(w.entries) {
		e := w.entries[i%len(w.entries)]
		if w.trouble {
			e.signal(syscall.SIGTERM)
			w.note("%s gets SIGTERM", e.name)
		}
		time.Sleep(gap)
	}
	time.Sleep(6 * time.Second) // grace-s
	close(stop)
	total := map[int]int{}
	for range callers * len(w.entries) {
		for status, n := range <-results {
			total[status] += n
		}
	}
	w.note("answers by status, 0 for none: %v", total)
	close(lost)
	broken := false
	for a := range lost {
		w.note("LOST: a request was read whole, and its connection ended without an answer: %v", a)
		broken = true
	}
	return broken
}

// count requests a queue's count from an entry over a new connection.
func (w *world) count(entry int) answer {
	conn, err := net.Dial("tcp", w.address(entryIP(entry), portCallers))
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	sent := time.Now()
	a := answer{}
	_, a.err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: 6000\r\n\r\n", prefix, queueHost)
	conn.SetReadDeadline(time.Now().Add(6 * time.Second))
	if a.err == nil {
		var resp *http.Response
		if resp, a.err = http.ReadResponse(bufio.NewReader(conn), nil); a.err == nil {
			content, err := io.ReadAll(resp.Body)
			a.status, a.body, a.err = resp.StatusCode, string(content), err
		}
	}
	a.took = time.Since(sent)
	if a.status == 0 {
		w.note("caller: GET %s at frontend-%d: %v", prefix, entry+1, a)
	}
	return a
}

// runForeignHeartbeat submits a job. With the disruption, an agent receives the heartbeat of
// another writer while its worker is at work on the job.
func runForeignHeartbeat(w *world) bool {
	w.start(3, 3)
	for range 5 {
		id := newJobID()
		result := w.callAsync(0, http.MethodPost, prefix+id, jobBody(1000, 1600, step{Count: 1}), 1500*time.Millisecond)
		x := w.awaitStart(id+".0.0.0", time.Second)
		if x == nil {
			w.note("the job does not start")
			<-result
			continue
		}
		time.Sleep(settle)
		if w.trouble {
			body := fmt.Sprintf(`{"service":"zz-other","address":"127.77.9.9:9","zone":"elsewhere","version":"v0","slots":1,"state":"ready",`+
				`"cold-remaining-ms":0,"capacity":{"cpu":1000,"mem-mb":64,"gpu":0},"labels":[],"clock-ms":1,"sequence":1,"born":%d}`,
				time.Now().UnixMilli())
			w.note("the agent of %s gets a heartbeat of another writer: %s", x.id, body)
			w.note("answer: %s", postHeartbeat(w.address(x.ip, portControl), "i-other", []byte(body)))
		}
		<-result
		if w.trouble {
			break
		}
	}
	time.Sleep(settle)
	return w.noteTwice(w.twice(2 * time.Millisecond))
}

// runKilledTogether submits jobs whose tasks take some seconds. Callers whose connection breaks
// submit their job again, at another entry. With the disruption, all entries and agents are
// killed at once while workers leave orders unanswered and carry them out late. It does so
// several times.
func runKilledTogether(w *world) bool {
	const (
		rounds   = 5
		workMS   = 3000
		cpu      = 7000
		patience = 10 * time.Second
		settling = 2 * time.Second
	)
	w.start(3, 11)
	done := make(chan struct{}, len(w.workers))
	for range rounds {
		for i := range w.workers {
			go func() {
				w.submitUntilAnswered(i, newJobID(), jobBody(workMS, cpu, step{Count: 1}), patience)
				done <- struct{}{}
			}()
		}
		time.Sleep(time.Second)
		if w.trouble {
			w.killAll()
		}
		for range w.workers {
			<-done
		}
		time.Sleep(settling)
	}
	return w.noteTwice(w.twice(2 * time.Millisecond))
}

// killAll makes the workers leave half of the orders unanswered, and kills all entries and
// agents at once.
func (w *world) killAll() {
	const (
		lateShare = 0.5
		lateFor   = 5 * time.Second
	)
	for _, x := range w.workers {
		x.setLateShare(lateShare)
		time.AfterFunc(lateFor, func() { x.setLateShare(0) })
	}
	for _, p := range append(append([]*process{}, w.entries...), w.agents...) {
		p.signal(syscall.SIGKILL)
	}
	w.note("all entries and agents are killed")
}

// submitUntilAnswered submits a job, and again resend-ms after no answer, 502 or 504.
func (w *world) submitUntilAnswered(entry int, id, body string, patience time.Duration) {
	const (
		resendMS = 1300 * time.Millisecond
		attempts = 3
	)
	for attempt := range attempts {
		a := w.call((entry+attempt)%len(w.entries), http.MethodPost, prefix+id, body, patience)
		if a.status != 0 && a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			return
		}
		time.Sleep(resendMS)
	}
}

// runRestartedWorker sends jobs at a steady rate that only the workers of kind "b" can run.
// With the disruption, one of them crashes and comes back under its own id, four times.
func runRestartedWorker(w *world) bool {
	const (
		interval = 3 * time.Millisecond // between two jobs
		loadFor  = 12 * time.Second
		crashes  = 4
		downFor  = 100 * time.Millisecond
		gap      = 2500 * time.Millisecond
	)
	w.start(3, 7)
	go func() {
		x := w.workers[len(w.workers)-1]
		for i := 0; w.trouble && i < crashes; i++ {
			time.Sleep(gap)
			x.crash()
			w.note("%s has crashed", x.id)
			time.Sleep(downFor)
			x.start(firstBeat())
			w.note("%s has started again", x.id)
		}
	}()
	w.sendJobs(interval, loadFor, jobBody(60, 100, step{Count: 1, Requires: "b"}))
	return w.noteTwice(w.twice(2 * time.Millisecond))
}

// runChangedWorker sends jobs at a steady rate that only the workers of kind "b" can run. With the
// disruption, one of them crashes and comes back under its own id as a worker of kind "a".
func runChangedWorker(w *world) bool {
	const (
		interval = 3 * time.Millisecond // between two jobs
		loadFor  = 5 * time.Second
		crashAt  = 2500 * time.Millisecond
		downFor  = 100 * time.Millisecond
	)
	w.start(3, 7)
	x := w.workers[len(w.workers)-1]
	if w.trouble {
		time.AfterFunc(crashAt, func() {
			x.crash()
			w.note("%s has crashed", x.id)
			x.kind = "a"
			time.AfterFunc(downFor, func() {
				x.start(firstBeat())
				w.note("%s has started again, as kind a", x.id)
			})
		})
	}
	w.sendJobs(interval, loadFor, jobBody(60, 100, step{Count: 1, Requires: "b"}))
	w.mu.Lock()
	defer w.mu.Unlock()
	broken := 0
	for _, i := range w.runs {
		if i.worker == x.id && x.kind == "a" && i.born == x.life.born {
			broken++
		}
	}
	fmt.Fprintf(w.record, "ROUTE: %d starts on %s, which lacks the label b\n", broken, x.id)
	return broken > 0
}

// sendJobs submits jobs at a steady rate and waits until all are answered.
func (w *world) sendJobs(interval, loadFor time.Duration, body string) {
	stop := time.Now().Add(loadFor)
	done := make(chan struct{}, int(loadFor/interval)+1)
	total := 0
	for t := time.NewTicker(interval); time.Now().Before(stop); <-t.C {
		entry := total % len(w.entries)
		total++
		go func() {
			w.call(entry, http.MethodPost, prefix+newJobID(), body, 1500*time.Millisecond)
			done <- struct{}{}
		}()
	}
	for range total {
		<-done
	}
	w.note("%d jobs", total)
}

// firstBeat is the time from the start of a worker to its first heartbeat, which is within the
// interval of heartbeats. FIRST_BEAT_MS sets another one.
func firstBeat() time.Duration {
	if ms, err := strconv.Atoi(os.Getenv("FIRST_BEAT_MS")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	return 300 * time.Millisecond
}
