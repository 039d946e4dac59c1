// Package fair decides whose task is served next: customers by the share of their
// contracts, kinds within a customer by theirs. Share is counted in slot
// milliseconds that were used, not in requests. The package does no I/O and reads
// no clock.
package fair

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/pque"
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
	// Lot groups the tasks of one job; single requests have lot zero. Lots of one
	// flow take turns, so that a large job does not shut single requests out.
	Lot uint64
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
	share pque.Queue[*customer]
	// floor orders the customers of share that are below their floor.
	floor pque.Queue[*customer]
	// urgent orders the customers of share that have urgent work and allowance left;
	// those without wait in later, in order of the time at which they have some.
	urgent pque.Queue[*customer]
	later  pque.Queue[*customer]
	// virtual is the usage for each unit of share at which the last item started;
	// it never decreases.
	virtual     float64
	activeShare float64
	length      int
}

type customer struct {
	name     string
	contract *contr.Contract
	kinds    map[string]*kind
	order    pque.Queue[*kind]
	urgent   pque.Queue[*kind]

	shareNode  *pque.Node[*customer]
	floorNode  *pque.Node[*customer]
	urgentNode *pque.Node[*customer]
	laterNode  *pque.Node[*customer]

	// used is the normalised usage; it decreases only when a cost proves smaller.
	used float64
	// virtual is to kinds what Queue.virtual is to customers.
	virtual float64
	waiting int
	// running counts started items here, others those at other entries.
	running int
	others  int
	// allowance is in slot milliseconds, never above a second's worth.
	allowance   float64
	allowanceAt clock.Millis
	// allowanceRate is in slot milliseconds a millisecond.
	allowanceRate float64
	active        bool
}

type kind struct {
	name    string
	share   float64
	urgent  bool
	used    float64
	lots    []*lot
	byLot   map[uint64]*lot
	waiting int
	node    *pque.Node[*kind]
	hot     *pque.Node[*kind]
}

