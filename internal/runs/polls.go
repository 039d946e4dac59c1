package runs

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// StartOutcome is the worker's answer to a start.
type StartOutcome int

// The answers to a start.
const (
	// StartOK: the run is there.
	StartOK StartOutcome = iota
	// StartRefused: the run is not there and never will be.
	StartRefused
	// StartNoCapacity: as StartRefused, since the worker is full.
	StartNoCapacity
	// StartUnhealthy: as StartRefused, by a worker that takes nothing.
	StartUnhealthy
	// StartUnanswered: it may run, now or until its lease has passed.
	StartUnanswered
)

// HandleStartOutcome takes the answer to a start.
func (r *Supervisor) HandleStartOutcome(name jobs.TaskRef, entry string, number int64, a StartOutcome, now clock.Millis) {
	run := r.runs[key{name, entry}]
	if run == nil || run.Number != number || run.Status != Starting {
		return
	}
	switch a {
	case StartOK:
		run.Status = Running
	case StartUnanswered:
		run.UnansweredStarts++
		if run.UnansweredStarts < maxUnanswered && !run.Stopping {
			r.startAgain(run, now)
			return
		}
		r.unsure(run)
	default:
		if a == StartUnhealthy {
			r.blame(name.Job, now)
		}
		if run.UnansweredStarts == 0 {
			r.end(run, jobs.OutcomeNotRun, 0, a == StartUnhealthy, now)
			break
		}
		// An earlier start may have been carried out, or may still be.
		r.unsure(run)
	}
	if run.Stopping && run.Status > Starting {
		r.sendStop(run, now)
	}
	r.pump(now)
}

// startAgain repeats a start. The worker takes a run that it has for started, and
// refuses one that has ended, so a start is idempotent.
func (r *Supervisor) startAgain(run *Run, now clock.Millis) {
	run.StartedAt = now
	r.actions = append(r.actions, Start{Run: *run})
}

// unsure marks a run that the worker may have. Its lease would settle it as well, but
// a stop does so at once.
func (r *Supervisor) unsure(run *Run) {
	run.Status = Unknown
	run.Stopping = true
}

// HandleStopAck notes that the worker took a stop.
func (r *Supervisor) HandleStopAck(name jobs.TaskRef, entry string, number int64, now clock.Millis) {
	run := r.runs[key{name, entry}]
	if run != nil && run.Number == number && run.StopAckedAt == 0 {
		run.StopAckedAt = now
	}
}

// RunID is a run that the worker lists as running.
type RunID struct {
	Ref    jobs.TaskRef
	Number int64
}

// EndedRun is a run that the worker lists as ended.
type EndedRun struct {
	Ref     jobs.TaskRef
	Number  int64
	Outcome jobs.Outcome
}

// PollResult is the worker's account of its runs.
type PollResult struct {
	// ClockMS is the worker's clock when it answered.
	ClockMS clock.Millis
	// SentAt is when the look was sent, on the agent's clock.
	SentAt clock.Millis
	// Epoch is the worker's life that the look belongs to; zero if not told.
	Epoch   int64
	Running []RunID
	Ended   []EndedRun
}

// HandlePoll takes a look at the worker.
func (r *Supervisor) HandlePoll(l PollResult, now clock.Millis) {
	if !r.confirm(l, now) || !r.sameLife(l.Epoch, now) {
		return
	}
	if r.claimUntil > 0 {
		r.keepFound(l)
	}
	r.misses = 0
	r.lookedAt = now
	if r.Unreachable {
		r.Unreachable = false
		r.NotifyNow = true
	}
	for _, e := range l.Ended {
		r.seenEnd(e, now)
	}
	listed := map[RunID]bool{}
	for _, s := range l.Running {
		listed[s] = true
		r.seenRunning(s, now)
	}
	r.settle(l, listed, now)
	r.pump(now)
}

