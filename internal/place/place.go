// Package place implements the scheduler of an entry for sized jobs: it decides which
// tasks run on which worker, in which order, and which jobs are refused. It does no I/O
// and reads no clock.
//
// Load pattern: jobs of a few parallel tasks, each lasting tens of milliseconds to
// seconds, arrive at two thirds of the total capacity of workers of different speeds,
// and in bursts at more than the total. A job ends with its last task, so the longest
// tasks need the fast workers, and a job that waits longer than its slack is worth
// little to its caller.
package place

import (
	"math"
	"math/rand/v2"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// TaskState is the progress of a task.
type TaskState int

// The states of a task.
const (
	// TaskWaiting means that the task is to be placed once the steps that it depends on
	// are complete.
	TaskWaiting TaskState = iota
	// TaskSent means that the task was sent to an agent.
	TaskSent
	// TaskUnknown means that the agent can't be reached. The run may continue until
	// ResolvesAt.
	TaskUnknown
	// TaskDone means that the task succeeded.
	TaskDone
)

// Task is one task of a job.
type Task struct {
	ID    jobs.TaskID
	State TaskState
	// Run is the number of the current run. While the task waits, it is a number that
	// the next run will exceed. It never decreases.
	Run int64
	// Failures counts runs that ended with OutcomeFailed.
	Failures int
	// Agent is the agent that the task was sent to. It is set in the states TaskSent
	// and TaskUnknown.
	Agent string
	// AvoidAgent is the agent of the last run that failed, was stopped or was lost.
	AvoidAgent string
	SentAt     clock.Millis
	// PredictedRunMS is the predicted duration of the current run. It includes overheadMS
	// but not crossZoneMS, which only predictedEnd adds.
	PredictedRunMS clock.Millis
	// ResolvesAt is when a run in the state TaskUnknown has certainly ended.
	ResolvesAt clock.Millis
	// AgentReplaced is set once a new process has replaced the agent that started the run, until
	// the run has ended. The new process may find that the worker still executes the run.
	AgentReplaced bool
	// Stopping is set once the agent has been sent a stop for the run.
	Stopping bool
	// Held is set if the agent was asked to hold the current run until its worker has capacity.
	Held bool
	// StoppedForStall is set once a stalled run of the task has been stopped. This
	// happens once per task, or a task that only takes far longer than expected would
	// never end.
	StoppedForStall bool
}

// Job is a submitted job and the state of its tasks.
type Job struct {
	Spec  jobs.Spec
	Queue contr.Queue
	// TermsVersion is the version of the terms under which the job was admitted.
	TermsVersion int64
	// ArrivedAt is never in the future.
	ArrivedAt clock.Millis
	// PredictedWorkMS is the predicted run time on a worker of speed 1, computed by
	// predict from the sum of the estimates of all steps and the mean run time of a task of
	// the queue. The scheduler uses it both for the job as a whole and for each of its tasks.
	PredictedWorkMS clock.Millis
	// Objective is the response time that the job's queue promises, in milliseconds from
	// ArrivedAt on.
	Objective clock.Millis
	// LatestStart is the latest time at which the job can start and still meet its
	// objective. Jobs with an earlier LatestStart go first.
	LatestStart clock.Millis
	// QueueDeadline is when the job stops waiting for a worker on which it can finish
	// in time. A job that has not started by then is refused unless it can be placed at
	// once. QueueDeadline is never after LatestStart, unless the job arrived after its
	// LatestStart.
	QueueDeadline clock.Millis
	// CallerDeadline is when the caller stops waiting; zero if it waits indefinitely.
	CallerDeadline clock.Millis
	// HadUnsuccessfulRun is set once a run of the job has failed, was stopped or was
	// lost.
	HadUnsuccessfulRun bool
	// Started is set when a task of the job is sent to an agent. It is cleared when a
	// run ends without having started, unless another task is with an agent or done, or
	// HadUnsuccessfulRun is set. FirstSentAt and LastSentAt are when the first and the
	// last task since then were sent.
	Started     bool
	FirstSentAt clock.Millis
	LastSentAt  clock.Millis
	// Answered is set once the job has been answered. The scheduler keeps an answered
	// job until none of its runs can be executing any more.
	Answered bool
	Tasks    []*Task
}

// Verdict is the final result of a job.
type Verdict int

// The verdicts on a job.
const (
	// VerdictSucceeded means that all tasks succeeded.
	VerdictSucceeded Verdict = iota + 1
	// VerdictFailed means that a task used up the attempts that its queue allows.
	VerdictFailed
	// VerdictRefused means that no task ran or will run.
	VerdictRefused
	// VerdictUnknown means that the job was abandoned after a task was sent.
	VerdictUnknown
	// VerdictCancelled means that the caller cancelled the job.
	VerdictCancelled
)

var verdictNames = map[Verdict]string{
	VerdictSucceeded: "succeeded", VerdictFailed: "failed", VerdictRefused: "refused",
	VerdictUnknown: "unknown", VerdictCancelled: "cancelled",
}

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	return verdictNames[v]
}

