// Package disp is the dispatcher: every decision of an entry from a submission to
// its answer. It combines the cores for shares, limits, routing, retries and keys.
// It does no I/O, starts no goroutine and reads no clock: inputs come as method
// calls with the time, outputs are Actions. Any front end can drive it.
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

// TaskQueue decides whose task is next.
type TaskQueue interface {
	SetSlots(slots int)
	SetContract(c *contr.Contract)
	RemoveContract(customer string)
	Push(it fair.Item, now clock.Millis)
	PushFront(it fair.Item, now clock.Millis)
	Remove(it fair.Item) bool
	Next(now clock.Millis, placeable func(kind string) bool) (fair.Pick, bool)
	AddRunning(it fair.Item)
	Finish(it fair.Item, used float64)
	Release(it fair.Item)
	ChargeRemote(customer string, used float64, running int)
	Len() int
	Waiting(customer string) int
	WaitingInFlow(f fair.Flow) int
	ActiveShare() float64
	ExpectedShare(f fair.Flow) float64
}

// Chooser decides where a task goes.
type Chooser interface {
	Choose(kind string, waiting int, now clock.Millis, avoid map[string]bool) *route.Upstream
}

// CallerID is whoever waits for an answer, by a number that the front end gives.
type CallerID uint64

// MessageID numbers a message to a peer, unique within the incarnation.
type MessageID uint64

// Task is one piece of a submission.
type Task struct {
	ContentType string
	Payload     []byte
}

// Submission is a caller's request or job.
type Submission struct {
	Caller CallerID
	// Request is unique; explain finds it.
	Request  string
	Customer string
	Kind     string
	// Key is empty only for idempotent single requests.
	Key grant.Key
	// Idempotent is true only if the contract's kind allows it.
	Idempotent bool
	// Job answers are all or nothing, and none of their tasks is tried again.
	Job bool
	// Deadline is by this process's clock.
	Deadline clock.Millis
	// Tasks is never empty, but for a Lookup or a Cancel.
	Tasks []Task
	// Forwarded submissions came from another entry and go no further.
	Forwarded bool
	// Lookup asks for the state of a job; Cancel ends it.
	Lookup bool
	Cancel bool
}

// Settings of a dispatcher.
type Settings struct {
	Self host.Host
	Keys grant.TableLimits
	// GrantDurationMS is how far ahead of the clock key time is granted.
	GrantDurationMS clock.Millis
	// MaxJobTasks is the largest job that is admitted.
	MaxJobTasks int
	// ExplainWaitMS is the wait from which a submission is remembered for explain.
	ExplainWaitMS clock.Millis
}

// Parts are the cores that a dispatcher combines; all are its own afterwards.
type Parts struct {
	Book    *contr.Book
	Queue   TaskQueue
	Fleet   *route.Fleet
	Chooser Chooser
	Limits  *limit.Limiter
	Budgets *retry.Budgets
	Ledger  *grant.Ledger
	Table   *grant.Table
	Roster  *roster.Roster
	Audit   *audit.Log
}

// Counters counts what a dispatcher did; none ever decreases.
type Counters struct {
	Submitted uint64 `json:"submitted"`
	Answered  uint64 `json:"answered"`
	Refused   uint64 `json:"refused"`
	Started   uint64 `json:"started"`
	Retried   uint64 `json:"retried"`
	Hedged    uint64 `json:"hedged"`
	// Messages counts asks and answers on links; Wasted those beyond one ask and
	// one answer a hop.
	Messages uint64 `json:"messages"`
	Wasted   uint64 `json:"wasted"`
}

// Dispatcher is the state of one entry.
type Dispatcher struct {
	Settings
	Parts
	Counters Counters
	// Draining never becomes false again.
	Draining bool

	actions  []Action
	nextAsk  MessageID
	works    map[uint64]*work
	nextWork uint64
	byKey    map[grant.SubmissionID]*work
	byCaller map[CallerID]*work
	attempts map[MessageID]*attempt
	items    map[uint64]itemRef
	nextItem uint64
	waiting  map[string]int
	timers   pqueue.Queue[*timer]
	forwards map[MessageID]*forward
	finds    map[MessageID]*find
	parked   []Submission
	kept     map[string]*keptAnswers
	uses     map[useKey]Usage
	// agents holds what each linked agent last told of its upstream.
	agents map[string]AgentState
	lost   []lostUpstream
}

// New returns a dispatcher.
func New(s Settings, p Parts) *Dispatcher {
	return &Dispatcher{
		Settings: s,
		Parts:    p,
		works:    map[uint64]*work{},
		byKey:    map[grant.SubmissionID]*work{},
		byCaller: map[CallerID]*work{},
		attempts: map[MessageID]*attempt{},
		items:    map[uint64]itemRef{},
		waiting:  map[string]int{},
		forwards: map[MessageID]*forward{},
		finds:    map[MessageID]*find{},
		kept:     map[string]*keptAnswers{},
		uses:     map[useKey]Usage{},
		agents:   map[string]AgentState{},
	}
}

// Action is an output of the dispatcher.
type Action interface{ action() }

// Reply gives a caller its answer, once.
type Reply struct {
	Caller CallerID
	Answer reply.Answer
}

// Start sends one task to an agent.
type Start struct {
	Agent      string
	MessageID  MessageID
	Request    string
	Customer   string
	Kind       string
	Key        string
	TaskIndex  int
	Task       Task
	Idempotent bool
	Timeout    clock.Millis
	CostMS     float64
}

// Cancel withdraws a task from an agent.
type Cancel struct {
	Agent     string
	MessageID MessageID
}

// Forward passes a submission to the entry that owns its key.
type Forward struct {
	Entry      string
	MessageID  MessageID
	Submission Submission
	Timeout    clock.Millis
}

// Withdraw tells an entry that the caller of a forwarded submission has gone.
type Withdraw struct {
	Entry     string
	MessageID MessageID
}

// Find asks agents what they remember of a key.
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

// TakeActions returns the outputs since the last call, in order.
func (d *Dispatcher) TakeActions() []Action {
	a := d.actions
	d.actions = nil
	return a
}

func (d *Dispatcher) emit(a Action) {
	d.actions = append(d.actions, a)
}

func (d *Dispatcher) ask() MessageID {
	d.nextAsk++
	return d.nextAsk
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

// Idle reports whether nothing is in progress, so that a drain is complete.
func (d *Dispatcher) Idle() bool {
	return len(d.works) == 0 && len(d.forwards) == 0 && len(d.finds) == 0 && len(d.parked) == 0
}

// Backlog is what agents need to know of the work that waits here.
type Backlog struct {
	Waiting int
	Weight  float64
}

// Backlog returns the work that waits for agents.
func (d *Dispatcher) Backlog() Backlog {
	return Backlog{Waiting: d.Queue.Len(), Weight: d.Queue.ActiveShare()}
}
