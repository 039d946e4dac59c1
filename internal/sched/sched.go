// Package sched implements the entry for sized jobs, which are jobs whose tasks state their
// need of CPU, memory and accelerators (jobs.Size). The entry is the process that callers
// submit such jobs to. One goroutine owns the scheduler and all state. Other goroutines own
// the links and the calls to the platform's store, and exchange messages with it. The
// platform's HTTP handlers decode callers' requests, submit the jobs and encode the answers.
package sched

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/dlog"
	"github.com/turmericbarrow/turmericbarrow/internal/guard"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/offer"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// Clock returns the current time.
type Clock interface {
	Now() clock.Millis
}

// Published is what operators have published since the last read.
type Published struct {
	// Terms is nil if there is no newer configuration.
	Terms *contr.Terms
	// Drains is nil if no drain of a zone began or ended.
	Drains *zone.Drains
}

// TermsSource provides the configuration that operators publish, and the zones that they drain.
type TermsSource interface {
	// Next waits for terms with a version above after, or for a change of the drained zones. It
	// returns neither when its wait times out. The drained zones are known with the first terms
	// at the latest.
	Next(ctx context.Context, after int64) (Published, error)
}

// Members is the membership list of entries in the platform's store.
type Members interface {
	// Join writes or renews this entry's record on the list.
	Join(ctx context.Context, self host.Host) error
	// Remove removes the record of an entry by its link address.
	Remove(ctx context.Context, address string) error
	// Entries returns the records of all entries on the list.
	Entries(ctx context.Context) ([]roster.Record, error)
}

// Settings configures an entry for sized jobs.
type Settings struct {
	Self host.Host
	// LinkAddress is the UDP address on which the entry accepts links.
	LinkAddress string
	// Seeds are the link addresses of other entries to dial at startup.
	Seeds []string
	TLS   *tls.Config
	// ShutdownDelayMS is how long the entry still accepts jobs after Drain, so that the
	// load balancer has time to notice that it is no longer ready.
	ShutdownDelayMS clock.Millis
	// DrainMS bounds the whole graceful shutdown from Drain on, apart from linkCloseTimeout.
	// It should be longer than ShutdownDelayMS, which is never cut short.
	DrainMS clock.Millis
	// CapacityOffers is set if agents are told of waiting jobs, so that they offer free capacity.
	CapacityOffers bool
	// LookAhead is set if placement looks ahead; see docs/design/look-ahead.md.
	LookAhead bool
}

// Intervals and limits of an entry.
const (
	// busyInterval is the tick interval while there are jobs to place or the entry drains,
	// idleInterval otherwise.
	busyInterval = 10 * time.Millisecond
	idleInterval = 50 * time.Millisecond
	inboxSize    = 1024
	// pauseLimitMS is the longest pause of this process after which it keeps its jobs. It
	// is below the time without frames after which agents stop this entry's runs.
	pauseLimitMS clock.Millis = 550
	// membersIntervalMS is the interval between renewals of this entry's record, and
	// between reads of the membership list. While no other entry is linked or the
	// record is not on the list, the list is read every membersAloneIntervalMS, and a
	// missing record is written again as often.
	membersIntervalMS      clock.Millis = 20_000
	membersAloneIntervalMS clock.Millis = 1000
	// entryLinks is the number of other entries that the entry dials, and maxMeshEntries the
	// number of other entries up to which it dials all of them. With the links that others
	// dial, four keep a fleet of any size connected while a tenth of it is gone.
	entryLinks     = 4
	maxMeshEntries = 8
	// selectIntervalMS is the interval at which the dialed entries are reviewed.
	selectIntervalMS clock.Millis = 250
	// entryStateIntervalMS is how often the entry sends linked entries its number of
	// unstarted jobs and its configuration version, if it sent nothing else on the link.
	entryStateIntervalMS clock.Millis = 1000
	// entryLinkTimeoutMS is how long a link to another entry may receive nothing.
	entryLinkTimeoutMS clock.Millis = 2600
	// rosterIntervalMS is the shortest interval between two rosters to the agents.
	rosterIntervalMS clock.Millis = 1000
	// agentKeepaliveMS is how long the entry may send nothing to an agent that holds runs
	// of this entry.
	agentKeepaliveMS clock.Millis = 200
	// minConfirmMS is the shortest interval at which the entry answers an agent's frames only to
	// confirm that it is alive.
	minConfirmMS clock.Millis = 100
	// termsRequestMS is how long an entry that learns of a newer configuration waits for it
	// from the store before it requests it from a linked entry, and the interval at which it
	// repeats the request.
	termsRequestMS clock.Millis = 300
	// termsAnswerMS is how long a configuration has to be in force before it is sent to
	// linked entries, which need that time to read it from the store. It is shorter than
	// termsRequestMS, so that every request is answered.
	termsAnswerMS clock.Millis = 250
	// termsRepeatMS is the shortest interval at which one version is sent to one entry.
	termsRepeatMS clock.Millis = 1000
	// firstTermsWaitMS is how long after the start of the entry requests wait for the first
	// configuration. Their callers don't submit a refused job again, and most reads take a few
	// milliseconds.
	firstTermsWaitMS clock.Millis = 500
	// workersExpectedMS is how long after the start of the entry workers are expected to link. An
	// agent whose first handshake meets an entry that does not run yet repeats it within this
	// time.
	workersExpectedMS clock.Millis = 1000
	// termsRetryMS is the delay before a failed read of the configuration is repeated.
	termsRetryMS clock.Millis = 250
)

