// Package entry is the process that callers reach. One task owns the dispatcher and
// all state; other tasks own the listening sockets, the links and the calls to the
// platform's log, and talk to it by messages.
package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/logsvc"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// Settings of an entry.
type Settings struct {
	Self host.Host
	// CallerAddress serves callers, Operators serves operators, both over HTTP.
	CallerAddress   string
	OperatorAddress string
	// OperatorToken is demanded of operators; empty demands none.
	OperatorToken string
	// LinkAddress is the UDP address for links; AdvertisedLinks is where others reach it,
	// if that is another.
	LinkAddress           string
	AdvertisedLinkAddress string
	// Seeds are link addresses of other entries, used besides the log.
	Seeds             []string
	TLS               *tls.Config
	CertificateExpiry time.Time
	HeartbeatInterval clock.Millis
	LinkIdleTimeout   clock.Millis
	// RetentionMS is how long the log keeps records; snapshots are written well
	// before.
	RetentionMS clock.Millis
	// LingerMS is how long a draining entry still takes callers, so that the
	// platform's balancer can notice.
	LingerMS clock.Millis
	// MaxBodyBytes bounds a request's or a job's body.
	MaxBodyBytes int64
	Dispatch     disp.Settings
}

// Clock tells the time.
type Clock interface {
	Now() clock.Millis
}

// Log is the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait clock.Millis) (logsvc.Page, error)
}

// Addresses are the sockets of an entry.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Links     string `json:"links"`
}

const (
	inboxSize = 1024
	tick      = 200 * time.Millisecond
	// idleWake is the longest sleep of the entry's task.
	idleWake = time.Second
)

// destination is where a caller's answer goes: to an HTTP handler, or over a link.
type destination struct {
	handler chan<- reply.Answer
	link    *link.Link
	ask     uint64
}

// Entry is one running entry.
type Entry struct {
	settings  Settings
	clock     Clock
	log       *slog.Logger
	disp      *disp.Dispatcher
	config    *contr.Config
	node      *link.Node
	callers   *callersWeb
	operators *operatorsWeb
	platform  *platform
	inbox     chan message
	stop      chan struct{}

	nextCaller disp.CallerID
	waiting    map[disp.CallerID]destination
	byHandler  map[chan<- reply.Answer]disp.CallerID
	agents     map[string]*agentLink
	peers      map[string]*link.Link
	peerState  map[string]peerState
	dialed     map[string]bool
	amendments map[string]*pendingAmendment
	beatAt     clock.Millis
	expireAt   clock.Millis
	phase      phase
	drainedAt  clock.Millis
}

// phase is how far a drain has come.
type phase int

const (
	phaseServing phase = iota
	// phaseLeaving: grants are not renewed, and the rest of them is served.
	phaseLeaving
	// phaseDraining: nothing new is taken.
	phaseDraining
)

// agentLink is a linked agent and what it told.
type agentLink struct {
	link          *link.Link
	configVersion int64
}

// peerState is what another entry told.
type peerState struct {
	Name          string `json:"name"`
	ConfigVersion int64  `json:"config_version"`
}

// New returns an entry; Open it before Run.
func New(s Settings, c Clock, parts disp.Parts, l Log, log *slog.Logger) *Entry {
	e := &Entry{
		settings:   s,
		clock:      c,
		log:        log,
		config:     parts.Config,
		inbox:      make(chan message, inboxSize),
		stop:       make(chan struct{}, 1),
		waiting:    map[disp.CallerID]destination{},
		byHandler:  map[chan<- reply.Answer]disp.CallerID{},
		agents:     map[string]*agentLink{},
		peers:      map[string]*link.Link{},
		peerState:  map[string]peerState{},
		dialed:     map[string]bool{},
		amendments: map[string]*pendingAmendment{},
	}
	e.node = link.New(link.Settings{
		Self: s.Self, Listen: s.LinkAddress, TLS: s.TLS, IdleTimeout: s.LinkIdleTimeout}, log)
	e.callers = newCallersWeb(s, c, e.inbox, log)
	e.operators = newOperatorsWeb(s, c, e.inbox, log)
	e.platform = newPlatform(l, s.Self.Location.Region, log)
	e.disp = disp.New(s.Dispatch, parts)
	return e
}

