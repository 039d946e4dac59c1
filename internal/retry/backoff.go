package retry

import (
	"math/rand/v2"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Backoff computes the delays between attempts to reach a peer. They grow
// exponentially and have jitter, so that processes don't all reconnect at the same
// moment. The zero value is ready to use.
type Backoff struct {
	// ConsecutiveFailures is the number of failures since the last success.
	ConsecutiveFailures int
}

// Bounds of the backoff delay.
const (
	initialBackoffMS = clock.Millis(100)
	maxBackoffMS     = clock.Millis(2000)
	maxDoublings     = 10
)

// Next records a failure and returns how long to wait before the next attempt.
func (b *Backoff) Next() clock.Millis {
	delay := min(initialBackoffMS<<min(b.ConsecutiveFailures, maxDoublings), maxBackoffMS)
	b.ConsecutiveFailures++
	return delay/2 + rand.N(delay/2+1)
}

// Reset records a success.
func (b *Backoff) Reset() {
	b.ConsecutiveFailures = 0
}