// sameLife reports whether a look belongs to the worker's present life; a newer one
// ends all that the earlier life ran.
func (r *Supervisor) sameLife(life int64, now clock.Millis) bool {
	if r.Worker == nil || life == 0 || life == r.Worker.Epoch {
		return true
	}
	if life < r.Worker.Epoch {
		return false
	}
	r.Worker.Epoch = life
	r.newLife(now)
	return true
}

func (r *Supervisor) find(name jobs.TaskRef, number int64) *Run {
	for k, run := range r.runs {
		if k.name == name && run.Number == number && run.Status != Queued {
			return run
		}
	}
	return nil
}

func (r *Supervisor) seenEnd(e EndedRun, now clock.Millis) {
	run := r.find(e.Ref, e.Number)
	if run == nil {
		return
	}
	ran := now - run.StartedAt
	if run.Claimed {
		ran = 0
	}
	if e.Outcome == jobs.OutcomeFailed {
		r.blame(run.Ref.Job, now)
	}
	if e.Outcome == jobs.OutcomeDone {
		r.praise(run, ran)
	}
	r.endedAt = now
	r.end(run, e.Outcome, ran, e.Outcome == jobs.OutcomeFailed, now)
}

func (r *Supervisor) seenRunning(s RunID, now clock.Millis) {
	run := r.find(s.Ref, s.Number)
	if run == nil {
		if r.claimUntil > 0 {
			return // its entry may claim it
		}
		// Left by an earlier process beside the worker: nobody waits for it.
		r.actions = append(r.actions, Stop{Run: Run{Ref: s.Ref, Number: s.Number}})
		return
	}
	run.MissingSince = 0
	if run.Status == Unknown {
		run.Status = Running
	}
	if run.Stopping && now-run.StopSentAt >= stopAgainMS {
		r.sendStop(run, now)
	}
}

// settle decides on runs that the worker does not list.
func (r *Supervisor) settle(l PollResult, listed map[RunID]bool, now clock.Millis) {
	for _, run := range r.sorted() {
		if listed[RunID{run.Ref, run.Number}] || run.StartedAt >= l.SentAt {
			continue
		}
		switch run.Status {
		case Unknown:
			stopped := run.StopAckedAt > 0 && l.SentAt >= run.StopAckedAt
			if stopped || l.ClockMS > run.LeaseUntil {
				r.end(run, jobs.OutcomeNotRun, 0, false, now)
			}
		case Running:
			if run.MissingSince == 0 {
				run.MissingSince = now
			}
			if now-run.MissingSince > missingMS {
				r.end(run, jobs.OutcomeLost, 0, true, now)
			}
		}
	}
}

// HandlePollFailure notes a look without an answer.
func (r *Supervisor) HandlePollFailure(lease, now clock.Millis) {
	if r.misses == 0 {
		r.missedAt = now
	}
	r.misses++
	if !r.silent(now) {
		return
	}
	if !r.Unreachable {
		r.Unreachable = true
		r.NotifyNow = true
		r.dropQueued(now)
	}
	lapsed := r.renewed + clock.Millis(float64(lease)*clockDrift) + lapseMS
	if now <= lapsed {
		return
	}
	for _, run := range r.sorted() {
		if run.Status != Queued && run.Status != Starting && now > run.StartedAt+lapsed-r.renewed {
			r.end(run, jobs.OutcomeLost, 0, true, now)
		}
	}
}

// RenewLeases reports whether a look at now extends the worker's leases.
func (r *Supervisor) RenewLeases(now clock.Millis) bool {
	if r.silent(now) {
		return false
	}
	r.renewed = now
	return true
}

// silent reports whether so many looks failed that the worker is out of reach.
func (r *Supervisor) silent(now clock.Millis) bool {
	return r.misses >= looksToRenew && now-r.missedAt >= silentMS
}

// FailedPolls returns the number of looks in a row that failed.
func (r *Supervisor) FailedPolls() int {
	return r.misses
}
