package place

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// pump places what can be placed and turns away what can't be served in time any
// more, in three groups, each in order of rank. First the jobs that have begun: a job
// is answered with its last task, and when every job has a part of its tasks at work
// all of them end late. Then those that can still be in time. Last those that are
// late: put first, as their rank would have it, each makes the next one late as well.
//
// A job that waits for a faster worker holds up nobody else: the ones behind it may
// take the room that it left.
func (s *Scheduler) pump(now clock.Millis) {
	if s.findOpen() {
		waiting := append([]*Job(nil), s.waiting...)
		for group := groupBegun; group <= groupLate; group++ {
			for _, j := range waiting {
				if !j.Ending && j.group(now) == group {
					s.placeJob(j, now)
				}
			}
		}
	}
	s.turnAway(now)
}

// The groups of waiting jobs, in the order in which they are placed.
const (
	groupBegun = iota
	groupTimely
	groupLate
)

func (j *Job) group(now clock.Millis) int {
	switch {
	case j.Started:
		return groupBegun
	case j.missed(now):
		return groupLate
	default:
		return groupTimely
	}
}

// findOpen keeps the workers that have any room, in a fixed order; it reports whether
// there are some, and jobs that wait for them.
func (s *Scheduler) findOpen() bool {
	if len(s.waiting) == 0 {
		return false
	}
	s.open = s.open[:0]
	for _, w := range s.Workers {
		if w.hasRoom() {
			s.open = append(s.open, w)
		}
	}
	sort.Slice(s.open, func(a, b int) bool { return s.open[a].Agent < s.open[b].Agent })
	return len(s.open) > 0
}

// missed reports whether the job has waited so long that it probably ends late.
func (j *Job) missed(now clock.Millis) bool {
	return now > j.QueueDeadline
}

// placeJob sends the job's tasks that have room.
func (s *Scheduler) placeJob(j *Job, now clock.Millis) {
	launches := map[launchKey]*Launch{}
	var order []launchKey
	for _, t := range j.Tasks {
		if t.State != TaskWaiting || !j.ready(t.ID.Step) {
			continue
		}
		w := s.choose(j, t, now)
		if w == nil {
			break
		}
		k := launchKey{w.Agent, t.ID.Step}
		if launches[k] == nil {
			launches[k] = s.newLaunch(j, k, w)
			order = append(order, k)
		}
		s.send(j, t, w, launches[k], now)
	}
	for _, k := range order {
		s.actions = append(s.actions, *launches[k])
	}
	if !j.hasWaiting() {
		s.dequeue(j)
	}
}

type launchKey struct {
	agent string
	step  int
}

func (s *Scheduler) newLaunch(j *Job, k launchKey, w *Worker) *Launch {
	w.LastLaunch++
	return &Launch{
		Agent:       k.agent,
		Number:      w.LastLaunch,
		Job:         j.Spec.ID,
		Queue:       j.Queue.Name,
		Payload:     j.Spec.Payload,
		Size:        j.Spec.Steps[k.step].Size,
		ExpectedMS:  j.WorkMS,
		LatestStart: int64(j.LatestStart),
	}
}

func (s *Scheduler) send(j *Job, t *Task, w *Worker, l *Launch, now clock.Millis) {
	t.State = TaskSent
	t.Run++
	t.Agent = w.Agent
	t.SentAt = now
	t.Stopping = false
	t.PredictedRunMS = clock.Millis(float64(j.WorkMS)/w.Speed) + overheadMS
	if !j.Started {
		j.Started, j.FirstSentAt = true, now
	}
	j.LastSentAt = now
	l.Tasks = append(l.Tasks, LaunchTask{ID: t.ID, Run: t.Run})
	w.unseen = append(w.unseen, unseen{number: l.Number, size: l.Size})
}

// ready reports whether the steps before one are done.
func (j *Job) ready(step int) bool {
	for _, before := range j.Spec.Steps[step].After {
		for _, t := range j.Tasks {
			if t.ID.Step == before && t.State != TaskDone {
				return false
			}
		}
	}
	return true
}