type lot struct {
	id    uint64
	items []Item
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

// WaitingOf returns the number of items of one flow that wait.
func (q *Queue) WaitingOf(f Flow) int {
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

// first returns the lowest-ranked customer for which choose finds a kind. Customers
// that are passed over go back where they stood.
func first(order *pque.Queue[*customer], choose func(*customer) *kind) (*customer, *kind) {
	var passed []*pque.Node[*customer]
	defer func() {
		for _, n := range passed {
			order.Set(n, n.Rank)
		}
	}()
	for order.Len() > 0 {
		n := order.Min()
		if k := choose(n.Value); k != nil {
			return n.Value, k
		}
		order.Remove(n)
		passed = append(passed, n)
	}
	return nil, nil
}

// wakeUrgent brings back the customers whose allowance has some left again.
func (q *Queue) wakeUrgent(now clock.Millis) {
	for n := q.later.Min(); n != nil && n.Rank <= float64(now); n = q.later.Min() {
		q.refill(n.Value, now)
		q.place(n.Value)
	}
}

func (cu *customer) choose(placeable func(string) bool) *kind {
	return firstKind(&cu.order, placeable)
}

func firstKind(order *pque.Queue[*kind], placeable func(string) bool) *kind {
	if n := order.Min(); n == nil || placeable(n.Value.name) {
		if n == nil {
			return nil
		}
		return n.Value
	}
	var passed []*pque.Node[*kind]
	defer func() {
		for _, n := range passed {
			order.Set(n, n.Rank)
		}
	}()
	for order.Len() > 0 {
		n := order.Min()
		if placeable(n.Value.name) {
			return n.Value
		}
		order.Remove(n)
		passed = append(passed, n)
	}
	return nil
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

// Begin counts an item that is started without having waited here, such as a hedge.
func (q *Queue) Begin(it Item) {
	cu := q.customer(it.Flow.Customer)
	k := cu.kind(it.Flow.Kind)
	cu.activate(q)
	cu.running++
	q.charge(cu, k, it.Cost)
	cu.placeKind(k)
	q.place(cu)
}

// Finished corrects the charge of an item that was taken once its use is known.
func (q *Queue) Finished(it Item, used float64) {
	cu := q.customer(it.Flow.Customer)
	k := cu.kind(it.Flow.Kind)
	cu.running--
	q.charge(cu, k, used-it.Cost)
	cu.placeKind(k)
	cu.deactivate(q)
	q.place(cu)
}

// Returned gives back an item that was taken but not run.
func (q *Queue) Returned(it Item) {
	q.Finished(it, 0)
}

// ChargeOthers counts what other entries used for a customer that is active here,
// so that a flood through another entry does not win over quieter work, and by how
// many slots their use at this moment has changed.
func (q *Queue) ChargeOthers(name string, used float64, running int) {
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

// place puts the customer into the orders that it belongs to now.
func (q *Queue) place(cu *customer) {
	eligible := cu.waiting > 0 && !cu.atCeiling()
	setOrRemove(&q.share, cu.shareNode, eligible, cu.used)
	setOrRemove(&q.floor, cu.floorNode, eligible && cu.belowFloor(), cu.used)
	urgent := eligible && cu.urgent.Len() > 0 && cu.allowanceRate > 0
	setOrRemove(&q.urgent, cu.urgentNode, urgent && cu.allowance > 0, cu.used)
	setOrRemove(&q.later, cu.laterNode, urgent && cu.allowance <= 0, cu.allowedAt())
}

// allowedAt returns when the allowance has some left again.
func (cu *customer) allowedAt() float64 {
	return float64(cu.allowanceAt) + 1 - cu.allowance/max(cu.allowanceRate, minAllowanceRate)
}

func setOrRemove[T any](order *pque.Queue[T], n *pque.Node[T], in bool, rank float64) {
	if in {
		order.Set(n, rank)
		return
	}
	order.Remove(n)
}

func (cu *customer) atCeiling() bool {
	c := cu.contract
	return c != nil && c.CeilingSlots > 0 && cu.running+cu.others >= c.CeilingSlots
}

func (cu *customer) belowFloor() bool {
	return cu.contract != nil && cu.running+cu.others < cu.contract.FloorSlots
}

func (cu *customer) share() float64 {
	if cu.contract == nil {
		return unknownShare
	}
	return cu.contract.Share
}

// activate gives a customer that comes back no credit for the time it was idle.
func (cu *customer) activate(q *Queue) {
	if cu.active {
		return
	}
	cu.active = true
	cu.used = max(cu.used, q.virtual)
	q.activeShare += cu.share()
}

func (cu *customer) deactivate(q *Queue) {
	if !cu.active || cu.waiting > 0 || cu.running > 0 {
		return
	}
	cu.active = false
	q.activeShare -= cu.share()
}

func (cu *customer) placeKind(k *kind) {
	setOrRemove(&cu.order, k.node, k.waiting > 0, k.used)
	setOrRemove(&cu.urgent, k.hot, k.waiting > 0 && k.urgent, k.used)
}

func (cu *customer) configure(k *kind) {
	k.share = unknownShare
	k.urgent = false
	if cu.contract == nil {
		return
	}
	if c := cu.contract.Kind(k.name); c != nil {
		k.share = c.Share
		k.urgent = c.Priority == contr.PriorityUrgent
	}
	cu.placeKind(k)
}

func (q *Queue) customer(name string) *customer {
	cu, ok := q.customers[name]
	if ok {
		return cu
	}
	cu = &customer{name: name, kinds: map[string]*kind{}}
	cu.shareNode = &pque.Node[*customer]{Value: cu}
	cu.floorNode = &pque.Node[*customer]{Value: cu}
	cu.urgentNode = &pque.Node[*customer]{Value: cu}
	cu.laterNode = &pque.Node[*customer]{Value: cu}
	q.customers[name] = cu
	return cu
}

func (cu *customer) kind(name string) *kind {
	k, ok := cu.kinds[name]
	if ok {
		return k
	}
	k = &kind{name: name, byLot: map[uint64]*lot{}}
	k.node = &pque.Node[*kind]{Value: k}
	k.hot = &pque.Node[*kind]{Value: k}
	cu.kinds[name] = k
	cu.configure(k)
	return k
}

func (k *kind) push(it Item, front bool) {
	l, ok := k.byLot[it.Lot]
	if !ok {
		l = &lot{id: it.Lot}
		k.byLot[it.Lot] = l
		k.lots = append(k.lots, l)
	}
	if front {
		l.items = append([]Item{it}, l.items...)
	} else {
		l.items = append(l.items, it)
	}
	k.waiting++
}

// pop takes the first item of the first lot, and the lot goes to the end.
func (k *kind) pop() Item {
	l := k.lots[0]
	it := l.items[0]
	l.items = l.items[1:]
	k.lots = k.lots[1:]
	k.waiting--
	if len(l.items) == 0 {
		delete(k.byLot, l.id)
		return it
	}
	k.lots = append(k.lots, l)
	return it
}

func (k *kind) remove(it Item) bool {
	l, ok := k.byLot[it.Lot]
	if !ok {
		return false
	}
	i := indexOf(l.items, it.ID)
	if i < 0 {
		return false
	}
	l.items = append(l.items[:i], l.items[i+1:]...)
	k.waiting--
	if len(l.items) == 0 {
		k.dropLot(l)
	}
	return true
}

func (k *kind) dropLot(l *lot) {
	delete(k.byLot, l.id)
	for i := range k.lots {
		if k.lots[i] == l {
			k.lots = append(k.lots[:i], k.lots[i+1:]...)
			return
		}
	}
}

func indexOf(items []Item, id uint64) int {
	for i := range items {
		if items[i].ID == id {
			return i
		}
	}
	return -1
}
