package runs

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Limits of queued runs and of starts.
const (
	// maxQueuedMS is how long a run is queued here before it is returned to its entry. The
	// entry learns the free capacity at the same time and may know another worker.
	maxQueuedMS clock.Millis = 5
	// StartLeaseMS is the lease that a start carries; later polls extend it.
	StartLeaseMS clock.Millis = 600
	// maxUnansweredStarts is the number of unanswered starts after which the agent stops
	// retrying the run: a healthy worker answers at least one of them.
	maxUnansweredStarts = 3
	// supersededMS is how long launches of a superseded entry are refused. It is longer than a
	// launch takes that was sent before the entry learned of it, and shorter than the time after
	// which callers resubmit a job.
	supersededMS clock.Millis = 1000
)

// Launch handles the runs that an entry requests: it claims the orphaned ones, queues the
// others, and starts those that fit. While the worker accepts no runs, or if they were placed by
// another description, the others end as not run.
func (s *Supervisor) Launch(runs []Run, now clock.Millis) {
	for i := range runs {
		run := runs[i]
		if s.claim(run, now) {
			continue
		}
		s.recordSize(run.Size, now)
		run.Status = Queued
		run.QueuedAt = now
		if run.Revision == 0 && s.Worker != nil {
			run.Revision = s.Worker.Revision
		}
		k := runKey{run.Ref, run.Entry}
		if held := s.runs[k]; held != nil {
			held.requestAgain(run.Number)
			continue
		}
		s.runs[k] = &run
		s.used = s.used.Plus(run.Size)
		at, superseded := s.superseded[supersession{run.Ref.Job, run.Entry}]
		run.Superseded = superseded && now-at < supersededMS
		if !run.Superseded {
			s.stopOlderRuns(run, now)
		}
		if run.Superseded || s.refuses(&run) && !s.earlierRunAtWorker(&run) {
			s.end(&run, jobs.OutcomeNotRun, 0, false, now)
		}
	}
	s.Changed = true
	s.startQueued(now)
}

// requestAgain records the number of a run that was requested while r, an earlier run of the same
// task and entry, is held.
func (r *Run) requestAgain(number int64) {
	if number != r.Number {
		r.LaterNumbers = append(r.LaterNumbers, number)
	}
}

// refuses reports whether a requested run is not to be queued here.
func (s *Supervisor) refuses(run *Run) bool {
	return !s.isPlaced(run) || s.RefusesRuns()
}

// RefusesRuns reports whether new runs are refused at present: the agent or the zone drains, or
// the worker is missing, unconfirmed, not described, draining, deregistered, silent, unreachable or
// executing orphaned runs.
func (s *Supervisor) RefusesRuns() bool {
	if s.StoppedAccepting || s.Departed || s.ZoneDrained || s.Worker == nil || s.unconfirmed {
		return true
	}
	return !s.Worker.Described || s.Worker.Draining || s.Unreachable || s.isSilent() || s.HasRunningOrphans()
}

// IsUnproved reports whether another life may be at the worker's address, so that nothing is started
// before the next answer to a poll.
func (s *Supervisor) IsUnproved() bool {
	return s.unproved
}

// returnQueued ends the queued runs as not run, but for those that wait for an earlier run.
func (s *Supervisor) returnQueued(now clock.Millis) {
	for _, run := range s.sortedRuns() {
		if run.Status == Queued && !s.earlierRunAtWorker(run) {
			s.end(run, jobs.OutcomeNotRun, 0, false, now)
		}
	}
}

// stopOlderRuns stops runs of the same task for other entries: the caller has resubmitted its job,
// and nobody waits for the earlier run. Their entries must not start the task again.
func (s *Supervisor) stopOlderRuns(run Run, now clock.Millis) {
	for k, o := range s.runs {
		if k.ref == run.Ref && k.entry != run.Entry {
			o.Superseded = true
			s.superseded[supersession{run.Ref.Job, k.entry}] = now
			s.stop(o, now)
		}
	}
}

// startQueued starts queued runs by latest start time, up to the first that does not fit. Those placed
// by another description wait for an earlier run, and are returned once that has ended.
func (s *Supervisor) startQueued(now clock.Millis) {
	if s.RefusesRuns() || s.unproved || s.leaseEnd(now, StartLeaseMS) < now+minStartLeaseMS {
		return
	}
	free := s.Worker.Capacity
	var queued []*Run
	for _, run := range s.runs {
		switch {
		case run.Status != Queued:
			free = free.Minus(run.Size)
		case s.isPlaced(run):
			queued = append(queued, run)
		}
	}
	sort.Slice(queued, func(i, j int) bool { return startsBefore(queued[i], queued[j]) })
	for _, run := range queued {
		if !run.Size.FitsIn(free) {
			return
		}
		if s.earlierRunAtWorker(run) || !s.mayStart(run, now) {
			continue
		}
		free = free.Minus(run.Size)
		run.Status = Starting
		s.sendStart(run, now)
	}
}

