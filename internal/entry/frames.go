package entry

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// This file converts between the dispatcher's types and the messages on links and in the
// log.

func startFrame(a disp.Start, b disp.Backlog) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Start{Start: &wire.Start{
		Ask:         uint64(a.MessageID),
		Request:     a.Request,
		Customer:    a.Customer,
		Kind:        a.Kind,
		Key:         a.Key,
		Task:        int32(a.TaskIndex),
		Idempotent:  a.Idempotent,
		TimeoutMs:   int64(a.Timeout),
		CostMs:      a.CostMS,
		ContentType: a.Task.ContentType,
		Payload:     a.Task.Payload,
		Backlog:     encodeBacklog(b),
	}}}
}

func encodeBacklog(b disp.Backlog) *wire.Backlog {
	return &wire.Backlog{Waiting: int32(b.Waiting), Weight: b.Weight}
}

func cancelFrame(a disp.Cancel) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Cancel{Cancel: &wire.Cancel{Ask: uint64(a.MessageID)}}}
}

func findFrame(a disp.Find) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Find{Find: &wire.Find{
		Ask: uint64(a.MessageID), Customer: a.Customer, Key: a.Key}}}
}

func withdrawFrame(a disp.Withdraw) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Withdraw{Withdraw: &wire.Withdraw{Ask: uint64(a.MessageID)}}}
}

func submitFrame(a disp.Forward) *wire.Frame {
	s := a.Submission
	m := &wire.Submit{
		Ask:        uint64(a.MessageID),
		Request:    s.Request,
		Customer:   s.Customer,
		Kind:       s.Kind,
		Key:        s.Key.Text,
		Idempotent: s.Idempotent,
		Job:        s.Job,
		TimeoutMs:  int64(a.Timeout),
		Lookup:     s.Lookup,
		Cancel:     s.Cancel,
	}
	for _, t := range s.Tasks {
		m.Tasks = append(m.Tasks, &wire.Task{ContentType: t.ContentType, Payload: t.Payload})
	}
	return &wire.Frame{Body: &wire.Frame_Submit{Submit: m}}
}

// decodeSubmission decodes a forwarded submission. A key that can't be parsed has no
// owner, and the dispatcher rejects it.
func decodeSubmission(m *wire.Submit, c disp.CallerID, now clock.Millis) disp.Submission {
	key, err := grant.ParseKey(m.GetKey())
	if err != nil {
		key = grant.Key{Text: m.GetKey()}
	}
	s := disp.Submission{
		Caller:     c,
		Request:    m.GetRequest(),
		Customer:   m.GetCustomer(),
		Kind:       m.GetKind(),
		Key:        key,
		Idempotent: m.GetIdempotent(),
		Job:        m.GetJob(),
		Deadline:   now + clock.Millis(m.GetTimeoutMs()),
		Forwarded:  true,
		Lookup:     m.GetLookup(),
		Cancel:     m.GetCancel(),
	}
	for _, t := range m.GetTasks() {
		s.Tasks = append(s.Tasks, disp.Task{ContentType: t.GetContentType(), Payload: t.GetPayload()})
	}
	return s
}

// maxFrameAnswerBytes is the largest answer that fits in a frame with its other fields.
const maxFrameAnswerBytes = link.MaxFrameBytes - 1<<20

// fitToFrame returns the answer, or a problem if the answer is too large for a frame: a
// frame over the limit would close the link, and all other messages on it would be lost.
func fitToFrame(a reply.Answer) reply.Answer {
	if a.Size() <= maxFrameAnswerBytes {
		return a
	}
	return reply.Answer{Request: a.Request, Problem: &reply.Problem{Type: reply.TypeAnswerGone, Ran: reply.RanYes,
		Detail: "the answer is too large to pass between entries"}}
}

func answeredFrame(messageID uint64, a reply.Answer) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Answered{Answered: &wire.Answered{Ask: messageID, Answer: encodeAnswer(fitToFrame(a))}}}
}

// The states of an answer on a link.
const (
	stateComplete = "complete"
	statePending  = "pending"
	stateProblem  = "problem"
)

func encodeAnswer(a reply.Answer) *wire.Answer {
	m := &wire.Answer{Request: a.Request, State: stateComplete}
	for _, r := range a.Results {
		m.Results = append(m.Results, &wire.Result{ContentType: r.ContentType, Body: r.Body})
	}
	if a.Pending {
		m.State = statePending
	}
	if p := a.Problem; p != nil {
		m.State = stateProblem
		m.Problem = &wire.Problem{
			Type:            string(p.Type),
			Detail:          p.Detail,
			Ran:             string(p.Ran),
			Line:            p.Line,
			ContractVersion: p.Version,
			RetryAfterMs:    int64(p.RetryAfter),
		}
	}
	return m
}

