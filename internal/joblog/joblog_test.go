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

// Two entries had one job, and their agents the runs of its task.
func TestExplainShowsBothRunsOfATaskWithTheirAgents(t *testing.T) {
	var lines []Line
	for host, text := range map[string]string{
		"entry-1": `{"time":"2026-05-21T07:33:37Z","msg":"tasks placed","job":"dd","request":"r1","launches":[{"worker":"i-1","host":"side-1","runs":["0.0:1"]},{"worker":"i-3","host":"side-3","runs":["0.1:1"]},{"worker":"","host":"side-1","runs":["0.0:1"],"claim":true}]}`,
		"entry-2": `{"time":"2026-05-21T07:33:38.3Z","msg":"tasks placed","job":"dd","request":"r2","launches":[{"worker":"i-2","host":"side-2","runs":["0.0:1"]}]}`,
		"side-1": `{"time":"2026-05-21T07:33:37.002Z","msg":"start sent","job":"dd","task":"0.0","run":1,"worker":"i-1","entry":"entry-1","incarnation":"e1"}
{"time":"2026-05-21T07:33:37.1Z","msg":"run claimed","job":"dd","task":"0.0","run":1,"worker":"i-1","entry":"entry-1","incarnation":"e1"}
{"time":"2026-05-21T07:33:38.4Z","msg":"run over","job":"dd","task":"0.0","run":1,"worker":"i-1","entry":"","incarnation":"e1","end":"done"}`,
		"side-2": `{"time":"2026-05-21T07:33:38.301Z","msg":"start sent","job":"dd","task":"0.0","run":1,"worker":"i-2","entry":"entry-2","incarnation":"e2"}`,
	} {
		more, err := Read(host, strings.NewReader(text))
		require.NoError(t, err)
		lines = append(lines, more...)
	}
	x, err := Explain(lines, "r2")
	require.NoError(t, err)
	require.Contains(t, x.Cause, "two runs of task 0.0 at once, for up to 99 ms")
	var runs []string
	for _, r := range x.Runs {
		runs = append(runs, r.String())
	}
	require.Equal(t, []string{
		"run 1 of task 0.1 on i-3 by side-3 for entry-1: 07:33:37.000 to ?, by the entry's line only",
		"run 1 of task 0.0 on i-1 by side-1 for entry-1: 07:33:37.002 to 07:33:38.400 done",
		"run 1 of task 0.0 on i-2 by side-2 for entry-2: 07:33:38.301 to ?",
	}, runs)
}
