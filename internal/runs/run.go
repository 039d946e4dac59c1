package runs

import (
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Worker is what a worker said of itself.
type Worker struct {
	ID string
	// Epoch is new at each start of the worker; what an earlier life ran is gone.
	Epoch    int64
	Fleet    string
	Labels   []string
	Capacity jobs.Size
	// Draining workers take nothing new.
	Draining bool
}

// SameExceptDraining reports whether o is the same worker with the same room.
func (w Worker) SameExceptDraining(o Worker) bool {
	return w.ID == o.ID && w.Epoch == o.Epoch && w.Fleet == o.Fleet && w.Capacity == o.Capacity &&
		slices.Equal(w.Labels, o.Labels)
}

// Status is how far a run has come.
type Status int

// The states of a run, in their order.
const (
	// Queued: waits for room here.
	Queued Status = iota
	// Starting: the worker was asked and has not answered.
	Starting
	// Unknown: the start got no answer; the worker may or may not run it.
	Unknown
	// Running: the worker said so.
	Running
)

// Run is one run of a task that the agent holds.
type Run struct {
	Ref jobs.TaskRef
	// Number grows with each run of the task.
	Number int64
	// Entry is the incarnation of the entry that asked.
	Entry   string
	Queue   string
	Payload string
	Size    jobs.Size
	// ExpectedMS is the run time on a worker of speed 1.
	ExpectedMS clock.Millis
	// LatestStart orders waiting runs, lowest first.
	LatestStart int64
	Status      Status
	// Stopping is set once the run is to end; a queued run is dropped instead.
	Stopping bool
	// StopSentAt is when the worker was last asked to stop it, StopDoneAt when it
	// first answered: a run that is not there by then never will be.
	StopSentAt  clock.Millis
	StopAckedAt clock.Millis
	QueuedAt    clock.Millis
	StartedAt   clock.Millis
	// LeaseUntil is the end of the start's own lease, on the worker's clock; with
	// several starts, of the last one.
	LeaseUntil clock.Millis
	// UnansweredStarts counts the starts of this run that got no answer.
	UnansweredStarts int
	// MissingSince is when a look at the worker first lacked a running run.
	MissingSince clock.Millis
	// Claimed is set for a run that an earlier process started, at a time unknown.
	Claimed bool
}

// key names a run; two entries may hold runs of the same task for a moment.
type key struct {
	name  jobs.TaskRef
	entry string
}

// RunEnd tells an entry the end of a run.
type RunEnd struct {
	Ref     jobs.TaskRef
	Number  int64
	Outcome jobs.Outcome
	RanMS   clock.Millis
	// WorkerFault is set when the worker is to blame.
	WorkerFault bool
}

// Action is something that the agent does for the core.
type Action interface{ action() }

// Start asks the worker to start a run.
type Start struct{ Run Run }

// Stop asks the worker to stop a run.
type Stop struct{ Run Run }

// Report tells an entry the end of a run.
type Report struct {
	Entry string
	End   RunEnd
}

func (Start) action()  {}
func (Stop) action()   {}
func (Report) action() {}
