package sched

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/dlog"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
)

const (
	// maxLoggedRuns bounds the runs that one line about a placement lists.
	maxLoggedRuns = 32
	// maxRememberedAnswers is how many answered jobs are remembered, and answerMemoryMS how
	// long. It is longer than callers wait before they submit a job again.
	maxRememberedAnswers              = 4096
	answerMemoryMS       clock.Millis = 10_000
)

// loggedLaunch is a launch as the line about a placement lists it.
type loggedLaunch struct {
	Worker string `json:"worker"`
	// Host is the name of the host of the worker and its agent.
	Host  string `json:"host"`
	Tasks int    `json:"tasks"`
	// Runs lists tasks with the numbers of their runs, as in "0.3:1".
	Runs         []string `json:"runs"`
	Speed        float64  `json:"speed"`
	FreeMilliCPU int64    `json:"free_milli_cpu"`
	ReportAgeMS  int64    `json:"report_age_ms"`
	// Claim is set if the launch takes over a run that an earlier agent process started.
	Claim bool `json:"claim,omitempty"`
	// HoldMS is how long the agent holds the tasks until capacity that is reserved for them is free.
	HoldMS int64 `json:"hold_ms,omitempty"`
}

// launchesByJob returns the launches among actions.
func launchesByJob(actions []place.Action) map[jobs.ID][]place.Launch {
	var byJob map[jobs.ID][]place.Launch
	for _, action := range actions {
		l, ok := action.(place.Launch)
		if !ok {
			continue
		}
		if byJob == nil {
			byJob = map[jobs.ID][]place.Launch{}
		}
		byJob[l.Job] = append(byJob[l.Job], l)
	}
	return byJob
}

// logPlacement logs the launches of a job that were decided together, in one line.
func (e *Entry) logPlacement(id jobs.ID, launches []place.Launch) {
	if len(launches) == 0 {
		return
	}
	now := e.clock.Now()
	level, waited := dlog.LevelOrdinary, clock.Millis(0)
	if j := e.scheduler.Jobs[id]; j != nil {
		waited = now - j.ArrivedAt
		if j.FirstSentAt == j.LastSentAt {
			level = dlog.LevelFirst
		}
	}
	tasks, listed := 0, 0
	logged := make([]loggedLaunch, 0, len(launches))
	for _, l := range launches {
		tasks += len(l.Tasks)
		if listed < maxLoggedRuns {
			line := e.describeLaunch(l, maxLoggedRuns-listed)
			listed += len(line.Runs)
			logged = append(logged, line)
		}
	}
	e.log.Log(context.Background(), level, "tasks placed", "job", string(id), "request", e.requestIDs[id], "tasks", tasks,
		"waited_ms", int64(waited), "expected_ms", int64(launches[0].ExpectedMS), "launches", logged)
}

// describeLaunch returns a launch for the log, with up to maxRuns of its runs.
func (e *Entry) describeLaunch(l place.Launch, maxRuns int) loggedLaunch {
	line := loggedLaunch{Tasks: len(l.Tasks), Claim: l.Claim, HoldMS: int64(l.HoldMS)}
	if w := e.scheduler.Workers[l.Agent]; w != nil {
		line.Worker, line.Host, line.Speed = w.ID, w.Host, w.Speed
		line.FreeMilliCPU, line.ReportAgeMS = w.Free().MilliCPU, e.reportAge(l.Agent)
	}
	for _, t := range l.Tasks[:min(maxRuns, len(l.Tasks))] {
		line.Runs = append(line.Runs, fmt.Sprintf("%s:%d", t.ID, t.Run))
	}
	return line
}

// logResolved logs a run that counts as over without a report of its end.
func (e *Entry) logResolved(a place.Resolved) {
	e.log.Info("run resolved", "job", string(a.Job), "task", a.Task.String(), "run", a.Run, "end", a.Outcome.String(),
		"cause", string(a.Cause), "worker", a.Worker, "incarnation", a.Agent, "agent_replaced", a.AgentReplaced,
		"sent_ms_ago", int64(e.clock.Now()-a.SentAt))
}

