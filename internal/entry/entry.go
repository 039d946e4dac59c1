// Package entry implements the process that receives callers' requests. One goroutine,
// the main goroutine, owns the dispatcher and all state. Other goroutines own the
// listening sockets, the links and the calls to the platform's log, and exchange
// messages with it.
package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/admit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/logsvc"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/serve"
)

// Settings configures an entry.
type Settings struct {
	Self host.Host
	// CallerAddress and OperatorAddress are the HTTP listen addresses for callers and
	// for operators.
	CallerAddress   string
	OperatorAddress string
	// OperatorToken is the bearer token that operators must send; empty for none.
	OperatorToken string
	// LinkAddress is the UDP listen address for links. AdvertisedLinkAddress is the
	// address at which other processes reach it, or empty if it is the same.
	LinkAddress           string
	AdvertisedLinkAddress string
	// Seeds are link addresses of other entries, dialed in addition to the entries that
	// the log lists.
	Seeds             []string
	TLS               *tls.Config
	CertificateExpiry time.Time
	HeartbeatInterval clock.Millis
	LinkIdleTimeout   clock.Millis
	// RetentionMS is how long the log keeps records. Snapshots are written well before
	// the records expire.
	RetentionMS clock.Millis
	// LingerMS is the minimum time for which an entry that is shutting down still accepts
	// callers, so that the platform's load balancer can notice that it is not ready.
	LingerMS clock.Millis
	// MaxBodyBytes is the maximum size of the body of a request or job.
	MaxBodyBytes int64
	// Clients are the limits on the clients of all listeners.
	Clients  admit.Settings
	Dispatch disp.Settings
}

// Clock returns the current time.
type Clock interface {
	Now() clock.Millis
}

// Log appends to and reads the streams of the platform's log.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait clock.Millis) (logsvc.Page, error)
}

// Addresses are the addresses of an entry's listening sockets.
type Addresses struct {
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Links     string `json:"links"`
}

const (
	inboxSize    = 1024
	tickInterval = 200 * time.Millisecond
	// maxWakeDelay is the maximum duration of the dispatcher's wake timer.
	maxWakeDelay = time.Second
)

// destination is where a caller's answer is delivered: to the HTTP handler that receives from
// answer, or, if answer is nil, to another entry over a link.
type destination struct {
	answer    chan<- reply.Answer
	link      *link.Link
	messageID uint64
}

// Entry is an entry process.
type Entry struct {
	settings       Settings
	clock          Clock
	log            *slog.Logger
	disp           *disp.Dispatcher
	config         *contr.Config
	node           *link.Node
	callers        *callerServer
	operators      *operatorServer
	platformLog    *platformLog
	inbox          chan message
	drainRequested chan struct{}

	lastCaller   disp.CallerID
	destinations map[disp.CallerID]destination
	// callerByAnswer holds the callers that wait in an HTTP handler, by answer channel.
	callerByAnswer map[chan<- reply.Answer]disp.CallerID
	// agents, linkedEntries and entryStates are keyed by incarnation.
	agents        map[string]*agentLink
	linkedEntries map[string]*link.Link
	entryStates   map[string]entryState
	// dialed holds the link addresses of other entries that node keeps dialing.
	dialed          map[string]bool
	amendments      map[string]*pendingAmendment
	lastHeartbeatAt clock.Millis
	lastExpiryAt    clock.Millis
	phase           phase
	// drainFrom is when phaseLeaving turns into phaseDraining.
	drainFrom clock.Millis
}

// phase is the progress of a shutdown.
type phase int

const (
	phaseServing phase = iota
	// phaseLeaving: the entry no longer renews its grants, and still accepts callers
	// until drainFrom, when its grants have expired.
	phaseLeaving
	// phaseDraining: the entry accepts no new submissions and completes the current ones.
	phaseDraining
)

// agentLink is the link to an agent and the configuration version that the agent has.
type agentLink struct {
	link          *link.Link
	configVersion int64
}

// entryState is the state that another entry reported in its last heartbeat.
type entryState struct {
	Name          string `json:"name"`
	ConfigVersion int64  `json:"config_version"`
}

