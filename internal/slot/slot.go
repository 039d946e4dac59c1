// Package slot is the core of an agent. It owns the slots of one upstream, decides
// which entry's task runs next, and caches recent idempotency keys and results. It does
// no I/O, starts no goroutine and reads no clock.
package slot

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// TaskQueue holds the queued tasks and decides which of them runs next.
type TaskQueue interface {
	SetSlots(slots int)
	SetContract(c *contr.Contract)
	RemoveContract(customer string)
	Push(it fair.Item, now clock.Millis)
	Remove(it fair.Item) bool
	Next(now clock.Millis, placeable func(kind string) bool) (fair.Pick, bool)
	Finish(it fair.Item, usedMS float64)
	Release(it fair.Item)
	Len() int
}

// Upstream is the announcement by which an upstream (a back end) registers.
type Upstream struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Slots is the maximum number of concurrent tasks; at least one.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections; at least one.
	Connections int      `json:"connections"`
	Kinds       []string `json:"kinds"`
	// HoldMS is how long an announcement stays valid unless it is repeated.
	HoldMS clock.Millis `json:"hold_ms"`
}

// Task is a task that an entry dispatched to this agent.
type Task struct {
	// Entry is the incarnation of the entry. MessageID is the number of its Start
	// message, unique within the incarnation.
	Entry     string
	MessageID uint64
	Request   string
	Customer  string
	Kind      string
	// Key identifies the request in the result cache, Index the task within the request.
	Key         string
	Index       int
	Idempotent  bool
	Deadline    clock.Millis
	CostMS      float64
	ContentType string
	Payload     []byte
}

// Status is how a task ended.
type Status int

// The statuses of a finished task. StatusUnknown means that it may have run.
const (
	StatusOK Status = iota
	StatusFailed
	StatusNotRun
	StatusUnknown
)

// Outcome describes how a task ended.
type Outcome struct {
	Status Status
	Result reply.Result
	// Detail says why the status is not StatusOK.
	Detail string
	// Unreachable is set with StatusNotRun if the upstream could not be reached.
	Unreachable bool
	// TimedOut is set with StatusUnknown if the call was cancelled at its deadline.
	TimedOut bool
}

// Action is an output of the core, to be performed by the agent.
type Action interface{ action() }

// Run starts a task at the upstream.
type Run struct {
	ID      uint64
	Task    Task
	Timeout clock.Millis
}

// Abort cancels the upstream call of a running task.
type Abort struct {
	ID uint64
}

// Completion reports the outcome of a task to its entry.
type Completion struct {
	Entry     string
	MessageID uint64
	Outcome   Outcome
	ServiceMS clock.Millis
	QueuedMS  clock.Millis
	Load      Load
	// RemoteUsage is the customer's usage through all other entries.
	RemoteUsage Usage
	Leaving     bool
}

func (Run) action()        {}
func (Abort) action()      {}
func (Completion) action() {}

// Load is the state of the slots that is reported to one entry.
type Load struct {
	Running int
	Queued  int
	// Window is the maximum number of tasks that the entry may have at this agent,
	// queued or running; at least one.
	Window int
}

// Usage is what a customer's tasks have used since the agent started. Running is the
// number of tasks that run now.
type Usage struct {
	SlotMS  clock.Millis
	Starts  int64
	Running int
}

func (u Usage) minus(v Usage) Usage {
	return Usage{SlotMS: u.SlotMS - v.SlotMS, Starts: u.Starts - v.Starts, Running: u.Running - v.Running}
}

// Settings configures a Table.
type Settings struct {
	// UnlimitedWindows gives every entry an unlimited window. Measurements use it for
	// their baseline.
	UnlimitedWindows bool
	Cache            CacheLimits
}

// Pool is the state of one agent's slots and queue.
type Pool struct {
	Settings Settings
	Queue    TaskQueue
	// Upstream is nil until one announces itself.
	Upstream *Upstream
	// RenewedAt is when the upstream last announced itself.
	RenewedAt clock.Millis
	// Leaving is set while no new tasks are started; LeaveReason says why.
	Leaving     bool
	LeaveReason string
	// Draining is set when the agent shuts down and is never cleared.
	Draining bool
	// Started counts the tasks that were sent to the upstream.
	Started uint64

	actions   []Action
	nextID    uint64
	running   map[uint64]*entryTask
	queued    map[uint64]*entryTask
	byMessage map[messageKey]*entryTask
	entries   map[string]*entry
	usage     map[string]*Usage
	cache     *ResultCache
}

// entry is the state of one linked entry. inFlight counts its tasks at this agent;
// waiting and weight are the backlog that it reported.
type entry struct {
	inFlight int
	waiting  int
	weight   float64
	usage    map[string]*Usage
}

