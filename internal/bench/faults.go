package bench

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

// The bounds of planned stops and silent links.
const (
	boundNoWorkMS   = 2000
	boundSilentMS   = 3000
	faultLoad       = 0.4
	maxStartsBuffer = 1 << 20
)

// timedStart is a start of a task and when it happened.
type timedStart struct {
	fakes.TaskStart
	at time.Time
}

// recorder collects task starts.
type recorder struct {
	starts chan timedStart
}

func newRecorder() *recorder {
	return &recorder{starts: make(chan timedStart, maxStartsBuffer)}
}

// recorded returns the options of a deployment whose starts are recorded.
func recorded(o Options) (*recorder, local.Options) {
	rec := newRecorder()
	lo := options(o, false)
	lo.Upstreams = upstreams(rec.note)
	return rec, lo
}

// note is called by upstreams, from many goroutines.
func (r *recorder) note(s fakes.TaskStart) {
	select {
	case r.starts <- timedStart{TaskStart: s, at: time.Now()}:
	default:
	}
}

// taken returns all starts so far.
func (r *recorder) taken() []timedStart {
	var out []timedStart
	for {
		select {
		case s := <-r.starts:
			out = append(out, s)
		default:
			return out
		}
	}
}

// mixed is a load of idempotent and of ticketed non-idempotent requests.
func mixed(load float64) []source {
	return []source{
		{token: tokenOf(customerEvents), kind: "check", perSecond: load / 2 * capacityOf("check"), timeout: 5000},
		{token: tokenOf(customerJoiners), kind: "assign", perSecond: load / 2 * capacityOf("assign"), timeout: 5000, keyed: true},
	}
}

// loaded runs a load and, meanwhile, a disturbance.
func loaded(ctx context.Context, g *generator, span time.Duration, sources []source, disturb func() error) ([]sample, error) {
	disturbed := make(chan error, 1)
	go func() { disturbed <- disturb() }()
	samples := g.run(ctx, span, sources)
	return samples, <-disturbed
}

// cutBy runs the mixed load and, meanwhile, a planned disturbance, which may cut none
// of its requests. It returns how many requests there were.
func (g *generator) cutBy(ctx context.Context, o Options, span time.Duration, disturb func() error) (int, Figure, error) {
	samples, err := loaded(ctx, g, span, mixed(faultLoad), disturb)
	cut := count(samples, func(sm sample) bool { return !sm.ok() })
	o.progress("  " + outcomes(samples))
	return len(samples), atMost("requests_cut", float64(cut), 0), err
}

// leave stops an upstream, retires another, and drains an agent and an entry under
// load: nothing in flight may be cut.
func leave(ctx context.Context, o Options) ([]Figure, error) {
	rec, lo := recorded(o)
	lo.Upstreams = append(lo.Upstreams, upstreams(rec.note)...)
	for i := range lo.Upstreams {
		lo.Upstreams[i].Name = fmt.Sprintf("minion-%d", i+1)
	}
	left := map[string]time.Time{}
	var figures []Figure
	err := with(ctx, o, lo, func(s *local.Stack, g *generator) error {
		ready := newRotation(callers(s))
		g.entries = ready.get
		g.run(ctx, warmUp, mixed(faultLoad))
		_, cut, err := g.cutBy(ctx, o, leaveSpan, func() error {
			return leaveSteps(ctx, s, left, func() { ready.set(callers(s)[1:]) })
		})
		if err != nil {
			return err
		}
		figures = []Figure{
			cut,
			atMost("ms_until_no_work", lastWork(rec.taken(), left), boundNoWorkMS),
		}
		return nil
	})
	return figures, err
}

const (
	leaveSpan  = 14 * time.Second
	leavePause = time.Second
)

// leaveSteps announces a leave, retires an upstream, and drains an agent and an
// entry, one after another.
func leaveSteps(ctx context.Context, s *local.Stack, left map[string]time.Time, withdraw func()) error {
	time.Sleep(leavePause)
	left["minion-1"] = time.Now()
	if err := s.Agents[0].Upstream.Leave(ctx); err != nil {
		return err
	}
	time.Sleep(leavePause)
	c := s.OperatorClient(1)
	defer c.Close()
	left["minion-2"] = time.Now()
	if _, err := c.Amend(ctx, contr.Amendment{Author: "measure", Base: contr.NoVersion, Name: contr.PrefixUpstream + "minion-2"}); err != nil {
		return err
	}
	time.Sleep(leavePause)
	left["minion-3"] = time.Now()
	s.Agents[2].Agent.Drain()
	<-s.Agents[2].Done
	s.Agents[2].Done <- nil
	withdraw()
	time.Sleep(leavePause)
	s.Entries[0].Entry.Drain()
	<-s.Entries[0].Done
	s.Entries[0].Done <- nil
	return nil
}

// lastWork returns the longest time after which a leaving upstream got a task, in
// milliseconds.
func lastWork(starts []timedStart, left map[string]time.Time) float64 {
	longest := 0.0
	for _, st := range starts {
		at, leaving := left[st.Upstream]
		if leaving && st.at.After(at) {
			longest = max(longest, float64(st.at.Sub(at).Microseconds())/1000)
		}
	}
	return longest
}

const (
	silentSpan   = 8 * time.Second
	silentAfter  = 2 * time.Second
	probeEvery   = 20 * time.Millisecond
	probeTimeout = 400 * time.Millisecond
)

// silentLink drops every flow between agents and entries for good, while new flows
// pass.
func silentLink(ctx context.Context, o Options) ([]Figure, error) {
	lo := options(o, false)
	lo.Relayed = true
	var figures []Figure
	err := with(ctx, o, lo, func(s *local.Stack, g *generator) error {
		g.run(ctx, warmUp, mixed(faultLoad))
		until := 0.0
		samples, err := loaded(ctx, g, silentSpan, mixed(faultLoad), func() error {
			time.Sleep(silentAfter)
			for _, e := range s.Entries {
				e.Relay.DropFlows(ctx)
			}
			until = untilFlow(ctx, g, callers(s))
			return nil
		})
		if err != nil {
			return err
		}
		idempotent := func(sm sample) bool { return sm.source.kind == "check" }
		lost := count(samples, func(sm sample) bool { return idempotent(sm) && !sm.ok() })
		unclear := count(samples, func(sm sample) bool { return !idempotent(sm) && !sm.ok() && sm.ran == "" })
		o.progress("  " + outcomes(samples))
		figures = []Figure{
			atMost("ms_until_flow", until, boundSilentMS),
			atMost("requests_lost", float64(lost+unclear), 0),
		}
		return nil
	})
	return figures, err
}

// untilFlow returns the milliseconds until each entry answers a fresh request again.
func untilFlow(ctx context.Context, g *generator, entries []string) float64 {
	began := time.Now()
	for _, e := range entries {
		for !probe(ctx, g, e) {
			time.Sleep(probeEvery)
		}
	}
	return float64(time.Since(began).Milliseconds())
}

func probe(ctx context.Context, g *generator, entry string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	h := http.Header{}
	h.Set("Request-Timeout", strconv.FormatInt(probeTimeout.Milliseconds(), 10))
	r, err := send(ctx, g.client, http.MethodPost, entry+"/v1/requests/lookup", tokenOf(customerAgency), h, []byte("probe"))
	return err == nil && r.status == http.StatusOK
}
