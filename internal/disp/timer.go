package disp

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/pqueue"
)

// timerType is what is due.
type timerType int

const (
	timerDeadline timerType = iota
	timerHedge
	timerForward
	timerFind
	timerParked
)

// timer is something due at a time. The field that belongs to its type is set.
type timer struct {
	kind   timerType
	work   *work
	ask    MessageID
	caller CallerID
	node   *pqueue.Node[*timer]
}

func (d *Dispatcher) setTimer(t *timer, at clock.Millis) *timer {
	t.node = &pqueue.Node[*timer]{Value: t}
	d.timers.Set(t.node, float64(at))
	return t
}

func (d *Dispatcher) stopTimer(t *timer) {
	if t != nil {
		d.timers.Remove(t.node)
	}
}

// NextWake returns when Wake must be called next, or zero for never.
func (d *Dispatcher) NextWake() clock.Millis {
	next := clock.Millis(0)
	if n := d.timers.Min(); n != nil {
		next = clock.Millis(n.Key)
	}
	if d.Queue.Len() == 0 {
		return next
	}
	if probe := d.Fleet.NextProbe(); probe > 0 && (next == 0 || probe < next) {
		next = probe
	}
	return next
}

// Wake does what is due.
func (d *Dispatcher) Wake(now clock.Millis) {
	for {
		n := d.timers.Min()
		if n == nil || clock.Millis(n.Key) > now {
			break
		}
		d.timers.Remove(n)
		d.fire(n.Value, now)
	}
	d.dispatch(now)
}

func (d *Dispatcher) fire(t *timer, now clock.Millis) {
	switch t.kind {
	case timerDeadline:
		d.deadline(t.work, now)
	case timerHedge:
		d.hedge(t.ask, now)
	case timerForward:
		d.forwardTimedOut(t.ask)
	case timerFind:
		d.findTimedOut(t.ask)
	case timerParked:
		d.parkedTimedOut(t.caller, now)
	}
}
