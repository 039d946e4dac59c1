package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client is one client of the platform, with connections of its own. An open connection stays
// with its entry.
type client struct {
	d    *deployment
	http *http.Client
}

func newClient(d *deployment) *client {
	return &client{d: d, http: &http.Client{Transport: &http.Transport{}}}
}

// answer is the response to a request; status is 0 without one.
type answer struct {
	status int
	body   string
	at     time.Time
}

func (a answer) isAck() bool { return a.status/100 == 2 || a.status == http.StatusGone }

// call sends a request to an entry and waits for the response up to the deadline.
func (c *client) call(method string, entry int, path, body string, deadline time.Duration) answer {
	name := c.d.entries[entry].name
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", c.d.entryIP(entry), portFrontend, path), strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = queueHost
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	c.d.record.log("client: %s %s sent to %s (Deadline-Ms %d)", method, path, name, deadline.Milliseconds())
	timed := *c.http
	timed.Timeout = deadline
	resp, err := timed.Do(req)
	if err != nil {
		c.d.record.log("client: %s %s at %s: no response", method, path, name)
		return answer{at: time.Now()}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.d.record.log("client: %s %s at %s: no response", method, path, name)
		return answer{at: time.Now()}
	}
	c.d.record.log("client: %s %s at %s: %d %s", method, path, name, resp.StatusCode, strings.TrimSpace(string(text)))
	return answer{status: resp.StatusCode, body: string(text), at: time.Now()}
}

// submit submits a job that need not be kept.
func (c *client) submit(entry int, j *job, deadline time.Duration) answer {
	c.d.jobs.add(j)
	body, _ := json.Marshal(map[string]any{"spec": j.Spec, "steps": j.Steps, "best-effort": true})
	return c.call(http.MethodPost, entry, queuePrefix+j.ID, string(body), deadline)
}

func (c *client) cancel(entry int, id string, deadline time.Duration) answer {
	return c.call(http.MethodDelete, entry, queuePrefix+id, "", deadline)
}
