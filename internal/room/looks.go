package room

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// StartAnswer is the worker's answer to a start.
type StartAnswer int

// The answers to a start.
const (
	// StartOK: the run is there.
	StartOK StartAnswer = iota
	// StartRefused: the run is not there and never will be.
	StartRefused
	// StartNoRoom: as StartRefused, since the worker is full.
	StartNoRoom
	// StartUnhealthy: as StartRefused, by a worker that takes nothing.
	StartUnhealthy
	// StartUnanswered: it may run, now or until its lease has passed.
	StartUnanswered
)

// StartAnswered takes the answer to a start.
func (r *Room) StartAnswered(name jobs.TaskRef, entry string, number int64, a StartAnswer, now clock.Millis) {
	run := r.runs[key{name, entry}]
	if run == nil || run.Number != number || run.Status != Starting {
		return
	}
	switch a {
	case StartOK:
		run.Status = Running
	case StartUnanswered:
		run.Unanswered++
		if run.Unanswered < maxUnanswered && !run.Stopping {
			r.startAgain(run, now)
			return
		}
		r.unsure(run)
	default:
		if a == StartUnhealthy {
			r.blame(name.Job, now)
		}
		if run.Unanswered == 0 {
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
func (r *Room) startAgain(run *Run, now clock.Millis) {
	run.StartedAt = now
	r.actions = append(r.actions, Start{Run: *run})
}

// unsure marks a run that the worker may have. Its lease would settle it as well, but
// a stop does so at once.
func (r *Room) unsure(run *Run) {
	run.Status = Unsure
	run.Stopping = true
}

// StopAnswered notes that the worker took a stop.
func (r *Room) StopAnswered(name jobs.TaskRef, entry string, number int64, now clock.Millis) {
	run := r.runs[key{name, entry}]
	if run != nil && run.Number == number && run.StopDoneAt == 0 {
		run.StopDoneAt = now
	}
}

// Seen is a run that the worker lists as running.
type Seen struct {
	Name   jobs.TaskRef
	Number int64
}

// SeenEnd is a run that the worker lists as ended.
type SeenEnd struct {
	Name   jobs.TaskRef
	Number int64
	End    jobs.Outcome
}

// Look is the worker's account of its runs.
type Look struct {
	// ClockMS is the worker's clock when it answered.
	ClockMS clock.Millis
	// AskedAt is when the look was sent, on the agent's clock.
	AskedAt clock.Millis
	// Life is the worker's life that the look belongs to; zero if not told.
	Life    int64
	Running []Seen
	Ended   []SeenEnd
}

// Looked takes a look at the worker.
func (r *Room) Looked(l Look, now clock.Millis) {
	if !r.confirm(l, now) || !r.sameLife(l.Life, now) {
		return
	}
	if r.claimUntil > 0 {
		r.keepFound(l)
	}
	r.misses = 0
	r.lookedAt = now
	if r.Unreachable {
		r.Unreachable = false
		r.Urgent = true
	}
	for _, e := range l.Ended {
		r.seenEnd(e, now)
	}
	listed := map[Seen]bool{}
	for _, s := range l.Running {
		listed[s] = true
		r.seenRunning(s, now)
	}
	r.settle(l, listed, now)
	r.pump(now)
}

// sameLife reports whether a look belongs to the worker's present life; a newer one
// ends all that the earlier life ran.
func (r *Room) sameLife(life int64, now clock.Millis) bool {
	if r.Worker == nil || life == 0 || life == r.Worker.Life {
		return true
	}
	if life < r.Worker.Life {
		return false
	}
	r.Worker.Life = life
	r.newLife(now)
	return true
}

func (r *Room) find(name jobs.TaskRef, number int64) *Run {
	for k, run := range r.runs {
		if k.name == name && run.Number == number && run.Status != Queued {
			return run
		}
	}
	return nil
}

func (r *Room) seenEnd(e SeenEnd, now clock.Millis) {
	run := r.find(e.Name, e.Number)
	if run == nil {
		return
	}
	ran := now - run.StartedAt
	if run.Claimed {
		ran = 0
	}
	if e.End == jobs.OutcomeFailed {
		r.blame(run.Name.Job, now)
	}
	if e.End == jobs.OutcomeDone {
		r.praise(run, ran)
	}
	r.endedAt = now
	r.end(run, e.End, ran, e.End == jobs.OutcomeFailed, now)
}

func (r *Room) seenRunning(s Seen, now clock.Millis) {
	run := r.find(s.Name, s.Number)
	if run == nil {
		if r.claimUntil > 0 {
			return // its entry may claim it
		}
		// Left by an earlier process beside the worker: nobody waits for it.
		r.actions = append(r.actions, Stop{Run: Run{Name: s.Name, Number: s.Number}})
		return
	}
	run.MissingSince = 0
	if run.Status == Unsure {
		run.Status = Running
	}
	if run.Stopping && now-run.StopSentAt >= stopAgainMS {
		r.sendStop(run, now)
	}
}

// settle decides on runs that the worker does not list.
func (r *Room) settle(l Look, listed map[Seen]bool, now clock.Millis) {
	for _, run := range r.sorted() {
		if listed[Seen{run.Name, run.Number}] || run.StartedAt >= l.AskedAt {
			continue
		}
		switch run.Status {
		case Unsure:
			stopped := run.StopDoneAt > 0 && l.AskedAt >= run.StopDoneAt
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

// LookFailed notes a look without an answer.
func (r *Room) LookFailed(lease, now clock.Millis) {
	if r.misses == 0 {
		r.missedAt = now
	}
	r.misses++
	if !r.silent(now) {
		return
	}
	if !r.Unreachable {
		r.Unreachable = true
		r.Urgent = true
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

// Renews reports whether a look at now extends the worker's leases.
func (r *Room) Renews(now clock.Millis) bool {
	if r.silent(now) {
		return false
	}
	r.renewed = now
	return true
}

// silent reports whether so many looks failed that the worker is out of reach.
func (r *Room) silent(now clock.Millis) bool {
	return r.misses >= looksToRenew && now-r.missedAt >= silentMS
}

// LooksMissed returns the number of looks in a row that failed.
func (r *Room) LooksMissed() int {
	return r.misses
}