// logStaleEnd logs the reported end of a run that is not the current one of its task.
func (e *Entry) logStaleEnd(agent string, ref jobs.TaskRef, run int64, outcome jobs.Outcome) {
	j := e.scheduler.Jobs[ref.Job]
	if j == nil {
		return
	}
	for _, t := range j.Tasks {
		if t.ID != ref.Task || t.State == place.TaskDone || t.Run == run && t.Agent == agent {
			continue
		}
		e.log.Info("end of another run ignored", "job", string(ref.Job), "task", ref.Task.String(), "run", run, "end", outcome.String(),
			"worker", e.scheduler.WorkerID(agent), "current_run", t.Run, "current_worker", e.scheduler.WorkerID(t.Agent))
	}
}

// The states in which an entry may find a job that it receives again.
const (
	// resentWaiting: a caller waits for the job's answer, which both will get.
	resentWaiting = "waiting"
	// resentEnding: the job was answered, but its runs may be executing; the caller gets the
	// answer that the outcome is unknown.
	resentEnding = "ending"
	// resentAnswered: the job was answered and is started anew.
	resentAnswered = "answered"
)

// logResent logs that a job was received again, if the entry holds it or remembers its answer.
func (e *Entry) logResent(r Request, state string) {
	now := e.clock.Now()
	answer, known := e.answers.byJob[r.Spec.ID]
	if !known && state == resentAnswered {
		return
	}
	level := slog.LevelInfo
	if answer.verdict == place.VerdictRefused.String() {
		level = dlog.LevelOrdinary // the caller was told to submit it again
	}
	answeredAgo := int64(-1)
	if known {
		answeredAgo = int64(now - answer.at)
	}
	firstRequest := answer.request
	if state == resentWaiting {
		firstRequest = e.requestIDs[r.Spec.ID]
	}
	e.log.Log(context.Background(), level, "job received again", "job", string(r.Spec.ID), "request", r.RequestID,
		"first_request", firstRequest, "state", state, "verdict", answer.verdict, "answered_ms_ago", answeredAgo)
}

// agentRuns returns how many runs the entry has sent to an agent without knowing their end.
func (e *Entry) agentRuns(agent string) int {
	n := 0
	for _, j := range e.scheduler.Jobs {
		for _, t := range j.Tasks {
			if t.Agent == agent && (t.State == place.TaskSent || t.State == place.TaskUnknown) {
				n++
			}
		}
	}
	return n
}

// reportAge returns the age of an agent's last report, or -1 if there is none.
func (e *Entry) reportAge(agent string) int64 {
	if w := e.scheduler.Workers[agent]; w != nil && w.ReportedAt > 0 {
		return int64(e.clock.Now() - w.ReportedAt)
	}
	return -1
}

// earlierAgent returns the incarnation of another known agent process on the same host, or "".
func (e *Entry) earlierAgent(agent, host string) string {
	for incarnation, w := range e.scheduler.Workers {
		if w.Host == host && incarnation != agent {
			return incarnation
		}
	}
	return ""
}

// answerMemory remembers the last answers, for the log only.
type answerMemory struct {
	byJob map[jobs.ID]rememberedAnswer
	// order lists the remembered jobs, the first answered first.
	order []jobs.ID
}

type rememberedAnswer struct {
	at      clock.Millis
	verdict string
	// request is the id of the request that was answered.
	request string
}

func newAnswerMemory() *answerMemory {
	return &answerMemory{byJob: map[jobs.ID]rememberedAnswer{}}
}

// add remembers an answer and forgets those that are too old or too many.
func (m *answerMemory) add(id jobs.ID, a rememberedAnswer) {
	if _, known := m.byJob[id]; !known {
		m.order = append(m.order, id)
	}
	m.byJob[id] = a
	for len(m.order) > maxRememberedAnswers || a.at-m.byJob[m.order[0]].at > answerMemoryMS {
		delete(m.byJob, m.order[0])
		m.order = m.order[1:]
	}
}
