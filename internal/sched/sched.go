// Package sched is the process that callers reach with sized jobs. One task owns the
// scheduler and all state; other tasks own the links and the calls to the platform's
// store, and talk to it by messages. Front ends pass jobs in and answers out, and
// know how callers encode them.
package sched

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/dlog"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/runner"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// Clock tells the time.
type Clock interface {
	Now() clock.Millis
}

// TermsSource brings the configuration that operators publish.
type TermsSource interface {
	// Next waits for terms of a version above after. It returns nil terms when none
	// came for a while.
	Next(ctx context.Context, after int64) (*contr.Terms, error)
}

// Members is the list of entries that is kept on the platform's store.
type Members interface {
	// Join puts this entry on the list.
	Join(ctx context.Context, self host.Host) error
	// Leave takes it off.
	Leave(ctx context.Context, self host.Host) error
	// Entries returns the link addresses of all entries on the list.
	Entries(ctx context.Context) ([]string, error)
}

// Settings of an entry for sized jobs.
type Settings struct {
	Self host.Host
	// LinkAddress is the UDP address on which links are accepted.
	LinkAddress string
	// Seeds are link addresses of other entries.
	Seeds []string
	TLS   *tls.Config
	// ShutdownDelayMS is how long a draining entry still takes jobs, until the balancer
	// has noticed.
	ShutdownDelayMS clock.Millis
	// DrainMS bounds a graceful shutdown.
	DrainMS clock.Millis
}

// Timing of an entry.
const (
	// busyTick and idleTick pace what is due, while jobs wait and otherwise.
	busyTick  = 10 * time.Millisecond
	idleTick  = 50 * time.Millisecond
	inboxSize = 1024
	// pauseLimitMS is below the silence after which agents stop this entry's runs.
	pauseLimitMS clock.Millis = 550
	// membersEveryMS is how often this entry's record is renewed, and the list read
	// while peers are linked; membersAloneMS while none is, or the record not written.
	membersEveryMS clock.Millis = 20_000
	membersAloneMS clock.Millis = 1000
	// unlistedMS is how long an address that is not linked is dialed after it was
	// last listed.
	unlistedMS clock.Millis = 30_000
	// peerStateMS is how often peers are told of waiting jobs and the version in
	// force.
	peerStateMS clock.Millis = 1000
	// agentPulseMS is how long an agent with runs of this entry may hear nothing of it.
	agentPulseMS clock.Millis = 200
	// termsAgainMS paces reads of the configuration that fail.
	termsAgainMS clock.Millis = 250
)

// Reply is the final answer to a job's caller.
type Reply struct {
	Verdict      place.Verdict
	Reason       place.Reason
	TermsVersion int64
	RetryAfter   clock.Millis
}

// Request is a job as a front end passes it in.
type Request struct {
	// RequestID is the caller's id of the request, for logs.
	RequestID string
	Spec      jobs.Spec
	Queue     contr.Queue
	// TermsVersion is that of the terms that Queue stands in.
	TermsVersion int64
	// TimeoutMS is how long the caller waits; zero for as long as it takes.
	TimeoutMS clock.Millis
}

// Entry is one running entry for sized jobs.
type Entry struct {
	settings Settings
	clock    Clock
	log      *slog.Logger
	core     *place.Scheduler
	terms    *contr.Terms
	source   TermsSource
	members  Members
	node     *link.Node
	pause    *clock.PauseDetector

	inbox  chan message
	fresh  chan *contr.Terms
	listed chan memberList
	joined chan error
	stop   chan struct{}

	waiting map[jobs.ID][]*waiter
	agents  map[string]*link.Link
	peers   map[string]*peer
	dialed  map[string]clock.Millis
	calls   int
	askedAt clock.Millis
	asking  bool
	// onList is set while the last write of this entry's record succeeded, joinedAt
	// is when it was sent.
	onList   bool
	joinedAt clock.Millis
	joining  bool
	leaveAt  clock.Millis
	endAt    clock.Millis
	storeUp  bool
	metrics  *Metrics
}

// waiter is a caller that waits for a job's answer.
type waiter struct {
	request string
	reply   chan Reply
}

// peer is a linked entry and what it told.
type peer struct {
	link    *link.Link
	version int64
	waiting map[string]int32
}

// New returns an entry; Open it before Run.
func New(s Settings, c Clock, source TermsSource, m Members, log *slog.Logger) *Entry {
	e := &Entry{
		settings: s,
		clock:    c,
		log:      log,
		core:     place.New(s.Self.Location.Zone),
		source:   source,
		members:  m,
		pause:    clock.NewPauseDetector(pauseLimitMS, clock.FromDuration(idleTick)),
		inbox:    make(chan message, inboxSize),
		fresh:    make(chan *contr.Terms, 1),
		listed:   make(chan memberList, 1),
		joined:   make(chan error, 1),
		stop:     make(chan struct{}, 1),
		waiting:  map[jobs.ID][]*waiter{},
		agents:   map[string]*link.Link{},
		peers:    map[string]*peer{},
		dialed:   map[string]clock.Millis{},
		storeUp:  true,
		metrics:  newMetrics(),
	}
	e.node = link.New(link.Settings{Self: s.Self, Listen: s.LinkAddress, TLS: s.TLS, IdleTimeout: runner.LinkTimeoutMS}, log)
	return e
}