func decodeAnswer(m *wire.Answer) reply.Answer {
	a := reply.Answer{Request: m.GetRequest(), Pending: m.GetState() == statePending}
	for _, r := range m.GetResults() {
		a.Results = append(a.Results, reply.Result{ContentType: r.GetContentType(), Body: r.GetBody()})
	}
	if p := m.GetProblem(); p != nil {
		a.Problem = &reply.Problem{
			Type:       reply.Type(p.GetType()),
			Detail:     p.GetDetail(),
			Ran:        reply.Ran(p.GetRan()),
			Line:       p.GetLine(),
			Version:    p.GetContractVersion(),
			RetryAfter: clock.Millis(p.GetRetryAfterMs()),
		}
	}
	return a
}

var outcomeTypes = map[wire.Outcome]disp.OutcomeType{
	wire.Outcome_OUTCOME_OK:      disp.OutcomeOK,
	wire.Outcome_OUTCOME_FAILED:  disp.OutcomeFailed,
	wire.Outcome_OUTCOME_NOT_RUN: disp.OutcomeNotRun,
	wire.Outcome_OUTCOME_MAYBE:   disp.OutcomeUnknown,
}

// decodeOutcome decodes the outcome of a task that an agent reports. An outcome type that
// this version does not know is OutcomeUnknown: the task may have run.
func decodeOutcome(m *wire.Done) disp.Outcome {
	t, known := outcomeTypes[m.GetOutcome()]
	if !known {
		t = disp.OutcomeUnknown
	}
	return disp.Outcome{
		Type:        t,
		Result:      reply.Result{ContentType: m.GetContentType(), Body: m.GetBody()},
		Detail:      m.GetDetail(),
		Unreachable: m.GetFault(),
		TimedOut:    m.GetTimedOut(),
		ServiceMS:   clock.Millis(m.GetServiceMs()),
		Load:        decodeLoad(m.GetLoad()),
		RemoteUsage: disp.Usage{
			SlotMS:  clock.Millis(m.GetOthers().GetSlotMs()),
			Starts:  m.GetOthers().GetStarts(),
			Running: int(m.GetOthers().GetRunning()),
		},
		Leaving: m.GetLeaving(),
	}
}

// decodeFound decodes the tasks that an agent found for a key.
func decodeFound(m *wire.Found) []disp.FoundTask {
	var out []disp.FoundTask
	for _, t := range m.GetTasks() {
		out = append(out, disp.FoundTask{
			TaskIndex: int(t.GetTask()),
			Complete:  t.GetComplete(),
			Result:    reply.Result{ContentType: t.GetResult().GetContentType(), Body: t.GetResult().GetBody()},
		})
	}
	return out
}

func decodeAgentState(h host.Host, m *wire.Heartbeat) disp.AgentState {
	u := m.GetUpstream()
	return disp.AgentState{
		Agent:   h,
		Name:    u.GetName(),
		Slots:   int(u.GetSlots()),
		Kinds:   u.GetKinds(),
		Leaving: u.GetLeaving() || m.GetDraining(),
		Load:    decodeLoad(m.GetLoad()),
	}
}

func decodeLoad(m *wire.Load) disp.Load {
	return disp.Load{
		Window: int(m.GetWindow()),
		Tasks:  int(m.GetRunning() + m.GetQueued()),
	}
}

// Limits of one frame of a state transfer: the maximum number of answers, and the size
// from which no further answer is added.
const (
	maxTransferBatchLen = 64
	transferBatchBytes  = 1 << 20
)

// transferBatchLen returns how many of the answers go into the next frame.
func transferBatchLen(answers []disp.TransferredAnswer) int {
	n, size := 0, 0
	for n < min(maxTransferBatchLen, len(answers)) && size < transferBatchBytes {
		size += answers[n].Answer.Size()
		n++
	}
	return n
}

// stateTransferFrames splits a state transfer into frames of limited size. The last frame is
// marked as such, and there is at least one.
func stateTransferFrames(t disp.StateTransfer) []*wire.Frame {
	var frames []*wire.Frame
	for {
		n := transferBatchLen(t.Answers)
		m := &wire.Handover{Incarnation: t.Incarnation, Last: n == len(t.Answers), FloorMs: int64(t.Floor)}
		for _, a := range t.Answers[:n] {
			m.Answers = append(m.Answers, &wire.KeptAnswer{
				Customer: a.ID.Customer, Key: a.ID.Key, Answer: encodeAnswer(fitToFrame(a.Answer))})
		}
		t.Answers = t.Answers[n:]
		frames = append(frames, &wire.Frame{Body: &wire.Frame_Handover{Handover: m}})
		if m.Last {
			return frames
		}
	}
}

