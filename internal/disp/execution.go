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

// execution is the state of an admitted submission until its final answer.
type execution struct {
	id         uint64
	submission Submission
	// keyed is true if this entry owns the submission's key.
	keyed           bool
	contractVersion int64
	arrivedAt       clock.Millis
	callers         []CallerID
	tasks           []taskState
	// remaining is the number of tasks without a result.
	remaining int
	// sent is the number of attempts sent to agents, and notRun the number of those that
	// ended with OutcomeNotRun; notRun <= sent.
	sent   int
	notRun int
	ended  bool
	timer  *timer
	// [firstSeq, lastSeq) is the range of dispatches in the audit log that happened while
	// the submission waited.
	firstSeq uint64
	lastSeq  uint64
	// lastStartedAt is zero until the first attempt.
	lastStartedAt clock.Millis
	// upstreams holds the names of the first maxRecordedUpstreams upstreams used.
	upstreams []string
}

// taskState is the state of one task of an execution.
type taskState struct {
	// item is nil while the task is not queued.
	item *fair.Item
	// attempts are the attempts that have not ended.
	attempts []MessageID
	// avoid holds the agents at which an attempt has failed.
	avoid  map[string]bool
	result reply.Result
	done   bool
}

// taskRef identifies one task of an execution.
type taskRef struct {
	execution *execution
	taskIndex int
}

// attempt is one attempt of a task, sent to an agent that has not yet reported its
// outcome.
type attempt struct {
	id        MessageID
	execution *execution
	taskIndex int
	agent     string
	item      fair.Item
	timer     *timer
	// cancelled attempts that do not succeed have no effect on the upstream's health.
	cancelled bool
}

// maxRecordedUpstreams limits the lists of upstreams in an audit record.
const maxRecordedUpstreams = 8

func (d *Dispatcher) newExecution(s Submission, c *contr.Contract, keyed bool, now clock.Millis) *execution {
	d.lastExecutionID++
	ex := &execution{
		id:              d.lastExecutionID,
		submission:      s,
		keyed:           keyed,
		contractVersion: d.Config.DocumentVersion(contr.PrefixContract + c.Customer),
		arrivedAt:       now,
		callers:         []CallerID{s.Caller},
		tasks:           make([]taskState, len(s.Tasks)),
		remaining:       len(s.Tasks),
		firstSeq:        d.Audit.NextSeq,
		lastSeq:         d.Audit.NextSeq,
	}
	ex.timer = d.setTimer(&timer{kind: timerDeadline, execution: ex}, s.Deadline)
	d.executions[ex.id] = ex
	d.byCaller[s.Caller] = ex
	return ex
}

func (ex *execution) keyID() grant.SubmissionID {
	return grant.SubmissionID{Customer: ex.submission.Customer, Key: ex.submission.Key.Text}
}

func (ex *execution) removeCaller(c CallerID) {
	for i := range ex.callers {
		if ex.callers[i] == c {
			ex.callers = append(ex.callers[:i], ex.callers[i+1:]...)
			return
		}
	}
}

// continuesWithoutCaller reports whether ex continues after its last caller has
// disconnected. A keyed submission that may have started does, since the caller can
// resubmit it to receive the answer.
func (ex *execution) continuesWithoutCaller() bool {
	return ex.keyed && ex.ran() != reply.RanNo
}

// ran reports whether any task of ex has started.
func (ex *execution) ran() reply.Ran {
	for i := range ex.tasks {
		if ex.tasks[i].done {
			return reply.RanYes
		}
	}
	if ex.sent > ex.notRun {
		return reply.RanMaybe
	}
	return reply.RanNo
}

// enqueue queues a task. If front is set, the task is a retry: it goes to the front of its
// group and does not count as an arrival.
func (d *Dispatcher) enqueue(ex *execution, taskIndex int, now clock.Millis, front bool) {
	d.lastItemID++
	it := fair.Item{
		ID:        d.lastItemID,
		Flow:      fair.Flow{Customer: ex.submission.Customer, Kind: ex.submission.Kind},
		Cost:      d.Fleet.MeanServiceMS(ex.submission.Kind),
		ArrivedAt: now,
	}
	if ex.submission.Job {
		it.Group = ex.id
	}
	ex.tasks[taskIndex].item = &it
	d.queuedTasks[it.ID] = taskRef{execution: ex, taskIndex: taskIndex}
	d.queuedByKind[ex.submission.Kind]++
	if front {
		d.Queue.PushFront(it, now)
		return
	}
	d.Fleet.RecordArrival(ex.submission.Kind, now)
	d.Queue.Push(it, now)
}