// Reply is the final answer to a job as the platform's HTTP handlers receive it.
type Reply struct {
	Verdict      place.Verdict
	Reason       place.Reason
	TermsVersion int64
	RetryAfter   clock.Millis
}

// Request is a job as the platform's HTTP handlers submit it.
type Request struct {
	// RequestID is the caller's id of the request. It appears in the logs.
	RequestID string
	Spec      jobs.Spec
	Queue     contr.Queue
	// TermsVersion is the version of the terms that define Queue.
	TermsVersion int64
	// TimeoutMS is how much longer the caller waits; zero if it waits indefinitely.
	TimeoutMS clock.Millis
}

// Entry is one running entry for sized jobs.
type Entry struct {
	settings  Settings
	clock     Clock
	log       *slog.Logger
	scheduler *place.Scheduler
	// announcer decides what agents are told of waiting jobs.
	announcer    *offer.Announcer
	noticeCounts noticeCounts
	// terms are the terms in force, or nil before the first were received.
	terms *contr.Terms
	// termsSince is when terms came into force.
	termsSince clock.Millis
	// termsQueries holds the queries that wait for the first terms.
	termsQueries []termsQuery
	// termsRequestedAt is when terms were last requested from a linked entry.
	termsRequestedAt clock.Millis
	termsSource      TermsSource
	// drains is the newest set of drained zones that is known.
	drains  zone.Drains
	members Members
	node    *link.Node
	pause   *clock.PauseDetector

	// resumedAt is the end of the last detected pause of the process.
	resumedAt clock.Millis

	inbox       chan message
	published   chan Published
	memberLists chan memberList
	// recordResults receives the results of writes and removals of this entry's record.
	recordResults chan error
	// removals receives the results of the removals of stale records.
	removals       chan error
	drainRequested chan struct{}

	// waiters holds the callers that wait for each unanswered job.
	waiters map[jobs.ID][]*waiter
	// requestIDs holds the request id of the first caller of each unanswered job, and answers
	// the last answers; both are for the log.
	requestIDs map[jobs.ID]string
	answers    *answerMemory
	// agents and linkedEntries are keyed by incarnation. A link to an agent is in agents
	// once the agent's inventory has arrived over it.
	agents        map[string]*link.Link
	linkedEntries map[string]*linkedEntry
	startedAt     clock.Millis
	// selector selects the entries to dial; selectedAt is when it last did.
	selector   *roster.Selector
	selectedAt clock.Millis
	// cancels passes cancellations on to the entries that are not linked.
	cancels *cancelRelay
	// unconfirmedCancels holds the cancellations that are not acknowledged to their callers yet.
	unconfirmedCancels []*unconfirmedCancel
	// cancelled remembers the jobs that were cancelled lately.
	cancelled *cancelledJobs
	// rosterChanged is set while the linked entries differ from those that the agents were
	// told at rosterSentAt.
	rosterChanged bool
	rosterSentAt  clock.Millis
	// storeCalls counts the calls to the store in progress.
	storeCalls int
	// The last read of the membership list began at membersReadAt; readingMembers is set
	// while it is in progress.
	membersReadAt  clock.Millis
	readingMembers bool
	listing        *roster.Listing
	// registered is set while the last write or removal of this entry's record succeeded.
	// The last write began at recordWrittenAt; writingRecord is set while it is in
	// progress.
	registered      bool
	recordWrittenAt clock.Millis
	writingRecord   bool
	// removeAfterWrite is set while the record is to be removed once the write in progress
	// has ended.
	removeAfterWrite bool
	// drainAt is when a draining entry stops accepting jobs, and drainDeadline when it
	// abandons the remaining jobs; both are zero until Drain.
	drainAt       clock.Millis
	drainDeadline clock.Millis
	// storeReachable is set unless the last read of the membership list failed.
	storeReachable bool
	metrics        *Metrics
}

