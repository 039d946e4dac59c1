package disp

import (
	"fmt"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// Submit takes a caller's submission. Its answer comes as a Reply, at once or later.
func (d *Dispatcher) Submit(s Submission, now clock.Millis) {
	d.Counters.Submitted++
	if s.Key.Text != "" {
		d.submitKeyed(s, now)
		return
	}
	if !s.Idempotent || s.Job {
		d.refuse(s, now, reply.Problem{Type: reply.TypeMalformed, Ran: reply.RanNo,
			Detail: "a request that is not idempotent needs an Idempotency-Key"})
		return
	}
	d.admit(s, false, now)
	d.dispatch(now)
}

// refuse answers a submission of which nothing was started by this call.
func (d *Dispatcher) refuse(s Submission, now clock.Millis, p reply.Problem) {
	d.Audit.AddRecord(audited(s, now, &p, d.Audit.NextSeq))
	d.answer(s.Caller, reply.Answer{Request: s.Request, Problem: &p})
}

// admit puts a submission in line, or refuses it with nothing run. A keyed one is
// registered under its key first.
func (d *Dispatcher) admit(s Submission, keyed bool, now clock.Millis) {
	c := d.Book.Contracts[s.Customer]
	p := d.unadmittable(s, c, now)
	if p != nil {
		p.Ran = reply.RanNo
		d.refuse(s, now, *p)
		return
	}
	w := d.newWork(s, c, keyed, now)
	if keyed {
		d.register(w)
	}
	for i := range s.Tasks {
		d.enqueue(w, i, now, false)
	}
	d.Budgets.Earn(s.Customer, c.RetryPercent*float64(len(s.Tasks)))
}

// unadmittable returns why a submission can't be taken, or nil. The rate is taken
// last, so that what is refused for another reason does not use it up.
func (d *Dispatcher) unadmittable(s Submission, c *contr.Contract, now clock.Millis) *reply.Problem {
	if d.Draining {
		return &reply.Problem{Type: reply.TypeShuttingDown, Detail: "this entry is shutting down", RetryAfter: 1}
	}
	if c == nil || c.Kind(s.Kind) == nil {
		return &reply.Problem{Type: reply.TypeUnknownKind, Detail: "the contract has no kind " + s.Kind}
	}
	version := d.Book.DocumentVersion(contr.PrefixContract + s.Customer)
	checks := []func(Submission, *contr.Contract, clock.Millis) *reply.Problem{
		d.neverRuns, d.noUpstream, d.queueFull, d.tooLate, d.overRate,
	}
	for _, check := range checks {
		if p := check(s, c, now); p != nil {
			p.Version = version
			return p
		}
	}
	return nil
}

func (d *Dispatcher) neverRuns(s Submission, c *contr.Contract, _ clock.Millis) *reply.Problem {
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

// noUpstreamRetryMS is how long a caller should wait for an upstream to announce
// itself: one heartbeat interval of upstreams.
const noUpstreamRetryMS clock.Millis = 1000

func (d *Dispatcher) noUpstream(s Submission, _ *contr.Contract, now clock.Millis) *reply.Problem {
	if d.Fleet.Serves(s.Kind) || d.lostSlots(s.Kind, now) > 0 {
		return nil
	}
	return &reply.Problem{Type: reply.TypeNoUpstream, RetryAfter: noUpstreamRetryMS,
		Detail: "no upstream serves kind " + s.Kind + " at present"}
}

func (d *Dispatcher) queueFull(s Submission, c *contr.Contract, now clock.Millis) *reply.Problem {
	waiting := d.Queue.Waiting(s.Customer)
	if waiting+len(s.Tasks) <= c.Queue {
		return nil
	}
	return &reply.Problem{Type: reply.TypeQueueFull, Line: "queue",
		Detail:     fmt.Sprintf("%d tasks of this customer wait, and the contract allows %d", waiting, c.Queue),
		RetryAfter: d.expectedWait(s, now)}
}

// tooLate refuses at once what would miss its deadline in line.
func (d *Dispatcher) tooLate(s Submission, c *contr.Contract, now clock.Millis) *reply.Problem {
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

// expectedWait returns how long the last task of s would stand in line.
func (d *Dispatcher) expectedWait(s Submission, now clock.Millis) clock.Millis {
	f := fair.Flow{Customer: s.Customer, Kind: s.Kind}
	ahead := d.Queue.WaitingInFlow(f) + len(s.Tasks) - 1
	if ahead == 0 {
		return 0
	}
	slots := float64(d.Fleet.SlotShare()+d.lostSlots(s.Kind, now)) * d.Queue.ExpectedShare(f)
	return clock.Millis(float64(ahead) * d.Fleet.MeanServiceMS(s.Kind) / max(slots, 0.01))
}

// expectedService returns the expected service time of a kind, or zero before any of
// it has run.
func (d *Dispatcher) expectedService(kind string) clock.Millis {
	if !d.Fleet.HasSamples(kind) {
		return 0
	}
	return clock.Millis(d.Fleet.MeanServiceMS(kind))
}

func (d *Dispatcher) overRate(s Submission, c *contr.Contract, now clock.Millis) *reply.Problem {
	ok, wait := d.Limits.Take(s.Customer, len(s.Tasks), now)
	if ok {
		return nil
	}
	return &reply.Problem{Type: reply.TypeRateLimit, Line: "rate.per_second", RetryAfter: max(wait, 1),
		Detail: fmt.Sprintf("the contract allows %g tasks a second with a burst of %g", c.Rate.PerSecond, c.Rate.Burst)}
}

// CallerDisconnected tells that a caller no longer waits. Work that nobody waits for and
// that has not started leaves the line.
func (d *Dispatcher) CallerDisconnected(c CallerID, now clock.Millis) {
	d.withdrawForward(c)
	d.unpark(c)
	w := d.byCaller[c]
	if w == nil {
		return
	}
	delete(d.byCaller, c)
	w.removeCaller(c)
	if len(w.callers) > 0 || w.keepsRunning() {
		return
	}
	d.cancelled(w, now, "the caller has gone")
	d.dispatch(now)
}
