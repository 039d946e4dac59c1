package runs

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Limits of the judgement of missing runs and unanswered polls.
const (
	// lostAfterMS is how long a confirmed run may be missing from polls before it counts
	// as lost.
	lostAfterMS clock.Millis = 1500
	// After unreachablePolls consecutive failed polls over at least unreachableMS, the
	// worker counts as unreachable. Its leases are no longer renewed, so that their expiry
	// time is known.
	unreachablePolls              = 4
	unreachableMS    clock.Millis = 500
	// maxClockDrift is the factor by which the worker's clock may run slower than the
	// agent's. Runs of an unreachable worker count as lost expiryMarginMS after their
	// leases have expired by such a slow clock.
	maxClockDrift  = 1.03
	expiryMarginMS = clock.Millis(100)
)

// HandleStopAck records that the worker acknowledged a stop.
func (s *Supervisor) HandleStopAck(ref jobs.TaskRef, entry string, number int64, now clock.Millis) {
	run := s.runs[runKey{ref, entry}]
	if run != nil && run.Number == number && run.StopAckedAt == 0 {
		run.StopAckedAt = now
	}
}

// RunID identifies a run at the worker.
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

// PollResult is the worker's answer to a poll.
type PollResult struct {
	// ClockMS is the time on the worker's clock when it answered.
	ClockMS clock.Millis
	// SentAt is when the poll was sent, on the agent's clock.
	SentAt clock.Millis
	// SentID is the id of the worker that the poll names, which alone answers it. Without one it
	// names the present worker.
	SentID string
	// SentEpoch is the epoch whose fencing token the poll carried. Once it is answered, the
	// worker executes no call of an earlier epoch.
	SentEpoch int64
	// Epoch is the worker's epoch at the answer; zero if not reported.
	Epoch   int64
	Running []RunID
	Ended   []EndedRun
	// LastEnd is the highest number of an end that the answer lists; zero without one.
	LastEnd int64
	// MalformedRows counts the rows of the answer that could not be decoded.
	MalformedRows int
}

// HandlePoll updates the worker and all runs from an answered poll, and settles the pending
// announcements. It ignores the answer of an earlier epoch.
func (s *Supervisor) HandlePoll(p PollResult, now clock.Millis) {
	if !s.confirm(p, now) || !s.acceptIdentity(p, now) {
		return
	}
	s.updateOrphans(p)
	s.NotifyNow = s.NotifyNow || s.isSilent()
	s.failedPolls, s.doubted, s.unproved = 0, false, false
	s.lastPollAt, s.answeredClockMS = now, p.ClockMS
	s.checkAnnouncedClock(p.ClockMS, now)
	s.checkDeparture(p)
	s.Worker.AckedEnd = max(s.Worker.AckedEnd, p.LastEnd)
	if s.Unreachable {
		s.Unreachable = false
		s.NotifyNow = true
	}
	for _, e := range p.Ended {
		s.handleEnded(e, now)
	}
	listed := map[RunID]bool{}
	for _, id := range p.Running {
		listed[id] = true
		s.handleRunning(id, now)
	}
	s.resolveUnlisted(p, listed, now)
	s.settlePending(p, now)
	s.repeatStarts(now)
	s.stopOrphans(now)
	s.startQueued(now)
}

// findRun returns the run of the task with the given number that the worker may have, or
// nil.
func (s *Supervisor) findRun(ref jobs.TaskRef, number int64) *Run {
	for k, run := range s.runs {
		if k.ref == ref && run.Number == number && run.Status != Queued {
			return run
		}
	}
	return nil
}

// handleEnded handles a run that the worker lists as ended.
func (s *Supervisor) handleEnded(e EndedRun, now clock.Millis) {
	run := s.findRun(e.Ref, e.Number)
	if run == nil {
		return
	}
	ranMS := now - run.StartedAt
	if run.Claimed {
		ranMS = 0
	}
	if e.Outcome == jobs.OutcomeFailed {
		s.recordFailure(run.Ref.Job, now)
	}
	if e.Outcome == jobs.OutcomeDone {
		s.recordSuccess(run, ranMS)
	}
	s.lastEndAt = now
	if e.Outcome == jobs.OutcomeLost {
		s.actions = append(s.actions, Lost{Run: *run, Cause: LossReported})
	}
	s.end(run, e.Outcome, ranMS, e.Outcome == jobs.OutcomeFailed, now)
}