// Reason is why a job was refused, failed or was abandoned.
type Reason string

// The reasons for a verdict.
const (
	ReasonNone           Reason = ""
	ReasonNoWorker       Reason = "no_worker"
	ReasonNeverFits      Reason = "never_fits"
	ReasonZonesDrained   Reason = "zones_drained"
	ReasonOverload       Reason = "overload"
	ReasonDraining       Reason = "draining"
	ReasonCallerDeadline Reason = "caller_deadline"
	// ReasonWorkerLost means that this entry abandoned the job, for one of these reasons: a
	// task was waiting or of unknown state until the answer would have come too late; a
	// task used up its run numbers; the entry was paused; the drain deadline passed.
	ReasonWorkerLost  Reason = "worker_lost"
	ReasonMaxAttempts Reason = "attempts"
	ReasonCallerGone  Reason = "caller_gone"
	// ReasonSuperseded means that the caller has submitted the job again through another entry.
	ReasonSuperseded Reason = "superseded"
	// ReasonPaused means that this entry was paused between the arrival of the job and its
	// admission.
	ReasonPaused Reason = "paused"
)

// Action is an instruction from the scheduler to the entry: a Launch, Stop, Answer or Resolved.
type Action interface{ action() }

// Launch sends tasks of one step of a job to an agent.
type Launch struct {
	Agent string
	// Number increases by one with each launch to the agent.
	Number  uint64
	Job     jobs.ID
	Queue   string
	Payload string
	// Size is the amount of resources that each task needs.
	Size jobs.Size
	// ExpectedMS is the predicted run time of a task on a worker of speed 1.
	ExpectedMS clock.Millis
	// LatestStart is the job's LatestStart, in milliseconds of Unix time.
	LatestStart int64
	Tasks       []LaunchTask
	// Claim is set if the launch takes over a run that an earlier agent process started.
	Claim bool
	// Revision is that of the worker's description by which the tasks were placed.
	Revision uint64
	// HoldMS is how long the agent is to hold the tasks until the worker has capacity; zero unless
	// the capacity is reserved for them.
	HoldMS clock.Millis
}

// LaunchTask identifies a task of a launch and the number of its run.
type LaunchTask struct {
	ID  jobs.TaskID
	Run int64
}

// Stop requests that an agent stop tasks of a job.
type Stop struct {
	Agent string
	Job   jobs.ID
	Tasks []jobs.TaskID
}

// Answer is the final answer to a job's caller.
type Answer struct {
	Job     *Job
	Verdict Verdict
	Reason  Reason
	// RetryAfter is the delay after which the caller of a refused job may retry.
	RetryAfter clock.Millis
	// View is the state of the fleet on which the decision was based.
	View FleetView
}

// ResolveCause is why a run counts as over although no agent reported its end.
type ResolveCause string

// The causes of a Resolved.
const (
	// ResolvedByTime: the agent was unreachable until ResolvesAt.
	ResolvedByTime ResolveCause = "unreachable"
	// ResolvedByInventory: the agent linked again and does not list the run.
	ResolvedByInventory ResolveCause = "not_listed"
)

// Resolved records that a run counts as over although no agent reported its end.
type Resolved struct {
	Job  jobs.ID
	Task jobs.TaskID
	Run  int64
	// Agent is the incarnation of the agent that the run was sent to, and Worker the id of its
	// worker.
	Agent   string
	Worker  string
	Outcome jobs.Outcome
	Cause   ResolveCause
	// AgentReplaced is that of the task.
	AgentReplaced bool
	SentAt        clock.Millis
}

func (Launch) action()   {}
func (Stop) action()     {}
func (Answer) action()   {}
func (Resolved) action() {}

// Parameters of the scheduler's decisions.
const (
	// maxEjectedFraction is the largest fraction of a fleet that may be ejected after
	// failures. If more workers fail, the cause is the work rather than the workers.
	maxEjectedFraction = 0.34
	// overheadMS is the time that messages take to a worker and back.
	overheadMS clock.Millis = 4
	// crossZoneMS is the additional message time for a worker in another zone.
	crossZoneMS clock.Millis = 3
	// staleReportMS is the age above which a report is stale. It is longer than the
	// interval at which a live agent reports.
	staleReportMS clock.Millis = 400
	// LateFactor times the objective is the response time up to which a late answer is
	// still of use to the caller.
	LateFactor = 3
	// maxUnknownMS is how long a run may continue after the link to its agent was lost:
	// the agent has to notice the loss first, and then the worker's lease has to
	// expire.
	maxUnknownMS clock.Millis = 1500
	// A job is abandoned once the run number of one of its tasks reaches two to the
	// power of maxRunDoublings. The number doubles after each run that the worker refused,
	// which bounds these runs: they are not the fault of the task, and MaxAttempts does
	// not count them.
	maxRunDoublings = 40
	// A run on a stalled worker is stopped after overdueFactor times its predicted run
	// time, plus overdueMS.
	overdueFactor              = 1.5
	overdueMS     clock.Millis = 50
	// minRetryAfterMS and maxRetryAfterMS bound the retry delay returned to refused
	// callers.
	minRetryAfterMS clock.Millis = 1000
	maxRetryAfterMS clock.Millis = 10_000
	// maxWaitFraction is the fraction of its slack that a job may spend waiting. The
	// rest is a reserve: predicted run times are off by a third, and half of the jobs
	// that start at their LatestStart end late.
	maxWaitFraction = 0.5
)

