package disp

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// UpstreamsInDrainedZones returns the number of known upstreams in drained zones.
func (d *Dispatcher) UpstreamsInDrainedZones() int {
	n := 0
	for _, state := range d.agents {
		if d.Config.Drains.Contains(state.Agent.Location.Zone) {
			n++
		}
	}
	return n
}

// servedOnlyInDrainedZones reports whether at least one upstream serves a kind and all that do are in
// drained zones. It reports false while the agent of an upstream of the kind may reconnect soon.
func (d *Dispatcher) servedOnlyInDrainedZones(kind string, now clock.Millis) bool {
	if len(d.Config.Drains.Zones) == 0 || d.reconnectingSlots(kind, now) > 0 {
		return false
	}
	drained := false
	for id, state := range d.agents {
		if !d.Fleet.Get(id).Kinds[kind] {
			continue
		}
		if !d.Config.Drains.Contains(state.Agent.Location.Zone) {
			return false
		}
		drained = true
	}
	return drained
}

// drainedZonesProblem returns the problem of a submission whose upstreams are all in drained
// zones.
func drainedZonesProblem(kind string) *reply.Problem {
	return &reply.Problem{Type: reply.TypeNoUpstream, RetryAfter: noUpstreamRetryMS,
		Detail: "all upstreams that serve kind " + kind + " are in drained zones"}
}

// refuseInDrainedZones answers the submissions that have not started and whose upstreams are all in
// drained zones. A drain usually lasts longer than they may wait.
func (d *Dispatcher) refuseInDrainedZones(now clock.Millis) {
	for _, ex := range d.executions {
		kind := ex.submission.Kind
		if ex.ran() != reply.RanNo || !d.servedOnlyInDrainedZones(kind, now) {
			continue
		}
		p := drainedZonesProblem(kind)
		p.Ran = reply.RanNo
		p.Version = ex.contractVersion
		d.finishExecution(ex, reply.Answer{Request: ex.submission.Request, Problem: p}, now)
	}
}