// handleRunning handles a run that the worker lists as running.
func (s *Supervisor) handleRunning(id RunID, now clock.Millis) {
	run := s.findRun(id.Ref, id.Number)
	if run == nil {
		return // an orphan
	}
	run.MissingSince = 0
	run.Epoch = s.Worker.Epoch
	if run.Status == Unknown {
		run.Status = Running
	}
	if run.Stopping && now-run.StopSentAt >= stopRetryMS {
		s.sendStop(run, now)
	}
}

// resolveUnlisted updates the runs that the worker lists neither as running nor as ended.
func (s *Supervisor) resolveUnlisted(p PollResult, listed map[RunID]bool, now clock.Millis) {
	for _, run := range s.sortedRuns() {
		switch {
		case run.Status == Queued || listed[RunID{run.Ref, run.Number}]:
		case s.isOfEarlierEpoch(run):
			s.resolveEarlierEpoch(p, run, now)
		default:
			s.resolvePresentEpoch(p, run, now)
		}
	}
}

// resolvePresentEpoch updates an unlisted run of the present epoch. A run that was started
// after the poll was sent may be missing from its result.
func (s *Supervisor) resolvePresentEpoch(p PollResult, run *Run, now clock.Millis) {
	if run.StartedAt >= p.SentAt {
		return
	}
	switch run.Status {
	case Unknown:
		stopped := run.StopAckedAt > 0 && p.SentAt >= run.StopAckedAt
		if stopped || p.ClockMS > run.LeaseUntil {
			s.end(run, jobs.OutcomeNotRun, 0, false, now)
		}
	case Running:
		if run.MissingSince == 0 {
			run.MissingSince = now
		}
		if now-run.MissingSince > lostAfterMS {
			s.lose(run, LossMissing, true, now)
		}
	}
}

// HandlePollFailure records a failed poll; leaseMS is the duration for which polls renew the
// leases. Once the leases of an unreachable worker have expired, its runs count as lost.
func (s *Supervisor) HandlePollFailure(leaseMS, now clock.Millis) {
	if s.failedPolls == 0 {
		s.firstFailedPollAt = now
	}
	s.failedPolls++
	s.unansweredAt = now
	s.doubted, s.unproved = true, true
	// The worker may have started anew meanwhile, and numbers its ends from 1 again.
	s.Worker.AckedEnd = 0
	if s.failedPolls == silentPolls {
		s.NotifyNow = true
		s.returnQueued(now)
	}
	if !s.unresponsive(now) {
		return
	}
	if !s.Unreachable {
		s.Unreachable = true
		s.NotifyNow = true
		s.returnQueued(now)
	}
	// A start renews the leases of all runs.
	if now <= max(s.renewedAt+expiryMS(leaseMS), s.startSentAt+expiryMS(StartLeaseMS)) {
		return
	}
	for _, run := range s.sortedRuns() {
		// A run that started after the last renewal gets the same time, counted from its start.
		if run.Status != Queued && run.Status != Starting && now > run.StartedAt+expiryMS(leaseMS) {
			s.lose(run, LossLeaseExpired, true, now)
		}
	}
}

// expiryMS returns the time after which a lease has expired by any worker's clock.
func expiryMS(leaseMS clock.Millis) clock.Millis {
	return clock.Millis(float64(leaseMS)*maxClockDrift) + expiryMarginMS
}

// RenewLeases reports whether a poll sent at now may renew the worker's leases. If so, it
// records now as the time of the renewal. A renewal applies to everything on the worker.
func (s *Supervisor) RenewLeases(now clock.Millis) bool {
	if s.unresponsive(now) || s.unconfirmed || s.HasRunningOrphans() {
		return false
	}
	s.renewedAt = now
	return true
}

// isSilent reports whether so many polls have failed that runs are refused, so that their entries send
// them to other workers.
func (s *Supervisor) isSilent() bool {
	return s.failedPolls >= silentPolls
}

// unresponsive reports whether so many polls have failed, over so long a time, that the
// worker counts as unreachable.
func (s *Supervisor) unresponsive(now clock.Millis) bool {
	return s.failedPolls >= unreachablePolls && now-s.firstFailedPollAt >= unreachableMS
}

// FailedPolls returns the number of consecutive failed polls.
func (s *Supervisor) FailedPolls() int {
	return s.failedPolls
}
