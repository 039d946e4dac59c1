// Package joblog reconstructs the history of one job from the logs of several processes
// and names the cause of its outcome.
package joblog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/juju/errors"
)

// Line is one JSON line of a process's log.
type Line struct {
	Time   time.Time
	Host   string
	Msg    string
	Fields map[string]any
	// Text is the unparsed JSON.
	Text string
}

// stringField returns a field as a string, or "" if the line doesn't have it. Numbers are
// formatted by fmt.Sprint, which uses an exponent from one million on.
func (l Line) stringField(field string) string {
	v, ok := l.Fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

// numberField returns a numeric field, or 0 if the line doesn't have it.
func (l Line) numberField(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// Explanation is the history of one job and the cause of its outcome.
type Explanation struct {
	Job     string `json:"job"`
	Request string `json:"request,omitempty"`
	Cause   string `json:"cause"`
	// Runs holds the runs of the job's tasks.
	Runs []Run `json:"runs,omitempty"`
	// Lines holds the job's log lines in order, each with the name of its host first.
	Lines []string `json:"steps"`
}

// maxLineBytes is above the length of any line that a process writes.
const maxLineBytes = 1 << 20

// Read reads the lines of one log. If a line has text before its JSON, the last word of
// that text replaces host.
func Read(host string, r io.Reader) ([]Line, error) {
	var lines []Line
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		if l, ok := parse(host, s.Bytes()); ok {
			lines = append(lines, l)
		}
	}
	return lines, errors.Annotatef(s.Err(), "read log of %s", host)
}

// parse parses one line. It returns false for any other output of a process.
func parse(host string, b []byte) (Line, bool) {
	start := bytes.IndexByte(b, '{')
	if start < 0 {
		return Line{}, false
	}
	l := Line{Host: host, Text: string(b[start:])}
	if prefix := bytes.Fields(b[:start]); len(prefix) > 0 {
		l.Host = string(prefix[len(prefix)-1])
	}
	if json.Unmarshal(b[start:], &l.Fields) != nil {
		return Line{}, false
	}
	l.Msg = l.stringField("msg")
	t, err := time.Parse(time.RFC3339Nano, l.stringField("time"))
	l.Time = t
	return l, err == nil && l.Msg != ""
}

// Explain returns the history of a job and the cause of its outcome. The id is that of the
// job or of a request for it. If no line belongs to it, the error is a NotFound error.
func Explain(lines []Line, id string) (Explanation, error) {
	job := id
	for _, l := range lines {
		if l.stringField("request") == id && l.stringField("job") != "" {
			job = l.stringField("job")
		}
	}
	var jobLines []Line
	for _, l := range lines {
		if l.stringField("job") == job {
			jobLines = append(jobLines, l)
		}
	}
	if len(jobLines) == 0 {
		return Explanation{}, errors.NotFoundf("job or request %s in the logs", id)
	}
	sortLines(jobLines)
	x := Explanation{Job: job}
	for _, l := range jobLines {
		x.Lines = append(x.Lines, l.Host+" "+l.Text)
		if l.stringField("request") != "" {
			x.Request = l.stringField("request")
		}
	}
	x.Cause = findCause(jobLines)
	x.Runs = findRuns(jobLines)
	if twice := findOverlap(x.Runs); twice != "" {
		x.Cause = twice + "; " + x.Cause
	}
	return x, nil
}

// messageOrder is the order in which the log messages about a job are normally written. It
// decides where the clocks of two hosts may disagree.
var messageOrder = map[string]int{
	"tasks placed": 0, "run claimed": 1, "start sent": 1, "start not done": 2, "runs halted": 3, "stop sent": 4, "run lost": 4,
	"run over": 5, "run ended": 6, "run resolved": 6, "job answered": 7,
}

// maxClockSkew is the largest expected difference between the clocks of two hosts.
const maxClockSkew = 5 * time.Millisecond

// sortLines sorts lines by time. Lines of two hosts whose times differ by less than
// maxClockSkew are sorted by messageOrder.
func sortLines(lines []Line) {
	sort.SliceStable(lines, func(a, b int) bool {
		d := lines[a].Time.Sub(lines[b].Time)
		if lines[a].Host != lines[b].Host && d.Abs() < maxClockSkew {
			return messageOrder[lines[a].Msg] < messageOrder[lines[b].Msg]
		}
		return d < 0
	})
}

// findCause describes what decided the outcome of a job from all of the job's lines.
func findCause(lines []Line) string {
	var answer *Line
	endsByOutcome := map[string]int{}
	unansweredStarts := 0
	for i, l := range lines {
		switch l.Msg {
		case "job answered":
			answer = &lines[i]
		case "run ended":
			endsByOutcome[l.stringField("end")]++
		case "start not done":
			if l.numberField("answer") == unansweredCode {
				unansweredStarts++
			}
		}
	}
	if answer == nil {
		return "no entry answered it: the job may still run, the entry that accepted it may have ended, or log lines are missing"
	}
	switch answer.stringField("verdict") {
	case "refused":
		return refusalCause(*answer)
	case "succeeded":
		return successCause(*answer, endsByOutcome, unansweredStarts)
	default:
		return fmt.Sprintf("%s (%s) after %v ms: runs failed %d, lost %d, stopped %d, not run %d", answer.stringField("verdict"),
			answer.stringField("reason"), answer.Fields["took_ms"], endsByOutcome["failed"], endsByOutcome["lost"], endsByOutcome["stopped"], endsByOutcome["not_run"])
	}
}

// unansweredCode is the value of the field "answer" that an agent logs for a start to
// which the worker did not respond.
const unansweredCode = 4

// refusalCause returns the reason for a refusal. For a refusal under overload it adds the
// state on which the decision was based; work_ms is the predicted run time on a worker of
// speed 1.
func refusalCause(answer Line) string {
	if answer.stringField("reason") != "overload" {
		return "refused, nothing of it ran: " + answer.stringField("reason")
	}
	return fmt.Sprintf("refused under overload, nothing of it ran: no free capacity within %v ms for %v tasks of %v ms to end within %v ms; "+
		"%v jobs waited, %v of %v workers had free capacity, configuration %v", answer.Fields["patience_ms"], answer.Fields["tasks"],
		answer.Fields["work_ms"], answer.Fields["objective_ms"], answer.Fields["waiting"], answer.Fields["open"], answer.Fields["workers"], answer.Fields["version"])
}

// successCause says whether a successful job met its objective and, if not, the likeliest
// reason. last_sent_ms is the time from the job's arrival until its last task was
// sent to an agent. If that is more than half of the response time, the tasks were placed
// late: they waited for free capacity, or in a job of several steps for earlier steps.
// Otherwise they probably ran for longer than predicted. work_ms is the predicted run time
// on a worker of speed 1.
func successCause(answer Line, endsByOutcome map[string]int, unansweredStarts int) string {
	took, objective, lastSent := answer.numberField("took_ms"), answer.numberField("objective_ms"), answer.numberField("last_sent_ms")
	switch {
	case took <= objective:
		return "succeeded in time"
	case unansweredStarts > 0:
		return fmt.Sprintf("late: %d starts got no answer from their worker", unansweredStarts)
	case endsByOutcome["failed"]+endsByOutcome["lost"]+endsByOutcome["stopped"] > 0:
		return fmt.Sprintf("late: runs failed %d, lost %d, stopped %d and were repeated", endsByOutcome["failed"], endsByOutcome["lost"], endsByOutcome["stopped"])
	case lastSent > took/2:
		return fmt.Sprintf("late: its last task was placed %v ms after the job arrived", lastSent)
	default:
		return fmt.Sprintf("late: placed after %v ms, but its tasks took %v ms; %v ms were predicted for a worker of speed 1", lastSent, took-lastSent, answer.Fields["work_ms"])
	}
}
