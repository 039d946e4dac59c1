package disp

import (
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// OutcomeType says how an attempt ended.
type OutcomeType int

// The outcomes of an attempt.
const (
	// OutcomeOK: the upstream returned a complete answer.
	OutcomeOK OutcomeType = iota
	// OutcomeFailed: the upstream ran the task, and it failed.
	OutcomeFailed
	// OutcomeNotRun: the agent is certain that the task did not start.
	OutcomeNotRun
	// OutcomeUnknown: the task may have run.
	OutcomeUnknown
)

// Usage is the capacity of one agent that other entries have used for one customer.
// SlotMS and Starts are totals since the agent started.
type Usage struct {
	SlotMS clock.Millis
	Starts int64
	// Running is the number of tasks that are running now.
	Running int
}

// usageKey identifies the Usage of one customer at one agent.
type usageKey struct {
	agent    string
	customer string
}

// Load is an agent's load as it reports it to one entry.
type Load struct {
	// Window is the maximum number of this entry's tasks at the agent; zero leaves
	// the previous window in force.
	Window int
	// Tasks is the number of running and queued tasks of all entries at the agent.
	Tasks int
}

// Outcome is an agent's response to a Start.
type Outcome struct {
	Type   OutcomeType
	Result reply.Result
	// Detail is the reason when Type is not OutcomeOK.
	Detail string
	// Unreachable is set with OutcomeNotRun if the upstream could not be reached.
	Unreachable bool
	// TimedOut is set with OutcomeUnknown if the call was aborted at its deadline.
	TimedOut  bool
	ServiceMS clock.Millis
	Load      Load
	// RemoteUsage is what other entries have used for the task's customer.
	RemoteUsage Usage
	// Leaving is set when the upstream accepts no new work.
	Leaving bool
}

// AgentState is an agent's report on its upstream.
type AgentState struct {
	Agent   host.Host
	Name    string
	Slots   int
	Kinds   []string
	Leaving bool
	Load    Load
}

// SetAgent adds the agent's upstream to the fleet or updates it.
func (d *Dispatcher) SetAgent(s AgentState, now clock.Millis) {
	u := d.Fleet.Get(s.Agent.Incarnation)
	if u == nil {
		d.lostUpstreams = slices.DeleteFunc(d.lostUpstreams, func(l lostUpstream) bool { return l.agent == s.Agent.Incarnation })
		d.Fleet.Add(route.Upstream{
			ID:        s.Agent.Incarnation,
			Name:      s.Name,
			RoundTrip: zone.RoundTrip(d.Self.Location, s.Agent.Location),
		})
		u = d.Fleet.Get(s.Agent.Incarnation)
	}
	u.Name = s.Name
	u.Slots = s.Slots
	u.Kinds = map[string]bool{}
	for _, k := range s.Kinds {
		u.Kinds[k] = true
	}
	d.Fleet.SetLoad(u.ID, s.Load.Window, s.Load.Tasks)
	d.agents[u.ID] = s
	d.updateLeaving(u, s)
	d.Queue.SetSlots(d.Fleet.Slots())
	d.dispatch(now)
}

// SetAgentLoad applies the load that an agent reports with each heartbeat.
func (d *Dispatcher) SetAgentLoad(agent string, l Load, now clock.Millis) {
	d.Fleet.SetLoad(agent, l.Window, l.Tasks)
	d.dispatch(now)
}

// updateLeaving stops dispatching to an upstream that is leaving, was retired by an operator or
// is in a drained zone, and resumes once none of these applies.
func (d *Dispatcher) updateLeaving(u *route.Upstream, s AgentState) {
	if d.Config.Retired(contr.PrefixUpstream, u.Name) {
		d.Fleet.SetLeaving(u.ID, true, "retired by an operator")
		return
	}
	if d.Config.Retired(contr.PrefixHost, s.Agent.Name) {
		d.Fleet.SetLeaving(u.ID, true, "its host is retired by an operator")
		return
	}
	if d.Config.Drains.Contains(s.Agent.Location.Zone) {
		d.Fleet.SetLeaving(u.ID, true, "its zone is drained by an operator")
		return
	}
	d.Fleet.SetLeaving(u.ID, s.Leaving, "the upstream is leaving")
}

// RemoveAgent removes the agent's upstream from the fleet. The outcome of its
// outstanding attempts is unknown.
func (d *Dispatcher) RemoveAgent(agent, reason string, now clock.Millis) {
	if u := d.Fleet.Get(agent); u != nil && u.Health != route.HealthLeaving {
		d.lostUpstreams = append(d.lostUpstreams, lostUpstream{agent: agent, kinds: u.Kinds, slots: min(u.Window, u.Slots), until: now + reconnectGraceMS})
	}
	d.Fleet.Remove(agent)
	delete(d.agents, agent)
	d.Queue.SetSlots(d.Fleet.Slots())
	for key, usage := range d.remoteUsage {
		if key.agent == agent {
			d.Queue.ChargeRemote(key.customer, 0, -usage.Running)
			delete(d.remoteUsage, key)
		}
	}
	for _, id := range d.attemptsAt(agent) {
		d.finishAttempt(d.attempts[id], Outcome{Type: OutcomeUnknown, Detail: "link to the agent lost: " + reason}, now)
	}
	for _, rs := range d.searches {
		d.addSearchResults(rs, agent, nil)
	}
	d.dispatch(now)
}

// reconnectGraceMS is how long requests wait for the agent of a lost link to reconnect.
// Without it, requests were rejected when all links went silent at once, until the new
// links were up.
const reconnectGraceMS = 2 * clock.Second

// lostUpstream is an upstream whose link was lost and whose agent may reconnect soon.
type lostUpstream struct {
	agent string
	kinds map[string]bool
	// slots is the number of slots that this entry could use there.
	slots int
	// until is the time at which requests stop waiting for the agent.
	until clock.Millis
}

// reconnectingSlots returns the number of slots for a kind at lost upstreams whose
// agents may still reconnect.
func (d *Dispatcher) reconnectingSlots(kind string, now clock.Millis) int {
	n := 0
	kept := d.lostUpstreams[:0]
	for _, l := range d.lostUpstreams {
		if now >= l.until {
			continue
		}
		kept = append(kept, l)
		if l.kinds[kind] {
			n += l.slots
		}
	}
	d.lostUpstreams = kept
	return n
}

func (d *Dispatcher) attemptsAt(agent string) []MessageID {
	var ids []MessageID
	for id, a := range d.attempts {
		if a.agent == agent {
			ids = append(ids, id)
		}
	}
	return ids
}

// HandleOutcome handles an agent's response to a Start. A duplicate response, or one
// for an attempt that has already ended, does not affect any submission.
func (d *Dispatcher) HandleOutcome(agent string, id MessageID, o Outcome, now clock.Millis) {
	d.Counters.Messages++
	// An upstream that is leaving already keeps its reason, which may be a drain.
	if u := d.Fleet.Get(agent); o.Leaving && u != nil && u.Health != route.HealthLeaving {
		d.Fleet.SetLeaving(agent, true, "the upstream is leaving")
	}
	a := d.attempts[id]
	if a == nil || a.agent != agent {
		d.Counters.Wasted++
		return
	}
	d.recordRemoteUsage(agent, a.item.Flow.Customer, o.RemoteUsage, now)
	d.finishAttempt(a, o, now)
	d.Fleet.SetLoad(agent, o.Load.Window, o.Load.Tasks)
	d.dispatch(now)
}

// recordRemoteUsage charges the customer for what other entries have used at the agent since
// its previous response. What they used before the first response is not charged.
func (d *Dispatcher) recordRemoteUsage(agent, customer string, usage Usage, now clock.Millis) {
	key := usageKey{agent: agent, customer: customer}
	previous, known := d.remoteUsage[key]
	d.remoteUsage[key] = usage
	running := usage.Running - previous.Running
	if !known {
		previous = usage
	}
	d.Queue.ChargeRemote(customer, float64(usage.SlotMS-previous.SlotMS), running)
	d.RateLimits.TakeRemote(customer, int(usage.Starts-previous.Starts), now)
}

// finishAttempt records the end of an attempt and advances its execution.
func (d *Dispatcher) finishAttempt(a *attempt, o Outcome, now clock.Millis) {
	delete(d.attempts, a.id)
	d.stopTimer(a.timer)
	ex := a.execution
	t := &ex.tasks[a.taskIndex]
	t.removeAttempt(a.id)
	d.Fleet.RecordFinish(a.agent, route.Outcome{
		Kind:         a.item.Flow.Kind,
		Failed:       o.Type == OutcomeFailed || o.Type == OutcomeUnknown || o.Unreachable,
		NotRun:       o.Type == OutcomeNotRun,
		Inconclusive: o.Type != OutcomeOK && (a.cancelled || d.timedOutEarly(a, o, now)),
		ServiceMS:    float64(max(1, o.ServiceMS)),
		Reason:       o.Detail,
	}, now)
	if o.Type == OutcomeNotRun {
		d.Queue.Release(a.item)
		ex.notRun++
	} else {
		d.Queue.Finish(a.item, float64(o.ServiceMS))
	}
	if ex.ended || t.done {
		return
	}
	d.handleAttemptEnd(ex, a, o, now)
}

// minTimeoutFactor is the multiple of the expected service time that a call must have
// lasted for its timeout to count as a failure of the upstream. Without it, a flood of
// requests with short deadlines ejected the slowest upstream.
const minTimeoutFactor = 3

// timedOutEarly reports whether the call timed out before minTimeoutFactor times the
// expected service time.
func (d *Dispatcher) timedOutEarly(a *attempt, o Outcome, now clock.Millis) bool {
	u := d.Fleet.Get(a.agent)
	return o.TimedOut && u != nil && float64(o.ServiceMS) < minTimeoutFactor*d.Fleet.ExpectedServiceMS(u, a.item.Flow.Kind, now)
}

func (t *taskState) removeAttempt(id MessageID) {
	for i := range t.attempts {
		if t.attempts[i] == id {
			t.attempts = append(t.attempts[:i], t.attempts[i+1:]...)
			return
		}
	}
}

// handleAttemptEnd completes the task, retries it, or fails the submission.
func (d *Dispatcher) handleAttemptEnd(ex *execution, a *attempt, o Outcome, now clock.Millis) {
	t := &ex.tasks[a.taskIndex]
	if o.Type == OutcomeOK {
		d.completeTask(ex, a.taskIndex, o.Result, now)
		return
	}
	if len(t.attempts) > 0 {
		return // another attempt of the task is still running
	}
	if d.mayRetry(ex, o, now) {
		d.retryTask(ex, a, now)
		return
	}
	d.finishExecution(ex, reply.Answer{Request: ex.submission.Request, Problem: d.failureProblem(ex, o, now)}, now)
}

// maxNotRunRetries limits the retries of a submission's tasks after OutcomeNotRun, in
// addition to one for each task. Without a limit, tasks would be retried in a tight loop
// while every upstream is unreachable.
const maxNotRunRetries = 8

// mayRetry reports whether a task may be retried before its deadline. After
// OutcomeNotRun any task may be, up to the limit; a task that may have started is retried
// only if it is idempotent, is not part of a job and fits the contract's retry budget.
func (d *Dispatcher) mayRetry(ex *execution, o Outcome, now clock.Millis) bool {
	if now >= ex.submission.Deadline {
		return false
	}
	if o.Type == OutcomeNotRun {
		return ex.notRun < maxNotRunRetries+len(ex.tasks) && !d.servedOnlyInDrainedZones(ex.submission.Kind, now)
	}
	return ex.submission.Idempotent && !ex.submission.Job && d.RetryBudgets.Spend(ex.submission.Customer)
}

// retryTask queues a task again, to be sent if possible to an agent at which no attempt of it
// has failed.
func (d *Dispatcher) retryTask(ex *execution, a *attempt, now clock.Millis) {
	t := &ex.tasks[a.taskIndex]
	if t.avoid == nil {
		t.avoid = map[string]bool{}
	}
	t.avoid[a.agent] = true
	d.Counters.Retried++
	d.Counters.Wasted += 2 // the retry's request and response
	d.enqueue(ex, a.taskIndex, now, true)
}

// failureProblem returns the problem with which an execution ends after outcome o.
func (d *Dispatcher) failureProblem(ex *execution, o Outcome, now clock.Millis) *reply.Problem {
	p := &reply.Problem{Type: reply.TypeFailed, Ran: reply.RanYes, Detail: o.Detail, Version: ex.contractVersion}
	switch o.Type {
	case OutcomeUnknown:
		p.Type = reply.TypeFateUnknown
		p.Ran = reply.RanMaybe
	case OutcomeNotRun:
		p.Type = reply.TypeNoUpstream
		if now >= ex.submission.Deadline {
			p.Type = reply.TypeDeadline
		}
		p.Ran = ex.ran()
		p.RetryAfter = noUpstreamRetryMS
	}
	return p
}

// completeTask stores the result of a task and cancels its other attempts. With the last task
// it ends the execution.
func (d *Dispatcher) completeTask(ex *execution, taskIndex int, r reply.Result, now clock.Millis) {
	t := &ex.tasks[taskIndex]
	t.done = true
	t.result = r
	ex.remaining--
	d.cancelAttempts(t)
	if ex.remaining > 0 {
		return
	}
	a := reply.Answer{Request: ex.submission.Request, Results: make([]reply.Result, len(ex.tasks))}
	for i := range ex.tasks {
		a.Results[i] = ex.tasks[i].result
	}
	d.finishExecution(ex, a, now)
}
