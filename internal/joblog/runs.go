package joblog

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Run is one run of a task as the lines of its agent tell, or if there are none, those of the
// entry that sent it.
type Run struct {
	Task   string `json:"task"`
	Number string `json:"run"`
	Worker string `json:"worker"`
	// Agent is the host of the agent's log, or the one that the entry names.
	Agent string `json:"agent"`
	// Entry is the name of the entry, or its incarnation if the agent was not linked to it.
	Entry string `json:"entry"`
	// Start is when the agent sent the start, or the entry the run. End is when the agent noticed
	// the end; zero if no line tells it.
	Start time.Time `json:"start"`
	End   time.Time `json:"end,omitzero"`
	// Outcome is how the run ended, or "".
	Outcome string `json:"outcome,omitempty"`
	// NoAgentLine is set if no line of the agent tells of the run.
	NoAgentLine bool `json:"no_agent_line,omitempty"`
}

// clockFormat is the format of times in the text form of a run.
const clockFormat = "15:04:05.000"

// String returns the text form of the run.
func (r Run) String() string {
	text := fmt.Sprintf("run %s of task %s on %s by %s for %s: %s to ", r.Number, r.Task, r.Worker, r.Agent, r.Entry, r.Start.Format(clockFormat))
	switch {
	case r.NoAgentLine:
		return text + "?, by the entry's line only"
	case r.End.IsZero():
		return text + "?"
	default:
		return text + r.End.Format(clockFormat) + " " + r.Outcome
	}
}

// runKey identifies a run of one job. The numbers of runs of two entries may be equal.
type runKey struct{ task, number, worker, entry string }

// findRuns returns the runs of a job from its sorted lines, the first started first.
func findRuns(lines []Line) []Run {
	byKey := map[runKey]*Run{}
	var order []*Run
	for _, l := range lines {
		k := runKey{l.stringField("task"), l.stringField("run"), l.stringField("worker"), l.stringField("incarnation")}
		switch l.Msg {
		case "start sent", "run claimed":
			if byKey[k] != nil {
				continue // the start was sent by an earlier process of the agent
			}
			r := &Run{Task: k.task, Number: k.number, Worker: k.worker, Agent: l.Host, Entry: l.stringField("entry"), Start: l.Time}
			if r.Entry == "" {
				r.Entry = k.entry
			}
			byKey[k] = r
			order = append(order, r)
		case "run over":
			if r := byKey[k]; r != nil {
				r.End, r.Outcome = l.Time, l.stringField("end")
			}
		}
	}
	order = append(order, placedOnly(lines, order)...)
	sort.SliceStable(order, func(i, j int) bool { return order[i].Start.Before(order[j].Start) })
	runs := make([]Run, 0, len(order))
	for _, r := range order {
		runs = append(runs, *r)
	}
	return runs
}

// placedOnly returns the runs that an entry sent to a worker and that are not among known.
func placedOnly(lines []Line, known []*Run) []*Run {
	byAgent := map[runKey]bool{}
	for _, r := range known {
		byAgent[runKey{task: r.Task, number: r.Number, worker: r.Worker}] = true
	}
	var runs []*Run
	for _, l := range lines {
		launches, _ := l.Fields["launches"].([]any)
		for _, launch := range launches {
			fields, _ := launch.(map[string]any)
			if claim, _ := fields["claim"].(bool); claim {
				continue // an earlier launch sent the run
			}
			sent := Line{Fields: fields}
			names, _ := fields["runs"].([]any)
			for _, name := range names {
				task, number, _ := strings.Cut(fmt.Sprint(name), ":")
				if !byAgent[runKey{task: task, number: number, worker: sent.stringField("worker")}] {
					runs = append(runs, &Run{Task: task, Number: number, Worker: sent.stringField("worker"),
						Agent: sent.stringField("host"), Entry: l.Host, Start: l.Time, NoAgentLine: true})
				}
			}
		}
	}
	return runs
}

// neverRan holds the outcomes of runs that were not executed.
var neverRan = map[string]bool{"not_run": true, "refused": true}

// findOverlap describes two runs of one task on two workers that were at work at the same time by
// the lines of their agents, or returns "". An agent notices an end with the next poll.
func findOverlap(runs []Run) string {
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.Task != b.Task || a.Worker == b.Worker || neverRan[a.Outcome] || neverRan[b.Outcome] || a.NoAgentLine || b.NoAgentLine {
				continue
			}
			switch {
			case a.End.IsZero():
				return fmt.Sprintf("two runs of task %s, perhaps at once: the end of the first is not in the logs", a.Task)
			case a.End.Sub(b.Start) > maxClockSkew:
				return fmt.Sprintf("two runs of task %s at once, for up to %s ms", a.Task, strconv.FormatInt(overlap(a, b).Milliseconds(), 10))
			}
		}
	}
	return ""
}

// overlap returns how long a, which has ended, and b, which began later, were at work together.
func overlap(a, b Run) time.Duration {
	if !b.End.IsZero() && b.End.Before(a.End) {
		return b.End.Sub(b.Start)
	}
	return a.End.Sub(b.Start)
}