func decodeStateTransfer(m *wire.Handover) disp.StateTransfer {
	t := disp.StateTransfer{Incarnation: m.GetIncarnation(), Last: m.GetLast(), Floor: clock.Millis(m.GetFloorMs())}
	for _, k := range m.GetAnswers() {
		t.Answers = append(t.Answers, disp.TransferredAnswer{
			ID:     grant.SubmissionID{Customer: k.GetCustomer(), Key: k.GetKey()},
			Answer: decodeAnswer(k.GetAnswer()),
		})
	}
	return t
}

// configFrame returns the frame that updates an agent or another entry to version. It holds
// the documents that changed since the receiver's own version.
func configFrame(version int64, changed []contr.Document) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Config{Config: contr.EncodeConfig(version, changed)}}
}

func (e *Entry) heartbeatFrame() *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
		ConfigVersion: e.config.Version,
		Backlog:       encodeBacklog(e.disp.Backlog()),
		Draining:      e.phase != phaseServing,
	}}}
}

// rosterFrame lists the entries that are up, including this one.
func (e *Entry) rosterFrame() *wire.Frame {
	m := &wire.Roster{Entries: []*wire.Hello{link.EncodeHost(e.settings.Self)}}
	for _, member := range e.disp.Roster.Up(e.clock.Now()) {
		if member.Host.Incarnation != e.settings.Self.Incarnation {
			m.Entries = append(m.Entries, link.EncodeHost(member.Host))
		}
	}
	return &wire.Frame{Body: &wire.Frame_Roster{Roster: m}}
}

// decodeClaims decodes the claims of a grant record. A wire.Interval is a claim; a
// grant.Interval, which is part of the ledger, is encoded as wire.Held.
func decodeClaims(m *wire.Grant) []grant.Claim {
	var cs []grant.Claim
	for _, in := range m.GetIntervals() {
		c := grant.Claim{From: clock.Millis(in.GetFromMs()), Until: clock.Millis(in.GetUntilMs())}
		for _, r := range in.GetRanges() {
			c.Ranges = append(c.Ranges, grant.Range(r))
		}
		cs = append(cs, c)
	}
	return cs
}

func grantRecord(self host.Host, claims []grant.Claim, leaving bool) *wire.Record {
	m := &wire.Grant{Entry: link.EncodeHost(self), Leaving: leaving}
	for _, c := range claims {
		in := &wire.Interval{FromMs: int64(c.From), UntilMs: int64(c.Until)}
		for _, r := range c.Ranges {
			in.Ranges = append(in.Ranges, uint32(r))
		}
		m.Intervals = append(m.Intervals, in)
	}
	return &wire.Record{Body: &wire.Record_Grant{Grant: m}}
}

func ledgerSnapshotRecord(s grant.Snapshot) *wire.Record {
	m := &wire.GrantSnapshot{Covers: s.Covers}
	for i := range s.Ends {
		m.EndsMs = append(m.EndsMs, int64(s.Ends[i]))
		m.KnownFromMs = append(m.KnownFromMs, int64(s.KnownFrom[i]))
	}
	for _, h := range s.Held {
		m.Held = append(m.Held, &wire.Held{
			Range:       uint32(h.Range),
			Incarnation: h.Incarnation,
			FromMs:      int64(h.From),
			UntilMs:     int64(h.Until),
		})
	}
	return &wire.Record{Body: &wire.Record_GrantSnapshot{GrantSnapshot: m}}
}

func decodeLedgerSnapshot(m *wire.GrantSnapshot) grant.Snapshot {
	s := grant.Snapshot{Covers: m.GetCovers()}
	for _, v := range m.GetEndsMs() {
		s.Ends = append(s.Ends, clock.Millis(v))
	}
	for _, v := range m.GetKnownFromMs() {
		s.KnownFrom = append(s.KnownFrom, clock.Millis(v))
	}
	for _, h := range m.GetHeld() {
		s.Held = append(s.Held, grant.HeldInterval{
			Range: grant.Range(h.GetRange()),
			Interval: grant.Interval{
				From:        clock.Millis(h.GetFromMs()),
				Until:       clock.Millis(h.GetUntilMs()),
				Incarnation: h.GetIncarnation(),
			},
		})
	}
	return s
}
