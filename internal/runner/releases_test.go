package runner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

func TestReleasesAndHoldsAreTranslated(t *testing.T) {
	out := encodeReleases([]runs.Release{{InMS: 50, Size: jobs.Size{MilliCPU: 1600}}})
	require.Len(t, out, 1)
	require.EqualValues(t, 50, out[0].GetInMs())
	require.EqualValues(t, 1600, out[0].GetSize().GetMilliCpu())
	require.Nil(t, encodeReleases(nil), "the report of a worker that is not nearly full is as before")
	launched := decodeLaunch("e", &wire.Launch{HoldMs: 25, Tasks: []*wire.RunTask{{Run: 1}}}, 100)
	require.EqualValues(t, 25, launched[0].HoldMS)
}
