// Package runner implements the agent of a worker that runs sized tasks under leases.
// The agent is the only caller of its worker. One goroutine owns the supervisor and all
// other state; the goroutines of the links and of each worker call exchange messages
// with it.
package runner

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/guard"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/offer"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// Worker is the worker beside the agent. Each call names the worker that it is meant for,
// since the process may have been replaced meanwhile.
type Worker interface {
	// Start requests a run under a lease that ends at leaseUntil on the worker's clock. It
	// is idempotent. It returns the outcome and the time on the worker's clock, which is
	// zero without an answer.
	Start(ctx context.Context, w runs.Worker, r runs.Run, leaseUntil clock.Millis) (runs.StartOutcome, clock.Millis)
	// Stop requests the end of a run.
	Stop(ctx context.Context, w runs.Worker, ref jobs.TaskRef, number int64) error
	// Poll renews all leases until leaseUntil on the worker's clock, unless that is zero, and
	// acknowledges the ended runs up to w.AckedEnd, which the worker then drops.
	// It returns the running and the ended runs, after waiting up to wait for a run to end, and
	// an error that wraps ErrFenced if the worker has seen a higher fencing token, or
	// ErrMisdirected if the worker at the address has another id than w.
	Poll(ctx context.Context, w runs.Worker, leaseUntil, wait clock.Millis) (runs.PollResult, error)
}

// ErrFenced is the error of a call that a worker refused for its fencing token.
var ErrFenced = errors.New("the worker has seen a higher fencing token")

// ErrMisdirected is the error of a call that was refused because it names another worker than
// the one at the address.
var ErrMisdirected = errors.New("another worker is at the address")

// Clock returns the current time.
type Clock interface {
	Now() clock.Millis
}

// Announcement is a worker's description of itself, or its deregistration. Anybody may have
// sent it; see runs.Announcement.
type Announcement struct {
	Worker runs.Worker
	// Sequence increases with each announcement of a worker in one epoch.
	Sequence int64
	// ClockMS is the time on the worker's clock.
	ClockMS clock.Millis
	// Gone is set when the worker deregisters. Of Worker only the identity is then valid, whose
	// epoch is zero if the deregistration names none.
	Gone bool
	// Handled is closed once the agent has applied the announcement; only then may the
	// announcement be acknowledged to the worker.
	Handled chan<- struct{}
}

// EntryDirectory is the list of entries in the platform's store.
type EntryDirectory interface {
	// Entries returns the records of the entries.
	Entries(ctx context.Context) ([]roster.Record, error)
}

// Settings of an agent for sized tasks.
type Settings struct {
	Self host.Host
	// Seeds are link addresses of entries, dialed if no entry could be linked.
	Seeds []string
	TLS   *tls.Config
	// LeaseMS is the longest lease that the worker grants.
	LeaseMS clock.Millis
	// ResendMS is how long callers wait before they resubmit a job whose entry is gone.
	ResendMS clock.Millis
	// DrainMS is the time limit of a graceful shutdown.
	DrainMS clock.Millis
}

// Intervals and limits of an agent.
const (
	// KeepaliveMS is the longest time without a frame to an entry, and LinkTimeoutMS the time
	// after which a link that receives nothing is closed. Neither bounds how long the runs of an
	// entry that is gone go on: the echoes of the entry do (runs.Supervisor.GrantLease).
	KeepaliveMS   clock.Millis = 200
	LinkTimeoutMS clock.Millis = 650

	// MaxLinks is the number of entries that an agent links to. It is enough to spread uneven
	// load of the entries over all workers; each link costs processor time on both ends.
	MaxLinks = 6
	// selectIntervalMS is the interval at which the dialed entries are reviewed.
	selectIntervalMS clock.Millis = 250

	// busyInterval is the tick interval while work is due soon, idleInterval otherwise. Ticks
	// for a report that is due are at least minTickMS apart.
	busyInterval              = 20 * time.Millisecond
	idleInterval              = 100 * time.Millisecond
	minTickMS    clock.Millis = 1
	inboxSize                 = 256
	// pauseLimitMS is the longest pause of this process that its peers cannot have noticed.
	pauseLimitMS clock.Millis = 300
	// pollWaitMS and idlePollWaitMS are how long a poll waits for a run to end, with and
	// without runs at the worker. A worker may leave any call unanswered, and an ended run
	// is not seen until the next poll. While calls go unanswered or a run is to be
	// stopped, polls wait for cautiousPollWaitMS only.
	pollWaitMS         clock.Millis = 100
	cautiousPollWaitMS clock.Millis = 20
	idlePollWaitMS     clock.Millis = 250
	// minCallTimeoutMS is the timeout of a call on the local host. It doubles with each
	// consecutive unanswered call, up to maxCallTimeoutMS: a lost call is repeated soon,
	// and a slow worker still gets enough time.
	minCallTimeoutMS clock.Millis = 20
	maxCallTimeoutMS clock.Millis = 100
	// unlinkedQueryMS is the interval at which the store is queried for entries while there
	// is no link, linkedQueryMS the interval otherwise.
	unlinkedQueryMS clock.Millis = 1000
	linkedQueryMS   clock.Millis = 20_000
	// capacityReportUS times the cube of the number of links, in microseconds, is the interval
	// of capacity reports to entries that had no part in the change. With more links, each
	// entry sees more workers and needs less of each, and an agent sends fewer frames in all.
	capacityReportUS = 1333
)

