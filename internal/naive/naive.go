// Package naive holds the baselines that measurements compare with: one queue in
// order of arrival, and a random choice of upstream.
package naive

import (
	"math/rand/v2"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
)

// FIFO serves in order of arrival, whoever asks.
type FIFO struct {
	items   []fair.Item
	waiting map[string]int
	flows   map[fair.Flow]int
}

// NewFIFO returns an empty queue.
func NewFIFO() *FIFO {
	return &FIFO{waiting: map[string]int{}, flows: map[fair.Flow]int{}}
}

// SetSlots does nothing.
func (q *FIFO) SetSlots(int) {}

// SetContract does nothing.
func (q *FIFO) SetContract(*contr.Contract) {}

// RemoveContract does nothing.
func (q *FIFO) RemoveContract(string) {}

// Push adds an item at the end.
func (q *FIFO) Push(it fair.Item, _ clock.Millis) {
	q.items = append(q.items, it)
	q.count(it, 1)
}

// PushFront adds an item at the front.
func (q *FIFO) PushFront(it fair.Item, _ clock.Millis) {
	q.items = append([]fair.Item{it}, q.items...)
	q.count(it, 1)
}

// Remove takes out a waiting item; it reports whether the item was there.
func (q *FIFO) Remove(it fair.Item) bool {
	for i := range q.items {
		if q.items[i].ID == it.ID {
			q.items = append(q.items[:i], q.items[i+1:]...)
			q.count(it, -1)
			return true
		}
	}
	return false
}

// Next takes out the first item that can be placed.
func (q *FIFO) Next(_ clock.Millis, placeable func(kind string) bool) (fair.Pick, bool) {
	for i, it := range q.items {
		if placeable(it.Flow.Kind) {
			q.items = append(q.items[:i], q.items[i+1:]...)
			q.count(it, -1)
			return fair.Pick{Item: it, Rule: fair.RuleShare}, true
		}
	}
	return fair.Pick{}, false
}

func (q *FIFO) count(it fair.Item, n int) {
	q.waiting[it.Flow.Customer] += n
	q.flows[it.Flow] += n
}

// AddRunning does nothing.
func (q *FIFO) AddRunning(fair.Item) {}

// Finish does nothing.
func (q *FIFO) Finish(fair.Item, float64) {}

// Release does nothing.
func (q *FIFO) Release(fair.Item) {}

// ChargeRemote does nothing.
func (q *FIFO) ChargeRemote(string, float64, int) {}

// Len returns the number of waiting items.
func (q *FIFO) Len() int { return len(q.items) }

// Waiting returns the number of items of a customer that wait.
func (q *FIFO) Waiting(customer string) int { return q.waiting[customer] }

// WaitingInFlow returns the number of items of one flow that wait.
func (q *FIFO) WaitingInFlow(f fair.Flow) int { return q.flows[f] }

// ActiveShare returns one: all entries weigh the same.
func (q *FIFO) ActiveShare() float64 { return 1 }

// ExpectedShare returns one: nobody is refused for the wait to come.
func (q *FIFO) ExpectedShare(fair.Flow) float64 { return 1 }

// Random chooses among all upstreams that serve the kind.
type Random struct {
	fleet  *route.Fleet
	random *rand.Rand
}

// NewRandom returns a chooser over a fleet.
func NewRandom(f *route.Fleet, seed uint64) *Random {
	return &Random{fleet: f, random: rand.New(rand.NewPCG(seed, seed))}
}

// Choose returns any upstream that serves the kind, however loaded it is.
func (r *Random) Choose(kind string, _ int, _ clock.Millis, _ map[string]bool) *route.Upstream {
	var able []*route.Upstream
	for _, u := range r.fleet.All() {
		if u.Kinds[kind] && u.Health != route.HealthLeaving {
			able = append(able, u)
		}
	}
	if len(able) == 0 {
		return nil
	}
	return able[r.random.IntN(len(able))]
}
