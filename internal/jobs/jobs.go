// Package jobs defines the types that describe sized work: jobs, their steps and tasks,
// resource sizes, and the outcomes of runs.
package jobs

import (
	"cmp"
	"fmt"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// ID identifies a job. The caller chooses it, and it is unique among all jobs.
type ID string

// Size is the amount of resources that a task needs or a worker has.
type Size struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu"`
	MemoryMB int64 `json:"memory_mb"`
	// Accelerators counts whole devices.
	Accelerators int64 `json:"accelerators"`
}

// Plus returns s+o.
func (s Size) Plus(o Size) Size {
	return Size{s.MilliCPU + o.MilliCPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns s-o. Fields of the result may be negative.
func (s Size) Minus(o Size) Size {
	return Size{s.MilliCPU - o.MilliCPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// maxAmount is above the amount of any resource that a worker has.
const maxAmount = 1 << 40

// Valid reports whether s can be the capacity of a worker. No sum over the workers of a fleet
// overflows then.
func (s Size) Valid() bool {
	return min(s.MilliCPU, s.MemoryMB, s.Accelerators) >= 0 && max(s.MilliCPU, s.MemoryMB, s.Accelerators) < maxAmount
}

// FitsIn reports whether no resource of s exceeds that of o.
func (s Size) FitsIn(o Size) bool {
	return s.MilliCPU <= o.MilliCPU && s.MemoryMB <= o.MemoryMB && s.Accelerators <= o.Accelerators
}

// TaskID identifies a task within its job.
type TaskID struct {
	Step  int
	Index int
}

// String returns the form used in logs, "step.index".
func (t TaskID) String() string {
	return fmt.Sprintf("%d.%d", t.Step, t.Index)
}

// TaskRef identifies a task among the tasks of all jobs.
type TaskRef struct {
	Job  ID
	Task TaskID
}

// CompareRefs orders tasks by job, step and index.
func CompareRefs(a, b TaskRef) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index))
}

// Step is a group of identical tasks of a job.
type Step struct {
	// Count is at least one.
	Count int
	// Size is the amount of resources that each task needs.
	Size Size
	// EstimateMS is the caller's estimate of the run time of one task.
	EstimateMS clock.Millis
	// After lists the indexes of earlier steps that must be complete before this step
	// starts.
	After []int
	// Label is a label that the worker must have; empty means any worker.
	Label string
}

// Spec is the specification of a job as submitted by its caller.
type Spec struct {
	ID ID
	// Queue is the name of the contract's queue that applies to the job.
	Queue string
	// Payload is opaque to the dispatcher, which passes it to the worker with each
	// task.
	Payload string
	Steps   []Step
}

// TaskCount returns the number of tasks of all steps.
func (s Spec) TaskCount() int {
	n := 0
	for _, step := range s.Steps {
		n += step.Count
	}
	return n
}

// DependencyCount returns the number of entries in the dependencies of all steps.
func (s Spec) DependencyCount() int {
	n := 0
	for _, step := range s.Steps {
		n += len(step.After)
	}
	return n
}

// Outcome is how a run of a task ended.
type Outcome int

// The outcomes of a run.
const (
	// OutcomeDone means that the task succeeded.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed means that the run failed, through its own fault or the worker's.
	OutcomeFailed
	// OutcomeStopped means that the run was stopped on request.
	OutcomeStopped
	// OutcomeLost means that the run's lease expired or its worker disappeared. The run
	// is no longer executing.
	OutcomeLost
	// OutcomeNotRun means that the run was never started and never will be.
	OutcomeNotRun
	// OutcomeRefused means the same as OutcomeNotRun, because the worker refused the start.
	OutcomeRefused
	// OutcomeSuperseded means that the run was stopped, or never started, because another entry has
	// requested a run of the task: the caller has submitted the job again there.
	OutcomeSuperseded
)

var outcomeNames = map[Outcome]string{
	OutcomeDone: "done", OutcomeFailed: "failed", OutcomeStopped: "stopped", OutcomeLost: "lost", OutcomeNotRun: "not_run",
	OutcomeRefused: "refused", OutcomeSuperseded: "superseded",
}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// State is the state of a job as reported to callers.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)
