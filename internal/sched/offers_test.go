package sched

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// waitingFrames returns the notices of waiting jobs among frames.
func waitingFrames(frames []*wire.Frame) []*wire.Waiting {
	var out []*wire.Waiting
	for _, f := range frames {
		if w := f.GetWaiting(); w != nil {
			out = append(out, w)
		}
	}
	return out
}

func roomFrame(freeMilliCPU int64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Room{Room: &wire.Room{Speed: 1, Free: &wire.Size{MilliCpu: freeMilliCPU}}}}
}

// newFullEntry returns an entry that knows another one and has one linked agent, whose worker is
// full, and the function that returns the notices that the entry has sent to it.
func newFullEntry(t *testing.T) (*Entry, func() []*wire.Waiting) {
	e := newTestEntry(t)
	e.settings.CapacityOffers = true
	e.addListed("10.0.0.2:7400", e.clock.Now())
	sent := linkFakeAgent(e)
	e.onFrame(e.agents["a"], roomFrame(0))
	return e, func() []*wire.Waiting { return waitingFrames(sent()) }
}

func submitTo(e *Entry, id string) {
	r := newTestRequest(id)
	e.scheduler.Submit(place.Submission{Spec: r.Spec, Queue: r.Queue}, e.clock.Now())
}

// Notices cost the processor time of small entries and their agents, which calm load must not spend.
func TestNoNoticeWithoutWaitingJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, notices := newFullEntry(t)
		e.onFrame(e.agents["a"], roomFrame(100))
		submitTo(e, "1")
		for range 50 {
			time.Sleep(10 * time.Millisecond)
			e.onTick(t.Context())
		}
		require.Empty(t, notices())
	})
}

// An agent that is not told of a waiting job offers its capacity to others, and one that is not
// told of its end offers in vain.
func TestAgentIsToldOfWaitingJobsAndOfTheirEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, notices := newFullEntry(t)
		submitTo(e, "1")
		e.sendNotices(e.clock.Now())
		require.Empty(t, notices(), "the job has only just arrived")
		time.Sleep(10 * time.Millisecond)
		e.sendNotices(e.clock.Now())
		told := notices()
		require.Len(t, told, 1)
		require.False(t, told[0].GetNone())
		require.Equal(t, int64(50), told[0].GetSize().GetMilliCpu())
		require.Equal(t, int64(e.scheduler.Jobs["1"].LatestStart-e.clock.Now()), told[0].GetSlackMs())
		time.Sleep(100 * time.Millisecond)
		e.sendNotices(e.clock.Now())
		require.Len(t, notices(), 1, "renewed before it expires")
		e.onFrame(e.agents["a"], roomFrame(100))
		time.Sleep(20 * time.Millisecond)
		e.sendNotices(e.clock.Now())
		told = notices()
		require.Len(t, told, 1)
		require.True(t, told[0].GetNone())
	})
}

// The flag must disable the notices, so that a deployment can be compared with and without them.
func TestNoNoticeWhileOffersAreDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, notices := newFullEntry(t)
		e.settings.CapacityOffers = false
		submitTo(e, "1")
		time.Sleep(100 * time.Millisecond)
		e.onTick(t.Context())
		require.Empty(t, notices())
	})
}

// Agents of a lone entry would offer to it what they report at once without offers.
func TestLoneEntrySendsNoNotice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		e.settings.CapacityOffers = true
		sent := linkFakeAgent(e)
		e.onFrame(e.agents["a"], roomFrame(0))
		submitTo(e, "1")
		time.Sleep(100 * time.Millisecond)
		e.onTick(t.Context())
		require.Empty(t, waitingFrames(sent()))
	})
}