func (j *Job) hasWaiting() bool {
	for _, t := range j.Tasks {
		if t.State == TaskWaiting {
			return true
		}
	}
	return false
}

// choose returns the worker for a task, or nil when waiting is better or nothing is
// free. A worker on which the task would end late is passed over while a faster one
// could still end it in time.
func (s *Scheduler) choose(j *Job, t *Task, now clock.Millis) *Worker {
	size := j.Spec.Steps[t.ID.Step].Size
	label := j.Spec.Steps[t.ID.Step].Label
	due := j.ArrivedAt + j.Objective
	var best *Worker
	var bestEnd, bestFar float64
	for _, w := range s.open {
		if w.Agent == t.AvoidAgent && len(s.Workers) > 1 {
			continue
		}
		if !w.takes(j.Queue.Fleet, label, size) {
			continue
		}
		end := s.predictedEnd(j, w, now)
		far := s.tieBreak(w, size)
		if best == nil || end < bestEnd-1 || (end < bestEnd+1 && far < bestFar) {
			best, bestEnd, bestFar = w, end, far
		}
	}
	if best == nil {
		return nil
	}
	if bestEnd > float64(due) && !j.missed(now) {
		return nil
	}
	if bestEnd > float64(j.ArrivedAt+LateFactor*j.Objective) && !j.Started {
		return nil
	}
	return best
}

func (s *Scheduler) predictedEnd(j *Job, w *Worker, now clock.Millis) float64 {
	end := float64(now+overheadMS) + float64(j.WorkMS)/w.Speed
	if w.Zone != s.Zone {
		end += float64(farMS)
	}
	if quiet := now - w.ReportedAt; quiet > quietMS {
		// Its agent may be gone, which the link shows later.
		end += float64(quiet)
	}
	return end
}

// tieBreak prefers the emptier of two equal workers, so that entries which choose at
// the same moment meet less often.
func (s *Scheduler) tieBreak(w *Worker, size jobs.Size) float64 {
	if w.Capacity.MilliCPU < 1 {
		return 1
	}
	return 1 - float64(w.Free().MilliCPU-size.MilliCPU)/float64(w.Capacity.MilliCPU)
}

// turnAway refuses jobs of which nothing has run and which would only end too late.
func (s *Scheduler) turnAway(now clock.Millis) {
	for _, j := range append([]*Job(nil), s.waiting...) {
		if j.CallerDeadline > 0 && now >= j.CallerDeadline {
			s.finish(j, VerdictUnknown, ReasonCallerDeadline, now)
			continue
		}
		if j.group(now) != groupLate {
			continue
		}
		j.Ending = true
		s.dequeue(j)
		delete(s.Jobs, j.Spec.ID)
		s.answer(Answer{Job: j, Verdict: VerdictRefused, Reason: ReasonOverload,
			RetryAfter: s.retryAfter(j.Queue.Fleet), View: s.view(j.Queue.Fleet, now)})
	}
}

// retryAfter predicts when the backlog of a fleet is gone.
func (s *Scheduler) retryAfter(fleet string) clock.Millis {
	rate := 0.0
	for _, w := range s.Workers {
		if w.Fleet == fleet && w.usable() {
			rate += float64(w.Capacity.MilliCPU) * w.Speed
		}
	}
	if rate < 1 {
		return minRetryMS
	}
	work := 0.0
	for _, j := range s.waiting {
		if j.Queue.Fleet != fleet {
			continue
		}
		for _, t := range j.Tasks {
			if t.State == TaskWaiting {
				work += float64(j.WorkMS) * float64(j.Spec.Steps[t.ID.Step].Size.MilliCPU)
			}
		}
	}
	wait := clock.Millis(work / rate * float64(max(s.Entries, 1)))
	return min(max(wait, minRetryMS), maxRetryMS)
}
