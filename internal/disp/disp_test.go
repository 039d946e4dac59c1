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

// The same cases on every run.
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

// harness is a dispatcher under test with what came out of it.
type harness struct {
	*disp.Dispatcher
	t       require.TestingT
	now     clock.Millis
	callers disp.CallerID
	answers map[disp.CallerID]reply.Answer
	starts  []disp.Start
	cancels []disp.Cancel
	others  []disp.Action
}

func newHarness(t require.TestingT, incarnation string) *harness {
	fleet := route.New()
	d := disp.New(disp.Settings{
		Self:            host.Host{Name: "entry", Incarnation: incarnation, Role: host.RoleEntry},
		Keys:            grant.TableLimits{Window: 60_000, MaxKeys: 1000, MaxAnswerBytes: 1 << 20},
		GrantDurationMS: 5000,
		MaxJobTasks:     310,
	}, disp.Parts{
		Book: contr.NewBook(), Queue: fair.New(), Fleet: fleet, Chooser: fleet, Limits: limit.New(), Budgets: retry.New(),
		Ledger: grant.NewLedger(), Table: grant.NewTable(grant.TableLimits{Window: 60_000, MaxKeys: 1000, MaxAnswerBytes: 1 << 20}),
		Roster: roster.New(), Audit: audit.New(1000, 100),
	})
	k := &harness{Dispatcher: d, t: t, now: 1_000_000, answers: map[disp.CallerID]reply.Answer{}}
	v := d.Book.Amend(0, contr.Amendment{Base: contr.NoVersion, Name: "contract/c", Text: contractText})
	require.True(t, v.Accepted, v.Reason)
	d.ConfigChanged(d.Book.Sorted(), k.now)
	d.Ledger.InitializeFromStart()
	return k
}

func (k *harness) withAgent(h host.Host, slots int) *harness {
	k.SetAgent(disp.AgentState{Agent: h, Name: h.Name, Slots: slots, Kinds: []string{"check", "assign"}, Load: disp.Load{Window: slots}}, k.now)
	return k
}

func (k *harness) take() {
	for _, a := range k.TakeActions() {
		switch act := a.(type) {
		case disp.Reply:
			_, twice := k.answers[act.Caller]
			require.False(k.t, twice, "caller %d answered twice", act.Caller)
			k.answers[act.Caller] = act.Answer
		case disp.Start:
			k.starts = append(k.starts, act)
		case disp.Cancel:
			k.cancels = append(k.cancels, act)
		default:
			k.others = append(k.others, a)
		}
	}
}

func (k *harness) submission(kind, key string, tasks int) disp.Submission {
	k.callers++
	s := disp.Submission{
		Caller: k.callers, Request: fmt.Sprintf("r%d", k.callers), Customer: "c", Kind: kind,
		Idempotent: kind == "check", Job: tasks > 1, Deadline: k.now + 1000,
	}
	if key != "" {
		parsed, err := grant.ParseKey(key)
		require.NoError(k.t, err)
		s.Key = parsed
	}
	for i := range tasks {
		s.Tasks = append(s.Tasks, disp.Task{Payload: []byte{byte(i)}})
	}
	return s
}

func (k *harness) submit(s disp.Submission) disp.CallerID {
	k.Submit(s, k.now)
	k.take()
	return s.Caller
}

func (k *harness) done(s disp.Start, o disp.Outcome) {
	k.HandleOutcome(s.Agent, s.MessageID, o, k.now)
	k.take()
}

func okOutcome(s disp.Start) disp.Outcome {
	return disp.Outcome{Type: disp.OutcomeOK, ServiceMS: 10, Result: reply.Result{Body: []byte(s.Key)}}
}

func (k *harness) problem(c disp.CallerID) *reply.Problem {
	a, ok := k.answers[c]
	require.True(k.t, ok, "caller %d has no answer", c)
	require.NotNil(k.t, a.Problem)
	return a.Problem
}

