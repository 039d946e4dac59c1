package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// source is a stream of requests of one kind.
type source struct {
	token string
	kind  string
	// perSecond is the mean rate. Arrivals are random and independent.
	perSecond float64
	timeoutMS clock.Millis
	// keyed sends each request with a new ticket as its idempotency key.
	keyed bool
	// flood marks the source that overloads the dispatcher.
	flood bool
	// entry is the number of the only entry to use, counted from one. Zero means any entry.
	entry int
}

// sample is the outcome of one request.
type sample struct {
	source    source
	requestID string
	// sentAt is the time since the start of the load.
	sentAt  time.Duration
	latency time.Duration
	status  int
	// problem and ran are the type of the problem and its statement whether anything has
	// run. Both are empty in an answer without a problem.
	problem string
	ran     string
	err     error
}

func (s sample) ok() bool {
	return s.err == nil && s.status == http.StatusOK
}

// withinDeadline reports whether the request succeeded before its deadline.
func (s sample) withinDeadline() bool {
	return s.ok() && s.latency <= s.source.timeoutMS.Duration()
}

// generator sends requests to entries at given rates, without waiting for the answers to
// earlier requests (open loop).
type generator struct {
	client *http.Client
	random *rand.Rand
	// entries returns the base URLs to which a load balancer would currently send.
	entries   func() []string
	startedAt time.Time
	// sent counts the requests. It is used as the payload, so that payloads are unique.
	sent int
}

const (
	maxConns = 4096
	// answerGrace is how long a caller waits for an answer after its deadline.
	answerGrace = 2 * time.Second
	// maxInFlight keeps the process below its limit on open files. Requests beyond it are
	// not sent and count as failed.
	maxInFlight  = 6_000
	payloadBytes = 64
)

// errTooManyInFlight is the error of a request that was not sent because of maxInFlight.
const errTooManyInFlight = errors.ConstError("too many requests in flight")

func newGenerator(seed uint64, entries func() []string) *generator {
	t := &http.Transport{MaxIdleConnsPerHost: maxConns, MaxIdleConns: maxConns, IdleConnTimeout: 5 * time.Second}
	return &generator{
		client:  &http.Client{Transport: t},
		random:  rand.New(rand.NewPCG(seed, seed)),
		entries: entries,
	}
}

func (g *generator) close() {
	g.client.CloseIdleConnections()
}

// run sends the requests of the sources for a duration, and returns the outcomes of all of
// them after the last has ended.
func (g *generator) run(ctx context.Context, duration time.Duration, sources []source) []sample {
	g.startedAt = time.Now()
	results := make(chan sample, maxInFlight)
	var out []sample
	inFlight := 0
	next := make([]time.Duration, len(sources))
	for i := range sources {
		next[i] = g.interarrival(sources[i])
	}
	for {
		i := indexOfEarliest(next)
		at := next[i]
		if at >= duration {
			break
		}
		inFlight -= collect(results, time.Until(g.startedAt.Add(at)), &out)
		g.sent++
		if inFlight < maxInFlight {
			inFlight++
			go g.sendOne(ctx, sources[i], g.pickEntry(sources[i]), g.sent, results)
		} else {
			out = append(out, sample{source: sources[i], err: errTooManyInFlight})
		}
		next[i] = at + g.interarrival(sources[i])
	}
	for ; inFlight > 0; inFlight-- {
		out = append(out, <-results)
	}
	return out
}

// collect appends the results that arrive during the wait to out, and returns their number.
func collect(results <-chan sample, wait time.Duration, out *[]sample) int {
	n := 0
	if wait <= 0 {
		return 0
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		select {
		case s := <-results:
			*out = append(*out, s)
			n++
		case <-t.C:
			return n
		}
	}
}

func indexOfEarliest(times []time.Duration) int {
	best := 0
	for i := range times {
		if times[i] < times[best] {
			best = i
		}
	}
	return best
}

