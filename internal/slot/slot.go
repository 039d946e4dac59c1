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
	Name string `json:"name"`
	// Address is the upstream's base URL, such as http://127.0.0.1:8080.
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
	Key        string
	Index      int
	Idempotent bool
	Deadline   clock.Millis
	// CostMS is the expected service time.
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

// Action is an output of the pool, to be performed by the agent.
type Action interface{ action() }

// Run starts a task at the upstream. ID is the pool's number of the task, under which Finish
// expects its outcome.
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
	// ServiceMS is how long the task ran, and QueuedMS how long it was queued here.
	ServiceMS clock.Millis
	QueuedMS  clock.Millis
	Load      Load
	// RemoteUsage is the usage of the task's customer through all other entries.
	RemoteUsage Usage
	// Leaving is set while the agent starts no new tasks.
	Leaving bool
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

// Settings configures a pool.
type Settings struct {
	// UnlimitedWindows gives every entry an unlimited window. Measurements use it for
	// their baseline.
	UnlimitedWindows bool
	Cache            CacheLimits
}

// Pool owns the slots of one upstream and decides which queued task runs next.
type Pool struct {
	Settings Settings
	Queue    TaskQueue
	// Upstream is nil until one announces itself.
	Upstream *Upstream
	// RenewedAt is when the upstream last announced itself.
	RenewedAt clock.Millis
	// Leaving is set while the upstream or the agent is leaving, so that no new tasks are
	// started; LeaveReason says why.
	Leaving     bool
	LeaveReason string
	// Draining is set when the agent shuts down and is never cleared.
	Draining bool
	// ZoneDrained is set while the zone of the upstream is drained. SetZoneDrained sets it.
	ZoneDrained bool
	// Started counts the tasks that were sent to the upstream.
	Started uint64

	actions []Action
	lastID  uint64
	// running and queued hold the tasks by their id.
	running   map[uint64]*entryTask
	queued    map[uint64]*entryTask
	byMessage map[messageKey]*entryTask
	// entries holds the linked entries by incarnation.
	entries map[string]*entry
	// usage holds the usage of each customer through all entries.
	usage map[string]*Usage
	cache *ResultCache
}

// entry is the state of one linked entry. inFlight counts its tasks at this agent;
// waiting and weight are the backlog that it reported. usage holds the usage of each customer
// through this entry.
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

// New returns a pool whose upstream has not yet announced itself.
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

// TakeActions returns the actions since the last call, in order.
func (p *Pool) TakeActions() []Action {
	a := p.actions
	p.actions = nil
	return a
}

// Announce applies an upstream's announcement, which the upstream repeats as a heartbeat.
// Unless the agent is draining, it also resumes work after Leave.
func (p *Pool) Announce(u Upstream, now clock.Millis) {
	p.Upstream = &u
	p.RenewedAt = now
	p.Leaving = p.Draining
	p.LeaveReason = ""
	p.Queue.SetSlots(u.Slots)
	p.startQueued(now)
}

// Leave stops starting tasks and returns the queued ones to their entries as not run.
// Running tasks continue.
func (p *Pool) Leave(reason string, now clock.Millis) {
	if p.Leaving {
		return
	}
	p.Leaving = true
	p.LeaveReason = reason
	p.returnQueued(reason, now)
}

// Drain does the same as Leave, but permanently: a later announcement does not resume work.
func (p *Pool) Drain(now clock.Millis) {
	p.Draining = true
	p.Leave("the agent is shutting down", now)
}

// Idle reports whether no task is running or queued.
func (p *Pool) Idle() bool {
	return len(p.running) == 0 && len(p.queued) == 0
}

// Running returns the number of tasks that occupy a slot.
func (p *Pool) Running() int { return len(p.running) }

// Queued returns the number of tasks that wait for a slot.
func (p *Pool) Queued() int { return len(p.queued) }

// Tick calls Leave if the upstream's heartbeat is overdue, and expires cached tasks.
func (p *Pool) Tick(now clock.Millis) {
	if p.Upstream != nil && !p.Leaving && now-p.RenewedAt > p.Upstream.HoldMS {
		p.Leave("the upstream's heartbeat is lost", now)
	}
	p.cache.Expire(now)
}

// returnQueued completes all queued tasks as not run.
func (p *Pool) returnQueued(reason string, now clock.Millis) {
	for _, et := range p.queued {
		p.Queue.Remove(et.item)
		p.completeNotRun(et, reason, now)
	}
}

// AddEntry registers an entry whose link has come up.
func (p *Pool) AddEntry(incarnation string) {
	p.entries[incarnation] = &entry{usage: map[string]*Usage{}}
}

// RemoveEntry unregisters an entry whose link has ended. Its queued tasks are dropped,
// since nobody is left to receive their outcome. Its running tasks continue, and their
// results are cached.
func (p *Pool) RemoveEntry(incarnation string) {
	for id, et := range p.queued {
		if et.task.Entry != incarnation {
			continue
		}
		p.Queue.Remove(et.item)
		delete(p.queued, id)
		delete(p.byMessage, messageKey{incarnation, et.task.MessageID})
	}
	delete(p.entries, incarnation)
}

