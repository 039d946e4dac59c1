// Package fair decides which waiting task is served next. It divides the slots among
// customers by the shares in their contracts, and each customer's part among its
// kinds by their shares. Usage is measured in slot milliseconds, not in requests.
// The package does no I/O and reads no clock.
package fair

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/pqueue"
)

// Flow identifies the tasks of one kind of one customer.
type Flow struct {
	Customer string
	Kind     string
}

// Item is a waiting task.
type Item struct {
	ID   uint64
	Flow Flow
	// Group is shared by the tasks of one job; single requests have group zero. The
	// groups of a flow are served in turn, so that a large job cannot starve single
	// requests.
	Group uint64
	// Cost is the expected usage in slot milliseconds, above zero.
	Cost float64
	// ArrivedAt is the time at which the item was queued. It does not affect the order.
	ArrivedAt clock.Millis
}

// Rule is the contract line by which an item was selected.
type Rule string

// The rules, in order of precedence.
const (
	// RuleFloor applies to a customer that has fewer slots in use than its floor.
	RuleFloor Rule = "floor_slots"
	// RuleUrgent applies to urgent tasks within the customer's allowance.
	RuleUrgent Rule = "urgent_percent"
	// RuleShare selects the customer with the lowest usage relative to its share.
	RuleShare Rule = "share"
)

// Pick is a selected item and the rule that selected it.
type Pick struct {
	Item Item
	Rule Rule
}

// defaultShare is the share of a customer or kind that has no contract here yet.
const defaultShare = 1

// maxAllowanceMS is the time over which an unused urgent allowance accumulates.
const maxAllowanceMS = 1000

// minAllowanceRate keeps the time at which an allowance becomes positive finite.
const minAllowanceRate = 1e-6

// Queue selects waiting tasks by fair sharing.
type Queue struct {
	// Slots is the capacity from which urgent allowances are computed.
	Slots int

	customers map[string]*customer
	// byShare orders the customers that have waiting tasks and are below their ceiling.
	byShare pqueue.Queue[*customer]
	// belowFloor orders the customers in byShare that are below their floor.
	belowFloor pqueue.Queue[*customer]
	// urgent orders the customers in byShare that have urgent tasks and a positive
	// allowance. Those whose allowance is used up are in awaitingAllowance, ordered
	// by the time at which it becomes positive.
	urgent            pqueue.Queue[*customer]
	awaitingAllowance pqueue.Queue[*customer]
	// virtualTime is the highest usage per unit of share that a customer had when one
	// of its items was selected; it never decreases.
	virtualTime float64
	// activeShare is the sum of the shares of the active customers.
	activeShare float64
	// length is the number of waiting items.
	length int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{customers: map[string]*customer{}}
}

// SetSlots sets the capacity from which urgent allowances are computed.
func (q *Queue) SetSlots(slots int) {
	q.Slots = slots
}

// SetContract applies a contract to its customer's tasks.
func (q *Queue) SetContract(c *contr.Contract) {
	cu := q.customer(c.Customer)
	if cu.active {
		q.activeShare += c.Share - cu.share()
	}
	cu.contract = c
	for _, k := range cu.kinds {
		cu.applyContract(k)
	}
	q.updateQueues(cu)
}

// RemoveContract removes a customer's contract. Tasks that are still waiting keep
// the default share, without floor or urgent allowance.
func (q *Queue) RemoveContract(name string) {
	cu, ok := q.customers[name]
	if !ok {
		return
	}
	if cu.active {
		q.activeShare += defaultShare - cu.share()
	}
	cu.contract = nil
	for _, k := range cu.kinds {
		cu.applyContract(k)
	}
	q.updateQueues(cu)
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	return q.length
}

// Waiting returns the number of a customer's waiting items.
func (q *Queue) Waiting(customer string) int {
	cu, ok := q.customers[customer]
	if !ok {
		return 0
	}
	return cu.waiting
}

