package disp_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/internal/audit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/limit"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/retry"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
)

// A fixed seed makes rapid generate the same cases on every run.
func init() { flag.Set("rapid.seed", "1") }

const contractText = `customer: c
tokens: ["0000000000000000000000000000000000000000000000000000000000000000"]
share: 1
rate: {per_second: 1000, burst: 100}
queue: 50
retry_percent: 10
kinds:
  - {name: check, idempotent: true, share: 1, deadline_ms: 1000}
  - {name: assign, idempotent: false, share: 1, deadline_ms: 1000}
`

var agentHost = host.Host{Name: "minion-1", Incarnation: "agent1", Role: host.RoleAgent}

// harness wraps a dispatcher under test and collects its actions.
type harness struct {
	*disp.Dispatcher
	t            require.TestingT
	now          clock.Millis
	lastCaller   disp.CallerID
	answers      map[disp.CallerID]reply.Answer
	starts       []disp.Start
	cancels      []disp.Cancel
	otherActions []disp.Action
}

func newHarness(t require.TestingT, incarnation string) *harness {
	fleet := route.New()
	d := disp.New(disp.Settings{
		Self:            host.Host{Name: "entry", Incarnation: incarnation, Role: host.RoleEntry},
		KeyLimits:       grant.TableLimits{Window: 60_000, MaxKeys: 1000, MaxAnswerBytes: 1 << 20},
		GrantDurationMS: 5000,
		MaxJobTasks:     310,
	}, disp.Parts{
		Config: contr.NewConfig(), Queue: fair.New(), Fleet: fleet, Chooser: fleet, RateLimits: limit.New(), RetryBudgets: retry.New(),
		Ledger: grant.NewLedger(), KeyTable: grant.NewTable(grant.TableLimits{Window: 60_000, MaxKeys: 1000, MaxAnswerBytes: 1 << 20}),
		Roster: roster.New(), Audit: audit.New(1000, 100),
	})
	h := &harness{Dispatcher: d, t: t, now: 1_000_000, answers: map[disp.CallerID]reply.Answer{}}
	v := d.Config.Amend(0, contr.Amendment{Base: contr.NoVersion, Name: "contract/c", Text: contractText})
	require.True(t, v.Accepted, v.Reason)
	d.ConfigChanged(d.Config.SortedDocuments(), h.now)
	d.Ledger.InitializeFromStart()
	return h
}

func (h *harness) withAgent(agent host.Host, slots int) *harness {
	h.SetAgent(disp.AgentState{Agent: agent, Name: agent.Name, Slots: slots, Kinds: []string{"check", "assign"}, Load: disp.Load{Window: slots}}, h.now)
	return h
}

func (h *harness) collectActions() {
	for _, a := range h.TakeActions() {
		switch act := a.(type) {
		case disp.Reply:
			_, twice := h.answers[act.Caller]
			require.False(h.t, twice, "caller %d answered twice", act.Caller)
			h.answers[act.Caller] = act.Answer
		case disp.Start:
			h.starts = append(h.starts, act)
		case disp.Cancel:
			h.cancels = append(h.cancels, act)
		default:
			h.otherActions = append(h.otherActions, a)
		}
	}
}

func (h *harness) newSubmission(kind, key string, tasks int) disp.Submission {
	h.lastCaller++
	s := disp.Submission{
		Caller: h.lastCaller, Request: fmt.Sprintf("r%d", h.lastCaller), Customer: "c", Kind: kind,
		Idempotent: kind == "check", Job: tasks > 1, Deadline: h.now + 1000,
	}
	if key != "" {
		parsed, err := grant.ParseKey(key)
		require.NoError(h.t, err)
		s.Key = parsed
	}
	for i := range tasks {
		s.Tasks = append(s.Tasks, disp.Task{Payload: []byte{byte(i)}})
	}
	return s
}

func (h *harness) submit(s disp.Submission) disp.CallerID {
	h.Submit(s, h.now)
	h.collectActions()
	return s.Caller
}

func (h *harness) finish(s disp.Start, o disp.Outcome) {
	h.HandleOutcome(s.Agent, s.MessageID, o, h.now)
	h.collectActions()
}

