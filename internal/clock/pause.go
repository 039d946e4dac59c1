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
	monotonic   time.Time
	sinceBoot   Millis
}

// NewPauseDetector returns a detector that measures pauses from now on.
func NewPauseDetector(threshold, maxInterval Millis) *PauseDetector {
	return &PauseDetector{Threshold: threshold, MaxInterval: maxInterval, monotonic: time.Now(), sinceBoot: bootTime()}
}

// Paused returns how long the process was paused since the last call, or zero if that is not
// above the threshold.
func (d *PauseDetector) Paused() Millis {
	now, boot := time.Now(), bootTime()
	monotonic := FromDuration(now.Sub(d.monotonic))
	suspended := (boot - d.sinceBoot) - monotonic
	d.monotonic, d.sinceBoot = now, boot
	return d.pauseAboveThreshold(monotonic, suspended)
}

// pauseAboveThreshold returns the pause, or zero if it is not above the threshold, from the
// time that the monotonic clock advanced since the last call and the time that the machine
// was suspended.
func (d *PauseDetector) pauseAboveThreshold(monotonic, suspended Millis) Millis {
	pause := suspended + max(monotonic-d.MaxInterval, 0)
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
