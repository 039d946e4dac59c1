package sched

import (
	"math"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/runner"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

func (e *Entry) onLinkEvent(ev link.Event) {
	switch ev.Type {
	case link.Up:
		e.onLinkUp(ev.Link)
	case link.Received:
		ev.Link.Observe(ev.Frame)
		e.onFrame(ev.Link, ev.Frame)
	case link.Down:
		e.onLinkDown(ev)
	}
}

func (e *Entry) onLinkUp(l *link.Link) {
	if l.Peer.Role == host.RoleAgent {
		// The link comes into use when the agent's inventory, its first frame, arrives:
		// an agent that reached this entry by two addresses closes the second link.
		l.Send(e.rosterFrame())
		return
	}
	e.onEntryUp(l)
}

// onEntryUp registers the link of another entry. If two entries dialed each other, it keeps
// only one of the links.
func (e *Entry) onEntryUp(l *link.Link) {
	incarnation := l.Peer.Incarnation
	if incarnation == e.settings.Self.Incarnation {
		e.node.StopDialing(l.DialedAddress)
		e.selector.Remove(l.DialedAddress)
		l.Close("a link to itself")
		return
	}
	old := e.linkedEntries[incarnation]
	if old != nil && !link.Preferred(l, e.settings.Self) {
		e.closeDuplicate(l)
		return
	}
	if old != nil {
		e.closeDuplicate(old.link)
	}
	e.linkedEntries[incarnation] = &linkedEntry{link: l}
	e.rosterChanged = true
	e.log.Info("link up", "peer", l.Peer.Name, "role", string(l.Peer.Role), "incarnation", incarnation)
	e.sendDrains(l)
	l.Send(e.entryStateFrame())
}

// sendRoster tells the agents of changes among the linked entries. Changes that follow each
// other, such as at the start of all entries, are sent together.
func (e *Entry) sendRoster(now clock.Millis) {
	if !e.rosterChanged || now-e.rosterSentAt < rosterIntervalMS {
		return
	}
	e.rosterChanged, e.rosterSentAt = false, now
	f := e.rosterFrame()
	for _, a := range e.agents {
		a.Send(f)
	}
}

// closeDuplicate closes a link to an entry that is also connected by another link.
func (e *Entry) closeDuplicate(l *link.Link) {
	if l.DialedAddress != "" {
		e.node.StopDialing(l.DialedAddress)
		e.selector.DialStopped(l.DialedAddress)
	}
	l.Close("another link to this entry is up")
}

func (e *Entry) onLinkDown(ev link.Event) {
	incarnation := ev.Link.Peer.Incarnation
	if e.agents[incarnation] == ev.Link {
		delete(e.agents, incarnation)
		e.log.Info("link down", "peer", ev.Link.Peer.Name, "role", "agent", "incarnation", incarnation,
			"runs", e.agentRuns(incarnation), "report_age_ms", e.reportAge(incarnation), "error", errors.Details(ev.Err))
		e.scheduler.AgentDisconnected(incarnation, e.clock.Now())
	}
	if other := e.linkedEntries[incarnation]; other != nil && other.link == ev.Link {
		delete(e.linkedEntries, incarnation)
		e.log.Info("link down", "peer", ev.Link.Peer.Name, "role", "entry", "error", errors.Details(ev.Err))
	}
}

// addListed records that an entry's address is listed now. It ignores this entry's own.
func (e *Entry) addListed(address string, now clock.Millis) {
	if address != e.settings.Self.Address {
		e.selector.Add(address, now)
	}
}

// updateDials starts and stops dialing entries as the selector decides.
func (e *Entry) updateDials(now clock.Millis) {
	e.selectedAt = now
	linked := map[string]bool{}
	for _, other := range e.linkedEntries {
		linked[other.link.Peer.Address] = true
	}
	selection := e.selector.Select(linked, now)
	for _, address := range selection.Dial {
		if address != e.settings.Self.Address {
			e.node.Dial(address)
		}
	}
	for _, address := range append(selection.StopDialing, selection.Excess...) {
		e.node.StopDialing(address)
		e.selector.DialStopped(address)
	}
	// Each worker is shared by the entries that its agent links to.
	e.scheduler.Entries = min(e.entryCount(), runner.MaxLinks)
}

// entryCount returns the number of entries that are listed or linked, including this one.
func (e *Entry) entryCount() int {
	return 1 + max(e.selector.Known(), len(e.linkedEntries))
}

func (e *Entry) onFrame(l *link.Link, f *wire.Frame) {
	if l.Peer.Role != host.RoleAgent {
		e.onEntryFrame(l, f)
		return
	}
	incarnation := l.Peer.Incarnation
	now := e.clock.Now()
	if m := f.GetInventory(); m != nil {
		e.onInventory(l, m, now)
		return
	}
	if e.agents[incarnation] != l {
		return // the link's inventory has not arrived, or a new link has replaced it
	}
	switch b := f.Body.(type) {
	case *wire.Frame_Room:
		report := e.decodeReport(l.Peer, b.Room)
		if !report.Worker.Capacity.Valid() {
			e.log.Warn("invalid report from an agent; link closed", "peer", l.Peer.Name)
			l.Close("invalid report")
			return
		}
		e.scheduler.UpdateWorker(report, now)
		e.confirmContact(incarnation, l)
	case *wire.Frame_Ends:
		e.onRunEnds(incarnation, b.Ends.GetEnds(), now)
	}
}

// onInventory makes l the current link of its agent and resolves the runs whose state has
// been unknown since the previous link ended.
func (e *Entry) onInventory(l *link.Link, m *wire.Inventory, now clock.Millis) {
	incarnation := l.Peer.Incarnation
	if old := e.agents[incarnation]; old != l {
		if old != nil {
			old.Close("replaced by a new link")
			e.scheduler.AgentDisconnected(incarnation, now)
		}
		e.closeLinksOfReplaced(l)
		e.agents[incarnation] = l
		e.sendDrains(l)
		e.log.Info("link up", "peer", l.Peer.Name, "role", "agent", "incarnation", incarnation,
			"earlier", e.earlierAgent(incarnation, l.Peer.Name), "held", len(m.GetHeld()), "ends", len(m.GetEnds()))
	}
	e.scheduler.ReplaceOldAgents(incarnation, l.Peer.Name, now)
	e.onRunEnds(incarnation, m.GetEnds(), now)
	held, unclaimed := map[jobs.TaskRef]int64{}, map[jobs.TaskRef]int64{}
	for _, h := range m.GetHeld() {
		ref := link.DecodeTaskRef(h.GetJob(), h.GetStep(), h.GetIndex())
		if h.GetUnclaimed() {
			unclaimed[ref] = h.GetRun()
		} else {
			held[ref] = h.GetRun()
		}
	}
	e.scheduler.AgentConnected(incarnation, held, unclaimed, now)
	e.confirmContact(incarnation, l)
}

// closeLinksOfReplaced closes the links to earlier processes of an agent: what still arrives from
// them is out of date.
func (e *Entry) closeLinksOfReplaced(l *link.Link) {
	for incarnation, old := range e.agents {
		if old.Peer.Name == l.Peer.Name && incarnation != l.Peer.Incarnation {
			old.Close("replaced by a new process")
			delete(e.agents, incarnation)
		}
	}
}

// confirmContact answers a frame of an agent that holds runs, unless something was sent on the
// link a moment ago: the agent renews the leases of this entry's runs only while frames from this
// entry echo recent ones of its own.
func (e *Entry) confirmContact(agent string, l *link.Link) {
	if time.Since(l.LastSentAt) >= minConfirmMS.Duration() && e.scheduler.HoldsRuns(agent) {
		l.Send(&wire.Frame{Body: &wire.Frame_Pulse{Pulse: &wire.Pulse{}}})
	}
}

// onRunEnds decodes the ends of runs that an agent reports and passes them to the scheduler.
// agent is the agent's incarnation.
func (e *Entry) onRunEnds(agent string, ends []*wire.TaskEnd, now clock.Millis) {
	for _, t := range ends {
		ref := link.DecodeTaskRef(t.GetJob(), t.GetStep(), t.GetIndex())
		outcome := jobs.Outcome(t.GetEnd())
		e.metrics.recordRunEnd(outcome)
		if outcome != jobs.OutcomeDone {
			// The log field "agent" holds the ID of the agent's worker.
			e.log.Info("run ended", "job", t.GetJob(), "task", ref.Task.String(), "run", t.GetRun(),
				"end", outcome.String(), "ran_ms", t.GetRanMs(), "agent", e.scheduler.WorkerID(agent))
		}
		e.logStaleEnd(agent, ref, t.GetRun(), outcome)
		e.scheduler.RunEnded(agent, ref, t.GetRun(), outcome, clock.Millis(t.GetRanMs()), now)
	}
}

// onEntryFrame handles a frame from another entry. It ignores frames from links that have
// been replaced.
func (e *Entry) onEntryFrame(l *link.Link, f *wire.Frame) {
	other := e.linkedEntries[l.Peer.Incarnation]
	if other == nil || other.link != l {
		return
	}
	switch b := f.Body.(type) {
	case *wire.Frame_Pulse:
		e.onEntryState(other, b.Pulse)
	case *wire.Frame_Terms:
		terms := decodeTerms(b.Terms)
		if err := terms.Check(); err != nil {
			e.log.Warn("invalid configuration from another entry ignored", "peer", l.Peer.Name, "error", err.Error())
			return
		}
		e.onTerms(terms, l.Peer.Name)
	case *wire.Frame_CancelJob:
		e.onCancels(other, b.CancelJob)
	case *wire.Frame_ZoneDrains:
		e.onDrainsFrame(other, b.ZoneDrains)
	}
}

// sendKeepalives sends frames on links on which this entry sent nothing for a while.
// Linked entries receive this entry's state. Agents that hold runs receive an empty frame,
// since they renew the leases of this entry's runs only while it echoes their frames.
func (e *Entry) sendKeepalives() {
	now := time.Now()
	for _, other := range e.linkedEntries {
		if now.Sub(other.link.LastSentAt) >= entryStateIntervalMS.Duration() {
			e.sendState(other)
		}
	}
	for incarnation := range e.scheduler.AgentsWithRuns() {
		if l := e.agents[incarnation]; l != nil && now.Sub(l.LastSentAt) >= agentKeepaliveMS.Duration() {
			l.Send(&wire.Frame{Body: &wire.Frame_Pulse{Pulse: &wire.Pulse{}}})
		}
	}
}

// sendState sends this entry's state to another entry.
func (e *Entry) sendState(other *linkedEntry) {
	f := e.entryStateFrame()
	f.GetPulse().CancelsHandled = other.cancelsHandled
	other.link.Send(f)
}

// entryStateFrame returns the state that this entry sends to other entries: its number of
// unstarted jobs by queue and its configuration version.
func (e *Entry) entryStateFrame() *wire.Frame {
	m := &wire.Pulse{Waiting: e.scheduler.UnstartedByQueue()}
	if e.terms != nil {
		m.TermsVersion = e.terms.Version
	}
	return &wire.Frame{Body: &wire.Frame_Pulse{Pulse: m}}
}

// rosterFrame returns the list of entries that agents receive: this entry and the entries
// linked to it.
func (e *Entry) rosterFrame() *wire.Frame {
	m := &wire.Roster{Entries: []*wire.Hello{link.EncodeHost(e.settings.Self)}}
	for _, other := range e.linkedEntries {
		m.Entries = append(m.Entries, link.EncodeHost(other.link.Peer))
	}
	return &wire.Frame{Body: &wire.Frame_Roster{Roster: m}}
}

// decodeReport decodes an agent's report. If the report omits the description of the
// worker because it has not changed, the description is copied from the known worker.
func (e *Entry) decodeReport(agent host.Host, m *wire.Room) place.Report {
	w := place.Worker{
		Agent:        agent.Incarnation,
		Host:         agent.Name,
		Zone:         agent.Location.Zone,
		ReportedFree: link.DecodeSize(m.GetFree()),
		Speed:        speedWithinLimits(m.GetSpeed()),
		Probation:    m.GetTrial(),
		Stalled:      m.GetStalled(),
		Ejected:      m.GetResting(),
		Releases:     decodeReleases(m.GetReleases(), e.clock.Now()),
	}
	if reported := m.GetWorker(); reported != nil {
		w.ID, w.Fleet, w.Labels, w.Capacity = reported.GetId(), reported.GetFleet(), reported.GetLabels(), link.DecodeSize(reported.GetCapacity())
		w.Revision = reported.GetRevision()
	} else if previous := e.scheduler.Workers[w.Agent]; previous != nil {
		w.ID, w.Fleet, w.Labels, w.Capacity, w.Revision = previous.ID, previous.Fleet, previous.Labels, previous.Capacity, previous.Revision
	}
	// An agent that knows no worker yet sends a report without a description.
	w.Closed = m.GetClosed() || w.ID == ""
	return place.Report{AckedLaunch: m.GetSeenLaunch(), Worker: w}
}

// minSpeed and maxSpeed are the limits of the speeds that decodeReport returns. A report
// without a speed has speed 0, with which predicted run times would be infinite.
const (
	minSpeed = 0.01
	maxSpeed = 100
)

// speedWithinLimits returns the valid speed that is nearest to v, or minSpeed if v is not a
// number.
func speedWithinLimits(v float64) float64 {
	if math.IsNaN(v) {
		return minSpeed
	}
	return min(max(v, minSpeed), maxSpeed)
}

func launchFrame(a place.Launch, now clock.Millis) *wire.Frame {
	m := &wire.Launch{
		Number:     a.Number,
		Job:        string(a.Job),
		Payload:    a.Payload,
		Size:       link.EncodeSize(a.Size),
		ExpectedMs: int64(a.ExpectedMS),
		Rank:       a.LatestStart,
		SlackMs:    proto.Int64(a.LatestStart - int64(now)),
		Queue:      a.Queue,
		HoldMs:     int64(a.HoldMS),
		Revision:   a.Revision,
		Claim:      a.Claim,
	}
	for _, t := range a.Tasks {
		m.Tasks = append(m.Tasks, &wire.RunTask{Step: int32(t.ID.Step), Index: int32(t.ID.Index), Run: t.Run})
	}
	return &wire.Frame{Body: &wire.Frame_Launch{Launch: m}}
}

func stopFrame(a place.Stop) *wire.Frame {
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

func decodeTerms(m *wire.Terms) *contr.Terms {
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