// waiter is a caller that waits for the answer to a job.
type waiter struct {
	requestID string
	reply     chan Reply
}

// linkedEntry is a linked entry and the state that it last sent.
type linkedEntry struct {
	link *link.Link
	// termsVersion is the configuration version in force at the entry, and behindSince when
	// this entry learned that the version is newer than its own; zero while it is not.
	termsVersion int64
	behindSince  clock.Millis
	// termsSentVersion is the last version that was sent to the entry, and termsSentAt when.
	termsSentVersion int64
	termsSentAt      clock.Millis
	unstartedJobs    map[string]int32
	// cancelsSent counts the CancelJob frames sent to the other entry, and cancelsConfirmed those of
	// them that it has reported as handled.
	cancelsSent      uint64
	cancelsConfirmed uint64
	// cancelsHandled counts the CancelJob frames from the other entry that were handled here.
	cancelsHandled uint64
}

// New returns an entry. Call Open before Run.
func New(s Settings, c Clock, source TermsSource, m Members, log *slog.Logger) *Entry {
	e := &Entry{
		settings:       s,
		clock:          c,
		log:            log,
		scheduler:      place.New(s.Self.Location.Zone),
		announcer:      offer.NewAnnouncer(),
		termsSource:    source,
		members:        m,
		pause:          clock.NewPauseDetector(pauseLimitMS, clock.FromDuration(idleInterval)),
		inbox:          make(chan message, inboxSize),
		published:      make(chan Published, 1),
		memberLists:    make(chan memberList, 1),
		recordResults:  make(chan error, 1),
		removals:       make(chan error, 1),
		listing:        roster.NewListing(),
		drainRequested: make(chan struct{}, 1),
		waiters:        map[jobs.ID][]*waiter{},
		requestIDs:     map[jobs.ID]string{},
		answers:        newAnswerMemory(),
		agents:         map[string]*link.Link{},
		linkedEntries:  map[string]*linkedEntry{},
		selector:       roster.NewSelector(s.Self.Name, s.Seeds, entryLinks, maxMeshEntries, c.Now()),
		cancels:        newCancelRelay(),
		cancelled:      newCancelledJobs(),
		storeReachable: true,
		metrics:        newMetrics(),
	}
	e.startedAt = c.Now()
	e.scheduler.AwaitWorkersUntil = e.startedAt + workersExpectedMS
	e.scheduler.LookAhead = s.LookAhead
	e.scheduler.Seed(xxhash.Sum64String(s.Self.Incarnation))
	e.node = link.New(link.Settings{Self: s.Self, Listen: s.LinkAddress, TLS: s.TLS, IdleTimeout: entryLinkTimeoutMS}, log)
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

// Drain starts a graceful shutdown: Run returns once all accepted jobs are answered or
// the drain deadline has passed.
func (e *Entry) Drain() {
	select {
	case e.drainRequested <- struct{}{}:
	default:
	}
}

// entryGoroutines is the number of long-running goroutines that Run starts.
const entryGoroutines = 2

// Run serves jobs until the entry has drained. When ctx ends it stops at once.
func (e *Entry) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, entryGoroutines)
	go e.node.Run(ctx, done)
	go e.followTerms(ctx, done)
	err := e.loop(ctx)
	cancel()
	e.awaitGoroutines(done)
	return err
}

