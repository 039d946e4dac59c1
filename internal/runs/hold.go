package runs

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// An entry may request that a run be held, that is, queued for longer than maxQueuedMS, until
// capacity that is predicted to become free is there. Runs with a later latest start don't take that
// capacity meanwhile: startQueued stops at the first run that does not fit, and Free deducts the
// queued runs. A run that has not started by the end of the hold is returned to its entry as not
// run, which bounds the cost of a failed prediction.

// MaxHoldMS is the longest time for which a run may be held, whatever its entry requests.
const MaxHoldMS clock.Millis = 200

// maxQueueMS returns how long the run may be queued before it is returned to its entry.
func (r *Run) maxQueueMS() clock.Millis {
	return maxQueuedMS + min(max(r.HoldMS, 0), MaxHoldMS)
}

// HeldForCapacity returns the number of queued runs whose entries requested that they be held.
func (s *Supervisor) HeldForCapacity() int {
	n := 0
	for _, run := range s.runs {
		if run.Status == Queued && run.HoldMS > 0 {
			n++
		}
	}
	return n
}
