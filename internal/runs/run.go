package runs

import (
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Worker is one life of a worker, and its description of itself.
type Worker struct {
	ID string
	// Epoch differs with each start of the worker; runs of an earlier epoch are gone. It is a
	// time of day, which is lower than before if the host's clock has stepped back.
	Epoch int64
	// Token is the fencing token of all calls in this epoch. It is above those of the earlier
	// epochs that this process has known.
	Token int64
	// AckedEnd is the number of the last end of this epoch that was handled, which polls
	// acknowledge; zero after a failed poll.
	AckedEnd int64
	// Fleet, Labels and Capacity are the description. They are those of this life, and zero
	// until it is Described.
	Fleet    string
	Labels   []string
	Capacity jobs.Size
	// Draining workers accept no new runs.
	Draining bool
	// Described is set once an announcement or the record of this life has been applied.
	Described bool
	// Revision is the number of the description in this agent process, from 1 on. It differs
	// for two lives, even if they describe themselves alike.
	Revision uint64
}

// SameExceptDraining reports whether w and o are the same life with the same description. Either may
// drain.
func (w Worker) SameExceptDraining(o Worker) bool {
	return w.ID == o.ID && w.Epoch == o.Epoch && w.Fleet == o.Fleet && w.Capacity == o.Capacity &&
		slices.Equal(w.Labels, o.Labels)
}

// Status is the progress of a run.
type Status int

// The states of a run. Their order matters: above Starting, the start has returned.
const (
	// Queued: the run waits at the agent for free capacity.
	Queued Status = iota
	// Starting: the start was sent to the worker, which has not answered.
	Starting
	// Unknown: the start was not answered; the worker may or may not have the run. It is to be stopped,
	// or its start to be repeated after the next answered poll.
	Unknown
	// Running: the worker confirmed the run.
	Running
)

var statusNames = map[Status]string{Queued: "queued", Starting: "starting", Unknown: "unknown", Running: "running"}

// String returns the name of the status in logs.
func (s Status) String() string { return statusNames[s] }

// Run is one attempt of a task that the agent holds.
type Run struct {
	Ref jobs.TaskRef
	// Number increases with each run of the task.
	Number int64
	// Entry is the incarnation of the entry that requested the run.
	Entry   string
	Queue   string
	Payload string
	Size    jobs.Size
	// Revision is that of the description by which the entry has placed the run. Launch sets it to
	// the present one if it is zero, which entries of earlier versions send.
	Revision uint64
	// Claim is set if the run is one of an earlier agent process. It is not started here.
	Claim bool
	// ExpectedMS is the expected run time on a worker of speed 1.
	ExpectedMS clock.Millis
	// LatestStart is the latest time at which the run's job can start and still meet its
	// objective, in milliseconds of Unix time by the agent's clock. Queued runs start in this
	// order, lowest first.
	LatestStart int64
	Status      Status
	// Epoch is the worker's epoch that the last start of the run names, or in which a poll has
	// listed the run since; zero while Queued. A start may be accepted by the next epoch, if
	// that has begun and is not known here.
	Epoch int64
	// Stopping is set once the run is to be stopped, and stays set until it has ended. A
	// queued run is returned to its entry instead.
	Stopping bool
	// StopRequestedAt is the last contact with the entry when Stopping was set: the stop may have
	// been handled late.
	StopRequestedAt clock.Millis
	// StopSentAt is when a stop was last sent to the worker, StopAckedAt when the worker
	// first acknowledged one. A run that the worker does not have by then will never start.
	StopSentAt  clock.Millis
	StopAckedAt clock.Millis
	QueuedAt    clock.Millis
	// HoldMS is how much longer than others the run may be queued; see maxQueueMS.
	HoldMS    clock.Millis
	StartedAt clock.Millis
	// LeaseUntil is the latest expiry of the leases of the starts, on the worker's clock.
	LeaseUntil clock.Millis
	// UnansweredStarts counts the unanswered starts of this run.
	UnansweredStarts int
	// MissingSince is when a poll first failed to list the run although the worker had
	// confirmed it; zero while the run is listed.
	MissingSince clock.Millis
	// LaterNumbers are the numbers of later runs of the task that the entry requested while it held
	// this one. They are returned as not run once this one has ended.
	LaterNumbers []int64
	// Superseded is set once another entry has requested a run of the task.
	Superseded bool
	// Claimed is set for a run that an earlier agent process started; its start time is
	// unknown.
	Claimed bool
	// ClaimedLate is set for a claimed run that is being stopped, because the claim arrived after
	// the claim window. Its lease is not renewed.
	ClaimedLate bool
}

// runKey identifies a held run; two entries may briefly hold runs of the same task.
type runKey struct {
	ref   jobs.TaskRef
	entry string
}

// RunEnd reports the end of a run.
type RunEnd struct {
	Ref     jobs.TaskRef
	Number  int64
	Outcome jobs.Outcome
	RanMS   clock.Millis
	// WorkerFault is set when the worker may be at fault.
	WorkerFault bool
}

// Action is an I/O operation that the agent performs for the supervisor.
type Action interface{ action() }

// Start sends a start of the run to the worker.
type Start struct{ Run Run }

// Stop sends a stop of the run to the worker.
type Stop struct{ Run Run }

// Report sends the end of a run to its entry.
type Report struct {
	Entry string
	End   RunEnd
}

// Ended records a run as it was before its end; the end is also in a Report.
type Ended struct {
	Run Run
	End RunEnd
}

// LossCause is the reason why a run counts as lost.
type LossCause string

// The causes of a loss.
const (
	// LossReported: the worker listed the run as ended without a result.
	LossReported LossCause = "reported"
	// LossNewEpoch: the worker has started anew and does not have the run.
	LossNewEpoch LossCause = "new_epoch"
	// LossMissing: the worker no longer lists the run.
	LossMissing LossCause = "missing"
	// LossLeaseExpired: the worker did not answer until the run's lease had expired.
	LossLeaseExpired LossCause = "lease_expired"
)

// Lost records why a run counts as lost; its end is in a Report.
type Lost struct {
	Run   Run
	Cause LossCause
}

func (Start) action()  {}
func (Stop) action()   {}
func (Report) action() {}
func (Lost) action()   {}
