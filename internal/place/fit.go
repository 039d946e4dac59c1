package place

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

const (
	// drawnCandidates is the number of workers with about equal ends that are compared.
	drawnCandidates = 4
	// packingRatio is how many times larger than a task another one has to be for the smaller one
	// to be packed.
	packingRatio = 2
	// largestMemoryMS is how long the largest task that arrived is remembered.
	largestMemoryMS clock.Millis = 5000
)

// largestSize is the processor time that the largest of the last tasks of a fleet needs.
type largestSize struct {
	milliCPU int64
	at       clock.Millis
}

// recordSizes records the sizes of the tasks of a job that arrives.
func (s *Scheduler) recordSizes(j *Job, now clock.Millis) {
	known := s.largest[j.Queue.Fleet]
	for _, st := range j.Spec.Steps {
		if st.Size.MilliCPU >= known.milliCPU || now-known.at > largestMemoryMS {
			known = largestSize{milliCPU: st.Size.MilliCPU, at: now}
		}
	}
	s.largest[j.Queue.Fleet] = known
}

// tieBreak rates a worker for a task; of workers on which the task ends at about the same time, the
// one with the lowest rating gets it.
type tieBreak func(w *Worker) float64

// tieBreakFor returns the tie break for a task of the given size. Workers are filled evenly, since
// the emptier of two is less likely to be full by the time at which the task arrives. But while
// much larger tasks arrive as well, small ones go to the fuller worker, so that a larger one finds
// a gap on an emptier one. Even then the last gap of a worker is filled last, since other entries
// choose it as well.
func (s *Scheduler) tieBreakFor(fleet string, size jobs.Size, now clock.Millis) tieBreak {
	largest := s.largest[fleet]
	pack := s.LookAhead && now-largest.at <= largestMemoryMS && largest.milliCPU >= packingRatio*size.MilliCPU
	return func(w *Worker) float64 {
		if w.Capacity.MilliCPU < 1 {
			return 1
		}
		leftCPU := w.Free().MilliCPU - size.MilliCPU
		left := float64(leftCPU) / float64(w.Capacity.MilliCPU)
		switch {
		case !pack:
			return 1 - left
		case leftCPU < size.MilliCPU:
			return 1 + left
		default:
			return left
		}
	}
}

// pickCandidate returns the best of a few candidates that it draws at random, or none if there are
// none. Entries decide at the same time from reports that are out of date: if all chose the worker
// that was best in these, it would get the tasks of all of them.
func (s *Scheduler) pickCandidate(candidates []candidate, rate tieBreak) candidate {
	if len(candidates) == 0 {
		return candidate{}
	}
	best := candidates[s.random.IntN(len(candidates))]
	for range drawnCandidates - 1 {
		other := candidates[s.random.IntN(len(candidates))]
		if rate(other.worker) < rate(best.worker) {
			best = other
		}
	}
	return best
}