// WaitingInFlow returns the number of waiting items in one flow.
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

// ActiveShare returns the sum of the shares of customers that have waiting or running
// items at this process.
func (q *Queue) ActiveShare() float64 {
	return q.activeShare
}

// Push adds an item at the end of its group.
func (q *Queue) Push(it Item, now clock.Millis) {
	q.add(it, now, false)
}

// PushFront adds an item that has been attempted before at the front of its group.
func (q *Queue) PushFront(it Item, now clock.Millis) {
	q.add(it, now, true)
}

func (q *Queue) add(it Item, now clock.Millis, front bool) {
	cu := q.customer(it.Flow.Customer)
	k := cu.kind(it.Flow.Kind)
	cu.activate(q)
	if k.waiting == 0 {
		k.usagePerShare = max(k.usagePerShare, cu.virtualTime)
	}
	k.push(it, front)
	cu.waiting++
	q.length++
	cu.updateKindQueues(k)
	q.refill(cu, now)
	q.updateQueues(cu)
}

// Remove removes a waiting item and reports whether the item was in the queue.
func (q *Queue) Remove(it Item) bool {
	cu, ok := q.customers[it.Flow.Customer]
	if !ok {
		return false
	}
	k, ok := cu.kinds[it.Flow.Kind]
	if !ok || !k.remove(it) {
		return false
	}
	q.itemRemoved(cu, k)
	return true
}

// itemRemoved updates the counts and the queues after an item of k was removed.
func (q *Queue) itemRemoved(cu *customer, k *kind) {
	cu.waiting--
	q.length--
	cu.updateKindQueues(k)
	cu.deactivateIfIdle(q)
	q.updateQueues(cu)
}

// Next removes and returns the item to serve next, considering only kinds for which
// placeable returns true.
func (q *Queue) Next(now clock.Millis, placeable func(kind string) bool) (Pick, bool) {
	if cu, k := firstMatch(&q.belowFloor, func(cu *customer) *kind { return cu.nextKind(placeable) }); k != nil {
		return q.take(cu, k, RuleFloor), true
	}
	q.refillUrgent(now)
	if cu, k := firstMatch(&q.urgent, func(cu *customer) *kind { return firstPlaceable(&cu.urgentKinds, placeable) }); k != nil {
		return q.take(cu, k, RuleUrgent), true
	}
	if cu, k := firstMatch(&q.byShare, func(cu *customer) *kind { return cu.nextKind(placeable) }); k != nil {
		return q.take(cu, k, RuleShare), true
	}
	return Pick{}, false
}

// firstMatch returns the value with the lowest key for which match returns a result, and
// that result. The values that it skips return to their places in the queue.
func firstMatch[T, F any](queue *pqueue.Queue[T], match func(T) *F) (T, *F) {
	var skipped []*pqueue.Node[T]
	defer func() {
		for _, n := range skipped {
			queue.Set(n, n.Key)
		}
	}()
	for queue.Len() > 0 {
		n := queue.Min()
		if f := match(n.Value); f != nil {
			return n.Value, f
		}
		queue.Remove(n)
		skipped = append(skipped, n)
	}
	var zero T
	return zero, nil
}

// firstPlaceable returns the kind with the lowest key that can be placed, or nil.
func firstPlaceable(queue *pqueue.Queue[*kind], placeable func(string) bool) *kind {
	_, k := firstMatch(queue, func(k *kind) *kind {
		if !placeable(k.name) {
			return nil
		}
		return k
	})
	return k
}

// refillUrgent moves customers whose allowance has become positive from awaitingAllowance
// back to urgent.
func (q *Queue) refillUrgent(now clock.Millis) {
	for n := q.awaitingAllowance.Min(); n != nil && n.Key <= float64(now); n = q.awaitingAllowance.Min() {
		q.refill(n.Value, now)
		q.updateQueues(n.Value)
	}
}

