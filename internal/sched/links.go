package sched

import (
	"time"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/runner"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

func (e *Entry) onLink(ev link.Event) {
	switch ev.Type {
	case link.Up:
		e.onUp(ev.Link)
	case link.Received:
		e.onFrame(ev.Link, ev.Frame)
	case link.Down:
		e.onDown(ev)
	}
}

func (e *Entry) onUp(l *link.Link) {
	if l.Peer.Role == host.RoleAgent {
		// The agent's inventory, its first frame, makes the link the one in use: an
		// agent that reached this entry by two addresses closes the second.
		l.Send(e.rosterFrame())
		return
	}
	e.onPeerUp(l)
}

// onPeerUp keeps one link between two entries that dialed each other.
func (e *Entry) onPeerUp(l *link.Link) {
	inc := l.Peer.Incarnation
	if inc == e.settings.Self.Incarnation {
		e.node.StopDialing(l.DialedAddress)
		l.Close("a link to itself")
		return
	}
	old := e.peers[inc]
	if old != nil && !link.Preferred(l, e.settings.Self) {
		e.drop(l)
		return
	}
	if old != nil {
		e.drop(old.link)
	}
	e.peers[inc] = &peer{link: l}
	e.core.Entries = len(e.peers) + 1
	e.log.Info("link up", "peer", l.Peer.Name, "role", string(l.Peer.Role))
	l.Send(e.pulseFrame())
	if e.terms != nil {
		l.Send(termsFrame(e.terms))
	}
	for _, a := range e.agents {
		a.Send(e.rosterFrame())
	}
}

func (e *Entry) drop(l *link.Link) {
	if l.DialedAddress != "" {
		e.node.StopDialing(l.DialedAddress)
		delete(e.dialed, l.DialedAddress)
	}
	l.Close("another link to this entry is up")
}

func (e *Entry) onDown(ev link.Event) {
	inc := ev.Link.Peer.Incarnation
	if e.agents[inc] == ev.Link {
		delete(e.agents, inc)
		e.log.Info("link down", "peer", ev.Link.Peer.Name, "role", "agent", "error", errors.Details(ev.Err))
		e.core.AgentDisconnected(inc, e.clock.Now())
	}
	if p := e.peers[inc]; p != nil && p.link == ev.Link {
		delete(e.peers, inc)
		e.core.Entries = len(e.peers) + 1
		e.log.Info("link down", "peer", ev.Link.Peer.Name, "role", "entry", "error", errors.Details(ev.Err))
	}
}

func (e *Entry) dial(address string) {
	if address == "" || address == e.settings.Self.Address {
		return
	}
	if _, known := e.dialed[address]; !known {
		e.node.Dial(address)
	}
	e.dialed[address] = e.clock.Now()
}

func (e *Entry) linkedTo(address string) bool {
	for _, p := range e.peers {
		if p.link.DialedAddress == address || p.link.Peer.Address == address {
			return true
		}
	}
	return false
}

func (e *Entry) onFrame(l *link.Link, f *wire.Frame) {
	if l.Peer.Role != host.RoleAgent {
		e.onPeerFrame(l, f)
		return
	}
	inc := l.Peer.Incarnation
	now := e.clock.Now()
	if m := f.GetInventory(); m != nil {
		e.adopt(l, m, now)
		return
	}
	if e.agents[inc] != l {
		return
	}
	switch b := f.Body.(type) {
	case *wire.Frame_Room:
		e.core.UpdateWorker(e.reportOf(l.Peer, b.Room), now)
	case *wire.Frame_Ends:
		e.takeEnds(inc, b.Ends.GetEnds(), now)
	}
}

// adopt makes l the link of its agent and settles what the old one left open.
func (e *Entry) adopt(l *link.Link, m *wire.Inventory, now clock.Millis) {
	inc := l.Peer.Incarnation
	if old := e.agents[inc]; old != l {
		if old != nil {
			old.Close("replaced by a new link")
		}
		e.agents[inc] = l
		e.log.Info("link up", "peer", l.Peer.Name, "role", "agent")
	}
	e.core.AgentReplaced(inc, l.Peer.Name, now)
	e.takeEnds(inc, m.GetEnds(), now)
	held := map[jobs.TaskRef]int64{}
	for _, h := range m.GetHeld() {
		held[link.DecodeTaskRef(h.GetJob(), h.GetStep(), h.GetIndex())] = h.GetRun()
	}
	e.core.AgentReconnected(inc, held, now)
}

func (e *Entry) takeEnds(agent string, ends []*wire.TaskEnd, now clock.Millis) {
	for _, t := range ends {
		name := link.DecodeTaskRef(t.GetJob(), t.GetStep(), t.GetIndex())
		end := jobs.Outcome(t.GetEnd())
		e.metrics.ended(end)
		if end != jobs.OutcomeDone {
			e.log.Info("run ended", "job", t.GetJob(), "task", name.Task.String(), "run", t.GetRun(),
				"end", end.String(), "ran_ms", t.GetRanMs(), "agent", e.core.WorkerID(agent))
		}
		e.core.RunEnded(agent, name, t.GetRun(), end, clock.Millis(t.GetRanMs()), now)
	}
}

func (e *Entry) onPeerFrame(l *link.Link, f *wire.Frame) {
	p := e.peers[l.Peer.Incarnation]
	if p == nil || p.link != l {
		return
	}
	switch b := f.Body.(type) {
	case *wire.Frame_Pulse:
		p.version = b.Pulse.GetTermsVersion()
		p.waiting = b.Pulse.GetWaiting()
		if e.terms != nil && p.version < e.terms.Version {
			l.Send(termsFrame(e.terms))
		}
	case *wire.Frame_Terms:
		e.onTerms(termsOf(b.Terms), l.Peer.Name)
	case *wire.Frame_CancelJob:
		e.core.Cancel(jobs.ID(b.CancelJob.GetJob()), e.clock.Now())
	}
}

// pulse tells peers this entry's state over links that have carried nothing for a
// while: often from the end that keeps the link alive, the one that dialed. Agents that
// hold runs are told that this entry lives, since they renew the leases only then.
func (e *Entry) pulse() {
	now := time.Now()
	for _, p := range e.peers {
		every := peerStateMS
		if p.link.DialedAddress != "" {
			every = runner.KeepaliveMS
		}
		if now.Sub(p.link.LastSentAt) >= every.Duration() {
			p.link.Send(e.pulseFrame())
		}
	}
	for inc := range e.core.AgentsWithRuns() {
		if l := e.agents[inc]; l != nil && now.Sub(l.LastSentAt) >= agentPulseMS.Duration() {
			l.Send(&wire.Frame{Body: &wire.Frame_Pulse{Pulse: &wire.Pulse{}}})
		}
	}
}

func (e *Entry) pulseFrame() *wire.Frame {
	m := &wire.Pulse{}
	if e.terms != nil {
		m.TermsVersion = e.terms.Version
		for _, q := range e.terms.Queues {
			if n := e.core.Waiting(q.Name); n > 0 {
				if m.Waiting == nil {
					m.Waiting = map[string]int32{}
				}
				m.Waiting[q.Name] = int32(n)
			}
		}
	}
	return &wire.Frame{Body: &wire.Frame_Pulse{Pulse: m}}
}

func (e *Entry) rosterFrame() *wire.Frame {
	m := &wire.Roster{Entries: []*wire.Hello{link.EncodeHost(e.settings.Self)}}
	for _, p := range e.peers {
		m.Entries = append(m.Entries, link.EncodeHost(p.link.Peer))
	}
	return &wire.Frame{Body: &wire.Frame_Roster{Roster: m}}
}

// reportOf decodes a report, which leaves the worker out while it is the same.
func (e *Entry) reportOf(h host.Host, m *wire.Room) place.Report {
	w := place.Worker{
		Agent:        h.Incarnation,
		Host:         h.Name,
		Zone:         h.Location.Zone,
		ReportedFree: link.DecodeSize(m.GetFree()),
		Speed:        max(m.GetSpeed(), minSpeed),
		Probation:    m.GetTrial(),
		Stalled:      m.GetStalled(),
		Ejected:      m.GetResting(),
	}
	if told := m.GetWorker(); told != nil {
		w.ID, w.Fleet, w.Labels, w.Capacity = told.GetId(), told.GetFleet(), told.GetLabels(), link.DecodeSize(told.GetCapacity())
	} else if old := e.core.Workers[w.Agent]; old != nil {
		w.ID, w.Fleet, w.Labels, w.Capacity = old.ID, old.Fleet, old.Labels, old.Capacity
	}
	w.Closed = m.GetClosed() || w.ID == ""
	return place.Report{AckedLaunch: m.GetSeenLaunch(), Worker: w}
}

// minSpeed keeps predictions finite.
const minSpeed = 0.01

func launchFrame(a place.Launch) *wire.Frame {
	m := &wire.Launch{
		Number:     a.Number,
		Job:        string(a.Job),
		Payload:    a.Payload,
		Size:       link.EncodeSize(a.Size),
		ExpectedMs: int64(a.ExpectedMS),
		Rank:       a.LatestStart,
		Queue:      a.Queue,
	}
	for _, t := range a.Tasks {
		m.Tasks = append(m.Tasks, &wire.RunTask{Step: int32(t.ID.Step), Index: int32(t.ID.Index), Run: t.Run})
	}
	return &wire.Frame{Body: &wire.Frame_Launch{Launch: m}}
}

func haltFrame(a place.Stop) *wire.Frame {
	m := &wire.Halt{Job: string(a.Job)}
	for _, t := range a.Tasks {
		m.Tasks = append(m.Tasks, &wire.RunTask{Step: int32(t.Step), Index: int32(t.Index)})
	}
	return &wire.Frame{Body: &wire.Frame_Halt{Halt: m}}
}

func termsFrame(t *contr.Terms) *wire.Frame {
	m := &wire.Terms{
		Version:         t.Version,
		HeaderBytes:     int32(t.Limits.HeaderBytes),
		BodyBytes:       t.Limits.BodyBytes,
		HeaderTimeoutMs: int64(t.Limits.HeaderTimeoutMS),
		IdleTimeoutMs:   int64(t.Limits.IdleTimeoutMS),
	}
	for _, q := range t.Queues {
		m.Queues = append(m.Queues, &wire.Queue{
			Name: q.Name, Host: q.Host, Prefix: q.Prefix, Fleet: q.Fleet, Priority: int32(q.Priority),
			MaxAttempts: int32(q.MaxAttempts), Stretch: q.Stretch,
			SlackMs: int64(q.SlackMS), TimeoutMs: int64(q.TimeoutMS),
		})
	}
	for _, f := range t.Fleets {
		m.Fleets = append(m.Fleets, &wire.Fleet{Name: f.Name, MaxConnections: int32(f.MaxConnections), Guarded: f.Guarded})
	}
	return &wire.Frame{Body: &wire.Frame_Terms{Terms: m}}
}

func termsOf(m *wire.Terms) *contr.Terms {
	t := &contr.Terms{Version: m.GetVersion(), Limits: contr.HTTPLimits{
		HeaderBytes:     int(m.GetHeaderBytes()),
		BodyBytes:       m.GetBodyBytes(),
		HeaderTimeoutMS: clock.Millis(m.GetHeaderTimeoutMs()),
		IdleTimeoutMS:   clock.Millis(m.GetIdleTimeoutMs()),
	}}
	for _, q := range m.GetQueues() {
		t.Queues = append(t.Queues, contr.Queue{
			Name: q.GetName(), Host: q.GetHost(), Prefix: q.GetPrefix(), Fleet: q.GetFleet(),
			Priority: int(q.GetPriority()), MaxAttempts: int(q.GetMaxAttempts()), Stretch: q.GetStretch(),
			SlackMS: clock.Millis(q.GetSlackMs()), TimeoutMS: clock.Millis(q.GetTimeoutMs()),
		})
	}
	for _, f := range m.GetFleets() {
		t.Fleets = append(t.Fleets, contr.Fleet{Name: f.GetName(), MaxConnections: int(f.GetMaxConnections()), Guarded: f.GetGuarded()})
	}
	return t
}
