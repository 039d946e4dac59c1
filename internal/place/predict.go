package place

import (
	"math"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

const (
	// minLearningRate is the lowest weight of a new run time in a queue's mean.
	minLearningRate = 0.04
	// estimateWeight is the weight of the caller's estimate in a prediction.
	estimateWeight = 0.5
)

// queueStats holds statistics of the tasks of one queue.
type queueStats struct {
	// meanLogWork is the running mean of the logarithm of a task's work in milliseconds
	// on a worker of speed 1.
	meanLogWork float64
	// count is the number of tasks that meanLogWork covers.
	count int
}

// predict returns the predicted run time on a worker of speed 1. It combines estimate, the
// sum of the estimates of a job's steps, with the mean run time of the queue's past tasks,
// since either alone is far off and their combination is closer.
func (s *Scheduler) predict(queue string, estimate clock.Millis) clock.Millis {
	qs := s.stats[queue]
	e := math.Log(float64(max(estimate, 1)))
	if qs == nil || qs.count == 0 {
		return max(estimate, 1)
	}
	return clock.Millis(math.Exp(estimateWeight*e+(1-estimateWeight)*qs.meanLogWork)) + 1
}

// recordWork adds the run time of a successful task, in milliseconds on a worker of
// speed 1, to the statistics of its queue.
func (s *Scheduler) recordWork(queue string, work float64) {
	if work < 1 {
		return
	}
	qs := s.stats[queue]
	if qs == nil {
		qs = &queueStats{}
		s.stats[queue] = qs
	}
	qs.count++
	learningRate := max(minLearningRate, 1/float64(qs.count))
	qs.meanLogWork += learningRate * (math.Log(work) - qs.meanLogWork)
}

// fastestSpeed returns the highest speed among the usable workers of a fleet that are
// not on probation, or 1 if there are none.
func (s *Scheduler) fastestSpeed(fleet string) float64 {
	best := 0.0
	for _, w := range s.Workers {
		if w.Fleet == fleet && w.usable() && !w.Probation {
			best = max(best, w.Speed)
		}
	}
	if best == 0 {
		return 1
	}
	return best
}
