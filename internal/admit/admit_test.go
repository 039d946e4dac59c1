package admit_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/admit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

const callers = "callers"

func address(n int) netip.Addr {
	return netip.MustParseAddr(fmt.Sprintf("10.0.%d.%d", n/250, n%250))
}

// Guards against a shortage of memory under the crowd of platform/crowd_test.go: the budget
// holds at each step, and small requests that arrive meanwhile are admitted.
func TestCrowdStaysWithinBudgetAndSmallRequestsAreAdmitted(t *testing.T) {
	s := admit.Defaults(96, 800)
	c := admit.New(s)
	now := clock.Millis(0)
	for i := range 1000 {
		now += 5
		n, shed := c.Open(callers, address(1), now)
		require.NotNil(t, n)
		closeAll(c, shed)
		for range 100 {
			granted, shed := c.Acquire(n, admit.BodyCost(20_000), now)
			closeAll(c, shed)
			if granted == 0 {
				break
			}
		}
		requireWithinBudget(t, c)
		if i%10 == 0 {
			requireOrdinaryRequestAdmitted(t, c, now)
		}
	}
	require.Positive(t, c.Refused[admit.Memory])
}

func closeAll(c *admit.Control, shed []*admit.Conn) {
	for _, n := range shed {
		c.Close(n)
	}
}

func requireWithinBudget(t *testing.T, c *admit.Control) {
	t.Helper()
	require.LessOrEqual(t, c.Bytes+c.Closing, c.Settings.Bytes*9/8)
	require.LessOrEqual(t, c.Count(), c.Settings.Connections)
}

func requireOrdinaryRequestAdmitted(t *testing.T, c *admit.Control, now clock.Millis) {
	t.Helper()
	n, shed := c.Open(callers, address(2), now)
	require.NotNil(t, n)
	closeAll(c, shed)
	granted, shed := c.Acquire(n, admit.HeaderCost(200, 5)+admit.BodyCost(6000), now)
	require.Positive(t, granted)
	closeAll(c, shed)
	require.True(t, c.Complete(n))
	requireWithinBudget(t, c)
	c.Finish(n, now)
	c.Close(n)
}

// Guards against shedding a quick request instead of those that have stalled.
func TestLargestAndSlowestAreShedFirst(t *testing.T) {
	c := admit.New(admit.Settings{Bytes: 1 << 20, Connections: 100, ConnectionsPerAddress: 100})
	var conns []*admit.Conn
	for i, cost := range []int64{400 << 10, 100 << 10, 300 << 10} {
		n, _ := c.Open(callers, address(i), 0)
		granted, _ := c.Acquire(n, cost, clock.Millis(i))
		require.Positive(t, granted)
		conns = append(conns, n)
	}
	n, _ := c.Open(callers, address(9), 1000)
	granted, shed := c.Acquire(n, 300<<10, 1000)
	require.Positive(t, granted)
	require.Equal(t, conns[:1], shed)
}

// Guards against breaking off a request whose work may have begun.
func TestCompleteRequestsAreNeverShed(t *testing.T) {
	c := admit.New(admit.Settings{Bytes: 1 << 20, Connections: 2, ConnectionsPerAddress: 2})
	first, _ := c.Open(callers, address(1), 0)
	_, shed := c.Acquire(first, 900<<10, 0)
	require.Empty(t, shed)
	require.True(t, c.Complete(first))
	second, _ := c.Open(callers, address(1), 1)
	granted, shed := c.Acquire(second, 900<<10, 1)
	require.Zero(t, granted)
	require.Equal(t, []*admit.Conn{second}, shed)
	require.False(t, c.Complete(second))
	require.False(t, first.Shed)
}

// Guards against an address that takes the connections of the others, and against a balancer's
// probe that is refused because requests which came through the balancer are being served.
func TestListenersAndAddressesDoNotStarveEachOther(t *testing.T) {
	c := admit.New(admit.Settings{Bytes: 10 << 20, Connections: 10, ConnectionsPerAddress: 8, ReservedConnections: 2})
	openWhole := func(listener string, a int, cost int64) *admit.Conn {
		n, _ := c.Open(listener, address(a), 0)
		if n != nil {
			granted, _ := c.Acquire(n, cost, 0)
			require.Positive(t, granted)
			require.True(t, c.Complete(n))
		}
		return n
	}
	for range 8 {
		require.NotNil(t, openWhole(callers, 1, 1200<<10))
	}
	require.Nil(t, openWhole(callers, 1, 1))
	require.EqualValues(t, 1, c.Refused[admit.AddressConnections])
	for range 2 {
		require.NotNil(t, openWhole(callers, 2, 1))
	}
	require.Nil(t, openWhole(callers, 3, 1))
	require.EqualValues(t, 1, c.Refused[admit.Connections])
	for range 2 {
		require.NotNil(t, openWhole("readiness", 1, 1))
	}
	require.Nil(t, openWhole("readiness", 1, 1))
}

