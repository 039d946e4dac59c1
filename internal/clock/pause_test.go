package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// While a machine is suspended, only its boot-time clock advances. While a process is stopped
// or gets no processor time, both clocks advance, and its loop resumes late.
func TestPauseIsDetectedOnEitherClock(t *testing.T) {
	d := NewPauseDetector(300, 100)
	require.Zero(t, d.pauseAboveThreshold(100, 0))
	require.Zero(t, d.pauseAboveThreshold(400, 0))
	require.Equal(t, Millis(301), d.pauseAboveThreshold(401, 0))
	require.Equal(t, Millis(500), d.pauseAboveThreshold(20, 500))
	require.Zero(t, d.pauseAboveThreshold(50, 300))
	require.Equal(t, Millis(400), d.pauseAboveThreshold(300, 200), "part suspended, part not scheduled")
}
