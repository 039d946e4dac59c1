// Package agent is the process beside an upstream: the only door to it. One task
// owns the core and all state; other tasks own the links, the listening socket and
// each call to the upstream, and talk to it by messages.
package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// Settings of an agent.
type Settings struct {
	Self host.Host
	// Listen is where the upstream announces itself and operators look, over HTTP.
	Listen string
	// Entries are addresses of entries to start from.
	Entries []string
	// Scope is how far away entries may stand that the agent links to.
	Scope             LinkScope
	CertificateExpiry time.Time
	TLS               *tls.Config
	HeartbeatInterval clock.Millis
	LinkIdleTimeout   clock.Millis
	Slot              slot.Settings
}

// LinkScope bounds the entries that an agent links to, besides those in its settings.
type LinkScope string

// The scopes of links.
const (
	// ScopeRegion links to every entry of the region.
	ScopeRegion LinkScope = "region"
	// ScopeZone links to the entries of the agent's availability zone, which keeps a
	// large region's entries within their allowance for control.
	ScopeZone LinkScope = "zone"
)

// Clock tells the time.
type Clock interface {
	Now() clock.Millis
}

const (
	inboxSize = 256
	tick      = 250 * time.Millisecond
	// unlistedMS is how long an address that no entry lists any more is dialed.
	unlistedMS clock.Millis = 15_000
	// drainLinger lets entries learn that the agent leaves before its links end.
	drainLinger = 200 * time.Millisecond
)

// Agent is one running agent.
type Agent struct {
	settings Settings
	clock    Clock
	log      *slog.Logger
	core     *slot.Table
	order    slot.TaskQueue
	config   *contr.Config
	node     *link.Node
	web      *web
	inbox    chan message
	results  chan result
	stop     chan struct{}

	links map[string]*link.Link
	// told holds what each entry was last told of the upstream.
	told     map[string]*wire.Upstream
	calls    map[uint64]context.CancelFunc
	calling  int
	caller   *caller
	listed   map[string]clock.Millis
	beatAt   clock.Millis
	draining bool
}

// New returns an agent; Open it before Run.
func New(s Settings, c Clock, order slot.TaskQueue, log *slog.Logger) *Agent {
	a := &Agent{
		settings: s,
		clock:    c,
		log:      log,
		core:     slot.New(s.Slot, order),
		order:    order,
		config:   contr.NewConfig(),
		inbox:    make(chan message, inboxSize),
		results:  make(chan result, inboxSize),
		stop:     make(chan struct{}, 1),
		links:    map[string]*link.Link{},
		told:     map[string]*wire.Upstream{},
		calls:    map[uint64]context.CancelFunc{},
		listed:   map[string]clock.Millis{},
	}
	a.node = link.New(link.Settings{Self: s.Self, TLS: s.TLS, IdleTimeout: s.LinkIdleTimeout}, log)
	a.web = newWeb(s.Listen, a.inbox, log)
	return a
}

// Open binds the agent's socket and returns its address.
func (a *Agent) Open() (string, error) {
	return a.web.Open()
}

// Drain asks the agent to finish what it has and end.
func (a *Agent) Drain() {
	select {
	case a.stop <- struct{}{}:
	default:
	}
}

// Run serves until it has drained, or until ctx ends at once.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 2)
	go a.node.Run(ctx, done)
	go a.web.runTask(ctx, done)
	for _, e := range a.settings.Entries {
		a.node.Dial(e)
	}
	err := a.loop(ctx)
	cancel()
	a.unwind(done)
	return err
}

// unwind reads the ends of all tasks that the agent started.
func (a *Agent) unwind(done <-chan error) {
	for _, stop := range a.calls {
		stop()
	}
	for tasks := 2; tasks > 0 || a.calling > 0; {
		select {
		case <-done:
			tasks--
		case <-a.results:
			a.calling--
		case <-a.node.Events():
		case m := <-a.inbox:
			m.apply(a) // its handler waits for an answer
		}
	}
	if a.caller != nil {
		a.caller.close()
	}
}

func (a *Agent) loop(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case e := <-a.node.Events():
			a.onLink(e)
		case r := <-a.results:
			a.onResult(r)
		case m := <-a.inbox:
			m.apply(a)
		case <-t.C:
			a.onTick()
		case <-a.stop:
			a.startDrain()
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "run agent")
		}
		a.carryOut(ctx)
		if a.draining && a.core.Idle() && a.calling == 0 {
			return a.finish()
		}
	}
}

func (a *Agent) startDrain() {
	a.draining = true
	a.core.Drain(a.clock.Now())
	a.beat()
}

// finish ends the links once all answers have reached the entries.
func (a *Agent) finish() error {
	a.log.Info("drained", "started", a.core.Started)
	time.Sleep(drainLinger)
	for _, l := range a.links {
		l.Shutdown()
	}
	limit := time.NewTimer(drainLinger * 10)
	defer limit.Stop()
	for len(a.links) > 0 {
		select {
		case e := <-a.node.Events():
			if e.Type == link.Down {
				a.onLink(e)
			}
		case <-limit.C:
			return nil
		}
	}
	return nil
}