func successOutcome(s disp.Start) disp.Outcome {
	return disp.Outcome{Type: disp.OutcomeOK, ServiceMS: 10, Result: reply.Result{Body: []byte(s.Key)}}
}

func (h *harness) problem(c disp.CallerID) *reply.Problem {
	a, ok := h.answers[c]
	require.True(h.t, ok, "caller %d has no answer", c)
	require.NotNil(h.t, a.Problem)
	return a.Problem
}

func TestResubmissionReceivesSameAnswerWithoutSecondRun(t *testing.T) {
	h := newHarness(t, "e1").withAgent(agentHost, 8)
	key := h.NewTicket(h.now)
	first := h.submit(h.newSubmission("assign", key, 1))
	second := h.submit(h.newSubmission("assign", key, 1))
	require.Len(t, h.starts, 1)
	h.finish(h.starts[0], successOutcome(h.starts[0]))
	third := h.submit(h.newSubmission("assign", key, 1))
	require.Len(t, h.starts, 1)
	for _, c := range []disp.CallerID{first, second, third} {
		require.True(t, h.answers[c].Complete())
		require.Equal(t, h.answers[first], h.answers[c])
	}
	other := h.newSubmission("assign", key, 1)
	other.Tasks[0].Payload = []byte("something else")
	require.Equal(t, reply.TypeKeyReused, h.problem(h.submit(other)).Type)
}

func TestNonIdempotentTaskIsNotRetriedAfterPossibleStart(t *testing.T) {
	for _, o := range []disp.OutcomeType{disp.OutcomeUnknown, disp.OutcomeFailed} {
		h := newHarness(t, "e1").withAgent(agentHost, 8)
		key := h.NewTicket(h.now)
		c := h.submit(h.newSubmission("assign", key, 1))
		h.finish(h.starts[0], disp.Outcome{Type: o})
		require.Len(t, h.starts, 1)
		require.NotEqual(t, reply.RanNo, h.problem(c).Ran)
		again := h.submit(h.newSubmission("assign", key, 1))
		require.Len(t, h.starts, 1)
		require.Equal(t, h.problem(c), h.problem(again))
	}
}

func TestNotRunTaskIsRetriedOnAnotherUpstream(t *testing.T) {
	second := host.Host{Name: "minion-2", Incarnation: "agent2", Role: host.RoleAgent}
	h := newHarness(t, "e1").withAgent(agentHost, 8).withAgent(second, 8)
	c := h.submit(h.newSubmission("assign", h.NewTicket(h.now), 1))
	h.finish(h.starts[0], disp.Outcome{Type: disp.OutcomeNotRun, Detail: "leaving"})
	require.Len(t, h.starts, 2)
	require.NotEqual(t, h.starts[0].Agent, h.starts[1].Agent)
	h.finish(h.starts[1], successOutcome(h.starts[1]))
	require.True(t, h.answers[c].Complete())
}

func TestUnreachableUpstreamEndsRetriesAsNotRun(t *testing.T) {
	h := newHarness(t, "e1").withAgent(agentHost, 8)
	c := h.submit(h.newSubmission("assign", h.NewTicket(h.now), 1))
	for i := 0; i < len(h.starts) && i < 100; i++ {
		h.finish(h.starts[i], disp.Outcome{Type: disp.OutcomeNotRun, Unreachable: true, Detail: "refused"})
	}
	require.Less(t, len(h.starts), 20, "the task is retried without limit")
	h.now += 2000
	h.Wake(h.now)
	h.collectActions()
	require.Equal(t, reply.RanNo, h.problem(c).Ran)
}

func TestLinkLossRetriesOnlyIdempotentRequests(t *testing.T) {
	second := host.Host{Name: "minion-2", Incarnation: "agent2", Role: host.RoleAgent}
	h := newHarness(t, "e1").withAgent(agentHost, 8)
	check := h.submit(h.newSubmission("check", "", 1))
	assign := h.submit(h.newSubmission("assign", h.NewTicket(h.now), 1))
	job := h.submit(h.newSubmission("check", h.NewTicket(h.now), 2))
	h.withAgent(second, 8)
	h.collectActions()
	require.Len(t, h.starts, 4)
	h.RemoveAgent("agent1", "silent", h.now)
	h.collectActions()
	require.Len(t, h.starts, 5)
	require.Equal(t, "agent2", h.starts[4].Agent)
	h.finish(h.starts[4], successOutcome(h.starts[4]))
	require.True(t, h.answers[check].Complete())
	require.Equal(t, reply.RanMaybe, h.problem(assign).Ran)
	require.Equal(t, reply.RanMaybe, h.problem(job).Ran)
}

