package runner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

func newTestSelector(name string, n int) *EntrySelector {
	s := NewEntrySelector(name, []string{"10.0.1.1:7400"}, 0)
	for i := range n {
		s.Add(fmt.Sprintf("10.0.0.%d:7400", i), 0)
	}
	return s
}

func TestAgentsAreSpreadOverAllEntries(t *testing.T) {
	count := map[string]int{}
	for i := range 300 {
		dial, _ := newTestSelector(fmt.Sprintf("agent-%d", i), 12).Select(nil, 0)
		require.Len(t, dial, maxLinks)
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
	dial, _ := s.Select(nil, 0)
	linked := map[string]bool{}
	for _, address := range dial[1:] {
		linked[address] = true
	}
	more, _ := s.Select(linked, connectTimeoutMS-1)
	require.Empty(t, more)
	more, _ = s.Select(linked, connectTimeoutMS)
	require.Len(t, more, 1)
}

func TestSeedsAreUsedOnlyAfterSeedDelay(t *testing.T) {
	s := NewEntrySelector("agent", []string{"10.0.1.1:7400"}, 0)
	dial, _ := s.Select(nil, seedDelayMS)
	require.Empty(t, dial)
	dial, _ = s.Select(nil, seedDelayMS+1)
	require.Equal(t, []string{"10.0.1.1:7400"}, dial)
}

func TestUnlistedEntryIsNoLongerDialed(t *testing.T) {
	s := newTestSelector("agent", 1)
	s.Select(nil, 0)
	_, stopDialing := s.Select(nil, unlistedGraceMS+clock.Second)
	require.Equal(t, []string{"10.0.0.0:7400"}, stopDialing)
}

func TestInvalidAddressIsNotDialed(t *testing.T) {
	s := newTestSelector("agent", 0)
	for _, address := range []string{"", "x", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:99999", "example.org:7400", "0.0.0.0:7400"} {
		s.Add(address, 0)
	}
	dial, _ := s.Select(nil, 0)
	require.Empty(t, dial)
}
