package runner

import (
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

func encodeReleases(releases []runs.Release) []*wire.Release {
	var out []*wire.Release
	for _, r := range releases {
		out = append(out, &wire.Release{InMs: int64(r.InMS), Size: link.EncodeSize(r.Size)})
	}
	return out
}
