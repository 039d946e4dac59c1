package runner

import (
	"context"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// startResult is the end of a start.
type startResult struct {
	run    runs.Run
	answer runs.StartOutcome
	// clockMS is the worker's clock; zero without an answer.
	clockMS clock.Millis
}

// lookResult is the end of a look.
type lookResult struct {
	look runs.PollResult
	err  error
}

// stopResult is the end of a stop.
type stopResult struct {
	run runs.Run
	err error
}

// carryOut turns the core's actions into calls and frames.
func (a *Agent) carryOut(ctx context.Context) {
	var reports map[string][]runs.RunEnd
	for _, action := range a.supervisor.TakeActions() {
		switch act := action.(type) {
		case runs.Start:
			a.startRun(ctx, act.Run)
		case runs.Stop:
			a.stopRun(ctx, act.Run)
		case runs.Report:
			if reports == nil {
				reports = map[string][]runs.RunEnd{}
			}
			reports[act.Entry] = append(reports[act.Entry], act.End)
			a.metrics.ended(act.End.Outcome)
		}
	}
	for entry, ends := range reports {
		if l := a.links[entry]; l != nil {
			l.link.Send(a.roomFrame(l))
			l.link.Send(endsFrame(ends))
		}
	}
	every := roomEveryMS * clock.Millis(len(a.links)*len(a.links))
	if a.supervisor.NotifyNow || a.supervisor.Changed && a.clock.Now()-a.roomAt >= every {
		a.tellRoom()
	}
}

func (a *Agent) startRun(ctx context.Context, r runs.Run) {
	until := a.leaseUntil(a.clock.Now(), runs.StartLeaseMS) + a.offset
	a.supervisor.StartSent(r.Ref, r.Entry, until)
	a.calls++
	w := *a.supervisor.Worker
	go func() {
		ctx, stop := context.WithTimeout(ctx, callTimeout(r.UnansweredStarts).Duration())
		defer stop()
		answer, workerClock := a.worker.Start(ctx, w, r, until)
		a.started <- startResult{run: r, answer: answer, clockMS: workerClock}
	}()
}

// ownerLeasePart is the part of the callers' wait within which the runs of a silent
// entry end; the worker's clock may be slow by some hundredths.
const ownerLeasePart = 0.93

// leaseUntil returns the end of a lease of so long, on the agent's clock. It is cut so
// that, should this process stand still next, the runs of an entry that has fallen
// silent lapse before its callers submit their jobs again.
func (a *Agent) leaseUntil(now, length clock.Millis) clock.Millis {
	until := now + length
	owners := a.supervisor.EntriesWithRuns()
	for inc, at := range a.heard {
		if owners[inc] {
			until = min(until, at+clock.Millis(ownerLeasePart*float64(a.settings.ResendMS)))
		} else if a.links[inc] == nil {
			delete(a.heard, inc)
		}
	}
	return until
}

// callTimeout returns how long a call may take after so many that got no answer.
func callTimeout(unanswered int) clock.Millis {
	return min(callMS<<min(unanswered, callDoublings), maxCallMS)
}

// callDoublings is enough to reach maxCallMS.
const callDoublings = 3

func (a *Agent) onStarted(r startResult) {
	a.calls--
	a.setOffset(r.clockMS)
	a.metrics.started(r.answer)
	if r.answer != runs.StartOK {
		a.log.Info("start not done", "job", string(r.run.Ref.Job), "task", r.run.Ref.Task.String(),
			"run", r.run.Number, "answer", int(r.answer))
	}
	a.supervisor.HandleStartOutcome(r.run.Ref, r.run.Entry, r.run.Number, r.answer, a.clock.Now())
}

func (a *Agent) stopRun(ctx context.Context, r runs.Run) {
	a.calls++
	w := *a.supervisor.Worker
	go func() {
		ctx, stop := context.WithTimeout(ctx, maxCallMS.Duration())
		defer stop()
		a.stopped <- stopResult{run: r, err: a.worker.Stop(ctx, w, r.Ref, r.Number)}
	}()
}

func (a *Agent) onStopped(r stopResult) {
	a.calls--
	if r.err != nil {
		a.log.Info("stop not answered; it is repeated", "job", string(r.run.Ref.Job), "task", r.run.Ref.Task.String(),
			"error", r.err.Error())
		return
	}
	a.supervisor.HandleStopAck(r.run.Ref, r.run.Entry, r.run.Number, a.clock.Now())
}

// look keeps one look at the worker under way: it renews the leases and brings the
// ends.
func (a *Agent) look(ctx context.Context) {
	now := a.clock.Now()
	if a.looking || a.supervisor.Worker == nil || now < a.lookAt {
		return
	}
	wait, slack := lookWaitMS, callTimeout(a.supervisor.FailedPolls())
	if a.supervisor.RunsAtWorker() == 0 {
		wait = idleLookMS
	}
	if !a.offsetSet {
		wait = 0 // its clock is needed first, to renew the leases
	}
	until := clock.Millis(0)
	if a.offsetSet && !a.supervisor.AwaitingClaims() && a.supervisor.RenewLeases(now) {
		until = a.leaseUntil(now, a.settings.LeaseMS) + a.offset
	}
	a.looking = true
	a.calls++
	w := *a.supervisor.Worker
	go func() {
		ctx, stop := context.WithTimeout(ctx, (wait + slack).Duration())
		defer stop()
		l, err := a.worker.Poll(ctx, w, until, wait)
		l.SentAt = now
		a.looked <- lookResult{look: l, err: err}
	}()
}

func (a *Agent) onLooked(r lookResult) {
	a.calls--
	a.looking = false
	now := a.clock.Now()
	a.metrics.looked(r.err == nil)
	if r.err != nil {
		was := a.supervisor.Unreachable
		a.lookAt = now + callTimeout(a.supervisor.FailedPolls()) - callMS
		a.supervisor.HandlePollFailure(a.settings.LeaseMS, now)
		if a.supervisor.Unreachable && !was {
			a.log.Warn("worker lost", "worker", a.supervisor.Worker.ID, "error", r.err.Error())
		}
		return
	}
	if a.supervisor.Unreachable {
		a.log.Info("worker back", "worker", a.supervisor.Worker.ID)
	}
	a.setOffset(r.look.ClockMS)
	confirmed := a.supervisor.Confirmed()
	a.supervisor.HandlePoll(r.look, now)
	if !confirmed && a.supervisor.Confirmed() {
		a.onTakenOver()
	}
}

// onTakenOver tells the entries that are linked already what an earlier process left.
func (a *Agent) onTakenOver() {
	running, ended := a.supervisor.Orphans()
	a.log.Info("worker taken over", "worker", a.supervisor.Worker.ID, "running", len(running), "ended", len(ended))
	for inc, l := range a.links {
		a.sendInventory(inc, l.link)
	}
}

// setOffset follows the worker's clock, which may be slow against this host's.
func (a *Agent) setOffset(workerClock clock.Millis) {
	if workerClock > 0 {
		a.offset, a.offsetSet = workerClock-a.clock.Now(), true
	}
}

func (a *Agent) roomFrame(l *entryLink) *wire.Frame {
	m := &wire.Room{SeenLaunch: l.seenLaunch}
	now := a.clock.Now()
	if w := a.supervisor.Worker; w != nil {
		trial, none := a.supervisor.Probation(now)
		if l.told == nil || !l.told.SameExceptDraining(*w) {
			m.Worker = &wire.RoomWorker{Id: w.ID, Fleet: w.Fleet, Labels: w.Labels, Capacity: link.EncodeSize(w.Capacity)}
			l.told = w
		}
		m.Free = link.EncodeSize(a.supervisor.Free())
		m.Speed = a.supervisor.Speed
		m.Closed = a.supervisor.NotAccepting()
		m.Resting = none
		m.Trial = trial
		m.Stalled = a.supervisor.Stalled()
	}
	return &wire.Frame{Body: &wire.Frame_Room{Room: m}}
}

func runsOf(entry string, m *wire.Launch) []runs.Run {
	list := make([]runs.Run, 0, len(m.GetTasks()))
	for _, t := range m.GetTasks() {
		list = append(list, runs.Run{
			Ref:         link.DecodeTaskRef(m.GetJob(), t.GetStep(), t.GetIndex()),
			Number:      t.GetRun(),
			Entry:       entry,
			Queue:       m.GetQueue(),
			Payload:     m.GetPayload(),
			Size:        link.DecodeSize(m.GetSize()),
			ExpectedMS:  clock.Millis(m.GetExpectedMs()),
			LatestStart: m.GetRank(),
		})
	}
	return list
}

func haltOf(m *wire.Halt) (jobs.ID, []jobs.TaskID) {
	var tasks []jobs.TaskID
	for _, t := range m.GetTasks() {
		tasks = append(tasks, jobs.TaskID{Step: int(t.GetStep()), Index: int(t.GetIndex())})
	}
	return jobs.ID(m.GetJob()), tasks
}

func endsOf(ends []runs.RunEnd) []*wire.TaskEnd {
	out := make([]*wire.TaskEnd, 0, len(ends))
	for _, e := range ends {
		out = append(out, &wire.TaskEnd{
			Job:   string(e.Ref.Job),
			Step:  int32(e.Ref.Task.Step),
			Index: int32(e.Ref.Task.Index),
			Run:   e.Number,
			End:   int32(e.Outcome),
			RanMs: int64(e.RanMS),
			Fault: e.WorkerFault,
		})
	}
	return out
}

func endsFrame(ends []runs.RunEnd) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Ends{Ends: &wire.Ends{Ends: endsOf(ends)}}}
}

func inventoryFrame(held []runs.Run, ends []runs.RunEnd) *wire.Frame {
	m := &wire.Inventory{Ends: endsOf(ends)}
	for _, r := range held {
		m.Held = append(m.Held, &wire.HeldTask{
			Job:   string(r.Ref.Job),
			Step:  int32(r.Ref.Task.Step),
			Index: int32(r.Ref.Task.Index),
			Run:   r.Number,
		})
	}
	return &wire.Frame{Body: &wire.Frame_Inventory{Inventory: m}}
}
