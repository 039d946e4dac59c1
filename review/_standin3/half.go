package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientsPerEntry is the number of clients of an entry, one of which leaves early.
const clientsPerEntry = 3

// halfClosed submits jobs to each entry. One client in clientsPerEntry leaves: it closes the sending
// side of its connection before the job has ended, and still reads what comes.
func halfClosed(ctx context.Context, rec *record, trouble bool) error {
	d, err := newDeployment(ctx, rec, 3, workers(8), true)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.awaitReady(); err != nil {
		return err
	}
	results := make(chan error)
	for i := range d.entries {
		for n := range clientsPerEntry {
			go func() { results <- d.submitAndCheck(i, trouble && n == 0) }()
		}
	}
	var result error
	for range len(d.entries) * clientsPerEntry {
		if err := <-results; err != nil {
			result = err
		}
	}
	return result
}

func (d *deployment) submitAndCheck(entry int, leaves bool) error {
	j := &job{ID: newJobID(), Spec: "half closed", Steps: []step{{Count: 2, CPU: 1600, MemMB: 64, EstimatedMS: 900}}}
	a, err := d.submitAndLeave(entry, j, leaves)
	if err != nil {
		return err
	}
	time.Sleep(1500 * time.Millisecond)
	return d.checkState(j, a)
}

// submitAndLeave submits a job and, if leaves is set, closes the sending side of the connection while
// the job runs. It returns the response, with status 0 if there is none.
func (d *deployment) submitAndLeave(entry int, j *job, leaves bool) (answer, error) {
	const stay, deadline = 300 * time.Millisecond, 1500 * time.Millisecond
	d.jobs.add(j)
	body, _ := json.Marshal(map[string]any{"spec": j.Spec, "steps": j.Steps, "best-effort": true})
	conn, err := net.Dial("tcp", net.JoinHostPort(d.entryIP(entry), fmt.Sprint(portFrontend)))
	if err != nil {
		return answer{}, err
	}
	defer conn.Close()
	d.record.log("client: POST %s%s sent to %s (Deadline-Ms %d)", queuePrefix, j.ID, d.entries[entry].name, deadline.Milliseconds())
	fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		queuePrefix, j.ID, queueHost, deadline.Milliseconds(), len(body), body)
	if leaves {
		time.Sleep(stay)
		d.record.log("client of %s: closes the sending side", j.ID)
		conn.(*net.TCPConn).CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(deadline))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		d.record.log("client of %s: no response", j.ID)
		return answer{}, nil
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		d.record.log("client of %s: no whole response", j.ID)
		return answer{}, nil
	}
	d.record.log("client of %s: response %d %q", j.ID, resp.StatusCode, text)
	return answer{status: resp.StatusCode, body: string(text), at: time.Now()}, nil
}

// checkState checks that a response with status 200 shows a state, and "succeeded" only if all tasks
// have ended done.
func (d *deployment) checkState(j *job, a answer) error {
	if a.status/100 != 2 {
		return nil
	}
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	done, tasks := 0, 0
	for i, st := range j.Steps {
		for n := range st.Count {
			tasks++
			if d.jobs.done[fmt.Sprintf("%s.0.%d.%d", j.ID, i, n)] {
				done++
			}
		}
	}
	m := struct{ State string }{}
	err := json.Unmarshal([]byte(a.body), &m)
	switch {
	case err != nil || m.State == "":
		return broken("job %s: response %d with the body %q shows no state; %d of %d tasks have ended done", j.ID, a.status, a.body, done, tasks)
	case m.State == "succeeded" && done < tasks:
		return broken("job %s is shown as succeeded; %d of %d tasks have ended done", j.ID, done, tasks)
	}
	return nil
}