// awaitGoroutines waits until all goroutines of this entry have ended. It keeps receiving
// their messages, so that none of them blocks. Callers that still wait get the answer that
// the outcome of their job is unknown.
func (e *Entry) awaitGoroutines(done <-chan error) {
	for id := range e.waiters {
		e.replyTo(id, Reply{Verdict: place.VerdictUnknown, Reason: place.ReasonDraining})
	}
	e.answerTermsQueries()
	e.refuseCancels()
	for running := entryGoroutines; running > 0 || e.storeCalls > 0; {
		select {
		case <-done:
			running--
		case <-e.node.Events():
		case <-e.published:
		case <-e.memberLists:
			e.storeCalls--
		case <-e.recordResults:
			e.storeCalls--
		case <-e.removals:
			e.storeCalls--
		case m := <-e.inbox:
			e.refuse(m)
		}
	}
}

// Refuse answers the messages of callers that arrive after Run has returned, until ctx ends, and
// then sends nil to done. The HTTP servers close after the entry, so that they still read requests.
func (e *Entry) Refuse(ctx context.Context, done chan<- error) {
	for {
		select {
		case m := <-e.inbox:
			e.refuse(m)
		case <-ctx.Done():
			done <- nil
			return
		}
	}
}

// refuse answers a message without accepting a job.
func (e *Entry) refuse(m message) {
	e.scheduler.Draining = true
	m.apply(e)
	e.answerTermsQueries()
	e.refuseCancels()
	e.performActions()
}

func (e *Entry) loop(ctx context.Context) error {
	t := time.NewTimer(busyInterval)
	defer t.Stop()
	shortTick := true
	for {
		var source *link.Link
		var handle func()
		ticked := false
		select {
		case ev := <-e.node.Events():
			source, handle = ev.Link, func() { e.onLinkEvent(ev) }
		case m := <-e.inbox:
			handle = func() { m.apply(e) }
		case p := <-e.published:
			handle = func() { e.onPublished(p) }
		case m := <-e.memberLists:
			handle = func() { e.onMemberList(ctx, m) }
		case err := <-e.recordResults:
			handle = func() { e.onRecordResult(ctx, err) }
		case err := <-e.removals:
			handle = func() { e.onRemoval(err) }
		case <-t.C:
			ticked, handle = true, func() { e.onTick(ctx) }
		case <-e.drainRequested:
			handle = func() { e.startDrain(ctx) }
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "run entry")
		}
		e.checkPause()
		e.handleGuarded(source, handle)
		if ticked {
			shortTick = e.busy()
			t.Reset(tickInterval(shortTick))
		} else if !shortTick && e.busy() {
			shortTick = true
			t.Reset(busyInterval)
		}
		if e.advanceDrain() {
			return e.closeLinks()
		}
	}
}

// handleGuarded handles one message and performs the resulting actions. If that panics, the
// state of the jobs may be inconsistent: the link that the message came from is closed and
// all jobs are abandoned, as after a pause, so that callers get an answer and agents stop
// the runs. If that fails as well, the process ends, and its next incarnation starts without
// jobs.
func (e *Entry) handleGuarded(source *link.Link, handle func()) {
	err := guard.Run("handle message", func() {
		handle()
		e.performActions()
	})
	if err == nil {
		return
	}
	e.metrics.recordPanic()
	e.log.Error("unexpected error; abandoning all jobs", "error", err.Error(), "jobs", len(e.scheduler.Jobs))
	if source != nil {
		source.Close("unexpected error")
	}
	e.abandonAll("unexpected error")
	e.performActions()
	for id := range e.waiters {
		e.replyTo(id, Reply{Verdict: place.VerdictUnknown, Reason: place.ReasonWorkerLost})
	}
}

