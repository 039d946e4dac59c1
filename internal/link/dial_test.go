package link

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// After a power failure at all sites, hosts come up a few hundred milliseconds apart, and
// the first packets of a handshake go to a port on which nothing listens yet. The first
// attempts must therefore time out quickly.
func TestFirstHandshakeAttemptsTimeOutQuickly(t *testing.T) {
	var previous time.Duration
	for failures := range 100 {
		d := handshakeTimeout(failures)
		require.GreaterOrEqual(t, d, previous, "a slow peer gets more time with each attempt")
		previous = d
	}
	require.LessOrEqual(t, handshakeTimeout(0)+handshakeTimeout(1), time.Second)
	require.Equal(t, maxHandshakeTimeout, previous)
}
