package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/turmericbarrow/turmericbarrow/internal/entry"
	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

// Customers that send the load.
const (
	customerEvents  = "events"
	customerAgency  = "agency"
	customerJoiners = "joiners"
)

func tokenOf(customer string) string {
	return customer + "-token"
}

// contract returns a contract with a rate limit that is never reached, so that only the
// shares determine how capacity is divided.
func contract(customer string, share float64) []byte {
	sum := sha256.Sum256([]byte(tokenOf(customer)))
	return []byte(fmt.Sprintf(`customer: %s
tokens: [%s]
share: %g
floor_slots: 1
ceiling_slots: 0
rate: {per_second: 100000, burst: 100000}
queue: 2000
urgent_percent: 20
retry_percent: 10
kinds:
  - {name: check, idempotent: true, share: 4, priority: urgent, deadline_ms: 10000, hedge: true}
  - {name: assign, idempotent: false, share: 3, deadline_ms: 10000}
  - {name: lookup, idempotent: true, share: 1, deadline_ms: 10000}
`, customer, hex.EncodeToString(sum[:]), share))
}

// serviceTimesMS returns the mean service time of each kind at speed one.
func serviceTimesMS() map[string]float64 {
	return map[string]float64{"check": 200, "assign": 400, "lookup": 160}
}

const (
	slots       = 8
	holdMS      = 1500
	roundTripMS = 1.0 // on loopback
	spread      = 0.3 // maximum deviation of service times, as a fraction of their mean
)

// speeds holds the relative speed of each upstream, in ascending order.
var speeds = []float64{1, 2, 4}

func upstreams(onStart func(fakes.TaskStart)) []fakes.UpstreamSettings {
	var out []fakes.UpstreamSettings
	for i, speed := range speeds {
		out = append(out, fakes.UpstreamSettings{
			Name: fmt.Sprintf("minion-%d", i+1), Slots: slots, Connections: 60, Speed: speed,
			ServiceTimesMS: serviceTimesMS(), Spread: spread, HoldMS: holdMS, OnStart: onStart,
		})
	}
	return out
}

// capacityOf returns the number of tasks of a kind that the upstreams can serve per second.
func capacityOf(kind string) float64 {
	total := 0.0
	for _, speed := range speeds {
		total += slots * speed / serviceTimesMS()[kind] * 1000
	}
	return total
}

func deploymentOptions(o Options, baseline bool) local.Options {
	return local.Options{
		Entries:   2,
		Upstreams: upstreams(nil),
		Contracts: [][]byte{contract(customerEvents, 1), contract(customerAgency, 1), contract(customerJoiners, 1)},
		Baseline:  baseline,
		Seed:      o.Seed,
	}
}

// withDeployment calls fn with a new deployment and a generator that sends to its entries.
func withDeployment(ctx context.Context, o Options, localOptions local.Options, fn func(*local.Deployment, *generator) error) error {
	d, err := local.Start(ctx, localOptions, o.Log)
	if err != nil {
		return err
	}
	defer d.Close()
	g := newGenerator(o.Seed, func() []string { return callerURLs(d) })
	defer g.close()
	return fn(d, g)
}

func callerURLs(d *local.Deployment) []string {
	var out []string
	for _, e := range d.Entries {
		out = append(out, "http://"+e.Addresses.Callers)
	}
	return out
}

// rotation holds the base URLs of the entries to which a load balancer would currently send.
// A goroutine receives the list from the channel before it reads or replaces it, so that only
// one goroutine has it at a time.
type rotation chan []string

func newRotation(entries []string) rotation {
	r := make(rotation, 1)
	r <- entries
	return r
}

func (r rotation) get() []string {
	entries := <-r
	r <- entries
	return entries
}

func (r rotation) set(entries []string) {
	<-r
	r <- entries
}

// entryStates returns the state dump of every entry.
func entryStates(ctx context.Context, d *local.Deployment) ([]entry.State, error) {
	var out []entry.State
	for i := range d.Entries {
		c := d.OperatorClient(i)
		st, err := c.State(ctx)
		c.Close()
		if err != nil {
			return nil, err
		}
		out = append(out, st)
	}
	return out, nil
}

// wastedPerSubmission returns the mean number of messages per submission beyond one request
// and one response.
func wastedPerSubmission(ctx context.Context, d *local.Deployment) (float64, error) {
	states, err := entryStates(ctx, d)
	if err != nil {
		return 0, err
	}
	wasted, submitted := 0.0, 0.0
	for _, st := range states {
		wasted += float64(st.Counters.Wasted)
		submitted += float64(st.Counters.Submitted)
	}
	return wasted / max(1, submitted), nil
}

func isFlood(s sample) bool    { return s.source.flood }
func isNotFlood(s sample) bool { return !s.source.flood }
func anySample(sample) bool    { return true }

// summarizeOutcomes counts the samples by outcome, for progress output.
func summarizeOutcomes(samples []sample) string {
	counts := map[string]int{}
	for _, s := range samples {
		switch {
		case s.ok():
			counts["ok"]++
		case s.err != nil:
			counts["failed"]++
		default:
			counts[s.problem+"/"+s.ran]++
		}
	}
	var parts []string
	for k, v := range counts {
		parts = append(parts, fmt.Sprintf("%s %d", k, v))
	}
	return strings.Join(parts, ", ")
}
