package roster

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

const testLinks = 6

func newTestSelector(name string, n int) *Selector {
	s := NewSelector(name, []string{"10.0.1.1:7400"}, testLinks, 0, 0)
	for i := range n {
		s.Add(fmt.Sprintf("10.0.0.%d:7400", i), 0)
	}
	return s
}

func TestAgentsAreSpreadOverAllEntries(t *testing.T) {
	count := map[string]int{}
	for i := range 300 {
		dial := newTestSelector(fmt.Sprintf("agent-%d", i), 12).Select(nil, 0).Dial
		require.Len(t, dial, testLinks)
		for _, address := range dial {
			count[address]++
		}
	}
	for address, n := range count {
		require.Greater(t, n, 100, address)
		require.Less(t, n, 200, address)
	}
}

func TestUnreachableEntryIsReplacedByNextInOrder(t *testing.T) {
	s := newTestSelector("agent", 12)
	dial := s.Select(nil, 0).Dial
	linked := map[string]bool{}
	for _, address := range dial[1:] {
		linked[address] = true
	}
	more := s.Select(linked, connectTimeoutMS-1).Dial
	require.Empty(t, more)
	more = s.Select(linked, connectTimeoutMS).Dial
	require.Len(t, more, 1)
}

func TestSeedsAreUsedOnlyAfterSeedDelay(t *testing.T) {
	s := newTestSelector("agent", 0)
	dial := s.Select(nil, seedDelayMS).Dial
	require.Empty(t, dial)
	dial = s.Select(nil, seedDelayMS+1).Dial
	require.Equal(t, []string{"10.0.1.1:7400"}, dial)
}

func TestUnlistedEntryIsNoLongerDialed(t *testing.T) {
	s := newTestSelector("agent", 1)
	s.Select(nil, 0)
	stopDialing := s.Select(nil, unlistedGraceMS+clock.Second).StopDialing
	require.Equal(t, []string{"10.0.0.0:7400"}, stopDialing)
}

func TestInvalidAddressIsNotDialed(t *testing.T) {
	s := newTestSelector("agent", 0)
	for _, address := range []string{"", "x", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:99999", "example.org:7400", "0.0.0.0:7400"} {
		s.Add(address, 0)
	}
	dial := s.Select(nil, 0).Dial
	require.Empty(t, dial)
}

func testAddress(i int) string { return fmt.Sprintf("10.%d.%d.1:7400", i/200, i%200) }

// When the list is first read while the entries start, it is incomplete. The links to
// entries that are no longer among the first are closed once those are linked.
func TestLinksBeyondTheFirstInOrderAreExcess(t *testing.T) {
	s := newTestSelector("agent", 0)
	linked := map[string]bool{}
	link := func() Selection {
		selection := s.Select(linked, 0)
		for _, address := range selection.Dial {
			linked[address] = true
		}
		return selection
	}
	for i := range 60 {
		s.Add(testAddress(i), 0)
		link()
	}
	excess := link().Excess
	require.Len(t, linked, testLinks+len(excess))
	require.NotEmpty(t, excess)
	for _, address := range excess {
		delete(linked, address)
		s.DialStopped(address)
	}
	require.Empty(t, s.Select(linked, connectTimeoutMS))
}

// Entries link to each other by their own orders. Whatever the number of entries, a message
// that each passes on to its links reaches all of them, also when some are gone, and the
// number of links of one entry does not grow.
func TestEntriesReachEachOtherThroughFewLinks(t *testing.T) {
	for _, size := range []int{2, 9, 10, 55, 300, 1000} {
		neighbours := make([]map[int]bool, size)
		for i := range neighbours {
			neighbours[i] = map[int]bool{}
		}
		index := map[string]int{}
		for i := range size {
			index[testAddress(i)] = i
		}
		most := 0
		for i := range size {
			s := NewSelector(fmt.Sprint("entry-", i), nil, 4, 8, 0)
			for j := range size {
				if j != i {
					s.Add(testAddress(j), 0)
				}
			}
			for _, address := range s.Select(nil, 0).Dial {
				neighbours[i][index[address]], neighbours[index[address]][i] = true, true
			}
			most = max(most, len(neighbours[i]))
		}
		require.Less(t, most, 24, "%d entries", size)
		require.Equal(t, size, reachable(neighbours, 0, size), "%d entries", size)
		if size >= 55 {
			lost := size / 10
			require.Equal(t, size-lost, reachable(neighbours, lost, size), "%d entries, %d lost", size, lost)
		}
	}
}

// reachable returns the number of entries from index from on that are connected to the first
// of them, without those before it.
func reachable(neighbours []map[int]bool, from, size int) int {
	seen := map[int]bool{from: true}
	queue := []int{from}
	for len(queue) > 0 {
		i := queue[0]
		queue = queue[1:]
		for j := range neighbours[i] {
			if j >= from && !seen[j] {
				seen[j] = true
				queue = append(queue, j)
			}
		}
	}
	return len(seen)
}
