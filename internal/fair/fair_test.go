package fair_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
)

// A fixed seed makes every run check the same cases.
func init() { flag.Set("rapid.seed", "1") }

func newContract(name string, share float64, floor, ceiling int, urgent float64) *contr.Contract {
	return &contr.Contract{
		Customer: name, Share: share, FloorSlots: floor, CeilingSlots: ceiling, UrgentPercent: urgent,
		Kinds: []contr.Kind{
			{Name: "check", Share: 3, Priority: contr.PriorityUrgent},
			{Name: "assign", Share: 1, Priority: contr.PriorityOrdinary},
		},
	}
}

func anyKind(string) bool { return true }

func TestNextIsWorkConservingAndRespectsCeilings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fair.New()
		q.SetSlots(8)
		ceilings := map[string]int{}
		for i := range 3 {
			name := fmt.Sprintf("c%d", i)
			ceilings[name] = rapid.IntRange(0, 4).Draw(t, "ceiling")
			q.SetContract(newContract(name, float64(1+i), 0, ceilings[name], 20))
		}
		waiting := map[string]int{}
		running := map[string][]fair.Item{}
		next := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				c := fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "customer"))
				kind := rapid.SampledFrom([]string{"check", "assign"}).Draw(t, "kind")
				q.Push(fair.Item{ID: next, Flow: fair.Flow{Customer: c, Kind: kind}, Group: uint64(rapid.IntRange(0, 2).Draw(t, "group")), Cost: 10}, clock.Millis(next))
				waiting[c]++
			},
			"next": func(t *rapid.T) {
				startable := false
				for c, n := range waiting {
					startable = startable || (n > 0 && (ceilings[c] == 0 || len(running[c]) < ceilings[c]))
				}
				p, ok := q.Next(clock.Millis(next), anyKind)
				require.Equal(t, startable, ok, "Next must return an item exactly if a customer below its ceiling has one")
				if ok {
					c := p.Item.Flow.Customer
					waiting[c]--
					running[c] = append(running[c], p.Item)
				}
			},
			"finish": func(t *rapid.T) {
				c := fmt.Sprintf("c%d", rapid.IntRange(0, 2).Draw(t, "customer"))
				if len(running[c]) == 0 {
					t.Skip("nothing is running")
				}
				it := running[c][0]
				running[c] = running[c][1:]
				q.Finish(it, rapid.Float64Range(1, 50).Draw(t, "used"))
			},
			"": func(t *rapid.T) {
				total := 0
				for c, n := range waiting {
					require.Equal(t, n, q.Waiting(c))
					require.Equal(t, len(running[c]), q.Running(c))
					total += n
				}
				require.Equal(t, total, q.Len())
			},
		})
	})
}

// serve runs the items of backlogged customers one at a time in a single slot and
// returns the usage of each customer.
func serve(q *fair.Queue, rounds int, cost func(customer string) float64) map[string]float64 {
	used := map[string]float64{}
	for i := range rounds {
		p, ok := q.Next(clock.Millis(i), anyKind)
		if !ok {
			break
		}
		c := cost(p.Item.Flow.Customer)
		used[p.Item.Flow.Customer] += c
		q.Finish(p.Item, c)
	}
	return used
}

func TestCustomersStayWithinOneItemOfTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shares := map[string]float64{}
		costs := map[string]float64{}
		q := fair.New()
		for i := range rapid.IntRange(2, 5).Draw(t, "customers") {
			name := fmt.Sprintf("c%d", i)
			shares[name] = rapid.Float64Range(0.5, 5).Draw(t, "share")
			costs[name] = rapid.Float64Range(1, 100).Draw(t, "cost")
			q.SetContract(newContract(name, shares[name], 0, 0, 0))
			for j := range 2000 {
				q.Push(fair.Item{ID: uint64(i*10_000 + j), Flow: fair.Flow{Customer: name, Kind: "assign"}, Cost: 10}, 0)
			}
		}
		used := serve(q, 400, func(c string) float64 { return costs[c] })
		for behind, share := range shares {
			for ahead := range shares {
				lead := used[ahead]/shares[ahead] - used[behind]/share
				require.LessOrEqual(t, lead, costs[ahead]/shares[ahead]+1e-6, "%s got less than its share against %s: %v", behind, ahead, used)
			}
		}
	})
}

func TestCustomersBelowFloorAreServedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := fair.New()
		floor := rapid.IntRange(1, 4).Draw(t, "floor")
		q.SetContract(newContract("small", 0.001, floor, 0, 0))
		q.SetContract(newContract("large", 100, 0, 0, 100))
		q.SetSlots(8)
		for i := range 50 {
			q.Push(fair.Item{ID: uint64(i), Flow: fair.Flow{Customer: "large", Kind: "check"}, Cost: 10}, 0)
		}
		arrivals := rapid.IntRange(1, 8).Draw(t, "arrivals")
		for i := range arrivals {
			q.Push(fair.Item{ID: uint64(1000 + i), Flow: fair.Flow{Customer: "small", Kind: "assign"}, Cost: 10}, 0)
		}
		for range min(floor, arrivals) {
			p, ok := q.Next(0, anyKind)
			require.True(t, ok)
			require.Equal(t, "small", p.Item.Flow.Customer)
			require.Equal(t, fair.RuleFloor, p.Rule)
		}
	})
}

