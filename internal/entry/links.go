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
	if e.config.Retired(contr.PrefixHost, l.Peer.Name) {
		e.log.Warn("link refused", "peer", l.Peer.Name, "error", "its host is retired")
		l.Close("host retired")
		return
	}
	e.log.Info("link up", "peer", l.Peer.Name, "role", string(l.Peer.Role), "address", l.RemoteAddr().String())
	if l.Peer.Role == host.RoleAgent {
		l.Send(e.rosterFrame())
		l.Send(e.heartbeat())
		return
	}
	e.onPeerUp(l)
}

// adopt takes a link for an agent's at its first heartbeat, in place of an older
// one. Not before: an agent that reached this entry by two addresses keeps its first
// link and closes the second without a heartbeat.
func (e *Entry) adopt(l *link.Link, now clock.Millis) *agentLink {
	inc := l.Peer.Incarnation
	if old := e.agents[inc]; old != nil {
		old.link.Close("replaced by a new link")
		e.disp.RemoveAgent(inc, "replaced by a new link", now)
	}
	a := &agentLink{link: l, configVersion: contr.NoVersion}
	e.agents[inc] = a
	return a
}

// onPeerUp keeps one link between two entries that dialed each other: the one
// dialed by the lower incarnation.
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
		delete(e.peers, inc)
		e.drop(old)
	}
	e.peers[inc] = l
	e.disp.SetEntryLinked(l.Peer, true, e.clock.Now())
	l.Send(e.heartbeat())
	e.sendRoster()
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
	now := e.clock.Now()
	if a := e.agents[inc]; a != nil && a.link == ev.Link {
		delete(e.agents, inc)
		e.log.Info("link down", "peer", ev.Link.Peer.Name, "error", errors.Details(ev.Err))
		e.disp.RemoveAgent(inc, ev.Err.Error(), now)
	}
	if e.peers[inc] == ev.Link {
		delete(e.peers, inc)
		delete(e.peerState, inc)
		e.log.Info("link down", "peer", ev.Link.Peer.Name, "error", errors.Details(ev.Err))
		e.disp.SetEntryLinked(ev.Link.Peer, false, now)
	}
}

// dial keeps a link to another entry up.
func (e *Entry) dial(address string) {
	if address == "" || address == e.settings.Self.Address || e.dialed[address] {
		return
	}
	e.dialed[address] = true
	e.node.Dial(address)
}

// dialRoster links this entry with all that the log shows in its region, and stops
// dialing those that are gone.
func (e *Entry) dialRoster(now clock.Millis) {
	known := map[string]bool{}
	for _, s := range e.settings.Seeds {
		known[s] = true
	}
	for _, m := range e.disp.Roster.Up(now) {
		known[m.Host.Address] = true
		if m.Host.Location.Region == e.settings.Self.Location.Region && e.peers[m.Host.Incarnation] == nil {
			e.dial(m.Host.Address)
		}
	}
	for address := range e.dialed {
		if !known[address] {
			delete(e.dialed, address)
			e.node.StopDialing(address)
		}
	}
}

func (e *Entry) onFrame(l *link.Link, f *wire.Frame) {
	if l.Peer.Role != host.RoleAgent {
		e.onPeerFrame(l, f)
		return
	}
	a := e.agents[l.Peer.Incarnation]
	if (a == nil || a.link != l) && f.GetHeartbeat() != nil {
		a = e.adopt(l, e.clock.Now())
	}
	if a != nil && a.link == l {
		e.onAgentFrame(a, f)
	}
}

