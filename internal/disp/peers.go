package disp

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// forward is a submission that was forwarded to another entry.
type forward struct {
	id         MessageID
	entry      string
	submission Submission
	timer      *timer
}

// resultSearch is a search at all agents for the results of a key whose entry cannot be
// reached.
type resultSearch struct {
	id         MessageID
	submission Submission
	// pending holds the agents that have not responded.
	pending map[string]bool
	// results holds the results found, by task index.
	results map[int]reply.Result
	timer   *timer
}

// FoundTask is a task that an agent started for a key. Result is set if it is Complete.
type FoundTask struct {
	TaskIndex int
	Complete  bool
	Result    reply.Result
}

// TransferredAnswer is the final answer of one key in a StateTransfer.
type TransferredAnswer struct {
	ID     grant.SubmissionID
	Answer reply.Answer
}

// transferredAnswers holds the answers received from one draining incarnation.
type transferredAnswers struct {
	answers map[grant.SubmissionID]reply.Answer
	// complete is true once all answers have arrived. A key whose time is not before floor
	// and that is not in answers has then never been started.
	complete bool
	// floor is the key time before which the incarnation may have forgotten keys.
	floor clock.Millis
	// receivedAt is when the last part arrived.
	receivedAt clock.Millis
}

// StateTransfer holds the answers that a draining entry transfers to other entries.
type StateTransfer struct {
	Incarnation string
	Answers     []TransferredAnswer
	// Last is set on the last part.
	Last bool
	// Floor is the key time before which the incarnation may have forgotten keys.
	Floor clock.Millis
}

const (
	// forwardGraceMS is how long after its deadline a forwarded submission still waits, so
	// that the owner's own answer at the deadline arrives first.
	forwardGraceMS clock.Millis = 50
	// searchTimeoutMS is the time that agents have to respond to a Find.
	searchTimeoutMS clock.Millis = 500
)

// HandleEntryHeartbeat records a heartbeat of another entry.
func (d *Dispatcher) HandleEntryHeartbeat(h host.Host, now clock.Millis) {
	d.Roster.Observe(h, now)
}

// SetEntryLinked records whether the link to another entry is up. When it goes down, the
// submissions forwarded over it are handled by this entry.
func (d *Dispatcher) SetEntryLinked(h host.Host, up bool, now clock.Millis) {
	d.Roster.SetLinked(h, up, now)
	if !up {
		d.recoverForwards(h.Incarnation, now)
	}
}

// SetEntryLeaving records that another entry is draining.
func (d *Dispatcher) SetEntryLeaving(incarnation string) {
	d.Roster.SetLeaving(incarnation)
}

// recoverForwards handles the submissions that were forwarded to an entry whose link was
// lost.
func (d *Dispatcher) recoverForwards(entry string, now clock.Millis) {
	for id, f := range d.forwards {
		if f.entry != entry {
			continue
		}
		delete(d.forwards, id)
		d.stopTimer(f.timer)
		d.submitUnreachable(f.submission, entry, now)
	}
	d.dispatch(now)
}

// HandleAnswer handles the owner's answer to a forwarded submission.
func (d *Dispatcher) HandleAnswer(id MessageID, a reply.Answer) {
	d.Counters.Messages++
	f := d.forwards[id]
	if f == nil {
		return
	}
	delete(d.forwards, id)
	d.stopTimer(f.timer)
	d.answer(f.submission.Caller, a)
}

func (d *Dispatcher) forwardTimedOut(id MessageID) {
	f := d.forwards[id]
	if f == nil {
		return
	}
	delete(d.forwards, id)
	d.answer(f.submission.Caller, reply.Answer{Request: f.submission.Request, Problem: &reply.Problem{
		Type: reply.TypeFateUnknown, Ran: reply.RanMaybe,
		Detail: "the entry that holds the key has not answered in time"}})
}

// withdrawForward drops the forwarded submission of a caller that has disconnected, if there
// is one, and notifies the entry to which it was sent.
func (d *Dispatcher) withdrawForward(c CallerID) {
	for id, f := range d.forwards {
		if f.submission.Caller == c {
			delete(d.forwards, id)
			d.stopTimer(f.timer)
			d.emit(Withdraw{Entry: f.entry, MessageID: id})
			return
		}
	}
}

// submitUnreachable handles a submission whose key is held by an incarnation that cannot
// be reached. No other entry may start the key, but its answer may have been transferred
// or be stored at the agents. An idempotent request runs at this entry without its key.
func (d *Dispatcher) submitUnreachable(s Submission, owner string, now clock.Millis) {
	id := grant.SubmissionID{Customer: s.Customer, Key: s.Key.Text}
	transferred := d.transferred[owner]
	if transferred != nil {
		if a, ok := transferred.answers[id]; ok {
			d.answer(s.Caller, a)
			return
		}
	}
	if transferred != nil && transferred.complete && s.Key.Time >= transferred.floor {
		d.reject(s, now, reply.Problem{Type: reply.TypeNoGrant, Ran: reply.RanNo,
			Detail: "the entry that held the key has left without starting it; use a new key"})
		return
	}
	if s.Idempotent && !s.Job && !s.Lookup && !s.Cancel {
		d.admit(s, false, now)
		d.dispatch(now)
		return
	}
	d.searchAgents(s, now)
}

