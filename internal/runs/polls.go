package runs

import (
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

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
)

// refusalOutcomes maps the outcomes of a start that the worker did not execute to those of the
// run.
var refusalOutcomes = map[StartOutcome]jobs.Outcome{
	StartRefused: jobs.OutcomeRefused, StartNoCapacity: jobs.OutcomeNotRun, StartUnhealthy: jobs.OutcomeNotRun,
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
		if run.UnansweredStarts < maxUnansweredStarts && !run.Stopping && !s.HasRunningOrphans() {
			// Starts are idempotent: the worker confirms a run that it already has and refuses
			// one that has ended.
			s.sendStart(run, now)
			return
		}
		s.markUnknown(run)
	default:
		if outcome == StartUnhealthy {
			s.recordFailure(ref.Job, now)
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

// markUnknown marks a run that the worker may or may not have as Unknown and to be stopped:
// the expiry of the lease would resolve its state as well, but a stop does so sooner.
func (s *Supervisor) markUnknown(run *Run) {
	run.Status = Unknown
	run.Stopping = true
}

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
	// SentEpoch is the epoch whose fencing token the poll carried. Once it is answered, the
	// worker executes no call of an earlier epoch.
	SentEpoch int64
	// Epoch is the worker's epoch at the answer; zero if not reported.
	Epoch   int64
	Running []RunID
	Ended   []EndedRun
	// MalformedRows counts the rows of the answer that could not be decoded.
	MalformedRows int
}

// HandlePoll updates the worker and all runs from an answered poll. It ignores the answer
// of an earlier epoch.
func (s *Supervisor) HandlePoll(p PollResult, now clock.Millis) {
	if !s.confirm(p, now) || !s.acceptEpoch(p, now) {
		return
	}
	s.updateOrphans(p)
	s.failedPolls = 0
	s.lastPollAt = now
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
	s.stopOrphans(now)
	s.startQueued(now)
}

// Epoch returns the worker's present epoch, or zero without a worker.
func (s *Supervisor) Epoch() int64 {
	if s.Worker == nil {
		return 0
	}
	return s.Worker.Epoch
}

// acceptEpoch reports whether a poll belongs to the worker's present epoch or to another one
// that has replaced it. The answer to a poll shows
// which epoch is at the worker's address, even if its number is lower: epochs are times of
// day, and the clock of a host may step back between two starts of its worker. An answer to
// a poll that was sent before the present epoch was known may be out of date, and an epoch
// that was replaced once does not return.
func (s *Supervisor) acceptEpoch(p PollResult, now clock.Millis) bool {
	if s.Worker == nil || p.Epoch == 0 || p.Epoch == s.Worker.Epoch {
		return true
	}
	if p.Epoch < s.Worker.Epoch && p.SentAt <= s.epochSince || slices.Contains(s.retiredEpochs, p.Epoch) {
		return false
	}
	s.retireEpoch(now)
	s.Worker.Epoch, s.Worker.Token = p.Epoch, s.nextToken(p.Epoch)
	s.announced = -1
	s.startNewEpoch()
	return true
}

// nextToken returns the fencing token of a new epoch.
func (s *Supervisor) nextToken(epoch int64) int64 {
	s.token = max(epoch, s.token+1)
	return s.token
}

// HandleFencedPoll raises the token by minTokenStep or more, up to maxToken, below which every
// integer has an exact floating-point number.
const (
	minTokenStep = 1000
	maxToken     = 1 << 52
)

// HandleFencedPoll raises the fencing token after the worker has refused a poll for it: an
// earlier process of this agent has used a higher one. The steps double, so that few polls
// reach any token that was a time of day.
func (s *Supervisor) HandleFencedPoll(token int64) {
	if s.Worker == nil || s.Worker.Token != token {
		return // it was refused because a newer token is in use
	}
	s.token = min(s.token+max(minTokenStep, s.token-s.Worker.Epoch), maxToken)
	s.Worker.Token = s.token
}

// maxRetiredEpochs is the number of past epochs whose late announcements are recognized.
const maxRetiredEpochs = 16

// retireEpoch records that another epoch replaces the worker's present one.
func (s *Supervisor) retireEpoch(now clock.Millis) {
	s.epochSince = now
	s.retiredEpochs = append(s.retiredEpochs, s.Worker.Epoch)
	if len(s.retiredEpochs) > maxRetiredEpochs {
		s.retiredEpochs = s.retiredEpochs[1:]
	}
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

// resolveEarlierEpoch ends an unlisted run of an earlier epoch if the poll carried the present
// one: the worker does not have the run and will not execute a late start of it. Until then the
// worker may still accept the start, although it has started anew.
func (s *Supervisor) resolveEarlierEpoch(p PollResult, run *Run, now clock.Millis) {
	if p.SentEpoch == s.Worker.Epoch {
		s.lose(run, LossNewEpoch, false, now)
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
	if !s.unresponsive(now) {
		return
	}
	if !s.Unreachable {
		s.Unreachable = true
		s.NotifyNow = true
		s.returnQueued(now)
	}
	leaseExpiry := s.renewedAt + clock.Millis(float64(leaseMS)*maxClockDrift) + expiryMarginMS
	if now <= leaseExpiry {
		return
	}
	for _, run := range s.sortedRuns() {
		// A run that started after the last renewal gets the same time, counted from its start.
		if run.Status != Queued && run.Status != Starting && now > run.StartedAt+leaseExpiry-s.renewedAt {
			s.lose(run, LossLeaseExpired, true, now)
		}
	}
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

// unresponsive reports whether so many polls have failed, over so long a time, that the
// worker counts as unreachable.
func (s *Supervisor) unresponsive(now clock.Millis) bool {
	return s.failedPolls >= unreachablePolls && now-s.firstFailedPollAt >= unreachableMS
}

// FailedPolls returns the number of consecutive failed polls.
func (s *Supervisor) FailedPolls() int {
	return s.failedPolls
}