func (e *Entry) onAgentFrame(a *agentLink, f *wire.Frame) {
	now := e.clock.Now()
	inc := a.link.Peer.Incarnation
	switch b := f.Body.(type) {
	case *wire.Frame_Done:
		e.disp.HandleOutcome(inc, disp.MessageID(b.Done.GetAsk()), outcomeOf(b.Done), now)
	case *wire.Frame_Found:
		e.disp.HandleFound(inc, disp.MessageID(b.Found.GetAsk()), foundOf(b.Found))
	case *wire.Frame_Heartbeat:
		a.configVersion = b.Heartbeat.GetConfigVersion()
		if b.Heartbeat.GetUpstream() != nil {
			e.disp.SetAgent(agentStateOf(a.link.Peer, b.Heartbeat), now)
		} else {
			e.disp.SetAgentLoad(inc, loadOf(b.Heartbeat.GetLoad()), now)
		}
		e.sendConfig(a.link, a.configVersion)
	}
}

// sendConfig sends what changed to a process that is behind.
func (e *Entry) sendConfig(l *link.Link, version int64) {
	if version >= e.config.Version {
		return
	}
	l.Send(configFrame(e.config.Version, e.config.ChangedSince(version)))
}

func (e *Entry) onPeerFrame(l *link.Link, f *wire.Frame) {
	now := e.clock.Now()
	switch b := f.Body.(type) {
	case *wire.Frame_Submit:
		c := e.newCaller(destination{link: l, ask: b.Submit.GetAsk()})
		e.disp.Submit(submissionOf(b.Submit, c, now), now)
	case *wire.Frame_Withdraw:
		e.withdrawn(l, b.Withdraw.GetAsk(), now)
	case *wire.Frame_Answered:
		e.disp.HandleAnswer(disp.MessageID(b.Answered.GetAsk()), answerOf(b.Answered.GetAnswer()))
	case *wire.Frame_Handover:
		e.disp.HandleStateTransfer(handoverOf(b.Handover), now)
	case *wire.Frame_Config:
		e.onPeerConfig(b.Config, now)
	case *wire.Frame_Heartbeat:
		e.disp.HandleEntryHeartbeat(l.Peer, now)
		if b.Heartbeat.GetDraining() {
			e.disp.SetEntryLeaving(l.Peer.Incarnation)
		}
		e.peerState[l.Peer.Incarnation] = peerState{Name: l.Peer.Name, ConfigVersion: b.Heartbeat.GetConfigVersion()}
		e.sendConfig(l, b.Heartbeat.GetConfigVersion())
	}
}

func (e *Entry) withdrawn(l *link.Link, ask uint64, now clock.Millis) {
	for c, d := range e.waiting {
		if d.link == l && d.ask == ask {
			delete(e.waiting, c)
			e.disp.CallerDisconnected(c, now)
			return
		}
	}
}

// onPeerConfig takes a newer configuration from a peer, for the time that the log
// can't be read.
func (e *Entry) onPeerConfig(m *wire.Config, now clock.Millis) {
	changed := contr.DecodeDocuments(m)
	if e.config.Advance(m.GetVersion(), changed) {
		e.configChanged(changed, now)
	}
}

func (e *Entry) configChanged(changed []contr.Document, now clock.Millis) {
	e.disp.ConfigChanged(changed, now)
	e.callers.setReady(e.phase == phaseServing)
	e.log.Info("configuration in force", "version", e.config.Version, "changed", len(changed))
	for _, a := range e.agents {
		e.sendConfig(a.link, a.configVersion)
		a.configVersion = max(a.configVersion, e.config.Version)
	}
	e.beat()
}

// beat tells every neighbour this entry's state.
func (e *Entry) beat() {
	f := e.heartbeat()
	for _, a := range e.agents {
		a.link.Send(f)
	}
	for _, l := range e.peers {
		l.Send(f)
	}
}

func (e *Entry) sendRoster() {
	f := e.rosterFrame()
	for _, a := range e.agents {
		a.link.Send(f)
	}
}

func (e *Entry) sendAgent(incarnation string, f *wire.Frame) {
	if a := e.agents[incarnation]; a != nil {
		a.link.Send(f)
	}
}

func (e *Entry) sendPeer(incarnation string, f *wire.Frame) {
	if l := e.peers[incarnation]; l != nil {
		l.Send(f)
	}
}