// nextKind returns the placeable kind with waiting items and the lowest usage per share, or
// nil.
func (cu *customer) nextKind(placeable func(string) bool) *kind {
	return firstPlaceable(&cu.waitingKinds, placeable)
}

// take removes the next item of k and charges its expected cost.
func (q *Queue) take(cu *customer, k *kind, r Rule) Pick {
	it := k.pop()
	q.virtualTime = max(q.virtualTime, cu.usagePerShare)
	cu.virtualTime = max(cu.virtualTime, k.usagePerShare)
	cu.running++
	q.charge(cu, k, it.Cost)
	if r == RuleUrgent {
		cu.allowance -= it.Cost
	}
	q.itemRemoved(cu, k)
	return Pick{Item: it, Rule: r}
}

// charge adds a cost, or subtracts a negative one, to the usage of a customer and a kind.
func (q *Queue) charge(cu *customer, k *kind, cost float64) {
	cu.usagePerShare += cost / cu.share()
	k.usagePerShare += cost / k.share
}

// AddRunning counts an item that starts without having been queued, such as a hedge.
func (q *Queue) AddRunning(it Item) {
	cu := q.customer(it.Flow.Customer)
	k := cu.kind(it.Flow.Kind)
	cu.activate(q)
	cu.running++
	q.charge(cu, k, it.Cost)
	cu.updateKindQueues(k)
	q.updateQueues(cu)
}

// Finish replaces the expected cost of a started item with its actual usage in slot
// milliseconds.
func (q *Queue) Finish(it Item, usedMS float64) {
	cu := q.customer(it.Flow.Customer)
	k := cu.kind(it.Flow.Kind)
	cu.running--
	q.charge(cu, k, usedMS-it.Cost)
	cu.updateKindQueues(k)
	cu.deactivateIfIdle(q)
	q.updateQueues(cu)
}

// Release refunds the charge of an item that was selected but did not run.
func (q *Queue) Release(it Item) {
	q.Finish(it, 0)
}

// ChargeRemote accounts for a customer's work at other entries. The usedMS slot
// milliseconds are charged to a customer that is active here, so that it gains no
// advantage over others by flooding another entry. running is the change in the
// number of its items that run at other entries.
func (q *Queue) ChargeRemote(name string, usedMS float64, running int) {
	cu, ok := q.customers[name]
	if !ok {
		return
	}
	cu.remoteRunning = max(0, cu.remoteRunning+running)
	if cu.active {
		cu.usagePerShare += usedMS / cu.share()
	}
	q.updateQueues(cu)
}

// Running returns the number of the customer's running items, here and at other
// entries.
func (q *Queue) Running(name string) int {
	cu, ok := q.customers[name]
	if !ok {
		return 0
	}
	return cu.running + cu.remoteRunning
}

// ExpectedShare returns the fraction of all slots that the flow can expect now.
func (q *Queue) ExpectedShare(f Flow) float64 {
	cu := q.customer(f.Customer)
	k := cu.kind(f.Kind)
	total := q.activeShare
	if !cu.active {
		total += cu.share()
	}
	kindShares := k.share
	for _, other := range cu.kinds {
		if other != k && other.waiting > 0 {
			kindShares += other.share
		}
	}
	return cu.share() / total * k.share / kindShares
}

// refill adds to the urgent allowance what the customer's share has earned since the
// last refill.
func (q *Queue) refill(cu *customer, now clock.Millis) {
	if cu.contract == nil || cu.contract.UrgentPercent == 0 {
		cu.allowance, cu.allowanceRate = 0, 0
		return
	}
	total := max(q.activeShare, cu.share())
	rate := float64(q.Slots) * cu.share() / total * cu.contract.UrgentPercent / 100
	cu.allowanceRate = rate
	cu.allowance += rate * float64(max(0, now-cu.allowanceUpdatedAt))
	cu.allowance = min(cu.allowance, rate*maxAllowanceMS)
	cu.allowanceUpdatedAt = now
}