// interarrival returns the random time until the next request of a source.
func (g *generator) interarrival(s source) time.Duration {
	return time.Duration(g.random.ExpFloat64() / s.perSecond * float64(time.Second))
}

func (g *generator) pickEntry(s source) string {
	es := g.entries()
	if s.entry > 0 {
		return es[s.entry-1]
	}
	return es[g.random.IntN(len(es))]
}

func (g *generator) sendOne(ctx context.Context, s source, entry string, n int, results chan<- sample) {
	ctx, cancel := context.WithTimeout(ctx, s.timeoutMS.Duration()+answerGrace)
	defer cancel()
	out := sample{source: s, sentAt: time.Since(g.startedAt)}
	h := http.Header{}
	h.Set("Request-Timeout", strconv.FormatInt(int64(s.timeoutMS), 10))
	if s.keyed {
		t, err := fetchTicket(ctx, g.client, entry, s.token)
		if err != nil {
			out.err = err
			results <- out
			return
		}
		h.Set("Idempotency-Key", t)
	}
	body := []byte(fmt.Sprintf("%0*d", payloadBytes, n))
	began := time.Now()
	r, err := send(ctx, g.client, http.MethodPost, entry+"/v1/requests/"+s.kind, s.token, h, body)
	out.latency = time.Since(began)
	out.err = err
	out.requestID, out.status, out.problem, out.ran = r.requestID, r.status, r.problem, r.ran
	results <- out
}

// response is the HTTP response of an entry.
type response struct {
	requestID string
	status    int
	problem   string
	ran       string
	body      []byte
}

func send(ctx context.Context, c *http.Client, method, url, token string, h http.Header, body []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return response{}, errors.Annotatef(err, "send to %s", url)
	}
	req.Header = h
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := c.Do(req)
	if err != nil {
		return response{}, errors.Annotatef(err, "send to %s", url)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return response{}, errors.Annotatef(err, "read from %s", url)
	}
	out := response{requestID: resp.Header.Get("Request-Id"), status: resp.StatusCode, body: data}
	if resp.StatusCode != http.StatusOK {
		var p struct {
			Type string `json:"type"`
			Ran  string `json:"ran"`
		}
		if json.Unmarshal(data, &p) == nil {
			out.problem, out.ran = strings.TrimPrefix(p.Type, "urn:turmericbarrow:problem:"), p.Ran
		}
	}
	return out, nil
}

func fetchTicket(ctx context.Context, c *http.Client, entry, token string) (string, error) {
	r, err := send(ctx, c, http.MethodPost, entry+"/v1/tickets", token, http.Header{}, nil)
	if err != nil {
		return "", err
	}
	var out struct {
		Tickets []string `json:"tickets"`
	}
	if err := json.Unmarshal(r.body, &out); err != nil || len(out.Tickets) == 0 {
		return "", errors.Errorf("ticket from %s: status %d", entry, r.status)
	}
	return out.Tickets[0], nil
}

// histogram stores values in units of 1/histogramScale with histogramDigits significant digits.
// Values above histogramMax units count as histogramMax.
type histogram struct {
	*hdrhistogram.Histogram
}

const (
	histogramMax    = 10_000_000
	histogramDigits = 3
	histogramScale  = 1000
)

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(value float64) {
	h.RecordValue(min(int64(value*histogramScale), histogramMax))
}

func (h histogram) percentile(p float64) float64 {
	return float64(h.ValueAtPercentile(p)) / histogramScale
}

// fraction returns the fraction of the selected samples that match, or zero if none is
// selected.
func fraction(samples []sample, selected, matches func(sample) bool) float64 {
	total, matched := 0, 0
	for _, s := range samples {
		if !selected(s) {
			continue
		}
		total++
		if matches(s) {
			matched++
		}
	}
	if total == 0 {
		return 0
	}
	return float64(matched) / float64(total)
}

func count(samples []sample, matches func(sample) bool) int {
	n := 0
	for _, s := range samples {
		if matches(s) {
			n++
		}
	}
	return n
}