// searchAgents requests the results of a key from all agents.
func (d *Dispatcher) searchAgents(s Submission, now clock.Millis) {
	rs := &resultSearch{id: d.nextMessageID(), submission: s, pending: map[string]bool{}, results: map[int]reply.Result{}}
	var agents []string
	for _, u := range d.Fleet.All() {
		agents = append(agents, u.ID)
		rs.pending[u.ID] = true
	}
	if len(agents) == 0 || len(s.Tasks) == 0 {
		d.finishSearch(rs)
		return
	}
	rs.timer = d.setTimer(&timer{kind: timerSearch, messageID: rs.id}, min(s.Deadline, now+searchTimeoutMS))
	d.searches[rs.id] = rs
	d.Counters.Messages += uint64(len(agents))
	d.emit(Find{Agents: agents, MessageID: rs.id, Customer: s.Customer, Key: s.Key.Text})
}

// HandleFound handles an agent's response to a Find.
func (d *Dispatcher) HandleFound(agent string, id MessageID, tasks []FoundTask) {
	if rs := d.searches[id]; rs != nil {
		d.addSearchResults(rs, agent, tasks)
	}
}

// addSearchResults adds the tasks that an agent found, which are none if its link was lost. It
// ends the search once all agents have responded or all results are found.
func (d *Dispatcher) addSearchResults(rs *resultSearch, agent string, tasks []FoundTask) {
	if !rs.pending[agent] {
		return
	}
	delete(rs.pending, agent)
	for _, t := range tasks {
		if t.Complete {
			rs.results[t.TaskIndex] = t.Result
		}
	}
	if len(rs.pending) == 0 || len(rs.results) == len(rs.submission.Tasks) {
		d.finishSearch(rs)
	}
}

func (d *Dispatcher) searchTimedOut(id MessageID) {
	if rs := d.searches[id]; rs != nil {
		d.finishSearch(rs)
	}
}

// finishSearch answers with the results if those of all tasks were found, and with
// TypeFateUnknown otherwise.
func (d *Dispatcher) finishSearch(rs *resultSearch) {
	delete(d.searches, rs.id)
	d.stopTimer(rs.timer)
	a := reply.Answer{Request: rs.submission.Request}
	for i := range rs.submission.Tasks {
		if r, ok := rs.results[i]; ok {
			a.Results = append(a.Results, r)
		}
	}
	if len(rs.submission.Tasks) == 0 || len(a.Results) < len(rs.submission.Tasks) {
		a = reply.Answer{Request: rs.submission.Request, Problem: &reply.Problem{
			Type: reply.TypeFateUnknown, Ran: reply.RanMaybe,
			Detail: "the entry that held the key is gone, and its answer is not known"}}
	}
	d.answer(rs.submission.Caller, a)
}

// HandleStateTransfer stores the answers in one part of a draining entry's state transfer.
func (d *Dispatcher) HandleStateTransfer(t StateTransfer, now clock.Millis) {
	ta := d.transferred[t.Incarnation]
	if ta == nil {
		ta = &transferredAnswers{answers: map[grant.SubmissionID]reply.Answer{}}
		d.transferred[t.Incarnation] = ta
	}
	ta.receivedAt = now
	ta.floor = max(ta.floor, t.Floor)
	ta.complete = ta.complete || t.Last
	for _, a := range t.Answers {
		ta.answers[a.ID] = a.Answer
	}
}

// expireTransferred removes the answers of an incarnation one key window after the last
// part arrived, when all of its keys have left the window.
func (d *Dispatcher) expireTransferred(now clock.Millis) {
	for incarnation, ta := range d.transferred {
		if now-ta.receivedAt > d.KeyLimits.Window {
			delete(d.transferred, incarnation)
		}
	}
}

// StateTransfer returns the answers of all keys that this incarnation has finished. It
// must be called only when Idle and Draining.
func (d *Dispatcher) StateTransfer() StateTransfer {
	t := StateTransfer{Incarnation: d.Self.Incarnation, Last: true, Floor: d.KeyTable.Floor}
	d.KeyTable.Each(func(rec *grant.KeyRecord) bool {
		a := rec.Answer
		if rec.State != grant.StateFinished {
			a = reply.Answer{Problem: &reply.Problem{Type: reply.TypeAnswerGone, Ran: reply.RanYes,
				Detail: "the request ended, but its answer is no longer kept"}}
		}
		t.Answers = append(t.Answers, TransferredAnswer{ID: rec.ID, Answer: a})
		return true
	})
	return t
}
