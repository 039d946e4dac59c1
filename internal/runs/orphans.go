package runs

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// foundRun is a run that an earlier process beside the worker started, and that no
// entry has claimed yet.
type foundRun struct {
	// HasEnded is set once the run has ended.
	HasEnded bool
	Outcome  jobs.Outcome
}

// claimMS is how long entries may claim what an earlier process started: above the time
// that a new process needs to be linked to them, and within the leases that the earlier
// process left. Leases are not renewed meanwhile, since the entry that asked for a run
// may be gone and its callers about to return.
const claimMS clock.Millis = 250

// Restore takes the worker from a record of an earlier process beside it. It takes
// nothing until a look has shown that the worker's life is still the same; what it
// runs then is held for the entries that asked for it.
func (r *Supervisor) Restore(w Worker) {
	if r.Worker != nil {
		return
	}
	r.Worker = &w
	r.restored = true
}

// Confirmed reports whether the worker is known to be the one that Worker names.
func (r *Supervisor) Confirmed() bool {
	return r.Worker != nil && !r.restored
}

// confirm takes the first look at a restored worker; it reports whether the look can
// be used.
func (r *Supervisor) confirm(l PollResult, now clock.Millis) bool {
	if !r.restored {
		return true
	}
	r.restored = false
	r.NotifyNow = true
	if l.Epoch != r.Worker.Epoch {
		r.Worker = nil
		return false
	}
	r.claimUntil = now + claimMS
	return true
}

// keepFound remembers what a look lists of an earlier process.
func (r *Supervisor) keepFound(l PollResult) {
	for _, s := range l.Running {
		if r.find(s.Ref, s.Number) == nil {
			r.found[s] = foundRun{}
		}
	}
	for _, e := range l.Ended {
		if r.find(e.Ref, e.Number) == nil {
			r.found[RunID{e.Ref, e.Number}] = foundRun{HasEnded: true, Outcome: e.Outcome}
		}
	}
}

// Orphans returns what an earlier process left: the runs that go on, and the ends.
func (r *Supervisor) Orphans() (running []RunID, ended []EndedRun) {
	for s, f := range r.found {
		if f.HasEnded {
			ended = append(ended, EndedRun{s.Ref, s.Number, f.Outcome})
		} else {
			running = append(running, s)
		}
	}
	sort.Slice(running, func(i, j int) bool { return nameBefore(running[i].Ref, running[j].Ref) })
	sort.Slice(ended, func(i, j int) bool { return nameBefore(ended[i].Ref, ended[j].Ref) })
	return running, ended
}

// claim makes a run of an earlier process one of this room's; it reports whether there
// is such a run.
func (r *Supervisor) claim(run Run, now clock.Millis) bool {
	s := RunID{run.Ref, run.Number}
	f, ok := r.found[s]
	if !ok {
		return false
	}
	delete(r.found, s)
	run.Status = Running
	run.StartedAt = now
	run.Claimed = true
	r.runs[key{run.Ref, run.Entry}] = &run
	r.used = r.used.Plus(run.Size)
	if f.HasEnded {
		r.end(&run, f.Outcome, 0, false, now)
	}
	return true
}

// endClaims stops what nobody claimed in time.
func (r *Supervisor) endClaims(now clock.Millis) {
	if r.claimUntil == 0 || now < r.claimUntil {
		return
	}
	r.claimUntil = 0
	running, _ := r.Orphans()
	for _, s := range running {
		r.actions = append(r.actions, Stop{Run: Run{Ref: s.Ref, Number: s.Number}})
	}
	r.found = map[RunID]foundRun{}
	r.NotifyNow = true
}

// AwaitingClaims reports whether runs of an earlier process wait to be claimed; how much
// room they take is not known until then.
func (r *Supervisor) AwaitingClaims() bool {
	for _, f := range r.found {
		if !f.HasEnded {
			return true
		}
	}
	return false
}