// Open binds the entry's link socket.
func (e *Entry) Open() error {
	address, err := e.node.Open()
	if err != nil {
		return err
	}
	e.settings.Self.Address = address
	return nil
}

// Drain asks the entry to finish what it has and end.
func (e *Entry) Drain() {
	select {
	case e.stop <- struct{}{}:
	default:
	}
}

// entryTasks is the number of tasks that Run starts.
const entryTasks = 2

// Run serves until it has drained, or until ctx ends at once.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, entryTasks)
	go e.node.Run(ctx, done)
	go e.followTerms(ctx, done)
	for _, s := range e.settings.Seeds {
		e.dial(s)
	}
	err := e.loop(ctx)
	cancel()
	e.unwind(done)
	return err
}

// unwind reads the ends of all tasks. Callers that still wait are told that the fate
// of their job is unknown.
func (e *Entry) unwind(done <-chan error) {
	for id := range e.waiting {
		e.tell(id, Reply{Verdict: place.VerdictUnknown, Reason: place.ReasonDraining})
	}
	for tasks := entryTasks; tasks > 0 || e.calls > 0; {
		select {
		case <-done:
			tasks--
		case <-e.node.Events():
		case <-e.fresh:
		case <-e.listed:
			e.calls--
		case <-e.joined:
			e.calls--
		case m := <-e.inbox:
			e.core.Draining = true
			m.apply(e) // its sender waits for an answer
			e.carryOut()
		}
	}
}

func (e *Entry) loop(ctx context.Context) error {
	t := time.NewTimer(busyTick)
	defer t.Stop()
	short := true
	for {
		select {
		case ev := <-e.node.Events():
			e.afterPause()
			e.onLink(ev)
		case m := <-e.inbox:
			m.apply(e)
		case terms := <-e.fresh:
			e.onTerms(terms, "store")
		case m := <-e.listed:
			e.onListed(m)
		case err := <-e.joined:
			e.onJoined(err)
		case <-t.C:
			e.afterPause()
			e.onTick(ctx)
			short = e.busy()
			t.Reset(tickFor(short))
		case <-e.stop:
			e.startLeaving(ctx)
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "run entry")
		}
		e.carryOut()
		if !short && e.busy() {
			short = true
			t.Reset(busyTick)
		}
		if e.drained() {
			return e.finish()
		}
	}
}

// busy reports whether something is due soon.
func (e *Entry) busy() bool {
	return e.core.HasWaitingJobs() || e.leaveAt > 0
}

func tickFor(busy bool) time.Duration {
	if busy {
		return busyTick
	}
	return idleTick
}

// followTerms is the task that waits for new terms on the store.
func (e *Entry) followTerms(ctx context.Context, done chan<- error) {
	version := int64(0)
	for ctx.Err() == nil {
		terms, err := e.source.Next(ctx, version)
		if err != nil {
			e.log.Warn("configuration not read from the store", "version", version, "error", err.Error())
			clock.Wait(ctx, termsAgainMS)
			continue
		}
		if terms == nil {
			continue
		}
		version = terms.Version
		select {
		case e.fresh <- terms:
		case <-ctx.Done():
		}
	}
	done <- errors.Annotate(ctx.Err(), "follow configuration")
}

// onTerms puts newer terms in force; older ones change nothing.
func (e *Entry) onTerms(t *contr.Terms, from string) {
	if !t.NewerThan(e.terms) {
		return
	}
	e.terms = t
	e.log.Info("configuration in force", "version", t.Version, "from", from, "queues", len(t.Queues))
	f := termsFrame(t)
	for _, p := range e.peers {
		if p.version < t.Version {
			p.link.Send(f)
		}
	}
}

// afterPause gives up all jobs when the machine was suspended for so long that the
// agents have stopped their runs, and callers may have submitted them elsewhere.
func (e *Entry) afterPause() {
	paused := e.pause.Paused()
	if paused == 0 {
		return
	}
	e.log.Warn("machine was suspended; its jobs are given up", "paused_ms", int64(paused), "jobs", len(e.core.Jobs))
	for inc, l := range e.agents {
		l.Close("suspended")
		delete(e.agents, inc)
		e.core.AgentDisconnected(inc, e.clock.Now())
	}
	e.core.AbandonAll(e.clock.Now())
}

func (e *Entry) onTick(ctx context.Context) {
	now := e.clock.Now()
	e.core.Tick(now)
	e.pulse()
	e.askMembers(ctx, now)
	for address, at := range e.dialed {
		if now-at > unlistedMS && !e.linkedTo(address) {
			delete(e.dialed, address)
			e.node.StopDialing(address)
		}
	}
}

