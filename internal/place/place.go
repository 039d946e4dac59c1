// Package place decides at an entry which job's tasks go to which worker, in which
// order, and which jobs are refused. It does no I/O and reads no clock.
//
// Load pattern: jobs of a few parallel tasks, tens of milliseconds to seconds long,
// arrive at two thirds of what unlike workers can do and in bursts at more than all
// of it. A job ends with its last task, so the longest tasks need the fast workers,
// and whatever waits longer than its slack is worth little to its caller.
package place

import (
	"math"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Worker is a worker as this entry knows it.
type Worker struct {
	// Agent is the incarnation of its agent, Host the name of the host of both.
	Agent string
	Host  string
	// Zone is where it stands.
	Zone     string
	ID       string
	Fleet    string
	Labels   []string
	Capacity jobs.Size
	// ReportedFree is the free room that its agent told last; may be negative.
	ReportedFree jobs.Size
	// Speed is the work done a second against the callers' estimates, above zero.
	Speed float64
	// Closed workers get nothing new.
	Closed bool
	// Probation workers get one task at a time.
	Probation bool
	// Stalled workers' tasks stand still.
	Stalled bool
	// Ejected workers failed and get nothing for a while, unless too many of the
	// fleet do.
	Ejected bool
	// ReportedAt is when its agent's last report came.
	ReportedAt clock.Millis
	// DisconnectedAt is when the link to its agent ended; zero while it is up.
	DisconnectedAt clock.Millis
	// LastLaunch is the number of the last launch that was sent to it.
	LastLaunch uint64

	unseen []unseen
}

// unseen is a launch that the agent's last report does not include.
type unseen struct {
	number uint64
	size   jobs.Size
}

// Free is the room left after all launches that were sent.
func (w *Worker) Free() jobs.Size {
	free := w.ReportedFree
	for _, u := range w.unseen {
		free = free.Minus(u.size)
	}
	return free
}

// takes reports whether w may get a task of that size and label.
func (w *Worker) takes(fleet, label string, size jobs.Size) bool {
	if !w.usable() || w.Fleet != fleet {
		return false
	}
	if label != "" && !has(w.Labels, label) {
		return false
	}
	if w.Probation && (len(w.unseen) > 0 || w.ReportedFree != w.Capacity) {
		return false
	}
	return size.FitsIn(w.Free())
}

// usable reports whether w takes new work at all.
func (w *Worker) usable() bool {
	return !w.Closed && !w.Ejected && w.DisconnectedAt == 0
}

// hasRoom reports whether w takes new work and has any processor time free.
func (w *Worker) hasRoom() bool {
	return w.usable() && w.Free().MilliCPU > 0
}

// could reports whether w, empty, could run such a task.
func (w *Worker) could(fleet, label string, size jobs.Size) bool {
	return w.Fleet == fleet && (label == "" || has(w.Labels, label)) && size.FitsIn(w.Capacity)
}

func has(labels []string, l string) bool {
	for _, o := range labels {
		if o == l {
			return true
		}
	}
	return false
}

// TaskState is how far a task has come.
type TaskState int

// The states of a task.
const (
	// TaskWaiting: to be placed, once the steps before it are done.
	TaskWaiting TaskState = iota
	// TaskSent: an agent was asked to run it.
	TaskSent
	// TaskUnknown: its agent is out of reach; it may run until Settles.
	TaskUnknown
	// TaskDone: it succeeded.
	TaskDone
)

// Task is one task of a job.
type Task struct {
	ID    jobs.TaskID
	State TaskState
	// Run numbers the task's starts and never decreases.
	Run int64
	// Failures counts runs that ended as failed.
	Failures int
	// Agent is where it was sent; set while TaskSent or TaskUnsure.
	Agent string
	// AvoidAgent is where its last run failed.
	AvoidAgent string
	SentAt     clock.Millis
	// PredictedRunMS is the predicted run time of its current run.
	PredictedRunMS clock.Millis
	// ResolvesAt is when a run out of reach is known to have ended.
	ResolvesAt clock.Millis
	// AgentReplaced is set once its agent was replaced by a new process, which may find
	// the run at the worker.
	AgentReplaced bool
	// Stopping is set once its agent was asked to stop it.
	Stopping bool
	// StoppedForStall is set once a run that stood still was stopped: a task that only takes
	// far longer than expected would never end if that happened again.
	StoppedForStall bool
}

// Job is one submitted job.
type Job struct {
	Spec  jobs.Spec
	Queue contr.Queue
	// TermsVersion is that of the terms under which it was admitted.
	TermsVersion int64
	// ArrivedAt is never above the present.
	ArrivedAt clock.Millis
	// WorkMS is the predicted time of its longest task on a worker of speed 1.
	WorkMS clock.Millis
	// Objective is the response time that its queue promises.
	Objective clock.Millis
	// LatestStart is the latest start that meets the objective; the lowest goes first.
	LatestStart clock.Millis
	// QueueDeadline is when it no longer waits for room in which it ends in time; never
	// after Rank.
	QueueDeadline clock.Millis
	// CallerDeadline is when its caller stops waiting; zero for never.
	CallerDeadline clock.Millis
	// HasRun is set once a run of it has ended, other than as never run.
	HasRun bool
	// Started is set while a task is out or something has run; FirstSent and LastSent are when the first
	// and the last launch so far were sent.
	Started     bool
	FirstSentAt clock.Millis
	LastSentAt  clock.Millis
	// Ending is set once its end is decided and only runs are being stopped.
	Ending bool
	Tasks  []*Task
}

// Verdict is how a job left the scheduler.
type Verdict int

// The verdicts on a job.
const (
	// VerdictSucceeded: all tasks are done.
	VerdictSucceeded Verdict = iota + 1
	// VerdictFailed: a task failed as often as its queue allows.
	VerdictFailed
	// VerdictRefused: nothing of it ran or will run.
	VerdictRefused
	// VerdictUnknown: some of it ran, and it is given up.
	VerdictUnknown
	// VerdictCancelled: its caller cancelled it.
	VerdictCancelled
)

var verdictNames = map[Verdict]string{
	VerdictSucceeded: "succeeded", VerdictFailed: "failed", VerdictRefused: "refused",
	VerdictUnknown: "unknown", VerdictCancelled: "cancelled",
}

// String is used in logs and metrics.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Reason is why a job was refused or given up.
type Reason string

// The reasons of refusals.
const (
	ReasonNone           Reason = ""
	ReasonNoWorker       Reason = "no_worker"
	ReasonNeverFits      Reason = "never_fits"
	ReasonOverload       Reason = "overload"
	ReasonDraining       Reason = "draining"
	ReasonCallerDeadline Reason = "caller_deadline"
	ReasonWorkerLost     Reason = "worker_lost"
	ReasonMaxAttempts    Reason = "attempts"
	ReasonCallerGone     Reason = "caller_gone"
)

// Action is something that the entry does for the core.
type Action interface{ action() }

// Launch sends tasks of one step to an agent.
type Launch struct {
	Agent       string
	Number      uint64
	Job         jobs.ID
	Queue       string
	Payload     string
	Size        jobs.Size
	ExpectedMS  clock.Millis
	LatestStart int64
	Tasks       []LaunchTask
}

// LaunchTask is one task of a launch.
type LaunchTask struct {
	ID  jobs.TaskID
	Run int64
}

// Stop asks an agent to stop tasks of a job.
type Stop struct {
	Agent string
	Job   jobs.ID
	Tasks []jobs.TaskID
}

// Answer is the final answer to a job's caller.
type Answer struct {
	Job        *Job
	Verdict    Verdict
	Reason     Reason
	RetryAfter clock.Millis
	// View is what a refusal rests on.
	View FleetView
}

// FleetView is what the scheduler knew of the workers when it decided.
type FleetView struct {
	// Waiting is the number of jobs that wait at this entry.
	Waiting int
	// Workers counts the fleet, Open those of it that take work and have any room.
	Workers int
	Open    int
	// OldestReportMS is the age of the oldest report among the open ones.
	OldestReportMS clock.Millis
}

func (Launch) action() {}
func (Stop) action()   {}
func (Answer) action() {}

// Bounds of the scheduler's decisions.
const (
	// maxRestingPart is the part of a fleet that may rest after failures: where more
	// fail, the work is at fault.
	maxRestingPart = 0.34
	// overheadMS is the way to a worker and back.
	overheadMS clock.Millis = 4
	// farMS is the extra way to a worker in another zone.
	farMS clock.Millis = 3
	// quietMS is longer than the interval at which an agent that lives reports.
	quietMS clock.Millis = 400
	// LateFactor times the objective is the last time at which a late answer is
	// worth something to its caller.
	LateFactor = 3
	// settleMS is how long a run out of reach may go on: until its agent misses this
	// entry, and then until the worker's lease has lapsed.
	settleMS clock.Millis = 1500
	// learnGain is the weight of a new figure in a queue's mean.
	learnGain = 0.04
	// estimateWeight is the part of the caller's estimate in a prediction.
	estimateWeight = 0.5
	// maxRuns bounds the runs of a task that did not end by its own fault.
	maxRuns = 40
	// overdueFactor times the predicted time, plus overdueMS, gives a run up that
	// stands still.
	overdueFactor              = 1.5
	overdueMS     clock.Millis = 50
	// minRetryMS and maxRetryMS bound what a refused caller is told.
	minRetryMS clock.Millis = 1000
	maxRetryMS clock.Millis = 10_000
	// waitPart is the part of its slack that a job may wait. The rest is needed: run
	// times are off by a third, and a job that starts at its latest moment ends late
	// every second time.
	waitPart = 0.5
)

// learned is what was learned of a queue's jobs.
type learned struct {
	// logWork is the mean of the logarithm of a task's work in milliseconds.
	logWork float64
	count   int
}

// Scheduler is the state of one entry's jobs.
type Scheduler struct {
	// Zone is where this entry stands.
	Zone string
	// Entries is the number of entries that share the workers, at least one.
	Entries int
	// Draining is set while nothing new is taken.
	Draining bool
	// Workers holds the workers by their agents' incarnations.
	Workers map[string]*Worker
	// Jobs holds the jobs that are not answered, or whose runs are being stopped.
	Jobs map[jobs.ID]*Job

	waiting []*Job
	// open holds the workers with room while jobs are placed.
	open    []*Worker
	learned map[string]*learned
	actions []Action
}

// New returns a scheduler without jobs or workers.
func New(zone string) *Scheduler {
	return &Scheduler{
		Zone:    zone,
		Entries: 1,
		Workers: map[string]*Worker{},
		Jobs:    map[jobs.ID]*Job{},
		learned: map[string]*learned{},
	}
}

// TakeActions returns what has to be done and forgets it.
func (s *Scheduler) TakeActions() []Action {
	a := s.actions
	s.actions = nil
	return a
}

// predict returns the expected work of a task in milliseconds on a worker of speed
// 1. Callers' estimates are far off, and so is the mean of a queue's tasks; together
// they are nearer.
func (s *Scheduler) predict(queue string, estimate clock.Millis) clock.Millis {
	l := s.learned[queue]
	e := math.Log(float64(max(estimate, 1)))
	if l == nil || l.count == 0 {
		return max(estimate, 1)
	}
	return clock.Millis(math.Exp(estimateWeight*e+(1-estimateWeight)*l.logWork)) + 1
}

// learn takes the run time of a task that succeeded.
func (s *Scheduler) learn(queue string, work float64) {
	if work < 1 {
		return
	}
	l := s.learned[queue]
	if l == nil {
		l = &learned{}
		s.learned[queue] = l
	}
	l.count++
	gain := max(learnGain, 1/float64(l.count))
	l.logWork += gain * (math.Log(work) - l.logWork)
}

// fastest returns the highest speed of the open workers of a fleet, or 1.
func (s *Scheduler) fastest(fleet string) float64 {
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

// view returns what is known of a fleet.
func (s *Scheduler) view(fleet string, now clock.Millis) FleetView {
	v := FleetView{Waiting: len(s.waiting)}
	for _, w := range s.Workers {
		if w.Fleet != fleet {
			continue
		}
		v.Workers++
		if w.hasRoom() {
			v.Open++
			v.OldestReportMS = max(v.OldestReportMS, now-w.ReportedAt)
		}
	}
	return v
}

// Waiting returns the number of jobs of a queue of which nothing was sent.
func (s *Scheduler) Waiting(queue string) int {
	n := 0
	for _, j := range s.waiting {
		if j.Spec.Queue == queue && !j.Started {
			n++
		}
	}
	return n
}

// Counts returns how many jobs wait and how many workers take work and have room.
func (s *Scheduler) Counts() (waiting, open int) {
	for _, w := range s.Workers {
		if w.hasRoom() {
			open++
		}
	}
	return len(s.waiting), open
}

// Idle reports whether no job is left.
func (s *Scheduler) Idle() bool {
	return len(s.Jobs) == 0
}

// State returns what a caller is told of a job.
func (s *Scheduler) State(id jobs.ID) (jobs.State, bool) {
	j := s.Jobs[id]
	switch {
	case j == nil || j.Ending:
		return "", false
	case j.Started:
		return jobs.StateRunning, true
	default:
		return jobs.StateQueued, true
	}
}
