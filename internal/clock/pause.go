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
	// lastTime and lastBootTime are the readings of the two clocks at the last call.
	lastTime     time.Time
	lastBootTime Millis
}

// NewPauseDetector returns a detector that measures pauses from now on.
func NewPauseDetector(threshold, maxInterval Millis) *PauseDetector {
	return &PauseDetector{Threshold: threshold, MaxInterval: maxInterval, lastTime: time.Now(), lastBootTime: bootTime()}
}

// Paused returns how long the process was paused since the last call, or zero if that is not
// above the threshold.
func (d *PauseDetector) Paused() Millis {
	now, boot := time.Now(), bootTime()
	elapsed := FromDuration(now.Sub(d.lastTime))
	suspended := (boot - d.lastBootTime) - elapsed
	d.lastTime, d.lastBootTime = now, boot
	return d.pauseAboveThreshold(elapsed, suspended)
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
