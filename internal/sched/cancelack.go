package sched

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// maxCancelAckMS is how long an entry waits for the linked entries before it acknowledges a
// cancellation all the same: one of them may be cut off, or of a version that confirms nothing.
const maxCancelAckMS clock.Millis = 500

// unconfirmedCancel is a cancellation that is not acknowledged to its caller yet. It is acknowledged
// once all linked entries have handled it: this entry may end right after the acknowledgement, and
// the others then pass the cancellation on to the entry that holds the job.
type unconfirmedCancel struct {
	// held is set if this entry held the job unanswered.
	held   bool
	answer chan<- bool
	// sent is set once the cancellation was passed on to the linked entries.
	sent bool
	// awaits holds, by linked entry, the number of the frame with the cancellation.
	awaits map[string]uint64
	// expiresAt is when the cancellation is acknowledged at the latest.
	expiresAt clock.Millis
}

// markCancelsSent records that the collected cancellations were passed on, and the frames that
// have to be handled before they are acknowledged.
func (e *Entry) markCancelsSent() {
	for _, c := range e.unconfirmedCancels {
		if c.sent {
			continue
		}
		c.sent = true
		for incarnation, other := range e.linkedEntries {
			c.awaits[incarnation] = other.cancelsSent
		}
	}
}

// acknowledgeCancels acknowledges the cancellations that all linked entries have handled, and
// those that have waited for maxCancelAckMS.
func (e *Entry) acknowledgeCancels(now clock.Millis) {
	remaining := e.unconfirmedCancels[:0]
	for _, c := range e.unconfirmedCancels {
		if now < c.expiresAt && !(c.sent && e.confirmed(c)) {
			remaining = append(remaining, c)
			continue
		}
		c.answer <- c.held
	}
	clear(e.unconfirmedCancels[len(remaining):])
	e.unconfirmedCancels = remaining
}

// confirmed reports whether all entries that are still linked have handled a cancellation.
func (e *Entry) confirmed(c *unconfirmedCancel) bool {
	for incarnation, frame := range c.awaits {
		if other := e.linkedEntries[incarnation]; other != nil && other.cancelsConfirmed < frame {
			return false
		}
	}
	return true
}

// acknowledgeAllCancels acknowledges all cancellations, when the entry ends.
func (e *Entry) acknowledgeAllCancels() {
	for _, c := range e.unconfirmedCancels {
		c.answer <- c.held
	}
	e.unconfirmedCancels = nil
}
