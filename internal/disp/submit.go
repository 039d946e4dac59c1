package disp

import (
	"fmt"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// Submit handles a caller's submission. The answer is a Reply action, which may be emitted
// at once or later.
func (d *Dispatcher) Submit(s Submission, now clock.Millis) {
	d.Counters.Submitted++
	if s.Key.Text != "" {
		d.submitKeyed(s, now)
		return
	}
	if !s.Idempotent || s.Job {
		d.reject(s, now, reply.Problem{Type: reply.TypeMalformed, Ran: reply.RanNo,
			Detail: "a request that is not idempotent needs an Idempotency-Key"})
		return
	}
	d.admit(s, false, now)
	d.dispatch(now)
}

// reject answers a submission with a problem instead of starting its tasks. Unless p.Ran
// is RanNo, an earlier submission with the same key may have started some.
func (d *Dispatcher) reject(s Submission, now clock.Millis, p reply.Problem) {
	d.Audit.AddRecord(newAuditRecord(s, now, &p, d.Audit.NextSeq))
	d.answer(s.Caller, reply.Answer{Request: s.Request, Problem: &p})
}

// admit queues the tasks of a submission, or rejects it with RanNo. If keyed is set, it
// registers the key first.
func (d *Dispatcher) admit(s Submission, keyed bool, now clock.Millis) {
	c := d.Config.Contracts[s.Customer]
	p := d.checkAdmission(s, c, now)
	if p != nil {
		p.Ran = reply.RanNo
		d.reject(s, now, *p)
		return
	}
	ex := d.newExecution(s, c, keyed, now)
	if keyed {
		d.registerKey(ex)
	}
	for i := range s.Tasks {
		d.enqueue(ex, i, now, false)
	}
	d.RetryBudgets.Earn(s.Customer, c.RetryPercent*float64(len(s.Tasks)))
}

// checkAdmission returns the reason to reject a submission, or nil. The rate limit is
// checked last, so that submissions rejected for another reason do not count towards it.
func (d *Dispatcher) checkAdmission(s Submission, c *contr.Contract, now clock.Millis) *reply.Problem {
	if d.Draining {
		return &reply.Problem{Type: reply.TypeShuttingDown, Detail: "this entry is shutting down", RetryAfter: 1}
	}
	if c == nil || c.Kind(s.Kind) == nil {
		return &reply.Problem{Type: reply.TypeUnknownKind, Detail: "the contract has no kind " + s.Kind}
	}
	version := d.Config.DocumentVersion(contr.PrefixContract + s.Customer)
	checks := []func(Submission, *contr.Contract, clock.Millis) *reply.Problem{
		d.checkSize, d.checkUpstream, d.checkQueue, d.checkDeadline, d.checkRate,
	}
	for _, check := range checks {
		if p := check(s, c, now); p != nil {
			p.Version = version
			return p
		}
	}
	return nil
}

// checkSize rejects a submission that has too many tasks and therefore can never run.
func (d *Dispatcher) checkSize(s Submission, c *contr.Contract, _ clock.Millis) *reply.Problem {
	n := len(s.Tasks)
	if n > d.MaxJobTasks {
		return &reply.Problem{Type: reply.TypeNeverRuns,
			Detail: fmt.Sprintf("a job of %d tasks is over this system's limit of %d", n, d.MaxJobTasks)}
	}
	if n > c.Queue {
		return &reply.Problem{Type: reply.TypeNeverRuns, Line: "queue",
			Detail: fmt.Sprintf("a job of %d tasks is over the contract's queue of %d", n, c.Queue)}
	}
	if float64(n) > c.Rate.Burst {
		return &reply.Problem{Type: reply.TypeNeverRuns, Line: "rate.burst",
			Detail: fmt.Sprintf("a job of %d tasks is over the contract's burst of %g", n, c.Rate.Burst)}
	}
	return nil
}

// noUpstreamRetryMS is the time after which a caller should retry when no upstream is
// available. It equals the heartbeat interval, at which upstreams announce themselves.
const noUpstreamRetryMS clock.Millis = 1000

func (d *Dispatcher) checkUpstream(s Submission, _ *contr.Contract, now clock.Millis) *reply.Problem {
	if d.Fleet.Serves(s.Kind) || d.reconnectingSlots(s.Kind, now) > 0 {
		return nil
	}
	if d.servedOnlyInDrainedZones(s.Kind, now) {
		return drainedZonesProblem(s.Kind)
	}
	return &reply.Problem{Type: reply.TypeNoUpstream, RetryAfter: noUpstreamRetryMS,
		Detail: "no upstream serves kind " + s.Kind + " at present"}
}

func (d *Dispatcher) checkQueue(s Submission, c *contr.Contract, now clock.Millis) *reply.Problem {
	waiting := d.Queue.Waiting(s.Customer)
	if waiting+len(s.Tasks) <= c.Queue {
		return nil
	}
	return &reply.Problem{Type: reply.TypeQueueFull, Line: "queue",
		Detail:     fmt.Sprintf("%d tasks of this customer wait, and the contract allows %d", waiting, c.Queue),
		RetryAfter: d.expectedWait(s, now)}
}

// checkDeadline rejects a submission that is expected to miss its deadline.
func (d *Dispatcher) checkDeadline(s Submission, c *contr.Contract, now clock.Millis) *reply.Problem {
	wait := d.expectedWait(s, now)
	if now+wait+d.expectedService(s.Kind) <= s.Deadline {
		return nil
	}
	line := "share"
	if k := c.Kind(s.Kind); k != nil && len(c.Kinds) > 1 {
		line = fmt.Sprintf("kinds[%s].share", k.Name)
	}
	return &reply.Problem{Type: reply.TypeDeadline, Line: line, RetryAfter: wait,
		Detail: fmt.Sprintf("expected to wait %d ms under the contract's share, past the deadline in %d ms", wait, s.Deadline-now)}
}

// expectedWait returns the expected queueing time of the last task of s.
func (d *Dispatcher) expectedWait(s Submission, now clock.Millis) clock.Millis {
	f := fair.Flow{Customer: s.Customer, Kind: s.Kind}
	tasksAhead := d.Queue.WaitingInFlow(f) + len(s.Tasks) - 1
	if tasksAhead == 0 {
		return 0
	}
	slots := float64(d.Fleet.SlotShare()+d.reconnectingSlots(s.Kind, now)) * d.Queue.ExpectedShare(f)
	return clock.Millis(float64(tasksAhead) * d.Fleet.MeanServiceMS(s.Kind) / max(slots, 0.01))
}

// expectedService returns the expected service time of a kind, or zero if no task of the
// kind has run yet.
func (d *Dispatcher) expectedService(kind string) clock.Millis {
	if !d.Fleet.HasSamples(kind) {
		return 0
	}
	return clock.Millis(d.Fleet.MeanServiceMS(kind))
}

func (d *Dispatcher) checkRate(s Submission, c *contr.Contract, now clock.Millis) *reply.Problem {
	ok, wait := d.RateLimits.Take(s.Customer, len(s.Tasks), now)
	if ok {
		return nil
	}
	return &reply.Problem{Type: reply.TypeRateLimit, Line: "rate.per_second", RetryAfter: max(wait, 1),
		Detail: fmt.Sprintf("the contract allows %g tasks a second with a burst of %g", c.Rate.PerSecond, c.Rate.Burst)}
}

// CallerDisconnected must be called when a caller disconnects before its answer. A
// submission without callers is cancelled, unless it is keyed and may have started.
func (d *Dispatcher) CallerDisconnected(c CallerID, now clock.Millis) {
	d.withdrawForward(c)
	d.removeAwaitingGrant(c)
	ex := d.byCaller[c]
	if ex == nil {
		return
	}
	delete(d.byCaller, c)
	ex.removeCaller(c)
	if len(ex.callers) > 0 || ex.continuesWithoutCaller() {
		return
	}
	d.cancelExecution(ex, now, "the caller has gone")
	d.dispatch(now)
}
