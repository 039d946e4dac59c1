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

// message is a request from another goroutine that the entry's main goroutine executes.
type message interface{ apply(e *Entry) }

// submit is a caller's submission before authentication: the customer is not yet known.
type submit struct {
	tokenHash string
	request   string
	kind      string
	key       grant.Key
	// notIdempotent is set by a caller whose request is not idempotent although its kind
	// is.
	notIdempotent bool
	// job distinguishes a job from a single request. lookup and cancel refer to the job of
	// key and start nothing.
	job    bool
	lookup bool
	cancel bool
	// timeout is zero if only the contract's deadline applies.
	timeout clock.Millis
	tasks   []disp.Task
	answer  chan<- reply.Answer
}

// callerDisconnected reports that the caller that waited for an answer has disconnected.
type callerDisconnected struct {
	answer chan<- reply.Answer
}

// ticketQuery requests new tickets. The response is nil if the token is unknown or the
// entry is shutting down.
type ticketQuery struct {
	tokenHash string
	count     int
	tickets   chan<- []string
}

// proposeAmendment requests that an amendment be appended to the log.
type proposeAmendment struct {
	amendment contr.Amendment
	result    chan<- amendmentResult
}

// amendmentResult is the verdict on an amendment, or the reason why there is none.
type amendmentResult struct {
	verdict contr.Verdict
	// err is set if there is no verdict. With errUnconfirmed, the amendment may still have
	// been accepted.
	err error
}

// explainQuery requests the explanation of one request, or those of a customer's latest
// requests if request is empty.
type explainQuery struct {
	request  string
	customer string
	// since excludes a customer's requests that ended before it. It does not apply to the
	// explanation of one request.
	since        clock.Millis
	explanations chan<- []audit.Explanation
}

// stateQuery requests the dump of the entry's state.
type stateQuery struct {
	state chan<- State
}

// configQuery requests the configuration in force and its history.
type configQuery struct {
	config chan<- ConfigResponse
}

// ConfigResponse is the response body of the operators' call GET /v1/config: the
// configuration in force and the latest verdicts on amendments.
type ConfigResponse struct {
	Version   int64            `json:"version"`
	Documents []contr.Document `json:"documents"`
	History   []contr.Verdict  `json:"history"`
}

func (m submit) apply(e *Entry) {
	now := e.clock.Now()
	caller := e.addCaller(destination{answer: m.answer})
	s, p := e.newSubmission(m, caller, now)
	if p != nil {
		e.sendReply(disp.Reply{Caller: caller, Answer: reply.Answer{Request: m.request, Problem: p}})
		return
	}
	e.disp.Submit(s, now)
}

// newSubmission authenticates the caller and fills in the deadline and idempotency from
// the contract.
func (e *Entry) newSubmission(m submit, caller disp.CallerID, now clock.Millis) (disp.Submission, *reply.Problem) {
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

// lookupTimeoutMS is the deadline of a lookup or cancellation, which may be forwarded to
// another entry.
const lookupTimeoutMS clock.Millis = 2000

func (m callerDisconnected) apply(e *Entry) {
	c, ok := e.callerByAnswer[m.answer]
	if !ok {
		return
	}
	delete(e.callerByAnswer, m.answer)
	delete(e.destinations, c)
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
		m.explanations <- e.disp.Audit.ExplainSince(m.customer, m.since, maxExplanations)
		return
	}
	var out []audit.Explanation
	if x, ok := e.disp.Audit.Explain(m.request); ok {
		out = append(out, x)
	}
	m.explanations <- out
}

// maxExplanations is the maximum number of explanations in one response.
const maxExplanations = 100

func (m configQuery) apply(e *Entry) {
	m.config <- ConfigResponse{
		Version:   e.config.Version,
		Documents: e.config.SortedDocuments(),
		History:   append([]contr.Verdict(nil), e.config.Verdicts...),
	}
}

func (m stateQuery) apply(e *Entry) {
	m.state <- e.state()
}

// pendingAmendment is an amendment that was sent to the log and has not been read back
// yet.
type pendingAmendment struct {
	result    chan<- amendmentResult
	expiresAt clock.Millis
}

func (m proposeAmendment) apply(e *Entry) {
	r := &wire.Record{Body: &wire.Record_Amendment{Amendment: &wire.Amendment{
		Id:      m.amendment.ID,
		Author:  m.amendment.Author,
		Base:    m.amendment.Base,
		Name:    m.amendment.Name,
		Text:    m.amendment.Text,
		Deleted: m.amendment.Deleted,
	}}}
	if !enqueueAppend(e.platformLog.configAppends, r) {
		m.result <- amendmentResult{err: errTooManyAmendments}
		return
	}
	e.amendments[m.amendment.ID] = &pendingAmendment{
		result: m.result, expiresAt: e.clock.Now() + amendmentTimeoutMS}
}

// deliverVerdict sends the verdict to the operator who waits for it, if any.
func (e *Entry) deliverVerdict(v contr.Verdict) {
	p := e.amendments[v.Amendment.ID]
	if p == nil {
		return
	}
	delete(e.amendments, v.Amendment.ID)
	p.result <- amendmentResult{verdict: v}
}

// deliverKnownVerdict sends the verdict on an amendment that this entry had already
// received from another entry or in a snapshot before it read the amendment back. If a later
// amendment of the document hides the verdict, the operator waits until the amendment
// expires with errUnconfirmed.
func (e *Entry) deliverKnownVerdict(offset int64, a contr.Amendment) {
	if v, known := e.config.KnownVerdict(offset, a); known {
		e.deliverVerdict(v)
	}
}

func (e *Entry) expireAmendments(now clock.Millis) {
	for id, p := range e.amendments {
		if now >= p.expiresAt {
			delete(e.amendments, id)
			p.result <- amendmentResult{err: errUnconfirmed}
		}
	}
}
