// Package naive implements the baseline that benchmarks compare the dispatcher with: a
// single first-in, first-out queue and a random choice of upstream.
package naive

import (
	"math/rand/v2"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
)

// FIFO is a queue that serves items in order of arrival, regardless of customer and kind. It
// implements disp.TaskQueue and slot.TaskQueue.
type FIFO struct {
	items             []fair.Item
	waitingByCustomer map[string]int
	waitingByFlow     map[fair.Flow]int
}

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO {
	return &FIFO{waitingByCustomer: map[string]int{}, waitingByFlow: map[fair.Flow]int{}}
}

// SetSlots does nothing: the order does not depend on the capacity.
func (q *FIFO) SetSlots(int) {}

// SetContract does nothing: the order does not depend on contracts.
func (q *FIFO) SetContract(*contr.Contract) {}

// RemoveContract does nothing.
func (q *FIFO) RemoveContract(string) {}

// Push appends an item.
func (q *FIFO) Push(it fair.Item, _ clock.Millis) {
	q.items = append(q.items, it)
	q.addWaiting(it, 1)
}

// PushFront inserts an item at the front.
func (q *FIFO) PushFront(it fair.Item, _ clock.Millis) {
	q.items = append([]fair.Item{it}, q.items...)
	q.addWaiting(it, 1)
}

// Remove removes a waiting item and reports whether it was in the queue.
func (q *FIFO) Remove(it fair.Item) bool {
	for i := range q.items {
		if q.items[i].ID == it.ID {
			q.items = append(q.items[:i], q.items[i+1:]...)
			q.addWaiting(it, -1)
			return true
		}
	}
	return false
}

// Next removes and returns the first item whose kind is placeable. The rule of the pick is a
// placeholder, since no contract line selects the item.
func (q *FIFO) Next(_ clock.Millis, placeable func(kind string) bool) (fair.Pick, bool) {
	for i, it := range q.items {
		if placeable(it.Flow.Kind) {
			q.items = append(q.items[:i], q.items[i+1:]...)
			q.addWaiting(it, -1)
			return fair.Pick{Item: it, Rule: fair.RuleShare}, true
		}
	}
	return fair.Pick{}, false
}

// addWaiting adds n, which may be negative, to the numbers of waiting items.
func (q *FIFO) addWaiting(it fair.Item, n int) {
	q.waitingByCustomer[it.Flow.Customer] += n
	q.waitingByFlow[it.Flow] += n
}

// AddRunning does nothing: the order does not depend on usage.
func (q *FIFO) AddRunning(fair.Item) {}

// Finish does nothing.
func (q *FIFO) Finish(fair.Item, float64) {}

// Release does nothing.
func (q *FIFO) Release(fair.Item) {}

// ChargeRemote does nothing.
func (q *FIFO) ChargeRemote(string, float64, int) {}

// Len returns the number of waiting items.
func (q *FIFO) Len() int { return len(q.items) }

// Waiting returns the number of waiting items of a customer.
func (q *FIFO) Waiting(customer string) int { return q.waitingByCustomer[customer] }

// WaitingInFlow returns the number of waiting items of a flow.
func (q *FIFO) WaitingInFlow(f fair.Flow) int { return q.waitingByFlow[f] }

// ActiveShare returns one, so that all entries have the same weight.
func (q *FIFO) ActiveShare() float64 { return 1 }

// ExpectedShare returns one: each flow is expected to get all slots.
func (q *FIFO) ExpectedShare(fair.Flow) float64 { return 1 }

// Random selects a random upstream that serves the kind. It implements disp.Chooser.
type Random struct {
	fleet  *route.Fleet
	random *rand.Rand
}

// NewRandom returns a Random that selects from a fleet.
func NewRandom(f *route.Fleet, seed uint64) *Random {
	return &Random{fleet: f, random: rand.New(rand.NewPCG(seed, seed))}
}

// Choose returns a random upstream that serves the kind and is not leaving, regardless of
// its load. It returns nil if there is none.
func (r *Random) Choose(kind string, _ int, _ clock.Millis, _ map[string]bool) *route.Upstream {
	var candidates []*route.Upstream
	for _, u := range r.fleet.All() {
		if u.Kinds[kind] && u.Health != route.HealthLeaving {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[r.random.IntN(len(candidates))]
}
