package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After a loss of power everywhere hosts are up some hundred milliseconds apart, and a
// handshake's first packets go to a port that nobody listens on yet.
func TestFirstAttemptsToReachAPeerAreShort(t *testing.T) {
	var last time.Duration
	for failures := range 100 {
		d := handshakeTimeout(failures)
		require.GreaterOrEqual(t, d, last, "a slow peer gets more time with each attempt")
		last = d
	}
	require.LessOrEqual(t, handshakeTimeout(0)+handshakeTimeout(1), time.Second)
	require.Equal(t, maxHandshake, last)
}
