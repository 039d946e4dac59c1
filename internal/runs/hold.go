package runs

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// MaxHoldMS is the longest time for which a run may be held, whatever its entry asks for.
const MaxHoldMS clock.Millis = 200

// A run that its entry asks to hold waits here for capacity that is predicted to become free.
// While it is queued, runs with a later latest start do not take that capacity: startQueued stops
// at the first run that does not fit, and Free counts the queued runs. A run that has not started
// by the end of the hold is returned to its entry, so that a failed prediction costs no more.

// maxQueueMS returns how long the run may be queued before it is returned to its entry.
func (r *Run) maxQueueMS() clock.Millis {
	return maxQueuedMS + min(max(r.HoldMS, 0), MaxHoldMS)
}

// HeldForCapacity returns the number of queued runs whose entries asked to hold them.
func (s *Supervisor) HeldForCapacity() int {
	n := 0
	for _, run := range s.runs {
		if run.Status == Queued && run.HoldMS > 0 {
			n++
		}
	}
	return n
}
