package joblog

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const entryLog = `
  5.3 entry-1 {"time":"2026-05-21T07:33:37.266Z","level":"ORDINARY","msg":"tasks placed","job":"aa","tasks":4,"run":1}
not a line of ours
  5.6 entry-1 {"time":"2026-05-21T07:33:37.624Z","level":"INFO","msg":"run ended","job":"aa","task":"0.3","run":1,"end":"not_run"}
  5.7 entry-1 {"time":"2026-05-21T07:33:37.652Z","level":"ORDINARY","msg":"job answered","job":"aa","request":"r1","verdict":"succeeded","took_ms":386,"last_sent_ms":358,"objective_ms":111,"work_ms":32}
  5.8 entry-1 {"time":"2026-05-21T07:33:39Z","level":"INFO","msg":"job answered","job":"bb","request":"r2","verdict":"refused","reason":"overload","version":6,"tasks":2,"objective_ms":240,"work_ms":113,"patience_ms":52,"waiting":7,"workers":11,"open":8}
  5.9 entry-1 {"time":"2026-05-21T07:33:40Z","level":"INFO","msg":"job answered","job":"cc","request":"r3","verdict":"failed","reason":"attempts","took_ms":90}
`

const agentLog = `{"time":"2026-05-21T07:33:37.371Z","level":"INFO","msg":"start not done","job":"aa","task":"0.3","run":1,"answer":4}`

func readLogs(t *testing.T) []Line {
	lines, err := Read("stdin", strings.NewReader(entryLog))
	require.NoError(t, err)
	more, err := Read("agent-1", strings.NewReader(agentLog))
	require.NoError(t, err)
	return append(lines, more...)
}

func TestExplainLateJobOrdersLinesAndNamesUnansweredStart(t *testing.T) {
	x, err := Explain(readLogs(t), "r1")
	require.NoError(t, err)
	require.Equal(t, "aa", x.Job)
	require.Len(t, x.Lines, 4)
	require.True(t, strings.HasPrefix(x.Lines[1], "agent-1 "))
	require.Equal(t, "late: 1 starts got no answer from their worker", x.Cause)
}

func TestExplainRefusalNamesLoadAndConfiguration(t *testing.T) {
	x, err := Explain(readLogs(t), "bb")
	require.NoError(t, err)
	require.Contains(t, x.Cause, "refused under overload, nothing of it ran")
	require.Contains(t, x.Cause, "8 of 11 workers had free capacity, configuration 6")
}

func TestExplainFailedJob(t *testing.T) {
	x, err := Explain(readLogs(t), "r3")
	require.NoError(t, err)
	require.Contains(t, x.Cause, "failed (attempts)")
}

func TestExplainReportsUnknownID(t *testing.T) {
	_, err := Explain(readLogs(t), "zz")
	require.ErrorContains(t, err, "zz")
}
