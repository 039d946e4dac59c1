package disp

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// forward is a submission that another entry handles.
type forward struct {
	ask   MessageID
	entry string
	sub   Submission
	timer *timer
}

// find is a key that agents are asked for, since its entry is gone.
type find struct {
	ask MessageID
	sub Submission
	// waiting holds the agents that have not answered.
	waiting map[string]bool
	results map[int]reply.Result
	timer   *timer
}

// FoundTask is a task of a key that an agent remembers.
type FoundTask struct {
	Task     int
	Complete bool
	Result   reply.Result
}

// TransferredAnswer is one key's final answer, handed over by a draining entry.
type TransferredAnswer struct {
	ID     grant.SubmissionID
	Answer reply.Answer
}

// keptAnswers is what one incarnation handed over.
type keptAnswers struct {
	answers map[grant.SubmissionID]reply.Answer
	// complete is true once all arrived: then a key that is not here never started.
	complete bool
	// floor is the key time before which the incarnation may have forgotten keys.
	floor clock.Millis
	at    clock.Millis
}

// StateTransfer is what a draining entry passes to its successors.
type StateTransfer struct {
	Incarnation string
	Answers     []TransferredAnswer
	// Last is set on the last part.
	Last  bool
	Floor clock.Millis
}

const (
	// forwardGraceMS lets the owner's own answer at the deadline arrive first.
	forwardGraceMS clock.Millis = 50
	// findMS is how long agents have to answer.
	findMS clock.Millis = 500
)

// HandleEntryHeartbeat counts a sign of life of another entry.
func (d *Dispatcher) HandleEntryHeartbeat(h host.Host, now clock.Millis) {
	d.Roster.Observe(h, now)
}

// SetEntryLinked tells that a link to another entry is up or down.
func (d *Dispatcher) SetEntryLinked(h host.Host, up bool, now clock.Millis) {
	d.Roster.SetLinked(h, up, now)
	if !up {
		d.forwardsLost(h.Incarnation, now)
	}
}

// SetEntryLeaving tells that another entry drains.
func (d *Dispatcher) SetEntryLeaving(incarnation string) {
	d.Roster.SetLeaving(incarnation)
}

func (d *Dispatcher) forwardsLost(entry string, now clock.Millis) {
	for ask, f := range d.forwards {
		if f.entry != entry {
			continue
		}
		delete(d.forwards, ask)
		d.stopTimer(f.timer)
		d.submitOrphan(f.sub, entry, now)
	}
	d.dispatch(now)
}

// HandleAnswer takes the owner's answer to a forwarded submission.
func (d *Dispatcher) HandleAnswer(ask MessageID, a reply.Answer) {
	d.Counters.Messages++
	f := d.forwards[ask]
	if f == nil {
		return
	}
	delete(d.forwards, ask)
	d.stopTimer(f.timer)
	d.answer(f.sub.Caller, a)
}

func (d *Dispatcher) forwardTimedOut(ask MessageID) {
	f := d.forwards[ask]
	if f == nil {
		return
	}
	delete(d.forwards, ask)
	d.answer(f.sub.Caller, reply.Answer{Request: f.sub.Request, Problem: &reply.Problem{
		Type: reply.TypeFateUnknown, Ran: reply.RanMaybe,
		Detail: "the entry that holds the key has not answered in time"}})
}

func (d *Dispatcher) withdrawForward(c CallerID) {
	for ask, f := range d.forwards {
		if f.sub.Caller == c {
			delete(d.forwards, ask)
			d.stopTimer(f.timer)
			d.emit(Withdraw{Entry: f.entry, MessageID: ask})
			return
		}
	}
}

// submitOrphan handles a key whose incarnation can't be reached: nobody else may
// ever start it, but its answer may be known.
func (d *Dispatcher) submitOrphan(s Submission, owner string, now clock.Millis) {
	id := grant.SubmissionID{Customer: s.Customer, Key: s.Key.Text}
	kept := d.kept[owner]
	if kept != nil {
		if a, ok := kept.answers[id]; ok {
			d.answer(s.Caller, a)
			return
		}
	}
	if kept != nil && kept.complete && s.Key.Time >= kept.floor {
		d.refuse(s, now, reply.Problem{Type: reply.TypeNoGrant, Ran: reply.RanNo,
			Detail: "the entry that held the key has left without starting it; use a new key"})
		return
	}
	if s.Idempotent && !s.Job && !s.Lookup && !s.Cancel {
		d.admit(s, false, now)
		d.dispatch(now)
		return
	}
	d.askAgents(s, now)
}

