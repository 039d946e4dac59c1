// Package room decides for one worker: which of the tasks that entries asked for
// start, which are stopped, and what is known of each. It does no I/O and reads no
// clock. Load pattern: several entries see the same free room and all send to it;
// what does not fit waits here for some milliseconds in order of rank.
package runs

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Supervisor is the state of one worker as its agent knows it.
type Supervisor struct {
	// Worker is nil before the worker announced itself.
	Worker *Worker
	// Speed is the work done a second against the callers' estimates, above zero.
	Speed float64
	// Closed is set while the agent itself takes nothing new.
	Closed bool
	// FailedJobs counts jobs in a row that failed here without a success between.
	FailedJobs int
	// EjectedUntil is when a worker that failed is tried again; zero for a good one.
	EjectedUntil clock.Millis
	// Unreachable is set while looks at the worker fail.
	Unreachable bool
	// Changed is set when the room has changed since entries were told.
	Changed bool
	// NotifyNow is set when entries must be told at once: whether the worker takes work
	// at all has changed.
	NotifyNow bool

	runs    map[key]*Run
	used    jobs.Size
	actions []Action
	// restored is set while the worker is known from a record only.
	restored bool
	// found holds what an earlier process started, until claimUntil.
	found      map[RunID]foundRun
	claimUntil clock.Millis
	recent     []recentEnd
	orphans    map[string]clock.Millis
	lastFail   jobs.ID
	backoff    clock.Millis
	endedAt    clock.Millis
	misses     int
	// missedAt is when the first of the failed looks in a row was noticed.
	missedAt clock.Millis
	renewed  clock.Millis
	lookedAt clock.Millis
	// quick is the quick mean of the speed's logarithm.
	quick   float64
	stalled bool
}

// recentEnd is an end that its entry may not have got.
type recentEnd struct {
	entry string
	end   RunEnd
	at    clock.Millis
}

// Bounds of an agent's decisions.
const (
	// maxQueuedMS is how long a run waits here before its entry may try elsewhere.
	maxQueuedMS clock.Millis = 60
	// StartLeaseMS is the lease of a start that got no answer; later looks extend it.
	StartLeaseMS clock.Millis = 600
	// recentMS is how long ends are repeated to an entry whose link was replaced.
	recentMS clock.Millis = 5000
	// maxUnanswered is the number of starts without an answer after which the run is
	// given back: a worker that is well answers one of them.
	maxUnanswered = 3
	// stopAgainMS is the interval at which an unconfirmed stop is repeated.
	stopAgainMS clock.Millis = 60
	// missingMS is how long looks may lack a run before it counts as lost.
	missingMS clock.Millis = 1500
	// DisconnectGraceMS is how long runs go on for an entry that was not heard of; with the
	// silence after which a link ends it stays below the time after which callers
	// submit a job again.
	DisconnectGraceMS clock.Millis = 50

	// jobsToTrial is the number of failed jobs in a row that put a worker on trial.
	jobsToTrial  = 3
	firstTrialMS = clock.Millis(1000)
	maxTrialMS   = clock.Millis(8000)

	// speedGain is the weight of a new figure in the running mean of the speed.
	speedGain = 0.06
	// quickGain is that of a second mean, which takes over when the two differ by
	// speedStep, a factor given as its logarithm: the worker has changed.
	quickGain = 0.25
	speedStep = 0.5
	minSpeed  = 0.02
	maxSpeed  = 20.0
	// overdueFactor times the expected time, plus overdueMS, makes a run overdue.
	overdueFactor              = 1.5
	overdueMS     clock.Millis = 30
	// overdueJobs and quietMS: with runs of so many jobs overdue, half of all runs,
	// and no end for so long a worker's tasks stand still. One job alone may take
	// longer than its caller thinks.
	overdueJobs              = 3
	quietMS     clock.Millis = 150
	// looksToRenew failed looks in a row, over silentMS at least, show a worker out of
	// reach: its leases are no longer renewed, so that it is known when they lapse.
	looksToRenew              = 4
	silentMS     clock.Millis = 500
	// clockDrift is how much slower the worker's clock may run.
	clockDrift = 1.03
	lapseMS    = clock.Millis(100)
)

// New returns the room of a worker that has not announced itself.
func New() *Supervisor {
	return &Supervisor{Speed: 1, runs: map[key]*Run{}, found: map[RunID]foundRun{}, orphans: map[string]clock.Millis{}, backoff: firstTrialMS}
}

// TakeActions returns what has to be done and forgets it.
func (r *Supervisor) TakeActions() []Action {
	a := r.actions
	r.actions = nil
	return a
}

