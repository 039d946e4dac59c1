package sched

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// relayAll passes a cancellation on among entries that are linked to their neighbours only,
// and returns the entries that it reached and the number of frames.
func relayAll(neighbours [][]int) (reached map[int]bool, frames int) {
	relays := make([]*cancelRelay, len(neighbours))
	for i := range relays {
		relays[i] = newCancelRelay()
	}
	reached = map[int]bool{0: true}
	relays[0].add("job", "", 0)
	for now := clock.Millis(0); now < cancelMemoryMS; now += cancelIntervalMS {
		for i, r := range relays {
			taken := r.take(now)
			for _, n := range neighbours[i] {
				for _, id := range idsExcept(taken, fmt.Sprint(n)) {
					frames++
					reached[n] = true
					relays[n].add(jobs.ID(id), fmt.Sprint(i), now)
				}
			}
		}
	}
	return reached, frames
}

// A job may be held by an entry that is several links away from the one that its caller asks
// to cancel it.
func TestCancellationReachesEveryEntryOnce(t *testing.T) {
	const size = 50
	neighbours := make([][]int, size)
	for i := range neighbours {
		neighbours[i] = []int{(i + 1) % size, (i + size - 1) % size, (i + 7) % size, (i + size - 7) % size}
	}
	reached, frames := relayAll(neighbours)
	require.Len(t, reached, size)
	require.LessOrEqual(t, frames, 4*size, "each entry passes it on once")
}

// A storm of cancellations costs one frame in an interval, and its memory is bounded.
func TestCancellationsAreCollected(t *testing.T) {
	r := newCancelRelay()
	for i := range 2 * maxRememberedCancels {
		r.add(jobs.ID(fmt.Sprint(i)), "", cancelIntervalMS)
	}
	require.Len(t, r.take(cancelIntervalMS)[""], maxRememberedCancels)
	r.add("late", "", cancelIntervalMS+cancelMemoryMS+1)
	require.Equal(t, map[string][]jobs.ID{"": {"late"}}, r.take(cancelIntervalMS+cancelMemoryMS+1))
	r.add("later", "", cancelIntervalMS+cancelMemoryMS+2)
	require.Nil(t, r.take(cancelIntervalMS+cancelMemoryMS+2), "the last ones were taken a moment ago")
}
