package place

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// FleetView summarizes what the scheduler knew about a fleet when it decided on a job.
type FleetView struct {
	// JobsToPlace is the number of jobs at this entry that have tasks to be placed, on
	// any fleet.
	JobsToPlace int
	// Workers is the number of workers in the fleet. WorkersWithFreeCPU is how many of
	// them accept tasks and have any processor time free, and WorkersThatFit how many have the
	// capacity for a task of the job's first step.
	Workers            int
	WorkersWithFreeCPU int
	WorkersThatFit     int
	// FreeMilliCPU is the sum of the free processor time of the workers that accept tasks.
	FreeMilliCPU int64
	// OldestReportMS is the age of the oldest report from a worker that is counted in
	// WorkersWithFreeCPU.
	OldestReportMS clock.Millis
}

// fleetView returns the current view of the fleet of a job.
func (s *Scheduler) fleetView(j *Job, now clock.Millis) FleetView {
	v := FleetView{JobsToPlace: len(s.jobsToPlace)}
	for _, w := range s.Workers {
		if w.Fleet != j.Queue.Fleet {
			continue
		}
		v.Workers++
		if !w.hasFreeCPU() {
			continue
		}
		v.WorkersWithFreeCPU++
		v.FreeMilliCPU += w.Free().MilliCPU
		v.OldestReportMS = max(v.OldestReportMS, now-w.ReportedAt)
		if w.acceptsFirstStep(j) {
			v.WorkersThatFit++
		}
	}
	return v
}

// acceptsFirstStep reports whether w may be sent a task of the first step of j now.
func (w *Worker) acceptsFirstStep(j *Job) bool {
	if len(j.Spec.Steps) == 0 {
		return false
	}
	step := j.Spec.Steps[0]
	return w.accepts(j.Queue.Fleet, step.Label, step.Size)
}
