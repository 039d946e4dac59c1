package fair

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/pqueue"
)

type customer struct {
	name     string
	contract *contr.Contract
	kinds    map[string]*kind
	order    pqueue.Queue[*kind]
	urgent   pqueue.Queue[*kind]

	shareNode  *pqueue.Node[*customer]
	floorNode  *pqueue.Node[*customer]
	urgentNode *pqueue.Node[*customer]
	laterNode  *pqueue.Node[*customer]

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
	name       string
	share      float64
	urgent     bool
	used       float64
	lots       []*lot
	byLot      map[uint64]*lot
	waiting    int
	node       *pqueue.Node[*kind]
	urgentNode *pqueue.Node[*kind]
}

type lot struct {
	id    uint64
	items []Item
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

func setOrRemove[T any](order *pqueue.Queue[T], n *pqueue.Node[T], in bool, rank float64) {
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
	setOrRemove(&cu.urgent, k.urgentNode, k.waiting > 0 && k.urgent, k.used)
}

// configure takes over what the contract says of the kind.
func (cu *customer) configure(k *kind) {
	k.share, k.urgent = unknownShare, false
	if cu.contract != nil {
		if c := cu.contract.Kind(k.name); c != nil {
			k.share = c.Share
			k.urgent = c.Priority == contr.PriorityUrgent
		}
	}
	cu.placeKind(k)
}

func (q *Queue) customer(name string) *customer {
	cu, ok := q.customers[name]
	if ok {
		return cu
	}
	cu = &customer{name: name, kinds: map[string]*kind{}}
	cu.shareNode = &pqueue.Node[*customer]{Value: cu}
	cu.floorNode = &pqueue.Node[*customer]{Value: cu}
	cu.urgentNode = &pqueue.Node[*customer]{Value: cu}
	cu.laterNode = &pqueue.Node[*customer]{Value: cu}
	q.customers[name] = cu
	return cu
}

func (cu *customer) kind(name string) *kind {
	k, ok := cu.kinds[name]
	if ok {
		return k
	}
	k = &kind{name: name, byLot: map[uint64]*lot{}}
	k.node = &pqueue.Node[*kind]{Value: k}
	k.urgentNode = &pqueue.Node[*kind]{Value: k}
	cu.kinds[name] = k
	cu.configure(k)
	return k
}

func (k *kind) push(it Item, front bool) {
	l, ok := k.byLot[it.Group]
	if !ok {
		l = &lot{id: it.Group}
		k.byLot[it.Group] = l
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
	l, ok := k.byLot[it.Group]
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
