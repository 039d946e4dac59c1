package runs

import (
	"math"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

func (r *Supervisor) goodAgain() {
	r.FailedJobs = 0
	r.stalled = false
	r.EjectedUntil = 0
	r.backoff = firstTrialMS
	r.lastFail = ""
	r.NotifyNow = true
}

// blame counts a job that failed by the worker's possible fault.
func (r *Supervisor) blame(job jobs.ID, now clock.Millis) {
	if job == r.lastFail {
		return
	}
	r.lastFail = job
	r.FailedJobs++
	if r.FailedJobs >= jobsToTrial && now >= r.EjectedUntil {
		r.trial(now)
	}
}

// trial gives the worker nothing for a while and then one task at a time, until one
// succeeds.
func (r *Supervisor) trial(now clock.Millis) {
	r.EjectedUntil = now + r.backoff
	r.backoff = min(2*r.backoff, maxTrialMS)
	r.NotifyNow = true
}

func (r *Supervisor) praise(run *Run, ran clock.Millis) {
	if r.FailedJobs > 0 || r.EjectedUntil > 0 {
		r.goodAgain()
	}
	if run.ExpectedMS < 1 || ran < 1 || run.Stopping || run.Claimed {
		return
	}
	r.learnSpeed(math.Log(float64(run.ExpectedMS) / float64(ran)))
}

// learnSpeed takes the logarithm of a speed.
func (r *Supervisor) learnSpeed(figure float64) {
	mean := math.Log(r.Speed)
	mean += speedGain * (figure - mean)
	r.quick += quickGain * (figure - r.quick)
	if math.Abs(r.quick-mean) > speedStep {
		mean = r.quick
	}
	r.Speed = min(max(math.Exp(mean), minSpeed), maxSpeed)
}

// Probation reports whether the worker gets one task at a time, and whether it gets
// none yet.
func (r *Supervisor) Probation(now clock.Millis) (trial, none bool) {
	return r.EjectedUntil > 0, now < r.EjectedUntil
}

// Stalled reports whether the worker's tasks stand still.
func (r *Supervisor) Stalled() bool {
	return r.stalled
}

// checkStalled puts a worker on trial whose tasks stand still: most are overdue and
// nothing has ended for a while. A worker that is only slow still ends some.
//
// What the worker did is known up to the last look that it answered, not up to now.
func (r *Supervisor) checkStalled(now clock.Millis) {
	if r.stalled || r.lookedAt-r.endedAt <= quietMS {
		return
	}
	overdue, running := 0, 0
	late := map[jobs.ID]bool{}
	for _, run := range r.runs {
		if run.Status != Running || run.Stopping {
			continue
		}
		running++
		if r.lookedAt-run.StartedAt > r.overdue(run) {
			overdue++
			late[run.Ref.Job] = true
		}
	}
	if len(late) < overdueJobs || 2*overdue < running {
		return
	}
	r.stalled = true
	r.trial(now)
}

func (r *Supervisor) overdue(run *Run) clock.Millis {
	return clock.Millis(overdueFactor*float64(run.ExpectedMS)/r.Speed) + overdueMS
}