// startLeaving begins a graceful shutdown: the front end is not ready any more, jobs
// are taken until the balancer has noticed, and what runs is finished.
func (e *Entry) startLeaving(ctx context.Context) {
	if e.leaveAt > 0 {
		return
	}
	now := e.clock.Now()
	e.leaveAt = now + e.settings.ShutdownDelayMS
	e.endAt = now + e.settings.DrainMS
	e.log.Info("leaving", "jobs", len(e.core.Jobs), "serve_on_ms", int64(e.settings.ShutdownDelayMS))
	e.calls++
	go func() { e.joined <- e.members.Leave(ctx, e.settings.Self) }()
}

func (e *Entry) drained() bool {
	if e.leaveAt == 0 {
		return false
	}
	now := e.clock.Now()
	e.core.Draining = now >= e.leaveAt
	return e.core.Draining && (e.core.Idle() && len(e.waiting) == 0 || now >= e.endAt)
}

// finish stops what still runs and ends the links.
func (e *Entry) finish() error {
	e.log.Info("drained", "jobs", len(e.core.Jobs))
	e.core.AbandonAll(e.clock.Now())
	e.carryOut()
	for _, p := range e.peers {
		p.link.Shutdown()
	}
	for _, l := range e.agents {
		l.Shutdown()
	}
	limit := time.NewTimer(finishLimit)
	defer limit.Stop()
	for len(e.peers)+len(e.agents) > 0 {
		select {
		case ev := <-e.node.Events():
			if ev.Type == link.Down {
				e.onDown(ev)
			}
		case <-limit.C:
			return nil
		}
	}
	return nil
}

// finishLimit bounds the wait for peers to close their links.
const finishLimit = 300 * time.Millisecond

// carryOut turns the core's actions into frames and answers.
func (e *Entry) carryOut() {
	for _, action := range e.core.TakeActions() {
		switch a := action.(type) {
		case place.Launch:
			e.onLaunch(a)
		case place.Stop:
			e.log.Info("runs halted", "job", string(a.Job), "tasks", len(a.Tasks), "worker", e.core.WorkerID(a.Agent))
			e.sendAgent(a.Agent, haltFrame(a))
		case place.Answer:
			e.onAnswer(a)
		}
	}
}

func (e *Entry) sendAgent(incarnation string, f *wire.Frame) {
	if l := e.agents[incarnation]; l != nil {
		l.Send(f)
	}
}

func (e *Entry) onLaunch(a place.Launch) {
	e.metrics.TasksPlaced.Add(len(a.Tasks))
	if w := e.core.Workers[a.Agent]; w != nil {
		e.log.Log(context.Background(), dlog.LevelOrdinary, "tasks placed", "job", string(a.Job), "tasks", len(a.Tasks),
			"run", a.Tasks[0].Run, "worker", w.ID, "speed", w.Speed, "free_milli_cpu", w.Free().MilliCPU,
			"report_age_ms", int64(e.clock.Now()-w.ReportedAt), "expected_ms", int64(a.ExpectedMS))
	}
	e.sendAgent(a.Agent, launchFrame(a))
}

func (e *Entry) onAnswer(a place.Answer) {
	level := slog.LevelInfo
	if a.Verdict == place.VerdictSucceeded {
		level = dlog.LevelOrdinary
	}
	j := a.Job
	took := e.clock.Now() - j.ArrivedAt
	e.metrics.answered(a, took)
	e.log.Log(context.Background(), level, "job answered", "job", string(j.Spec.ID), "request", e.requestOf(j.Spec.ID),
		"verdict", a.Verdict.String(), "reason", string(a.Reason), "queue", j.Queue.Name, "version", j.TermsVersion,
		"took_ms", int64(took), "first_sent_ms", sinceArrival(j, j.FirstSentAt), "last_sent_ms", sinceArrival(j, j.LastSentAt),
		"tasks", len(j.Tasks), "objective_ms", int64(j.Objective), "work_ms", int64(j.WorkMS),
		"patience_ms", int64(j.QueueDeadline-j.ArrivedAt), "retry_after_ms", int64(a.RetryAfter), "waiting", a.View.Waiting,
		"workers", a.View.Workers, "open", a.View.Open, "oldest_report_ms", int64(a.View.OldestReportMS))
	e.tell(j.Spec.ID, Reply{Verdict: a.Verdict, Reason: a.Reason, TermsVersion: j.TermsVersion, RetryAfter: a.RetryAfter})
}

// requestOf returns the callers' id of the first request that waits for a job.
func (e *Entry) requestOf(id jobs.ID) string {
	if ws := e.waiting[id]; len(ws) > 0 {
		return ws[0].request
	}
	return ""
}

// sinceArrival returns how long after a job's arrival something was, or -1 for never.
func sinceArrival(j *place.Job, at clock.Millis) int64 {
	if !j.Started {
		return -1
	}
	return int64(at - j.ArrivedAt)
}

// tell answers all callers of a job; their channels have room for the one answer.
func (e *Entry) tell(id jobs.ID, r Reply) {
	for _, w := range e.waiting[id] {
		w.reply <- r
	}
	delete(e.waiting, id)
}
