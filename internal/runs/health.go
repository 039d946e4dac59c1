package runs

import (
	"math"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Limits of the judgement of a worker.
const (
	// failedJobsToEject is the number of consecutive failed jobs that eject a worker.
	failedJobsToEject = 3
	// Consecutive ejections last from minEjectionMS to maxEjectionMS, each twice as long as
	// the one before.
	minEjectionMS = clock.Millis(1000)
	maxEjectionMS = clock.Millis(8000)

	// slowGain is the weight of a new sample in the running average of the speed's
	// logarithm.
	slowGain = 0.06
	// fastGain is the weight in a second, faster average. It replaces the first one when
	// the two differ by more than maxLogSpeedGap, since the worker's speed has then
	// changed.
	fastGain       = 0.25
	maxLogSpeedGap = 0.5
	minSpeed       = 0.02
	maxSpeed       = 20.0
	// A run is overdue after overdueFactor times its expected run time plus overdueMarginMS.
	overdueFactor                = 1.5
	overdueMarginMS clock.Millis = 30
	// A worker is stalled when at least half of its runs are overdue, in at least
	// minOverdueJobs jobs, and no run has ended for more than noProgressMS. A single job may
	// take longer than its caller estimated.
	minOverdueJobs              = 3
	noProgressMS   clock.Millis = 150
	// After silentPolls consecutive failed polls the worker gets no runs. One may fail by chance.
	silentPolls = 2
)

// resetHealth clears the recorded failures and ends an ejection, probation or stall.
func (s *Supervisor) resetHealth() {
	s.FailedJobs = 0
	s.stalled = false
	s.EjectedUntil = 0
	s.nextEjectionMS = minEjectionMS
	s.lastFailedJob = ""
	s.NotifyNow = true
}

// recordFailure counts a failed job for which the worker may be at fault; consecutive
// failures of one job count once.
func (s *Supervisor) recordFailure(job jobs.ID, now clock.Millis) {
	if job == s.lastFailedJob {
		return
	}
	s.lastFailedJob = job
	s.FailedJobs++
	if s.FailedJobs >= failedJobsToEject && now >= s.EjectedUntil {
		s.eject(now)
	}
}

// eject ejects the worker and thereby puts it on probation until a task succeeds. The entries
// send it no runs during the ejection and one task at a time after it.
func (s *Supervisor) eject(now clock.Millis) {
	s.EjectedUntil = now + s.nextEjectionMS
	s.nextEjectionMS = min(2*s.nextEjectionMS, maxEjectionMS)
	s.NotifyNow = true
}

// recordSuccess clears earlier failures and adds the run's duration to the measured speed,
// unless the run was being stopped or its duration is unknown.
func (s *Supervisor) recordSuccess(run *Run, ranMS clock.Millis) {
	if s.FailedJobs > 0 || s.EjectedUntil > 0 {
		s.resetHealth()
	}
	if run.ExpectedMS < 1 || ranMS < 1 || run.Stopping || run.Claimed {
		return
	}
	s.updateSpeed(math.Log(float64(run.ExpectedMS) / float64(ranMS)))
}

// updateSpeed adds a sample, the logarithm of a measured speed, to the slow average, which
// is the logarithm of Speed, and to the fast one.
func (s *Supervisor) updateSpeed(logSpeed float64) {
	slowLogSpeed := math.Log(s.Speed)
	slowLogSpeed += slowGain * (logSpeed - slowLogSpeed)
	s.fastLogSpeed += fastGain * (logSpeed - s.fastLogSpeed)
	if math.Abs(s.fastLogSpeed-slowLogSpeed) > maxLogSpeedGap {
		slowLogSpeed = s.fastLogSpeed
	}
	s.Speed = min(max(math.Exp(slowLogSpeed), minSpeed), maxSpeed)
}

// Probation reports whether the worker is on probation, which lasts from its ejection until
// its next success, and whether it is still ejected. An ejected worker is thus on probation
// too.
func (s *Supervisor) Probation(now clock.Millis) (onProbation, ejected bool) {
	return s.EjectedUntil > 0, now < s.EjectedUntil
}

// Stalled reports whether checkStalled has found that the worker's tasks make no progress.
// It stays true until a task succeeds or the worker starts a new epoch.
func (s *Supervisor) Stalled() bool {
	return s.stalled
}

// checkStalled ejects a worker whose tasks make no progress: at least half are overdue, in at
// least minOverdueJobs jobs, and none has ended for more than noProgressMS. On a worker that
// is only slow, some tasks still end.
//
// Times are compared with the last answered poll, not with now, since the state of the
// worker's runs after that poll is unknown.
func (s *Supervisor) checkStalled(now clock.Millis) {
	if s.stalled || s.lastPollAt-s.lastEndAt <= noProgressMS {
		return
	}
	overdue, running := 0, 0
	overdueJobs := map[jobs.ID]bool{}
	for _, run := range s.runs {
		if run.Status != Running || run.Stopping {
			continue
		}
		running++
		if s.lastPollAt-run.StartedAt > s.overdueAfter(run) {
			overdue++
			overdueJobs[run.Ref.Job] = true
		}
	}
	if len(overdueJobs) < minOverdueJobs || 2*overdue < running {
		return
	}
	s.stalled = true
	s.eject(now)
}

// overdueAfter returns the run time from which a run counts as overdue.
func (s *Supervisor) overdueAfter(run *Run) clock.Millis {
	return clock.Millis(overdueFactor*float64(run.ExpectedMS)/s.Speed) + overdueMarginMS
}