// busy reports whether the short tick is needed: there are jobs to place or the entry
// drains.
func (e *Entry) busy() bool {
	return e.scheduler.HasJobsToPlace() || e.drainAt > 0
}

func tickInterval(busy bool) time.Duration {
	if busy {
		return busyInterval
	}
	return idleInterval
}

// followTerms waits for new terms and drains of zones in the store and passes them to the
// entry's goroutine.
func (e *Entry) followTerms(ctx context.Context, done chan<- error) {
	version := int64(0)
	for ctx.Err() == nil {
		var p Published
		err := guard.Call("read the configuration", func() (err error) {
			p, err = e.termsSource.Next(ctx, version)
			return err
		})
		if err != nil {
			e.log.Warn("configuration not read from the store", "version", version, "error", err.Error())
			clock.Wait(ctx, termsRetryMS)
			continue
		}
		if p.Terms == nil && p.Drains == nil {
			continue
		}
		if p.Terms != nil {
			version = p.Terms.Version
		}
		select {
		case e.published <- p:
		case <-ctx.Done():
		}
	}
	done <- errors.Annotate(ctx.Err(), "follow configuration")
}

// checkPause abandons all jobs if this process was paused for so long that the agents
// may have stopped its runs and callers may have submitted their jobs elsewhere.
func (e *Entry) checkPause() {
	paused := e.pause.Paused()
	if paused == 0 {
		return
	}
	e.resumedAt = e.clock.Now()
	e.log.Warn("process was paused; abandoning all jobs", "paused_ms", int64(paused), "jobs", len(e.scheduler.Jobs))
	e.abandonAll("suspended")
	e.performActions()
}

// abandonAll closes the links to all agents and abandons all jobs. The agents stop the runs,
// and list those that they still have when they link again.
func (e *Entry) abandonAll(reason string) {
	for incarnation, l := range e.agents {
		l.Close(reason)
		delete(e.agents, incarnation)
		e.scheduler.AgentDisconnected(incarnation, e.clock.Now())
	}
	e.scheduler.AbandonAll(e.clock.Now())
}

func (e *Entry) onTick(ctx context.Context) {
	now := e.clock.Now()
	e.scheduler.Tick(now)
	e.sendNotices(now)
	e.sendKeepalives()
	e.refreshMembers(ctx, now)
	if now-e.selectedAt >= selectIntervalMS {
		e.updateDials(now)
	}
	e.sendRoster(now)
	e.sendCancels(now)
	e.acknowledgeCancels(now)
	e.requestTerms(now)
	if now >= e.startedAt+firstTermsWaitMS {
		e.answerTermsQueries()
	}
}

// startDrain begins a graceful shutdown: the entry reports that it is not ready and
// leaves the membership list, still accepts jobs until the load balancer has had time to
// notice, and finishes the jobs that it has accepted.
func (e *Entry) startDrain(ctx context.Context) {
	if e.drainAt > 0 {
		return
	}
	now := e.clock.Now()
	e.drainAt = now + e.settings.ShutdownDelayMS
	e.drainDeadline = now + e.settings.DrainMS
	e.log.Info("leaving", "jobs", len(e.scheduler.Jobs), "serve_on_ms", int64(e.settings.ShutdownDelayMS))
	if e.writingRecord {
		e.removeAfterWrite = true // a write that arrives after the removal would undo it
		return
	}
	e.removeOwnRecord(ctx)
}

// advanceDrain makes the scheduler refuse new jobs once the shutdown delay has passed. It
// reports whether the drain is complete or its deadline has passed.
func (e *Entry) advanceDrain() bool {
	if e.drainAt == 0 {
		return false
	}
	now := e.clock.Now()
	e.scheduler.Draining = now >= e.drainAt
	return e.scheduler.Draining && (e.scheduler.Idle() && len(e.waiters) == 0 || now >= e.drainDeadline)
}

