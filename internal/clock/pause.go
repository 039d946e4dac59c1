package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// PauseDetector notices that the process stood still: a suspended machine's steady
// clock stops while its boot-time clock goes on, and a process that is not scheduled
// sees its own loop resume late.
type PauseDetector struct {
	// Threshold is the longest pause that changes nothing.
	Threshold Millis
	// MaxInterval is the longest time between two calls of a process that is scheduled.
	MaxInterval Millis
	steady      time.Time
	boot        Millis
}

// NewPauseDetector returns a watch that starts now.
func NewPauseDetector(limit, every Millis) *PauseDetector {
	return &PauseDetector{Threshold: limit, MaxInterval: every, steady: time.Now(), boot: bootTime()}
}

// Paused returns how long the process stood still since the last call, if that is
// above the limit, or else zero.
func (p *PauseDetector) Paused() Millis {
	now, boot := time.Now(), bootTime()
	steady := FromDuration(now.Sub(p.steady))
	suspended := (boot - p.boot) - steady
	p.steady, p.boot = now, boot
	return p.pauseOf(steady, suspended)
}

// pauseOf returns the pause that shows in both clocks, if it is above the limit.
func (p *PauseDetector) pauseOf(steady, suspended Millis) Millis {
	pause := suspended + max(steady-p.MaxInterval, 0)
	if pause <= p.Threshold {
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