func TestRequestsWaitForLostAgentToReconnect(t *testing.T) {
	h := newHarness(t, "e1").withAgent(agentHost, 8)
	h.RemoveAgent("agent1", "silent", h.now)
	h.collectActions()
	waiting := []disp.CallerID{h.submit(h.newSubmission("check", "", 1)), h.submit(h.newSubmission("check", "", 1))}
	for _, c := range waiting {
		require.NotContains(t, h.answers, c)
	}
	h.now += 100
	h.withAgent(agentHost, 8).collectActions()
	require.Len(t, h.starts, 2)
	h.RemoveAgent("agent1", "gone for good", h.now)
	h.now += 3000
	h.Wake(h.now)
	h.collectActions()
	refused := h.submit(h.newSubmission("check", "", 1))
	require.Equal(t, reply.TypeNoUpstream, h.problem(refused).Type)
}

func TestJobFailsWhenOneTaskFails(t *testing.T) {
	h := newHarness(t, "e1").withAgent(agentHost, 2)
	c := h.submit(h.newSubmission("assign", h.NewTicket(h.now), 4))
	require.Len(t, h.starts, 2)
	h.finish(h.starts[0], successOutcome(h.starts[0]))
	require.NotContains(t, h.answers, c)
	h.finish(h.starts[1], disp.Outcome{Type: disp.OutcomeFailed, Detail: "broken"})
	require.Empty(t, h.answers[c].Results)
	require.Equal(t, reply.RanYes, h.problem(c).Ran)
	require.Zero(t, h.Queue.Len(), "the job's queued tasks were not removed")
	require.Len(t, h.cancels, 1, "the job's running task was not cancelled")
	starts := len(h.starts)
	h.finish(h.starts[2], successOutcome(h.starts[2]))
	require.Len(t, h.starts, starts)
}

func TestCancelledJobIsNotStartedByResubmission(t *testing.T) {
	h := newHarness(t, "e1")
	h.withAgent(agentHost, 1)
	h.submit(h.newSubmission("assign", h.NewTicket(h.now), 1))
	key := h.NewTicket(h.now)
	c := h.submit(h.newSubmission("assign", key, 3))
	cancel := h.newSubmission("assign", key, 3)
	cancel.Cancel = true
	canceller := h.submit(cancel)
	require.Equal(t, reply.RanNo, h.problem(c).Ran)
	require.Equal(t, h.problem(c), h.problem(canceller))
	h.finish(h.starts[0], successOutcome(h.starts[0]))
	again := h.submit(h.newSubmission("assign", key, 3))
	require.Equal(t, reply.TypeCancelled, h.problem(again).Type)
	require.Len(t, h.starts, 1)
}

func TestRequestExpiredInQueueCanBeResubmitted(t *testing.T) {
	h := newHarness(t, "e1").withAgent(agentHost, 1)
	h.submit(h.newSubmission("assign", h.NewTicket(h.now), 1))
	key := h.NewTicket(h.now)
	c := h.submit(h.newSubmission("assign", key, 1))
	h.now += 1000
	h.Wake(h.now)
	h.collectActions()
	require.Equal(t, reply.TypeDeadline, h.problem(c).Type)
	require.Equal(t, reply.RanNo, h.problem(c).Ran)
	h.finish(h.starts[0], successOutcome(h.starts[0]))
	again := h.submit(h.newSubmission("assign", key, 1))
	require.Len(t, h.starts, 2)
	h.finish(h.starts[1], successOutcome(h.starts[1]))
	require.True(t, h.answers[again].Complete())
}

