package disp

import (
	"github.com/cespare/xxhash/v2"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// NewTicket mints a key that only this incarnation may start.
func (d *Dispatcher) NewTicket(now clock.Millis) string {
	return grant.NewTicket(d.Self.Incarnation, now)
}

// submitKeyed brings a submission to the one incarnation that may start its key.
func (d *Dispatcher) submitKeyed(s Submission, now clock.Millis) {
	standing, owner := d.owner(s)
	switch {
	case standing == grant.OwnershipHeld && owner == d.Self.Incarnation:
		d.submitOwn(s, now)
		d.dispatch(now)
	case standing == grant.OwnershipHeld:
		d.submitElsewhere(s, owner, now)
	case standing == grant.OwnershipGap:
		d.refuse(s, now, reply.Problem{Type: reply.TypeNoGrant, Ran: reply.RanNo,
			Detail: "no entry holds the key's time, and none ever will; use a new key"})
	case standing == grant.OwnershipUnclaimed:
		d.submitOpen(s, now)
	default:
		d.submitUnknown(s, now)
	}
}

// owner returns who may start the key.
func (d *Dispatcher) owner(s Submission) (grant.Ownership, string) {
	if s.Key.Incarnation != "" {
		return grant.OwnershipHeld, s.Key.Incarnation
	}
	return d.Ledger.Owner(grant.RangeOf(s.Customer, s.Key.Text), s.Key.Time)
}

// submitOwn handles a key that this incarnation holds.
func (d *Dispatcher) submitOwn(s Submission, now clock.Millis) {
	id := grant.SubmissionID{Customer: s.Customer, Key: s.Key.Text}
	e := d.Table.Get(id)
	switch {
	case e != nil && !s.Lookup && !s.Cancel && e.Digest != digestOf(s):
		d.refuse(s, now, reply.Problem{Type: reply.TypeKeyReused, Ran: reply.RanMaybe,
			Detail: "the key belongs to another request"})
	case e != nil:
		d.submitKnown(s, e, now)
	case s.Lookup || s.Cancel:
		d.refuse(s, now, reply.Problem{Type: reply.TypeUnknownJob, Ran: reply.RanNo,
			Detail: "no job of this id has been taken here"})
	case d.Table.TooOld(s.Key.Time):
		d.refuse(s, now, reply.Problem{Type: reply.TypeKeyTooOld, Ran: reply.RanMaybe,
			Detail: "the key is older than the window in which keys are remembered"})
	case s.Key.Time > now+d.GrantDurationMS:
		d.refuse(s, now, reply.Problem{Type: reply.TypeMalformed, Ran: reply.RanNo,
			Detail: "the key's time lies in the future"})
	default:
		d.admit(s, true, now)
	}
}

// submitKnown joins a submission to the one that came before it under its key.
func (d *Dispatcher) submitKnown(s Submission, e *grant.KeyRecord, now clock.Millis) {
	switch e.State {
	case grant.StateFinished:
		d.answer(s.Caller, e.Answer)
	case grant.StateAnswerEvicted:
		d.refuse(s, now, reply.Problem{Type: reply.TypeAnswerGone, Ran: reply.RanYes,
			Detail: "the request ended, but its answer is no longer kept"})
	default:
		d.join(s, d.byKey[e.ID], now)
	}
}

func (d *Dispatcher) join(s Submission, w *work, now clock.Millis) {
	switch {
	case s.Lookup:
		d.answer(s.Caller, reply.Answer{Request: w.sub.Request, Pending: true})
	case s.Cancel:
		d.cancelled(w, now, "cancelled by the caller")
		d.answer(s.Caller, d.Table.Get(w.keyID()).Answer)
		d.dispatch(now)
	default:
		w.callers = append(w.callers, s.Caller)
		d.byCaller[s.Caller] = w
	}
}

// register remembers a keyed work before any of it starts.
func (d *Dispatcher) register(w *work) {
	d.byKey[w.keyID()] = w
	d.Table.Add(w.keyID(), w.sub.Key.Time, digestOf(w.sub))
}

// endKey keeps the final answer under the key. A submission of which nothing ran
// may be started by a resubmission, but for one that was cancelled as a job.
func (d *Dispatcher) endKey(w *work, a reply.Answer) {
	delete(d.byKey, w.keyID())
	startable := a.Problem != nil && a.Problem.Ran == reply.RanNo
	if startable && a.Problem.Type != reply.TypeCancelled {
		d.Table.Drop(w.keyID())
		return
	}
	d.Table.Finish(w.keyID(), a)
}

// submitElsewhere handles a key that another incarnation holds.
func (d *Dispatcher) submitElsewhere(s Submission, owner string, now clock.Millis) {
	m := d.Roster.Get(owner)
	if s.Forwarded || m == nil || !m.Linked {
		d.submitOrphan(s, owner, now)
		return
	}
	f := &forward{ask: d.ask(), entry: owner, sub: s}
	f.timer = d.setTimer(&timer{kind: timerForward, ask: f.ask}, s.Deadline+forwardGraceMS)
	d.forwards[f.ask] = f
	d.Counters.Messages++
	d.emit(Forward{Entry: owner, MessageID: f.ask, Submission: s, Timeout: max(1, s.Deadline-now)})
}

// submitOpen handles a key whose time nobody is known to hold yet: it waits a
// little, since a grant may be on its way.
func (d *Dispatcher) submitOpen(s Submission, now clock.Millis) {
	if s.Idempotent && !s.Job && s.Key.Time <= now+d.GrantDurationMS && !d.mayBeGranted(s) {
		d.admit(s, false, now)
		d.dispatch(now)
		return
	}
	d.park(s, now)
}

// mayBeGranted reports whether this entry follows the log at present, so that
// waiting for a grant is likely to help.
func (d *Dispatcher) mayBeGranted(s Submission) bool {
	r := grant.RangeOf(s.Customer, s.Key.Text)
	return d.Ledger.Initialized && s.Key.Time < d.Ledger.Ends[r]+d.GrantDurationMS
}

// submitUnknown handles a key from before the history that this process knows.
func (d *Dispatcher) submitUnknown(s Submission, now clock.Millis) {
	if !d.Ledger.Initialized {
		d.submitOpen(s, now)
		return
	}
	d.refuse(s, now, reply.Problem{Type: reply.TypeKeyTooOld, Ran: reply.RanMaybe,
		Detail: "the key is older than the grants that this entry knows"})
}

// parkMS is the longest that a submission waits for a grant: two renewals.
const parkMS clock.Millis = 2000

// park keeps a submission until its key's time is granted.
func (d *Dispatcher) park(s Submission, now clock.Millis) {
	d.parked = append(d.parked, s)
	d.setTimer(&timer{kind: timerParked, caller: s.Caller}, min(s.Deadline, now+parkMS))
}

// unpark takes a submission out; it reports whether it was there.
func (d *Dispatcher) unpark(c CallerID) (Submission, bool) {
	for i, s := range d.parked {
		if s.Caller == c {
			d.parked = append(d.parked[:i], d.parked[i+1:]...)
			return s, true
		}
	}
	return Submission{}, false
}

func (d *Dispatcher) parkedTimedOut(c CallerID, now clock.Millis) {
	s, ok := d.unpark(c)
	if !ok {
		return
	}
	if s.Idempotent && !s.Job && s.Deadline > now {
		d.admit(s, false, now)
		return
	}
	d.refuse(s, now, reply.Problem{Type: reply.TypeNoGrant, Ran: reply.RanMaybe, RetryAfter: d.GrantDurationMS,
		Detail: "no grant covers the key's time yet; the same key can be sent again, or a ticket used"})
}

// retryParked submits again what waited for a grant.
func (d *Dispatcher) retryParked(now clock.Millis) {
	waiting := d.parked
	d.parked = nil
	for _, s := range waiting {
		if standing, _ := d.owner(s); standing == grant.OwnershipUnclaimed || standing == grant.OwnershipUnknown {
			d.parked = append(d.parked, s)
			continue
		}
		d.submitKeyed(s, now)
	}
}

// digestOf tells requests under one key apart.
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
