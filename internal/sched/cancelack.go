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
	answer chan<- CancelOutcome
	// sent is set once the cancellation was passed on to the linked entries.
	sent bool
	// awaits holds, by the link to another entry, the number of the frame with the cancellation.
	awaits map[*linkedEntry]uint64
	// expiresAt is when the cancellation is acknowledged at the latest.
	expiresAt clock.Millis
}

// CancelOutcome is the answer to a cancellation.
type CancelOutcome int

// The outcomes of a cancellation.
const (
	// CancelRefused: the cancellation has had no effect, and is to be repeated elsewhere.
	CancelRefused CancelOutcome = iota
	// CancelHeld: this entry held the job unanswered and has cancelled it.
	CancelHeld
	// CancelNotHeld: this entry did not hold the job unanswered. The linked entries have the
	// cancellation.
	CancelNotHeld
)

// markCancelsSent records that the collected cancellations were passed on, and the frames that
// have to be handled before they are acknowledged.
func (e *Entry) markCancelsSent() {
	for _, c := range e.unconfirmedCancels {
		if c.sent {
			continue
		}
		c.sent = true
		for _, other := range e.linkedEntries {
			c.awaits[other] = other.cancelsSent
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
		c.answer <- c.outcome()
	}
	clear(e.unconfirmedCancels[len(remaining):])
	e.unconfirmedCancels = remaining
}

// confirmed reports whether all entries that are still linked have handled a cancellation.
func (e *Entry) confirmed(c *unconfirmedCancel) bool {
	for other, frame := range c.awaits {
		if e.linkedEntries[other.link.Peer.Incarnation] == other && other.cancelsConfirmed < frame {
			return false
		}
	}
	return true
}

// outcome returns the answer to the caller of an acknowledged cancellation.
func (c *unconfirmedCancel) outcome() CancelOutcome {
	if c.held {
		return CancelHeld
	}
	return CancelNotHeld
}

// passOnLastCancels passes the collected cancellations on before the links close, and acknowledges
// them: the links end once their frames have arrived.
func (e *Entry) passOnLastCancels() {
	e.cancels.sentAt = 0
	e.sendCancels(e.clock.Now())
	for _, c := range e.unconfirmedCancels {
		c.answer <- c.outcome()
	}
	e.unconfirmedCancels = nil
}

// refuseCancels refuses the cancellations that arrive once the links are closed: nobody would
// learn of them.
func (e *Entry) refuseCancels() {
	for _, c := range e.unconfirmedCancels {
		c.answer <- CancelRefused
	}
	e.unconfirmedCancels = nil
}
