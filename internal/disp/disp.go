// Package disp implements the dispatcher, which makes every decision of an entry from a
// submission to its answer. It combines the packages for fair shares, rate limits,
// routing, retries and keys. It does no I/O, starts no goroutine and reads no clock:
// inputs are method calls that carry the current time, and outputs are Actions, so that
// any front end can drive it.
package disp

import (
	"github.com/turmericbarrow/turmericbarrow/internal/audit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/limit"
	"github.com/turmericbarrow/turmericbarrow/internal/pqueue"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/retry"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
)

// TaskQueue holds the queued tasks and decides which of them starts next.
type TaskQueue interface {
	SetSlots(slots int)
	SetContract(c *contr.Contract)
	RemoveContract(customer string)
	Push(it fair.Item, now clock.Millis)
	PushFront(it fair.Item, now clock.Millis)
	Remove(it fair.Item) bool
	Next(now clock.Millis, placeable func(kind string) bool) (fair.Pick, bool)
	AddRunning(it fair.Item)
	Finish(it fair.Item, usedMS float64)
	Release(it fair.Item)
	ChargeRemote(customer string, usedMS float64, running int)
	Len() int
	Waiting(customer string) int
	WaitingInFlow(f fair.Flow) int
	ActiveShare() float64
	ExpectedShare(f fair.Flow) float64
}

// Chooser selects an upstream for a task, or nil if none can take it now.
type Chooser interface {
	Choose(kind string, waiting int, now clock.Millis, avoid map[string]bool) *route.Upstream
}

// CallerID identifies a caller that waits for an answer. The front end assigns it.
type CallerID uint64

// MessageID identifies a message to an agent or another entry, so that the response can
// be matched to it. It is unique within the incarnation.
type MessageID uint64

// Task is one unit of work of a submission.
type Task struct {
	ContentType string
	Payload     []byte
}

// Submission is a caller's request or job.
type Submission struct {
	Caller CallerID
	// Request is the unique id under which the audit log records the submission.
	Request  string
	Customer string
	Kind     string
	// Key is empty only for idempotent single requests.
	Key grant.Key
	// Idempotent is true only if the contract's kind allows it.
	Idempotent bool
	// Job is true if the answer must contain the results of all tasks or none. A task of
	// a job is never retried once it may have run.
	Job bool
	// Deadline is measured by this process's clock.
	Deadline clock.Millis
	// Tasks may be empty only for a Lookup or a Cancel.
	Tasks []Task
	// Forwarded is true if the submission came from another entry. It is not forwarded
	// again.
	Forwarded bool
	// Lookup requests the answer of a job, or its state while it runs. It starts no task.
	Lookup bool
	// Cancel requests that a job be cancelled. It starts no task.
	Cancel bool
}

// Settings holds the settings of a dispatcher.
type Settings struct {
	Self      host.Host
	KeyLimits grant.TableLimits
	// GrantDurationMS is how far beyond the current time this entry claims key time.
	GrantDurationMS clock.Millis
	// MaxJobTasks is the maximum number of tasks in a job.
	MaxJobTasks int
	// ExplainWaitMS is the queueing time from which a successful submission is recorded in
	// the audit log. A submission that ends with a problem is always recorded.
	ExplainWaitMS clock.Millis
}

// Parts holds the components that a dispatcher combines. New takes ownership of them.
type Parts struct {
	Config       *contr.Config
	Queue        TaskQueue
	Fleet        *route.Fleet
	Chooser      Chooser
	RateLimits   *limit.Limiter
	RetryBudgets *retry.Budgets
	Ledger       *grant.Ledger
	KeyTable     *grant.Table
	Roster       *roster.Roster
	Audit        *audit.Log
}

// Counters holds the cumulative counters of a dispatcher.
type Counters struct {
	Submitted uint64 `json:"submitted"`
	// Answered counts answers without a problem, and Refused those with one.
	Answered uint64 `json:"answered"`
	Refused  uint64 `json:"refused"`
	Started  uint64 `json:"started"`
	Retried  uint64 `json:"retried"`
	Hedged   uint64 `json:"hedged"`
	// Messages counts requests and responses on links.
	Messages uint64 `json:"messages"`
	// Wasted counts the messages beyond one request and one response per hop.
	Wasted uint64 `json:"wasted"`
}

