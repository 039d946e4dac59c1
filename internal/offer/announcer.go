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
	// roundMS is the shortest interval between two rounds of notices. It bounds their cost: an
	// entry with 26 agents sends at most 1,300 notices a second.
	roundMS clock.Millis = 20
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
}

// notified is a demand and when an agent was told of it.
type notified struct {
	demand Demand
	at     clock.Millis
}

// NewAnnouncer returns an announcer that has told nobody anything.
func NewAnnouncer() *Announcer {
	return &Announcer{told: map[string]notified{}, lastRoundAt: -roundMS}
}

// Due reports whether Update may return notices at now.
func (a *Announcer) Due(now clock.Millis) bool {
	return now-a.lastRoundAt >= roundMS
}

// Update returns the notices that are due at now, ordered by agent. demand holds the demand for
// each worker that a waiting job could use, by the incarnation of its agent.
func (a *Announcer) Update(demand map[string]Demand, now clock.Millis) []Notice {
	if len(demand) == 0 && len(a.told) == 0 || !a.Due(now) {
		return nil
	}
	notices := append(a.withdraw(demand, now), a.tell(demand, now)...)
	if len(notices) > 0 {
		a.lastRoundAt = now
	}
	sort.Slice(notices, func(i, j int) bool { return notices[i].Agent < notices[j].Agent })
	return notices
}

// withdraw returns a notice for each agent that believes that a job waits for its worker while
// none does. A demand that has expired needs none.
func (a *Announcer) withdraw(demand map[string]Demand, now clock.Millis) []Notice {
	var notices []Notice
	for agent, told := range a.told {
		if _, waits := demand[agent]; waits {
			continue
		}
		delete(a.told, agent)
		if now-told.at < ExpiryMS {
			notices = append(notices, Notice{Agent: agent})
		}
	}
	return notices
}

// tell returns a notice for each agent that has to be told of a demand.
func (a *Announcer) tell(demand map[string]Demand, now clock.Millis) []Notice {
	var notices []Notice
	for agent, d := range demand {
		if told, known := a.told[agent]; known && !told.outdatedBy(d, now) {
			continue
		}
		a.told[agent] = notified{demand: d, at: now}
		notices = append(notices, Notice{Agent: agent, Waiting: true, Demand: d})
	}
	return notices
}

// outdatedBy reports whether an agent has to be told of d in place of the demand that it knows.
func (n notified) outdatedBy(d Demand, now clock.Millis) bool {
	change := d.LatestStart - n.demand.LatestStart
	return now-n.at >= renewMS || d.Started != n.demand.Started || change <= -earlierMS || change >= laterMS
}
