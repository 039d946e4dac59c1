// Package runner is the process beside a worker that runs sized tasks under leases:
// the only caller of its worker. One task owns the room and all state; other tasks
// own the links and each call of the worker, and talk to it by messages.
package runner

import (
	"context"
	"crypto/tls"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// Worker is the back end beside the agent.
type Worker interface {
	// Start asks a worker, which may have been replaced meanwhile, for a run whose
	// lease ends at a time of the worker's clock. It is idempotent.
	Start(ctx context.Context, w runs.Worker, r runs.Run, leaseUntil clock.Millis) (runs.StartOutcome, clock.Millis)
	// Stop asks for the end of a run.
	Stop(ctx context.Context, w runs.Worker, name jobs.TaskRef, number int64) error
	// Poll renews the leases up to a time of the worker's clock, unless that is
	// zero, forgets the ends that were told before, and returns what runs and what
	// has ended; it waits for an end.
	Poll(ctx context.Context, w runs.Worker, leaseUntil, wait clock.Millis) (runs.PollResult, error)
}

// Clock tells the time.
type Clock interface {
	Now() clock.Millis
}

// Announcement is what the worker said of itself.
type Announcement struct {
	Worker runs.Worker
	// ClockMS is the worker's clock.
	ClockMS clock.Millis
	// Gone is set when the worker takes its leave.
	Gone bool
	// Handled is closed once the agent acts on it; only then it may be acknowledged.
	Handled chan<- struct{}
}

// Members lists the link addresses of entries.
type Members interface {
	Entries(ctx context.Context) ([]string, error)
}

// Settings of an agent for sized tasks.
type Settings struct {
	Self host.Host
	// Seeds are link addresses of entries to start from.
	Seeds []string
	TLS   *tls.Config
	// LeaseMS is the longest lease that the worker grants.
	LeaseMS clock.Millis
	// ResendMS is how long callers wait before they submit a job again whose entry
	// is gone.
	ResendMS clock.Millis
	// DrainMS bounds a graceful shutdown.
	DrainMS clock.Millis
}

// Timing of an agent.
const (
	// KeepaliveMS and SilenceMS bound how long a loss goes unnoticed. An agent whose entry
	// is gone must have stopped its runs before a caller submits its job again. Only
	// agents send pulses: the acknowledgement of the link's transport shows that the
	// entry lives.
	KeepaliveMS   clock.Millis = 250
	LinkTimeoutMS clock.Millis = 650

	// busyTick and idleTick pace what is due, while something waits and otherwise.
	busyTick  = 20 * time.Millisecond
	idleTick  = 100 * time.Millisecond
	inboxSize = 256
	// pauseLimitMS is the longest standstill that others can't have noticed.
	pauseLimitMS clock.Millis = 300
	// lookWaitMS and idleLookMS are how long a look waits for an end. Both are short: a
	// worker may leave any call unanswered, and no end is seen until the next one.
	lookWaitMS clock.Millis = 20
	idleLookMS clock.Millis = 250
	// callMS is how long a call on the worker's own host may take, doubled with each
	// one in a row that got no answer up to maxCallMS: what is lost is repeated soon,
	// and a slow worker is given its time.
	callMS    clock.Millis = 20
	maxCallMS clock.Millis = 100
	// membersAloneMS is how often the store is asked for entries while there is no
	// link, membersEveryMS otherwise.
	membersAloneMS clock.Millis = 1000
	membersEveryMS clock.Millis = 20_000
	// roomEveryMS, times the square of the number of links, paces reports of a changed
	// room to entries that had no part in the change, so that with more links an agent
	// sends fewer frames in all.
	roomEveryMS clock.Millis = 4
)

// Agent is one running agent for sized tasks.
type Agent struct {
	settings   Settings
	clock      Clock
	log        *slog.Logger
	worker     Worker
	members    Members
	supervisor *runs.Supervisor
	node       *link.Node
	pause      *clock.PauseWatch

	announced chan Announcement
	started   chan startResult
	looked    chan lookResult
	stopped   chan stopResult
	listed    chan []string
	queries   chan chan<- Gauges
	stop      chan struct{}
	metrics   *Metrics

	links map[string]*entryLink
	// heard is when each entry was last heard of; it outlives the link while runs of
	// the entry are held.
	heard     map[string]clock.Millis
	entries   *EntrySelector
	calls     int
	looking   bool
	lookAt    clock.Millis
	offset    clock.Millis
	offsetSet bool
	roomAt    clock.Millis
	askedAt   clock.Millis
	asking    bool
	drainBy   clock.Millis
	believed  workerState
	record    *recordKeeper
	// workerGone is set once the worker has taken its leave.
	workerGone bool
}

// New returns an agent.
func New(s Settings, c Clock, w Worker, m Members, r Records, log *slog.Logger) *Agent {
	a := &Agent{
		settings:   s,
		clock:      c,
		log:        log,
		worker:     w,
		members:    m,
		supervisor: runs.New(),
		pause:      clock.NewPauseWatch(pauseLimitMS, clock.FromDuration(idleTick)),
		announced:  make(chan Announcement, inboxSize),
		started:    make(chan startResult, inboxSize),
		looked:     make(chan lookResult, 1),
		stopped:    make(chan stopResult, inboxSize),
		listed:     make(chan []string, 1),
		queries:    make(chan chan<- Gauges),
		metrics:    newMetrics(),
		stop:       make(chan struct{}, 1),
		links:      map[string]*entryLink{},
		heard:      map[string]clock.Millis{},
		entries:    NewEntrySelector(s.Self.Name, s.Seeds, c.Now()),
		record:     newRecordKeeper(r),
	}
	a.node = link.New(link.Settings{Self: s.Self, TLS: s.TLS, IdleTimeout: LinkTimeoutMS}, log)
	return a
}

// Announce passes on what the worker said of itself.
func (a *Agent) Announce(ctx context.Context, m Announcement) {
	select {
	case a.announced <- m:
	case <-ctx.Done():
	}
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
	done := make(chan error, 1)
	go a.node.Run(ctx, done)
	a.askedAt = a.clock.Now() - membersEveryMS
	a.loadRecord(ctx)
	err := a.loop(ctx)
	cancel()
	a.unwind(done)
	return err
}

// unwind reads the ends of all tasks that the agent started.
func (a *Agent) unwind(done <-chan error) {
	for tasks := 1; tasks > 0 || a.calls > 0; {
		select {
		case <-done:
			tasks--
		case <-a.node.Events():
		case <-a.started:
			a.calls--
		case <-a.looked:
			a.calls--
		case <-a.stopped:
			a.calls--
		case <-a.listed:
			a.calls--
		case <-a.record.loaded:
			a.calls--
		case <-a.record.done:
			a.calls--
		}
	}
}

func (a *Agent) loop(ctx context.Context) error {
	t := time.NewTimer(busyTick)
	defer t.Stop()
	short := true
	for {
		select {
		case e := <-a.node.Events():
			a.afterPause()
			a.onLink(e)
		case m := <-a.announced:
			a.onAnnounced(m)
		case r := <-a.started:
			a.onStarted(r)
		case r := <-a.looked:
			a.onLooked(r)
		case r := <-a.stopped:
			a.onStopped(r)
		case list := <-a.listed:
			a.onListed(list)
		case w := <-a.record.loaded:
			a.onLoaded(w)
		case err := <-a.record.done:
			a.onSaved(err)
		case <-t.C:
			a.afterPause()
			a.onTick(ctx)
			short = a.busy()
			t.Reset(tickFor(short))
		case q := <-a.queries:
			q <- a.gauges()
		case <-a.stop:
			a.startDrain()
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "run agent")
		}
		a.carryOut(ctx)
		a.look(ctx)
		if !short && a.busy() {
			short = true
			t.Reset(busyTick)
		}
		if a.drainBy > 0 && (a.supervisor.Held() == 0 || a.clock.Now() >= a.drainBy) {
			return a.finish()
		}
	}
}