// untrackItem removes an item that is no longer queued from queuedTasks and queuedByKind.
func (d *Dispatcher) untrackItem(it fair.Item) {
	delete(d.queuedTasks, it.ID)
	d.queuedByKind[it.Flow.Kind]--
	if d.queuedByKind[it.Flow.Kind] == 0 {
		delete(d.queuedByKind, it.Flow.Kind)
	}
}

// dispatch starts queued tasks until no upstream can take any of them.
func (d *Dispatcher) dispatch(now clock.Millis) {
	for d.Queue.Len() > 0 {
		placeable := d.placeableKinds(now)
		if len(placeable) == 0 {
			return
		}
		pick, ok := d.Queue.Next(now, func(kind string) bool { return placeable[kind] != nil })
		if !ok {
			return
		}
		ref := d.queuedTasks[pick.Item.ID]
		d.untrackItem(pick.Item)
		u := placeable[pick.Item.Flow.Kind]
		if avoid := ref.execution.tasks[ref.taskIndex].avoid; avoid[u.ID] {
			u = d.chooseOther(pick.Item, u, avoid, now)
		}
		if d.tooLateToStart(ref.execution, u, now) {
			d.Queue.Release(pick.Item)
			ref.execution.tasks[ref.taskIndex].item = nil
			d.expireExecution(ref.execution, now)
			continue
		}
		d.startTask(ref, pick, u, now)
	}
}

// tooLateToStart reports whether a task is not expected to end by its deadline.
// Starting it would use a slot for an answer that arrives too late, and report RanMaybe
// instead of RanNo. Without this check, 924 of 2,150 requests in a flood of assignments
// ended with RanMaybe.
func (d *Dispatcher) tooLateToStart(ex *execution, u *route.Upstream, now clock.Millis) bool {
	if !d.Fleet.HasSamples(ex.submission.Kind) {
		return false
	}
	return now+clock.Millis(d.Fleet.ExpectedServiceMS(u, ex.submission.Kind, now)) > ex.submission.Deadline
}

// expireExecution ends an execution with a task that can no longer meet the deadline.
func (d *Dispatcher) expireExecution(ex *execution, now clock.Millis) {
	p := d.deadlineProblem(ex, now)
	p.Detail = "the deadline can no longer be met"
	d.finishExecution(ex, reply.Answer{Request: ex.submission.Request, Problem: &p}, now)
}

// placeableKinds returns the kinds with queued tasks that an upstream can take now,
// each with its upstream.
func (d *Dispatcher) placeableKinds(now clock.Millis) map[string]*route.Upstream {
	placeable := make(map[string]*route.Upstream, len(d.queuedByKind))
	for kind := range d.queuedByKind {
		if u := d.Chooser.Choose(kind, d.Queue.Len(), now, nil); u != nil {
			placeable[kind] = u
		}
	}
	return placeable
}

// chooseOther chooses an upstream again, if possible one that is not in avoid. If none can
// take the task now, it returns u.
func (d *Dispatcher) chooseOther(it fair.Item, u *route.Upstream, avoid map[string]bool, now clock.Millis) *route.Upstream {
	if other := d.Chooser.Choose(it.Flow.Kind, d.Queue.Len(), now, avoid); other != nil {
		return other
	}
	return u
}

func (d *Dispatcher) startTask(ref taskRef, pick fair.Pick, u *route.Upstream, now clock.Millis) {
	ex := ref.execution
	ex.tasks[ref.taskIndex].item = nil
	d.Audit.AddDispatch(audit.Dispatch{
		At:       now,
		Customer: ex.submission.Customer,
		Kind:     ex.submission.Kind,
		Rule:     string(pick.Rule),
		Version:  ex.contractVersion,
	})
	ex.lastSeq = d.Audit.NextSeq - 1
	ex.lastStartedAt = now
	d.startAttempt(ex, ref.taskIndex, pick.Item, u, now)
}