func TestTaskThatWouldMissDeadlineIsNotStarted(t *testing.T) {
	h := newHarness(t, "e1").withAgent(agentHost, 1)
	h.submit(h.newSubmission("assign", h.NewTicket(h.now), 1))
	h.finish(h.starts[0], disp.Outcome{Type: disp.OutcomeOK, ServiceMS: 600})
	h.submit(h.newSubmission("assign", h.NewTicket(h.now), 1))
	key := h.NewTicket(h.now)
	waiting := h.submit(h.newSubmission("assign", key, 1))
	require.NotContains(t, h.answers, waiting)
	h.now += 600
	h.finish(h.starts[1], disp.Outcome{Type: disp.OutcomeOK, ServiceMS: 600})
	require.Len(t, h.starts, 2, "400 ms are left for a task of 600 ms")
	require.Equal(t, reply.RanNo, h.problem(waiting).Ran)
	again := h.submit(h.newSubmission("assign", key, 1))
	h.finish(h.starts[2], successOutcome(h.starts[2]))
	require.True(t, h.answers[again].Complete())
}

func TestShortDeadlinesDoNotEjectUpstream(t *testing.T) {
	second := host.Host{Name: "minion-2", Incarnation: "agent2", Role: host.RoleAgent}
	for served, want := range map[clock.Millis]route.Health{100: route.HealthGood, 900: route.HealthEjected} {
		h := newHarness(t, "e1").withAgent(agentHost, 8).withAgent(second, 8)
		for i := range 10 {
			h.submit(h.newSubmission("assign", h.NewTicket(h.now), 1))
			s := h.starts[len(h.starts)-1]
			o := successOutcome(s)
			o.ServiceMS = 100
			if i > 3 && s.Agent == "agent1" {
				o = disp.Outcome{Type: disp.OutcomeUnknown, TimedOut: true, ServiceMS: served}
			}
			h.finish(s, o)
		}
		for range 5 {
			h.Fleet.SetLeaving("agent2", true, "test")
			h.submit(h.newSubmission("assign", h.NewTicket(h.now), 1))
			h.finish(h.starts[len(h.starts)-1], disp.Outcome{Type: disp.OutcomeUnknown, TimedOut: true, ServiceMS: served})
		}
		require.Equal(t, want, h.Fleet.Get("agent1").Health, "call aborted after %d ms", served)
	}
}

func TestLateAnswerIsReturnedToResubmission(t *testing.T) {
	h := newHarness(t, "e1").withAgent(agentHost, 1)
	key := h.NewTicket(h.now)
	c := h.submit(h.newSubmission("assign", key, 1))
	h.now += 1000
	h.Wake(h.now)
	h.collectActions()
	require.Equal(t, reply.TypeFateUnknown, h.problem(c).Type)
	h.finish(h.starts[0], successOutcome(h.starts[0]))
	again := h.submit(h.newSubmission("assign", key, 1))
	require.True(t, h.answers[again].Complete())
	require.Len(t, h.starts, 1)
}

func TestRejectionsNameContractLineAndRunNothing(t *testing.T) {
	h := newHarness(t, "e1")
	none := h.submit(h.newSubmission("check", "", 1))
	require.Equal(t, reply.TypeNoUpstream, h.problem(none).Type)
	h.withAgent(agentHost, 1)
	large := h.submit(h.newSubmission("assign", h.NewTicket(h.now), 60))
	require.Equal(t, reply.TypeNeverRuns, h.problem(large).Type)
	require.Equal(t, "queue", h.problem(large).Line)
	unkeyed := h.submit(h.newSubmission("assign", "", 1))
	require.Equal(t, reply.TypeMalformed, h.problem(unkeyed).Type)
	refused := map[reply.Type]string{}
	for range 200 {
		c := h.submit(h.newSubmission("check", "", 1))
		if a, ok := h.answers[c]; ok {
			refused[a.Problem.Type] = a.Problem.Line
			require.Equal(t, reply.RanNo, a.Problem.Ran)
			require.Positive(t, a.Problem.RetryAfter)
		}
	}
	require.Equal(t, "kinds[check].share", refused[reply.TypeDeadline])
	x, ok := h.Audit.Explain(fmt.Sprintf("r%d", h.lastCaller))
	require.True(t, ok)
	require.Equal(t, "kinds[check].share", x.Record.Problem.Line)
}

