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

// OutcomeType is how an attempt ended.
type OutcomeType int

// The outcomes of an attempt.
const (
	// OutcomeOK: the upstream's whole answer is there.
	OutcomeOK OutcomeType = iota
	// OutcomeFailed: the upstream ran the task and failed.
	OutcomeFailed
	// OutcomeNotRun: the agent is certain that the task did not start.
	OutcomeNotRun
	// OutcomeUnknown: the task may have run.
	OutcomeUnknown
)

// Usage is what other entries have used at one agent for one customer, summed up
// since the agent started.
type Usage struct {
	SlotMS  clock.Millis
	Starts  int64
	Running int
}

// useKey names a figure of one agent for one customer.
type useKey struct {
	agent    string
	customer string
}

// Load is an agent's state as it tells it to one entry.
type Load struct {
	// Window is the most tasks that this entry may have there; zero leaves it.
	Window int
	// Tasks counts the tasks of all entries that run or wait there.
	Tasks int
}

// Outcome is an agent's answer to a Start.
type Outcome struct {
	Type   OutcomeType
	Result reply.Result
	// Detail says why the outcome is not OutcomeOK.
	Detail string
	// Unreachable is set with OutcomeNotRun when the upstream could not be reached.
	Unreachable bool
	// TimedOut is set with OutcomeMaybe when the call was broken off at its deadline.
	TimedOut     bool
	ServiceMS    clock.Millis
	Load         Load
	OtherEntries Usage
	// Leaving is set when the upstream takes no new work.
	Leaving bool
}

// AgentState is what an agent tells of its upstream.
type AgentState struct {
	Agent   host.Host
	Name    string
	Slots   int
	Kinds   []string
	Leaving bool
	Load    Load
}

