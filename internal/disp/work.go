package disp

import (
	"fmt"

	"github.com/turmericbarrow/turmericbarrow/internal/audit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
)

// work is a submission in progress.
type work struct {
	id      uint64
	sub     Submission
	keyed   bool
	version int64
	arrived clock.Millis
	callers []CallerID
	tasks   []taskState
	// left counts tasks without a result.
	left int
	// sent counts attempts, notRun those that came back as not run; notRun is never
	// above sent.
	sent      int
	notRun    int
	ended     bool
	timer     *timer
	firstSeq  uint64
	lastSeq   uint64
	lastStart clock.Millis
	upstreams []string
}

// taskState is one task of a work.
type taskState struct {
	item   *fair.Item
	asks   []MessageID
	avoid  map[string]bool
	result reply.Result
	done   bool
}

// itemRef finds the task of a queued item.
type itemRef struct {
	work *work
	task int
}

// attempt is one task on its way to, or at, an agent.
type attempt struct {
	ask   MessageID
	work  *work
	task  int
	agent string
	item  fair.Item
	timer *timer
	// cancelled attempts tell nothing of the upstream's health.
	cancelled bool
}

// maxRememberedUpstreams bounds what explain keeps of one submission.
const maxRememberedUpstreams = 8

func (d *Dispatcher) newWork(s Submission, c *contr.Contract, keyed bool, now clock.Millis) *work {
	d.nextWork++
	w := &work{
		id:       d.nextWork,
		sub:      s,
		keyed:    keyed,
		version:  d.Book.DocumentVersion(contr.PrefixContract + c.Customer),
		arrived:  now,
		callers:  []CallerID{s.Caller},
		tasks:    make([]taskState, len(s.Tasks)),
		left:     len(s.Tasks),
		firstSeq: d.Audit.NextSeq,
		lastSeq:  d.Audit.NextSeq,
	}
	w.timer = d.setTimer(&timer{kind: timerDeadline, work: w}, s.Deadline)
	d.works[w.id] = w
	d.byCaller[s.Caller] = w
	return w
}

func (w *work) keyID() grant.SubmissionID {
	return grant.SubmissionID{Customer: w.sub.Customer, Key: w.sub.Key.Text}
}

func (w *work) removeCaller(c CallerID) {
	for i := range w.callers {
		if w.callers[i] == c {
			w.callers = append(w.callers[:i], w.callers[i+1:]...)
			return
		}
	}
}

// keepsRunning reports whether w goes on without a caller: a keyed submission that
// may have started does, since its caller can come back for the answer.
func (w *work) keepsRunning() bool {
	return w.keyed && w.ran() != reply.RanNo
}

// ran tells truthfully whether anything of w has run.
func (w *work) ran() reply.Ran {
	for i := range w.tasks {
		if w.tasks[i].done {
			return reply.RanYes
		}
	}
	if w.sent > w.notRun {
		return reply.RanMaybe
	}
	return reply.RanNo
}

func (d *Dispatcher) enqueue(w *work, task int, now clock.Millis, front bool) {
	d.nextItem++
	it := fair.Item{
		ID:        d.nextItem,
		Flow:      fair.Flow{Customer: w.sub.Customer, Kind: w.sub.Kind},
		Cost:      d.Fleet.MeanServiceMS(w.sub.Kind),
		ArrivedAt: now,
	}
	if w.sub.Job {
		it.Group = w.id
	}
	w.tasks[task].item = &it
	d.items[it.ID] = itemRef{work: w, task: task}
	d.waiting[w.sub.Kind]++
	if front {
		d.Queue.PushFront(it, now)
		return
	}
	d.Fleet.RecordArrival(w.sub.Kind, now)
	d.Queue.Push(it, now)
}

func (d *Dispatcher) unqueued(it fair.Item) {
	delete(d.items, it.ID)
	d.waiting[it.Flow.Kind]--
	if d.waiting[it.Flow.Kind] == 0 {
		delete(d.waiting, it.Flow.Kind)
	}
}

// dispatch sends tasks to agents until no waiting kind can be placed.
func (d *Dispatcher) dispatch(now clock.Millis) {
	for d.Queue.Len() > 0 {
		open := d.openKinds(now)
		if len(open) == 0 {
			return
		}
		pick, ok := d.Queue.Next(now, func(kind string) bool { return open[kind] != nil })
		if !ok {
			return
		}
		ref := d.items[pick.Item.ID]
		d.unqueued(pick.Item)
		u := open[pick.Item.Flow.Kind]
		if avoid := ref.work.tasks[ref.task].avoid; avoid[u.ID] {
			u = d.elsewhere(pick.Item, u, avoid, now)
		}
		if d.tooLateToStart(ref.work, u, now) {
			d.Queue.Release(pick.Item)
			ref.work.tasks[ref.task].item = nil
			d.expired(ref.work, now)
			continue
		}
		d.start(ref, pick, u, now)
	}
}