// Announce takes what the worker said of itself.
func (r *Supervisor) Announce(w Worker, now clock.Millis) {
	old := r.Worker
	r.Worker = &w
	if r.restored {
		// Its look, under way, tells what an earlier process left.
		r.restored = old.Epoch == w.Epoch
	}
	if old != nil && old.Epoch != w.Epoch {
		r.newLife(now)
	}
	if old == nil || old.Epoch != w.Epoch || old.Draining != w.Draining || old.Capacity != w.Capacity || old.Fleet != w.Fleet {
		r.NotifyNow = true
	}
	if w.Draining {
		r.dropQueued(now)
	}
	r.pump(now)
}

// newLife ends all that an earlier life of the worker ran.
func (r *Supervisor) newLife(now clock.Millis) {
	for _, run := range r.sorted() {
		if run.Status != Queued {
			r.end(run, jobs.OutcomeLost, 0, false, now)
		}
	}
	r.Speed, r.quick = 1, 0
	r.goodAgain()
}

// Close refuses what is new and returns what waits.
func (r *Supervisor) Close(now clock.Millis) {
	r.Closed = true
	r.NotifyNow = true
	r.dropQueued(now)
}

func (r *Supervisor) dropQueued(now clock.Millis) {
	for _, run := range r.sorted() {
		if run.Status == Queued {
			r.end(run, jobs.OutcomeNotRun, 0, false, now)
		}
	}
}

// Launch takes runs from an entry.
func (r *Supervisor) Launch(runs []Run, now clock.Millis) {
	for i := range runs {
		run := runs[i]
		if r.claim(run, now) {
			continue
		}
		run.Status = Queued
		run.QueuedAt = now
		k := key{run.Ref, run.Entry}
		if r.runs[k] != nil {
			continue // sent twice
		}
		r.runs[k] = &run
		r.used = r.used.Plus(run.Size)
		if r.NotAccepting() {
			r.end(&run, jobs.OutcomeNotRun, 0, false, now)
			continue
		}
		r.replaceOlder(run, now)
	}
	r.Changed = true
	r.pump(now)
}

// NotAccepting reports whether the worker takes no runs now.
func (r *Supervisor) NotAccepting() bool {
	return r.Closed || r.Worker == nil || r.restored || r.Worker.Draining || r.Unreachable || r.AwaitingClaims()
}

// replaceOlder stops runs of the same task for other entries: the caller submitted
// its job again, and nobody waits for the earlier run.
func (r *Supervisor) replaceOlder(run Run, now clock.Millis) {
	for k, o := range r.runs {
		if k.name == run.Ref && k.entry != run.Entry {
			r.stop(o, now)
		}
	}
}

// StopTasks stops runs of an entry's job: those named, or all.
func (r *Supervisor) StopTasks(entry string, job jobs.ID, tasks []jobs.TaskID, now clock.Millis) {
	for _, run := range r.sorted() {
		if run.Entry == entry && run.Ref.Job == job && named(tasks, run.Ref.Task) {
			r.stop(run, now)
		}
	}
	r.pump(now)
}

func named(tasks []jobs.TaskID, t jobs.TaskID) bool {
	for _, o := range tasks {
		if o == t {
			return true
		}
	}
	return len(tasks) == 0
}

func (r *Supervisor) stop(run *Run, now clock.Millis) {
	if run.Status == Queued {
		r.end(run, jobs.OutcomeNotRun, 0, false, now)
		return
	}
	if run.Stopping {
		return
	}
	run.Stopping = true
	if run.Status == Starting {
		return // sent once the start is answered
	}
	r.sendStop(run, now)
}

func (r *Supervisor) sendStop(run *Run, now clock.Millis) {
	run.StopSentAt = now
	r.actions = append(r.actions, Stop{Run: *run})
}

// EntryDisconnected notes that the link to an entry has ended.
func (r *Supervisor) EntryDisconnected(entry string, now clock.Millis) {
	if _, known := r.orphans[entry]; !known {
		r.orphans[entry] = now
	}
}

// EntryConnected notes a new link to an entry and returns all that the agent holds for it
// and the ends that it may have missed.
func (r *Supervisor) EntryConnected(entry string) ([]Run, []RunEnd) {
	delete(r.orphans, entry)
	var held []Run
	for _, run := range r.sorted() {
		if run.Entry == entry {
			held = append(held, *run)
		}
	}
	var ends []RunEnd
	for _, e := range r.recent {
		if e.entry == entry {
			ends = append(ends, e.end)
		}
	}
	return held, ends
}

// StopAll stops everything, after the process stood still for so long that others
// may have given its work up.
func (r *Supervisor) StopAll(now clock.Millis) {
	for _, run := range r.sorted() {
		r.stop(run, now)
	}
}

// Free returns the room beyond all runs that the agent holds.
func (r *Supervisor) Free() jobs.Size {
	if r.Worker == nil {
		return jobs.Size{}
	}
	return r.Worker.Capacity.Minus(r.used)
}