// Open binds the entry's sockets.
func (e *Entry) Open() (Addresses, error) {
	a := Addresses{}
	var err error
	if a.Links, err = e.node.Open(); err != nil {
		return a, err
	}
	e.Advertise(a.Links)
	if e.settings.AdvertisedLinkAddress != "" {
		e.Advertise(e.settings.AdvertisedLinkAddress)
	}
	if a.Callers, err = e.callers.Open(); err != nil {
		return a, err
	}
	a.Operators, err = e.operators.Open()
	return a, err
}

// Advertise sets the address at which other processes reach this entry's links,
// where it differs from the socket's. It must be called before Run.
func (e *Entry) Advertise(address string) {
	e.settings.Self.Address = address
	e.disp.Self.Address = address
	e.node.Advertise(address)
}

// Drain asks the entry to finish what it has and end.
func (e *Entry) Drain() {
	select {
	case e.stop <- struct{}{}:
	default:
	}
}

// entryTasks is the number of tasks that Run starts.
const entryTasks = 3

// Run serves until it has drained, or until ctx ends at once.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, entryTasks+platformTasks)
	go e.node.Run(ctx, done)
	go e.callers.runTask(ctx, done)
	go e.operators.runTask(ctx, done)
	e.platform.start(ctx, done)
	for _, s := range e.settings.Seeds {
		e.dial(s)
	}
	err := e.loop(ctx)
	cancel()
	e.unwind(done)
	return err
}

// unwind reads the ends of all tasks. Handlers that still wait are told that the
// fate of their request is unknown.
func (e *Entry) unwind(done <-chan error) {
	for c, d := range e.waiting {
		e.deliver(d, reply.Answer{Problem: &reply.Problem{
			Type: reply.TypeFateUnknown, Ran: reply.RanMaybe, Detail: "the entry was stopped"}})
		delete(e.waiting, c)
	}
	for tasks := entryTasks + platformTasks; tasks > 0; {
		select {
		case <-done:
			tasks--
		case <-e.node.Events():
		case <-e.platform.followed:
		case <-e.platform.appended:
		case m := <-e.inbox:
			e.disp.Draining = true
			m.apply(e) // its handler waits for an answer
			e.carryOut()
		}
	}
}

func (e *Entry) loop(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	wake := time.NewTimer(idleWake)
	defer wake.Stop()
	for {
		select {
		case ev := <-e.node.Events():
			e.onLink(ev)
		case m := <-e.inbox:
			m.apply(e)
		case f := <-e.platform.followed:
			e.onFollowed(f)
		case a := <-e.platform.appended:
			e.onAppended(a)
		case <-wake.C:
			e.disp.Wake(e.clock.Now())
		case <-t.C:
			e.onTick()
		case <-e.stop:
			e.startLeaving()
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "run entry")
		}
		e.carryOut()
		e.setWake(wake)
		if e.drainStep() {
			return e.finish(ctx)
		}
	}
}

// setWake sleeps until the dispatcher has something due.
func (e *Entry) setWake(t *time.Timer) {
	next := e.disp.NextWake()
	if next == 0 {
		t.Reset(idleWake)
		return
	}
	t.Reset(max(0, min(idleWake, (next-e.clock.Now()).Duration())))
}

// expireEvery is the interval at which old keys are forgotten.
const expireEvery = clock.Second

func (e *Entry) onTick() {
	now := e.clock.Now()
	if now-e.beatAt >= e.settings.HeartbeatInterval {
		e.beatAt = now
		e.beat()
	}
	if now-e.expireAt >= expireEvery {
		e.expireAt = now
		e.disp.Expire(now)
		e.dialRoster(now)
	}
	e.renew(now)
	e.snapshot(now)
	e.expireAmendments(now)
}