// New returns an entry. Open must be called before Run.
func New(s Settings, c Clock, parts disp.Parts, l Log, log *slog.Logger) *Entry {
	e := &Entry{
		settings:       s,
		clock:          c,
		log:            log,
		config:         parts.Config,
		inbox:          make(chan message, inboxSize),
		drainRequested: make(chan struct{}, 1),
		destinations:   map[disp.CallerID]destination{},
		callerByAnswer: map[chan<- reply.Answer]disp.CallerID{},
		agents:         map[string]*agentLink{},
		linkedEntries:  map[string]*link.Link{},
		entryStates:    map[string]entryState{},
		dialed:         map[string]bool{},
		amendments:     map[string]*pendingAmendment{},
	}
	e.node = link.New(link.Settings{
		Self: s.Self, Listen: s.LinkAddress, TLS: s.TLS, IdleTimeout: s.LinkIdleTimeout}, log)
	gate := serve.NewGate(s.Clients, c, log)
	e.callers = newCallerServer(s, c, e.inbox, gate, log)
	e.operators = newOperatorServer(s, c, e.inbox, gate, log)
	e.platformLog = newPlatformLog(l, s.Self.Location.Region, log)
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

// Advertise sets the address at which other processes reach this entry's links, if it
// differs from the socket's address. It must be called before Run.
func (e *Entry) Advertise(address string) {
	e.settings.Self.Address = address
	e.disp.Self.Address = address
	e.node.Advertise(address)
}

// Drain requests a graceful shutdown: the entry completes its current work, and Run
// returns.
func (e *Entry) Drain() {
	select {
	case e.drainRequested <- struct{}{}:
	default:
	}
}

// entryGoroutines is the number of goroutines that Run starts, without those of the
// platform's log.
const entryGoroutines = 3

// Run serves until the entry has drained after a call to Drain, or stops at once when
// ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, entryGoroutines+platformLogGoroutines)
	go e.node.Run(ctx, done)
	go e.callers.serveRoutes(ctx, done)
	go e.operators.serveRoutes(ctx, done)
	e.platformLog.start(ctx, done)
	for _, s := range e.settings.Seeds {
		e.dial(s)
	}
	err := e.loop(ctx)
	cancel()
	e.awaitGoroutines(done)
	return err
}

// awaitGoroutines waits for every goroutine that the entry started. It keeps receiving their
// messages, so that none of them blocks. Callers that still wait get the answer that the
// outcome of their request is unknown.
func (e *Entry) awaitGoroutines(done <-chan error) {
	for c, d := range e.destinations {
		e.deliver(d, reply.Answer{Problem: &reply.Problem{
			Type: reply.TypeFateUnknown, Ran: reply.RanMaybe, Detail: "the entry was stopped"}})
		delete(e.destinations, c)
	}
	for running := entryGoroutines + platformLogGoroutines; running > 0; {
		select {
		case <-done:
			running--
		case <-e.node.Events():
		case <-e.platformLog.readResults:
		case <-e.platformLog.appendResults:
		case m := <-e.inbox:
			e.disp.Draining = true
			m.apply(e) // the HTTP handler waits for an answer
			e.performActions()
		}
	}
}

func (e *Entry) loop(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	wake := time.NewTimer(maxWakeDelay)
	defer wake.Stop()
	for {
		select {
		case ev := <-e.node.Events():
			e.onLinkEvent(ev)
		case m := <-e.inbox:
			m.apply(e)
		case r := <-e.platformLog.readResults:
			e.onReadResult(r)
		case a := <-e.platformLog.appendResults:
			e.onAppendResult(a)
		case <-wake.C:
			e.disp.Wake(e.clock.Now())
		case <-t.C:
			e.onTick()
		case <-e.drainRequested:
			e.startDrain()
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "run entry")
		}
		e.performActions()
		e.resetWakeTimer(wake)
		if e.advanceDrain() {
			return e.closeLinks(ctx)
		}
	}
}

// resetWakeTimer sets the timer to the time at which the dispatcher must be woken.
func (e *Entry) resetWakeTimer(t *time.Timer) {
	next := e.disp.NextWake()
	if next == 0 {
		t.Reset(maxWakeDelay)
		return
	}
	t.Reset(max(0, min(maxWakeDelay, (next-e.clock.Now()).Duration())))
}

// expiryIntervalMS is the interval at which expired keys are removed.
const expiryIntervalMS = clock.Second

func (e *Entry) onTick() {
	now := e.clock.Now()
	if now-e.lastHeartbeatAt >= e.settings.HeartbeatInterval {
		e.lastHeartbeatAt = now
		e.sendHeartbeats()
	}
	if now-e.lastExpiryAt >= expiryIntervalMS {
		e.lastExpiryAt = now
		e.disp.Expire(now)
		e.updateDials(now)
	}
	e.renewGrants(now)
	e.writeSnapshots(now)
	e.expireAmendments(now)
}

