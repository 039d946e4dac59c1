package disp_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// newZonesHarness returns a harness with one agent of one slot in each of the given zones.
func newZonesHarness(t *testing.T, zones ...string) *harness {
	h := newHarness(t, "e1")
	for _, z := range zones {
		h.withAgent(agentIn(z), 1)
	}
	return h
}

func agentIn(z string) host.Host {
	return host.Host{Name: "minion-" + z, Incarnation: "agent-" + z, Role: host.RoleAgent, Location: zone.Location{Region: "r", Zone: z}}
}

// setDrained amends the drain of a zone at a log offset.
func (h *harness) setDrained(z string, drained bool, offset int64) {
	name := contr.PrefixZone + z
	v := h.Config.Amend(offset, contr.Amendment{Base: h.Config.DocumentVersion(name), Name: name, Text: "power", Deleted: !drained})
	require.True(h.t, v.Accepted, v.Reason)
	h.ConfigChanged([]contr.Document{h.Config.Documents[name]}, h.now)
	h.collectActions()
}

// Guards against starts in a drained zone when work arrives or an agent of the zone reports, and
// against a zone that is not used again.
func TestNothingIsSentToADrainedZone(t *testing.T) {
	h := newZonesHarness(t, "a", "b")
	h.setDrained("a", true, 10)
	require.Equal(t, 1, h.UpstreamsInDrainedZones())
	for range 3 {
		h.submit(h.newSubmission("check", "", 1))
	}
	require.Len(t, h.starts, 1, "the others wait for the zone in use")
	require.Equal(t, "agent-b", h.starts[0].Agent)
	h.withAgent(agentIn("a"), 1)
	h.collectActions()
	require.Len(t, h.starts, 1, "after a heartbeat of an agent in the drained zone")
	h.setDrained("a", false, 11)
	require.Len(t, h.starts, 2)
	require.Equal(t, "agent-a", h.starts[1].Agent)
}

// Guards against callers that wait until their deadline for a zone that stays drained.
func TestWorkForDrainedZonesOnlyIsRefusedAtOnceAsNotRun(t *testing.T) {
	h := newZonesHarness(t, "a")
	running := h.submit(h.newSubmission("check", "", 1))
	waiting := h.submit(h.newSubmission("check", "", 1))
	h.setDrained("a", true, 10)
	require.NotContains(t, h.answers, running, "a task that may run continues")
	arriving := h.submit(h.newSubmission("check", "", 1))
	for _, c := range []disp.CallerID{waiting, arriving} {
		p := h.problem(c)
		require.Equal(t, reply.TypeNoUpstream, p.Type)
		require.Equal(t, reply.RanNo, p.Ran)
		require.Positive(t, p.RetryAfter)
	}
	h.finish(h.starts[0], disp.Outcome{Type: disp.OutcomeNotRun, Leaving: true})
	require.Equal(t, reply.RanNo, h.problem(running).Ran, "a task that the agent returned")
	require.Contains(t, h.Fleet.Get("agent-a").Reason, "zone")
}

// Guards against a refusal while the agent of the zone in use reconnects.
func TestTaskWaitsForAReconnectingZoneInUse(t *testing.T) {
	h := newZonesHarness(t, "a", "b")
	h.submit(h.newSubmission("check", "", 1))
	h.submit(h.newSubmission("check", "", 1))
	h.RemoveAgent("agent-b", "link lost", h.now)
	h.setDrained("a", true, 10)
	for _, s := range h.starts {
		h.finish(s, disp.Outcome{Type: disp.OutcomeNotRun, Leaving: true})
	}
	require.Empty(t, h.answers)
	h.withAgent(agentIn("b"), 2)
	h.collectActions()
	require.Len(t, h.starts, 4)
}

// Guards against a refusal while another zone still serves: the agent knew of the drain first.
func TestTaskReturnedFromADrainedZoneIsSentElsewhere(t *testing.T) {
	h := newZonesHarness(t, "a", "b")
	c := h.submit(h.newSubmission("assign", h.NewTicket(h.now), 1))
	first := h.starts[0]
	h.finish(first, disp.Outcome{Type: disp.OutcomeNotRun, Leaving: true})
	require.Len(t, h.starts, 2)
	require.NotEqual(t, first.Agent, h.starts[1].Agent)
	require.NotContains(t, h.answers, c)
}

// BenchmarkDecisionDrain measures the begin and end of a drain at an entry of the design size, with
// 157 upstreams and 1,000 queued submissions.
func BenchmarkDecisionDrain(b *testing.B) {
	h := newHarness(b, "e1")
	v := h.Config.Amend(1, contr.Amendment{Base: 0, Name: "contract/c",
		Text: strings.Replace(strings.Replace(contractText, "queue: 50", "queue: 5000", 1), "burst: 100", "burst: 5000", 1)})
	require.True(b, v.Accepted, v.Reason)
	h.ConfigChanged(h.Config.SortedDocuments(), h.now)
	h.now += 60_000
	for i := range 157 {
		a := agentIn(fmt.Sprint("z", i%7))
		a.Incarnation = fmt.Sprint("agent-", i)
		h.withAgent(a, 1)
	}
	for range 1157 {
		h.submit(h.newSubmission("check", "", 1))
	}
	require.Equal(b, 1000, h.Queue.Len())
	offset := int64(10)
	for b.Loop() {
		h.setDrained("z1", true, offset)
		h.setDrained("z1", false, offset+1)
		offset += 2
	}
}