// tooLateToStart reports whether a task is not expected to end by its deadline.
// Starting it would take a slot for an answer that nobody waits for, and turn a
// clear "not run" into a "maybe": in a flood of assignments 924 of 2,150 ended so.
func (d *Dispatcher) tooLateToStart(w *work, u *route.Upstream, now clock.Millis) bool {
	if !d.Fleet.HasSamples(w.sub.Kind) {
		return false
	}
	return now+clock.Millis(d.Fleet.ExpectedServiceMS(u, w.sub.Kind, now)) > w.sub.Deadline
}

// expired ends a work of which a task can no longer be started in time.
func (d *Dispatcher) expired(w *work, now clock.Millis) {
	p := d.deadlineProblem(w, now)
	p.Detail = "the deadline can no longer be met"
	d.end(w, reply.Answer{Request: w.sub.Request, Problem: &p}, now)
}

// openKinds returns the waiting kinds that can be placed now, and where.
func (d *Dispatcher) openKinds(now clock.Millis) map[string]*route.Upstream {
	open := make(map[string]*route.Upstream, len(d.waiting))
	for kind := range d.waiting {
		if u := d.Chooser.Choose(kind, d.Queue.Len(), now, nil); u != nil {
			open[kind] = u
		}
	}
	return open
}

func (d *Dispatcher) elsewhere(it fair.Item, u *route.Upstream, avoid map[string]bool, now clock.Millis) *route.Upstream {
	if other := d.Chooser.Choose(it.Flow.Kind, d.Queue.Len(), now, avoid); other != nil {
		return other
	}
	return u
}

func (d *Dispatcher) start(ref itemRef, pick fair.Pick, u *route.Upstream, now clock.Millis) {
	w := ref.work
	w.tasks[ref.task].item = nil
	d.Audit.AddDispatch(audit.Dispatch{
		At:       now,
		Customer: w.sub.Customer,
		Kind:     w.sub.Kind,
		Rule:     string(pick.Rule),
		Version:  w.version,
	})
	w.lastSeq = d.Audit.NextSeq - 1
	w.lastStart = now
	d.send(w, ref.task, pick.Item, u, now)
}

// send makes one attempt of a task at an upstream.
func (d *Dispatcher) send(w *work, task int, it fair.Item, u *route.Upstream, now clock.Millis) {
	a := &attempt{ask: d.ask(), work: w, task: task, agent: u.ID, item: it}
	d.attempts[a.ask] = a
	w.tasks[task].asks = append(w.tasks[task].asks, a.ask)
	w.sent++
	if len(w.upstreams) < maxRememberedUpstreams {
		w.upstreams = append(w.upstreams, u.Name)
	}
	d.Fleet.RecordStart(u.ID)
	d.Counters.Started++
	d.Counters.Messages++
	d.planHedge(a, u, now)
	d.emit(Start{
		Agent:      u.ID,
		MessageID:  a.ask,
		Request:    w.sub.Request,
		Customer:   w.sub.Customer,
		Kind:       w.sub.Kind,
		Key:        w.agentKey(),
		TaskIndex:  task,
		Task:       w.sub.Tasks[task],
		Idempotent: w.sub.Idempotent && !w.sub.Job,
		Timeout:    max(1, w.sub.Deadline-now),
		CostMS:     it.Cost,
	})
}

// agentKey is the key that agents remember a submission by. One without a key, or
// whose key this entry does not own, is known by its request id.
func (w *work) agentKey() string {
	if w.keyed {
		return w.sub.Key.Text
	}
	return w.sub.Request
}

// hedgeFactor times the expected service is when an attempt counts as a straggler.
const hedgeFactor = 3

func (d *Dispatcher) planHedge(a *attempt, u *route.Upstream, now clock.Millis) {
	s := a.work.sub
	c := d.Book.Contracts[s.Customer]
	if !s.Idempotent || s.Job || c == nil || c.Kind(s.Kind) == nil || !c.Kind(s.Kind).Hedge {
		return
	}
	wait := hedgeFactor*d.Fleet.ExpectedServiceMS(u, s.Kind, now) + float64(u.RoundTrip)
	a.timer = d.setTimer(&timer{kind: timerHedge, ask: a.ask}, now+clock.Millis(wait)+1)
}

