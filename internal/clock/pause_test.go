package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The monotonic clock of a suspended machine stops. If the process was stopped or got no
// processor time, both clocks advance and its loop resumes late.
func TestPauseIsDetectedOnEitherClock(t *testing.T) {
	d := NewPauseDetector(300, 100)
	require.Zero(t, d.pauseAboveThreshold(100, 0))
	require.Zero(t, d.pauseAboveThreshold(400, 0))
	require.Equal(t, Millis(301), d.pauseAboveThreshold(401, 0))
	require.Equal(t, Millis(500), d.pauseAboveThreshold(20, 500))
	require.Zero(t, d.pauseAboveThreshold(50, 300))
	require.Equal(t, Millis(400), d.pauseAboveThreshold(300, 200), "part suspended, part not scheduled")
}