// earlierRunAtWorker reports whether the worker may still have another run of the task. The run
// then waits, since its entry would start the task elsewhere if it were returned.
func (s *Supervisor) earlierRunAtWorker(run *Run) bool {
	for k, o := range s.runs {
		if k.ref == run.Ref && o != run && o.Status != Queued {
			return true
		}
	}
	return false
}

func (s *Supervisor) sendStart(run *Run, now clock.Millis) {
	run.StartedAt = now
	s.startSentAt = now
	run.Epoch = s.Worker.Epoch
	s.actions = append(s.actions, Start{Run: *run})
}

// SetLease records the end of the lease that the next start of a run carries, on the worker's
// clock. The agent calls it before it sends the start. An earlier start, which may still be
// executed, may have carried a longer one.
func (s *Supervisor) SetLease(ref jobs.TaskRef, entry string, leaseUntil clock.Millis) {
	if run := s.runs[runKey{ref, entry}]; run != nil {
		run.LeaseUntil = max(run.LeaseUntil, leaseUntil)
	}
}

// StartOutcome is the result of sending a start to the worker.
type StartOutcome int

// The outcomes of a start.
const (
	// StartOK: the worker has the run.
	StartOK StartOutcome = iota
	// StartRefused: the worker does not have the run and never will.
	StartRefused
	// StartNoCapacity: as StartRefused, because the worker is full.
	StartNoCapacity
	// StartUnhealthy: as StartRefused, because the worker accepts no runs.
	StartUnhealthy
	// StartUnanswered: the run may have started, or may start until its lease expires.
	StartUnanswered
	// StartMisdirected: as StartRefused, because another worker is at the address.
	StartMisdirected
)

// refusalOutcomes maps the outcomes of a start that the worker did not execute to those of the
// run.
var refusalOutcomes = map[StartOutcome]jobs.Outcome{
	StartRefused: jobs.OutcomeRefused, StartNoCapacity: jobs.OutcomeNotRun, StartUnhealthy: jobs.OutcomeNotRun,
	StartMisdirected: jobs.OutcomeNotRun,
}

// HandleStartOutcome updates a run after the call that starts it has returned.
func (s *Supervisor) HandleStartOutcome(ref jobs.TaskRef, entry string, number int64, outcome StartOutcome, now clock.Millis) {
	run := s.runs[runKey{ref, entry}]
	if run == nil || run.Number != number || run.Status != Starting {
		return
	}
	switch outcome {
	case StartOK:
		run.Status = Running
	case StartUnanswered:
		run.UnansweredStarts++
		s.unansweredAt = now
		if s.mayRepeatStart(run) {
			s.repeatStart(run, now)
			return
		}
		s.markUnknown(run)
	default:
		switch outcome {
		case StartUnhealthy:
			s.recordFailure(ref.Job, now)
		case StartMisdirected:
			s.unproved = true
		}
		if run.UnansweredStarts == 0 {
			s.end(run, refusalOutcomes[outcome], 0, outcome == StartUnhealthy, now)
			break
		}
		// The worker may have executed an earlier, unanswered start or may still do so.
		s.markUnknown(run)
	}
	if run.Stopping && run.Status > Starting {
		s.sendStop(run, now)
	}
	s.startQueued(now)
}

// mayRepeatStart reports whether an unanswered start is repeated. One that was placed by another
// description, or sent to an earlier epoch, is not: the present life may be of another kind.
func (s *Supervisor) mayRepeatStart(run *Run) bool {
	if !s.isPlaced(run) || s.isOfEarlierEpoch(run) {
		return false
	}
	return run.UnansweredStarts < maxUnansweredStarts && !run.Stopping && !s.ZoneDrained && !s.HasRunningOrphans()
}

// repeatStart repeats an unanswered start, or lets repeatStarts do so after the next answered poll if
// another life may be at the address. Starts are idempotent: the worker confirms a run that it already
// has and refuses one that has ended.
func (s *Supervisor) repeatStart(run *Run, now clock.Millis) {
	if s.unproved {
		run.Status = Unknown
		return
	}
	run.Status = Starting
	s.sendStart(run, now)
}

// repeatStarts repeats the unanswered starts that were put off until an answer to a poll, unless that
// has listed the run or shown another life.
func (s *Supervisor) repeatStarts(now clock.Millis) {
	for _, run := range s.sortedRuns() {
		switch {
		case run.Status != Unknown || run.Stopping:
		case s.mayRepeatStart(run):
			s.repeatStart(run, now)
		default:
			s.markUnknown(run)
			s.sendStop(run, now)
		}
	}
}

// markUnknown marks a run that the worker may or may not have as Unknown and to be stopped:
// the expiry of the lease would resolve its state as well, but a stop does so sooner.
func (s *Supervisor) markUnknown(run *Run) {
	run.Status = Unknown
	if !run.Stopping {
		run.Stopping, run.StopRequestedAt = true, s.contactOf(run)
	}
}
