package sched

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

const (
	// cancelIntervalMS is how long cancellations are collected before they are passed on.
	// A storm of cancellations then costs a bounded number of frames.
	cancelIntervalMS clock.Millis = 50
	// cancelMemoryMS is how long a cancellation is remembered, so that it is passed on once.
	// It is longer than one needs to reach all entries, and short enough that a caller who
	// repeats it is heard.
	cancelMemoryMS clock.Millis = 1000
	// maxRememberedCancels bounds the memory of the relay.
	maxRememberedCancels = 20_000
)

// cancelRelay collects the cancellations that are passed on to all entries, whether or not this
// entry holds the job: each entry passes a cancellation that is new to it on to its linked entries.
type cancelRelay struct {
	// seenAt is when each remembered cancellation arrived; order lists them, oldest first.
	seenAt map[jobs.ID]clock.Millis
	order  []jobs.ID
	// pending holds the cancellations to be passed on, by the incarnation of the entry that
	// they came from; "" for callers of this entry.
	pending map[string][]jobs.ID
	sentAt  clock.Millis
}

func newCancelRelay() *cancelRelay {
	return &cancelRelay{seenAt: map[jobs.ID]clock.Millis{}, pending: map[string][]jobs.ID{}}
}

// add records a cancellation to be passed on, unless it is remembered or names no job.
func (r *cancelRelay) add(id jobs.ID, from string, now clock.Millis) {
	r.forget(now)
	if _, seen := r.seenAt[id]; seen || id == "" || len(r.order) >= maxRememberedCancels {
		return
	}
	r.seenAt[id] = now
	r.order = append(r.order, id)
	r.pending[from] = append(r.pending[from], id)
}

// forget drops the cancellations that need not be remembered any longer.
func (r *cancelRelay) forget(now clock.Millis) {
	for len(r.order) > 0 && now-r.seenAt[r.order[0]] > cancelMemoryMS {
		delete(r.seenAt, r.order[0])
		r.order = r.order[1:]
	}
}

// take returns the cancellations to be passed on now, by the entry that they came from. It
// returns nil if there are none or the last ones were taken a moment ago.
func (r *cancelRelay) take(now clock.Millis) map[string][]jobs.ID {
	if len(r.pending) == 0 || now-r.sentAt < cancelIntervalMS {
		return nil
	}
	taken := r.pending
	r.pending, r.sentAt = map[string][]jobs.ID{}, now
	return taken
}

// idsExcept returns all cancellations but those that came from the given entry.
func idsExcept(byOrigin map[string][]jobs.ID, entry string) []string {
	var ids []string
	for origin, cancelled := range byOrigin {
		if origin == entry {
			continue
		}
		for _, id := range cancelled {
			ids = append(ids, string(id))
		}
	}
	return ids
}

// sendCancels passes the collected cancellations on to the linked entries.
func (e *Entry) sendCancels(now clock.Millis) {
	taken := e.cancels.take(now)
	for incarnation, other := range e.linkedEntries {
		if ids := idsExcept(taken, incarnation); len(ids) > 0 {
			// Earlier versions read the first job only.
			m := &wire.CancelJob{Job: ids[0], Jobs: ids[1:]}
			other.link.Send(&wire.Frame{Body: &wire.Frame_CancelJob{CancelJob: m}})
			other.cancelsSent++
		}
	}
	if len(e.cancels.pending) == 0 {
		e.markCancelsSent()
	}
}

// onCancels cancels the jobs that this entry holds, passes all cancellations on and confirms them.
// An entry can't tell whether all entries are linked to each other, since it may not have
// seen the newest ones on the list.
func (e *Entry) onCancels(other *linkedEntry, m *wire.CancelJob) {
	now := e.clock.Now()
	for _, id := range append(m.GetJobs(), m.GetJob()) {
		e.cancelled.add(jobs.ID(id), now)
		e.scheduler.Cancel(jobs.ID(id), now)
		e.cancels.add(jobs.ID(id), other.link.Peer.Incarnation, now)
	}
	other.cancelsHandled++
	e.sendState(other)
}