func TestPlainKeyIsHandledByGrantHolder(t *testing.T) {
	h := newHarness(t, "e1").withAgent(agentHost, 8)
	uuidAt := func(at clock.Millis, n int) string {
		return fmt.Sprintf("%08x-%04x-7000-8000-%012x", int64(at)>>16, int64(at)&0xffff, n)
	}
	waiting := h.submit(h.newSubmission("assign", uuidAt(h.now, 1), 1))
	require.Empty(t, h.starts)
	all := make([]grant.Range, grant.RangeCount)
	for i := range all {
		all[i] = grant.Range(i)
	}
	h.ApplyGrant(0, h.Self, []grant.Claim{{Ranges: all, From: h.now - 10, Until: h.now + 10}}, false, h.now)
	h.GrantsApplied(h.now)
	h.collectActions()
	require.Len(t, h.starts, 1, "the waiting submission starts once its key is granted")
	h.finish(h.starts[0], successOutcome(h.starts[0]))
	require.True(t, h.answers[waiting].Complete())

	peer := host.Host{Name: "peer", Incarnation: "e2", Role: host.RoleEntry}
	h.ApplyGrant(1, peer, []grant.Claim{{Ranges: all, From: h.now + 10, Until: h.now + 20}}, false, h.now)
	lost := h.submit(h.newSubmission("assign", uuidAt(h.now+15, 2), 1))
	require.Len(t, h.starts, 1)
	require.Len(t, h.otherActions, 1, "a Find is sent to the agents for a key whose entry is gone")
	find := h.otherActions[0].(disp.Find)
	h.HandleFound("agent1", find.MessageID, nil)
	h.collectActions()
	require.Equal(t, reply.RanMaybe, h.problem(lost).Ran)

	h.SetEntryLinked(peer, true, h.now)
	h.submit(h.newSubmission("assign", uuidAt(h.now+16, 3), 1))
	require.IsType(t, disp.Forward{}, h.otherActions[1])
}

func TestStateTransferReportsAnswersAndUnstartedKeys(t *testing.T) {
	a := newHarness(t, "e1").withAgent(agentHost, 8)
	ran, unstarted := a.NewTicket(a.now), a.NewTicket(a.now)
	a.submit(a.newSubmission("assign", ran, 1))
	a.finish(a.starts[0], successOutcome(a.starts[0]))
	a.Draining = true
	late := a.submit(a.newSubmission("assign", a.NewTicket(a.now), 1))
	require.Equal(t, reply.TypeShuttingDown, a.problem(late).Type)
	require.True(t, a.Idle())

	b := newHarness(t, "e2").withAgent(agentHost, 8)
	b.HandleStateTransfer(a.StateTransfer(), b.now)
	first := b.submit(b.newSubmission("assign", ran, 1))
	require.Equal(t, []byte(ran), b.answers[first].Results[0].Body)
	second := b.submit(b.newSubmission("assign", unstarted, 1))
	require.Equal(t, reply.RanNo, b.problem(second).Ran)
	require.Empty(t, b.starts)
}

func TestAnswerOfLostEntryIsFoundAtAgents(t *testing.T) {
	b := newHarness(t, "e2").withAgent(agentHost, 8)
	key := grant.NewTicket("gone", b.now)
	c := b.submit(b.newSubmission("assign", key, 1))
	find := b.otherActions[0].(disp.Find)
	b.HandleFound("agent1", find.MessageID, []disp.FoundTask{{TaskIndex: 0, Complete: true, Result: reply.Result{Body: []byte("whole")}}})
	b.collectActions()
	require.Equal(t, []byte("whole"), b.answers[c].Results[0].Body)
	require.Empty(t, b.starts)
}

