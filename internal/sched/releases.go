package sched

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

const (
	// maxReleases is the number of releases that are read from a report, and maxReleaseMS the
	// latest one that is.
	maxReleases               = 8
	maxReleaseMS clock.Millis = 1000
)

// decodeReleases decodes what an agent predicts to become free. Releases out of range end the list.
func decodeReleases(releases []*wire.Release, now clock.Millis) []place.Release {
	var out []place.Release
	for _, r := range releases[:min(len(releases), maxReleases)] {
		inMS, size := clock.Millis(r.GetInMs()), link.DecodeSize(r.GetSize())
		if inMS < 0 || inMS > maxReleaseMS || !size.Valid() {
			break
		}
		out = append(out, place.Release{At: now + inMS, Size: size})
	}
	return out
}
