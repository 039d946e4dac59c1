// Package fair decides whose task is served next: customers by the share of their
// contracts, kinds within a customer by theirs. Share is counted in slot
// milliseconds that were used, not in requests. The package does no I/O and reads
// no clock.
package fair

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/pqueue"
)

// Flow is the work of one kind of one customer.
type Flow struct {
	Customer string
	Kind     string
}

// Item is one task that waits.
type Item struct {
	ID   uint64
	Flow Flow
	// Group groups the tasks of one job; single requests have lot zero. Lots of one
	// flow take turns, so that a large job does not shut single requests out.
	Group uint64
	// Cost is the expected use in slot milliseconds, above zero.
	Cost float64
	// ArrivedAt orders nothing; it is kept for the figures of callers.
	ArrivedAt clock.Millis
}

// Rule is why an item went next.
type Rule string

// The rules, in the order in which they apply.
const (
	// RuleFloor: the customer has less in use than its floor.
	RuleFloor Rule = "floor_slots"
	// RuleUrgent: urgent work within the customer's allowance.
	RuleUrgent Rule = "urgent_percent"
	// RuleShare: the customer has used least for its share.
	RuleShare Rule = "share"
)

// Pick is the outcome of a decision.
type Pick struct {
	Item Item
	Rule Rule
}

// unknownShare weighs a customer whose contract is not yet known here.
const unknownShare = 1

// allowanceSpanMS is the span over which an urgent allowance may be saved up.
const allowanceSpanMS = 1000

// minAllowanceRate keeps the time of the next allowance finite.
const minAllowanceRate = 1e-6

// Queue holds waiting tasks in order of fairness.
type Queue struct {
	// Slots is the capacity that allowances are worked out from.
	Slots int

	customers map[string]*customer
	// share orders customers that have work and are below their ceiling.
	share pqueue.Queue[*customer]
	// floor orders the customers of share that are below their floor.
	floor pqueue.Queue[*customer]
	// urgent orders the customers of share that have urgent work and allowance left;
	// those without wait in later, in order of the time at which they have some.
	urgent pqueue.Queue[*customer]
	later  pqueue.Queue[*customer]
	// virtual is the usage for each unit of share at which the last item started;
	// it never decreases.
	virtual     float64
	activeShare float64
	length      int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{customers: map[string]*customer{}}
}

// SetSlots tells the capacity that allowances are worked out from.
func (q *Queue) SetSlots(slots int) {
	q.Slots = slots
}

// SetContract puts a contract in force for its customer's work.
func (q *Queue) SetContract(c *contr.Contract) {
	cu := q.customer(c.Customer)
	if cu.active {
		q.activeShare += c.Share - cu.share()
	}
	cu.contract = c
	for _, k := range cu.kinds {
		cu.configure(k)
	}
	q.place(cu)
}

// RemoveContract leaves waiting work of the customer at the lowest standing.
func (q *Queue) RemoveContract(name string) {
	cu, ok := q.customers[name]
	if !ok {
		return
	}
	if cu.active {
		q.activeShare += unknownShare - cu.share()
	}
	cu.contract = nil
	for _, k := range cu.kinds {
		cu.configure(k)
	}
	q.place(cu)
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.length
}

// Waiting returns the number of items of a customer that wait.
func (q *Queue) Waiting(customer string) int {
	cu, ok := q.customers[customer]
	if !ok {
		return 0
	}
	return cu.waiting
}

// WaitingInFlow returns the number of items of one flow that wait.
func (q *Queue) WaitingInFlow(f Flow) int {
	cu, ok := q.customers[f.Customer]
	if !ok {
		return 0
	}
	k, ok := cu.kinds[f.Kind]
	if !ok {
		return 0
	}
	return k.waiting
}

// ActiveShare returns the sum of the shares of customers that have work here.
func (q *Queue) ActiveShare() float64 {
	return q.activeShare
}

// Push adds an item at the end of its lot.
func (q *Queue) Push(it Item, now clock.Millis) {
	q.add(it, now, false)
}

// PushFront adds an item that was tried before ahead of its lot.
func (q *Queue) PushFront(it Item, now clock.Millis) {
	q.add(it, now, true)
}

func (q *Queue) add(it Item, now clock.Millis, front bool) {
	cu := q.customer(it.Flow.Customer)
	k := cu.kind(it.Flow.Kind)
	cu.activate(q)
	if k.waiting == 0 {
		k.used = max(k.used, cu.virtual)
	}
	k.push(it, front)
	cu.waiting++
	q.length++
	cu.placeKind(k)
	q.refill(cu, now)
	q.place(cu)
}

// Remove takes out a waiting item; it reports whether the item was there.
func (q *Queue) Remove(it Item) bool {
	cu, ok := q.customers[it.Flow.Customer]
	if !ok {
		return false
	}
	k, ok := cu.kinds[it.Flow.Kind]
	if !ok || !k.remove(it) {
		return false
	}
	q.left(cu, k)
	return true
}

func (q *Queue) left(cu *customer, k *kind) {
	cu.waiting--
	q.length--
	cu.placeKind(k)
	cu.deactivate(q)
	q.place(cu)
}