// messageKey identifies a task by its entry's incarnation and its MessageID.
type messageKey struct {
	entry string
	id    uint64
}

// entryTask is a task that is queued or running.
type entryTask struct {
	id        uint64
	task      Task
	item      fair.Item
	arrivedAt clock.Millis
	startedAt clock.Millis
	aborted   bool
}

// New returns the core of an agent whose upstream has not yet announced itself.
func New(s Settings, queue TaskQueue) *Pool {
	return &Pool{
		Settings:  s,
		Queue:     queue,
		running:   map[uint64]*entryTask{},
		queued:    map[uint64]*entryTask{},
		byMessage: map[messageKey]*entryTask{},
		entries:   map[string]*entry{},
		usage:     map[string]*Usage{},
		cache:     NewResultCache(s.Cache),
	}
}

// TakeActions returns the outputs since the last call, in order.
func (t *Pool) TakeActions() []Action {
	a := t.actions
	t.actions = nil
	return a
}

// Announce applies an upstream's announcement. The upstream repeats it as a heartbeat.
func (t *Pool) Announce(u Upstream, now clock.Millis) {
	t.Upstream = &u
	t.RenewedAt = now
	t.Leaving = t.Draining
	t.LeaveReason = ""
	t.Queue.SetSlots(u.Slots)
	t.startQueued(now)
}

// Leave stops starting tasks and returns the queued ones to their entries as not run.
// Running tasks continue.
func (t *Pool) Leave(reason string, now clock.Millis) {
	if t.Leaving {
		return
	}
	t.Leaving = true
	t.LeaveReason = reason
	t.returnQueued(reason, now)
}

// Drain does the same as Leave, but permanently: a later announcement does not resume work.
func (t *Pool) Drain(now clock.Millis) {
	t.Draining = true
	t.Leave("the agent is shutting down", now)
}

// Idle reports whether no task is running or queued.
func (t *Pool) Idle() bool {
	return len(t.running) == 0 && len(t.queued) == 0
}

// Running returns the number of tasks that occupy a slot.
func (t *Pool) Running() int { return len(t.running) }

// Queued returns the number of tasks that wait for a slot.
func (t *Pool) Queued() int { return len(t.queued) }

// Tick calls Leave if the upstream's heartbeat is overdue, and expires cached tasks.
func (t *Pool) Tick(now clock.Millis) {
	if t.Upstream != nil && !t.Leaving && now-t.RenewedAt > t.Upstream.HoldMS {
		t.Leave("the upstream's heartbeat is lost", now)
	}
	t.cache.Expire(now)
}

func (t *Pool) returnQueued(reason string, now clock.Millis) {
	for _, et := range t.queued {
		t.Queue.Remove(et.item)
		t.completeNotRun(et, reason, now)
	}
}

// AddEntry registers an entry whose link has come up.
func (t *Pool) AddEntry(incarnation string) {
	t.entries[incarnation] = &entry{usage: map[string]*Usage{}}
}

// RemoveEntry unregisters an entry whose link has ended. Its queued tasks are dropped,
// since nobody is left to receive their outcome. Its running tasks continue, and their
// results are cached.
func (t *Pool) RemoveEntry(incarnation string) {
	for id, et := range t.queued {
		if et.task.Entry != incarnation {
			continue
		}
		t.Queue.Remove(et.item)
		delete(t.queued, id)
		delete(t.byMessage, messageKey{incarnation, et.task.MessageID})
	}
	delete(t.entries, incarnation)
}

// SetBacklog stores the backlog that an entry reported: the number of tasks waiting
// there and the weight of their customers.
func (t *Pool) SetBacklog(incarnation string, waiting int, weight float64) {
	if e := t.entries[incarnation]; e != nil {
		e.waiting = waiting
		e.weight = weight
	}
}

// The queue is limited to maxQueuedPerSlot tasks per slot, but to no fewer than
// minQueueLimit. Entries that respect their windows never reach this limit.
const (
	maxQueuedPerSlot = 8
	minQueueLimit    = 64
)

// Enqueue queues a task from an entry and starts it if a slot is free. A task that
// can't be accepted is completed as not run.
func (t *Pool) Enqueue(task Task, now clock.Millis) {
	t.nextID++
	et := &entryTask{id: t.nextID, task: task, arrivedAt: now}
	if e := t.entries[task.Entry]; e != nil {
		e.inFlight++
	}
	if reason := t.rejectReason(); reason != "" {
		t.completeNotRun(et, reason, now)
		return
	}
	et.item = fair.Item{
		ID:        et.id,
		Flow:      fair.Flow{Customer: task.Customer, Kind: task.Kind},
		Cost:      max(1, task.CostMS),
		ArrivedAt: now,
	}
	t.queued[et.id] = et
	t.byMessage[messageKey{task.Entry, task.MessageID}] = et
	t.Queue.Push(et.item, now)
	t.startQueued(now)
}

