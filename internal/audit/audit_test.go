package audit_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/audit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

func TestExplainCountsTasksDispatchedAhead(t *testing.T) {
	l := audit.New(100, 10)
	l.AddDispatch(audit.Dispatch{Customer: "before"})
	first := l.NextSeq
	for range 3 {
		l.AddDispatch(audit.Dispatch{Customer: "other", Kind: "check", Rule: "share", Version: 7})
	}
	l.AddDispatch(audit.Dispatch{Customer: "other", Kind: "check", Rule: "urgent_percent", Version: 7})
	l.AddRecord(audit.Record{Request: "r", Customer: "c", FirstSeq: first, LastSeq: l.NextSeq, EndedAt: 5})
	x, ok := l.Explain("r")
	require.True(t, ok)
	require.Equal(t, []audit.AheadCount{
		{Customer: "other", Kind: "check", Rule: "share", Version: 7, Tasks: 3},
		{Customer: "other", Kind: "check", Rule: "urgent_percent", Version: 7, Tasks: 1},
	}, x.Ahead)
	require.False(t, x.Truncated)
}

func TestLogIsBoundedAndReportsTruncation(t *testing.T) {
	l := audit.New(10, 4)
	for i := range 50 {
		l.AddDispatch(audit.Dispatch{Customer: "c"})
		l.AddRecord(audit.Record{Request: fmt.Sprint(i), Customer: "c", LastSeq: l.NextSeq, EndedAt: clock.Millis(i)})
	}
	_, ok := l.Explain("45")
	require.False(t, ok)
	x, ok := l.Explain("49")
	require.True(t, ok)
	require.True(t, x.Truncated)
	require.Equal(t, 10, x.Ahead[0].Tasks)
	xs := l.ExplainSince("c", 48, 10)
	require.Len(t, xs, 2)
	require.Equal(t, "49", xs[0].Record.Request)
}