// Agent is the agent of one worker.
type Agent struct {
	settings   Settings
	clock      Clock
	log        *slog.Logger
	worker     Worker
	directory  EntryDirectory
	supervisor *runs.Supervisor
	// book decides which entry is offered free capacity.
	book          *offer.Book
	offerCounts   offerCounts
	node          *link.Node
	pauseDetector *clock.PauseDetector

	announcements  chan Announcement
	startResults   chan startResult
	pollResults    chan pollResult
	stopResults    chan stopResult
	entryLists     chan entryList
	gaugeQueries   chan chan<- Gauges
	drainRequested chan struct{}
	metrics        *Metrics

	// links is keyed by the incarnation of the entry.
	links     map[string]*entryLink
	selector  *roster.Selector
	startedAt clock.Millis
	// selectedAt is when the selector last selected the entries to dial.
	selectedAt clock.Millis
	listing    *roster.Listing
	// activeCalls counts the worker and store calls in flight.
	activeCalls int
	// polling is set while a poll is in flight.
	polling bool
	// nextPollAt is the earliest time of the next poll, polledAt when the last one was sent.
	nextPollAt clock.Millis
	polledAt   clock.Millis
	// misdirected is set while the last poll that named the present worker was refused because
	// another one is at the address.
	misdirected bool
	// clockOffset is the worker's clock minus the agent's.
	clockOffset      clock.Millis
	clockOffsetKnown bool
	// renewedUntil is the end of the leases that the last poll requested, on the agent's clock.
	renewedUntil clock.Millis
	// capacityReportedAt is when the capacity was last reported to all linked entries.
	capacityReportedAt clock.Millis
	entriesQueriedAt   clock.Millis
	queryingEntries    bool
	// tickAt is when the next tick is due.
	tickAt clock.Millis
	// drainDeadline is when a draining agent ends at the latest; zero while it does not drain.
	drainDeadline clock.Millis
	loggedState   workerState
	// drains is the newest set of drained zones that an entry has sent.
	drains       zone.Drains
	recordWriter *recordWriter
	// refutedCount is the number of refuted announcements since the last log line on them, at
	// refutedLoggedAt.
	refutedCount    int
	refutedLoggedAt clock.Millis
}

// resendFraction times Settings.ResendMS is how long after the last contact with an entry the
// leases of its runs end. The rest of ResendMS allows for a worker clock that runs a few percent
// slow.
const resendFraction = 0.93

