package sched

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
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

// An entry that was killed right after it had acknowledged a cancellation had not passed it on,
// and the job went on at the entry that held it.
func TestCancellationIsAcknowledgedOnceTheLinkedEntriesHaveIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		other, sent := linkFakeEntry(e, "o")
		answer := make(chan CancelOutcome, 1)
		cancelRequest{id: "a", answer: answer}.apply(e)
		require.Empty(t, answer)
		time.Sleep(cancelIntervalMS.Duration())
		e.sendCancels(e.clock.Now())
		require.Equal(t, "a", sent()[0].GetCancelJob().GetJob())
		require.Empty(t, answer, "the other entry may not have it yet")
		e.onFrame(other.link, &wire.Frame{Body: &wire.Frame_Pulse{Pulse: &wire.Pulse{CancelsHandled: 1}}})
		require.Equal(t, CancelNotHeld, <-answer)
	})
}

func TestCancellationIsAcknowledgedThoughALinkedEntryIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		linkFakeEntry(e, "o")
		answer := make(chan CancelOutcome, 1)
		cancelRequest{id: "a", answer: answer}.apply(e)
		time.Sleep(maxCancelAckMS.Duration())
		e.acknowledgeCancels(e.clock.Now())
		require.Len(t, answer, 1)
	})
}

// A copy of a submission that arrived at another entry after the job was cancelled started its
// tasks again.
func TestLateCopyOfACancelledJobIsNotPlaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		other, sent := linkFakeEntry(e, "o")
		e.onFrame(other.link, &wire.Frame{Body: &wire.Frame_CancelJob{CancelJob: &wire.CancelJob{Job: "a"}}})
		require.Equal(t, uint64(1), sent()[0].GetPulse().GetCancelsHandled())
		time.Sleep(4 * time.Second)
		w := &waiter{reply: make(chan Reply, 1)}
		submit{request: Request{Spec: jobs.Spec{ID: "a"}}, waiter: w, caller: t.Context(), sentAt: e.clock.Now()}.apply(e)
		require.Equal(t, place.VerdictCancelled, (<-w.reply).Verdict)
		require.Empty(t, e.scheduler.Jobs)
	})
}

func TestMemoryOfCancelledJobsIsBounded(t *testing.T) {
	c := newCancelledJobs()
	for i := range maxCancelledJobs + 1 {
		c.add(jobs.ID(fmt.Sprint(i)), clock.Millis(i))
	}
	require.Len(t, c.at, maxCancelledJobs)
	require.False(t, c.has("0", maxCancelledJobs), "the oldest is forgotten first")
	require.True(t, c.has("1", maxCancelledJobs))
	c.add("later", 2*cancelledMemoryMS)
	require.Len(t, c.at, 1)
}

// A copy of a submission ran when the job had been cancelled twice and the first cancellation was
// forgotten.
func TestJobThatIsCancelledAgainIsRememberedFromThenOn(t *testing.T) {
	c := newCancelledJobs()
	c.add("a", 0)
	c.add("a", cancelledMemoryMS)
	c.add("b", cancelledMemoryMS+1)
	require.True(t, c.has("a", 2*cancelledMemoryMS))
}

// A cancellation that arrived at the end of a drain was acknowledged and never passed on.
func TestCancellationAtTheEndOfADrainIsPassedOnOrRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		_, sent := linkFakeEntry(e, "o")
		early, late := make(chan CancelOutcome, 1), make(chan CancelOutcome, 1)
		cancelRequest{id: "a", answer: early}.apply(e)
		e.passOnLastCancels()
		require.Equal(t, CancelNotHeld, <-early)
		require.Equal(t, "a", sent()[0].GetCancelJob().GetJob())
		e.refuse(cancelRequest{id: "b", answer: late})
		require.Equal(t, CancelRefused, <-late)
	})
}
