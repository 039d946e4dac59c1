// Package agent implements the process that runs beside an upstream and through which
// all requests to that upstream pass. One goroutine owns the slot pool and all state. Other
// goroutines own the links, the listening socket and each call to the upstream; they
// exchange messages with it.
package agent

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/admit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/serve"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// Settings configures an agent.
type Settings struct {
	Self host.Host
	// Listen is the address of the HTTP interface, where the upstream announces itself
	// and operators read the agent's state.
	Listen string
	// Entries are the addresses of the entries to dial at startup; they report the
	// addresses of the others.
	Entries []string
	// Scope limits which of the reported entries the agent links to.
	Scope             LinkScope
	CertificateExpiry time.Time
	TLS               *tls.Config
	HeartbeatInterval clock.Millis
	LinkIdleTimeout   clock.Millis
	// Clients are the limits on the clients of the HTTP interface.
	Clients admit.Settings
	Slot    slot.Settings
}

// LinkScope limits which entries an agent links to, besides those in its settings.
type LinkScope string

// The link scopes.
const (
	// ScopeRegion links to every entry of the region.
	ScopeRegion LinkScope = "region"
	// ScopeZone links to the entries of the agent's availability zone. In a large
	// region this keeps the control overhead of each entry within its budget.
	ScopeZone LinkScope = "zone"
)

// Clock returns the current time.
type Clock interface {
	Now() clock.Millis
}

const (
	inboxSize    = 256
	tickInterval = 250 * time.Millisecond
	// unlistedGraceMS is how long the agent keeps dialing an address that no entry's
	// roster lists any more.
	unlistedGraceMS clock.Millis = 15_000
	// drainLinger gives entries time to learn that the agent is leaving before its
	// links close.
	drainLinger = 200 * time.Millisecond
)

// Agent is a running agent. The goroutine of Run owns its state.
type Agent struct {
	settings       Settings
	clock          Clock
	log            *slog.Logger
	pool           *slot.Pool
	queue          slot.TaskQueue
	config         *contr.Config
	node           *link.Node
	web            *webServer
	inbox          chan message
	results        chan callResult
	drainRequested chan struct{}

	// links and reportedUpstream are keyed by the incarnation of the entry.
	links map[string]*link.Link
	// reportedUpstream holds the upstream state last sent to each entry.
	reportedUpstream map[string]*wire.Upstream
	// cancelCall holds the cancel function of each running call, by run ID.
	cancelCall  map[uint64]context.CancelFunc
	activeCalls int
	// client is nil until an upstream announces itself.
	client *upstreamClient
	// listedAt is when a roster last listed an address, by address. It holds exactly the
	// addresses that the agent dials because a roster listed them.
	listedAt        map[string]clock.Millis
	lastHeartbeatAt clock.Millis
	draining        bool
}

// New returns an agent. Call Open before Run.
func New(s Settings, c Clock, queue slot.TaskQueue, log *slog.Logger) *Agent {
	a := &Agent{
		settings:         s,
		clock:            c,
		log:              log,
		pool:             slot.New(s.Slot, queue),
		queue:            queue,
		config:           contr.NewConfig(),
		inbox:            make(chan message, inboxSize),
		results:          make(chan callResult, inboxSize),
		drainRequested:   make(chan struct{}, 1),
		links:            map[string]*link.Link{},
		reportedUpstream: map[string]*wire.Upstream{},
		cancelCall:       map[uint64]context.CancelFunc{},
		listedAt:         map[string]clock.Millis{},
	}
	a.node = link.New(link.Settings{Self: s.Self, TLS: s.TLS, IdleTimeout: s.LinkIdleTimeout}, log)
	a.web = newWebServer(s.Listen, a.inbox, serve.NewGate(s.Clients, c, log), log)
	return a
}

// Open binds the listening socket of the HTTP interface and returns its address.
func (a *Agent) Open() (string, error) {
	return a.web.Open()
}

