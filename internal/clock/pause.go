package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// PauseDetector detects that the process was paused. If the machine was suspended, its
// monotonic clock stopped while its boot-time clock continued. If the process was not
// scheduled, the loop that calls Paused resumes late.
type PauseDetector struct {
	// Threshold is the longest pause that is not reported.
	Threshold Millis
	// MaxInterval is the longest time between two calls of Paused while the process is
	// scheduled.
	MaxInterval Millis
	// lastTime and lastBootTime are the readings of the two clocks when both were last read.
	lastTime     time.Time
	lastBootTime Millis
	// lastCall is the time of the last call of Paused.
	lastCall time.Time
}

const (
	// bootTimeIntervalMS is the interval at which the boot-time clock is read in any case.
	// Reading it takes a system call.
	bootTimeIntervalMS Millis = 40
	// wallClockToleranceMS is the difference between the advances of the wall clock and the
	// monotonic clock above which the boot-time clock is read.
	wallClockToleranceMS Millis = 10
)

// NewPauseDetector returns a detector that measures pauses from now on.
func NewPauseDetector(threshold, maxInterval Millis) *PauseDetector {
	now := time.Now()
	return &PauseDetector{Threshold: threshold, MaxInterval: maxInterval, lastTime: now, lastCall: now, lastBootTime: bootTime()}
}

// Paused returns how long the process was paused since the last call, or zero if that is not
// above the threshold.
func (d *PauseDetector) Paused() Millis {
	now := time.Now()
	elapsed := FromDuration(now.Sub(d.lastCall))
	d.lastCall = now
	if !d.bootTimeDue(now) {
		return d.pauseAboveThreshold(elapsed, 0)
	}
	boot := bootTime()
	suspended := (boot - d.lastBootTime) - FromDuration(now.Sub(d.lastTime))
	d.lastTime, d.lastBootTime = now, boot
	return d.pauseAboveThreshold(elapsed, suspended)
}

// bootTimeDue reports whether the boot-time clock has to be read. Most calls follow the last
// reading so soon, with the wall clock in step with the monotonic one, that the machine was
// not suspended in between.
func (d *PauseDetector) bootTimeDue(now time.Time) bool {
	monotonic := FromDuration(now.Sub(d.lastTime))
	wall := Millis(now.UnixMilli() - d.lastTime.UnixMilli())
	return monotonic >= bootTimeIntervalMS || wall-monotonic > wallClockToleranceMS || monotonic-wall > wallClockToleranceMS
}

// pauseAboveThreshold returns the length of the pause, or zero if it is not above the
// threshold. elapsed is the time that passed on the monotonic clock since the last call, and
// suspended the time for which the machine was suspended.
func (d *PauseDetector) pauseAboveThreshold(elapsed, suspended Millis) Millis {
	pause := suspended + max(elapsed-d.MaxInterval, 0)
	if pause <= d.Threshold {
		return 0
	}
	return pause
}

// bootTime returns the time since boot, including the time spent suspended.
func bootTime() Millis {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return Millis(t.Nano() / int64(time.Millisecond))
}