// afterPause gives all links up when the machine was suspended for so long that the
// entries count its work as lost: frames that wait in its sockets are stale.
func (a *Agent) afterPause() {
	paused := a.pause.Paused()
	if paused == 0 {
		return
	}
	a.log.Warn("machine was suspended; its work is given up", "paused_ms", int64(paused))
	now := a.clock.Now()
	for inc, e := range a.links {
		delete(a.links, inc)
		e.link.Close("suspended")
		a.supervisor.EntryDisconnected(inc, now-runs.DisconnectGraceMS)
	}
	a.supervisor.StopAll(now)
}

// busy reports whether something is due soon.
func (a *Agent) busy() bool {
	return a.supervisor.Pending() || a.supervisor.Changed || a.drainBy > 0 || a.supervisor.Unreachable
}

func tickFor(busy bool) time.Duration {
	if busy {
		return busyTick
	}
	return idleTick
}

func (a *Agent) startDrain() {
	a.drainBy = a.clock.Now() + a.settings.DrainMS
	a.supervisor.Close(a.clock.Now())
	a.tellRoom()
	a.log.Info("draining", "held", a.supervisor.Held())
}

// finish ends the links once all ends have reached the entries.
func (a *Agent) finish() error {
	a.log.Info("drained", "held", a.supervisor.Held())
	for _, e := range a.links {
		e.link.Shutdown()
	}
	limit := time.NewTimer(finishLimit)
	defer limit.Stop()
	for len(a.links) > 0 {
		select {
		case e := <-a.node.Events():
			if e.Type == link.Down {
				a.onDown(e)
			}
		case <-limit.C:
			return nil
		}
	}
	return nil
}

