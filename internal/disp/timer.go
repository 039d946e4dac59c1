package disp

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/pqueue"
)

// timerKind selects what happens when a timer expires.
type timerKind int

const (
	timerDeadline timerKind = iota
	timerHedge
	timerForward
	timerSearch
	timerGrantWait
)

// timer is a pending timer. Exactly one of execution, messageID and caller is set,
// depending on kind.
type timer struct {
	kind      timerKind
	execution *execution
	messageID MessageID
	caller    CallerID
	node      *pqueue.Node[*timer]
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

// NextWake returns the time at which Wake must be called next, or zero if there is none.
// While tasks are queued, that may be the end of an ejection, when a probe can start.
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

// Wake handles all timers that have expired.
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
		d.deadlinePassed(t.execution, now)
	case timerHedge:
		d.hedge(t.messageID, now)
	case timerForward:
		d.forwardTimedOut(t.messageID)
	case timerSearch:
		d.searchTimedOut(t.messageID)
	case timerGrantWait:
		d.grantWaitTimedOut(t.caller, now)
	}
}
