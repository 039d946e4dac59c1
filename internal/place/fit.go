package place

import "github.com/turmericbarrow/turmericbarrow/internal/jobs"

// drawnCandidates is the number of workers with about equal ends that are compared.
const drawnCandidates = 4

// pickCandidate returns the emptiest of a few candidates that it draws at random, or none if
// there are none. Entries decide at the same time from reports that are out of date: if all
// chose the worker that was best in these, it would get the tasks of all of them.
func (s *Scheduler) pickCandidate(candidates []candidate, size jobs.Size) candidate {
	if len(candidates) == 0 {
		return candidate{}
	}
	best := candidates[s.random.IntN(len(candidates))]
	for range drawnCandidates - 1 {
		other := candidates[s.random.IntN(len(candidates))]
		if s.tieBreak(other.worker, size) < s.tieBreak(best.worker, size) {
			best = other
		}
	}
	return best
}

// tieBreak returns the fraction of w's processor capacity in use with the task added;
// the lower one wins. The emptier of two workers is less likely to be full by the time at
// which the task arrives.
func (s *Scheduler) tieBreak(w *Worker, size jobs.Size) float64 {
	if w.Capacity.MilliCPU < 1 {
		return 1
	}
	return 1 - float64(w.Free().MilliCPU-size.MilliCPU)/float64(w.Capacity.MilliCPU)
}