func TestResubmissionJoinsAndGetsTheSameAnswer(t *testing.T) {
	k := newHarness(t, "e1").withAgent(agentHost, 8)
	key := k.NewTicket(k.now)
	first := k.submit(k.submission("assign", key, 1))
	second := k.submit(k.submission("assign", key, 1))
	require.Len(t, k.starts, 1)
	k.done(k.starts[0], okOutcome(k.starts[0]))
	third := k.submit(k.submission("assign", key, 1))
	require.Len(t, k.starts, 1)
	for _, c := range []disp.CallerID{first, second, third} {
		require.True(t, k.answers[c].Complete())
		require.Equal(t, k.answers[first], k.answers[c])
	}
	other := k.submission("assign", key, 1)
	other.Tasks[0].Payload = []byte("something else")
	require.Equal(t, reply.TypeKeyReused, k.problem(k.submit(other)).Type)
}

func TestNonIdempotentIsNeverSentAgainAfterAPossibleStart(t *testing.T) {
	for _, o := range []disp.OutcomeType{disp.OutcomeUnknown, disp.OutcomeFailed} {
		k := newHarness(t, "e1").withAgent(agentHost, 8)
		key := k.NewTicket(k.now)
		c := k.submit(k.submission("assign", key, 1))
		k.done(k.starts[0], disp.Outcome{Type: o})
		require.Len(t, k.starts, 1)
		require.NotEqual(t, reply.RanNo, k.problem(c).Ran)
		again := k.submit(k.submission("assign", key, 1))
		require.Len(t, k.starts, 1)
		require.Equal(t, k.problem(c), k.problem(again))
	}
}

func TestNotRunIsSentElsewhere(t *testing.T) {
	second := host.Host{Name: "minion-2", Incarnation: "agent2", Role: host.RoleAgent}
	k := newHarness(t, "e1").withAgent(agentHost, 8).withAgent(second, 8)
	c := k.submit(k.submission("assign", k.NewTicket(k.now), 1))
	k.done(k.starts[0], disp.Outcome{Type: disp.OutcomeNotRun, Detail: "leaving"})
	require.Len(t, k.starts, 2)
	require.NotEqual(t, k.starts[0].Agent, k.starts[1].Agent)
	k.done(k.starts[1], okOutcome(k.starts[1]))
	require.True(t, k.answers[c].Complete())
}

func TestUnreachableUpstreamEndsAsNotRun(t *testing.T) {
	k := newHarness(t, "e1").withAgent(agentHost, 8)
	c := k.submit(k.submission("assign", k.NewTicket(k.now), 1))
	for i := 0; i < len(k.starts) && i < 100; i++ {
		k.done(k.starts[i], disp.Outcome{Type: disp.OutcomeNotRun, Unreachable: true, Detail: "refused"})
	}
	require.Less(t, len(k.starts), 20, "the task goes round without rest")
	k.now += 2000
	k.Wake(k.now)
	k.take()
	require.Equal(t, reply.RanNo, k.problem(c).Ran)
}

func TestLinkLostResendsOnlyIdempotentWork(t *testing.T) {
	second := host.Host{Name: "minion-2", Incarnation: "agent2", Role: host.RoleAgent}
	k := newHarness(t, "e1").withAgent(agentHost, 8)
	check := k.submit(k.submission("check", "", 1))
	assign := k.submit(k.submission("assign", k.NewTicket(k.now), 1))
	job := k.submit(k.submission("check", k.NewTicket(k.now), 2))
	k.withAgent(second, 8)
	k.take()
	require.Len(t, k.starts, 4)
	k.RemoveAgent("agent1", "silent", k.now)
	k.take()
	require.Len(t, k.starts, 5)
	require.Equal(t, "agent2", k.starts[4].Agent)
	k.done(k.starts[4], okOutcome(k.starts[4]))
	require.True(t, k.answers[check].Complete())
	require.Equal(t, reply.RanMaybe, k.problem(assign).Ran)
	require.Equal(t, reply.RanMaybe, k.problem(job).Ran)
}

