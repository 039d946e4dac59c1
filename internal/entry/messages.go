package entry

import (
	"github.com/turmericbarrow/turmericbarrow/internal/audit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// message is something that the entry's task does for another task.
type message interface{ apply(e *Entry) }

// submit is a caller's submission, before its customer is known.
type submit struct {
	tokenHash string
	request   string
	kind      string
	key       grant.Key
	// notIdempotent marks a single request of an idempotent kind.
	notIdempotent bool
	job           bool
	lookup        bool
	cancel        bool
	// timeout is zero for the contract's deadline.
	timeout clock.Millis
	tasks   []disp.Task
	answer  chan<- reply.Answer
}

// gone tells that the handler of an answer has ended.
type gone struct {
	answer chan<- reply.Answer
}

// ticketQuery asks for fresh tickets.
type ticketQuery struct {
	tokenHash string
	count     int
	tickets   chan<- []string
}

// amend asks to put an amendment on the log.
type amend struct {
	amendment contr.Amendment
	verdict   chan<- amended
}

// amended is the end of an amendment.
type amended struct {
	verdict contr.Verdict
	// err leaves it unknown whether the amendment was accepted.
	err error
}

// explainQuery asks for explanations: of one request, or of a customer's latest.
type explainQuery struct {
	request  string
	customer string
	since    clock.Millis
	found    chan<- []audit.Explanation
}

// stateQuery asks for the dump.
type stateQuery struct {
	state chan<- State
}

// configQuery asks for the configuration.
type configQuery struct {
	config chan<- Config
}

// Config is the configuration in force and its history.
type Config struct {
	Version   int64            `json:"version"`
	Documents []contr.Document `json:"documents"`
	History   []contr.Verdict  `json:"history"`
}

func (m submit) apply(e *Entry) {
	now := e.clock.Now()
	caller := e.newCaller(destination{handler: m.answer})
	s, p := e.submission(m, caller, now)
	if p != nil {
		e.replyTo(disp.Reply{Caller: caller, Answer: reply.Answer{Request: m.request, Problem: p}})
		return
	}
	e.disp.Submit(s, now)
}

// submission fills in what the contract says.
func (e *Entry) submission(m submit, caller disp.CallerID, now clock.Millis) (disp.Submission, *reply.Problem) {
	customer, ok := e.config.CustomerByTokenHash(m.tokenHash)
	if !ok {
		return disp.Submission{}, &reply.Problem{Type: reply.TypeBadToken, Ran: reply.RanNo, Detail: "no contract has this token"}
	}
	s := disp.Submission{
		Caller:   caller,
		Request:  m.request,
		Customer: customer,
		Kind:     m.kind,
		Key:      m.key,
		Job:      m.job,
		Lookup:   m.lookup,
		Cancel:   m.cancel,
		Tasks:    m.tasks,
		Deadline: now + lookupTimeoutMS,
	}
	if m.lookup || m.cancel {
		return s, nil
	}
	k := e.config.Contracts[customer].Kind(m.kind)
	if k == nil {
		return s, &reply.Problem{Type: reply.TypeUnknownKind, Ran: reply.RanNo, Detail: "the contract has no kind " + m.kind}
	}
	s.Idempotent = k.Idempotent && !m.notIdempotent
	s.Deadline = now + k.Deadline()
	if m.timeout > 0 {
		s.Deadline = min(s.Deadline, now+m.timeout)
	}
	return s, nil
}

// lookupTimeoutMS bounds a look-up or cancellation that goes to another entry.
const lookupTimeoutMS clock.Millis = 2000

func (m gone) apply(e *Entry) {
	c, ok := e.byHandler[m.answer]
	if !ok {
		return
	}
	delete(e.byHandler, m.answer)
	delete(e.waiting, c)
	e.disp.CallerDisconnected(c, e.clock.Now())
}

func (m ticketQuery) apply(e *Entry) {
	if _, ok := e.config.CustomerByTokenHash(m.tokenHash); !ok || e.phase != phaseServing {
		m.tickets <- nil
		return
	}
	ts := make([]string, m.count)
	for i := range ts {
		ts[i] = e.disp.NewTicket(e.clock.Now())
	}
	m.tickets <- ts
}

func (m explainQuery) apply(e *Entry) {
	if m.request == "" {
		m.found <- e.disp.Audit.ExplainSince(m.customer, m.since, maxExplained)
		return
	}
	var out []audit.Explanation
	if x, ok := e.disp.Audit.Explain(m.request); ok {
		out = append(out, x)
	}
	m.found <- out
}

// maxExplained bounds one answer of explain.
const maxExplained = 100

func (m configQuery) apply(e *Entry) {
	m.config <- Config{
		Version:   e.config.Version,
		Documents: e.config.SortedDocuments(),
		History:   append([]contr.Verdict(nil), e.config.Verdicts...),
	}
}

func (m stateQuery) apply(e *Entry) {
	m.state <- e.state()
}

// pendingAmendment waits to be read back from the log.
type pendingAmendment struct {
	verdict chan<- amended
	until   clock.Millis
}

func (m amend) apply(e *Entry) {
	r := &wire.Record{Body: &wire.Record_Amendment{Amendment: &wire.Amendment{
		Id:      m.amendment.ID,
		Author:  m.amendment.Author,
		Base:    m.amendment.Base,
		Name:    m.amendment.Name,
		Text:    m.amendment.Text,
		Deleted: m.amendment.Deleted,
	}}}
	if !offer(e.platform.configJobs, r) {
		m.verdict <- amended{err: errBusy}
		return
	}
	e.amendments[m.amendment.ID] = &pendingAmendment{
		verdict: m.verdict, until: e.clock.Now() + amendmentWaitMS}
}

// verdict answers the operator whose amendment was read back.
func (e *Entry) verdict(v contr.Verdict) {
	p := e.amendments[v.Amendment.ID]
	if p == nil {
		return
	}
	delete(e.amendments, v.Amendment.ID)
	p.verdict <- amended{verdict: v}
}

// judged answers the operator whose amendment a peer told of before it was read back.
// One whose outcome is hidden by a later one stays until it expires as unconfirmed.
func (e *Entry) judged(offset int64, a contr.Amendment) {
	if v, known := e.config.KnownVerdict(offset, a); known {
		e.verdict(v)
	}
}

func (e *Entry) expireAmendments(now clock.Millis) {
	for id, p := range e.amendments {
		if now >= p.until {
			delete(e.amendments, id)
			p.verdict <- amended{err: errUnconfirmed}
		}
	}
}