// SetAgent puts an upstream into the fleet or updates it.
func (d *Dispatcher) SetAgent(s AgentState, now clock.Millis) {
	u := d.Fleet.Get(s.Agent.Incarnation)
	if u == nil {
		d.lost = slices.DeleteFunc(d.lost, func(l lostUpstream) bool { return l.agent == s.Agent.Incarnation })
		d.Fleet.Add(route.Upstream{
			ID:        s.Agent.Incarnation,
			Name:      s.Name,
			RoundTrip: zone.RoundTrip(d.Self.Place, s.Agent.Place),
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
	d.setLeaving(u, s)
	d.Queue.SetSlots(d.Fleet.Slots())
	d.dispatch(now)
}

// SetAgentLoad takes what an agent tells regularly.
func (d *Dispatcher) SetAgentLoad(agent string, l Load, now clock.Millis) {
	d.Fleet.SetLoad(agent, l.Window, l.Tasks)
	d.dispatch(now)
}

// setLeaving stops work for an upstream that is retired or leaves, and lets it back
// in when neither holds any more.
func (d *Dispatcher) setLeaving(u *route.Upstream, s AgentState) {
	if d.Book.Retired(contr.PrefixUpstream, u.Name) {
		d.Fleet.SetLeaving(u.ID, true, "retired by an operator")
		return
	}
	if d.Book.Retired(contr.PrefixHost, s.Agent.Name) {
		d.Fleet.SetLeaving(u.ID, true, "its host is retired by an operator")
		return
	}
	d.Fleet.SetLeaving(u.ID, s.Leaving, "the upstream is leaving")
}

// RemoveAgent takes an upstream out. What it had may have run.
func (d *Dispatcher) RemoveAgent(agent, why string, now clock.Millis) {
	if u := d.Fleet.Get(agent); u != nil && u.Health != route.HealthLeaving {
		d.lost = append(d.lost, lostUpstream{agent: agent, kinds: u.Kinds, slots: min(u.Window, u.Slots), until: now + relinkMS})
	}
	d.Fleet.Remove(agent)
	delete(d.agents, agent)
	d.Queue.SetSlots(d.Fleet.Slots())
	for key, use := range d.uses {
		if key.agent == agent {
			d.Queue.ChargeRemote(key.customer, 0, -use.Running)
			delete(d.uses, key)
		}
	}
	for _, ask := range d.attemptsAt(agent) {
		d.settle(d.attempts[ask], Outcome{Type: OutcomeUnknown, Detail: "link to the agent lost: " + why}, now)
	}
	for _, f := range d.finds {
		d.foundAt(f, agent, nil)
	}
	d.dispatch(now)
}

// relinkMS is how long a lost link may take to be replaced. Until then work for its
// upstream waits: when all links went silent at once, requests were refused in the
// moment between their end and the new ones.
const relinkMS = 2 * clock.Second

// lostUpstream is an upstream whose link has ended and may be replaced at once.
type lostUpstream struct {
	agent string
	kinds map[string]bool
	slots int
	until clock.Millis
}

// lostSlots returns the slots for a kind whose links may be replaced at once.
func (d *Dispatcher) lostSlots(kind string, now clock.Millis) int {
	n := 0
	kept := d.lost[:0]
	for _, l := range d.lost {
		if now >= l.until {
			continue
		}
		kept = append(kept, l)
		if l.kinds[kind] {
			n += l.slots
		}
	}
	d.lost = kept
	return n
}

func (d *Dispatcher) attemptsAt(agent string) []MessageID {
	var asks []MessageID
	for ask, a := range d.attempts {
		if a.agent == agent {
			asks = append(asks, ask)
		}
	}
	return asks
}

// HandleOutcome takes an agent's answer. One that comes twice or too late changes nothing.
func (d *Dispatcher) HandleOutcome(agent string, ask MessageID, o Outcome, now clock.Millis) {
	d.Counters.Messages++
	if o.Leaving {
		d.Fleet.SetLeaving(agent, true, "the upstream is leaving")
	}
	a := d.attempts[ask]
	if a == nil || a.agent != agent {
		d.Counters.Wasted++
		return
	}
	d.learnUse(agent, a.item.Flow.Customer, o.OtherEntries, now)
	d.settle(a, o, now)
	d.Fleet.SetLoad(agent, o.Load.Window, o.Load.Tasks)
	d.dispatch(now)
}

// learnUse counts what other entries used since the last answer of this agent.
func (d *Dispatcher) learnUse(agent, customer string, use Usage, now clock.Millis) {
	key := useKey{agent: agent, customer: customer}
	before, known := d.uses[key]
	d.uses[key] = use
	running := use.Running - before.Running
	if !known {
		before = use
	}
	d.Queue.ChargeRemote(customer, float64(use.SlotMS-before.SlotMS), running)
	d.Limits.TakeRemote(customer, int(use.Starts-before.Starts), now)
}

// settle counts an attempt's end and moves its work on.
func (d *Dispatcher) settle(a *attempt, o Outcome, now clock.Millis) {
	delete(d.attempts, a.ask)
	d.stopTimer(a.timer)
	w := a.work
	t := &w.tasks[a.task]
	t.dropAsk(a.ask)
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
		w.notRun++
	} else {
		d.Queue.Finish(a.item, float64(o.ServiceMS))
	}
	if w.ended || t.done {
		return
	}
	d.advance(w, a, o, now)
}

// minTimeoutFactor times the expected service is the time after which a call that is
// broken off at its deadline counts against the upstream. Without it, a flood of
// requests with short deadlines ejected the slowest upstream.
const minTimeoutFactor = 3

func (d *Dispatcher) timedOutEarly(a *attempt, o Outcome, now clock.Millis) bool {
	u := d.Fleet.Get(a.agent)
	return o.TimedOut && u != nil && float64(o.ServiceMS) < minTimeoutFactor*d.Fleet.ExpectedServiceMS(u, a.item.Flow.Kind, now)
}

func (t *taskState) dropAsk(ask MessageID) {
	for i := range t.asks {
		if t.asks[i] == ask {
			t.asks = append(t.asks[:i], t.asks[i+1:]...)
			return
		}
	}
}

// advance decides what follows from an attempt's end.
func (d *Dispatcher) advance(w *work, a *attempt, o Outcome, now clock.Millis) {
	t := &w.tasks[a.task]
	if o.Type == OutcomeOK {
		d.taskDone(w, a.task, o.Result, now)
		return
	}
	if len(t.asks) > 0 {
		return // the hedge is still running
	}
	if d.mayTryAgain(w, o, now) {
		d.tryAgain(w, a, now)
		return
	}
	d.end(w, reply.Answer{Request: w.sub.Request, Problem: d.failure(w, o, now)}, now)
}

// maxNotRun bounds how often the tasks of a submission are sent again after "not
// run": with every upstream unreachable they would otherwise go round without rest.
const maxNotRun = 8

// mayTryAgain reports whether a task may be sent again: after "not run" always,
// after a possible start only an idempotent one, within the contract's budget.
func (d *Dispatcher) mayTryAgain(w *work, o Outcome, now clock.Millis) bool {
	if now >= w.sub.Deadline {
		return false
	}
	if o.Type == OutcomeNotRun {
		return w.notRun < maxNotRun+len(w.tasks)
	}
	return w.sub.Idempotent && !w.sub.Job && d.Budgets.Spend(w.sub.Customer)
}

func (d *Dispatcher) tryAgain(w *work, a *attempt, now clock.Millis) {
	t := &w.tasks[a.task]
	if t.avoid == nil {
		t.avoid = map[string]bool{}
	}
	t.avoid[a.agent] = true
	d.Counters.Retried++
	d.Counters.Wasted += 2
	d.enqueue(w, a.task, now, true)
}

func (d *Dispatcher) failure(w *work, o Outcome, now clock.Millis) *reply.Problem {
	p := &reply.Problem{Type: reply.TypeFailed, Ran: reply.RanYes, Detail: o.Detail, Version: w.version}
	switch o.Type {
	case OutcomeUnknown:
		p.Type = reply.TypeFateUnknown
		p.Ran = reply.RanMaybe
	case OutcomeNotRun:
		p.Type = reply.TypeNoUpstream
		if now >= w.sub.Deadline {
			p.Type = reply.TypeDeadline
		}
		p.Ran = w.ran()
		p.RetryAfter = noUpstreamRetryMS
	}
	return p
}

func (d *Dispatcher) taskDone(w *work, task int, r reply.Result, now clock.Millis) {
	t := &w.tasks[task]
	t.done = true
	t.result = r
	w.left--
	d.cancelAttempts(t)
	if w.left > 0 {
		return
	}
	a := reply.Answer{Request: w.sub.Request, Results: make([]reply.Result, len(w.tasks))}
	for i := range w.tasks {
		a.Results[i] = w.tasks[i].result
	}
	d.end(w, a, now)
}
