package runs

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// Epoch returns the worker's present epoch, or zero without a worker.
func (s *Supervisor) Epoch() int64 {
	if s.Worker == nil {
		return 0
	}
	return s.Worker.Epoch
}

// maxRetiredEpochs is the number of past epochs whose late announcements are recognized.
const maxRetiredEpochs = 16

// retireEpoch records that the worker's present epoch has replaced an earlier one.
func (s *Supervisor) retireEpoch(earlier int64, now clock.Millis) {
	s.epochSince = now
	s.retiredEpochs = append(s.retiredEpochs, earlier)
	if len(s.retiredEpochs) > maxRetiredEpochs {
		s.retiredEpochs = s.retiredEpochs[1:]
	}
}

// startNewEpoch makes another life the present one. It has no description until its first
// announcement is applied. startNewEpoch retires the earlier epoch, draws a fencing token for the new
// one, forgets the orphaned runs, and resets the worker's speed and health. The held runs stay until
// a poll resolves them: the new epoch may have accepted a start or a stop that was sent before it
// was known here. Queued ones are returned.
func (s *Supervisor) startNewEpoch(next Identity, now clock.Millis) {
	s.retireEpoch(s.Worker.Epoch, now)
	s.setWorker(Worker{ID: next.ID, Epoch: next.Epoch, Token: s.nextToken(next.Epoch)}, now)
	s.announced, s.announcedClockMS = -1, 0
	s.departureRefuted = false
	for _, run := range s.runs {
		run.StopAckedAt = 0
		run.MissingSince = 0
	}
	s.orphaned, s.claimUntil = map[RunID]orphanedRun{}, 0
	s.grantedUntil = 0
	s.Speed, s.fastLogSpeed = 1, 0
	s.resetHealth()
}

// HasRunsOfEarlierEpoch reports whether the worker may or may not have some runs because it
// started anew. The next poll that carries the present epoch resolves them.
func (s *Supervisor) HasRunsOfEarlierEpoch() bool {
	for _, run := range s.runs {
		if s.isOfEarlierEpoch(run) {
			return true
		}
	}
	return false
}

// isOfEarlierEpoch reports whether a run may be at the worker by a start that names an earlier
// epoch, and no poll has listed it in the present one.
func (s *Supervisor) isOfEarlierEpoch(run *Run) bool {
	return run.Status != Queued && run.Epoch != s.Worker.Epoch
}

// resolveEarlierEpoch ends an unlisted run of an earlier epoch if the poll carried the present
// one: the worker does not have the run and will not execute a late start of it. Until then the
// worker may still accept the start, although it has started anew. A row that could not be decoded
// may be that of the run, so that it then has to be missing for lostAfterMS.
func (s *Supervisor) resolveEarlierEpoch(p PollResult, run *Run, now clock.Millis) {
	if p.SentEpoch != s.Worker.Epoch {
		return
	}
	if run.MissingSince == 0 {
		run.MissingSince = now
	}
	if p.MalformedRows == 0 || now-run.MissingSince > lostAfterMS {
		s.lose(run, LossNewEpoch, false, now)
	}
}

// nextToken returns the fencing token of a new epoch. An epoch that no answer has proved may be any
// number; the tokens stay so far below maxToken that a later process of the agent can reach them.
func (s *Supervisor) nextToken(epoch int64) int64 {
	s.token = max(min(epoch, maxEpochToken), s.token+1)
	return s.token
}

// maxEpochToken is above the epoch of every worker that starts before the year 2109.
const maxEpochToken = 1 << 42

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
