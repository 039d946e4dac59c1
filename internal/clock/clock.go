// Package clock holds the one time type of the project: milliseconds.
package clock

import (
	"context"
	"time"
)

// Millis is a point in Unix time or a duration, in milliseconds.
type Millis int64

// Second is the number of milliseconds in a second.
const Second Millis = 1000

// Duration converts m to the standard library's type.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Time converts the point in time m to the standard library's type.
func (m Millis) Time() time.Time {
	return time.UnixMilli(int64(m))
}

// FromDuration converts d to milliseconds, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d / time.Millisecond)
}

// Clock tells Unix time that never goes back within a process: the wall clock
// is read once and the monotonic clock carries it on. A step of the host's wall
// clock, which happened under load on replaced hosts, would otherwise expire
// every deadline at once.
type Clock struct {
	origin time.Time
}

// New returns a clock that starts at the host's wall clock.
func New() *Clock {
	return &Clock{origin: time.Now()}
}

// Now returns the current time.
func (c *Clock) Now() Millis {
	return Millis(c.origin.Add(time.Since(c.origin)).UnixMilli())
}

// Wait waits for d or until ctx ends; it reports whether it waited in full.
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
