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

// The customers of the measurements.
const (
	customerEvents  = "events"
	customerAgency  = "agency"
	customerJoiners = "joiners"
)

func tokenOf(customer string) string {
	return customer + "-token"
}

// contract returns a contract whose rate does not bind, so that shares decide.
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

// services are mean service times at speed one, in milliseconds.
func services() map[string]float64 {
	return map[string]float64{"check": 200, "assign": 400, "lookup": 160}
}

const (
	slots     = 8
	holdMS    = 1500
	roundTrip = 1.0 // ms, on loopback
	spread    = 0.3
)

var speeds = []float64{1, 2, 4}

func upstreams(onStart func(fakes.TaskStart)) []fakes.UpstreamSettings {
	var out []fakes.UpstreamSettings
	for i, speed := range speeds {
		out = append(out, fakes.UpstreamSettings{
			Name: fmt.Sprintf("minion-%d", i+1), Slots: slots, Connections: 60, Speed: speed,
			ServiceTimesMS: services(), Spread: spread, HoldMS: holdMS, OnStart: onStart,
		})
	}
	return out
}

// capacityOf returns the tasks of a kind that the upstreams serve in a second.
func capacityOf(kind string) float64 {
	total := 0.0
	for _, speed := range speeds {
		total += slots * speed / services()[kind] * 1000
	}
	return total
}

func options(o Options, baseline bool) local.Options {
	return local.Options{
		Entries:   2,
		Upstreams: upstreams(nil),
		Contracts: [][]byte{contract(customerEvents, 1), contract(customerAgency, 1), contract(customerJoiners, 1)},
		Baseline:  baseline,
		Seed:      o.Seed,
	}
}

// with runs fn on a fresh deployment.
func with(ctx context.Context, o Options, lo local.Options, fn func(*local.Stack, *generator) error) error {
	s, err := local.Start(ctx, lo, o.Log)
	if err != nil {
		return err
	}
	defer s.Close()
	g := newGenerator(o.Seed, func() []string { return callers(s) })
	defer g.close()
	return fn(s, g)
}

func callers(s *local.Stack) []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, "http://"+e.Addresses.Callers)
	}
	return out
}

// rotation holds the entries that a balancer would use at present. The task that takes
// the list out is the only one that has it.
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

// states reads the dump of every entry.
func states(ctx context.Context, s *local.Stack) ([]entry.State, error) {
	var out []entry.State
	for i := range s.Entries {
		c := s.OperatorClient(i)
		st, err := c.State(ctx)
		c.Close()
		if err != nil {
			return nil, err
		}
		out = append(out, st)
	}
	return out, nil
}

// wastedPart returns messages beyond one ask and one answer, for each submission.
func wastedPart(ctx context.Context, s *local.Stack) (float64, error) {
	sts, err := states(ctx, s)
	if err != nil {
		return 0, err
	}
	wasted, submitted := 0.0, 0.0
	for _, st := range sts {
		wasted += float64(st.Counters.Wasted)
		submitted += float64(st.Counters.Submitted)
	}
	return wasted / max(1, submitted), nil
}

func isFlood(s sample) bool    { return s.source.flood }
func isNotFlood(s sample) bool { return !s.source.flood }
func everything(sample) bool   { return true }

// outcomes sums up what the samples ended with, for progress lines.
func outcomes(samples []sample) string {
	n := map[string]int{}
	for _, s := range samples {
		switch {
		case s.ok():
			n["ok"]++
		case s.failed != nil:
			n["failed"]++
		default:
			n[s.problem+"/"+s.ran]++
		}
	}
	var parts []string
	for k, v := range n {
		parts = append(parts, fmt.Sprintf("%s %d", k, v))
	}
	return strings.Join(parts, ", ")
}
