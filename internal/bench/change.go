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

// The bounds of configuration.
const (
	boundInForceMS = 4000
	operators      = 3
	amendmentsEach = 10
	pollEvery      = 5 * time.Millisecond
)

// accepted is an amendment that was accepted.
type accepted struct {
	version int64
	at      time.Time
}

// config lets three operators race, and watches the version of every process.
func config(ctx context.Context, o Options) ([]Figure, error) {
	var figures []Figure
	err := with(ctx, o, options(o, false), func(s *local.Stack, _ *generator) error {
		watch := newWatch(s)
		watching, stop := context.WithCancel(ctx)
		defer stop()
		done := make(chan error, 1)
		go watch.run(watching, done)
		raced := make(chan raceResult, operators)
		for i := range operators {
			go func() { raced <- race(ctx, s, i) }()
		}
		var wins []accepted
		refused, unclear := 0, 0
		for range operators {
			r := <-raced
			wins = append(wins, r.wins...)
			refused += r.refused
			unclear += r.unclear
		}
		time.Sleep(boundInForceMS * time.Millisecond / 4)
		stop()
		<-done
		o.progress(fmt.Sprintf("  %d accepted, %d refused, %d unclear", len(wins), refused, unclear))
		figures = []Figure{
			atMost("ms_in_force", watch.inForce(wins), boundInForceMS),
			atMost("versions_gone_back", float64(watch.goneBack), 0),
			atMost("winners_beyond_one", float64(beyondOneWinner(wins)), 0),
			plain("accepted", float64(len(wins))),
			plain("refused", float64(refused)),
		}
		return nil
	})
	return figures, err
}

type raceResult struct {
	wins             []accepted
	refused, unclear int
}

// race amends the same contract again and again, each time from the version that it
// sees in force.
func race(ctx context.Context, s *local.Stack, operator int) raceResult {
	r := raceResult{}
	c := s.OperatorClient(operator % len(s.Entries))
	defer c.Close()
	name := contr.PrefixContract + customerEvents
	for i := range amendmentsEach {
		base, err := baseOf(ctx, c, name)
		if err != nil {
			r.unclear++
			continue
		}
		text := string(contract(customerEvents, float64(1+operator*amendmentsEach+i)))
		v, err := c.Amend(ctx, contr.Amendment{Author: fmt.Sprintf("operator-%d", operator), Base: base, Name: name, Text: text})
		switch {
		case err != nil:
			r.unclear++
		case v.Accepted:
			r.wins = append(r.wins, accepted{version: v.Offset, at: time.Now()})
		default:
			r.refused++
		}
	}
	return r
}

func baseOf(ctx context.Context, c *opapi.Client, name string) (int64, error) {
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

func beyondOneWinner(wins []accepted) int {
	seen := map[int64]bool{}
	beyond := 0
	for _, w := range wins {
		if seen[w.version] {
			beyond++
		}
		seen[w.version] = true
	}
	return beyond
}

// watch polls the version of every process.
type watch struct {
	stack    *local.Stack
	versions map[string]int64
	// reached holds for each process when it was first seen at a version.
	reached  map[string]map[int64]time.Time
	goneBack int
}

func newWatch(s *local.Stack) *watch {
	return &watch{stack: s, versions: map[string]int64{}, reached: map[string]map[int64]time.Time{}}
}

func (w *watch) run(ctx context.Context, done chan<- error) {
	for ctx.Err() == nil {
		sts, err := states(ctx, w.stack)
		if err == nil {
			w.see(sts)
		}
		time.Sleep(pollEvery)
	}
	done <- nil
}

// see notes each process's version, as itself or its neighbours tell it.
func (w *watch) see(sts []entry.State) {
	for _, st := range sts {
		for process, v := range st.ConfigVersions {
			who := st.Self.Name + " of " + process
			if v < w.versions[who] {
				w.goneBack++
			}
			w.versions[who] = v
			if w.reached[who] == nil {
				w.reached[who] = map[int64]time.Time{}
			}
			if _, ok := w.reached[who][v]; !ok {
				w.reached[who][v] = time.Now()
			}
		}
	}
}

// inForce returns the longest time from an acceptance until every process had that
// version or a later one, in milliseconds. A version that never came everywhere
// counts as twice the bound.
func (w *watch) inForce(wins []accepted) float64 {
	longest := 0.0
	for _, win := range wins {
		for _, reached := range w.reached {
			at, ok := firstAtLeast(reached, win.version)
			if !ok {
				return 2 * boundInForceMS
			}
			longest = max(longest, float64(at.Sub(win.at).Microseconds())/1000)
		}
	}
	return longest
}

func firstAtLeast(reached map[int64]time.Time, version int64) (time.Time, bool) {
	first, found := time.Time{}, false
	for v, at := range reached {
		if v >= version && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first, found
}

const restartPause = time.Second

// restart replaces every entry and agent in turn under load.
func restart(ctx context.Context, o Options) ([]Figure, error) {
	rec, lo := recorded(o)
	var figures []Figure
	err := with(ctx, o, lo, func(s *local.Stack, g *generator) error {
		ready := newRotation(callers(s))
		g.entries = ready.get
		g.run(ctx, warmUp, mixed(faultLoad))
		span := time.Duration(len(s.Entries))*9*time.Second + time.Duration(len(s.Agents))*4*time.Second
		requests, cut, err := g.cutBy(ctx, o, span, func() error { return restartAll(s, ready) })
		if err != nil {
			return err
		}
		figures = []Figure{
			cut,
			atMost("starts_beyond_one", float64(beyondOne(rec.taken())), 0),
			plain("requests", float64(requests)),
		}
		return nil
	})
	return figures, err
}

func restartAll(s *local.Stack, ready rotation) error {
	for _, old := range append([]*local.EntryProc(nil), s.Entries...) {
		if _, err := s.AddEntry(); err != nil {
			return err
		}
		time.Sleep(restartPause)
		s.RemoveEntry(old)
		ready.set(callers(s))
		old.Entry.Drain()
		<-old.Done
	}
	for i, old := range append([]*local.AgentProc(nil), s.Agents...) {
		if _, err := s.AddAgent(s.UpstreamSettings(i)); err != nil {
			return err
		}
		time.Sleep(restartPause)
		old.Agent.Drain()
		<-old.Done
		s.RemoveAgent(old)
	}
	return nil
}