// Scheduler holds the jobs of one entry and its view of the workers.
type Scheduler struct {
	// Zone is the availability zone of this entry.
	Zone string
	// Entries is the number of entries that share the workers, including this one.
	Entries int
	// AwaitWorkersUntil is until when workers are expected to link that are not known yet, after a
	// start of the entry. Until then no job is refused for want of a worker or of room while a
	// late answer would still be of use to its caller.
	AwaitWorkersUntil clock.Millis
	// Draining is set while new jobs are refused.
	Draining bool
	// Workers maps agent incarnations to their workers.
	Workers map[string]*Worker
	// Jobs holds the jobs that are not answered yet or still have runs that may be
	// executing.
	Jobs map[jobs.ID]*Job
	// LookAhead is set if placement leaves gaps for large tasks and reserves capacity that will
	// become free soon.
	LookAhead bool

	drains zone.Drains
	// jobsToPlace holds the jobs with tasks in the state TaskWaiting, in the order of
	// precedes.
	jobsToPlace []*Job
	// withFreeCPU holds the workers that had free processor time when the current call
	// of schedule began.
	withFreeCPU []*Worker
	// candidates is used by findCandidates only.
	candidates   []candidate
	reservations reservations
	// largest is keyed by the name of the fleet.
	largest map[string]largestSize
	// stats is keyed by the name of the queue.
	stats  map[string]*queueStats
	random *rand.Rand
	// firstAgent is the position at which Demand begins among the agents.
	firstAgent int
	actions    []Action
}

// New returns a scheduler without jobs or workers.
func New(zone string) *Scheduler {
	return &Scheduler{
		Zone:    zone,
		Entries: 1,
		Workers: map[string]*Worker{},
		Jobs:    map[jobs.ID]*Job{},
		largest: map[string]largestSize{},
		stats:   map[string]*queueStats{},
		random:  rand.New(rand.NewPCG(0, 0)),
	}
}

// Seed sets the seed of the random choices between workers that are about equal. Entries with
// different seeds choose differently.
func (s *Scheduler) Seed(seed uint64) {
	s.random = rand.New(rand.NewPCG(seed, 0))
	s.firstAgent = rand.New(rand.NewPCG(seed, 1)).IntN(math.MaxInt32)
}

// TakeActions returns the pending actions and clears them.
func (s *Scheduler) TakeActions() []Action {
	a := s.actions
	s.actions = nil
	return a
}

// UnstartedJobs returns the number of a queue's jobs that have not started.
func (s *Scheduler) UnstartedJobs(queue string) int {
	n := 0
	for _, j := range s.jobsToPlace {
		if j.Spec.Queue == queue && !j.Started {
			n++
		}
	}
	return n
}

// UnstartedByQueue returns the numbers of jobs that have not started, by queue. It omits
// queues without such jobs, and is nil if there are none.
func (s *Scheduler) UnstartedByQueue() map[string]int32 {
	var counts map[string]int32
	for _, j := range s.jobsToPlace {
		if j.Started {
			continue
		}
		if counts == nil {
			counts = map[string]int32{}
		}
		counts[j.Spec.Queue]++
	}
	return counts
}

// Counts returns how many jobs have tasks to be placed, and how many workers of all
// fleets accept tasks and have any processor time free.
func (s *Scheduler) Counts() (jobsToPlace, workersWithFreeCPU int) {
	for _, w := range s.Workers {
		if w.hasFreeCPU() {
			workersWithFreeCPU++
		}
	}
	return len(s.jobsToPlace), workersWithFreeCPU
}

// Idle reports whether the scheduler holds no jobs.
func (s *Scheduler) Idle() bool {
	return len(s.Jobs) == 0
}

// JobState returns the state of a job as reported to callers. It returns false if the job
// is not held or is already answered.
func (s *Scheduler) JobState(id jobs.ID) (jobs.State, bool) {
	j := s.Jobs[id]
	switch {
	case j == nil || j.Answered:
		return "", false
	case j.Started:
		return jobs.StateRunning, true
	default:
		return jobs.StateQueued, true
	}
}
