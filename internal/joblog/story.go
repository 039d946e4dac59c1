// Package story puts the account of one job together from the logs of several
// processes and names the cause that decided it.
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

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Host   string
	Msg    string
	Fields map[string]any
	// Text is the line as it was written.
	Text string
}

// Text returns a field as text; numbers without a fraction as whole ones.
func (l Line) text(field string) string {
	v, ok := l.Fields[field]
	if !ok {
		return ""
	}
	return fmt.Sprint(v)
}

func (l Line) number(field string) float64 {
	n, _ := l.Fields[field].(float64)
	return n
}

// Explanation is what the logs tell of one job.
type Explanation struct {
	Job     string   `json:"job"`
	Request string   `json:"request,omitempty"`
	Cause   string   `json:"cause"`
	Steps   []string `json:"steps"`
}

// maxLineBytes is above the longest line that a process writes.
const maxLineBytes = 1 << 20

// Read reads the lines of one log. Text before the line's JSON names the host.
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

// parse reads one line; other output of a process is passed over.
func parse(host string, b []byte) (Line, bool) {
	at := bytes.IndexByte(b, '{')
	if at < 0 {
		return Line{}, false
	}
	l := Line{Host: host, Text: string(b[at:])}
	if before := bytes.Fields(b[:at]); len(before) > 0 {
		l.Host = string(before[len(before)-1])
	}
	if json.Unmarshal(b[at:], &l.Fields) != nil {
		return Line{}, false
	}
	l.Msg = l.text("msg")
	t, err := time.Parse(time.RFC3339Nano, l.text("time"))
	l.Time = t
	return l, err == nil && l.Msg != ""
}

// Explain puts together what lines say of a job or a request.
func Explain(lines []Line, id string) (Explanation, error) {
	job := id
	for _, l := range lines {
		if l.text("request") == id && l.text("job") != "" {
			job = l.text("job")
		}
	}
	var own []Line
	for _, l := range lines {
		if l.text("job") == job {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return Explanation{}, errors.NotFoundf("job or request %s in the logs", id)
	}
	inOrder(own)
	s := Explanation{Job: job}
	for _, l := range own {
		s.Steps = append(s.Steps, l.Host+" "+l.Text)
		if l.text("request") != "" {
			s.Request = l.text("request")
		}
	}
	s.Cause = cause(own)
	return s, nil
}

// ranks orders the steps of one run where the clocks of two hosts disagree.
var ranks = map[string]int{"tasks placed": 0, "start not done": 1, "runs halted": 2, "run ended": 3, "job answered": 4}

// clockSlack is how far the clocks of two hosts may be apart.
const clockSlack = 5 * time.Millisecond

func inOrder(lines []Line) {
	sort.SliceStable(lines, func(a, b int) bool {
		d := lines[a].Time.Sub(lines[b].Time)
		if lines[a].Host != lines[b].Host && d.Abs() < clockSlack {
			return ranks[lines[a].Msg] < ranks[lines[b].Msg]
		}
		return d < 0
	})
}

// cause names what decided the job.
func cause(own []Line) string {
	var answer *Line
	ends := map[string]int{}
	unanswered := 0
	for i, l := range own {
		switch l.Msg {
		case "job answered":
			answer = &own[i]
		case "run ended":
			ends[l.text("end")]++
		case "start not done":
			if l.number("answer") == answerUnanswered {
				unanswered++
			}
		}
	}
	if answer == nil {
		return "no entry answered it: the entry that took it ended, or its lines were left out"
	}
	switch answer.text("verdict") {
	case "refused":
		return refusal(*answer)
	case "succeeded":
		return lateness(*answer, ends, unanswered)
	default:
		return fmt.Sprintf("%s (%s) after %v ms: runs failed %d, lost %d, stopped %d, not run %d", answer.text("verdict"),
			answer.text("reason"), answer.Fields["took_ms"], ends["failed"], ends["lost"], ends["stopped"], ends["not_run"])
	}
}

// answerUnanswered is how an agent logs a start without an answer.
const answerUnanswered = 4

func refusal(a Line) string {
	if a.text("reason") != "overload" {
		return "refused, nothing of it ran: " + a.text("reason")
	}
	return fmt.Sprintf("refused under overload, nothing of it ran: no room within %v ms in which %v tasks of %v ms end within %v ms; "+
		"%v jobs waited, %v of %v workers had room, configuration %v", a.Fields["patience_ms"], a.Fields["tasks"],
		a.Fields["work_ms"], a.Fields["objective_ms"], a.Fields["waiting"], a.Fields["open"], a.Fields["workers"], a.Fields["version"])
}

func lateness(a Line, ends map[string]int, unanswered int) string {
	took, objective, last := a.number("took_ms"), a.number("objective_ms"), a.number("last_sent_ms")
	switch {
	case took <= objective:
		return "succeeded in time"
	case unanswered > 0:
		return fmt.Sprintf("late: %d starts got no answer from their worker", unanswered)
	case ends["failed"]+ends["lost"]+ends["stopped"] > 0:
		return fmt.Sprintf("late: runs failed %d, lost %d, stopped %d and were run again", ends["failed"], ends["lost"], ends["stopped"])
	case last > took/2:
		return fmt.Sprintf("late: its last task waited %v ms for room", last)
	default:
		return fmt.Sprintf("late: placed after %v ms, but its tasks took %v ms and not the expected %v", last, took-last, a.Fields["work_ms"])
	}
}
