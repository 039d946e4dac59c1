package runner

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

func listed(name string, n int) *EntrySelector {
	e := NewEntrySelector(name, []string{"seed"}, 0)
	for i := range n {
		e.Add(fmt.Sprintf("10.0.0.%d:7400", i), 0)
	}
	return e
}

func TestEveryEntryGetsItsPartOfTheAgents(t *testing.T) {
	count := map[string]int{}
	for i := range 300 {
		dial, _ := listed(fmt.Sprintf("agent-%d", i), 12).Select(nil, 0)
		require.Len(t, dial, maxEntries)
		for _, address := range dial {
			count[address]++
		}
	}
	for address, n := range count {
		require.Greater(t, n, 100, address)
		require.Less(t, n, 200, address)
	}
}

func TestEntryThatCanNotBeReachedIsMadeUpForByTheNext(t *testing.T) {
	e := listed("agent", 12)
	dial, _ := e.Select(nil, 0)
	linked := map[string]bool{}
	for _, address := range dial[1:] {
		linked[address] = true
	}
	more, _ := e.Select(linked, reachMS-1)
	require.Empty(t, more)
	more, _ = e.Select(linked, reachMS)
	require.Len(t, more, 1)
}

func TestSeedsAreUsedOnlyWhenTheStoreTellsNothing(t *testing.T) {
	e := NewEntrySelector("agent", []string{"seed"}, 0)
	dial, _ := e.Select(nil, seedsAfterMS)
	require.Empty(t, dial)
	dial, _ = e.Select(nil, seedsAfterMS+1)
	require.Equal(t, []string{"seed"}, dial)
}

func TestEntryThatNobodyListsIsGivenUp(t *testing.T) {
	e := listed("agent", 1)
	e.Select(nil, 0)
	_, forget := e.Select(nil, unlistedMS+clock.Second)
	require.Equal(t, []string{"10.0.0.0:7400"}, forget)
}