// askAgents looks for the results of a key with all agents.
func (d *Dispatcher) askAgents(s Submission, now clock.Millis) {
	f := &find{ask: d.ask(), sub: s, waiting: map[string]bool{}, results: map[int]reply.Result{}}
	var agents []string
	for _, u := range d.Fleet.All() {
		agents = append(agents, u.ID)
		f.waiting[u.ID] = true
	}
	if len(agents) == 0 || len(s.Tasks) == 0 {
		d.endFind(f)
		return
	}
	f.timer = d.setTimer(&timer{kind: timerFind, ask: f.ask}, min(s.Deadline, now+findMS))
	d.finds[f.ask] = f
	d.Counters.Messages += uint64(len(agents))
	d.emit(Find{Agents: agents, MessageID: f.ask, Customer: s.Customer, Key: s.Key.Text})
}

// HandleFound takes an agent's answer to a Find.
func (d *Dispatcher) HandleFound(agent string, ask MessageID, tasks []FoundTask) {
	if f := d.finds[ask]; f != nil {
		d.foundAt(f, agent, tasks)
	}
}

func (d *Dispatcher) foundAt(f *find, agent string, tasks []FoundTask) {
	if !f.waiting[agent] {
		return
	}
	delete(f.waiting, agent)
	for _, t := range tasks {
		if t.Complete {
			f.results[t.Task] = t.Result
		}
	}
	if len(f.waiting) == 0 || len(f.results) == len(f.sub.Tasks) {
		d.endFind(f)
	}
}

func (d *Dispatcher) findTimedOut(ask MessageID) {
	if f := d.finds[ask]; f != nil {
		d.endFind(f)
	}
}

// endFind answers with the whole answer if every task's result was found.
func (d *Dispatcher) endFind(f *find) {
	delete(d.finds, f.ask)
	d.stopTimer(f.timer)
	a := reply.Answer{Request: f.sub.Request}
	for i := range f.sub.Tasks {
		if r, ok := f.results[i]; ok {
			a.Results = append(a.Results, r)
		}
	}
	if len(f.sub.Tasks) == 0 || len(a.Results) < len(f.sub.Tasks) {
		a = reply.Answer{Request: f.sub.Request, Problem: &reply.Problem{
			Type: reply.TypeFateUnknown, Ran: reply.RanMaybe,
			Detail: "the entry that held the key is gone, and its answer is not known"}}
	}
	d.answer(f.sub.Caller, a)
}

// HandleStateTransfer takes answers that a draining entry hands over.
func (d *Dispatcher) HandleStateTransfer(h StateTransfer, now clock.Millis) {
	k := d.kept[h.Incarnation]
	if k == nil {
		k = &keptAnswers{answers: map[grant.SubmissionID]reply.Answer{}}
		d.kept[h.Incarnation] = k
	}
	k.at = now
	k.floor = max(k.floor, h.Floor)
	k.complete = k.complete || h.Last
	for _, a := range h.Answers {
		k.answers[a.ID] = a.Answer
	}
}

// forgetKept drops handed-over answers once their keys have left the window.
func (d *Dispatcher) forgetKept(now clock.Millis) {
	for inc, k := range d.kept {
		if now-k.at > d.Keys.Window {
			delete(d.kept, inc)
		}
	}
}

// StateTransfer returns every key that this incarnation has ended. It must be called
// only when Idle and Draining.
func (d *Dispatcher) StateTransfer() StateTransfer {
	h := StateTransfer{Incarnation: d.Self.Incarnation, Last: true, Floor: d.Table.Floor}
	d.Table.Each(func(e *grant.KeyRecord) bool {
		a := e.Answer
		if e.State != grant.StateFinished {
			a = reply.Answer{Problem: &reply.Problem{Type: reply.TypeAnswerGone, Ran: reply.RanYes,
				Detail: "the request ended, but its answer is no longer kept"}}
		}
		h.Answers = append(h.Answers, TransferredAnswer{ID: e.ID, Answer: a})
		return true
	})
	return h
}
