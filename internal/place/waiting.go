package place

import (
	"maps"
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/offer"
)

// Limits of the demand that agents are notified of.
const (
	// minDemandWaitMS is how long a job has waited before agents are notified of it. Jobs that wait
	// for less find capacity by the reports that arrive anyway.
	minDemandWaitMS clock.Millis = 10
	// agentsPerTask is the number of agents that are notified of one waiting task. If all agents
	// were notified of the first job, all would offer to it, and the entry would use the rest for jobs that
	// go after those of other entries.
	agentsPerTask = 2
)

// waitingStep is a step of a job with tasks that could be placed now if there were capacity.
type waitingStep struct {
	job   *Job
	step  int
	tasks int
	// agents is the number of agents that are to be notified of the step.
	agents int
}

// Demand returns the demand for each worker that a waiting job could use, by the incarnation of
// its agent. It is nil if no job has waited for minDemandWaitMS. For each waiting task,
// agentsPerTask agents get its demand, in the order in which schedule places jobs; the agents that
// remain are spread over the jobs.
func (s *Scheduler) Demand(now clock.Millis) map[string]offer.Demand {
	waiting := s.waitingSteps(now)
	if len(waiting) == 0 {
		return nil
	}
	demand := map[string]offer.Demand{}
	agents := slices.Sorted(maps.Keys(s.Workers))
	for i := range agents {
		w := s.Workers[agents[(i+s.firstAgent)%len(agents)]]
		if ws := s.pickStep(waiting, w, now); ws != nil {
			ws.agents++
			demand[w.Agent] = offer.Demand{LatestStart: ws.job.LatestStart, Started: ws.job.Started, Size: ws.job.Spec.Steps[ws.step].Size}
		}
	}
	return demand
}

// waitingSteps returns the steps that have waited for minDemandWaitMS, in the order in which
// schedule places their jobs.
func (s *Scheduler) waitingSteps(now clock.Millis) []*waitingStep {
	var out []*waitingStep
	for group := groupStarted; group <= groupPastQueueDeadline; group++ {
		for _, j := range s.jobsToPlace {
			if now-j.ArrivedAt >= minDemandWaitMS && j.group(now) == group {
				out = append(out, j.waitingSteps()...)
			}
		}
	}
	return out
}

// waitingSteps returns the steps of the job with tasks that could be placed now. The tasks of a
// job are ordered by step.
func (j *Job) waitingSteps() []*waitingStep {
	var out []*waitingStep
	for _, t := range j.Tasks {
		if t.State != TaskWaiting || !j.stepReady(t.ID.Step) {
			continue
		}
		if len(out) == 0 || out[len(out)-1].step != t.ID.Step {
			out = append(out, &waitingStep{job: j, step: t.ID.Step})
		}
		out[len(out)-1].tasks++
	}
	return out
}

// pickStep returns the first step that could use w and has fewer than agentsPerTask agents for each
// of its tasks. If there is none, it returns the step with the fewest agents for each task, or nil
// if no step could use w.
func (s *Scheduler) pickStep(waiting []*waitingStep, w *Worker, now clock.Millis) *waitingStep {
	var best *waitingStep
	for _, ws := range waiting {
		if !s.couldUse(ws, w, now) {
			continue
		}
		if ws.agents < agentsPerTask*ws.tasks {
			return ws
		}
		if best == nil || ws.agents*best.tasks < best.agents*ws.tasks {
			best = ws
		}
	}
	return best
}

// couldUse reports whether a task of the step would be placed on w if w had capacity for it.
func (s *Scheduler) couldUse(ws *waitingStep, w *Worker, now clock.Millis) bool {
	j := ws.job
	st := j.Spec.Steps[ws.step]
	if !w.usable() || !w.fitsWhenIdle(j.Queue.Fleet, st.Label, st.Size) {
		return false
	}
	return j.acceptsEnd(j.earliestEnd(w, now), now)
}
