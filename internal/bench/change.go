package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/entry"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
	"github.com/turmericbarrow/turmericbarrow/internal/opapi"
)

// Bound and parameters of the config scenario.
const (
	boundInForceMS        = 4000
	operators             = 3
	amendmentsPerOperator = 10
	pollInterval          = 5 * time.Millisecond
)

// acceptedAmendment records when an operator received the acceptance of an amendment.
type acceptedAmendment struct {
	version int64
	at      time.Time
}

// config lets three operators amend the same contract concurrently, and polls the
// configuration version of every process.
func config(ctx context.Context, o Options) ([]Figure, error) {
	var figures []Figure
	err := withDeployment(ctx, o, deploymentOptions(o, false), func(d *local.Deployment, _ *generator) error {
		watcher := newVersionWatcher(d)
		watchCtx, stop := context.WithCancel(ctx)
		defer stop()
		done := make(chan error, 1)
		go watcher.run(watchCtx, done)
		results := make(chan operatorResult, operators)
		for i := range operators {
			go func() { results <- amendRepeatedly(ctx, d, i) }()
		}
		var accepted []acceptedAmendment
		refused, unknown := 0, 0
		for range operators {
			r := <-results
			accepted = append(accepted, r.accepted...)
			refused += r.refused
			unknown += r.unknown
		}
		time.Sleep(boundInForceMS * time.Millisecond / 4) // for the last version to reach every process
		stop()
		<-done
		o.progress(fmt.Sprintf("  %d accepted, %d refused, %d unknown", len(accepted), refused, unknown))
		figures = []Figure{
			atMost("ms_in_force", watcher.maxPropagationMS(accepted), boundInForceMS),
			atMost("versions_gone_back", float64(watcher.regressions), 0),
			atMost("winners_beyond_one", float64(extraAcceptances(accepted)), 0),
			unbounded("accepted", float64(len(accepted))),
			unbounded("refused", float64(refused)),
		}
		return nil
	})
	return figures, err
}

// operatorResult holds the outcomes of one operator's amendments. Those that failed with an
// error count as unknown.
type operatorResult struct {
	accepted         []acceptedAmendment
	refused, unknown int
}

// amendRepeatedly amends the same contract repeatedly, each time based on the version that it
// reads as in force.
func amendRepeatedly(ctx context.Context, d *local.Deployment, operator int) operatorResult {
	r := operatorResult{}
	c := d.OperatorClient(operator % len(d.Entries))
	defer c.Close()
	name := contr.PrefixContract + customerEvents
	for i := range amendmentsPerOperator {
		base, err := currentVersion(ctx, c, name)
		if err != nil {
			r.unknown++
			continue
		}
		text := string(contract(customerEvents, float64(1+operator*amendmentsPerOperator+i)))
		v, err := c.Amend(ctx, contr.Amendment{Author: fmt.Sprintf("operator-%d", operator), Base: base, Name: name, Text: text})
		switch {
		case err != nil:
			r.unknown++
		case v.Accepted:
			r.accepted = append(r.accepted, acceptedAmendment{version: v.Offset, at: time.Now()})
		default:
			r.refused++
		}
	}
	return r
}

// currentVersion returns the version of a document in force, or contr.NoVersion if there is
// no such document.
func currentVersion(ctx context.Context, c *opapi.Client, name string) (int64, error) {
	config, err := c.Config(ctx)
	if err != nil {
		return 0, err
	}
	for _, d := range config.Documents {
		if d.Name == name {
			return d.Version, nil
		}
	}
	return contr.NoVersion, nil
}

// extraAcceptances counts the acceptances of a version that was accepted before. Only one
// amendment may be accepted as a given version.
func extraAcceptances(accepted []acceptedAmendment) int {
	seen := map[int64]bool{}
	extra := 0
	for _, a := range accepted {
		if seen[a.version] {
			extra++
		}
		seen[a.version] = true
	}
	return extra
}