// Dispatcher is the state of one entry.
type Dispatcher struct {
	Settings
	Parts
	Counters Counters
	// Draining is true while the entry shuts down. Once set, it is never cleared.
	Draining bool

	// actions holds the outputs that TakeActions has not yet returned.
	actions       []Action
	lastMessageID MessageID
	// executions holds the executions that have not ended, by id. byKey holds those whose
	// key this entry owns, and byCaller the execution for whose answer a caller waits.
	executions      map[uint64]*execution
	lastExecutionID uint64
	byKey           map[grant.SubmissionID]*execution
	byCaller        map[CallerID]*execution
	// attempts holds the attempts that have not ended, by the id of their Start.
	attempts map[MessageID]*attempt
	// queuedTasks maps the ids of queued items to their tasks.
	queuedTasks map[uint64]taskRef
	lastItemID  uint64
	// queuedByKind holds the number of queued tasks of each kind, without zeros.
	queuedByKind map[string]int
	timers       pqueue.Queue[*timer]
	forwards     map[MessageID]*forward
	searches     map[MessageID]*resultSearch
	// awaitingGrant holds submissions whose key time has not been granted yet.
	awaitingGrant []Submission
	// transferred holds the answers received from draining entries, by incarnation.
	transferred map[string]*transferredAnswers
	// remoteUsage holds the last Usage reported for each agent and customer.
	remoteUsage map[usageKey]Usage
	// agents holds the last state reported by each linked agent.
	agents        map[string]AgentState
	lostUpstreams []lostUpstream
}

// New returns a dispatcher that combines the given parts.
func New(s Settings, p Parts) *Dispatcher {
	return &Dispatcher{
		Settings:     s,
		Parts:        p,
		executions:   map[uint64]*execution{},
		byKey:        map[grant.SubmissionID]*execution{},
		byCaller:     map[CallerID]*execution{},
		attempts:     map[MessageID]*attempt{},
		queuedTasks:  map[uint64]taskRef{},
		queuedByKind: map[string]int{},
		forwards:     map[MessageID]*forward{},
		searches:     map[MessageID]*resultSearch{},
		transferred:  map[string]*transferredAnswers{},
		remoteUsage:  map[usageKey]Usage{},
		agents:       map[string]AgentState{},
	}
}

// Action is an output of the dispatcher that the front end must carry out.
type Action interface{ action() }

// Reply sends a caller its answer. There is exactly one for each caller that does not
// disconnect.
type Reply struct {
	Caller CallerID
	Answer reply.Answer
}

// Start sends one task to an agent.
type Start struct {
	Agent     string
	MessageID MessageID
	Request   string
	Customer  string
	Kind      string
	// Key is the key under which the agent stores the result.
	Key        string
	TaskIndex  int
	Task       Task
	Idempotent bool
	Timeout    clock.Millis
	// CostMS is the expected service time.
	CostMS float64
}

// Cancel requests that an agent cancel a task.
type Cancel struct {
	Agent string
	// MessageID is the id of the Start that sent the task.
	MessageID MessageID
}

// Forward sends a submission to the entry that owns its key.
type Forward struct {
	Entry      string
	MessageID  MessageID
	Submission Submission
	Timeout    clock.Millis
}

// Withdraw notifies an entry that the caller of a forwarded submission has disconnected.
type Withdraw struct {
	Entry string
	// MessageID is the id of the Forward that sent the submission.
	MessageID MessageID
}

// Find requests the tasks that agents started for a key, with the results of those that are
// complete.
type Find struct {
	Agents    []string
	MessageID MessageID
	Customer  string
	Key       string
}

func (Reply) action()    {}
func (Start) action()    {}
func (Cancel) action()   {}
func (Forward) action()  {}
func (Withdraw) action() {}
func (Find) action()     {}

// TakeActions returns the actions since the last call, in order.
func (d *Dispatcher) TakeActions() []Action {
	a := d.actions
	d.actions = nil
	return a
}

func (d *Dispatcher) emit(a Action) {
	d.actions = append(d.actions, a)
}

func (d *Dispatcher) nextMessageID() MessageID {
	d.lastMessageID++
	return d.lastMessageID
}

func (d *Dispatcher) answer(c CallerID, a reply.Answer) {
	if a.Problem == nil {
		d.Counters.Answered++
	} else {
		d.Counters.Refused++
	}
	delete(d.byCaller, c)
	d.emit(Reply{Caller: c, Answer: a})
}

// Idle reports whether no submission is in progress. A draining entry can then
// transfer its state and stop.
func (d *Dispatcher) Idle() bool {
	return len(d.executions) == 0 && len(d.forwards) == 0 && len(d.searches) == 0 && len(d.awaitingGrant) == 0
}

// Backlog describes the queue of an entry to its agents.
type Backlog struct {
	// Waiting is the number of queued tasks.
	Waiting int
	// Weight is the sum of the shares of the customers with work at this entry.
	Weight float64
}

// Backlog returns the current backlog.
func (d *Dispatcher) Backlog() Backlog {
	return Backlog{Waiting: d.Queue.Len(), Weight: d.Queue.ActiveShare()}
}