// Next takes out the item that goes next among the kinds that can be placed now.
func (q *Queue) Next(now clock.Millis, placeable func(kind string) bool) (Pick, bool) {
	if cu, k := first(&q.floor, func(cu *customer) *kind { return cu.choose(placeable) }); k != nil {
		return q.take(cu, k, RuleFloor), true
	}
	q.wakeUrgent(now)
	if cu, k := first(&q.urgent, func(cu *customer) *kind { return firstKind(&cu.urgent, placeable) }); k != nil {
		return q.take(cu, k, RuleUrgent), true
	}
	if cu, k := first(&q.share, func(cu *customer) *kind { return cu.choose(placeable) }); k != nil {
		return q.take(cu, k, RuleShare), true
	}
	return Pick{}, false
}

// first returns the lowest-ranked value for which want finds something, and that.
// Values that are passed over go back where they stood.
func first[T, F any](order *pqueue.Queue[T], want func(T) *F) (T, *F) {
	var passed []*pqueue.Node[T]
	defer func() {
		for _, n := range passed {
			order.Set(n, n.Key)
		}
	}()
	for order.Len() > 0 {
		n := order.Min()
		if f := want(n.Value); f != nil {
			return n.Value, f
		}
		order.Remove(n)
		passed = append(passed, n)
	}
	var none T
	return none, nil
}

// firstKind returns the lowest-ranked kind that can be placed.
func firstKind(order *pqueue.Queue[*kind], placeable func(string) bool) *kind {
	_, k := first(order, func(k *kind) *kind {
		if !placeable(k.name) {
			return nil
		}
		return k
	})
	return k
}

// wakeUrgent brings back the customers whose allowance has some left again.
func (q *Queue) wakeUrgent(now clock.Millis) {
	for n := q.later.Min(); n != nil && n.Key <= float64(now); n = q.later.Min() {
		q.refill(n.Value, now)
		q.place(n.Value)
	}
}

func (cu *customer) choose(placeable func(string) bool) *kind {
	return firstKind(&cu.order, placeable)
}

func (q *Queue) take(cu *customer, k *kind, r Rule) Pick {
	it := k.pop()
	q.virtual = max(q.virtual, cu.used)
	cu.virtual = max(cu.virtual, k.used)
	cu.running++
	q.charge(cu, k, it.Cost)
	if r == RuleUrgent {
		cu.allowance -= it.Cost
	}
	q.left(cu, k)
	return Pick{Item: it, Rule: r}
}

func (q *Queue) charge(cu *customer, k *kind, cost float64) {
	cu.used += cost / cu.share()
	k.used += cost / k.share
}

// AddRunning counts an item that is started without having waited here, such as a hedge.
func (q *Queue) AddRunning(it Item) {
	cu := q.customer(it.Flow.Customer)
	k := cu.kind(it.Flow.Kind)
	cu.activate(q)
	cu.running++
	q.charge(cu, k, it.Cost)
	cu.placeKind(k)
	q.place(cu)
}

// Finish corrects the charge of an item that was taken once its use is known.
func (q *Queue) Finish(it Item, used float64) {
	cu := q.customer(it.Flow.Customer)
	k := cu.kind(it.Flow.Kind)
	cu.running--
	q.charge(cu, k, used-it.Cost)
	cu.placeKind(k)
	cu.deactivate(q)
	q.place(cu)
}

// Release gives back an item that was taken but not run.
func (q *Queue) Release(it Item) {
	q.Finish(it, 0)
}

// ChargeRemote counts what other entries used for a customer that is active here,
// so that a flood through another entry does not win over quieter work, and by how
// many slots their use at this moment has changed.
func (q *Queue) ChargeRemote(name string, used float64, running int) {
	cu, ok := q.customers[name]
	if !ok {
		return
	}
	cu.others = max(0, cu.others+running)
	if cu.active {
		cu.used += used / cu.share()
	}
	q.place(cu)
}

// Running returns the customer's items in use here and at other entries.
func (q *Queue) Running(name string) int {
	cu, ok := q.customers[name]
	if !ok {
		return 0
	}
	return cu.running + cu.others
}

// ExpectedShare returns the part of all slots that the flow can count on now.
func (q *Queue) ExpectedShare(f Flow) float64 {
	cu := q.customer(f.Customer)
	k := cu.kind(f.Kind)
	total := q.activeShare
	if !cu.active {
		total += cu.share()
	}
	kinds := k.share
	for _, other := range cu.kinds {
		if other != k && other.waiting > 0 {
			kinds += other.share
		}
	}
	return cu.share() / total * k.share / kinds
}

// refill adds to the allowance what the customer's share earns in urgent work.
func (q *Queue) refill(cu *customer, now clock.Millis) {
	if cu.contract == nil || cu.contract.UrgentPercent == 0 {
		cu.allowance, cu.allowanceRate = 0, 0
		return
	}
	total := max(q.activeShare, cu.share())
	rate := float64(q.Slots) * cu.share() / total * cu.contract.UrgentPercent / 100
	cu.allowanceRate = rate
	cu.allowance += rate * float64(max(0, now-cu.allowanceAt))
	cu.allowance = min(cu.allowance, rate*allowanceSpanMS)
	cu.allowanceAt = now
}
