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
	// perSecond is the mean rate; arrivals are random and independent.
	perSecond float64
	timeout   clock.Millis
	// keyed sends each request under a fresh ticket.
	keyed bool
	flood bool
	// entry is the number of the only entry to use, from one; zero for any.
	entry int
}

// sample is the outcome of one request.
type sample struct {
	source  source
	request string
	// sentAt counts from the start of the load.
	sentAt  time.Duration
	took    time.Duration
	status  int
	problem string
	ran     string
	failed  error
}

func (s sample) ok() bool {
	return s.failed == nil && s.status == http.StatusOK
}

// inDeadline reports whether the caller got its answer in time.
func (s sample) inDeadline() bool {
	return s.ok() && s.took <= s.source.timeout.Duration()
}

// generator sends requests to entries at given rates, whether or not answers come.
type generator struct {
	client *http.Client
	random *rand.Rand
	// entries gives the base URLs that a balancer would use at present.
	entries func() []string
	began   time.Time
	// sent numbers the payloads, so that no two submissions share one.
	sent int
}

const (
	maxConns    = 4096
	answerGrace = 2 * time.Second
	// maxInFlight keeps the process below its limit of open files; a caller that finds
	// it reached counts as failed.
	maxInFlight  = 6_000
	payloadBytes = 64
)

// errBusy is the failure of a request that was not sent.
const errBusy = errors.ConstError("too many requests in flight")

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

// run sends from the sources for a span and returns all outcomes.
func (g *generator) run(ctx context.Context, span time.Duration, sources []source) []sample {
	g.began = time.Now()
	results := make(chan sample, maxInFlight)
	var out []sample
	inFlight := 0
	next := make([]time.Duration, len(sources))
	for i := range sources {
		next[i] = g.gap(sources[i])
	}
	for {
		i := earliest(next)
		at := next[i]
		if at >= span {
			break
		}
		inFlight -= collect(results, time.Until(g.began.Add(at)), &out)
		g.sent++
		if inFlight < maxInFlight {
			inFlight++
			go g.one(ctx, sources[i], g.entry(sources[i]), g.sent, results)
		} else {
			out = append(out, sample{source: sources[i], failed: errBusy})
		}
		next[i] = at + g.gap(sources[i])
	}
	for ; inFlight > 0; inFlight-- {
		out = append(out, <-results)
	}
	return out
}

// collect takes results until the time is over, and returns their number.
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

func earliest(times []time.Duration) int {
	best := 0
	for i := range times {
		if times[i] < times[best] {
			best = i
		}
	}
	return best
}

func (g *generator) gap(s source) time.Duration {
	return time.Duration(g.random.ExpFloat64() / s.perSecond * float64(time.Second))
}

func (g *generator) entry(s source) string {
	es := g.entries()
	if s.entry > 0 {
		return es[s.entry-1]
	}
	return es[g.random.IntN(len(es))]
}

func (g *generator) one(ctx context.Context, s source, entry string, n int, results chan<- sample) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout.Duration()+answerGrace)
	defer cancel()
	out := sample{source: s, sentAt: time.Since(g.began)}
	h := http.Header{}
	h.Set("Request-Timeout", strconv.FormatInt(int64(s.timeout), 10))
	if s.keyed {
		t, err := ticket(ctx, g.client, entry, s.token)
		if err != nil {
			out.failed = err
			results <- out
			return
		}
		h.Set("Idempotency-Key", t)
	}
	body := []byte(fmt.Sprintf("%0*d", payloadBytes, n))
	sent := time.Now()
	r, err := send(ctx, g.client, http.MethodPost, entry+"/v1/requests/"+s.kind, s.token, h, body)
	out.took = time.Since(sent)
	out.failed = err
	out.request, out.status, out.problem, out.ran = r.request, r.status, r.problem, r.ran
	results <- out
}

// received is an HTTP answer of an entry.
type received struct {
	request string
	status  int
	problem string
	ran     string
	body    []byte
}

func send(ctx context.Context, c *http.Client, method, url, token string, h http.Header, body []byte) (received, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return received{}, errors.Annotatef(err, "send to %s", url)
	}
	req.Header = h
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := c.Do(req)
	if err != nil {
		return received{}, errors.Annotatef(err, "send to %s", url)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return received{}, errors.Annotatef(err, "read from %s", url)
	}
	out := received{request: resp.Header.Get("Request-Id"), status: resp.StatusCode, body: data}
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

func ticket(ctx context.Context, c *http.Client, entry, token string) (string, error) {
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

// histogram holds ratios in thousandths.
type histogram struct {
	*hdrhistogram.Histogram
}

const (
	histogramMax    = 10_000_000
	histogramDigits = 3
	ratioUnit       = 1000
)

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(ratio float64) {
	h.RecordValue(min(int64(ratio*ratioUnit), histogramMax))
}

func (h histogram) at(percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / ratioUnit
}

// part returns the part of samples for which keep holds.
func part(samples []sample, of, keep func(sample) bool) float64 {
	total, kept := 0, 0
	for _, s := range samples {
		if !of(s) {
			continue
		}
		total++
		if keep(s) {
			kept++
		}
	}
	if total == 0 {
		return 0
	}
	return float64(kept) / float64(total)
}

func count(samples []sample, of func(sample) bool) int {
	n := 0
	for _, s := range samples {
		if of(s) {
			n++
		}
	}
	return n
}
