package place

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// chooser returns the worker for a task, or nil if no worker suits it. holdMS is how long the
// worker's agent is to hold the task until the worker has capacity; zero if it has.
type chooser func(j *Job, t *Task, now clock.Millis) (w *Worker, holdMS clock.Millis)

// placeJob sends the job's waiting tasks to workers until no worker suits the next one.
func (s *Scheduler) placeJob(j *Job, choose chooser, now clock.Millis) {
	launches := map[launchKey]*Launch{}
	var order []launchKey
	for _, t := range j.Tasks {
		if t.State != TaskWaiting || !j.stepReady(t.ID.Step) {
			continue
		}
		w, holdMS := choose(j, t, now)
		if w == nil {
			break
		}
		k := launchKey{w.Agent, t.ID.Step}
		if launches[k] == nil {
			launches[k] = s.newLaunch(j, k, w)
			order = append(order, k)
		}
		launches[k].HoldMS = max(launches[k].HoldMS, holdMS)
		s.assign(j, t, w, launches[k], now)
	}
	for _, k := range order {
		s.actions = append(s.actions, *launches[k])
	}
	if !j.hasWaitingTask() {
		s.dequeue(j)
	}
}

// launchKey groups tasks that are sent in the same launch.
type launchKey struct {
	agent string
	step  int
}

// newLaunch returns the next launch of j to w, without tasks.
func (s *Scheduler) newLaunch(j *Job, k launchKey, w *Worker) *Launch {
	w.LastLaunch++
	return &Launch{
		Agent:       k.agent,
		Number:      w.LastLaunch,
		Job:         j.Spec.ID,
		Queue:       j.Queue.Name,
		Payload:     j.Spec.Payload,
		Size:        j.Spec.Steps[k.step].Size,
		ExpectedMS:  j.PredictedWorkMS,
		LatestStart: int64(j.LatestStart),
		Revision:    w.Revision,
	}
}

// assign gives t its next run number, marks it as sent to w and adds it to l.
func (s *Scheduler) assign(j *Job, t *Task, w *Worker, l *Launch, now clock.Millis) {
	t.State = TaskSent
	t.Run++
	t.Agent = w.Agent
	t.SentAt = now
	t.Stopping = false
	t.Held = l.HoldMS > 0
	t.PredictedRunMS = clock.Millis(float64(j.PredictedWorkMS)/w.Speed) + overheadMS
	if !j.Started {
		j.Started, j.FirstSentAt = true, now
	}
	j.LastSentAt = now
	l.Tasks = append(l.Tasks, LaunchTask{ID: t.ID, Run: t.Run})
	w.unacked = append(w.unacked, unackedTask{launch: l.Number, size: l.Size})
}

// stepReady reports whether all steps that the given step depends on are complete.
func (j *Job) stepReady(step int) bool {
	for _, before := range j.Spec.Steps[step].After {
		for _, t := range j.Tasks {
			if t.ID.Step == before && t.State != TaskDone {
				return false
			}
		}
	}
	return true
}

func (j *Job) hasWaitingTask() bool {
	for _, t := range j.Tasks {
		if t.State == TaskWaiting {
			return true
		}
	}
	return false
}
