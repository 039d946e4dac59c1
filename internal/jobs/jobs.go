// Package jobs holds the words of sized work: jobs, steps, tasks and how tasks end.
package jobs

import (
	"fmt"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// ID names a job. It is chosen by the caller and unique among all jobs.
type ID string

// Size is what a task takes of a worker, or what a worker has.
type Size struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu"`
	MemoryMB int64 `json:"memory_mb"`
	// Accelerators are whole devices.
	Accelerators int64 `json:"accelerators"`
}

// Plus returns the sum of both sizes.
func (s Size) Plus(o Size) Size {
	return Size{s.MilliCPU + o.MilliCPU, s.MemoryMB + o.MemoryMB, s.Accelerators + o.Accelerators}
}

// Minus returns s without o; fields may become negative.
func (s Size) Minus(o Size) Size {
	return Size{s.MilliCPU - o.MilliCPU, s.MemoryMB - o.MemoryMB, s.Accelerators - o.Accelerators}
}

// FitsIn reports whether s has room in o.
func (s Size) FitsIn(o Size) bool {
	return s.MilliCPU <= o.MilliCPU && s.MemoryMB <= o.MemoryMB && s.Accelerators <= o.Accelerators
}

// TaskID names one task within its job.
type TaskID struct {
	Step  int
	Index int
}

// String is used in logs.
func (t TaskID) String() string {
	return fmt.Sprintf("%d.%d", t.Step, t.Index)
}

// TaskRef names one task among all jobs.
type TaskRef struct {
	Job  ID
	Task TaskID
}

// Step is a group of like tasks of a job.
type Step struct {
	// Count is at least one.
	Count int
	// Size is what each task takes.
	Size Size
	// EstimateMS is the caller's guess of a task's run time.
	EstimateMS clock.Millis
	// After lists earlier steps whose tasks must all be done first.
	After []int
	// Label is one that the worker must have; empty for any worker.
	Label string
}

// Spec is a job as its caller submitted it.
type Spec struct {
	ID ID
	// Queue names the line of the contract that the job falls under.
	Queue string
	// Payload is opaque to the dispatcher; workers get it with each task.
	Payload string
	Steps   []Step
}

// Outcome is how a run of a task ended.
type Outcome int

// The ends of a run.
const (
	// OutcomeDone: the task succeeded.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed: it failed by its own fault or the worker's.
	OutcomeFailed
	// OutcomeStopped: it was stopped on request.
	OutcomeStopped
	// OutcomeLost: its lease lapsed or its worker went away; it runs no more.
	OutcomeLost
	// OutcomeNotRun: it was never started and never will be.
	OutcomeNotRun
)

var endNames = map[Outcome]string{
	OutcomeDone: "done", OutcomeFailed: "failed", OutcomeStopped: "stopped", OutcomeLost: "lost", OutcomeNotRun: "not_run",
}

// String is used in logs and metrics.
func (e Outcome) String() string {
	return endNames[e]
}

// State is what callers are told of a job.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateSucceeded State = "succeeded"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)
