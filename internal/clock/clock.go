// Package clock defines the time type of the project, in milliseconds, a clock that never goes
// back, and the detection of pauses of the process.
package clock

import (
	"context"
	"time"
)

// Millis is a point in Unix time or a duration, in milliseconds.
type Millis int64

// Second is the number of milliseconds in a second.
const Second Millis = 1000

// Duration converts the duration m to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts the point in time m to a time.Time.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// FromDuration converts d to milliseconds, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock returns Unix time that never goes back within a process. It reads the wall clock once
// and then advances with the monotonic clock. Otherwise a step of the host's wall clock, which
// occurred under load on replaced hosts, would expire all deadlines at once.
type Clock struct {
	origin time.Time
}

// New returns a clock that starts at the current time of the host's wall clock.
func New() *Clock {
	return &Clock{origin: time.Now()}
}

// Now returns the current time.
func (c *Clock) Now() Millis {
	return Millis(c.origin.Add(time.Since(c.origin)).UnixMilli())
}

// Wait waits for d or until ctx ends. It reports whether it waited for the whole of d.
func Wait(ctx context.Context, d Millis) bool {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