// rejectReason returns why a new task can't be accepted, or "" if it can.
func (t *Pool) rejectReason() string {
	if t.Upstream == nil {
		return "no upstream has announced itself"
	}
	if t.Leaving {
		return t.LeaveReason
	}
	if !t.Settings.UnlimitedWindows && len(t.queued) >= max(minQueueLimit, maxQueuedPerSlot*t.Upstream.Slots) {
		return "the agent's queue is full"
	}
	return ""
}

// startQueued starts queued tasks while slots are free.
func (t *Pool) startQueued(now clock.Millis) {
	for t.Upstream != nil && !t.Leaving && len(t.running) < t.Upstream.Slots {
		pick, ok := t.Queue.Next(now, func(string) bool { return true })
		if !ok {
			return
		}
		et := t.queued[pick.Item.ID]
		if now >= et.task.Deadline {
			t.Queue.Release(et.item)
			t.completeNotRun(et, "the deadline passed in the agent's queue", now)
			continue
		}
		t.startTask(et, now)
	}
}

func (t *Pool) startTask(et *entryTask, now clock.Millis) {
	delete(t.queued, et.id)
	t.running[et.id] = et
	et.startedAt = now
	t.Started++
	for _, u := range t.usageCounters(et.task) {
		u.Starts++
		u.Running++
	}
	t.cache.RecordStart(cacheKeyFor(et.task), now)
	t.actions = append(t.actions, Run{ID: et.id, Task: et.task, Timeout: max(1, et.task.Deadline-now)})
}

// usageCounters returns the counters that include a task: its customer's usage through
// all entries and, while its entry is linked, through that entry.
func (t *Pool) usageCounters(task Task) []*Usage {
	counters := []*Usage{usageFor(t.usage, task.Customer)}
	if e := t.entries[task.Entry]; e != nil {
		counters = append(counters, usageFor(e.usage, task.Customer))
	}
	return counters
}

func usageFor(usage map[string]*Usage, customer string) *Usage {
	u := usage[customer]
	if u == nil {
		u = &Usage{}
		usage[customer] = u
	}
	return u
}

// Finish handles the outcome of a task's call to the upstream.
func (t *Pool) Finish(id uint64, o Outcome, now clock.Millis) {
	et := t.running[id]
	if et == nil {
		return
	}
	delete(t.running, id)
	service := now - et.startedAt
	for _, u := range t.usageCounters(et.task) {
		u.SlotMS += service
		u.Running--
	}
	t.Queue.Finish(et.item, float64(service))
	t.cache.RecordResult(cacheKeyFor(et.task), o)
	t.complete(et, o, service, now)
	t.startQueued(now)
}

func (t *Pool) completeNotRun(et *entryTask, reason string, now clock.Millis) {
	delete(t.queued, et.id)
	t.complete(et, Outcome{Status: StatusNotRun, Detail: reason}, 0, now)
}

// complete reports a task's outcome to its entry, if that is still linked.
func (t *Pool) complete(et *entryTask, o Outcome, service, now clock.Millis) {
	delete(t.byMessage, messageKey{et.task.Entry, et.task.MessageID})
	e := t.entries[et.task.Entry]
	if e == nil {
		return
	}
	e.inFlight--
	total, own := usageFor(t.usage, et.task.Customer), usageFor(e.usage, et.task.Customer)
	t.actions = append(t.actions, Completion{
		Entry:       et.task.Entry,
		MessageID:   et.task.MessageID,
		Outcome:     o,
		ServiceMS:   service,
		QueuedMS:    now - et.arrivedAt - service,
		Load:        t.LoadFor(et.task.Entry),
		RemoteUsage: total.minus(*own),
		Leaving:     t.Leaving,
	})
}

// Cancel removes a queued task. A running task is aborted only if it is idempotent;
// otherwise it continues, since its caller may come back for the result.
func (t *Pool) Cancel(entry string, messageID uint64, now clock.Millis) {
	et := t.byMessage[messageKey{entry, messageID}]
	if et == nil || et.aborted {
		return
	}
	if _, queued := t.queued[et.id]; queued {
		t.Queue.Remove(et.item)
		t.completeNotRun(et, "cancelled", now)
		return
	}
	if et.task.Idempotent {
		et.aborted = true
		t.actions = append(t.actions, Abort{ID: et.id})
	}
}

// Find returns the cached tasks of a customer's idempotency key.
func (t *Pool) Find(customer, key string) []CachedTask {
	return t.cache.Find(customer, key)
}