// finishLimit bounds the wait for entries to close their links.
const finishLimit = 300 * time.Millisecond

func (a *Agent) onTick(ctx context.Context) {
	now := a.clock.Now()
	a.supervisor.Tick(now)
	a.logWorker(now)
	a.pulse()
	a.askMembers(ctx, now)
	a.saveRecord(ctx)
	a.choose(now)
}

// logWorker logs changes of what is believed of the worker.
func (a *Agent) logWorker(now clock.Millis) {
	trial, none := a.supervisor.Probation(now)
	state := workerState{trial: trial, none: none, stalled: a.supervisor.Stalled()}
	if state == a.believed {
		return
	}
	a.believed = state
	a.log.Info("worker judged", "worker", a.supervisor.Worker.ID, "on_trial", trial, "takes_none", none,
		"stalled", state.stalled, "failed_jobs", a.supervisor.FailedJobs, "speed", a.supervisor.Speed, "held", a.supervisor.Held())
}

// workerState is what is believed of the worker.
type workerState struct {
	trial   bool
	none    bool
	stalled bool
}

func (a *Agent) onAnnounced(m Announcement) {
	now := a.clock.Now()
	a.workerGone = m.Gone
	if m.Gone {
		a.supervisor.Close(now)
		a.log.Info("worker left", "worker", m.Worker.ID)
	} else {
		a.takeWorker(m, now)
	}
	a.tellRoom()
	close(m.Handled)
}

func (a *Agent) takeWorker(m Announcement, now clock.Millis) {
	old := a.supervisor.Worker
	if old == nil || old.Epoch != m.Worker.Epoch {
		a.supervisor.Closed = a.drainBy > 0
		a.log.Info("worker up", "worker", m.Worker.ID, "life", m.Worker.Epoch, "fleet", m.Worker.Fleet,
			"milli_cpu", m.Worker.Capacity.MilliCPU)
		a.offset, a.offsetSet = m.ClockMS-now, true
	}
	if m.Worker.Draining && (old == nil || !old.Draining) {
		a.log.Info("worker draining", "worker", m.Worker.ID, "held", a.supervisor.Held())
	}
	a.supervisor.Announce(m.Worker, now)
}