// New returns an agent.
func New(s Settings, c Clock, worker Worker, directory EntryDirectory, workerStore WorkerStore, log *slog.Logger) *Agent {
	contactLeaseMS := clock.Millis(resendFraction * float64(s.ResendMS))
	// With longer leases runs could only be started right after a contact with their entry.
	s.LeaseMS = min(s.LeaseMS, contactLeaseMS-runs.MaxStartContactMS)
	a := &Agent{
		settings:       s,
		clock:          c,
		log:            log,
		worker:         worker,
		directory:      directory,
		supervisor:     runs.New(contactLeaseMS),
		book:           offer.NewBook(),
		pauseDetector:  clock.NewPauseDetector(pauseLimitMS, clock.FromDuration(idleInterval)),
		announcements:  make(chan Announcement, inboxSize),
		startResults:   make(chan startResult, inboxSize),
		pollResults:    make(chan pollResult, 1),
		stopResults:    make(chan stopResult, inboxSize),
		entryLists:     make(chan entryList, 1),
		gaugeQueries:   make(chan chan<- Gauges),
		metrics:        newMetrics(),
		drainRequested: make(chan struct{}, 1),
		links:          map[string]*entryLink{},
		selector:       roster.NewSelector(s.Self.Name, s.Seeds, MaxLinks, MaxLinks, c.Now()),
		listing:        roster.NewListing(),
		startedAt:      c.Now(),
		recordWriter:   newRecordWriter(workerStore),
	}
	a.node = link.New(link.Settings{Self: s.Self, TLS: s.TLS, IdleTimeout: LinkTimeoutMS}, log)
	return a
}

// Announce passes a worker's announcement to the agent.
func (a *Agent) Announce(ctx context.Context, m Announcement) {
	select {
	case a.announcements <- m:
	case <-ctx.Done():
	}
}

// Drain starts a graceful shutdown: the agent accepts no more runs, waits up to
// Settings.DrainMS for those at the worker, and ends.
func (a *Agent) Drain() {
	select {
	case a.drainRequested <- struct{}{}:
	default:
	}
}

// Run serves until the agent has drained. It stops at once when ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go a.node.Run(ctx, done)
	a.entriesQueriedAt = a.clock.Now() - linkedQueryMS // the first tick queries the store
	a.loadWorkerRecord(ctx)
	err := a.loop(ctx)
	cancel()
	a.awaitGoroutines(done)
	return err
}

// awaitGoroutines waits for every goroutine that the agent started. It keeps receiving
// their messages, so that none of them blocks.
func (a *Agent) awaitGoroutines(done <-chan error) {
	for goroutines := 1; goroutines > 0 || a.activeCalls > 0; {
		select {
		case <-done:
			goroutines--
		case <-a.node.Events():
		case <-a.startResults:
			a.activeCalls--
		case <-a.pollResults:
			a.activeCalls--
		case <-a.stopResults:
			a.activeCalls--
		case <-a.entryLists:
			a.activeCalls--
		case <-a.recordWriter.loaded:
			a.activeCalls--
		case <-a.recordWriter.saveDone:
			a.activeCalls--
		}
	}
}

func (a *Agent) loop(ctx context.Context) error {
	t := time.NewTimer(busyInterval)
	defer t.Stop()
	a.tickAt = a.clock.Now() + clock.FromDuration(busyInterval)
	for {
		var source *link.Link
		var handle func()
		ticked := false
		select {
		case e := <-a.node.Events():
			source, handle = e.Link, func() { a.onLinkEvent(e) }
		case m := <-a.announcements:
			handle = func() { a.onAnnouncement(ctx, m) }
		case r := <-a.startResults:
			handle = func() { a.onStartResult(r) }
		case r := <-a.pollResults:
			handle = func() { a.onPollResult(ctx, r) }
		case r := <-a.stopResults:
			handle = func() { a.onStopResult(r) }
		case list := <-a.entryLists:
			handle = func() { a.onEntryList(list) }
		case w := <-a.recordWriter.loaded:
			handle = func() { a.onWorkerRecordLoaded(w) }
		case err := <-a.recordWriter.saveDone:
			handle = func() { a.onWorkerRecordSaved(err) }
		case <-t.C:
			ticked, handle = true, func() { a.onTick(ctx) }
		case q := <-a.gaugeQueries:
			handle = func() { q <- a.gauges() }
		case <-a.drainRequested:
			handle = func() { a.startDrain() }
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "run agent")
		}
		a.checkPause()
		a.handleGuarded(ctx, source, handle)
		now := a.clock.Now()
		if due := a.tickDue(now); ticked || due < a.tickAt {
			a.tickAt = due
			t.Reset((due - now).Duration())
		}
		if a.drainDeadline > 0 && (a.supervisor.Held() == 0 || a.clock.Now() >= a.drainDeadline) {
			return a.closeLinks()
		}
	}
}

