package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A suspended machine's steady clock stands still; a process that was stopped, or got
// no processor, sees both clocks go on and its own loop resume late.
func TestPauseShowsInEitherClock(t *testing.T) {
	p := NewPauseDetector(300, 100)
	require.Zero(t, p.pauseOf(100, 0))
	require.Zero(t, p.pauseOf(400, 0))
	require.Equal(t, Millis(301), p.pauseOf(401, 0))
	require.Equal(t, Millis(500), p.pauseOf(20, 500))
	require.Zero(t, p.pauseOf(50, 300))
	require.Equal(t, Millis(400), p.pauseOf(300, 200), "a part of each")
}
