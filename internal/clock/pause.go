package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// PauseWatch notices that the process stood still: a suspended machine's steady
// clock stops while its boot-time clock goes on, and a process that is not scheduled
// sees its own loop resume late.
type PauseWatch struct {
	// Limit is the longest pause that changes nothing.
	Limit Millis
	// Every is the longest time between two calls of a process that is scheduled.
	Every  Millis
	steady time.Time
	boot   Millis
}

// NewPauseWatch returns a watch that starts now.
func NewPauseWatch(limit, every Millis) *PauseWatch {
	return &PauseWatch{Limit: limit, Every: every, steady: time.Now(), boot: bootTime()}
}

// Paused returns how long the process stood still since the last call, if that is
// above the limit, or else zero.
func (p *PauseWatch) Paused() Millis {
	now, boot := time.Now(), bootTime()
	steady := FromDuration(now.Sub(p.steady))
	suspended := (boot - p.boot) - steady
	p.steady, p.boot = now, boot
	return p.pauseOf(steady, suspended)
}

// pauseOf returns the pause that shows in both clocks, if it is above the limit.
func (p *PauseWatch) pauseOf(steady, suspended Millis) Millis {
	pause := suspended + max(steady-p.Every, 0)
	if pause <= p.Limit {
		return 0
	}
	return pause
}

// bootTime returns the time since boot, with the time spent suspended.
func bootTime() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}
