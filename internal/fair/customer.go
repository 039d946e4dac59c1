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
	// waitingKinds orders the kinds that have waiting items, and urgentKinds those of them
	// that are urgent.
	waitingKinds pqueue.Queue[*kind]
	urgentKinds  pqueue.Queue[*kind]

	// The nodes of the customer in Queue.byShare, belowFloor, urgent and awaitingAllowance.
	shareNode             *pqueue.Node[*customer]
	floorNode             *pqueue.Node[*customer]
	urgentNode            *pqueue.Node[*customer]
	awaitingAllowanceNode *pqueue.Node[*customer]

	// usagePerShare is the usage divided by the share. It decreases only when an item
	// used less than its expected cost.
	usagePerShare float64
	// virtualTime is the highest usage per share that a kind of the customer had when one
	// of its items was selected; it never decreases.
	virtualTime float64
	waiting     int
	// running counts the items started here, and remoteRunning those at other entries.
	running       int
	remoteRunning int
	// allowance is the usage, in slot milliseconds, that urgent items may still have under
	// RuleUrgent. It is at most what accrues in maxAllowanceMS, and negative after an
	// urgent item that cost more than was left.
	allowance          float64
	allowanceUpdatedAt clock.Millis
	// allowanceRate is in slot milliseconds per millisecond.
	allowanceRate float64
	// active is true while the customer has waiting or running items here.
	active bool
}

type kind struct {
	name          string
	share         float64
	urgent        bool
	usagePerShare float64
	// groups are the groups with waiting items, in the order in which they are served.
	groups     []*group
	groupsByID map[uint64]*group
	waiting    int
	// The nodes of the kind in customer.waitingKinds and urgentKinds.
	node       *pqueue.Node[*kind]
	urgentNode *pqueue.Node[*kind]
}

type group struct {
	id    uint64
	items []Item
}

// updateQueues adds the customer to those queues of byShare, belowFloor, urgent and
// awaitingAllowance for which it qualifies, and removes it from the others.
func (q *Queue) updateQueues(cu *customer) {
	eligible := cu.waiting > 0 && !cu.atCeiling()
	setOrRemove(&q.byShare, cu.shareNode, eligible, cu.usagePerShare)
	setOrRemove(&q.belowFloor, cu.floorNode, eligible && cu.belowFloor(), cu.usagePerShare)
	urgent := eligible && cu.urgentKinds.Len() > 0 && cu.allowanceRate > 0
	setOrRemove(&q.urgent, cu.urgentNode, urgent && cu.allowance > 0, cu.usagePerShare)
	setOrRemove(&q.awaitingAllowance, cu.awaitingAllowanceNode, urgent && cu.allowance <= 0, cu.allowanceAvailableAt())
}

// allowanceAvailableAt returns the time in milliseconds at which the allowance becomes
// positive. That is one millisecond after it reaches zero, which is not yet positive.
func (cu *customer) allowanceAvailableAt() float64 {
	return float64(cu.allowanceUpdatedAt) + 1 - cu.allowance/max(cu.allowanceRate, minAllowanceRate)
}

func setOrRemove[T any](queue *pqueue.Queue[T], n *pqueue.Node[T], include bool, key float64) {
	if include {
		queue.Set(n, key)
		return
	}
	queue.Remove(n)
}

func (cu *customer) atCeiling() bool {
	c := cu.contract
	return c != nil && c.CeilingSlots > 0 && cu.running+cu.remoteRunning >= c.CeilingSlots
}

func (cu *customer) belowFloor() bool {
	return cu.contract != nil && cu.running+cu.remoteRunning < cu.contract.FloorSlots
}

func (cu *customer) share() float64 {
	if cu.contract == nil {
		return defaultShare
	}
	return cu.contract.Share
}

// activate marks the customer as having work. It raises the usage to the virtual
// time, so that a customer gets no credit for the time it was idle.
func (cu *customer) activate(q *Queue) {
	if cu.active {
		return
	}
	cu.active = true
	cu.usagePerShare = max(cu.usagePerShare, q.virtualTime)
	q.activeShare += cu.share()
}

// deactivateIfIdle marks the customer as having no work if it has no waiting or running items.
func (cu *customer) deactivateIfIdle(q *Queue) {
	if !cu.active || cu.waiting > 0 || cu.running > 0 {
		return
	}
	cu.active = false
	q.activeShare -= cu.share()
}

// updateKindQueues adds the kind to those queues of waitingKinds and urgentKinds for which it
// qualifies, and removes it from the others.
func (cu *customer) updateKindQueues(k *kind) {
	setOrRemove(&cu.waitingKinds, k.node, k.waiting > 0, k.usagePerShare)
	setOrRemove(&cu.urgentKinds, k.urgentNode, k.waiting > 0 && k.urgent, k.usagePerShare)
}

// applyContract sets the kind's share and urgency from the contract.
func (cu *customer) applyContract(k *kind) {
	k.share, k.urgent = defaultShare, false
	if cu.contract != nil {
		if c := cu.contract.Kind(k.name); c != nil {
			k.share = c.Share
			k.urgent = c.Priority == contr.PriorityUrgent
		}
	}
	cu.updateKindQueues(k)
}

// customer returns the customer of that name and adds it if it is new.
func (q *Queue) customer(name string) *customer {
	cu, ok := q.customers[name]
	if ok {
		return cu
	}
	cu = &customer{name: name, kinds: map[string]*kind{}}
	cu.shareNode = &pqueue.Node[*customer]{Value: cu}
	cu.floorNode = &pqueue.Node[*customer]{Value: cu}
	cu.urgentNode = &pqueue.Node[*customer]{Value: cu}
	cu.awaitingAllowanceNode = &pqueue.Node[*customer]{Value: cu}
	q.customers[name] = cu
	return cu
}

// kind returns the customer's kind of that name and adds it if it is new.
func (cu *customer) kind(name string) *kind {
	k, ok := cu.kinds[name]
	if ok {
		return k
	}
	k = &kind{name: name, groupsByID: map[uint64]*group{}}
	k.node = &pqueue.Node[*kind]{Value: k}
	k.urgentNode = &pqueue.Node[*kind]{Value: k}
	cu.kinds[name] = k
	cu.applyContract(k)
	return k
}

func (k *kind) push(it Item, front bool) {
	g, ok := k.groupsByID[it.Group]
	if !ok {
		g = &group{id: it.Group}
		k.groupsByID[it.Group] = g
		k.groups = append(k.groups, g)
	}
	if front {
		g.items = append([]Item{it}, g.items...)
	} else {
		g.items = append(g.items, it)
	}
	k.waiting++
}

// pop removes the first item of the first group and moves that group to the end.
func (k *kind) pop() Item {
	g := k.groups[0]
	it := g.items[0]
	g.items = g.items[1:]
	k.groups = k.groups[1:]
	k.waiting--
	if len(g.items) == 0 {
		delete(k.groupsByID, g.id)
		return it
	}
	k.groups = append(k.groups, g)
	return it
}

func (k *kind) remove(it Item) bool {
	g, ok := k.groupsByID[it.Group]
	if !ok {
		return false
	}
	i := indexOf(g.items, it.ID)
	if i < 0 {
		return false
	}
	g.items = append(g.items[:i], g.items[i+1:]...)
	k.waiting--
	if len(g.items) == 0 {
		k.removeGroup(g)
	}
	return true
}

func (k *kind) removeGroup(g *group) {
	delete(k.groupsByID, g.id)
	for i := range k.groups {
		if k.groups[i] == g {
			k.groups = append(k.groups[:i], k.groups[i+1:]...)
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
