package sched

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// Guards against predictions out of range: sums of sizes would overflow, and a list of any length
// would be gone through for each job that waits.
func TestReleasesOutOfRangeEndTheList(t *testing.T) {
	valid := &wire.Release{InMs: 20, Size: &wire.Size{MilliCpu: 1600}}
	want := place.Release{At: 120, Size: jobs.Size{MilliCPU: 1600}}
	for _, invalid := range []*wire.Release{
		{InMs: -1, Size: valid.Size},
		{InMs: 1 << 62, Size: valid.Size},
		{InMs: 50, Size: &wire.Size{MilliCpu: -1}},
		{InMs: 50, Size: &wire.Size{MemoryMb: 1 << 62}},
	} {
		require.Equal(t, []place.Release{want}, decodeReleases([]*wire.Release{valid, invalid, valid}, 100))
	}
	require.Len(t, decodeReleases(make([]*wire.Release, 10_000), 100), maxReleases)
	require.Empty(t, decodeReleases(nil, 100))
}

func TestLaunchFrameCarriesTheHold(t *testing.T) {
	require.EqualValues(t, 25, launchFrame(place.Launch{HoldMS: clock.Millis(25)}, 100).GetLaunch().GetHoldMs())
}
