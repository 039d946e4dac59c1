package route_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
)

// A fixed seed makes every run check the same cases.
func init() { flag.Set("rapid.seed", "1") }

func newFleet(n, slots, window int) *route.Fleet {
	f := route.New()
	for i := range n {
		f.Add(route.Upstream{ID: fmt.Sprintf("u%d", i), Name: fmt.Sprintf("minion-%d", i), Slots: slots, Window: window,
			Kinds: map[string]bool{"check": true}})
	}
	return f
}

func TestEjectedFractionIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "upstreams")
		f := newFleet(n, 8, 10)
		now := clock.Millis(0)
		for range 300 {
			now += clock.Millis(rapid.IntRange(0, 200).Draw(t, "gap"))
			id := fmt.Sprintf("u%d", rapid.IntRange(0, n-1).Draw(t, "id"))
			f.RecordStart(id)
			f.RecordFinish(id, route.Outcome{Kind: "check", Failed: rapid.IntRange(0, 3).Draw(t, "fails") > 0, ServiceMS: 10}, now)
			ejected := 0
			for _, u := range f.All() {
				if u.Health == route.HealthEjected || u.Health == route.HealthProbing {
					ejected++
				}
			}
			require.LessOrEqual(t, float64(ejected), max(1, 0.34*float64(n)))
		}
	})
}

func TestFastFailingUpstreamIsEjected(t *testing.T) {
	f := newFleet(4, 8, 10)
	now, sent := clock.Millis(0), map[string]int{}
	for range 1000 {
		now += 5
		u := f.Choose("check", 0, now, nil)
		require.NotNil(t, u)
		sent[u.ID]++
		f.RecordStart(u.ID)
		failed := u.ID == "u0"
		f.RecordFinish(u.ID, route.Outcome{Kind: "check", Failed: failed, ServiceMS: 100, Reason: "broken"}, now)
	}
	require.Less(t, sent["u0"], 20, "the failing upstream got too many tasks: %v", sent)
	require.Equal(t, route.HealthEjected, f.Get("u0").Health)
	require.Contains(t, f.Get("u0").Reason, "broken")
}

func TestKindFailingOnAllUpstreamsDoesNotEjectThem(t *testing.T) {
	f := newFleet(4, 8, 10)
	for i := range 400 {
		id := fmt.Sprintf("u%d", i%4)
		f.RecordStart(id)
		f.RecordFinish(id, route.Outcome{Kind: "broken_kind", Failed: true}, clock.Millis(i))
	}
	good := 0
	for _, u := range f.All() {
		if u.Health == route.HealthGood {
			good++
		}
	}
	require.GreaterOrEqual(t, good, 3)
}

func TestEjectedUpstreamRecoversAfterProbe(t *testing.T) {
	f := newFleet(3, 8, 10)
	for i := range 4 {
		f.RecordStart("u0")
		f.RecordFinish("u0", route.Outcome{Kind: "check", Failed: true}, clock.Millis(i))
	}
	require.Equal(t, route.HealthEjected, f.Get("u0").Health)
	until := f.NextProbe()
	require.Positive(t, until)
	f.RecordStart("u0")
	require.Equal(t, route.HealthProbing, f.Get("u0").Health)
	f.RecordFinish("u0", route.Outcome{Kind: "check", ServiceMS: 10}, until)
	require.Equal(t, route.HealthGood, f.Get("u0").Health)
}

func TestChoosePrefersFasterUpstreams(t *testing.T) {
	f := newFleet(3, 1, 2)
	serviceMS := map[string]float64{"u0": 400, "u1": 100, "u2": 200}
	now := clock.Millis(0)
	sent := map[string]int{}
	for range 200 {
		now += 500
		u := f.Choose("check", 0, now, nil)
		require.NotNil(t, u)
		f.RecordStart(u.ID)
		sent[u.ID]++
		f.RecordFinish(u.ID, route.Outcome{Kind: "check", ServiceMS: serviceMS[u.ID]}, now)
	}
	require.Greater(t, sent["u1"], 150, "%v", sent)
	require.Greater(t, sent["u0"], 1, "a slow upstream must be tried again occasionally")
}

func TestLeavingUpstreamGetsNoTasks(t *testing.T) {
	f := newFleet(2, 8, 10)
	f.SetLeaving("u0", true, "leaving")
	for range 50 {
		u := f.Choose("check", 0, 0, nil)
		require.Equal(t, "u1", u.ID)
	}
	f.SetLeaving("u1", true, "leaving")
	require.Nil(t, f.Choose("check", 0, 0, nil))
	require.False(t, f.Serves("check"))
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 157, 1100} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			f := newFleet(n, 8, 8)
			for i := range n {
				id := fmt.Sprintf("u%d", i)
				f.RecordStart(id)
				f.RecordFinish(id, route.Outcome{Kind: "check", ServiceMS: float64(50 + i%7*20)}, 0)
			}
			b.ResetTimer()
			for i := range b.N {
				now := clock.Millis(i / 29)
				f.RecordArrival("check", now)
				u := f.Choose("check", 3, now, nil)
				f.RecordStart(u.ID)
				f.RecordFinish(u.ID, route.Outcome{Kind: "check", ServiceMS: 100}, now)
			}
		})
	}
}