// hedge tries a straggler's task a second time elsewhere, if the budget allows.
func (d *Dispatcher) hedge(ask MessageID, now clock.Millis) {
	a := d.attempts[ask]
	if a == nil || a.work.ended || len(a.work.tasks[a.task].asks) > 1 {
		return
	}
	u := d.Chooser.Choose(a.work.sub.Kind, 0, now, map[string]bool{a.agent: true})
	if u == nil || u.ID == a.agent || !d.Budgets.Spend(a.work.sub.Customer) {
		return
	}
	d.Counters.Hedged++
	d.Counters.Wasted += 2
	it := a.item
	it.Cost = d.Fleet.MeanServiceMS(it.Flow.Kind)
	d.Queue.AddRunning(it)
	d.send(a.work, a.task, it, u, now)
}

// deadline ends a work whose time is over.
func (d *Dispatcher) deadline(w *work, now clock.Millis) {
	w.timer = nil
	p := d.deadlineProblem(w, now)
	if w.keyed && !w.sub.Job && p.Ran == reply.RanMaybe {
		d.answerLate(w, p, now)
		return
	}
	d.end(w, reply.Answer{Request: w.sub.Request, Problem: &p}, now)
}

func (d *Dispatcher) deadlineProblem(w *work, now clock.Millis) reply.Problem {
	p := reply.Problem{Type: reply.TypeDeadline, Ran: w.ran(), Version: w.version,
		Detail: "the deadline passed"}
	if p.Ran == reply.RanNo {
		p.RetryAfter = max(1, d.expectedWait(w.sub, now))
		p.Line = "share"
	}
	return p
}

// answerLate answers the callers of a keyed request and keeps waiting for its
// attempt, so that a resubmission gets the true end.
func (d *Dispatcher) answerLate(w *work, p reply.Problem, now clock.Millis) {
	p.Type = reply.TypeFateUnknown
	p.Detail = "the deadline passed while the upstream had the request"
	d.remember(w, &p, now)
	for _, c := range w.callers {
		d.answer(c, reply.Answer{Request: w.sub.Request, Problem: &p})
	}
	w.callers = nil
}

// cancelled ends a work before its answer.
func (d *Dispatcher) cancelled(w *work, now clock.Millis, why string) {
	p := reply.Problem{Type: reply.TypeCancelled, Ran: w.ran(), Detail: why}
	d.end(w, reply.Answer{Request: w.sub.Request, Problem: &p}, now)
}

// end gives a work its one final answer and withdraws what is left of it.
func (d *Dispatcher) end(w *work, a reply.Answer, now clock.Millis) {
	if w.ended {
		return
	}
	w.ended = true
	d.stopTimer(w.timer)
	d.withdrawTasks(w)
	delete(d.works, w.id)
	if w.keyed {
		d.endKey(w, a)
	}
	d.remember(w, a.Problem, now)
	for _, c := range w.callers {
		d.answer(c, a)
	}
}

func (d *Dispatcher) withdrawTasks(w *work) {
	for i := range w.tasks {
		t := &w.tasks[i]
		if t.item != nil {
			d.Queue.Remove(*t.item)
			d.unqueued(*t.item)
			t.item = nil
		}
		d.cancelAttempts(t)
	}
}

func (d *Dispatcher) cancelAttempts(t *taskState) {
	for _, ask := range t.asks {
		a := d.attempts[ask]
		if a.cancelled {
			continue
		}
		a.cancelled = true
		d.emit(Cancel{Agent: a.agent, MessageID: ask})
		d.Counters.Wasted++
	}
}

func (d *Dispatcher) remember(w *work, p *reply.Problem, now clock.Millis) {
	waited := w.lastStart - w.arrived
	if w.lastStart == 0 {
		waited = now - w.arrived
		w.lastSeq = d.Audit.NextSeq
	}
	if p == nil && waited < d.ExplainWaitMS {
		return
	}
	r := audited(w.sub, now, p, w.lastSeq)
	r.ArrivedAt = w.arrived
	r.FirstSeq = w.firstSeq
	r.WaitedMS = waited
	r.Upstreams = w.upstreams
	r.PassedOver = d.passedOver(w.sub.Kind)
	d.Audit.AddRecord(r)
}

func audited(s Submission, now clock.Millis, p *reply.Problem, seq uint64) audit.Record {
	return audit.Record{
		Request:   s.Request,
		Customer:  s.Customer,
		Kind:      s.Kind,
		Key:       s.Key.Text,
		ArrivedAt: now,
		EndedAt:   now,
		Problem:   p,
		FirstSeq:  seq,
		LastSeq:   seq,
	}
}

func (d *Dispatcher) passedOver(kind string) []string {
	var out []string
	for _, u := range d.Fleet.All() {
		if len(out) == maxRememberedUpstreams {
			break
		}
		if u.Kinds[kind] && u.Health != route.HealthGood {
			out = append(out, fmt.Sprintf("%s: %s (%s)", u.Name, u.Health, u.Reason))
		}
	}
	return out
}
