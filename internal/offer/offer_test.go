package offer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// cores returns the size of a number of cores.
func cores(n int64) jobs.Size {
	return jobs.Size{MilliCPU: n * 1000}
}

func demandAt(latestStart clock.Millis) Demand {
	return Demand{LatestStart: latestStart, Size: cores(4)}
}

// next returns the entry that gets an offer, or "" if none does.
func next(b *Book, free jobs.Size, now clock.Millis) string {
	entry, _ := b.Next(free, now)
	return entry
}

// An entry that is killed never withdraws its demand: offers to it would delay those to others.
func TestDemandThatIsNotRenewedExpires(t *testing.T) {
	b := NewBook()
	b.SetDemand("e", demandAt(500), 0)
	require.True(t, b.HasDemandFor(cores(4)))
	require.Empty(t, next(b, cores(0), ExpiryMS-1))
	require.Equal(t, 1, b.Waiting())
	require.Empty(t, next(b, cores(4), ExpiryMS))
	require.Zero(t, b.Waiting())
	require.False(t, b.HasDemandFor(cores(4)))
}

// Of two waiting entries, the one whose job must start first goes first, whichever told first; a
// job that has started goes before both. The other one gets the next offer of the same capacity.
func TestOffersFollowTheOrderOfTheJobs(t *testing.T) {
	b := NewBook()
	b.SetDemand("late", demandAt(900), 0)
	b.SetDemand("early", demandAt(300), 0)
	started := demandAt(2000)
	started.Started = true
	b.SetDemand("started", started, 0)
	require.Equal(t, "started", next(b, cores(4), 1))
	require.Empty(t, next(b, cores(4), 1+offerMS-1), "one offer at a time")
	require.Equal(t, "early", next(b, cores(4), 1+offerMS))
	require.Equal(t, "late", next(b, cores(4), 1+2*offerMS))
	require.Empty(t, next(b, cores(4), 1+3*offerMS), "all had their offer")
	require.Equal(t, "started", next(b, cores(8), 2+3*offerMS), "more is free")
}

// An entry that is silent or leaves while it has an offer must not keep the capacity from others.
func TestOfferPassesOnWhenItIsNotUsed(t *testing.T) {
	b := NewBook()
	b.SetDemand("first", demandAt(300), 0)
	b.SetDemand("second", demandAt(400), 0)
	b.SetDemand("third", demandAt(500), 0)
	require.Equal(t, "first", next(b, cores(4), 1))
	require.Equal(t, 1+offerMS, b.Due(1000))
	require.Equal(t, "second", next(b, cores(4), 1+offerMS), "the first is silent")
	b.Remove("second")
	require.Equal(t, "third", next(b, cores(4), 2+offerMS), "the second has left")
	require.Equal(t, clock.Millis(5), b.Due(5))
}

// What an entry leaves of an offer must not lie idle until offerMS has passed.
func TestRestOfAUsedOfferIsOfferedAtOnce(t *testing.T) {
	b := NewBook()
	b.SetDemand("first", demandAt(300), 0)
	b.SetDemand("second", demandAt(400), 0)
	require.Equal(t, "first", next(b, cores(8), 1))
	require.False(t, b.Launched("second"), "a launch without an offer leaves the offer")
	require.Empty(t, next(b, cores(8), 2))
	require.True(t, b.Launched("first"))
	require.Equal(t, "second", next(b, cores(4), 3))
}

// A demand that does not fit must not keep reports from the entries whose runs end.
func TestCapacityIsNotKeptForDemandThatDoesNotFit(t *testing.T) {
	b := NewBook()
	b.SetDemand("e", Demand{LatestStart: 300, Size: jobs.Size{MilliCPU: 1000, Accelerators: 1}}, 0)
	require.False(t, b.HasDemandFor(cores(4)))
	require.Empty(t, next(b, cores(4), 1))
}

// Notices cost the processor time of small entries: they come in rounds, and only for what changed.
func TestNoticesAreLimited(t *testing.T) {
	a := NewAnnouncer()
	demand := map[string]Demand{"a": demandAt(500), "b": demandAt(500)}
	require.Nil(t, a.Update(nil, 0))
	require.Len(t, a.Update(demand, 0), 2)
	demand["a"] = demandAt(500 - earlierMS)
	require.Empty(t, a.Update(demand, roundMS-1))
	require.Equal(t, []Notice{{Agent: "a", Waiting: true, Demand: demand["a"]}}, a.Update(demand, roundMS))
	require.Empty(t, a.Update(demand, 2*roundMS))
	require.Equal(t, []Notice{{Agent: "a"}, {Agent: "b"}}, a.Update(nil, 3*roundMS))
	require.Empty(t, a.Update(nil, 4*roundMS))
}

// An entry with 0.144 of a core must not spend more than a tenth of it on notices, however fast its
// jobs change, and no agent may go without a notice until its demand expires.
func TestNoticesStayWithinTheAllowance(t *testing.T) {
	const agents, seconds = 26, 4
	a := NewAnnouncer()
	sent := 0
	toldAt := map[string]clock.Millis{}
	for now := clock.Millis(0); now < seconds*clock.Second; now += 10 {
		demand := map[string]Demand{}
		for i := range agents {
			demand[fmt.Sprint("agent-", i)] = demandAt(now + clock.Millis(now%7)*clock.Second)
		}
		for _, n := range a.Update(demand, now) {
			require.LessOrEqual(t, now-toldAt[n.Agent], ExpiryMS)
			toldAt[n.Agent] = now
			sent++
		}
	}
	require.Len(t, toldAt, agents)
	require.LessOrEqual(t, sent, maxAllowance+seconds*noticesPerSecond)
	require.Greater(t, sent, seconds*noticesPerSecond)
}