// startAttempt sends a task to an upstream.
func (d *Dispatcher) startAttempt(ex *execution, taskIndex int, it fair.Item, u *route.Upstream, now clock.Millis) {
	a := &attempt{id: d.nextMessageID(), execution: ex, taskIndex: taskIndex, agent: u.ID, item: it}
	d.attempts[a.id] = a
	ex.tasks[taskIndex].attempts = append(ex.tasks[taskIndex].attempts, a.id)
	ex.sent++
	if len(ex.upstreams) < maxRecordedUpstreams {
		ex.upstreams = append(ex.upstreams, u.Name)
	}
	d.Fleet.RecordStart(u.ID)
	d.Counters.Started++
	d.Counters.Messages++
	d.scheduleHedge(a, u, now)
	d.emit(Start{
		Agent:      u.ID,
		MessageID:  a.id,
		Request:    ex.submission.Request,
		Customer:   ex.submission.Customer,
		Kind:       ex.submission.Kind,
		Key:        ex.agentKey(),
		TaskIndex:  taskIndex,
		Task:       ex.submission.Tasks[taskIndex],
		Idempotent: ex.submission.Idempotent && !ex.submission.Job,
		Timeout:    max(1, ex.submission.Deadline-now),
		CostMS:     it.Cost,
	})
}

// agentKey returns the key under which agents store the results of ex. It is the request
// id if the submission has no key or this entry does not own the key.
func (ex *execution) agentKey() string {
	if ex.keyed {
		return ex.submission.Key.Text
	}
	return ex.submission.Request
}

// hedgeFactor is the multiple of the expected service time after which an attempt is
// hedged.
const hedgeFactor = 3

// scheduleHedge sets the timer at which attempt a is hedged, if the contract allows hedging and
// the task may run twice.
func (d *Dispatcher) scheduleHedge(a *attempt, u *route.Upstream, now clock.Millis) {
	s := a.execution.submission
	c := d.Config.Contracts[s.Customer]
	if !s.Idempotent || s.Job || c == nil || c.Kind(s.Kind) == nil || !c.Kind(s.Kind).Hedge {
		return
	}
	wait := hedgeFactor*d.Fleet.ExpectedServiceMS(u, s.Kind, now) + float64(u.RoundTrip)
	a.timer = d.setTimer(&timer{kind: timerHedge, messageID: a.id}, now+clock.Millis(wait)+1)
}

// hedge starts a second attempt of a slow task at another upstream, if the retry budget
// allows it.
func (d *Dispatcher) hedge(id MessageID, now clock.Millis) {
	a := d.attempts[id]
	if a == nil || a.execution.ended || len(a.execution.tasks[a.taskIndex].attempts) > 1 {
		return
	}
	u := d.Chooser.Choose(a.execution.submission.Kind, 0, now, map[string]bool{a.agent: true})
	if u == nil || u.ID == a.agent || !d.RetryBudgets.Spend(a.execution.submission.Customer) {
		return
	}
	d.Counters.Hedged++
	d.Counters.Wasted += 2 // the hedge's request and response
	it := a.item
	it.Cost = d.Fleet.MeanServiceMS(it.Flow.Kind)
	d.Queue.AddRunning(it)
	d.startAttempt(a.execution, a.taskIndex, it, u, now)
}

// deadlinePassed answers the callers of an execution at its deadline. It also ends the
// execution, unless it is a keyed request that may have run.
func (d *Dispatcher) deadlinePassed(ex *execution, now clock.Millis) {
	ex.timer = nil
	p := d.deadlineProblem(ex, now)
	if ex.keyed && !ex.submission.Job && p.Ran == reply.RanMaybe {
		d.answerAtDeadline(ex, p, now)
		return
	}
	d.finishExecution(ex, reply.Answer{Request: ex.submission.Request, Problem: &p}, now)
}

func (d *Dispatcher) deadlineProblem(ex *execution, now clock.Millis) reply.Problem {
	p := reply.Problem{Type: reply.TypeDeadline, Ran: ex.ran(), Version: ex.contractVersion,
		Detail: "the deadline passed"}
	if p.Ran == reply.RanNo {
		p.RetryAfter = max(1, d.expectedWait(ex.submission, now))
		p.Line = "share"
	}
	return p
}