func (a *Agent) onTick() {
	now := a.clock.Now()
	a.core.Tick(now)
	if now-a.beatAt >= a.settings.HeartbeatInterval {
		a.beat()
	}
	a.forgetUnlisted(now)
}

// beat tells every entry the state of the upstream.
func (a *Agent) beat() {
	a.beatAt = a.clock.Now()
	for inc, l := range a.links {
		l.Send(a.heartbeat(inc))
	}
}

func (a *Agent) forgetUnlisted(now clock.Millis) {
	for address, at := range a.listed {
		if now-at > unlistedMS && !a.linkedTo(address) {
			delete(a.listed, address)
			a.node.StopDialing(address)
		}
	}
}

func (a *Agent) linkedTo(address string) bool {
	for _, l := range a.links {
		if l.DialedAddress == address {
			return true
		}
	}
	return false
}

func (a *Agent) onLink(e link.Event) {
	inc := e.Link.Peer.Incarnation
	switch e.Type {
	case link.Up:
		if a.links[inc] != nil {
			a.node.StopDialing(e.Link.DialedAddress)
			delete(a.listed, e.Link.DialedAddress)
			e.Link.Close("another link to this entry is up")
			return
		}
		a.links[inc] = e.Link
		a.core.AddEntry(inc)
		e.Link.Send(a.heartbeat(inc))
		a.log.Info("link up", "peer", e.Link.Peer.Name, "address", e.Link.RemoteAddr().String())
	case link.Received:
		if a.links[inc] == e.Link {
			a.onFrame(inc, e.Frame)
		}
	case link.Down:
		if a.links[inc] != e.Link {
			return
		}
		delete(a.links, inc)
		delete(a.told, inc)
		a.core.RemoveEntry(inc)
		a.log.Info("link down", "peer", e.Link.Peer.Name, "error", errors.Details(e.Err))
	}
}

func (a *Agent) onFrame(inc string, f *wire.Frame) {
	now := a.clock.Now()
	switch b := f.Body.(type) {
	case *wire.Frame_Start:
		a.core.SetBacklog(inc, int(b.Start.GetBacklog().GetWaiting()), b.Start.GetBacklog().GetWeight())
		a.core.Enqueue(taskOf(inc, b.Start, now), now)
	case *wire.Frame_Cancel:
		a.core.Cancel(inc, b.Cancel.GetAsk(), now)
	case *wire.Frame_Find:
		a.send(inc, foundFrame(b.Find.GetAsk(), a.core.Find(b.Find.GetCustomer(), b.Find.GetKey())))
	case *wire.Frame_Heartbeat:
		a.core.SetBacklog(inc, int(b.Heartbeat.GetBacklog().GetWaiting()), b.Heartbeat.GetBacklog().GetWeight())
	case *wire.Frame_Config:
		a.onConfig(b.Config)
	case *wire.Frame_Roster:
		a.onRoster(b.Roster, now)
	}
}

// onConfig puts a newer configuration in force; an older one changes nothing.
func (a *Agent) onConfig(m *wire.Config) {
	changed := contr.DecodeDocuments(m)
	if !a.config.Advance(m.GetVersion(), changed) {
		return
	}
	for _, d := range changed {
		customer, isContract := d.Customer()
		if !isContract {
			continue
		}
		if c := a.config.Contracts[customer]; c != nil {
			a.order.SetContract(c)
		} else {
			a.order.RemoveContract(customer)
		}
	}
	a.beat()
}

func (a *Agent) onRoster(m *wire.Roster, now clock.Millis) {
	for _, e := range m.GetEntries() {
		address := e.GetAddress()
		if address == "" || !a.inScope(e) {
			continue
		}
		if _, known := a.listed[address]; !known {
			a.node.Dial(address)
		}
		a.listed[address] = now
	}
}

func (a *Agent) inScope(e *wire.Hello) bool {
	place := a.settings.Self.Location
	if e.GetRegion() != place.Region {
		return false
	}
	return a.settings.Scope != ScopeZone || e.GetZone() == place.Zone
}

// carryOut turns the core's actions into calls and frames.
func (a *Agent) carryOut(ctx context.Context) {
	for _, action := range a.core.TakeActions() {
		switch act := action.(type) {
		case slot.Run:
			a.startCall(ctx, act)
		case slot.Abort:
			if stop := a.calls[act.ID]; stop != nil {
				stop()
			}
		case slot.Completion:
			a.send(act.Entry, doneFrame(act))
		}
	}
}

func (a *Agent) startCall(ctx context.Context, r slot.Run) {
	ctx, stop := context.WithTimeout(ctx, r.Timeout.Duration())
	a.calls[r.ID] = stop
	a.calling++
	go a.caller.call(ctx, r, a.results)
}

func (a *Agent) onResult(r result) {
	a.calling--
	a.calls[r.id]()
	delete(a.calls, r.id)
	a.core.Finished(r.id, r.outcome, a.clock.Now())
}

func (a *Agent) send(inc string, f *wire.Frame) {
	if l := a.links[inc]; l != nil {
		l.Send(f)
	}
}
