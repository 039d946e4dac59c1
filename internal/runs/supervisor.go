// Package runs supervises the task runs of one worker: it decides which requested runs
// start and stop, and tracks the state of each. It does no I/O and reads no clock.
//
// Several entries may see the same free capacity and all send runs for it. Runs that do
// not fit are queued here for some milliseconds, ordered by latest start time.
package runs

import (
	"maps"
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Supervisor holds an agent's state of its worker and of the worker's runs.
type Supervisor struct {
	// Worker is nil until the worker has announced itself or a record is restored.
	Worker *Worker
	// Speed is the ratio of the callers' estimates to the actual run times; above zero.
	Speed float64
	// StoppedAccepting is set while the agent drains.
	StoppedAccepting bool
	// Departed is set after the worker has deregistered, until an announcement or its answers
	// show that it is there.
	Departed bool
	// ZoneDrained is set while the zone of the worker is drained. SetZoneDrained sets it.
	ZoneDrained bool
	// FailedJobs counts the consecutive failed jobs since the last success.
	FailedJobs int
	// EjectedUntil is the end of the worker's last ejection. The next success or new epoch
	// ends the worker's probation and resets it to zero.
	EjectedUntil clock.Millis
	// Unreachable is set while the worker does not answer polls.
	Unreachable bool
	// ContactLeaseMS is how long after the last contact with an entry the leases of its runs end
	// at the latest. It is shorter than the time after which callers submit their jobs again.
	ContactLeaseMS clock.Millis
	// Changed is set when entries need a report, though not at once. The agent clears it and
	// NotifyNow with each report.
	Changed bool
	// NotifyNow is set when entries need a report at once, for example because the
	// worker starts or stops accepting runs.
	NotifyNow bool

	runs map[runKey]*Run
	// used is the total size of runs.
	used    jobs.Size
	actions []Action
	// ended holds the runs that have ended since the last call of TakeEnded.
	ended []Ended
	// unconfirmed is set from the first announcement or record of a worker until a poll has
	// confirmed its epoch and listed its runs.
	unconfirmed bool
	// orphaned holds the unclaimed runs that an earlier agent process started. Running ones stay
	// until a poll no longer lists them.
	orphaned map[RunID]orphanedRun
	// claimUntil is the end of the claim window, in which entries may claim orphaned runs;
	// zero while the window is closed.
	claimUntil clock.Millis
	// recentEnds are the ends of the last recentEndsMS, oldest first.
	recentEnds []recentEnd
	// disconnected is when the link to each disconnected entry ended. An entry is removed
	// when it reconnects or its runs are stopped.
	disconnected map[string]clock.Millis
	// contacts holds when each entry was last known to be alive. It outlives the links.
	contacts map[string]clock.Millis
	// lastFailedJob is the job whose failure was counted last.
	lastFailedJob jobs.ID
	// nextEjectionMS is the duration of the next ejection.
	nextEjectionMS clock.Millis
	// lastEndAt is when a poll last listed a held run as ended.
	lastEndAt clock.Millis
	// failedPolls counts the consecutive failed polls.
	failedPolls int
	// firstFailedPollAt is when the first of the consecutive failed polls was noticed.
	firstFailedPollAt clock.Millis
	// renewedAt is when the last poll that renewed the leases was sent.
	renewedAt clock.Millis
	// grantedUntil is the latest end of the leases that were granted to the present epoch.
	grantedUntil clock.Millis
	// superseded holds when another entry requested a task of a job from an entry's runs.
	superseded map[supersession]clock.Millis
	// largeUntil is when the last large task that was requested is forgotten.
	largeUntil clock.Millis
	// startSentAt is when the last start was sent.
	startSentAt clock.Millis
	// lastPollAt is when the last poll was answered.
	lastPollAt clock.Millis
	// unansweredAt is when a start or poll last went unanswered; zero if none did.
	unansweredAt clock.Millis
	// fastLogSpeed is the fast-moving average of the speed's logarithm.
	fastLogSpeed float64
	stalled      bool
	// token is the highest fencing token in use so far.
	token int64
	// announced is the sequence number of the last announcement of the present epoch, or -1.
	announced int64
	// announcedClockMS is the time on the worker's clock in that announcement, announcedAt when
	// it arrived, or when the worker of a record was confirmed.
	announcedClockMS clock.Millis
	announcedAt      clock.Millis
	// revision is that of the last description in force.
	revision uint64
	// answeredClockMS is the time on the worker's clock in the last answered poll; zero if that
	// is not known.
	answeredClockMS clock.Millis
	// departedAt is when the worker last deregistered.
	departedAt clock.Millis
	// departureRefuted is set once answers or an announcement have ended a departure of the
	// present life.
	departureRefuted bool
	// pending holds announcements that no answer has proved or refuted, oldest first, and at
	// most maxPending. They change nothing else.
	pending []pendingAnnouncement
	// refuted holds the senders of refuted announcements since the last call of TakeRefuted.
	refuted []Worker
	// doubted is set while the last poll leaves open whether the present worker is still at its
	// address, pollsPending while the last poll names the sender of a pending announcement.
	doubted      bool
	pollsPending bool
	// unproved is set from a failed poll or a misdirected start until the next answered poll. Another
	// life may be at the address meanwhile, so that nothing is started.
	unproved bool
	// epochSince is when the worker's present epoch became known.
	epochSince clock.Millis
	// retiredEpochs are the last epochs that were replaced by another one.
	retiredEpochs []int64
}

// supersession names a job and an entry whose runs of it were superseded.
type supersession struct {
	job   jobs.ID
	entry string
}

// recentEnd is the end of a run whose report its entry may not have received.
type recentEnd struct {
	entry string
	end   RunEnd
	at    clock.Millis
}

// Limits and intervals of an agent's decisions.
const (
	// recentEndsMS is how long ends are kept to be repeated to an entry that reconnects.
	recentEndsMS clock.Millis = 5000
	// cautiousMS is how long after an unanswered call further ones are expected.
	cautiousMS clock.Millis = 2000
	// stopRetryMS is the interval at which a stop is repeated until the run has ended.
	stopRetryMS clock.Millis = 60
	// DisconnectGraceMS is how long the runs of a disconnected entry continue. Together
	// with the link timeout it stays below the time after which callers resubmit a job.
	DisconnectGraceMS clock.Millis = 50
)

// New returns the supervisor of a worker that has not announced itself. contactLeaseMS is the
// value of ContactLeaseMS.
func New(contactLeaseMS clock.Millis) *Supervisor {
	return &Supervisor{
		Speed:          1,
		ContactLeaseMS: contactLeaseMS,
		runs:           map[runKey]*Run{},
		orphaned:       map[RunID]orphanedRun{},
		disconnected:   map[string]clock.Millis{},
		contacts:       map[string]clock.Millis{},
		superseded:     map[supersession]clock.Millis{},
		nextEjectionMS: minEjectionMS,
		announced:      -1,
	}
}

// TakeActions returns the pending actions and clears the list.
func (s *Supervisor) TakeActions() []Action {
	a := s.actions
	s.actions = nil
	return a
}

// TakeEnded returns the runs that have ended since the last call, for the log.
func (s *Supervisor) TakeEnded() []Ended {
	ended := s.ended
	s.ended = nil
	return ended
}

// StopAccepting makes the supervisor refuse new runs and returns the queued ones to their
// entries as not run; runs at the worker continue. The agent calls it when it drains.
func (s *Supervisor) StopAccepting(now clock.Millis) {
	s.StoppedAccepting = true
	s.NotifyNow = true
	s.returnQueued(now)
}

// SetZoneDrained records whether the zone of the worker is drained. While it is, nothing is
// started: new runs and queued ones are returned to their entries as not run. Runs at the worker
// continue.
func (s *Supervisor) SetZoneDrained(drained bool, now clock.Millis) {
	if drained == s.ZoneDrained {
		return
	}
	s.ZoneDrained = drained
	s.NotifyNow = true
	if drained {
		s.returnQueued(now)
	}
}

// StopTasks stops an entry's runs of the given tasks of a job, or of all its tasks if
// none is given.
func (s *Supervisor) StopTasks(entry string, job jobs.ID, tasks []jobs.TaskID, now clock.Millis) {
	for _, run := range s.sortedRuns() {
		if run.Entry == entry && run.Ref.Job == job && selected(tasks, run.Ref.Task) {
			s.stop(run, now)
		}
	}
	s.startQueued(now)
}

// selected reports whether tasks contains t or is empty, which stands for all tasks.
func selected(tasks []jobs.TaskID, t jobs.TaskID) bool {
	for _, o := range tasks {
		if o == t {
			return true
		}
	}
	return len(tasks) == 0
}

// stop ends a queued run as not run, and has the worker stop any other run.
func (s *Supervisor) stop(run *Run, now clock.Millis) {
	if run.Status == Queued {
		s.end(run, jobs.OutcomeNotRun, 0, false, now)
		return
	}
	if run.Stopping {
		return
	}
	run.Stopping, run.StopRequestedAt = true, s.contactOf(run)
	if run.Status == Starting {
		return // the stop is sent once the start has returned
	}
	s.sendStop(run, now)
}

func (s *Supervisor) sendStop(run *Run, now clock.Millis) {
	run.StopSentAt = now
	s.actions = append(s.actions, Stop{Run: *run})
}

// EntryDisconnected records that the link to an entry has ended.
func (s *Supervisor) EntryDisconnected(entry string, now clock.Millis) {
	if _, known := s.disconnected[entry]; !known {
		s.disconnected[entry] = now
	}
}

// EntryConnected records that an entry is linked. It returns all runs held for the entry and
// the recent ends, which the entry may have missed. Run numbers start again when a job is
// submitted again, so that an earlier run may have had the number of one that is held, or of the
// present submission: a superseded end, with which the entry abandons the job, is left out.
func (s *Supervisor) EntryConnected(entry string) ([]Run, []RunEnd) {
	delete(s.disconnected, entry)
	var ends []RunEnd
	for _, e := range s.recentEnds {
		if e.entry == entry && e.end.Outcome != jobs.OutcomeSuperseded && !s.holds(entry, e.end) {
			ends = append(ends, e.end)
		}
	}
	return s.RunsOf(entry), ends
}

// holds reports whether a run with the task and number of an end is held for an entry.
func (s *Supervisor) holds(entry string, e RunEnd) bool {
	run := s.runs[runKey{e.Ref, entry}]
	return run != nil && run.Number == e.Number
}

// RunsOf returns the runs that are held for an entry.
func (s *Supervisor) RunsOf(entry string) []Run {
	var held []Run
	for _, run := range s.sortedRuns() {
		if run.Entry == entry {
			held = append(held, *run)
		}
	}
	return held
}

// StopAll stops all runs. The agent calls it after its process was paused for so long
// that the entries may have declared its runs lost.
func (s *Supervisor) StopAll(now clock.Millis) {
	for _, run := range s.sortedRuns() {
		s.stop(run, now)
	}
}

// Free returns the worker's capacity minus the size of all held runs, queued ones
// included; it may be negative.
func (s *Supervisor) Free() jobs.Size {
	if s.Worker == nil {
		return jobs.Size{}
	}
	return s.Worker.Capacity.Minus(s.used)
}

// Held returns the number of runs that the agent holds, queued ones included.
func (s *Supervisor) Held() int {
	return len(s.runs)
}

// RunsAtWorker returns the number of runs that the worker may have, orphans included.
func (s *Supervisor) RunsAtWorker() int {
	n := len(s.orphaned)
	for _, run := range s.runs {
		if run.Status != Queued {
			n++
		}
	}
	return n
}

// Cautious reports whether calls to the worker may go unanswered, because some recently did,
// or a run has to be resolved soon, because it is orphaned or to be stopped.
func (s *Supervisor) Cautious(now clock.Millis) bool {
	if s.unansweredAt > 0 && now-s.unansweredAt < cautiousMS || s.HasRunningOrphans() {
		return true
	}
	for _, run := range s.runs {
		if run.Stopping {
			return true
		}
	}
	return false
}

// EntriesWithRuns returns the entries for which the agent holds runs, by incarnation.
func (s *Supervisor) EntriesWithRuns() map[string]bool {
	out := map[string]bool{}
	for k := range s.runs {
		out[k.entry] = true
	}
	return out
}

// NeedsFrequentTicks reports whether Tick has to be called at short intervals: while runs are
// queued, orphaned, of an earlier epoch or being stopped, an entry is disconnected, the claim
// window is open, the worker is unconfirmed, or an announcement is pending.
func (s *Supervisor) NeedsFrequentTicks() bool {
	if len(s.disconnected) > 0 || len(s.pending) > 0 || s.claimUntil > 0 || s.unconfirmed || s.HasRunningOrphans() {
		return true
	}
	for _, run := range s.runs {
		if run.Status == Queued || run.Stopping || s.isOfEarlierEpoch(run) {
			return true
		}
	}
	return false
}

// Tick does the work that is due at now: it applies the time limits of runs, disconnected
// entries and claims, repeats stops, and checks the worker's progress.
func (s *Supervisor) Tick(now clock.Millis) {
	for entry, since := range s.disconnected {
		if now-since >= DisconnectGraceMS {
			s.StopRunsOf(entry, now)
			delete(s.disconnected, entry)
		}
	}
	for _, run := range s.sortedRuns() {
		if run.Status == Queued && now-run.QueuedAt > run.maxQueueMS() && !s.earlierRunAtWorker(run) {
			s.end(run, jobs.OutcomeNotRun, 0, false, now)
		}
		if run.Stopping && run.Status > Starting && now-run.StopSentAt >= stopRetryMS {
			s.sendStop(run, now)
		}
	}
	for len(s.recentEnds) > 0 && now-s.recentEnds[0].at > recentEndsMS {
		s.recentEnds = s.recentEnds[1:]
	}
	if s.EjectedUntil > 0 && now >= s.EjectedUntil {
		// The entries have to learn of the end of the ejection, for which there is no event.
		// The condition holds until the next success, and so does Changed.
		s.Changed = true
	}
	s.forgetContacts(now)
	maps.DeleteFunc(s.superseded, func(_ supersession, at clock.Millis) bool { return now-at >= supersededMS })
	s.expireClaims(now)
	s.stopOrphans(now)
	s.checkStalled(now)
	s.startQueued(now)
}

// StopRunsOf stops all runs of an entry.
func (s *Supervisor) StopRunsOf(entry string, now clock.Millis) {
	for _, run := range s.sortedRuns() {
		if run.Entry == entry {
			s.stop(run, now)
		}
	}
}

// end removes a run and reports its end to its entry. ranMS is the run's duration, or zero
// if that is unknown.
func (s *Supervisor) end(run *Run, outcome jobs.Outcome, ranMS clock.Millis, workerFault bool, now clock.Millis) {
	if run.Superseded && outcome != jobs.OutcomeDone {
		outcome = jobs.OutcomeSuperseded
	}
	k := runKey{run.Ref, run.Entry}
	delete(s.runs, k)
	s.used = s.used.Minus(run.Size)
	s.Changed = true
	e := RunEnd{Ref: run.Ref, Number: run.Number, Outcome: outcome, RanMS: ranMS, WorkerFault: workerFault}
	s.recentEnds = append(s.recentEnds, recentEnd{entry: run.Entry, end: e, at: now})
	s.ended = append(s.ended, Ended{Run: *run, End: e})
	s.actions = append(s.actions, Report{Entry: run.Entry, End: e})
	for _, number := range run.LaterNumbers {
		e := RunEnd{Ref: run.Ref, Number: number, Outcome: jobs.OutcomeNotRun}
		s.recentEnds = append(s.recentEnds, recentEnd{entry: run.Entry, end: e, at: now})
		s.actions = append(s.actions, Report{Entry: run.Entry, End: e})
	}
}

// lose removes a run that may have been executed in part and reports it as lost.
func (s *Supervisor) lose(run *Run, cause LossCause, workerFault bool, now clock.Millis) {
	s.actions = append(s.actions, Lost{Run: *run, Cause: cause})
	s.end(run, jobs.OutcomeLost, 0, workerFault, now)
}

func startsBefore(a, b *Run) bool {
	if a.LatestStart != b.LatestStart {
		return a.LatestStart < b.LatestStart
	}
	if a.Ref != b.Ref {
		return jobs.CompareRefs(a.Ref, b.Ref) < 0
	}
	return a.Entry < b.Entry
}

// sortedRuns returns all runs in a fixed order, so that replays are deterministic.
func (s *Supervisor) sortedRuns() []*Run {
	runs := make([]*Run, 0, len(s.runs))
	for _, run := range s.runs {
		runs = append(runs, run)
	}
	sort.Slice(runs, func(i, j int) bool { return startsBefore(runs[i], runs[j]) })
	return runs
}
