package slot

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// zoneDrainedReason is the detail of tasks that are not started in a drained zone.
const zoneDrainedReason = "the upstream's zone is drained"

// SetZoneDrained records whether the zone of the upstream is drained. While it is, no task is
// started: queued and new tasks are completed as not run, even if their entry does not know of
// the drain yet. Running tasks continue.
func (p *Pool) SetZoneDrained(drained bool, now clock.Millis) {
	if drained == p.ZoneDrained {
		return
	}
	p.ZoneDrained = drained
	if drained {
		p.returnQueued(zoneDrainedReason, now)
	}
}

// Closed reports whether the pool starts no tasks because it is leaving or its zone is drained.
func (p *Pool) Closed() bool {
	return p.Leaving || p.ZoneDrained
}