// Drain makes the agent stop taking tasks, finish the running ones and end.
func (a *Agent) Drain() {
	select {
	case a.drainRequested <- struct{}{}:
	default:
	}
}

// Run serves until the agent has drained. It stops at once when ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 2)
	go a.node.Run(ctx, done)
	go a.web.serve(ctx, done)
	for _, e := range a.settings.Entries {
		a.node.Dial(e)
	}
	err := a.loop(ctx)
	cancel()
	a.awaitGoroutines(done)
	return err
}

// awaitGoroutines cancels all calls and waits for every goroutine that the agent started.
// It keeps receiving their messages, so that none of them blocks.
func (a *Agent) awaitGoroutines(done <-chan error) {
	for _, cancel := range a.cancelCall {
		cancel()
	}
	for goroutines := 2; goroutines > 0 || a.activeCalls > 0; {
		select {
		case <-done:
			goroutines--
		case <-a.results:
			a.activeCalls--
		case <-a.node.Events():
		case m := <-a.inbox:
			m.apply(a) // the HTTP handler waits for the reply
		}
	}
	if a.client != nil {
		a.client.close()
	}
}

func (a *Agent) loop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-a.node.Events():
			a.onLinkEvent(e)
		case r := <-a.results:
			a.onResult(r)
		case m := <-a.inbox:
			m.apply(a)
		case <-ticker.C:
			a.onTick()
		case <-a.drainRequested:
			a.startDrain()
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "run agent")
		}
		a.performActions(ctx)
		if a.draining && a.pool.Idle() && a.activeCalls == 0 {
			return a.closeLinks()
		}
	}
}

func (a *Agent) startDrain() {
	a.draining = true
	a.pool.Drain(a.clock.Now())
	a.sendHeartbeats()
}

// closeLinks waits drainLinger, then closes each link once its queued frames have been
// delivered. It returns when all links are down, or after ten times drainLinger.
func (a *Agent) closeLinks() error {
	a.log.Info("drained", "started", a.pool.Started)
	time.Sleep(drainLinger)
	for _, l := range a.links {
		l.Shutdown()
	}
	// Two seconds, as long as a link's own shutdown timeout.
	timeout := time.NewTimer(drainLinger * 10)
	defer timeout.Stop()
	for len(a.links) > 0 {
		select {
		case e := <-a.node.Events():
			if e.Type == link.Down {
				a.onLinkEvent(e)
			}
		case <-timeout.C:
			return nil
		}
	}
	return nil
}

func (a *Agent) onTick() {
	now := a.clock.Now()
	a.pool.Tick(now)
	if now-a.lastHeartbeatAt >= a.settings.HeartbeatInterval {
		a.sendHeartbeats()
	}
	a.stopDialingUnlisted(now)
}

// sendHeartbeats sends every entry a heartbeat with the state of the upstream.
func (a *Agent) sendHeartbeats() {
	a.lastHeartbeatAt = a.clock.Now()
	for incarnation, l := range a.links {
		l.Send(a.heartbeatFrame(incarnation))
	}
}

