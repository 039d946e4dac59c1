package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// pipelined lets clients send two jobs after each other on one connection, without waiting for the
// first response. One in three leaves before its deadline and sends its jobs again at another entry.
func pipelined(ctx context.Context, rec *record, trouble bool) error {
	d, err := newDeployment(ctx, rec, 3, workers(8), true)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.awaitReady(); err != nil {
		return err
	}
	var clients sync.WaitGroup
	for i := range d.entries {
		for n := range clientsPerEntry {
			clients.Add(1)
			go func() {
				defer clients.Done()
				d.submitPipelined(i, trouble && n == 0)
			}()
		}
	}
	clients.Wait()
	d.jobs.mu.Lock()
	defer d.jobs.mu.Unlock()
	if n := len(d.jobs.twice); n > 0 {
		return broken("%d times a task was started while another run of it was at work, the first: %s", n, d.jobs.twice[0])
	}
	return nil
}

// submitPipelined submits two jobs. If leaves is set, the client closes the connection while the first
// job runs, and sends both again resendDelay later.
func (d *deployment) submitPipelined(entry int, leaves bool) {
	const between, stay, deadline = 200 * time.Millisecond, 400 * time.Millisecond, 6 * time.Second
	conn, err := net.Dial("tcp", net.JoinHostPort(d.entryIP(entry), fmt.Sprint(portFrontend)))
	if err != nil {
		d.record.log("client: no connection to %s", d.entries[entry].name)
		return
	}
	defer conn.Close()
	var submitted []*job
	for n := range 2 {
		j := &job{ID: newJobID(), Spec: fmt.Sprint("pipelined ", n), Steps: []step{{Count: 2, CPU: 1600, MemMB: 64, EstimatedMS: 3500}}}
		submitted = append(submitted, j)
		d.jobs.add(j)
		body, _ := json.Marshal(map[string]any{"spec": j.Spec, "steps": j.Steps, "best-effort": true})
		d.record.log("client: POST %s%s sent to %s (Deadline-Ms %d)", queuePrefix, j.ID, d.entries[entry].name, deadline.Milliseconds())
		fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			queuePrefix, j.ID, queueHost, deadline.Milliseconds(), len(body), body)
		time.Sleep(between)
	}
	if leaves {
		time.Sleep(stay)
		conn.Close()
		d.record.log("client of %s and %s has left %s", submitted[0].ID, submitted[1].ID, d.entries[entry].name)
		time.Sleep(resendDelay)
		for _, j := range submitted {
			newClient(d).submit((entry+1)%len(d.entries), j, deadline)
		}
		return
	}
	conn.SetReadDeadline(time.Now().Add(2 * deadline))
	r := bufio.NewReader(conn)
	for _, j := range submitted {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			d.record.log("client of %s: no response", j.ID)
			return
		}
		text, _ := io.ReadAll(resp.Body)
		d.record.log("client of %s: response %d %q", j.ID, resp.StatusCode, text)
	}
}