// carryOut turns the dispatcher's actions into frames and answers.
func (e *Entry) carryOut() {
	for _, action := range e.disp.TakeActions() {
		switch a := action.(type) {
		case disp.Reply:
			e.replyTo(a)
		case disp.Start:
			e.sendAgent(a.Agent, startFrame(a, e.disp.Backlog()))
		case disp.Cancel:
			e.sendAgent(a.Agent, cancelFrame(a))
		case disp.Find:
			for _, agent := range a.Agents {
				e.sendAgent(agent, findFrame(a))
			}
		case disp.Forward:
			e.sendPeer(a.Entry, submitFrame(a))
		case disp.Withdraw:
			e.sendPeer(a.Entry, withdrawFrame(a))
		}
	}
}

func (e *Entry) newCaller(d destination) disp.CallerID {
	e.nextCaller++
	e.waiting[e.nextCaller] = d
	if d.handler != nil {
		e.byHandler[d.handler] = e.nextCaller
	}
	return e.nextCaller
}

func (e *Entry) replyTo(r disp.Reply) {
	d, ok := e.waiting[r.Caller]
	if !ok {
		return
	}
	delete(e.waiting, r.Caller)
	if d.handler != nil {
		delete(e.byHandler, d.handler)
	}
	e.deliver(d, r.Answer)
}

// deliver never blocks: a handler's channel has room for its one answer.
func (e *Entry) deliver(d destination, a reply.Answer) {
	if d.handler != nil {
		d.handler <- a
		return
	}
	d.link.Send(answeredFrame(d.ask, a))
}

// leaveGraceMS covers the entry's last grant after its end, for keys made just
// before it.
const leaveGraceMS clock.Millis = 500

// startLeaving stops renewing grants; others hold the ranges from their ends on.
func (e *Entry) startLeaving() {
	if e.phase != phaseServing {
		return
	}
	now := e.clock.Now()
	e.phase = phaseLeaving
	e.drainedAt = now + e.settings.LingerMS
	for r := grant.Range(0); r < grant.RangeCount; r++ {
		if e.disp.Ledger.Holder(r) == e.settings.Self.Incarnation {
			e.drainedAt = max(e.drainedAt, e.disp.Ledger.Ends[r]+leaveGraceMS)
		}
	}
	e.callers.setReady(false)
	e.platform.announceLeaving(e.settings.Self)
	e.log.Info("leaving", "drain_from_ms", int64(e.drainedAt-now))
	e.beat()
}

// drainStep moves a drain on; it reports whether the entry can end.
func (e *Entry) drainStep() bool {
	if e.phase == phaseServing {
		return false
	}
	if e.phase == phaseLeaving && e.clock.Now() >= e.drainedAt {
		e.phase = phaseDraining
		e.disp.Draining = true
		e.callers.Close()
	}
	return e.phase == phaseDraining && e.disp.Idle() && len(e.waiting) == 0
}

// finish hands the keys over and ends the links once that has arrived.
func (e *Entry) finish(ctx context.Context) error {
	frames := handoverFrames(e.disp.StateTransfer())
	for _, l := range e.peers {
		for _, f := range frames {
			l.Send(f)
		}
	}
	for _, l := range e.peers {
		l.Shutdown()
	}
	for _, a := range e.agents {
		a.link.Shutdown()
	}
	limit := time.NewTimer(finishTimeout)
	defer limit.Stop()
	for len(e.peers)+len(e.agents) > 0 {
		select {
		case ev := <-e.node.Events():
			if ev.Type == link.Down {
				e.onDown(ev)
			}
		case <-limit.C:
			return nil
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "finish links")
		}
	}
	e.log.Info("drained")
	return nil
}

const finishTimeout = 3 * time.Second