func TestUrgentWorkStaysWithinAllowance(t *testing.T) {
	q := fair.New()
	q.SetSlots(10)
	q.SetContract(newContract("rushed", 1, 0, 0, 20))
	q.SetContract(newContract("other", 1, 0, 0, 0))
	id := uint64(0)
	push := func(customer, kind string) {
		id++
		q.Push(fair.Item{ID: id, Flow: fair.Flow{Customer: customer, Kind: kind}, Cost: 10}, 0)
	}
	for range 4000 {
		push("rushed", "check")
		push("other", "assign")
	}
	used := map[string]float64{}
	urgent := 0.0
	for i := range 4000 {
		p, ok := q.Next(clock.Millis(i), anyKind) // one millisecond, or ten slot milliseconds, per step
		require.True(t, ok)
		used[p.Item.Flow.Customer] += 10
		if p.Rule == fair.RuleUrgent {
			urgent += 10
		}
		q.Finish(p.Item, 10)
	}
	// The allowance is one slot: ten slots, half of them by share, a fifth of that urgent.
	// It may exceed 4000 by one second's accumulation and the cost of one item.
	require.LessOrEqual(t, urgent, 4000.0+1000+10)
	require.Greater(t, urgent, 0.0)
	require.InDelta(t, used["rushed"], used["other"], 1100)
}

func TestRemovingContractRevokesUrgentPriority(t *testing.T) {
	q := fair.New()
	q.SetSlots(10)
	q.SetContract(newContract("c", 1, 0, 0, 100))
	q.Push(fair.Item{ID: 1, Flow: fair.Flow{Customer: "c", Kind: "check"}, Cost: 1}, 1000)
	q.RemoveContract("c")
	p, ok := q.Next(2000, anyKind)
	require.True(t, ok)
	require.Equal(t, fair.RuleShare, p.Rule)
}

func TestRemoteUsageIsCharged(t *testing.T) {
	q := fair.New()
	q.SetContract(newContract("flood", 1, 0, 0, 0))
	q.SetContract(newContract("quiet", 1, 0, 0, 0))
	for i := range 100 {
		q.Push(fair.Item{ID: uint64(i), Flow: fair.Flow{Customer: "flood", Kind: "assign"}, Cost: 10}, 0)
		q.Push(fair.Item{ID: uint64(1000 + i), Flow: fair.Flow{Customer: "quiet", Kind: "assign"}, Cost: 10}, 0)
	}
	q.ChargeRemote("flood", 200, 5)
	for range 20 {
		p, ok := q.Next(0, anyKind)
		require.True(t, ok)
		require.Equal(t, "quiet", p.Item.Flow.Customer)
		q.Finish(p.Item, 10)
	}
}

func TestJobsAndSingleRequestsAlternate(t *testing.T) {
	q := fair.New()
	q.SetContract(newContract("c", 1, 0, 0, 0))
	f := fair.Flow{Customer: "c", Kind: "assign"}
	for i := range 310 {
		q.Push(fair.Item{ID: uint64(i), Flow: f, Group: 7, Cost: 10}, 0)
	}
	q.Push(fair.Item{ID: 1000, Flow: f, Cost: 10}, 0)
	for i := range 2 {
		p, ok := q.Next(0, anyKind)
		require.True(t, ok)
		if p.Item.ID == 1000 {
			return
		}
		require.Less(t, i, 1, "the single request had to wait for several tasks of the job")
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, flows := range []int{15, 285, 2850} {
		b.Run(fmt.Sprintf("flows=%d", flows), func(b *testing.B) {
			q := fair.New()
			q.SetSlots(1000)
			for i := range flows {
				c := fmt.Sprintf("c%d", i/3)
				if i%3 == 0 {
					k := newContract(c, float64(1+i%7), 0, 0, 20)
					k.Kinds = append(k.Kinds, contr.Kind{Name: "lookup", Share: 1, Priority: contr.PriorityOrdinary})
					q.SetContract(k)
				}
				f := fair.Flow{Customer: c, Kind: []string{"check", "assign", "lookup"}[i%3]}
				for j := range 4 {
					it := fair.Item{ID: uint64(i*10 + j), Flow: f, Cost: 100}
					q.Push(it, 0)
				}
			}
			b.ResetTimer()
			for i := range b.N {
				now := clock.Millis(i / 29)
				p, _ := q.Next(now, anyKind)
				q.Finish(p.Item, 120)
				q.Push(p.Item, now)
			}
		})
	}
}
