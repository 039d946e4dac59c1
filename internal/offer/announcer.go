package offer

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Intervals of an entry's notices.
const (
	// renewMS is the interval at which a demand that lasts is repeated. Two repetitions fit into
	// ExpiryMS.
	renewMS clock.Millis = 100
	// roundMS is the shortest interval between two rounds of notices.
	roundMS clock.Millis = 20
	// noticesPerSecond bounds the cost of notices: at 30 us each they take 15 ms of processor time
	// a second, a tenth of an entry with 0.144 of a core.
	noticesPerSecond = 500
	// maxAllowance is the number of notices that can be saved for a burst of load. With 52, for 26
	// agents, notices ran out during bursts, and 0.007 of the jobs missed their objective.
	maxAllowance = 250
	// A latest start that has become earlier by earlierMS, or later by laterMS, is sent without
	// waiting for renewMS. An agent that assumes too early a start offers to the wrong entry.
	earlierMS clock.Millis = 20
	laterMS   clock.Millis = 100
)

// Notice tells an agent that a job waits for its worker, or that none does any more.
type Notice struct {
	// Agent is the incarnation of the agent.
	Agent string
	// Waiting is set if a job waits; Demand is empty otherwise.
	Waiting bool
	Demand  Demand
}

// Announcer decides what an entry tells its agents about its waiting jobs.
type Announcer struct {
	// sent holds the last demand that was sent to each agent, by its incarnation. An agent whose
	// last notice was that no job waits is not included.
	sent map[string]sentDemand
	// lastRoundAt is when notices were last returned.
	lastRoundAt clock.Millis
	// allowance is the number of notices that could be sent at allowanceAt.
	allowance   float64
	allowanceAt clock.Millis
}

// sentDemand is a demand and when it was sent to an agent.
type sentDemand struct {
	demand Demand
	at     clock.Millis
}

// NewAnnouncer returns an announcer that has sent no notices.
func NewAnnouncer() *Announcer {
	return &Announcer{sent: map[string]sentDemand{}, lastRoundAt: -roundMS, allowance: maxAllowance}
}

// Due reports whether Update may return notices at now.
func (a *Announcer) Due(now clock.Millis) bool {
	return now-a.lastRoundAt >= roundMS
}

// Update returns the notices that are due at now, ordered by agent. demand holds the demand for
// each worker that a waiting job could use, by the incarnation of its agent. If the allowance does
// not suffice, the agents with the oldest notice go first, and the others follow later.
func (a *Announcer) Update(demand map[string]Demand, now clock.Millis) []Notice {
	if len(demand) == 0 && len(a.sent) == 0 || !a.Due(now) {
		return nil
	}
	notices := a.dueNotices(demand, now)
	if len(notices) == 0 {
		return nil
	}
	sort.Slice(notices, func(i, j int) bool { return a.notifiedBefore(notices[i].Agent, notices[j].Agent) })
	notices = notices[:min(len(notices), a.takeAllowance(len(notices), now))]
	for _, n := range notices {
		a.record(n, now)
	}
	a.lastRoundAt = now
	sort.Slice(notices, func(i, j int) bool { return notices[i].Agent < notices[j].Agent })
	return notices
}

// dueNotices returns a notice for each agent that has no notice of the present demand, and for each
// that was sent a demand while none is left. A sent demand that has expired needs no notice.
func (a *Announcer) dueNotices(demand map[string]Demand, now clock.Millis) []Notice {
	var notices []Notice
	for agent, d := range demand {
		if last, known := a.sent[agent]; !known || last.outdatedBy(d, now) {
			notices = append(notices, Notice{Agent: agent, Waiting: true, Demand: d})
		}
	}
	for agent, last := range a.sent {
		_, waits := demand[agent]
		switch {
		case waits:
		case now-last.at >= ExpiryMS:
			delete(a.sent, agent)
		default:
			notices = append(notices, Notice{Agent: agent})
		}
	}
	return notices
}

// notifiedBefore reports whether the demand that was sent to an agent is older than that of another
// one, or missing. Equal ones are ordered by agent.
func (a *Announcer) notifiedBefore(agent, other string) bool {
	last, known := a.sent[agent]
	otherLast, otherKnown := a.sent[other]
	switch {
	case known != otherKnown:
		return !known
	case last.at != otherLast.at:
		return last.at < otherLast.at
	default:
		return agent < other
	}
}

// takeAllowance takes up to n notices from the allowance and returns how many.
func (a *Announcer) takeAllowance(n int, now clock.Millis) int {
	a.allowance = min(maxAllowance, a.allowance+float64(now-a.allowanceAt)*noticesPerSecond/float64(clock.Second))
	a.allowanceAt = now
	taken := min(n, int(a.allowance))
	a.allowance -= float64(taken)
	return taken
}

// record stores a notice that is sent, for comparison with later demands.
func (a *Announcer) record(n Notice, now clock.Millis) {
	if n.Waiting {
		a.sent[n.Agent] = sentDemand{demand: n.Demand, at: now}
	} else {
		delete(a.sent, n.Agent)
	}
}

// outdatedBy reports whether d has to be sent to the agent in place of l.
func (l sentDemand) outdatedBy(d Demand, now clock.Millis) bool {
	change := d.LatestStart - l.demand.LatestStart
	return now-l.at >= renewMS || d.Started != l.demand.Started || change <= -earlierMS || change >= laterMS
}
