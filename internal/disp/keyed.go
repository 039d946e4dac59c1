package disp

import (
	"github.com/cespare/xxhash/v2"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// NewTicket returns a new key that only this incarnation may start.
func (d *Dispatcher) NewTicket(now clock.Millis) string {
	return grant.NewTicket(d.Self.Incarnation, now)
}

// submitKeyed passes a submission to the one incarnation that may start its key.
func (d *Dispatcher) submitKeyed(s Submission, now clock.Millis) {
	ownership, owner := d.owner(s)
	switch {
	case ownership == grant.OwnershipHeld && owner == d.Self.Incarnation:
		d.submitOwned(s, now)
		d.dispatch(now)
	case ownership == grant.OwnershipHeld:
		d.submitToOwner(s, owner, now)
	case ownership == grant.OwnershipGap:
		d.reject(s, now, reply.Problem{Type: reply.TypeNoGrant, Ran: reply.RanNo,
			Detail: "no entry holds the key's time, and none ever will; use a new key"})
	case ownership == grant.OwnershipUnclaimed:
		d.submitUnclaimed(s, now)
	default:
		d.submitOwnerUnknown(s, now)
	}
}

// owner returns the ownership of the submission's key and, if it is held, the incarnation
// that holds it.
func (d *Dispatcher) owner(s Submission) (grant.Ownership, string) {
	if s.Key.Incarnation != "" {
		return grant.OwnershipHeld, s.Key.Incarnation
	}
	return d.Ledger.Owner(grant.RangeOf(s.Customer, s.Key.Text), s.Key.Time)
}

// submitOwned handles a submission whose key this incarnation holds.
func (d *Dispatcher) submitOwned(s Submission, now clock.Millis) {
	id := grant.SubmissionID{Customer: s.Customer, Key: s.Key.Text}
	rec := d.KeyTable.Get(id)
	switch {
	case rec != nil && !s.Lookup && !s.Cancel && rec.Digest != digestOf(s):
		d.reject(s, now, reply.Problem{Type: reply.TypeKeyReused, Ran: reply.RanMaybe,
			Detail: "the key belongs to another request"})
	case rec != nil:
		d.submitRegistered(s, rec, now)
	case s.Lookup || s.Cancel:
		d.reject(s, now, reply.Problem{Type: reply.TypeUnknownJob, Ran: reply.RanNo,
			Detail: "no job of this id has been taken here"})
	case d.KeyTable.TooOld(s.Key.Time):
		d.reject(s, now, reply.Problem{Type: reply.TypeKeyTooOld, Ran: reply.RanMaybe,
			Detail: "the key is older than the window in which keys are remembered"})
	case s.Key.Time > now+d.GrantDurationMS:
		d.reject(s, now, reply.Problem{Type: reply.TypeMalformed, Ran: reply.RanNo,
			Detail: "the key's time lies in the future"})
	default:
		d.admit(s, true, now)
	}
}

// submitRegistered handles a submission, lookup or cancel whose key is already in the table.
func (d *Dispatcher) submitRegistered(s Submission, rec *grant.KeyRecord, now clock.Millis) {
	switch rec.State {
	case grant.StateFinished:
		d.answer(s.Caller, rec.Answer)
	case grant.StateAnswerEvicted:
		d.reject(s, now, reply.Problem{Type: reply.TypeAnswerGone, Ran: reply.RanYes,
			Detail: "the request ended, but its answer is no longer kept"})
	default: // StateRunning, which includes queued
		d.submitInProgress(s, d.byKey[rec.ID], now)
	}
}

// submitInProgress handles a submission, lookup or cancel whose key belongs to ex, which has
// not ended.
func (d *Dispatcher) submitInProgress(s Submission, ex *execution, now clock.Millis) {
	switch {
	case s.Lookup:
		d.answer(s.Caller, reply.Answer{Request: ex.submission.Request, Pending: true})
	case s.Cancel:
		d.cancelExecution(ex, now, "cancelled by the caller")
		d.answer(s.Caller, d.KeyTable.Get(ex.keyID()).Answer)
		d.dispatch(now)
	default:
		ex.callers = append(ex.callers, s.Caller)
		d.byCaller[s.Caller] = ex
	}
}

// registerKey records the key of ex. It must be called before any task of ex starts.
func (d *Dispatcher) registerKey(ex *execution) {
	d.byKey[ex.keyID()] = ex
	d.KeyTable.Add(ex.keyID(), ex.submission.Key.Time, digestOf(ex.submission))
}

// finishKey stores the final answer under the key. If nothing ran, it removes the key
// instead, so that a resubmission can start it; a cancelled submission keeps its answer.
func (d *Dispatcher) finishKey(ex *execution, a reply.Answer) {
	delete(d.byKey, ex.keyID())
	notRun := a.Problem != nil && a.Problem.Ran == reply.RanNo
	if notRun && a.Problem.Type != reply.TypeCancelled {
		d.KeyTable.Drop(ex.keyID())
		return
	}
	d.KeyTable.Finish(ex.keyID(), a)
}

// submitToOwner forwards a submission to the incarnation that holds its key, if there is a
// link to it. A submission that was already forwarded once is not forwarded again.
func (d *Dispatcher) submitToOwner(s Submission, owner string, now clock.Millis) {
	m := d.Roster.Get(owner)
	if s.Forwarded || m == nil || !m.Linked {
		d.submitUnreachable(s, owner, now)
		return
	}
	f := &forward{id: d.nextMessageID(), entry: owner, submission: s}
	f.timer = d.setTimer(&timer{kind: timerForward, messageID: f.id}, s.Deadline+forwardGraceMS)
	d.forwards[f.id] = f
	d.Counters.Messages++
	d.emit(Forward{Entry: owner, MessageID: f.id, Submission: s, Timeout: max(1, s.Deadline-now)})
}

// submitUnclaimed handles a submission whose key time is not granted to any incarnation as
// far as this entry knows. The submission waits for a grant. If no grant is expected soon,
// an idempotent request runs at once without its key, unless the key time is too far in
// the future.
func (d *Dispatcher) submitUnclaimed(s Submission, now clock.Millis) {
	if s.Idempotent && !s.Job && s.Key.Time <= now+d.GrantDurationMS && !d.grantExpected(s) {
		d.admit(s, false, now)
		d.dispatch(now)
		return
	}
	d.awaitGrant(s, now)
}

// grantExpected reports whether the ledger is initialized and the key time is less than one
// grant duration beyond the last valid claim of its range. The next claim of the range is
// then likely to include it.
func (d *Dispatcher) grantExpected(s Submission) bool {
	r := grant.RangeOf(s.Customer, s.Key.Text)
	return d.Ledger.Initialized && s.Key.Time < d.Ledger.Ends[r]+d.GrantDurationMS
}

// submitOwnerUnknown handles a submission whose key is older than the grants that this
// entry has read, or that arrives before the ledger is initialized.
func (d *Dispatcher) submitOwnerUnknown(s Submission, now clock.Millis) {
	if !d.Ledger.Initialized {
		d.submitUnclaimed(s, now)
		return
	}
	d.reject(s, now, reply.Problem{Type: reply.TypeKeyTooOld, Ran: reply.RanMaybe,
		Detail: "the key is older than the grants that this entry knows"})
}

// grantWaitMS is the maximum time that a submission waits for a grant. It is as long as
// two renewal intervals.
const grantWaitMS clock.Millis = 2000

// awaitGrant holds a submission until its key time is granted or grantWaitMS has passed.
func (d *Dispatcher) awaitGrant(s Submission, now clock.Millis) {
	d.awaitingGrant = append(d.awaitingGrant, s)
	d.setTimer(&timer{kind: timerGrantWait, caller: s.Caller}, min(s.Deadline, now+grantWaitMS))
}

// removeAwaitingGrant removes and returns the submission of a caller that waits for a
// grant, and reports whether there was one.
func (d *Dispatcher) removeAwaitingGrant(c CallerID) (Submission, bool) {
	for i, s := range d.awaitingGrant {
		if s.Caller == c {
			d.awaitingGrant = append(d.awaitingGrant[:i], d.awaitingGrant[i+1:]...)
			return s, true
		}
	}
	return Submission{}, false
}

// grantWaitTimedOut runs an idempotent request that still waits for a grant without its key,
// and rejects any other submission that does.
func (d *Dispatcher) grantWaitTimedOut(c CallerID, now clock.Millis) {
	s, ok := d.removeAwaitingGrant(c)
	if !ok {
		return
	}
	if s.Idempotent && !s.Job && s.Deadline > now {
		d.admit(s, false, now)
		return
	}
	d.reject(s, now, reply.Problem{Type: reply.TypeNoGrant, Ran: reply.RanMaybe, RetryAfter: d.GrantDurationMS,
		Detail: "no grant covers the key's time yet; the same key can be sent again, or a ticket used"})
}

// retryAwaitingGrant resubmits the submissions whose key time has been granted, or can no
// longer be granted.
func (d *Dispatcher) retryAwaitingGrant(now clock.Millis) {
	waiting := d.awaitingGrant
	d.awaitingGrant = nil
	for _, s := range waiting {
		if ownership, _ := d.owner(s); ownership == grant.OwnershipUnclaimed || ownership == grant.OwnershipUnknown {
			d.awaitingGrant = append(d.awaitingGrant, s)
			continue
		}
		d.submitKeyed(s, now)
	}
}

// digestOf returns a digest of the kind and the tasks, to detect different requests under
// the same key.
func digestOf(s Submission) uint64 {
	h := xxhash.New()
	h.WriteString(s.Kind)
	for _, t := range s.Tasks {
		h.Write([]byte{0})
		h.WriteString(t.ContentType)
		h.Write([]byte{0})
		h.Write(t.Payload)
	}
	return h.Sum64()
}