// handleGuarded handles one message and performs the resulting actions. If that panics, the
// state of the runs may be inconsistent: all links are closed and all runs stopped, as after
// a pause. If that fails as well, the process ends; its next incarnation takes over the
// worker from its record, and leases that nobody renews end the runs.
func (a *Agent) handleGuarded(ctx context.Context, source *link.Link, handle func()) {
	err := guard.Run("handle message", func() {
		handle()
		a.performActions(ctx)
		a.poll(ctx)
	})
	if err == nil {
		return
	}
	a.metrics.recordPanic()
	a.log.Error("unexpected error; stopping all runs", "error", err.Error(), "held", a.supervisor.Held())
	if source != nil {
		source.Close("unexpected error")
	}
	a.stopAll("unexpected error")
	a.performActions(ctx)
	a.poll(ctx)
}

// checkPause closes all links and stops all runs if this process was paused for so long that
// the entries count its runs as lost: the machine was suspended, or the process was not
// scheduled. Frames still in the sockets' buffers are stale.
func (a *Agent) checkPause() {
	paused := a.pauseDetector.Paused()
	if paused == 0 {
		return
	}
	a.log.Warn("process was paused; stopping all runs", "paused_ms", int64(paused))
	a.supervisor.AgeContacts(paused)
	a.stopAll("suspended")
}

// stopAll closes all links and stops all runs.
func (a *Agent) stopAll(reason string) {
	now := a.clock.Now()
	for entry := range a.links {
		a.abandonLink(entry, reason, now)
	}
	a.supervisor.StopAll(now)
}

// closeSilentLinks closes the links of the entries that nothing proves to be alive, and stops
// their runs. The link itself may be up: its timeout counts from the processing of a packet and
// grows with the round-trip time.
func (a *Agent) closeSilentLinks(now clock.Millis) {
	for entry := range a.supervisor.SilentEntries(now) {
		a.log.Warn("entry silent; its runs are stopped", "incarnation", entry, "linked", a.links[entry] != nil,
			"contact_ms", a.contactAge(entry))
		if a.links[entry] != nil {
			a.abandonLink(entry, "silent", now)
		}
		a.supervisor.StopRunsOf(entry, now)
	}
}

// abandonLink closes the link to an entry. Its grace period counts as over.
func (a *Agent) abandonLink(entry, reason string, now clock.Millis) {
	a.links[entry].link.Close(reason)
	delete(a.links, entry)
	a.supervisor.EntryDisconnected(entry, now-runs.DisconnectGraceMS)
}

// tickDue returns when the next tick is due at the latest.
func (a *Agent) tickDue(now clock.Millis) clock.Millis {
	due := now + clock.FromDuration(idleInterval)
	if a.supervisor.NeedsFrequentTicks() || a.drainDeadline > 0 || a.supervisor.Unreachable {
		due = now + clock.FromDuration(busyInterval)
	}
	due = max(a.nextKeepalive(now, a.supervisor.NextContactDue(a.book.Due(due))), now+minTickMS)
	if a.supervisor.Changed {
		due = min(due, max(a.capacityReportedAt+a.reportInterval(), now+minTickMS))
	}
	return due
}

func (a *Agent) startDrain() {
	a.drainDeadline = a.clock.Now() + a.settings.DrainMS
	a.supervisor.StopAccepting(a.clock.Now())
	a.reportCapacity()
	a.log.Info("draining", "held", a.supervisor.Held())
}

// closeLinks shuts down the links once all reports of ended runs have reached the entries.
// It returns after linkCloseTimeout at the latest.
func (a *Agent) closeLinks() error {
	a.log.Info("drained", "held", a.supervisor.Held())
	for _, l := range a.links {
		l.link.Shutdown()
	}
	timeout := time.NewTimer(linkCloseTimeout)
	defer timeout.Stop()
	for len(a.links) > 0 {
		select {
		case e := <-a.node.Events():
			if e.Type == link.Down {
				a.onLinkDown(e)
			}
		case <-timeout.C:
			return nil
		}
	}
	return nil
}

// linkCloseTimeout bounds the wait in closeLinks until all links are down.
const linkCloseTimeout = 300 * time.Millisecond

