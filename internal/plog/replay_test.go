package plog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/plog"
)

func record(offset int64) plog.Record { return plog.Record{Offset: offset} }

// covering takes the record at an offset for a snapshot that covers another.
func covering(at, covers int64) func(plog.Record) (int64, bool) {
	return func(r plog.Record) (int64, bool) { return covers, r.Offset == at }
}

func TestGapsInOffsetsAreNoLoss(t *testing.T) {
	r := plog.Replay{}
	s := r.Add(plog.Page{First: 0, Next: 6, Records: []plog.Record{record(2), record(5)}}, covering(-1, 0))
	require.True(t, s.Begin)
	require.Len(t, s.Apply, 2)
	s = r.Add(plog.Page{First: 2, Next: 12, Records: []plog.Record{record(11)}}, covering(-1, 0))
	require.False(t, s.Lost)
	require.Len(t, s.Apply, 1)
}

func TestReaderBehindTheRetentionWaitsForASnapshotThatCovers(t *testing.T) {
	r := plog.Replay{}
	s := r.Add(plog.Page{First: 10, Next: 13, Records: []plog.Record{record(10), record(11), record(12)}}, covering(11, 8))
	require.False(t, s.Begin)
	require.Empty(t, s.Apply)
	require.False(t, r.Based, "the snapshot leaves out record 9")
	s = r.Add(plog.Page{First: 10, Next: 15, Records: []plog.Record{record(13), record(14)}}, covering(14, 10))
	require.Equal(t, int64(14), s.Restore.Offset)
	require.Equal(t, []plog.Record{record(11), record(12), record(13), record(14)}, s.Apply)
	require.True(t, r.Based)
}

func TestRetentionThatPassesTheReaderIsALoss(t *testing.T) {
	r := plog.Replay{}
	r.Add(plog.Page{First: 0, Next: 3, Records: []plog.Record{record(0), record(1), record(2)}}, covering(-1, 0))
	s := r.Add(plog.Page{First: 7, Next: 8, Records: []plog.Record{record(7)}}, covering(-1, 0))
	require.True(t, s.Lost)
	require.Empty(t, s.Apply)
	require.Equal(t, int64(6), r.Need())
}