// SetBacklog stores the backlog that an entry reported: the number of tasks waiting
// there and the sum of the shares of the customers with work there.
func (p *Pool) SetBacklog(incarnation string, waiting int, weight float64) {
	if e := p.entries[incarnation]; e != nil {
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
func (p *Pool) Enqueue(task Task, now clock.Millis) {
	p.lastID++
	et := &entryTask{id: p.lastID, task: task, arrivedAt: now}
	if e := p.entries[task.Entry]; e != nil {
		e.inFlight++
	}
	if reason := p.rejectReason(); reason != "" {
		p.completeNotRun(et, reason, now)
		return
	}
	et.item = fair.Item{
		ID:        et.id,
		Flow:      fair.Flow{Customer: task.Customer, Kind: task.Kind},
		Cost:      max(1, task.CostMS),
		ArrivedAt: now,
	}
	p.queued[et.id] = et
	p.byMessage[messageKey{task.Entry, task.MessageID}] = et
	p.Queue.Push(et.item, now)
	p.startQueued(now)
}

// rejectReason returns why a new task can't be accepted, or "" if it can.
func (p *Pool) rejectReason() string {
	if p.Upstream == nil {
		return "no upstream has announced itself"
	}
	if p.Leaving {
		return p.LeaveReason
	}
	if p.ZoneDrained {
		return zoneDrainedReason
	}
	if !p.Settings.UnlimitedWindows && len(p.queued) >= max(minQueueLimit, maxQueuedPerSlot*p.Upstream.Slots) {
		return "the agent's queue is full"
	}
	return ""
}

// startQueued starts queued tasks while both a slot and a connection are free. A task that was in a
// slot but waited for a connection could reach the upstream after the pool was closed. Tasks whose
// deadline has passed are completed as not run.
func (p *Pool) startQueued(now clock.Millis) {
	for p.Upstream != nil && !p.Closed() && len(p.running) < min(p.Upstream.Slots, p.Upstream.Connections) {
		// Every kind runs on this upstream.
		pick, ok := p.Queue.Next(now, func(string) bool { return true })
		if !ok {
			return
		}
		et := p.queued[pick.Item.ID]
		if now >= et.task.Deadline {
			p.Queue.Release(et.item)
			p.completeNotRun(et, "the deadline passed in the agent's queue", now)
			continue
		}
		p.startTask(et, now)
	}
}

func (p *Pool) startTask(et *entryTask, now clock.Millis) {
	delete(p.queued, et.id)
	p.running[et.id] = et
	et.startedAt = now
	p.Started++
	for _, u := range p.usageCounters(et.task) {
		u.Starts++
		u.Running++
	}
	p.cache.RecordStart(cacheKeyFor(et.task), now)
	p.actions = append(p.actions, Run{ID: et.id, Task: et.task, Timeout: max(1, et.task.Deadline-now)})
}

// usageCounters returns the counters that include a task: its customer's usage through
// all entries and, while its entry is linked, through that entry.
func (p *Pool) usageCounters(task Task) []*Usage {
	counters := []*Usage{usageFor(p.usage, task.Customer)}
	if e := p.entries[task.Entry]; e != nil {
		counters = append(counters, usageFor(e.usage, task.Customer))
	}
	return counters
}

// usageFor returns the usage of a customer and adds it to the map if it is new.
func usageFor(usage map[string]*Usage, customer string) *Usage {
	u := usage[customer]
	if u == nil {
		u = &Usage{}
		usage[customer] = u
	}
	return u
}

// Finish handles the outcome of a task's call to the upstream.
func (p *Pool) Finish(id uint64, o Outcome, now clock.Millis) {
	et := p.running[id]
	if et == nil {
		return
	}
	delete(p.running, id)
	service := now - et.startedAt
	for _, u := range p.usageCounters(et.task) {
		u.SlotMS += service
		u.Running--
	}
	p.Queue.Finish(et.item, float64(service))
	p.cache.RecordResult(cacheKeyFor(et.task), o)
	p.complete(et, o, service, now)
	p.startQueued(now)
}

func (p *Pool) completeNotRun(et *entryTask, reason string, now clock.Millis) {
	delete(p.queued, et.id)
	p.complete(et, Outcome{Status: StatusNotRun, Detail: reason}, 0, now)
}

// complete reports a task's outcome to its entry, if that is still linked.
func (p *Pool) complete(et *entryTask, o Outcome, service, now clock.Millis) {
	delete(p.byMessage, messageKey{et.task.Entry, et.task.MessageID})
	e := p.entries[et.task.Entry]
	if e == nil {
		return
	}
	e.inFlight--
	total, own := usageFor(p.usage, et.task.Customer), usageFor(e.usage, et.task.Customer)
	p.actions = append(p.actions, Completion{
		Entry:       et.task.Entry,
		MessageID:   et.task.MessageID,
		Outcome:     o,
		ServiceMS:   service,
		QueuedMS:    now - et.arrivedAt - service,
		Load:        p.LoadFor(et.task.Entry),
		RemoteUsage: total.minus(*own),
		Leaving:     p.Closed(),
	})
}

// Cancel completes a queued task as not run. A running task is aborted only if it is
// idempotent; otherwise it continues, since its caller may look up or resubmit its key to
// get the result.
func (p *Pool) Cancel(incarnation string, messageID uint64, now clock.Millis) {
	et := p.byMessage[messageKey{incarnation, messageID}]
	if et == nil || et.aborted {
		return
	}
	if _, queued := p.queued[et.id]; queued {
		p.Queue.Remove(et.item)
		p.completeNotRun(et, "cancelled", now)
		return
	}
	if et.task.Idempotent {
		et.aborted = true
		p.actions = append(p.actions, Abort{ID: et.id})
	}
}

// Find returns the cached tasks of a customer's idempotency key.
func (p *Pool) Find(customer, key string) []CachedTask {
	return p.cache.Find(customer, key)
}
