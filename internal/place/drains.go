package place

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// SetDrainedZones puts a set of drained zones in force. Tasks that run in these zones go on. Jobs
// that have not started and could only run there are refused at once: a drain lasts longer than
// any of them may wait.
func (s *Scheduler) SetDrainedZones(d zone.Drains, now clock.Millis) {
	s.drains = d
	for _, w := range s.Workers {
		w.ZoneDrained = d.Contains(w.Zone)
	}
	for _, j := range append([]*Job(nil), s.jobsToPlace...) {
		if !j.Started && s.onlyInDrainedZones(j, now) {
			s.finish(j, VerdictRefused, ReasonZonesDrained, now)
		}
	}
	s.schedule(now)
}

// onlyInDrainedZones reports whether a step of j fits on workers in drained zones only. Workers that
// are not known yet after a start of the entry may be in other zones, and those that are not described
// may fit.
func (s *Scheduler) onlyInDrainedZones(j *Job, now clock.Millis) bool {
	if len(s.drains.Zones) == 0 || s.awaitsWorkers(j, now) {
		return false
	}
	for _, st := range j.Spec.Steps {
		drained, other := false, false
		for _, w := range s.Workers {
			switch {
			case w.awaitsDescription(now):
				other = true
			case w.fitsWhenIdle(j.Queue.Fleet, st.Label, st.Size):
				drained, other = drained || w.ZoneDrained, other || !w.ZoneDrained
			}
		}
		if drained && !other {
			return true
		}
	}
	return false
}

// WorkersInDrainedZones returns the number of known workers in drained zones.
func (s *Scheduler) WorkersInDrainedZones() int {
	n := 0
	for _, w := range s.Workers {
		if w.ZoneDrained {
			n++
		}
	}
	return n
}
