package logsvc_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/logsvc"
)

func record(offset int64) logsvc.Record { return logsvc.Record{Offset: offset} }

// snapshotAt treats the record at an offset as a snapshot that covers the stream up to covers.
func snapshotAt(offset, covers int64) func(logsvc.Record) (int64, bool) {
	return func(r logsvc.Record) (int64, bool) { return covers, r.Offset == offset }
}

func TestOffsetGapsAreNotLostRecords(t *testing.T) {
	r := logsvc.Replay{}
	s := r.Add(logsvc.Page{First: 0, Next: 6, Records: []logsvc.Record{record(2), record(5)}}, snapshotAt(-1, 0))
	require.True(t, s.FromStart)
	require.Len(t, s.Apply, 2)
	s = r.Add(logsvc.Page{First: 2, Next: 12, Records: []logsvc.Record{record(11)}}, snapshotAt(-1, 0))
	require.False(t, s.RecordsLost)
	require.Len(t, s.Apply, 1)
}

func TestReaderBehindRetentionWaitsForCoveringSnapshot(t *testing.T) {
	r := logsvc.Replay{}
	s := r.Add(logsvc.Page{First: 10, Next: 13, Records: []logsvc.Record{record(10), record(11), record(12)}}, snapshotAt(11, 8))
	require.False(t, s.FromStart)
	require.Empty(t, s.Apply)
	require.False(t, r.Initialized, "the snapshot does not cover record 9")
	s = r.Add(logsvc.Page{First: 10, Next: 15, Records: []logsvc.Record{record(13), record(14)}}, snapshotAt(14, 10))
	require.Equal(t, int64(14), s.Restore.Offset)
	require.Equal(t, []logsvc.Record{record(11), record(12), record(13), record(14)}, s.Apply)
	require.True(t, r.Initialized)
}

func TestRetentionOvertakingReaderLosesRecords(t *testing.T) {
	r := logsvc.Replay{}
	r.Add(logsvc.Page{First: 0, Next: 3, Records: []logsvc.Record{record(0), record(1), record(2)}}, snapshotAt(-1, 0))
	s := r.Add(logsvc.Page{First: 7, Next: 8, Records: []logsvc.Record{record(7)}}, snapshotAt(-1, 0))
	require.True(t, s.RecordsLost)
	require.Empty(t, s.Apply)
	require.Equal(t, int64(6), r.RequiredOffset())
}
