package runs

import (
	"cmp"
	"maps"
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// orphanedRun is a run at the worker that the agent does not hold: an earlier agent process
// started it. During the claim window an entry claims it by requesting a run with the same task
// and number. After that it is stopped.
type orphanedRun struct {
	// HasEnded is set once the run has ended; Outcome is valid from then on. Ended orphans are
	// kept until the claim window closes.
	HasEnded bool
	Outcome  jobs.Outcome
	// StopSentAt is when a stop was last sent to the worker; zero while the run may be claimed.
	StopSentAt clock.Millis
}

// claimWindowMS is how long entries may claim the runs of an earlier agent process. It is
// longer than a new process needs to connect to the entries, and shorter than the leases
// that the earlier process left. Leases are not renewed meanwhile, since the entry that
// requested a run may be gone and its callers about to resubmit. For the same reason they are
// not renewed after it until the orphaned runs have ended.
const claimWindowMS clock.Millis = 250

// Restore sets the worker that an earlier agent process recorded in the store. If one has
// already announced itself and is unconfirmed, the recorded one is kept as if it had announced
// itself too. A confirmed worker without a description takes that of a record of its life. The worker
// accepts no runs until a poll has confirmed its epoch and each run that
// it still executes has been claimed by an entry or, once claimWindowMS have passed, been sent a
// stop.
func (s *Supervisor) Restore(w Worker) {
	m := Announcement{Worker: w, Sequence: recordSequence}
	if s.Confirmed() {
		if s.IsUndescribed() && w.Identity() == s.Worker.Identity() {
			s.update(m, s.lastPollAt)
		}
		return
	}
	if s.Worker != nil {
		s.await(m, 0)
		return
	}
	s.introduce(m, 0)
}

// Confirmed reports whether there is a worker whose epoch and runs a poll has confirmed.
func (s *Supervisor) Confirmed() bool {
	return s.Worker != nil && !s.unconfirmed
}

// confirm compares the epoch of a worker's first poll, if it names one, with the worker's record
// or announcement, and opens the claim window if they agree. Otherwise it drops the worker for the
// sender of a pending announcement, which the same poll may confirm. Without one the next
// announcement describes the new epoch. It reports whether the poll can be used.
func (s *Supervisor) confirm(p PollResult, now clock.Millis) bool {
	if !s.unconfirmed {
		return true
	}
	if p.Epoch != 0 && p.Epoch != s.Worker.Epoch {
		proved := Identity{ID: s.Worker.ID, Epoch: p.Epoch}
		s.introducePending(p.Epoch, now)
		if s.Worker == nil || s.Worker.Identity() != proved {
			return false
		}
	}
	s.unconfirmed = false
	s.NotifyNow = true
	s.claimUntil = now + claimWindowMS
	if s.announced < 0 {
		s.announcedAt = now
	}
	return true
}

// updateOrphans replaces the running orphans by the runs that a poll lists and the agent does
// not hold, and records those that have ended while they may be claimed.
func (s *Supervisor) updateOrphans(p PollResult) {
	orphaned := map[RunID]orphanedRun{}
	for _, id := range p.Running {
		if s.findRun(id.Ref, id.Number) == nil {
			orphaned[id] = s.orphaned[id]
		}
	}
	for id, o := range s.orphaned {
		if o.HasEnded {
			orphaned[id] = o
		}
	}
	hadRunning := s.HasRunningOrphans()
	s.orphaned = orphaned
	s.NotifyNow = s.NotifyNow || s.HasRunningOrphans() != hadRunning
	if s.claimUntil == 0 {
		return
	}
	for _, e := range p.Ended {
		if s.findRun(e.Ref, e.Number) == nil {
			s.orphaned[RunID{e.Ref, e.Number}] = orphanedRun{HasEnded: true, Outcome: e.Outcome}
		}
	}
}

// Orphans returns the runs that entries may claim, running and ended.
func (s *Supervisor) Orphans() (running []RunID, ended []EndedRun) {
	if s.claimUntil == 0 {
		return nil, nil
	}
	for id, o := range s.orphaned {
		if o.HasEnded {
			ended = append(ended, EndedRun{id.Ref, id.Number, o.Outcome})
		} else {
			running = append(running, id)
		}
	}
	slices.SortFunc(running, compareRunIDs)
	slices.SortFunc(ended, func(a, b EndedRun) int { return jobs.CompareRefs(a.Ref, b.Ref) })
	return running, ended
}

// claim assigns the orphaned run that has the task and number of run to the entry of run.
// It reports whether there was such an orphan. After the claim window the orphan is being stopped,
// and the entry has to wait for its end.
func (s *Supervisor) claim(run Run, now clock.Millis) bool {
	id := RunID{run.Ref, run.Number}
	orphan, ok := s.orphaned[id]
	if !ok {
		return false
	}
	delete(s.orphaned, id)
	run.Status = Running
	run.StartedAt = now
	run.Epoch = s.Worker.Epoch
	run.Claimed = true
	run.ClaimedLate = s.claimUntil == 0
	run.Stopping = run.ClaimedLate
	run.StopRequestedAt = s.contactOf(&run)
	run.StopSentAt = orphan.StopSentAt
	s.runs[runKey{run.Ref, run.Entry}] = &run
	s.used = s.used.Plus(run.Size)
	if orphan.HasEnded {
		s.end(&run, orphan.Outcome, 0, false, now)
	}
	return true
}

// expireClaims closes the claim window once it is over. Orphans that have ended are forgotten.
func (s *Supervisor) expireClaims(now clock.Millis) {
	if s.claimUntil == 0 || now < s.claimUntil {
		return
	}
	s.claimUntil = 0
	maps.DeleteFunc(s.orphaned, func(_ RunID, o orphanedRun) bool { return o.HasEnded })
	s.NotifyNow = true
}

// stopOrphans sends stops to the running orphans that no entry may claim any more, and repeats
// them until polls no longer list the runs.
func (s *Supervisor) stopOrphans(now clock.Millis) {
	if s.claimUntil > 0 {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(s.orphaned), compareRunIDs) {
		o := s.orphaned[id]
		if o.StopSentAt > 0 && now-o.StopSentAt < stopRetryMS {
			continue
		}
		o.StopSentAt = now
		s.orphaned[id] = o
		s.actions = append(s.actions, Stop{Run: Run{Ref: id.Ref, Number: id.Number}})
	}
}

func compareRunIDs(a, b RunID) int {
	return cmp.Or(jobs.CompareRefs(a.Ref, b.Ref), cmp.Compare(a.Number, b.Number))
}

// HasRunningOrphans reports whether any orphaned run that no entry claimed in time has not ended.
// While there is one, the worker accepts no runs and its leases are not renewed: the capacity that
// the orphan uses is unknown, a start or a renewal would extend its lease, and its caller may have
// resubmitted the job.
func (s *Supervisor) HasRunningOrphans() bool {
	for _, o := range s.orphaned {
		if !o.HasEnded {
			return true
		}
	}
	for _, run := range s.runs {
		if run.ClaimedLate {
			return true
		}
	}
	return false
}
