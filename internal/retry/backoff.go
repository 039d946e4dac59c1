package retry

import (
	"math/rand/v2"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Backoff paces attempts to reach a peer: exponential, with jitter, so that all
// processes do not return at the same moment. The zero value is ready.
type Backoff struct {
	// ConsecutiveFailures counts failures in a row.
	ConsecutiveFailures int
}

// Bounds of a backoff.
const (
	backoffFirstMS = clock.Millis(100)
	backoffMaxMS   = clock.Millis(2000)
	maxDoublings   = 10
)

// Next counts a failure and returns how long to wait.
func (b *Backoff) Next() clock.Millis {
	span := min(backoffFirstMS<<min(b.ConsecutiveFailures, maxDoublings), backoffMaxMS)
	b.ConsecutiveFailures++
	return span/2 + rand.N(span/2+1)
}

// Reset counts a success.
func (b *Backoff) Reset() {
	b.ConsecutiveFailures = 0
}