func TestWorkWaitsWhileALostLinkMayBeReplaced(t *testing.T) {
	k := newHarness(t, "e1").withAgent(agentHost, 8)
	k.RemoveAgent("agent1", "silent", k.now)
	k.take()
	waits := []disp.CallerID{k.submit(k.submission("check", "", 1)), k.submit(k.submission("check", "", 1))}
	for _, c := range waits {
		require.NotContains(t, k.answers, c)
	}
	k.now += 100
	k.withAgent(agentHost, 8).take()
	require.Len(t, k.starts, 2)
	k.RemoveAgent("agent1", "gone for good", k.now)
	k.now += 3000
	k.Wake(k.now)
	k.take()
	refused := k.submit(k.submission("check", "", 1))
	require.Equal(t, reply.TypeNoUpstream, k.problem(refused).Type)
}

func TestJobIsWholeOrFailed(t *testing.T) {
	k := newHarness(t, "e1").withAgent(agentHost, 2)
	c := k.submit(k.submission("assign", k.NewTicket(k.now), 4))
	require.Len(t, k.starts, 2)
	k.done(k.starts[0], okOutcome(k.starts[0]))
	require.NotContains(t, k.answers, c)
	k.done(k.starts[1], disp.Outcome{Type: disp.OutcomeFailed, Detail: "broken"})
	require.Empty(t, k.answers[c].Results)
	require.Equal(t, reply.RanYes, k.problem(c).Ran)
	require.Zero(t, k.Queue.Len(), "the rest of the job left the line")
	require.Len(t, k.cancels, 1, "what ran of the job was withdrawn")
	starts := len(k.starts)
	k.done(k.starts[2], okOutcome(k.starts[2]))
	require.Len(t, k.starts, starts)
}

func TestCancelledJobThatDidNotRunNeverRuns(t *testing.T) {
	k := newHarness(t, "e1")
	k.withAgent(agentHost, 1)
	k.submit(k.submission("assign", k.NewTicket(k.now), 1))
	key := k.NewTicket(k.now)
	c := k.submit(k.submission("assign", key, 3))
	cancel := k.submission("assign", key, 3)
	cancel.Cancel = true
	by := k.submit(cancel)
	require.Equal(t, reply.RanNo, k.problem(c).Ran)
	require.Equal(t, k.problem(c), k.problem(by))
	k.done(k.starts[0], okOutcome(k.starts[0]))
	again := k.submit(k.submission("assign", key, 3))
	require.Equal(t, reply.TypeCancelled, k.problem(again).Type)
	require.Len(t, k.starts, 1)
}

func TestDeadlineInLineIsNotRunAndMayBeSentAgain(t *testing.T) {
	k := newHarness(t, "e1").withAgent(agentHost, 1)
	k.submit(k.submission("assign", k.NewTicket(k.now), 1))
	key := k.NewTicket(k.now)
	c := k.submit(k.submission("assign", key, 1))
	k.now += 1000
	k.Wake(k.now)
	k.take()
	require.Equal(t, reply.TypeDeadline, k.problem(c).Type)
	require.Equal(t, reply.RanNo, k.problem(c).Ran)
	k.done(k.starts[0], okOutcome(k.starts[0]))
	again := k.submit(k.submission("assign", key, 1))
	require.Len(t, k.starts, 2)
	k.done(k.starts[1], okOutcome(k.starts[1]))
	require.True(t, k.answers[again].Complete())
}

