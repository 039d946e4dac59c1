package entry

import (
	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

func (e *Entry) onLinkEvent(ev link.Event) {
	switch ev.Type {
	case link.Up:
		e.onLinkUp(ev.Link)
	case link.Received:
		e.onFrame(ev.Link, ev.Frame)
	case link.Down:
		e.onLinkDown(ev)
	}
}

// onLinkUp closes the link of a retired host. It sends an agent the roster and a heartbeat,
// and registers it at its first heartbeat; it registers another entry at once (see onEntryUp).
func (e *Entry) onLinkUp(l *link.Link) {
	if e.config.Retired(contr.PrefixHost, l.Peer.Name) {
		e.log.Warn("link refused", "peer", l.Peer.Name, "error", "its host is retired")
		l.Close("host retired")
		return
	}
	e.log.Info("link up", "peer", l.Peer.Name, "role", string(l.Peer.Role), "address", l.RemoteAddr().String())
	if l.Peer.Role == host.RoleAgent {
		l.Send(e.rosterFrame())
		l.Send(e.heartbeatFrame())
		return
	}
	e.onEntryUp(l)
}

// registerAgent makes l the link of its agent and closes an older link of the agent. It
// is called at the first heartbeat on a link and not when the link comes up: an agent
// that reaches this entry at two addresses keeps its first link and closes the second
// without a heartbeat.
func (e *Entry) registerAgent(l *link.Link, now clock.Millis) *agentLink {
	incarnation := l.Peer.Incarnation
	if old := e.agents[incarnation]; old != nil {
		old.link.Close("replaced by a new link")
		e.disp.RemoveAgent(incarnation, "replaced by a new link", now)
	}
	a := &agentLink{link: l, configVersion: contr.NoVersion}
	e.agents[incarnation] = a
	return a
}

// onEntryUp registers a link to another entry. If two entries dialed each other, it keeps
// only the link that the lower incarnation dialed. It closes a link of this entry to itself.
func (e *Entry) onEntryUp(l *link.Link) {
	incarnation := l.Peer.Incarnation
	if incarnation == e.settings.Self.Incarnation {
		e.node.StopDialing(l.DialedAddress)
		l.Close("a link to itself")
		return
	}
	old := e.linkedEntries[incarnation]
	if old != nil && !link.Preferred(l, e.settings.Self) {
		e.closeDuplicate(l)
		return
	}
	if old != nil {
		delete(e.linkedEntries, incarnation)
		e.closeDuplicate(old)
	}
	e.linkedEntries[incarnation] = l
	e.disp.SetEntryLinked(l.Peer, true, e.clock.Now())
	l.Send(e.heartbeatFrame())
	e.sendRoster()
}

// closeDuplicate closes a link to an entry that is also connected by another link.
func (e *Entry) closeDuplicate(l *link.Link) {
	if l.DialedAddress != "" {
		e.node.StopDialing(l.DialedAddress)
		delete(e.dialed, l.DialedAddress)
	}
	l.Close("another link to this entry is up")
}

func (e *Entry) onLinkDown(ev link.Event) {
	incarnation := ev.Link.Peer.Incarnation
	now := e.clock.Now()
	if a := e.agents[incarnation]; a != nil && a.link == ev.Link {
		delete(e.agents, incarnation)
		e.log.Info("link down", "peer", ev.Link.Peer.Name, "error", errors.Details(ev.Err))
		e.disp.RemoveAgent(incarnation, ev.Err.Error(), now)
	}
	if e.linkedEntries[incarnation] == ev.Link {
		delete(e.linkedEntries, incarnation)
		delete(e.entryStates, incarnation)
		e.log.Info("link down", "peer", ev.Link.Peer.Name, "error", errors.Details(ev.Err))
		e.disp.SetEntryLinked(ev.Link.Peer, false, now)
	}
}

// dial starts to dial another entry, unless it is already being dialed. The node
// reconnects until StopDialing is called.
func (e *Entry) dial(address string) {
	if address == "" || address == e.settings.Self.Address || e.dialed[address] {
		return
	}
	e.dialed[address] = true
	e.node.Dial(address)
}

// updateDials dials the entries that the log lists in this entry's region, unless they are
// linked, and stops dialing addresses that are neither listed nor seeds.
func (e *Entry) updateDials(now clock.Millis) {
	wanted := map[string]bool{}
	for _, s := range e.settings.Seeds {
		wanted[s] = true
	}
	for _, m := range e.disp.Roster.Up(now) {
		wanted[m.Host.Address] = true
		if m.Host.Location.Region == e.settings.Self.Location.Region && e.linkedEntries[m.Host.Incarnation] == nil {
			e.dial(m.Host.Address)
		}
	}
	for address := range e.dialed {
		if !wanted[address] {
			delete(e.dialed, address)
			e.node.StopDialing(address)
		}
	}
}

// onFrame processes a frame. Frames from an agent are ignored until a heartbeat has registered
// the link.
func (e *Entry) onFrame(l *link.Link, f *wire.Frame) {
	if l.Peer.Role != host.RoleAgent {
		e.onEntryFrame(l, f)
		return
	}
	a := e.agents[l.Peer.Incarnation]
	if (a == nil || a.link != l) && f.GetHeartbeat() != nil {
		a = e.registerAgent(l, e.clock.Now())
	}
	if a != nil && a.link == l {
		e.onAgentFrame(a, f)
	}
}

func (e *Entry) onAgentFrame(a *agentLink, f *wire.Frame) {
	now := e.clock.Now()
	incarnation := a.link.Peer.Incarnation
	switch b := f.Body.(type) {
	case *wire.Frame_Done:
		e.disp.HandleOutcome(incarnation, disp.MessageID(b.Done.GetAsk()), decodeOutcome(b.Done), now)
	case *wire.Frame_Found:
		e.disp.HandleFound(incarnation, disp.MessageID(b.Found.GetAsk()), decodeFound(b.Found))
	case *wire.Frame_Heartbeat:
		a.configVersion = b.Heartbeat.GetConfigVersion()
		if b.Heartbeat.GetUpstream() != nil {
			e.disp.SetAgent(decodeAgentState(a.link.Peer, b.Heartbeat), now)
		} else {
			e.disp.SetAgentLoad(incarnation, decodeLoad(b.Heartbeat.GetLoad()), now)
		}
		e.sendConfig(a.link, a.configVersion)
	}
}

// sendConfig sends the documents that changed since version, if the process at the other
// end of the link is behind.
func (e *Entry) sendConfig(l *link.Link, version int64) {
	if version >= e.config.Version {
		return
	}
	l.Send(configFrame(e.config.Version, e.config.ChangedSince(version)))
}

func (e *Entry) onEntryFrame(l *link.Link, f *wire.Frame) {
	now := e.clock.Now()
	switch b := f.Body.(type) {
	case *wire.Frame_Submit:
		c := e.addCaller(destination{link: l, messageID: b.Submit.GetAsk()})
		e.disp.Submit(decodeSubmission(b.Submit, c, now), now)
	case *wire.Frame_Withdraw:
		e.onWithdraw(l, b.Withdraw.GetAsk(), now)
	case *wire.Frame_Answered:
		e.disp.HandleAnswer(disp.MessageID(b.Answered.GetAsk()), decodeAnswer(b.Answered.GetAnswer()))
	case *wire.Frame_Handover:
		e.disp.HandleStateTransfer(decodeStateTransfer(b.Handover), now)
	case *wire.Frame_Config:
		e.onEntryConfig(b.Config, now)
	case *wire.Frame_Heartbeat:
		e.disp.HandleEntryHeartbeat(l.Peer, now)
		if b.Heartbeat.GetDraining() {
			e.disp.SetEntryLeaving(l.Peer.Incarnation)
		}
		e.entryStates[l.Peer.Incarnation] = entryState{Name: l.Peer.Name, ConfigVersion: b.Heartbeat.GetConfigVersion()}
		e.sendConfig(l, b.Heartbeat.GetConfigVersion())
	}
}

// onWithdraw abandons the submission that another entry forwarded with messageID, since its
// caller has disconnected.
func (e *Entry) onWithdraw(l *link.Link, messageID uint64, now clock.Millis) {
	for c, d := range e.destinations {
		if d.link == l && d.messageID == messageID {
			delete(e.destinations, c)
			e.disp.CallerDisconnected(c, now)
			return
		}
	}
}

// onEntryConfig applies a newer configuration from another entry, so that changes
// reach this entry while it can't read the log.
func (e *Entry) onEntryConfig(m *wire.Config, now clock.Millis) {
	changed := contr.DecodeDocuments(m)
	if e.config.Advance(m.GetVersion(), changed) {
		e.configChanged(changed, now)
	}
}

// configChanged puts changed documents into force: it updates the dispatcher and the
// readiness, and sends the documents to the agents that lack them.
func (e *Entry) configChanged(changed []contr.Document, now clock.Millis) {
	e.disp.ConfigChanged(changed, now)
	e.callers.setReady(e.phase == phaseServing)
	e.log.Info("configuration in force", "version", e.config.Version, "changed", len(changed))
	e.logDrains(changed)
	for _, a := range e.agents {
		e.sendConfig(a.link, a.configVersion)
		a.configVersion = max(a.configVersion, e.config.Version)
	}
	e.sendHeartbeats()
}

// sendHeartbeats sends a heartbeat with this entry's state to all linked agents and entries.
func (e *Entry) sendHeartbeats() {
	f := e.heartbeatFrame()
	for _, a := range e.agents {
		a.link.Send(f)
	}
	for _, l := range e.linkedEntries {
		l.Send(f)
	}
}

// sendRoster sends the list of entries to all agents.
func (e *Entry) sendRoster() {
	f := e.rosterFrame()
	for _, a := range e.agents {
		a.link.Send(f)
	}
}

func (e *Entry) sendToAgent(incarnation string, f *wire.Frame) {
	if a := e.agents[incarnation]; a != nil {
		a.link.Send(f)
	}
}

func (e *Entry) sendToEntry(incarnation string, f *wire.Frame) {
	if l := e.linkedEntries[incarnation]; l != nil {
		l.Send(f)
	}
}