func TestRetiredUpstreamIsUsedAgainAfterRetirementIsDeleted(t *testing.T) {
	for _, name := range []string{"upstream/minion-1", "host/minion-1"} {
		h := newHarness(t, "e1").withAgent(agentHost, 8)
		require.True(t, h.Config.Amend(10, contr.Amendment{Base: contr.NoVersion, Name: name, Text: "moved"}).Accepted)
		h.ConfigChanged([]contr.Document{h.Config.Documents[name]}, h.now)
		refused := h.submit(h.newSubmission("check", "", 1))
		require.Equal(t, reply.TypeNoUpstream, h.problem(refused).Type)
		require.True(t, h.Config.Amend(11, contr.Amendment{Base: 10, Name: name, Deleted: true}).Accepted)
		h.ConfigChanged([]contr.Document{h.Config.Documents[name]}, h.now)
		h.submit(h.newSubmission("check", "", 1))
		require.Len(t, h.starts, 1)
	}
}

// randomRun drives a dispatcher through random events in random order.
type randomRun struct {
	*harness
	keys []string
	// ended holds the attempts whose outcome was reported, notRun is true for those with
	// OutcomeNotRun, and agentLost holds those whose agent was removed.
	ended, notRun, agentLost map[disp.MessageID]bool
}

func TestEveryCallerGetsOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, "e1").withAgent(agentHost, 2)
		r := &randomRun{harness: h, keys: []string{h.NewTicket(h.now), h.NewTicket(h.now), h.NewTicket(h.now)},
			ended: map[disp.MessageID]bool{}, notRun: map[disp.MessageID]bool{}, agentLost: map[disp.MessageID]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				tasks := rapid.IntRange(1, 3).Draw(t, "tasks")
				h.submit(h.newSubmission("assign", r.keys[tasks-1], tasks))
			},
			"check":       func(*rapid.T) { h.submit(h.newSubmission("check", "", 1)) },
			"done":        r.finishOne,
			"time":        func(t *rapid.T) { r.advance(clock.Millis(rapid.IntRange(1, 700).Draw(t, "ms"))) },
			"agent lost":  r.loseAgent,
			"caller gone": r.disconnectCaller,
			"":            r.checkAtMostOnce,
		})
		r.advance(100_000)
		for c := disp.CallerID(1); c <= h.lastCaller; c++ {
			require.Contains(t, h.answers, c, "caller %d has no answer", c)
		}
	})
}

func (r *randomRun) advance(ms clock.Millis) {
	r.now += ms
	r.Wake(r.now)
	r.collectActions()
}

func (r *randomRun) finishOne(t *rapid.T) {
	if len(r.starts) == 0 {
		t.Skip("nothing started")
	}
	s := r.starts[rapid.IntRange(0, len(r.starts)-1).Draw(t, "start")]
	if r.ended[s.MessageID] || r.agentLost[s.MessageID] {
		t.Skip("has ended")
	}
	outcome := successOutcome(s)
	outcome.Type = disp.OutcomeType(rapid.IntRange(0, 3).Draw(t, "outcome"))
	r.ended[s.MessageID] = true
	r.notRun[s.MessageID] = outcome.Type == disp.OutcomeNotRun
	r.finish(s, outcome)
}

func (r *randomRun) loseAgent(*rapid.T) {
	for _, s := range r.starts {
		r.agentLost[s.MessageID] = true
	}
	r.RemoveAgent("agent1", "silent", r.now)
	r.collectActions()
	r.withAgent(agentHost, 2)
	r.collectActions()
}

func (r *randomRun) disconnectCaller(t *rapid.T) {
	if r.lastCaller == 0 {
		t.Skip("no caller")
	}
	c := disp.CallerID(rapid.IntRange(1, int(r.lastCaller)).Draw(t, "caller"))
	if _, answered := r.answers[c]; !answered {
		r.CallerDisconnected(c, r.now)
		r.collectActions()
		r.answers[c] = reply.Answer{}
	}
}

// checkAtMostOnce checks that no non-idempotent task was retried after a possible start.
func (r *randomRun) checkAtMostOnce(t *rapid.T) {
	possibleStarts := map[string]int{}
	for _, s := range r.starts {
		if s.Kind == "assign" && !r.notRun[s.MessageID] {
			possibleStarts[fmt.Sprintf("%s/%d", s.Key, s.TaskIndex)]++
		}
	}
	for task, n := range possibleStarts {
		require.LessOrEqual(t, n, 1, "task %s may have started twice", task)
	}
}
