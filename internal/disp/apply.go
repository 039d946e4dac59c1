package disp

import (
	"strings"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
)

// ApplyGrant applies one grant record of the log. The record also counts as a heartbeat
// of the entry that wrote it; leaving reports that the entry is draining. Records that were
// already applied are ignored.
func (d *Dispatcher) ApplyGrant(offset int64, h host.Host, claims []grant.Claim, leaving bool, now clock.Millis) {
	if offset <= d.Ledger.Applied {
		return
	}
	d.Ledger.Apply(offset, h.Incarnation, claims)
	d.Roster.Observe(h, now)
	if leaving {
		d.Roster.SetLeaving(h.Incarnation)
	}
}

// GrantsApplied must be called after a batch of ApplyGrant calls. It resubmits the
// submissions whose key time has been granted, or can no longer be granted.
func (d *Dispatcher) GrantsApplied(now clock.Millis) {
	d.retryAwaitingGrant(now)
	d.dispatch(now)
}

// Claims returns the claims of key time that this incarnation should append to the log. They
// cover the ranges for which grant.Preferred selects it among the region's entries that are
// up.
func (d *Dispatcher) Claims(now clock.Millis) []grant.Claim {
	if !d.Ledger.Initialized || d.Draining {
		return nil
	}
	incarnations := []string{d.Self.Incarnation}
	for _, m := range d.Roster.Up(now) {
		if m.Host.Incarnation != d.Self.Incarnation && m.Host.Location.Region == d.Self.Location.Region {
			incarnations = append(incarnations, m.Host.Incarnation)
		}
	}
	var mine []grant.Range
	for r := grant.Range(0); r < grant.RangeCount; r++ {
		if grant.Preferred(r, incarnations) == d.Self.Incarnation {
			mine = append(mine, r)
		}
	}
	return d.Ledger.Propose(mine, now, now+d.GrantDurationMS)
}

// Expire removes keys, grants, entries and transferred answers that are no longer needed.
func (d *Dispatcher) Expire(now clock.Millis) {
	d.KeyTable.Expire(now)
	d.Ledger.Forget(now - 2*d.KeyLimits.Window)
	d.Roster.Expire(now)
	d.expireTransferred(now)
}

// ConfigChanged applies changes of contracts, of retired upstreams and hosts, and of drained
// zones. It must be called after Config has been updated with the changed documents.
func (d *Dispatcher) ConfigChanged(changed []contr.Document, now clock.Millis) {
	for _, doc := range changed {
		customer, isContract := strings.CutPrefix(doc.Name, contr.PrefixContract)
		if isContract {
			d.applyContract(customer, now)
		}
	}
	for id, state := range d.agents {
		d.updateLeaving(d.Fleet.Get(id), state)
	}
	d.refuseInDrainedZones(now)
	d.dispatch(now)
}

func (d *Dispatcher) applyContract(customer string, now clock.Millis) {
	c := d.Config.Contracts[customer]
	if c == nil {
		d.Queue.RemoveContract(customer)
		d.RateLimits.RemoveContract(customer)
		return
	}
	d.Queue.SetContract(c)
	d.RateLimits.SetContract(c, now)
}