// versionWatcher polls the configuration version of every process, as each entry reports
// it.
type versionWatcher struct {
	deployment *local.Deployment
	// versions holds the last version that an entry reported for a process. Its key
	// combines the names of both.
	versions map[string]int64
	// firstSeen holds, under the same keys, the time at which each version was first seen.
	firstSeen map[string]map[int64]time.Time
	// regressions counts reports of a version lower than the one before.
	regressions int
}

func newVersionWatcher(d *local.Deployment) *versionWatcher {
	return &versionWatcher{deployment: d, versions: map[string]int64{}, firstSeen: map[string]map[int64]time.Time{}}
}

func (w *versionWatcher) run(ctx context.Context, done chan<- error) {
	for ctx.Err() == nil {
		states, err := entryStates(ctx, w.deployment)
		if err == nil {
			w.observe(states)
		}
		time.Sleep(pollInterval)
	}
	done <- nil
}

// observe records the configuration versions that each entry reports, for itself and for the
// processes linked to it.
func (w *versionWatcher) observe(states []entry.State) {
	for _, st := range states {
		for process, v := range st.ConfigVersions {
			key := st.Self.Name + " of " + process
			if v < w.versions[key] {
				w.regressions++
			}
			w.versions[key] = v
			if w.firstSeen[key] == nil {
				w.firstSeen[key] = map[int64]time.Time{}
			}
			if _, ok := w.firstSeen[key][v]; !ok {
				w.firstSeen[key][v] = time.Now()
			}
		}
	}
}

// maxPropagationMS returns the longest time in milliseconds from an acceptance until every
// process had that version or a later one. A version that did not reach every process
// counts as twice the bound.
func (w *versionWatcher) maxPropagationMS(accepted []acceptedAmendment) float64 {
	longest := 0.0
	for _, amendment := range accepted {
		for _, reached := range w.firstSeen {
			at, ok := firstAtLeast(reached, amendment.version)
			if !ok {
				return 2 * boundInForceMS
			}
			longest = max(longest, float64(at.Sub(amendment.at).Microseconds())/1000)
		}
	}
	return longest
}

// firstAtLeast returns the earliest time at which version or a later one was seen.
func firstAtLeast(reached map[int64]time.Time, version int64) (time.Time, bool) {
	first, found := time.Time{}, false
	for v, at := range reached {
		if v >= version && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

// restartPause is the time between the start of a replacement and the drain of the process
// that it replaces.
const restartPause = time.Second

// restart replaces every entry and agent in turn under load and requires that no request
// is cut.
func restart(ctx context.Context, o Options) ([]Figure, error) {
	rec, localOptions := recordingOptions(o)
	var figures []Figure
	err := withDeployment(ctx, o, localOptions, func(d *local.Deployment, g *generator) error {
		inRotation := newRotation(callerURLs(d))
		g.entries = inRotation.get
		g.run(ctx, warmUp, mixedSources(faultLoad))
		// The load must last until restartAll has replaced every process.
		duration := time.Duration(len(d.Entries))*9*time.Second + time.Duration(len(d.Agents))*4*time.Second
		requests, cut, err := g.countCutRequests(ctx, o, duration, func() error { return restartAll(d, inRotation) })
		if err != nil {
			return err
		}
		figures = []Figure{
			cut,
			atMost("starts_beyond_one", float64(extraStarts(rec.takeAll())), 0),
			unbounded("requests", float64(requests)),
		}
		return nil
	})
	return figures, err
}

// restartAll replaces the entries and then the agents, one after another: it starts the
// replacement before it drains the old process.
func restartAll(d *local.Deployment, inRotation rotation) error {
	for _, old := range append([]*local.EntryProc(nil), d.Entries...) {
		if _, err := d.AddEntry(); err != nil {
			return err
		}
		time.Sleep(restartPause)
		d.RemoveEntry(old)
		inRotation.set(callerURLs(d))
		old.Entry.Drain()
		<-old.Done
	}
	for i, old := range append([]*local.AgentProc(nil), d.Agents...) {
		if _, err := d.AddAgent(d.UpstreamSettings(i)); err != nil {
			return err
		}
		time.Sleep(restartPause)
		old.Agent.Drain()
		<-old.Done
		d.RemoveAgent(old)
	}
	return nil
}
