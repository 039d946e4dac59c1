package place

import (
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Free capacity that is spread over many workers is of no use to a large task: smaller tasks and
// other entries take whatever becomes free on one worker. Look-ahead therefore sends a large task
// that waits to the worker on which it is predicted to end first, before that worker has capacity
// for it. The agent holds the task, and deducts it from the free capacity that it reports to all
// entries, until the task fits or the prediction has failed. See docs/design/look-ahead.md.

// Release is capacity that the agent of a worker predicts to become free.
type Release struct {
	At   clock.Millis
	Size jobs.Size
}

const (
	// minReservedFraction is the fraction of a worker's processor capacity that a task needs at
	// least for capacity to be reserved for it. Smaller ones find gaps.
	minReservedFraction = 0.2
	// minFreeFraction is the fraction of the fleet's processor capacity that has to be free. If less
	// is free, all jobs are short of capacity, and a worker that is kept for one task costs others
	// more than it gains.
	minFreeFraction = 0.08
	// maxReservations is the number of tasks of this entry for which capacity may be reserved at
	// the same time.
	maxReservations = 4
	// planIntervalMS is the shortest interval between two passes over the jobs that wait: schedule is
	// called for each end of a run and each report.
	planIntervalMS clock.Millis = 2
	// holdMarginMS is how much longer than predicted a task is held, beside the few milliseconds for
	// which an agent queues any task.
	holdMarginMS clock.Millis = 5
)

// reservations are the reservations of this entry.
type reservations struct {
	// holdsUntil holds the times until which agents were asked to hold tasks, in no order.
	holdsUntil []clock.Millis
	counts     ReservationCounts
	// plannedAt is when reservations were last planned.
	plannedAt clock.Millis
}

// ReservationCounts counts reservations. Made counts the tasks that were sent ahead, and Failed those
// of them that were returned because the capacity did not become free.
type ReservationCounts struct {
	Made   int
	Failed int
}

// ReservationCounts returns the reservations since the start.
func (s *Scheduler) ReservationCounts() ReservationCounts {
	return s.reservations.counts
}

// recordReturn counts a reservation as failed if the agent returned the run of t without starting it.
func (r *reservations) recordReturn(t *Task) {
	if t.Held {
		r.counts.Failed++
	}
}

// inForce returns the number of tasks that agents may be holding.
func (r *reservations) inForce(now clock.Millis) int {
	r.holdsUntil = slices.DeleteFunc(r.holdsUntil, func(until clock.Millis) bool { return until <= now })
	return len(r.holdsUntil)
}

// reserveCapacity reserves capacity for the first of the jobs that wait.
func (s *Scheduler) reserveCapacity(now clock.Millis) {
	if !s.LookAhead || now-s.reservations.plannedAt < planIntervalMS {
		return
	}
	s.reservations.plannedAt = now
	for _, j := range s.firstToReserve(now) {
		if s.mayReserve(j) {
			s.placeJob(j, s.chooseReservation, now)
		}
	}
}

// firstToReserve returns the first jobs that have waited and are before their queue deadline, at
// most maxReservations.
func (s *Scheduler) firstToReserve(now clock.Millis) []*Job {
	var first []*Job
	for _, j := range s.jobsToPlace {
		if len(first) == maxReservations {
			break
		}
		if j.ArrivedAt < now && j.group(now) != groupPastQueueDeadline && j.waitingCPU() > 0 {
			first = append(first, j)
		}
	}
	return first
}

// waitingCPU returns the processor time that the first task of j that can be placed needs; zero if
// there is none.
func (j *Job) waitingCPU() int64 {
	for _, t := range j.Tasks {
		if t.State == TaskWaiting && j.stepReady(t.ID.Step) {
			return j.Spec.Steps[t.ID.Step].Size.MilliCPU
		}
	}
	return 0
}

// mayReserve reports whether capacity may be reserved for j: enough of the fleet is free, and no job
// waits whose smaller tasks could use the gaps that there are.
func (s *Scheduler) mayReserve(j *Job) bool {
	return s.hasEnoughFree(j.Queue.Fleet) && !s.smallerTaskWaits(j)
}

// hasEnoughFree reports whether at least minFreeFraction of the fleet is free.
func (s *Scheduler) hasEnoughFree(fleet string) bool {
	free, capacity := int64(0), int64(0)
	for _, w := range s.Workers {
		if w.Fleet == fleet && w.usable() {
			free += max(w.Free().MilliCPU, 0)
			capacity += w.Capacity.MilliCPU
		}
	}
	return float64(free) >= minFreeFraction*float64(capacity)
}

// smallerTaskWaits reports whether another job on the fleet of j has a waiting task that needs less
// processor time than that of j.
func (s *Scheduler) smallerTaskWaits(j *Job) bool {
	needed := j.waitingCPU()
	for _, o := range s.jobsToPlace {
		if cpu := o.waitingCPU(); o.Queue.Fleet == j.Queue.Fleet && cpu > 0 && cpu < needed {
			return true
		}
	}
	return false
}

// chooseReservation returns the worker on which a task that does not fit now is predicted to end
// first, if that is in time and begins before the job's latest start.
func (s *Scheduler) chooseReservation(j *Job, t *Task, now clock.Millis) (worker *Worker, holdMS clock.Millis) {
	if s.reservations.inForce(now) >= maxReservations {
		return nil, 0
	}
	step := j.Spec.Steps[t.ID.Step]
	bestEnd := float64(j.onTimeUntil())
	for _, w := range s.Workers {
		if !w.mayHold(t) || !w.fitsWhenIdle(j.Queue.Fleet, step.Label, step.Size) || !isLargeOn(w, step.Size) {
			continue
		}
		at, known := w.fitsAt(step.Size, now)
		if !known || at > j.LatestStart {
			continue
		}
		end := s.predictedEnd(j, w, now) + float64(at-now)
		if end < bestEnd || end == bestEnd && worker != nil && w.Agent < worker.Agent {
			worker, holdMS, bestEnd = w, at-now+holdMarginMS, end
		}
	}
	if worker != nil {
		s.reservations.holdsUntil = append(s.reservations.holdsUntil, now+holdMS)
		s.reservations.counts.Made++
	}
	return worker, holdMS
}

// mayHold reports whether t may be sent ahead to w.
func (w *Worker) mayHold(t *Task) bool {
	return w.usable() && !w.Probation && !w.Stalled && w.Agent != t.AvoidAgent
}

// isLargeOn reports whether tasks of the given size are large relative to w.
func isLargeOn(w *Worker, size jobs.Size) bool {
	return float64(size.MilliCPU) >= minReservedFraction*float64(w.Capacity.MilliCPU)
}

// fitsAt returns when a task of the given size is predicted to fit on w. It returns false if that is
// not known. Capacity that should have become free before now may become free at any time.
func (w *Worker) fitsAt(size jobs.Size, now clock.Millis) (at clock.Millis, known bool) {
	free := w.Free()
	at = now
	for _, r := range w.Releases {
		if size.FitsIn(free) {
			break
		}
		free = free.Plus(r.Size)
		at = max(now, r.At)
	}
	return at, size.FitsIn(free)
}