// closeLinks abandons the remaining jobs and shuts down the links once all frames have
// reached the processes at their other ends. It returns after linkCloseTimeout at the latest.
func (e *Entry) closeLinks() error {
	e.log.Info("drained", "jobs", len(e.scheduler.Jobs))
	e.scheduler.AbandonAll(e.clock.Now())
	e.performActions()
	e.passOnLastCancels()
	for _, other := range e.linkedEntries {
		other.link.Shutdown()
	}
	for _, l := range e.agents {
		l.Shutdown()
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
		}
	}
	return nil
}

// linkCloseTimeout bounds the wait in closeLinks until all links are down.
const linkCloseTimeout = 300 * time.Millisecond

// performActions performs the scheduler's actions: it sends frames to agents and answers to
// callers.
func (e *Entry) performActions() {
	actions := e.scheduler.TakeActions()
	unloggedLaunches := launchesByJob(actions)
	for _, action := range actions {
		switch a := action.(type) {
		case place.Launch:
			e.logPlacement(a.Job, unloggedLaunches[a.Job])
			delete(unloggedLaunches, a.Job)
			e.metrics.TasksPlaced.Add(len(a.Tasks))
			e.sendToAgent(a.Agent, launchFrame(a, e.clock.Now()))
		case place.Resolved:
			e.logResolved(a)
		case place.Stop:
			e.log.Info("runs halted", "job", string(a.Job), "tasks", len(a.Tasks), "worker", e.scheduler.WorkerID(a.Agent))
			e.sendToAgent(a.Agent, stopFrame(a))
		case place.Answer:
			e.deliverAnswer(a)
		}
	}
}

func (e *Entry) sendToAgent(incarnation string, f *wire.Frame) {
	if l := e.agents[incarnation]; l != nil {
		l.Send(f)
	}
}

func (e *Entry) deliverAnswer(a place.Answer) {
	level := slog.LevelInfo
	if a.Verdict == place.VerdictSucceeded {
		level = dlog.LevelOrdinary
	}
	j := a.Job
	took := e.clock.Now() - j.ArrivedAt
	e.metrics.recordAnswer(a, took)
	e.log.Log(context.Background(), level, "job answered", "job", string(j.Spec.ID), "request", e.requestIDs[j.Spec.ID],
		"verdict", a.Verdict.String(), "reason", string(a.Reason), "queue", j.Queue.Name, "version", j.TermsVersion,
		"took_ms", int64(took), "first_sent_ms", sinceArrival(j, j.FirstSentAt), "last_sent_ms", sinceArrival(j, j.LastSentAt),
		"tasks", len(j.Tasks), "objective_ms", int64(j.Objective), "work_ms", int64(j.PredictedWorkMS),
		"patience_ms", int64(j.QueueDeadline-j.ArrivedAt), "retry_after_ms", int64(a.RetryAfter), "waiting", a.View.JobsToPlace,
		"workers", a.View.Workers, "open", a.View.WorkersWithFreeCPU, "fit", a.View.WorkersThatFit, "free_milli_cpu", a.View.FreeMilliCPU, "oldest_report_ms", int64(a.View.OldestReportMS))
	e.answers.add(j.Spec.ID, rememberedAnswer{at: e.clock.Now(), verdict: a.Verdict.String(), request: e.requestIDs[j.Spec.ID]})
	e.replyTo(j.Spec.ID, Reply{Verdict: a.Verdict, Reason: a.Reason, TermsVersion: j.TermsVersion, RetryAfter: a.RetryAfter})
}

// sinceArrival returns the milliseconds from a job's arrival to at, or -1 if the job has
// not started.
func sinceArrival(j *place.Job, at clock.Millis) int64 {
	if !j.Started {
		return -1
	}
	return int64(at - j.ArrivedAt)
}

// replyTo answers all callers of a job. It never blocks, since each reply channel has
// a buffer of one and receives one answer.
func (e *Entry) replyTo(id jobs.ID, r Reply) {
	for _, w := range e.waiters[id] {
		w.reply <- r
	}
	delete(e.waiters, id)
	delete(e.requestIDs, id)
}