func TestTaskThatCannotEndInTimeIsNotStarted(t *testing.T) {
	k := newHarness(t, "e1").withAgent(agentHost, 1)
	k.submit(k.submission("assign", k.NewTicket(k.now), 1))
	k.done(k.starts[0], disp.Outcome{Type: disp.OutcomeOK, ServiceMS: 600})
	k.submit(k.submission("assign", k.NewTicket(k.now), 1))
	key := k.NewTicket(k.now)
	waits := k.submit(k.submission("assign", key, 1))
	require.NotContains(t, k.answers, waits)
	k.now += 600
	k.done(k.starts[1], disp.Outcome{Type: disp.OutcomeOK, ServiceMS: 600})
	require.Len(t, k.starts, 2, "400 ms are left for a task of 600 ms")
	require.Equal(t, reply.RanNo, k.problem(waits).Ran)
	again := k.submit(k.submission("assign", key, 1))
	k.done(k.starts[2], okOutcome(k.starts[2]))
	require.True(t, k.answers[again].Complete())
}

func TestShortDeadlinesDoNotEjectAnUpstream(t *testing.T) {
	second := host.Host{Name: "minion-2", Incarnation: "agent2", Role: host.RoleAgent}
	for served, want := range map[clock.Millis]route.Health{100: route.HealthGood, 900: route.HealthEjected} {
		k := newHarness(t, "e1").withAgent(agentHost, 8).withAgent(second, 8)
		for i := range 10 {
			k.submit(k.submission("assign", k.NewTicket(k.now), 1))
			s := k.starts[len(k.starts)-1]
			o := okOutcome(s)
			o.ServiceMS = 100
			if i > 3 && s.Agent == "agent1" {
				o = disp.Outcome{Type: disp.OutcomeUnknown, TimedOut: true, ServiceMS: served}
			}
			k.done(s, o)
		}
		for range 5 {
			k.Fleet.SetLeaving("agent2", true, "test")
			k.submit(k.submission("assign", k.NewTicket(k.now), 1))
			k.done(k.starts[len(k.starts)-1], disp.Outcome{Type: disp.OutcomeUnknown, TimedOut: true, ServiceMS: served})
		}
		require.Equal(t, want, k.Fleet.Get("agent1").Health, "broken off after %d ms", served)
	}
}

func TestLateAnswerIsKeptForTheResubmission(t *testing.T) {
	k := newHarness(t, "e1").withAgent(agentHost, 1)
	key := k.NewTicket(k.now)
	c := k.submit(k.submission("assign", key, 1))
	k.now += 1000
	k.Wake(k.now)
	k.take()
	require.Equal(t, reply.TypeFateUnknown, k.problem(c).Type)
	k.done(k.starts[0], okOutcome(k.starts[0]))
	again := k.submit(k.submission("assign", key, 1))
	require.True(t, k.answers[again].Complete())
	require.Len(t, k.starts, 1)
}

func TestRefusalsNameTheLineAndRunNothing(t *testing.T) {
	k := newHarness(t, "e1")
	none := k.submit(k.submission("check", "", 1))
	require.Equal(t, reply.TypeNoUpstream, k.problem(none).Type)
	k.withAgent(agentHost, 1)
	large := k.submit(k.submission("assign", k.NewTicket(k.now), 60))
	require.Equal(t, reply.TypeNeverRuns, k.problem(large).Type)
	require.Equal(t, "queue", k.problem(large).Line)
	unkeyed := k.submit(k.submission("assign", "", 1))
	require.Equal(t, reply.TypeMalformed, k.problem(unkeyed).Type)
	refused := map[reply.Type]string{}
	for range 200 {
		c := k.submit(k.submission("check", "", 1))
		if a, ok := k.answers[c]; ok {
			refused[a.Problem.Type] = a.Problem.Line
			require.Equal(t, reply.RanNo, a.Problem.Ran)
			require.Positive(t, a.Problem.RetryAfter)
		}
	}
	require.Equal(t, "kinds[check].share", refused[reply.TypeDeadline])
	x, ok := k.Audit.Explain(fmt.Sprintf("r%d", k.callers))
	require.True(t, ok)
	require.Equal(t, "kinds[check].share", x.Record.Problem.Line)
}