// stopDialingUnlisted stops dialing addresses that are unlinked and that no roster has
// listed for unlistedGraceMS.
func (a *Agent) stopDialingUnlisted(now clock.Millis) {
	for address, listedAt := range a.listedAt {
		if now-listedAt > unlistedGraceMS && !a.linkedTo(address) {
			delete(a.listedAt, address)
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

func (a *Agent) onLinkEvent(e link.Event) {
	incarnation := e.Link.Peer.Incarnation
	switch e.Type {
	case link.Up:
		if a.links[incarnation] != nil {
			a.node.StopDialing(e.Link.DialedAddress)
			delete(a.listedAt, e.Link.DialedAddress)
			e.Link.Close("another link to this entry is up")
			return
		}
		a.links[incarnation] = e.Link
		a.pool.AddEntry(incarnation)
		e.Link.Send(a.heartbeatFrame(incarnation))
		a.log.Info("link up", "peer", e.Link.Peer.Name, "address", e.Link.RemoteAddr().String())
	case link.Received:
		if a.links[incarnation] == e.Link {
			a.onFrame(incarnation, e.Frame)
		}
	case link.Down:
		if a.links[incarnation] != e.Link {
			return
		}
		delete(a.links, incarnation)
		delete(a.reportedUpstream, incarnation)
		a.pool.RemoveEntry(incarnation)
		a.log.Info("link down", "peer", e.Link.Peer.Name, "error", errors.Details(e.Err))
	}
}

// onFrame handles a frame from the entry with the given incarnation. It ignores frames of other
// types.
func (a *Agent) onFrame(incarnation string, f *wire.Frame) {
	now := a.clock.Now()
	switch b := f.Body.(type) {
	case *wire.Frame_Start:
		// The backlog is set before Enqueue, so that an immediate completion reports a window
		// based on it.
		a.pool.SetBacklog(incarnation, int(b.Start.GetBacklog().GetWaiting()), b.Start.GetBacklog().GetWeight())
		a.pool.Enqueue(decodeTask(incarnation, b.Start, now), now)
	case *wire.Frame_Cancel:
		a.pool.Cancel(incarnation, b.Cancel.GetAsk(), now)
	case *wire.Frame_Find:
		a.send(incarnation, foundFrame(b.Find.GetAsk(), a.pool.Find(b.Find.GetCustomer(), b.Find.GetKey())))
	case *wire.Frame_Heartbeat:
		a.pool.SetBacklog(incarnation, int(b.Heartbeat.GetBacklog().GetWaiting()), b.Heartbeat.GetBacklog().GetWeight())
	case *wire.Frame_Config:
		a.onConfig(b.Config)
	case *wire.Frame_Roster:
		a.onRoster(b.Roster, now)
	}
}

// onConfig applies a newer configuration and ignores an older one.
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
			a.queue.SetContract(c)
		} else {
			a.queue.RemoveContract(customer)
		}
	}
	a.applyDrain()
	a.sendHeartbeats()
}

func (a *Agent) onRoster(m *wire.Roster, now clock.Millis) {
	for _, e := range m.GetEntries() {
		address := e.GetAddress()
		if address == "" || !a.inScope(e) {
			continue
		}
		if _, dialing := a.listedAt[address]; !dialing {
			a.node.Dial(address)
		}
		a.listedAt[address] = now
	}
}

func (a *Agent) inScope(e *wire.Hello) bool {
	location := a.settings.Self.Location
	if e.GetRegion() != location.Region {
		return false
	}
	return a.settings.Scope != ScopeZone || e.GetZone() == location.Zone
}

// performActions performs the pool's actions: it starts and cancels calls and sends frames.
func (a *Agent) performActions(ctx context.Context) {
	for _, action := range a.pool.TakeActions() {
		switch act := action.(type) {
		case slot.Run:
			a.startCall(ctx, act)
		case slot.Abort:
			// A nil cancel function means that the call has already returned.
			if cancel := a.cancelCall[act.ID]; cancel != nil {
				cancel()
			}
		case slot.Completion:
			a.send(act.Entry, doneFrame(act))
		}
	}
}

func (a *Agent) startCall(ctx context.Context, r slot.Run) {
	ctx, cancel := context.WithTimeout(ctx, r.Timeout.Duration())
	a.cancelCall[r.ID] = cancel
	a.activeCalls++
	go a.client.call(ctx, r, a.results)
}

func (a *Agent) onResult(r callResult) {
	a.activeCalls--
	a.cancelCall[r.id]()
	delete(a.cancelCall, r.id)
	a.pool.Finish(r.id, r.outcome, a.clock.Now())
}

func (a *Agent) send(incarnation string, f *wire.Frame) {
	if l := a.links[incarnation]; l != nil {
		l.Send(f)
	}
}
