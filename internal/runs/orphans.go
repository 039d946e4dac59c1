package runs

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// orphanedRun is a run that an earlier agent process started and that no entry has
// claimed yet.
type orphanedRun struct {
	// HasEnded is set once the run has ended; Outcome is valid from then on.
	HasEnded bool
	Outcome  jobs.Outcome
}

// claimWindowMS is how long entries may claim the runs of an earlier agent process. It is
// longer than a new process needs to connect to the entries, and shorter than the leases
// that the earlier process left. Leases are not renewed meanwhile, since the entry that
// requested a run may be gone and its callers about to resubmit.
const claimWindowMS clock.Millis = 250

// Restore sets the worker from the record of an earlier agent process. The worker
// accepts no runs until a poll has confirmed that its epoch is unchanged; the runs that
// it then has are held for the entries that requested them.
func (s *Supervisor) Restore(w Worker) {
	if s.Worker != nil {
		return
	}
	s.Worker = &w
	s.restored = true
}

// Confirmed reports whether the worker is known, and not only from a record that no poll
// has confirmed yet.
func (s *Supervisor) Confirmed() bool {
	return s.Worker != nil && !s.restored
}

// confirm checks the first poll of a restored worker against its record. It reports
// whether the poll can be used.
func (s *Supervisor) confirm(p PollResult, now clock.Millis) bool {
	if !s.restored {
		return true
	}
	s.restored = false
	s.NotifyNow = true
	if p.Epoch != s.Worker.Epoch {
		s.Worker = nil
		return false
	}
	s.claimUntil = now + claimWindowMS
	return true
}

// recordOrphans records the runs in a poll result that an earlier agent process started.
func (s *Supervisor) recordOrphans(p PollResult) {
	for _, id := range p.Running {
		if s.findRun(id.Ref, id.Number) == nil {
			s.orphaned[id] = orphanedRun{}
		}
	}
	for _, e := range p.Ended {
		if s.findRun(e.Ref, e.Number) == nil {
			s.orphaned[RunID{e.Ref, e.Number}] = orphanedRun{HasEnded: true, Outcome: e.Outcome}
		}
	}
}

// Orphans returns the unclaimed runs of an earlier agent process, running and ended.
func (s *Supervisor) Orphans() (running []RunID, ended []EndedRun) {
	for id, o := range s.orphaned {
		if o.HasEnded {
			ended = append(ended, EndedRun{id.Ref, id.Number, o.Outcome})
		} else {
			running = append(running, id)
		}
	}
	sort.Slice(running, func(i, j int) bool { return refBefore(running[i].Ref, running[j].Ref) })
	sort.Slice(ended, func(i, j int) bool { return refBefore(ended[i].Ref, ended[j].Ref) })
	return running, ended
}

// claim assigns the orphaned run that has the task and number of run to the entry of run.
// It reports whether there was such an orphan.
func (s *Supervisor) claim(run Run, now clock.Millis) bool {
	id := RunID{run.Ref, run.Number}
	orphan, ok := s.orphaned[id]
	if !ok {
		return false
	}
	delete(s.orphaned, id)
	run.Status = Running
	run.StartedAt = now
	run.Claimed = true
	s.runs[runKey{run.Ref, run.Entry}] = &run
	s.used = s.used.Plus(run.Size)
	if orphan.HasEnded {
		s.end(&run, orphan.Outcome, 0, false, now)
	}
	return true
}

// expireClaims stops the orphaned runs that no entry has claimed by the end of the claim
// window.
func (s *Supervisor) expireClaims(now clock.Millis) {
	if s.claimUntil == 0 || now < s.claimUntil {
		return
	}
	s.claimUntil = 0
	running, _ := s.Orphans()
	for _, id := range running {
		s.actions = append(s.actions, Stop{Run: Run{Ref: id.Ref, Number: id.Number}})
	}
	s.orphaned = map[RunID]orphanedRun{}
	s.NotifyNow = true
}

// HasRunningOrphans reports whether running orphans are unclaimed. Until they are claimed,
// the capacity that they use is unknown.
func (s *Supervisor) HasRunningOrphans() bool {
	for _, o := range s.orphaned {
		if !o.HasEnded {
			return true
		}
	}
	return false
}
