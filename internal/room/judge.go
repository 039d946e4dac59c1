package room

import (
	"math"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

func (r *Room) goodAgain() {
	r.FailedJobs = 0
	r.stalled = false
	r.TrialUntil = 0
	r.backoff = firstTrialMS
	r.lastFail = ""
	r.Urgent = true
}

// blame counts a job that failed by the worker's possible fault.
func (r *Room) blame(job jobs.ID, now clock.Millis) {
	if job == r.lastFail {
		return
	}
	r.lastFail = job
	r.FailedJobs++
	if r.FailedJobs >= jobsToTrial && now >= r.TrialUntil {
		r.trial(now)
	}
}

// trial gives the worker nothing for a while and then one task at a time, until one
// succeeds.
func (r *Room) trial(now clock.Millis) {
	r.TrialUntil = now + r.backoff
	r.backoff = min(2*r.backoff, maxTrialMS)
	r.Urgent = true
}

func (r *Room) praise(run *Run, ran clock.Millis) {
	if r.FailedJobs > 0 || r.TrialUntil > 0 {
		r.goodAgain()
	}
	if run.ExpectedMS < 1 || ran < 1 || run.Stopping || run.Claimed {
		return
	}
	r.learnSpeed(math.Log(float64(run.ExpectedMS) / float64(ran)))
}

// learnSpeed takes the logarithm of a speed.
func (r *Room) learnSpeed(figure float64) {
	mean := math.Log(r.Speed)
	mean += speedGain * (figure - mean)
	r.quick += quickGain * (figure - r.quick)
	if math.Abs(r.quick-mean) > speedStep {
		mean = r.quick
	}
	r.Speed = min(max(math.Exp(mean), minSpeed), maxSpeed)
}

// OnTrial reports whether the worker gets one task at a time, and whether it gets
// none yet.
func (r *Room) OnTrial(now clock.Millis) (trial, none bool) {
	return r.TrialUntil > 0, now < r.TrialUntil
}

// Stalled reports whether the worker's tasks stand still.
func (r *Room) Stalled() bool {
	return r.stalled
}

// checkStalled puts a worker on trial whose tasks stand still: most are overdue and
// nothing has ended for a while. A worker that is only slow still ends some.
//
// What the worker did is known up to the last look that it answered, not up to now.
func (r *Room) checkStalled(now clock.Millis) {
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
			late[run.Name.Job] = true
		}
	}
	if len(late) < overdueJobs || 2*overdue < running {
		return
	}
	r.stalled = true
	r.trial(now)
}

func (r *Room) overdue(run *Run) clock.Millis {
	return clock.Millis(overdueFactor*float64(run.ExpectedMS)/r.Speed) + overdueMS
}