func TestPlainKeysBelongToTheGrantHolder(t *testing.T) {
	k := newHarness(t, "e1").withAgent(agentHost, 8)
	uuidAt := func(at clock.Millis, n int) string {
		return fmt.Sprintf("%08x-%04x-7000-8000-%012x", int64(at)>>16, int64(at)&0xffff, n)
	}
	parked := k.submit(k.submission("assign", uuidAt(k.now, 1), 1))
	require.Empty(t, k.starts)
	all := make([]grant.Range, grant.RangeCount)
	for i := range all {
		all[i] = grant.Range(i)
	}
	k.ApplyGrant(0, k.Self, []grant.Claim{{Ranges: all, From: k.now - 10, Until: k.now + 10}}, false, k.now)
	k.GrantsApplied(k.now)
	k.take()
	require.Len(t, k.starts, 1, "the parked submission starts once its key is granted")
	k.done(k.starts[0], okOutcome(k.starts[0]))
	require.True(t, k.answers[parked].Complete())

	peer := host.Host{Name: "peer", Incarnation: "e2", Role: host.RoleEntry}
	k.ApplyGrant(1, peer, []grant.Claim{{Ranges: all, From: k.now + 10, Until: k.now + 20}}, false, k.now)
	gone := k.submit(k.submission("assign", uuidAt(k.now+15, 2), 1))
	require.Len(t, k.starts, 1)
	require.Len(t, k.others, 1, "the agents are asked for a key whose entry is gone")
	find := k.others[0].(disp.Find)
	k.HandleFound("agent1", find.MessageID, nil)
	k.take()
	require.Equal(t, reply.RanMaybe, k.problem(gone).Ran)

	k.SetEntryLinked(peer, true, k.now)
	k.submit(k.submission("assign", uuidAt(k.now+16, 3), 1))
	require.IsType(t, disp.Forward{}, k.others[1])
}

func TestHandoverTellsWhatRanAndWhatNeverDid(t *testing.T) {
	a := newHarness(t, "e1").withAgent(agentHost, 8)
	ran, never := a.NewTicket(a.now), a.NewTicket(a.now)
	a.submit(a.submission("assign", ran, 1))
	a.done(a.starts[0], okOutcome(a.starts[0]))
	a.Draining = true
	late := a.submit(a.submission("assign", a.NewTicket(a.now), 1))
	require.Equal(t, reply.TypeShuttingDown, a.problem(late).Type)
	require.True(t, a.Idle())

	b := newHarness(t, "e2").withAgent(agentHost, 8)
	b.HandleStateTransfer(a.StateTransfer(), b.now)
	first := b.submit(b.submission("assign", ran, 1))
	require.Equal(t, []byte(ran), b.answers[first].Results[0].Body)
	second := b.submit(b.submission("assign", never, 1))
	require.Equal(t, reply.RanNo, b.problem(second).Ran)
	require.Empty(t, b.starts)
}

func TestAnswerOfAGoneEntryIsFoundWithTheAgents(t *testing.T) {
	b := newHarness(t, "e2").withAgent(agentHost, 8)
	key := grant.NewTicket("gone", b.now)
	c := b.submit(b.submission("assign", key, 1))
	find := b.others[0].(disp.Find)
	b.HandleFound("agent1", find.MessageID, []disp.FoundTask{{Task: 0, Complete: true, Result: reply.Result{Body: []byte("whole")}}})
	b.take()
	require.Equal(t, []byte("whole"), b.answers[c].Results[0].Body)
	require.Empty(t, b.starts)
}