func (a *Agent) onTick(ctx context.Context) {
	now := a.clock.Now()
	a.closeSilentLinks(now)
	a.supervisor.Tick(now)
	a.logWorker(now)
	a.sendKeepalives()
	a.queryEntries(ctx, now)
	a.saveWorkerRecord(ctx)
	a.recordWriter.releaseOverdue(now)
	if now-a.selectedAt >= selectIntervalMS {
		a.updateDials(now)
	}
}

// logWorker logs the worker's state if it has changed.
func (a *Agent) logWorker(now clock.Millis) {
	onProbation, ejected := a.supervisor.Probation(now)
	state := workerState{onProbation: onProbation, ejected: ejected, stalled: a.supervisor.Stalled()}
	if state == a.loggedState {
		return
	}
	a.loggedState = state
	a.log.Info("worker judged", "worker", a.supervisor.Worker.ID, "on_trial", onProbation, "takes_none", ejected,
		"stalled", state.stalled, "failed_jobs", a.supervisor.FailedJobs, "speed", a.supervisor.Speed, "held", a.supervisor.Held())
}

// workerState is the part of the worker's state whose changes are logged.
type workerState struct {
	// onProbation is set during an ejection as well.
	onProbation bool
	ejected     bool
	stalled     bool
}

// onAnnouncement handles an announcement. That a worker drains is acknowledged once it is recorded,
// so that the next process of this agent does not use the worker again, or once the worker's
// answer has refuted the announcement.
func (a *Agent) onAnnouncement(ctx context.Context, m Announcement) {
	now := a.clock.Now()
	handled := true
	defer func() {
		if handled {
			close(m.Handled)
		}
	}()
	before := a.presentWorker()
	switch {
	case m.Gone:
		if !a.supervisor.Deregister(m.Worker.Identity(), now) {
			return // the deregistration of an earlier worker arrived late, or another one sent it
		}
		a.log.Info("worker left", "worker", m.Worker.ID)
		a.reportCapacity()
	case !a.announce(m, now):
		return
	}
	a.logWorkerChange(before)
	if m.Worker.Draining && !a.isRecorded() {
		a.recordWriter.awaitSave(m.Handled, now)
		a.saveWorkerRecord(ctx)
		handled = false
	}
}

// announce passes an announcement to the supervisor, and reports whether it may change anything. A
// pending one is settled by the answer to the next poll.
func (a *Agent) announce(m Announcement, now clock.Millis) bool {
	wasKnown := a.supervisor.Worker != nil
	switch a.supervisor.Announce(runs.Announcement{Worker: m.Worker, Sequence: m.Sequence, ClockMS: m.ClockMS}, now) {
	case runs.Ignored:
		return false
	case runs.Pending:
		a.nextPollAt = min(a.nextPollAt, max(now, a.polledAt+cautiousPollWaitMS))
		if a.misdirected {
			a.nextPollAt = now
		}
	case runs.Applied:
		if !wasKnown {
			a.clockOffsetKnown = false
			a.nextPollAt = now
		}
		a.reportCapacity()
	}
	return true
}

// presentWorker returns the present worker, or the zero value without one.
func (a *Agent) presentWorker() runs.Worker {
	if a.supervisor.Worker == nil {
		return runs.Worker{}
	}
	return *a.supervisor.Worker
}

// logWorkerChange logs what has changed of the worker since before.
func (a *Agent) logWorkerChange(before runs.Worker) {
	w := a.presentWorker()
	switch {
	case w.Identity() == before.Identity():
	case a.supervisor.IsAnnounced():
		a.log.Info("worker up", "worker", w.ID, "life", w.Epoch, "fleet", w.Fleet, "milli_cpu", w.Capacity.MilliCPU,
			"confirmed", a.supervisor.Confirmed())
	case w.ID != "":
		a.log.Info("a poll shows a new life of the worker", "worker", w.ID, "life", w.Epoch, "earlier_worker", before.ID,
			"earlier", before.Epoch, "held", a.supervisor.Held())
	}
	if w.Described && !before.Described && w.Identity() == before.Identity() {
		a.log.Info("worker described", "worker", w.ID, "life", w.Epoch, "fleet", w.Fleet, "labels", w.Labels,
			"milli_cpu", w.Capacity.MilliCPU, "revision", w.Revision)
	}
	if w.Draining && !before.Draining {
		a.log.Info("worker draining", "worker", w.ID, "held", a.supervisor.Held())
	}
}
