// Package slot is the core of an agent: it owns the slots of one upstream, decides
// which entry's task runs next, and remembers recent keys and answers. It does no
// I/O, starts no goroutine and reads no clock.
package slot

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// TaskQueue decides which of the queued tasks runs next.
type TaskQueue interface {
	SetSlots(slots int)
	SetContract(c *contr.Contract)
	RemoveContract(customer string)
	Push(it fair.Item, now clock.Millis)
	Remove(it fair.Item) bool
	Next(now clock.Millis, placeable func(kind string) bool) (fair.Pick, bool)
	Finish(it fair.Item, used float64)
	Release(it fair.Item)
	Len() int
}

// Upstream is the back end as it announced itself.
type Upstream struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Slots is the most tasks at once, at least one.
	Slots int `json:"slots"`
	// Connections is the most open connections, at least one.
	Connections int      `json:"connections"`
	Kinds       []string `json:"kinds"`
	// HoldMS is how long an announcement holds without being renewed.
	HoldMS clock.Millis `json:"hold_ms"`
}

// Task is one task that an entry asks to run.
type Task struct {
	// Entry is the incarnation of the entry that asks, and Ask its number there.
	Entry       string
	DispatchID  uint64
	Request     string
	Customer    string
	Kind        string
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

// The ends of a task.
const (
	StatusOK Status = iota
	StatusFailed
	StatusNotRun
	StatusUnknown
)

// Outcome is the end of a task.
type Outcome struct {
	Status Status
	Result reply.Result
	// Detail says why the status is not StatusOK.
	Detail string
	// Unreachable is set with StatusNotRun when the upstream could not be reached.
	Unreachable bool
	// TimedOut is set with StatusMaybe when the call was broken off at its deadline.
	TimedOut bool
}

// Action is an output of the core.
type Action interface{ action() }

// Run starts a task at the upstream.
type Run struct {
	ID      uint64
	Task    Task
	Timeout clock.Millis
}

// Abort breaks off a running task.
type Abort struct {
	ID uint64
}

// Completion tells an entry how its task ended.
type Completion struct {
	Entry       string
	DispatchID  uint64
	Outcome     Outcome
	ServiceMS   clock.Millis
	QueuedMS    clock.Millis
	Load        Load
	OthersUsage Usage
	Leaving     bool
}

func (Run) action()        {}
func (Abort) action()      {}
func (Completion) action() {}

// Load is the state of the slots as one entry sees it.
type Load struct {
	Running int
	Queued  int
	// Window is the most tasks that the entry may have here; at least one.
	Window int
}

// Usage is what was used for a customer since the agent started.
type Usage struct {
	SlotMS  clock.Millis
	Starts  int64
	Running int
}

func (u Usage) minus(v Usage) Usage {
	return Usage{SlotMS: u.SlotMS - v.SlotMS, Starts: u.Starts - v.Starts, Running: u.Running - v.Running}
}

// Settings of the core.
type Settings struct {
	// UnlimitedWindows gives every entry an unlimited window; measurements use it for
	// their baseline.
	UnlimitedWindows bool
	Cache            CacheLimits
}

// Table is the state of one agent.
type Table struct {
	Settings Settings
	Queue    TaskQueue
	// Upstream is nil until one announces itself.
	Upstream *Upstream
	// RenewedAt is when the upstream last announced itself.
	RenewedAt clock.Millis
	// Leaving stops new work; Reason says why.
	Leaving     bool
	LeaveReason string
	// Draining never becomes false again.
	Draining bool
	// Started counts tasks that were given to the upstream.
	Started uint64

	actions []Action
	nextID  uint64
	running map[uint64]*entryTask
	queued  map[uint64]*entryTask
	byAsk   map[askKey]*entryTask
	entries map[string]*entry
	uses    map[string]*Usage
	keep    *ResultCache
}

// entry is what is known of one linked entry.
type entry struct {
	inFlight int
	waiting  int
	weight   float64
	uses     map[string]*Usage
}

type askKey struct {
	entry string
	ask   uint64
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

// New returns the core of an agent whose upstream is yet to come.
func New(s Settings, order TaskQueue) *Table {
	return &Table{
		Settings: s,
		Queue:    order,
		running:  map[uint64]*entryTask{},
		queued:   map[uint64]*entryTask{},
		byAsk:    map[askKey]*entryTask{},
		entries:  map[string]*entry{},
		uses:     map[string]*Usage{},
		keep:     NewResultCache(s.Cache),
	}
}

// TakeActions returns the outputs since the last call, in order.
func (t *Table) TakeActions() []Action {
	a := t.actions
	t.actions = nil
	return a
}

// Announce takes an upstream's announcement, which it repeats as a heartbeat.
func (t *Table) Announce(u Upstream, now clock.Millis) {
	t.Upstream = &u
	t.RenewedAt = now
	t.Leaving = t.Draining
	t.LeaveReason = ""
	t.Queue.SetSlots(u.Slots)
	t.start(now)
}

// Leave stops new work at once; what runs goes on.
func (t *Table) Leave(reason string, now clock.Millis) {
	if t.Leaving {
		return
	}
	t.Leaving = true
	t.LeaveReason = reason
	t.returnQueued(reason, now)
}

// Drain stops new work for good.
func (t *Table) Drain(now clock.Millis) {
	t.Draining = true
	t.Leave("the agent is shutting down", now)
}

// Idle reports whether nothing runs or waits.
func (t *Table) Idle() bool {
	return len(t.running) == 0 && len(t.queued) == 0
}

// Running returns the tasks in slots, and Queued those that wait for one.
func (t *Table) Running() int { return len(t.running) }

// Queued returns the number of tasks that wait for a slot.
func (t *Table) Queued() int { return len(t.queued) }

// Tick does what time brings: a lost heartbeat stops new work.
func (t *Table) Tick(now clock.Millis) {
	if t.Upstream != nil && !t.Leaving && now-t.RenewedAt > t.Upstream.HoldMS {
		t.Leave("the upstream's heartbeat is lost", now)
	}
	t.keep.Expire(now)
}

func (t *Table) returnQueued(reason string, now clock.Millis) {
	for _, et := range t.queued {
		t.Queue.Remove(et.item)
		t.endNotRun(et, reason, now)
	}
}

// AddEntry takes in a linked entry.
func (t *Table) AddEntry(incarnation string) {
	t.entries[incarnation] = &entry{uses: map[string]*Usage{}}
}

// RemoveEntry drops what the entry has queued: nobody is there to answer. What runs
// goes on, and its answer is kept.
func (t *Table) RemoveEntry(incarnation string) {
	for id, et := range t.queued {
		if et.task.Entry != incarnation {
			continue
		}
		t.Queue.Remove(et.item)
		delete(t.queued, id)
		delete(t.byAsk, askKey{incarnation, et.task.DispatchID})
	}
	delete(t.entries, incarnation)
}

// SetBacklog takes what waits at an entry.
func (t *Table) SetBacklog(incarnation string, waiting int, weight float64) {
	if e := t.entries[incarnation]; e != nil {
		e.waiting = waiting
		e.weight = weight
	}
}

// maxQueuedFactor times the slots is the most tasks that may wait here; an entry
// that keeps to its window never gets there.
const (
	maxQueuedFactor = 8
	minQueuedLimit  = 64
)

// Enqueue takes a task from an entry.
func (t *Table) Enqueue(task Task, now clock.Millis) {
	t.nextID++
	et := &entryTask{id: t.nextID, task: task, arrivedAt: now}
	if e := t.entries[task.Entry]; e != nil {
		e.inFlight++
	}
	if reason := t.unstartable(); reason != "" {
		t.endNotRun(et, reason, now)
		return
	}
	et.item = fair.Item{
		ID:        et.id,
		Flow:      fair.Flow{Customer: task.Customer, Kind: task.Kind},
		Cost:      max(1, task.CostMS),
		ArrivedAt: now,
	}
	t.queued[et.id] = et
	t.byAsk[askKey{task.Entry, task.DispatchID}] = et
	t.Queue.Push(et.item, now)
	t.start(now)
}

func (t *Table) unstartable() string {
	if t.Upstream == nil {
		return "no upstream has announced itself"
	}
	if t.Leaving {
		return t.LeaveReason
	}
	if !t.Settings.UnlimitedWindows && len(t.queued) >= max(minQueuedLimit, maxQueuedFactor*t.Upstream.Slots) {
		return "the agent's queue is full"
	}
	return ""
}

func (t *Table) start(now clock.Millis) {
	for t.Upstream != nil && !t.Leaving && len(t.running) < t.Upstream.Slots {
		pick, ok := t.Queue.Next(now, func(string) bool { return true })
		if !ok {
			return
		}
		et := t.queued[pick.Item.ID]
		if now >= et.task.Deadline {
			t.Queue.Release(et.item)
			t.endNotRun(et, "the deadline passed in the agent's queue", now)
			continue
		}
		t.run(et, now)
	}
}

func (t *Table) run(et *entryTask, now clock.Millis) {
	delete(t.queued, et.id)
	t.running[et.id] = et
	et.startedAt = now
	t.Started++
	for _, u := range t.usesOf(et.task) {
		u.Starts++
		u.Running++
	}
	t.keep.RecordStart(keepKeyOf(et.task), now)
	t.actions = append(t.actions, Run{ID: et.id, Task: et.task, Timeout: max(1, et.task.Deadline-now)})
}

// usesOf returns the figures that a task counts in: the customer's over all
// entries, and its entry's part of it.
func (t *Table) usesOf(task Task) []*Usage {
	us := []*Usage{useOf(t.uses, task.Customer)}
	if e := t.entries[task.Entry]; e != nil {
		us = append(us, useOf(e.uses, task.Customer))
	}
	return us
}

func useOf(m map[string]*Usage, customer string) *Usage {
	u := m[customer]
	if u == nil {
		u = &Usage{}
		m[customer] = u
	}
	return u
}

// Finished takes the end of a task at the upstream.
func (t *Table) Finished(id uint64, o Outcome, now clock.Millis) {
	et := t.running[id]
	if et == nil {
		return
	}
	delete(t.running, id)
	service := now - et.startedAt
	for _, u := range t.usesOf(et.task) {
		u.SlotMS += service
		u.Running--
	}
	t.Queue.Finish(et.item, float64(service))
	t.keep.RecordResult(keepKeyOf(et.task), o)
	t.end(et, o, service, now)
	t.start(now)
}

func (t *Table) endNotRun(et *entryTask, reason string, now clock.Millis) {
	delete(t.queued, et.id)
	t.end(et, Outcome{Status: StatusNotRun, Detail: reason}, 0, now)
}

func (t *Table) end(et *entryTask, o Outcome, service, now clock.Millis) {
	delete(t.byAsk, askKey{et.task.Entry, et.task.DispatchID})
	e := t.entries[et.task.Entry]
	if e == nil {
		return
	}
	e.inFlight--
	total, own := useOf(t.uses, et.task.Customer), useOf(e.uses, et.task.Customer)
	t.actions = append(t.actions, Completion{
		Entry:       et.task.Entry,
		DispatchID:  et.task.DispatchID,
		Outcome:     o,
		ServiceMS:   service,
		QueuedMS:    now - et.arrivedAt - service,
		Load:        t.LoadFor(et.task.Entry),
		OthersUsage: total.minus(*own),
		Leaving:     t.Leaving,
	})
}

// Cancel withdraws a task. One that runs is broken off only if it is idempotent:
// any other goes on, since its caller may come back for the answer.
func (t *Table) Cancel(entryID string, ask uint64, now clock.Millis) {
	et := t.byAsk[askKey{entryID, ask}]
	if et == nil || et.aborted {
		return
	}
	if _, waits := t.queued[et.id]; waits {
		t.Queue.Remove(et.item)
		t.endNotRun(et, "cancelled", now)
		return
	}
	if et.task.Idempotent {
		et.aborted = true
		t.actions = append(t.actions, Abort{ID: et.id})
	}
}

// Find returns what is remembered of a key.
func (t *Table) Find(customer, key string) []CachedTask {
	return t.keep.Find(customer, key)
}
