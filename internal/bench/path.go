package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

// The goals of the path's own cost.
const (
	boundAddedMS  = 0.5
	boundStarts   = 5000
	pathRequests  = 2000
	pathWorkers   = 64
	pathService   = 0
	pathSlots     = 256
	kilo          = 1000
	pathWarmCalls = 200
)

// path measures what the dispatcher adds to a call of the upstream itself, one call
// at a time, and how many starts a second go through one entry and three agents.
func path(ctx context.Context, o Options) ([]Figure, error) {
	lo := options(o, false)
	lo.Entries = 1
	lo.Upstreams = nil
	for i := range speeds {
		lo.Upstreams = append(lo.Upstreams, fakes.UpstreamSettings{
			Name: fmt.Sprintf("minion-%d", i+1), Slots: pathSlots, Connections: pathSlots, Speed: 1,
			ServiceTimesMS: map[string]float64{"check": pathService, "assign": pathService, "lookup": pathService}, HoldMS: holdMS,
		})
	}
	var figures []Figure
	err := with(ctx, o, lo, func(s *local.Stack, g *generator) error {
		direct := s.Agents[0].Upstream.Address() + "/tasks/check"
		through := callers(s)[0] + "/v1/requests/check"
		timesOf(ctx, g, through, pathWarmCalls)
		timesOf(ctx, g, direct, pathWarmCalls)
		d, t := timesOf(ctx, g, direct, pathRequests), timesOf(ctx, g, through, pathRequests)
		rate, err := startsPerSecond(ctx, g, through, time.Duration(o.Seconds)*time.Second)
		figures = []Figure{
			atMost("added_ms_p50", t.at(50)-d.at(50), boundAddedMS),
			plain("added_ms_p99", t.at(99)-d.at(99)),
			atLeast("starts_per_second", rate, boundStarts),
		}
		return err
	})
	return figures, err
}

// timesOf calls a URL n times, one after another.
func timesOf(ctx context.Context, g *generator, url string, n int) histogram {
	h := newHistogram()
	for range n {
		began := time.Now()
		if _, err := send(ctx, g.client, http.MethodPost, url, tokenOf(customerEvents), http.Header{}, []byte("x")); err == nil {
			h.add(float64(time.Since(began).Microseconds()) / kilo)
		}
	}
	return h
}

// startsPerSecond keeps a fixed number of callers busy for a span.
func startsPerSecond(ctx context.Context, g *generator, url string, span time.Duration) (float64, error) {
	results := make(chan int, pathWorkers)
	failed := make(chan error, pathWorkers)
	began := time.Now()
	for range pathWorkers {
		go func() {
			n := 0
			var err error
			for err == nil && time.Since(began) < span {
				var r received
				r, err = send(ctx, g.client, http.MethodPost, url, tokenOf(customerEvents), http.Header{}, []byte("x"))
				if r.status == http.StatusOK {
					n++
				}
			}
			results <- n
			failed <- err
		}()
	}
	total := 0
	var err error
	for range pathWorkers {
		total += <-results
		if e := <-failed; e != nil {
			err = e
		}
	}
	return float64(total) / time.Since(began).Seconds(), err
}