// performActions performs the dispatcher's actions: it sends frames and answers.
func (e *Entry) performActions() {
	for _, action := range e.disp.TakeActions() {
		switch a := action.(type) {
		case disp.Reply:
			e.sendReply(a)
		case disp.Start:
			e.sendToAgent(a.Agent, startFrame(a, e.disp.Backlog()))
		case disp.Cancel:
			e.sendToAgent(a.Agent, cancelFrame(a))
		case disp.Find:
			for _, agent := range a.Agents {
				e.sendToAgent(agent, findFrame(a))
			}
		case disp.Forward:
			e.sendToEntry(a.Entry, submitFrame(a))
		case disp.Withdraw:
			e.sendToEntry(a.Entry, withdrawFrame(a))
		}
	}
}

// addCaller assigns an ID to a new caller whose answer goes to d.
func (e *Entry) addCaller(d destination) disp.CallerID {
	e.lastCaller++
	e.destinations[e.lastCaller] = d
	if d.answer != nil {
		e.callerByAnswer[d.answer] = e.lastCaller
	}
	return e.lastCaller
}

// sendReply delivers the answer to a caller and forgets the caller. It does nothing if the
// caller has disconnected.
func (e *Entry) sendReply(r disp.Reply) {
	d, ok := e.destinations[r.Caller]
	if !ok {
		return
	}
	delete(e.destinations, r.Caller)
	if d.answer != nil {
		delete(e.callerByAnswer, d.answer)
	}
	e.deliver(d, r.Answer)
}

// deliver sends an answer to its destination. It never blocks, since the channel to a
// handler has capacity for its one answer.
func (e *Entry) deliver(d destination, a reply.Answer) {
	if d.answer != nil {
		d.answer <- a
		return
	}
	d.link.Send(answeredFrame(d.messageID, a))
}

// leavingGraceMS is how long the entry still accepts callers after its last grant has
// ended, for keys that were created shortly before the end.
const leavingGraceMS clock.Millis = 500

// startDrain begins a graceful shutdown with phaseLeaving: grants are no longer renewed, so
// that other entries can hold the key ranges after this entry's grants end.
func (e *Entry) startDrain() {
	if e.phase != phaseServing {
		return
	}
	now := e.clock.Now()
	e.phase = phaseLeaving
	e.drainFrom = now + e.settings.LingerMS
	for r := grant.Range(0); r < grant.RangeCount; r++ {
		if e.disp.Ledger.Holder(r) == e.settings.Self.Incarnation {
			e.drainFrom = max(e.drainFrom, e.disp.Ledger.Ends[r]+leavingGraceMS)
		}
	}
	e.callers.setReady(false)
	e.platformLog.announceLeaving(e.settings.Self)
	e.log.Info("leaving", "drain_from_ms", int64(e.drainFrom-now))
	e.sendHeartbeats()
}

// advanceDrain enters phaseDraining when it is due. It reports whether the drain is
// complete.
func (e *Entry) advanceDrain() bool {
	if e.phase == phaseServing {
		return false
	}
	if e.phase == phaseLeaving && e.clock.Now() >= e.drainFrom {
		e.phase = phaseDraining
		e.disp.Draining = true
		e.callers.Close()
	}
	return e.phase == phaseDraining && e.disp.Idle() && len(e.destinations) == 0
}

// closeLinks sends the state of the keys to the linked entries and closes each link once
// all frames sent on it have been delivered. It waits for this at most linkCloseTimeout.
func (e *Entry) closeLinks(ctx context.Context) error {
	frames := stateTransferFrames(e.disp.StateTransfer())
	for _, l := range e.linkedEntries {
		for _, f := range frames {
			l.Send(f)
		}
	}
	for _, l := range e.linkedEntries {
		l.Shutdown()
	}
	for _, a := range e.agents {
		a.link.Shutdown()
	}
	timeout := time.NewTimer(linkCloseTimeout)
	defer timeout.Stop()
	for len(e.linkedEntries)+len(e.agents) > 0 {
		select {
		case ev := <-e.node.Events():
			if ev.Type == link.Down {
				e.onLinkDown(ev)
			}
		case <-timeout.C:
			return nil
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "close links")
		}
	}
	e.log.Info("drained")
	return nil
}

// linkCloseTimeout bounds the wait in closeLinks until all links are down.
const linkCloseTimeout = 3 * time.Second