// answerAtDeadline answers the callers of a keyed request and keeps waiting for its
// attempt, so that a resubmission receives the actual outcome.
func (d *Dispatcher) answerAtDeadline(ex *execution, p reply.Problem, now clock.Millis) {
	p.Type = reply.TypeFateUnknown
	p.Detail = "the deadline passed while the upstream had the request"
	d.recordAudit(ex, &p, now)
	for _, c := range ex.callers {
		d.answer(c, reply.Answer{Request: ex.submission.Request, Problem: &p})
	}
	ex.callers = nil
}

// cancelExecution ends an execution with a TypeCancelled problem.
func (d *Dispatcher) cancelExecution(ex *execution, now clock.Millis, reason string) {
	p := reply.Problem{Type: reply.TypeCancelled, Ran: ex.ran(), Detail: reason}
	d.finishExecution(ex, reply.Answer{Request: ex.submission.Request, Problem: &p}, now)
}

// finishExecution sends the single final answer of an execution and cancels its remaining
// tasks. It does nothing if the execution has already ended.
func (d *Dispatcher) finishExecution(ex *execution, a reply.Answer, now clock.Millis) {
	if ex.ended {
		return
	}
	ex.ended = true
	d.stopTimer(ex.timer)
	d.cancelTasks(ex)
	delete(d.executions, ex.id)
	if ex.keyed {
		d.finishKey(ex, a)
	}
	d.recordAudit(ex, a.Problem, now)
	for _, c := range ex.callers {
		d.answer(c, a)
	}
}

func (d *Dispatcher) cancelTasks(ex *execution) {
	for i := range ex.tasks {
		t := &ex.tasks[i]
		if t.item != nil {
			d.Queue.Remove(*t.item)
			d.untrackItem(*t.item)
			t.item = nil
		}
		d.cancelAttempts(t)
	}
}

func (d *Dispatcher) cancelAttempts(t *taskState) {
	for _, id := range t.attempts {
		a := d.attempts[id]
		if a.cancelled {
			continue
		}
		a.cancelled = true
		d.emit(Cancel{Agent: a.agent, MessageID: id})
		d.Counters.Wasted++
	}
}

// recordAudit adds an execution to the audit log if it ended with a problem or waited for
// at least ExplainWaitMS.
func (d *Dispatcher) recordAudit(ex *execution, p *reply.Problem, now clock.Millis) {
	waited := ex.lastStartedAt - ex.arrivedAt
	if ex.lastStartedAt == 0 {
		waited = now - ex.arrivedAt
		ex.lastSeq = d.Audit.NextSeq
	}
	if p == nil && waited < d.ExplainWaitMS {
		return
	}
	r := newAuditRecord(ex.submission, now, p, ex.lastSeq)
	r.ArrivedAt = ex.arrivedAt
	r.FirstSeq = ex.firstSeq
	r.WaitedMS = waited
	r.Upstreams = ex.upstreams
	r.PassedOver = d.unhealthyUpstreams(ex.submission.Kind)
	d.Audit.AddRecord(r)
}

// newAuditRecord returns the record of a submission that is answered now and was not
// admitted: it arrives now, and its range of dispatches is empty and ends at lastSeq. For
// an admitted submission, recordAudit replaces ArrivedAt and FirstSeq.
func newAuditRecord(s Submission, now clock.Millis, p *reply.Problem, lastSeq uint64) audit.Record {
	return audit.Record{
		Request:   s.Request,
		Customer:  s.Customer,
		Kind:      s.Kind,
		Key:       s.Key.Text,
		ArrivedAt: now,
		EndedAt:   now,
		Problem:   p,
		FirstSeq:  lastSeq,
		LastSeq:   lastSeq,
	}
}

// unhealthyUpstreams describes upstreams that serve the kind but are not healthy.
func (d *Dispatcher) unhealthyUpstreams(kind string) []string {
	var out []string
	for _, u := range d.Fleet.All() {
		if len(out) == maxRecordedUpstreams {
			break
		}
		if u.Kinds[kind] && u.Health != route.HealthGood {
			out = append(out, fmt.Sprintf("%s: %s (%s)", u.Name, u.Health, u.Reason))
		}
	}
	return out
}
