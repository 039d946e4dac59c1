package contr

import "strings"

// PrefixZone precedes the name of an availability zone in the name of the document that drains
// it. The text is the reason. While the document exists, nothing new is started on the upstreams
// of the zone, in all regions that have a zone of this name.
const PrefixZone = "zone/"

// Zone returns the zone that the document drains, or false if it is not a drain.
func (d Document) Zone() (string, bool) {
	return strings.CutPrefix(d.Name, PrefixZone)
}

// drainRejectReason returns the reason to reject the drain of a zone, or "" to accept it. The end
// of a drain is always accepted. Any zone that a host can be in can be drained, also one that no
// process knows: its hosts may start later.
func (cf *Config) drainRejectReason(zone string, a Amendment) string {
	if a.Deleted || cf.Drains.With(zone, true).Contains(zone) {
		return ""
	}
	return "the name of the zone is empty or too long, or too many zones are drained"
}

// setDrain updates the drained zones with a document, if it is a drain.
func (cf *Config) setDrain(d Document) {
	zone, isDrain := d.Zone()
	if !isDrain {
		return
	}
	cf.Drains = cf.Drains.With(zone, !d.Deleted)
	cf.Drains.Revision = max(cf.Drains.Revision, d.Version)
}
