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
	// maxAllowance is the number of notices that can be saved up: with 26 agents and 52 notices
	// saved up, the second of a burst lacked notices, and 0.007 of the jobs missed their objective.
	maxAllowance = 250
	// earlierMS and laterMS are the changes of the latest start that are told before renewMS.
	// An agent that believes an earlier start than the present one offers to the wrong entry.
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
	// told holds the last demand that each agent was told, by its incarnation. An agent that was
	// told that no job waits is not included.
	told map[string]notified
	// lastRoundAt is when notices were last returned.
	lastRoundAt clock.Millis
	// allowance is the number of notices that could be sent at allowanceAt.
	allowance   float64
	allowanceAt clock.Millis
}

// notified is a demand and when an agent was told of it.
type notified struct {
	demand Demand
	at     clock.Millis
}

// NewAnnouncer returns an announcer that has told nobody anything.
func NewAnnouncer() *Announcer {
	return &Announcer{told: map[string]notified{}, lastRoundAt: -roundMS, allowance: maxAllowance}
}

// Due reports whether Update may return notices at now.
func (a *Announcer) Due(now clock.Millis) bool {
	return now-a.lastRoundAt >= roundMS
}

// Update returns the notices that are due at now, ordered by agent. demand holds the demand for
// each worker that a waiting job could use, by the incarnation of its agent. If the allowance does
// not suffice, the agents that were told longest ago go first, and the others follow later.
func (a *Announcer) Update(demand map[string]Demand, now clock.Millis) []Notice {
	if len(demand) == 0 && len(a.told) == 0 || !a.Due(now) {
		return nil
	}
	notices := a.dueNotices(demand, now)
	if len(notices) == 0 {
		return nil
	}
	sort.Slice(notices, func(i, j int) bool { return a.toldBefore(notices[i].Agent, notices[j].Agent) })
	notices = notices[:min(len(notices), a.takeAllowance(len(notices), now))]
	for _, n := range notices {
		a.record(n, now)
	}
	a.lastRoundAt = now
	sort.Slice(notices, func(i, j int) bool { return notices[i].Agent < notices[j].Agent })
	return notices
}

// dueNotices returns a notice for each agent that has to be told of a demand, and for each that
// believes that a job waits for its worker while none does. A demand that has expired is forgotten.
func (a *Announcer) dueNotices(demand map[string]Demand, now clock.Millis) []Notice {
	var notices []Notice
	for agent, d := range demand {
		if told, known := a.told[agent]; !known || told.outdatedBy(d, now) {
			notices = append(notices, Notice{Agent: agent, Waiting: true, Demand: d})
		}
	}
	for agent, told := range a.told {
		_, waits := demand[agent]
		switch {
		case waits:
		case now-told.at >= ExpiryMS:
			delete(a.told, agent)
		default:
			notices = append(notices, Notice{Agent: agent})
		}
	}
	return notices
}

// toldBefore reports whether an agent was told earlier than another one, or not yet.
func (a *Announcer) toldBefore(agent, other string) bool {
	told, known := a.told[agent]
	otherTold, otherKnown := a.told[other]
	switch {
	case known != otherKnown:
		return !known
	case told.at != otherTold.at:
		return told.at < otherTold.at
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
		a.told[n.Agent] = notified{demand: n.Demand, at: now}
	} else {
		delete(a.told, n.Agent)
	}
}

// outdatedBy reports whether an agent has to be told of d in place of the demand that it knows.
func (n notified) outdatedBy(d Demand, now clock.Millis) bool {
	change := d.LatestStart - n.demand.LatestStart
	return now-n.at >= renewMS || d.Started != n.demand.Started || change <= -earlierMS || change >= laterMS
}