// Guards against a budget that is used up by large requests which are being served: probes are
// still answered.
func TestProbesAreAdmittedBeyondTheBudget(t *testing.T) {
	c := admit.New(admit.Settings{Bytes: 1 << 20, Connections: 100, ConnectionsPerAddress: 100, ReservedConnections: 1})
	for admitted := true; admitted; {
		n, _ := c.Open(callers, address(1), 0)
		granted, _ := c.Acquire(n, 100<<10, 0)
		admitted = granted > 0 && c.Complete(n)
	}
	for admitted := true; admitted; {
		n, _ := c.Open(callers, address(1), 0)
		granted, _ := c.Acquire(n, 1, 0)
		admitted = granted > 0 && c.Complete(n)
	}
	require.Greater(t, c.Bytes, c.Settings.Bytes)
	probe, shed := c.Open("readiness", address(1), 1)
	require.NotNil(t, probe)
	require.Empty(t, shed)
	granted, _ := c.Acquire(probe, 200, 1)
	require.Positive(t, granted)
}

// Guards against limits that clients within the documented ones reach on the smallest entry:
// 1,100 jobs at once with bodies of 6 KB through one address.
func TestDefaultsAdmitDocumentedLoad(t *testing.T) {
	c := admit.New(admit.Defaults(admit.SmallestMemoryMB, admit.SmallestDescriptors))
	for i := range 1100 {
		n, shed := c.Open(callers, address(1), clock.Millis(i))
		require.NotNil(t, n)
		require.Empty(t, shed)
		granted, shed := c.Acquire(n, admit.HeaderCost(600, 10)+admit.BodyCost(6<<10), clock.Millis(i))
		require.Positive(t, granted)
		require.Empty(t, shed)
		c.Complete(n)
	}
	require.Empty(t, c.Refused)
}

// Guards against bytes that are acquired and never released.
func TestEverythingIsReleased(t *testing.T) {
	c := admit.New(admit.Defaults(admit.MinMemoryMB, admit.MinDescriptors))
	for i := range 500 {
		n, shed := c.Open(callers, address(i), clock.Millis(i))
		closeAll(c, shed)
		_, shed = c.Acquire(n, int64(i)*2000, clock.Millis(i))
		closeAll(c, shed)
		if i%3 == 0 {
			c.Refuse(n, admit.SlowBody)
		}
		c.Finish(n, clock.Millis(i))
		c.Close(n)
		c.Close(n)
	}
	require.Zero(t, c.Bytes)
	require.Zero(t, c.Closing)
	require.Zero(t, c.Count())
}

// Guards against small jobs of many tasks: a request whose decoded form does not fit is refused,
// and keeps its connection and what it had acquired.
func TestExtensionBeyondBudgetIsRefused(t *testing.T) {
	c := admit.New(admit.Settings{Bytes: 1 << 20, Connections: 10, ConnectionsPerAddress: 10})
	n, _ := c.Open(callers, address(1), 0)
	c.Acquire(n, 100, 0)
	c.Complete(n)
	before := c.Bytes
	granted, shed := c.Extend(n, 4096*admit.TaskBytes, 1)
	require.Positive(t, granted)
	require.Empty(t, shed)
	granted, shed = c.Extend(n, 4096*admit.TaskBytes, 1)
	require.Zero(t, granted)
	require.Empty(t, shed)
	require.False(t, n.Shed)
	c.Finish(n, 2)
	require.Less(t, c.Bytes, before)
}

// A few dozen small jobs of thousands of tasks fill the budget with requests that are never shed.
// Ordinary clients then shed each other, although the reserve for small requests was free.
func TestSmallRequestsAreServedWhileWholeOnesFillTheBudget(t *testing.T) {
	c := admit.New(admit.Defaults(144, 3075))
	for c.Bytes < c.Settings.Bytes {
		n, _ := c.Open(callers, address(1), 0)
		granted, _ := c.Acquire(n, 600<<10, 0)
		if granted == 0 {
			break
		}
		require.True(t, c.Complete(n))
	}
	var clients []*admit.Conn
	for i := range 50 {
		n, shed := c.Open(callers, address(2), clock.Millis(i))
		require.NotNil(t, n)
		require.Empty(t, shed)
		clients = append(clients, n)
	}
	for round := range 10 {
		for _, n := range clients {
			granted, shed := c.Acquire(n, admit.BodyCost(3000), clock.Millis(100*round))
			require.Positive(t, granted)
			require.Empty(t, shed)
		}
		for _, n := range clients {
			require.True(t, c.Complete(n))
			c.Finish(n, clock.Millis(100*round+50))
		}
	}
}