// Held returns the number of runs that the agent holds.
func (r *Supervisor) Held() int {
	return len(r.runs)
}

// RunsAtWorker returns the number of runs that the worker may have.
func (r *Supervisor) RunsAtWorker() int {
	n := 0
	for _, run := range r.runs {
		if run.Status != Queued {
			n++
		}
	}
	return n
}

// EntriesWithRuns returns the entries whose runs the worker may have.
func (r *Supervisor) EntriesWithRuns() map[string]bool {
	out := map[string]bool{}
	for _, run := range r.runs {
		if run.Status != Queued {
			out[run.Entry] = true
		}
	}
	return out
}

// Pending reports whether something is due within milliseconds: runs that wait for
// room or for the confirmation of a stop, and entries that were lost.
func (r *Supervisor) Pending() bool {
	if len(r.orphans) > 0 || r.claimUntil > 0 || r.restored {
		return true
	}
	for _, run := range r.runs {
		if run.Status == Queued || run.Stopping {
			return true
		}
	}
	return false
}

// Tick does what is due.
func (r *Supervisor) Tick(now clock.Millis) {
	for entry, since := range r.orphans {
		if now-since >= DisconnectGraceMS {
			r.stopFor(entry, now)
			delete(r.orphans, entry)
		}
	}
	for _, run := range r.sorted() {
		if run.Status == Queued && now-run.QueuedAt > maxQueuedMS {
			r.end(run, jobs.OutcomeNotRun, 0, false, now)
		}
		if run.Stopping && run.Status > Starting && now-run.StopSentAt >= stopAgainMS {
			r.sendStop(run, now)
		}
	}
	for len(r.recent) > 0 && now-r.recent[0].at > recentMS {
		r.recent = r.recent[1:]
	}
	if r.EjectedUntil > 0 && now >= r.EjectedUntil {
		r.Changed = true
	}
	r.endClaims(now)
	r.checkStalled(now)
	r.pump(now)
}

func (r *Supervisor) stopFor(entry string, now clock.Millis) {
	for _, run := range r.sorted() {
		if run.Entry == entry {
			r.stop(run, now)
		}
	}
}

// end forgets a run and tells its entry.
func (r *Supervisor) end(run *Run, how jobs.Outcome, ran clock.Millis, fault bool, now clock.Millis) {
	k := key{run.Ref, run.Entry}
	delete(r.runs, k)
	r.used = r.used.Minus(run.Size)
	r.Changed = true
	e := RunEnd{Ref: run.Ref, Number: run.Number, Outcome: how, RanMS: ran, WorkerFault: fault}
	r.recent = append(r.recent, recentEnd{entry: run.Entry, end: e, at: now})
	r.actions = append(r.actions, Report{Entry: run.Entry, End: e})
}

// pump starts what fits, in order of rank.
func (r *Supervisor) pump(now clock.Millis) {
	if r.NotAccepting() {
		return
	}
	free := r.Worker.Capacity
	var waiting []*Run
	for _, run := range r.runs {
		if run.Status == Queued {
			waiting = append(waiting, run)
		} else {
			free = free.Minus(run.Size)
		}
	}
	sort.Slice(waiting, func(i, j int) bool { return before(waiting[i], waiting[j]) })
	for _, run := range waiting {
		if !run.Size.FitsIn(free) {
			return
		}
		if r.heldElsewhere(run) {
			continue
		}
		free = free.Minus(run.Size)
		run.Status = Starting
		run.StartedAt = now
		r.actions = append(r.actions, Start{Run: *run})
	}
}

// heldElsewhere reports whether an earlier run of the task is still at the worker.
func (r *Supervisor) heldElsewhere(run *Run) bool {
	for k, o := range r.runs {
		if k.name == run.Ref && o != run && o.Status != Queued {
			return true
		}
	}
	return false
}

// StartSent notes the lease that a start was sent with, on the worker's clock.
func (r *Supervisor) StartSent(name jobs.TaskRef, entry string, leaseUntil clock.Millis) {
	if run := r.runs[key{name, entry}]; run != nil {
		run.LeaseUntil = leaseUntil
	}
}

func before(a, b *Run) bool {
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	if a.Ref != b.Ref {
		return nameBefore(a.Ref, b.Ref)
	}
	return a.Entry < b.Entry
}

func nameBefore(a, b jobs.TaskRef) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	if a.Task.Step != b.Task.Step {
		return a.Task.Step < b.Task.Step
	}
	return a.Task.Index < b.Task.Index
}

// sorted returns all runs in a fixed order, so that a replay gives the same result.
func (r *Supervisor) sorted() []*Run {
	runs := make([]*Run, 0, len(r.runs))
	for _, run := range r.runs {
		runs = append(runs, run)
	}
	sort.Slice(runs, func(i, j int) bool { return before(runs[i], runs[j]) })
	return runs
}