func TestRetiredUpstreamStopsAndComesBack(t *testing.T) {
	for _, name := range []string{"upstream/minion-1", "host/minion-1"} {
		k := newHarness(t, "e1").withAgent(agentHost, 8)
		require.True(t, k.Book.Amend(10, contr.Amendment{Base: contr.NoVersion, Name: name, Text: "moved"}).Accepted)
		k.ConfigChanged([]contr.Document{k.Book.Documents[name]}, k.now)
		refused := k.submit(k.submission("check", "", 1))
		require.Equal(t, reply.TypeNoUpstream, k.problem(refused).Type)
		require.True(t, k.Book.Amend(11, contr.Amendment{Base: 10, Name: name, Deleted: true}).Accepted)
		k.ConfigChanged([]contr.Document{k.Book.Documents[name]}, k.now)
		k.submit(k.submission("check", "", 1))
		require.Len(t, k.starts, 1)
	}
}

// anyOrder drives a dispatcher through events in any order.
type anyOrder struct {
	*harness
	keys []string
	// ended, notRun and gone are how attempts ended.
	ended, notRun, gone map[disp.MessageID]bool
}

func TestEveryCallerGetsOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := newHarness(t, "e1").withAgent(agentHost, 2)
		o := &anyOrder{harness: k, keys: []string{k.NewTicket(k.now), k.NewTicket(k.now), k.NewTicket(k.now)},
			ended: map[disp.MessageID]bool{}, notRun: map[disp.MessageID]bool{}, gone: map[disp.MessageID]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				tasks := rapid.IntRange(1, 3).Draw(t, "tasks")
				k.submit(k.submission("assign", o.keys[tasks-1], tasks))
			},
			"check":       func(*rapid.T) { k.submit(k.submission("check", "", 1)) },
			"done":        o.finishOne,
			"time":        func(t *rapid.T) { o.pass(clock.Millis(rapid.IntRange(1, 700).Draw(t, "ms"))) },
			"agent lost":  o.loseAgent,
			"caller gone": o.loseCaller,
			"":            o.atMostOnce,
		})
		o.pass(100_000)
		for c := disp.CallerID(1); c <= k.callers; c++ {
			require.Contains(t, k.answers, c, "caller %d has no answer", c)
		}
	})
}

func (o *anyOrder) pass(ms clock.Millis) {
	o.now += ms
	o.Wake(o.now)
	o.take()
}

func (o *anyOrder) finishOne(t *rapid.T) {
	if len(o.starts) == 0 {
		t.Skip("nothing started")
	}
	s := o.starts[rapid.IntRange(0, len(o.starts)-1).Draw(t, "start")]
	if o.ended[s.MessageID] || o.gone[s.MessageID] {
		t.Skip("has ended")
	}
	out := okOutcome(s)
	out.Type = disp.OutcomeType(rapid.IntRange(0, 3).Draw(t, "outcome"))
	o.ended[s.MessageID] = true
	o.notRun[s.MessageID] = out.Type == disp.OutcomeNotRun
	o.done(s, out)
}

func (o *anyOrder) loseAgent(*rapid.T) {
	for _, s := range o.starts {
		o.gone[s.MessageID] = true
	}
	o.RemoveAgent("agent1", "silent", o.now)
	o.take()
	o.withAgent(agentHost, 2)
	o.take()
}

func (o *anyOrder) loseCaller(t *rapid.T) {
	if o.callers == 0 {
		t.Skip("no caller")
	}
	c := disp.CallerID(rapid.IntRange(1, int(o.callers)).Draw(t, "caller"))
	if _, answered := o.answers[c]; !answered {
		o.CallerDisconnected(c, o.now)
		o.take()
		o.answers[c] = reply.Answer{}
	}
}

// atMostOnce checks that no non-idempotent task was sent again after a possible start.
func (o *anyOrder) atMostOnce(t *rapid.T) {
	possible := map[string]int{}
	for _, s := range o.starts {
		if s.Kind == "assign" && !o.notRun[s.MessageID] {
			possible[fmt.Sprintf("%s/%d", s.Key, s.TaskIndex)]++
		}
	}
	for task, n := range possible {
		require.LessOrEqual(t, n, 1, "task %s may have started twice", task)
	}
}
