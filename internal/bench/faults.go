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

// Bounds and parameters of the planned stops and of the silent links.
const (
	boundNoWorkMS   = 2000
	boundRecoveryMS = 3000
	faultLoad       = 0.4 // fraction of the capacity
	startsBuffer    = 1 << 20
)

// timedStart is the start of a task at an upstream, with its time.
type timedStart struct {
	fakes.TaskStart
	at time.Time
}

// recorder collects the task starts of all upstreams.
type recorder struct {
	starts chan timedStart
}

func newRecorder() *recorder {
	return &recorder{starts: make(chan timedStart, startsBuffer)}
}

// recordingOptions returns the options of a deployment whose upstreams report task starts
// to the returned recorder.
func recordingOptions(o Options) (*recorder, local.Options) {
	rec := newRecorder()
	localOptions := deploymentOptions(o, false)
	localOptions.Upstreams = upstreams(rec.record)
	return rec, localOptions
}

// record adds a start, or drops it if the buffer is full. It is called concurrently by the
// upstreams.
func (r *recorder) record(s fakes.TaskStart) {
	select {
	case r.starts <- timedStart{TaskStart: s, at: time.Now()}:
	default:
	}
}

// takeAll removes and returns all starts recorded so far.
func (r *recorder) takeAll() []timedStart {
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

// mixedSources returns a load of idempotent requests and of non-idempotent requests with
// tickets.
func mixedSources(load float64) []source {
	return []source{
		{token: tokenOf(customerEvents), kind: "check", perSecond: load / 2 * capacityOf("check"), timeoutMS: 5000},
		{token: tokenOf(customerJoiners), kind: "assign", perSecond: load / 2 * capacityOf("assign"), timeoutMS: 5000, keyed: true},
	}
}

// runWithDisruption generates a load and calls disrupt concurrently.
func runWithDisruption(ctx context.Context, g *generator, duration time.Duration, sources []source, disrupt func() error) ([]sample, error) {
	disruptDone := make(chan error, 1)
	go func() { disruptDone <- disrupt() }()
	samples := g.run(ctx, duration, sources)
	return samples, <-disruptDone
}

// countCutRequests generates the mixed load and concurrently calls disrupt, a planned
// change that may not cut any request. A request counts as cut if it was not answered
// successfully. It returns the number of requests, and the number of those that were cut as
// a figure.
func (g *generator) countCutRequests(ctx context.Context, o Options, duration time.Duration, disrupt func() error) (int, Figure, error) {
	samples, err := runWithDisruption(ctx, g, duration, mixedSources(faultLoad), disrupt)
	cut := count(samples, func(sm sample) bool { return !sm.ok() })
	o.progress("  " + summarizeOutcomes(samples))
	return len(samples), atMost("requests_cut", float64(cut), 0), err
}

// leave withdraws one upstream's announcement, retires another upstream through the
// configuration, and drains an agent and an entry under load. No request in flight may be
// cut.
func leave(ctx context.Context, o Options) ([]Figure, error) {
	rec, localOptions := recordingOptions(o)
	localOptions.Upstreams = append(localOptions.Upstreams, upstreams(rec.record)...)
	for i := range localOptions.Upstreams {
		localOptions.Upstreams[i].Name = fmt.Sprintf("minion-%d", i+1)
	}
	leftAt := map[string]time.Time{}
	var figures []Figure
	err := withDeployment(ctx, o, localOptions, func(d *local.Deployment, g *generator) error {
		inRotation := newRotation(callerURLs(d))
		g.entries = inRotation.get
		g.run(ctx, warmUp, mixedSources(faultLoad))
		_, cut, err := g.countCutRequests(ctx, o, leaveDuration, func() error {
			return leaveSteps(ctx, d, leftAt, func() { inRotation.set(callerURLs(d)[1:]) })
		})
		if err != nil {
			return err
		}
		figures = []Figure{
			cut,
			atMost("ms_until_no_work", lastTaskMS(rec.takeAll(), leftAt), boundNoWorkMS),
		}
		return nil
	})
	return figures, err
}

const (
	leaveDuration = 14 * time.Second
	leavePause    = time.Second
)

// leaveSteps performs the steps of leave one after another, with pauses between them. It
// records in leftAt when each upstream started to leave. Before it drains the entry, it calls
// removeFromRotation.
func leaveSteps(ctx context.Context, d *local.Deployment, leftAt map[string]time.Time, removeFromRotation func()) error {
	time.Sleep(leavePause)
	leftAt["minion-1"] = time.Now()
	if err := d.Agents[0].Upstream.Leave(ctx); err != nil {
		return err
	}
	time.Sleep(leavePause)
	c := d.OperatorClient(1)
	defer c.Close()
	leftAt["minion-2"] = time.Now()
	if _, err := c.Amend(ctx, contr.Amendment{Author: "measure", Base: contr.NoVersion, Name: contr.PrefixUpstream + "minion-2"}); err != nil {
		return err
	}
	time.Sleep(leavePause)
	leftAt["minion-3"] = time.Now()
	d.Agents[2].Agent.Drain()
	<-d.Agents[2].Done
	d.Agents[2].Done <- nil // received again when the deployment closes
	removeFromRotation()
	time.Sleep(leavePause)
	d.Entries[0].Entry.Drain()
	<-d.Entries[0].Done
	d.Entries[0].Done <- nil
	return nil
}

// lastTaskMS returns the longest time, in milliseconds, after which an upstream that was
// leaving still received a task.
func lastTaskMS(starts []timedStart, leftAt map[string]time.Time) float64 {
	longest := 0.0
	for _, st := range starts {
		at, leaving := leftAt[st.Upstream]
		if leaving && st.at.After(at) {
			longest = max(longest, float64(st.at.Sub(at).Microseconds())/1000)
		}
	}
	return longest
}

const (
	silentDuration = 8 * time.Second
	silenceDelay   = 2 * time.Second
	probeInterval  = 20 * time.Millisecond
	probeTimeout   = 400 * time.Millisecond
)

// silentLink permanently drops the packets of all flows that exist between agents and
// entries. New flows pass, so the dispatcher has to notice the silence and reconnect.
func silentLink(ctx context.Context, o Options) ([]Figure, error) {
	localOptions := deploymentOptions(o, false)
	localOptions.Relayed = true
	var figures []Figure
	err := withDeployment(ctx, o, localOptions, func(d *local.Deployment, g *generator) error {
		g.run(ctx, warmUp, mixedSources(faultLoad))
		recoveryMS := 0.0
		samples, err := runWithDisruption(ctx, g, silentDuration, mixedSources(faultLoad), func() error {
			time.Sleep(silenceDelay)
			for _, e := range d.Entries {
				e.Relay.DropFlows(ctx)
			}
			recoveryMS = measureRecoveryMS(ctx, g, callerURLs(d))
			return nil
		})
		if err != nil {
			return err
		}
		idempotent := func(sm sample) bool { return sm.source.kind == "check" }
		lost := count(samples, func(sm sample) bool { return idempotent(sm) && !sm.ok() })
		unknown := count(samples, func(sm sample) bool { return !idempotent(sm) && !sm.ok() && sm.ran == "" })
		o.progress("  " + summarizeOutcomes(samples))
		figures = []Figure{
			atMost("ms_until_flow", recoveryMS, boundRecoveryMS),
			atMost("requests_lost", float64(lost+unknown), 0),
		}
		return nil
	})
	return figures, err
}

// measureRecoveryMS waits until every entry has answered a new request, and returns the time
// that this took, in milliseconds.
func measureRecoveryMS(ctx context.Context, g *generator, entries []string) float64 {
	began := time.Now()
	for _, e := range entries {
		for !probe(ctx, g, e) {
			time.Sleep(probeInterval)
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
