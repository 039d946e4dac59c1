package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

// Bounds and parameters of the path scenario.
const (
	boundAddedMS       = 0.5
	boundStarts        = 5000 // per second
	pathRequests       = 2000
	pathCallers        = 64
	pathServiceMS      = 0
	pathSlots          = 256
	microsPerMilli     = 1000
	pathWarmUpRequests = 200
)

// path measures the latency that the dispatcher adds to a direct call of the upstream, with
// one call at a time, and the number of starts per second through one entry and three
// agents.
func path(ctx context.Context, o Options) ([]Figure, error) {
	localOptions := deploymentOptions(o, false)
	localOptions.Entries = 1
	localOptions.Upstreams = nil
	for i := range speeds {
		localOptions.Upstreams = append(localOptions.Upstreams, fakes.UpstreamSettings{
			Name: fmt.Sprintf("minion-%d", i+1), Slots: pathSlots, Connections: pathSlots, Speed: 1,
			ServiceTimesMS: map[string]float64{"check": pathServiceMS, "assign": pathServiceMS, "lookup": pathServiceMS}, HoldMS: holdMS,
		})
	}
	var figures []Figure
	err := withDeployment(ctx, o, localOptions, func(d *local.Deployment, g *generator) error {
		direct := d.Agents[0].Upstream.Address() + "/tasks/check"
		viaEntry := callerURLs(d)[0] + "/v1/requests/check"
		callLatencies(ctx, g, viaEntry, pathWarmUpRequests)
		callLatencies(ctx, g, direct, pathWarmUpRequests)
		directTimes, entryTimes := callLatencies(ctx, g, direct, pathRequests), callLatencies(ctx, g, viaEntry, pathRequests)
		rate, err := startsPerSecond(ctx, g, viaEntry, time.Duration(o.Seconds)*time.Second)
		figures = []Figure{
			atMost("added_ms_p50", entryTimes.percentile(50)-directTimes.percentile(50), boundAddedMS),
			unbounded("added_ms_p99", entryTimes.percentile(99)-directTimes.percentile(99)),
			atLeast("starts_per_second", rate, boundStarts),
		}
		return err
	})
	return figures, err
}

// callLatencies calls a URL n times, one after another, and returns the latencies in
// milliseconds of the calls that received a response.
func callLatencies(ctx context.Context, g *generator, url string, n int) histogram {
	h := newHistogram()
	for range n {
		began := time.Now()
		if _, err := send(ctx, g.client, http.MethodPost, url, tokenOf(customerEvents), http.Header{}, []byte("x")); err == nil {
			h.add(float64(time.Since(began).Microseconds()) / microsPerMilli)
		}
	}
	return h
}

// startsPerSecond runs pathCallers concurrent callers, each of which sends its requests one
// after another, and returns the number of successful requests per second.
func startsPerSecond(ctx context.Context, g *generator, url string, duration time.Duration) (float64, error) {
	results := make(chan int, pathCallers)
	errs := make(chan error, pathCallers)
	began := time.Now()
	for range pathCallers {
		go func() {
			n := 0
			var err error
			for err == nil && time.Since(began) < duration {
				var r response
				r, err = send(ctx, g.client, http.MethodPost, url, tokenOf(customerEvents), http.Header{}, []byte("x"))
				if r.status == http.StatusOK {
					n++
				}
			}
			results <- n
			errs <- err
		}()
	}
	total := 0
	var err error
	for range pathCallers {
		total += <-results
		if e := <-errs; e != nil {
			err = e
		}
	}
	return float64(total) / time.Since(began).Seconds(), err
}
