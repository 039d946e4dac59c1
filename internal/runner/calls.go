package runner

import (
	"context"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/guard"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// startResult is the result of a start call.
type startResult struct {
	run     runs.Run
	outcome runs.StartOutcome
	// clockMS is the worker's clock; zero without an answer.
	clockMS clock.Millis
}

// pollResult is the result of a poll.
type pollResult struct {
	// result holds no answer if err is set.
	result runs.PollResult
	// token is the fencing token that the poll carried.
	token int64
	err   error
}

// stopResult is the result of a stop call.
type stopResult struct {
	run runs.Run
	err error
}

// performActions performs the supervisor's actions: it calls the worker and sends frames.
func (a *Agent) performActions(ctx context.Context) {
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
			a.metrics.recordRunEnd(act.End.Outcome)
		case runs.Lost:
			a.logLoss(act)
		}
	}
	for _, e := range a.supervisor.TakeEnded() {
		a.logEnd(e)
	}
	now := a.clock.Now()
	for entry, ends := range reports {
		if l := a.links[entry]; l != nil {
			if !a.withholdsReport(ends, now) {
				l.link.Send(a.capacityFrame(l))
			}
			l.link.Send(endsFrame(ends))
		}
	}
	if a.supervisor.NotifyNow || a.supervisor.Changed && now-a.capacityReportedAt >= a.reportInterval() {
		a.reportCapacity()
	}
	a.offerCapacity(now)
}

// logLoss logs and counts a run that counts as lost.
func (a *Agent) logLoss(l runs.Lost) {
	a.metrics.recordLoss(l.Cause)
	a.log.Info("run lost", "job", string(l.Run.Ref.Job), "task", l.Run.Ref.Task.String(), "run", l.Run.Number,
		"cause", string(l.Cause), "status", l.Run.Status.String(), "started_ms_ago", int64(a.clock.Now()-l.Run.StartedAt),
		"worker", a.supervisor.Worker.ID, "life", a.supervisor.Worker.Epoch)
}

// reportInterval returns the interval of capacity reports to entries that had no part in the
// change.
func (a *Agent) reportInterval() clock.Millis {
	links := len(a.links)
	return clock.Millis(capacityReportUS * links * links * links / 1000)
}

func (a *Agent) startRun(ctx context.Context, r runs.Run) {
	leaseEnd := a.supervisor.GrantLease(a.clock.Now(), runs.StartLeaseMS)
	a.logStart(r, leaseEnd)
	until := leaseEnd + a.clockOffset
	a.supervisor.SetLease(r.Ref, r.Entry, until)
	a.activeCalls++
	w := *a.supervisor.Worker
	go func() {
		ctx, stop := context.WithTimeout(ctx, callTimeout(r.UnansweredStarts).Duration())
		defer stop()
		result := startResult{run: r, outcome: runs.StartUnanswered}
		err := guard.Run("start run", func() { result.outcome, result.clockMS = a.worker.Start(ctx, w, r, until) })
		if err != nil {
			a.log.Error("unexpected error in a start", "job", string(r.Ref.Job), "error", err.Error())
		}
		a.startResults <- result
	}()
}

// callTimeout returns the timeout of a call after a number of consecutive unanswered ones.
func callTimeout(unanswered int) clock.Millis {
	return min(minCallTimeoutMS<<min(unanswered, maxCallDoublings), maxCallTimeoutMS)
}

// maxCallDoublings is enough to reach maxCallTimeoutMS.
const maxCallDoublings = 3

func (a *Agent) onStartResult(r startResult) {
	a.activeCalls--
	if r.run.Epoch == a.supervisor.Epoch() {
		a.setClockOffset(r.clockMS)
	}
	a.metrics.recordStart(r.outcome)
	if r.outcome != runs.StartOK {
		a.log.Info("start not done", "job", string(r.run.Ref.Job), "task", r.run.Ref.Task.String(),
			"run", r.run.Number, "answer", int(r.outcome))
	}
	now := a.clock.Now()
	a.supervisor.HandleStartOutcome(r.run.Ref, r.run.Entry, r.run.Number, r.outcome, now)
	if r.outcome == runs.StartMisdirected {
		a.nextPollAt = min(a.nextPollAt, now)
	}
}

func (a *Agent) stopRun(ctx context.Context, r runs.Run) {
	a.activeCalls++
	w := *a.supervisor.Worker
	if r.Entry == "" {
		a.log.Info("stopping a run that no entry holds", "job", string(r.Ref.Job), "task", r.Ref.Task.String(), "run", r.Number,
			"worker", w.ID, "lease_left_ms", int64(max(a.renewedUntil-a.clock.Now(), 0)))
	} else {
		a.logStop(r)
	}
	go func() {
		ctx, stop := context.WithTimeout(ctx, maxCallTimeoutMS.Duration())
		defer stop()
		err := guard.Call("stop run", func() error { return a.worker.Stop(ctx, w, r.Ref, r.Number) })
		a.stopResults <- stopResult{run: r, err: err}
	}()
}

func (a *Agent) onStopResult(r stopResult) {
	a.activeCalls--
	if r.err != nil {
		a.log.Info("stop call failed; the stop will be retried", "job", string(r.run.Ref.Job), "task", r.run.Ref.Task.String(),
			"error", r.err.Error())
		return
	}
	a.supervisor.HandleStopAck(r.run.Ref, r.run.Entry, r.run.Number, a.clock.Now())
}

// poll keeps one poll of the worker in flight. Polls renew the leases and return the runs
// that have ended.
func (a *Agent) poll(ctx context.Context) {
	now := a.clock.Now()
	if a.polling || a.supervisor.Worker == nil || now < a.nextPollAt {
		return
	}
	w := a.supervisor.NextPollTarget(now)
	namesPresent := w.ID == a.supervisor.Worker.ID
	wait, timeout := pollWaitMS, callTimeout(a.supervisor.FailedPolls())
	switch {
	case !a.supervisor.Confirmed() || a.supervisor.HasRunsOfEarlierEpoch() || a.supervisor.HasPendingAnnouncements():
		wait = 0
	case a.supervisor.IsUnproved():
		wait = 0 // a worker that has started anew would hold back the answer that shows it
	case a.supervisor.RunsAtWorker() == 0:
		wait = idlePollWaitMS
	case a.supervisor.Cautious(now):
		wait = cautiousPollWaitMS
	}
	if !a.clockOffsetKnown {
		wait = 0 // leases can be renewed only once the worker's clock is known
	}
	until := clock.Millis(0)
	if namesPresent && a.clockOffsetKnown && a.supervisor.RenewLeases(now) {
		a.renewedUntil = a.supervisor.GrantLease(now, a.settings.LeaseMS)
		until = a.renewedUntil + a.clockOffset
	}
	a.polling, a.polledAt = true, now
	a.activeCalls++
	go func() {
		ctx, stop := context.WithTimeout(ctx, (wait + timeout).Duration())
		defer stop()
		var p runs.PollResult
		err := guard.Call("poll", func() (err error) {
			p, err = a.worker.Poll(ctx, w, until, wait)
			return err
		})
		p.SentAt, p.SentID, p.SentEpoch = now, w.ID, w.Epoch
		a.pollResults <- pollResult{result: p, token: w.Token, err: err}
	}()
}

func (a *Agent) onPollResult(ctx context.Context, r pollResult) {
	a.activeCalls--
	a.polling = false
	now := a.clock.Now()
	a.metrics.recordPoll(r.err == nil)
	before := a.presentWorker()
	if r.err != nil {
		a.onPollFailure(r, now)
	} else {
		a.onPollAnswer(r.result, now)
	}
	a.logWorkerChange(before)
	a.logRefuted(now)
	if a.recordWriter.isAwaited() {
		a.saveWorkerRecord(ctx)
		a.releaseSaved()
	}
}

// onPollFailure handles a poll that was not answered or was refused.
func (a *Agent) onPollFailure(r pollResult, now clock.Millis) {
	isMisdirected := errors.Is(r.err, ErrMisdirected)
	if isMisdirected {
		wasConfirmed := a.supervisor.Confirmed()
		a.supervisor.HandleMisdirected(r.result.SentID, r.result.SentAt, now)
		if !wasConfirmed || r.result.SentID != a.supervisor.Worker.ID {
			return // that poll was no call of the present worker
		}
	}
	a.misdirected = isMisdirected
	wasUnreachable := a.supervisor.Unreachable
	// The first failed poll is repeated at once, later ones after a growing delay, unless the worker
	// that has replaced the present one has announced itself.
	a.nextPollAt = now + callTimeout(a.supervisor.FailedPolls()) - minCallTimeoutMS
	if isMisdirected && a.supervisor.HasPendingAnnouncements() {
		a.nextPollAt = now
	}
	a.supervisor.HandlePollFailure(a.settings.LeaseMS, now)
	if errors.Is(r.err, ErrFenced) {
		a.supervisor.HandleFencedPoll(r.token)
		a.log.Warn("the worker has seen a higher fencing token; raised", "worker", a.supervisor.Worker.ID, "token", a.supervisor.Worker.Token)
	}
	if a.supervisor.Unreachable && !wasUnreachable {
		a.log.Warn("worker lost", "worker", a.supervisor.Worker.ID, "error", r.err.Error())
	}
}

// onPollAnswer handles an answered poll.
func (a *Agent) onPollAnswer(p runs.PollResult, now clock.Millis) {
	if a.supervisor.Unreachable {
		a.log.Info("worker back", "worker", a.supervisor.Worker.ID)
	}
	if p.MalformedRows > 0 {
		a.log.Warn("the worker listed runs that are not understood; ignored", "worker", a.supervisor.Worker.ID, "rows", p.MalformedRows)
	}
	a.misdirected = false
	confirmed, before := a.supervisor.Confirmed(), a.presentWorker()
	a.supervisor.HandlePoll(p, now)
	if a.presentWorker().Identity() != before.Identity() {
		a.clockOffsetKnown = false
	}
	if p.Epoch == 0 || p.Epoch == a.supervisor.Epoch() {
		a.setClockOffset(p.ClockMS)
	}
	if a.supervisor.HasPendingAnnouncements() || a.supervisor.HasRunsOfEarlierEpoch() && p.SentEpoch == a.supervisor.Epoch() {
		// An answer of another epoch resolved nothing, and one to a poll that was sent before the
		// announcement proves nothing of it.
		a.nextPollAt = now + cautiousPollWaitMS
	}
	if !confirmed && a.supervisor.Confirmed() {
		a.onWorkerConfirmed()
	}
}

// onWorkerConfirmed sends every linked entry a new inventory, which now lists the runs of an
// earlier agent process. The logged counts are those of these runs.
func (a *Agent) onWorkerConfirmed() {
	running, ended := a.supervisor.Orphans()
	a.log.Info("worker taken over", "worker", a.supervisor.Worker.ID, "running", len(running), "ended", len(ended))
	for entry, l := range a.links {
		a.sendInventory(entry, l.link)
	}
}

// setClockOffset updates clockOffset from the worker's clock, which may run slower than the
// agent's and starts anew with each epoch. clockMS is zero if the worker did not answer.
func (a *Agent) setClockOffset(clockMS clock.Millis) {
	if clockMS > 0 {
		a.clockOffset, a.clockOffsetKnown = clockMS-a.clock.Now(), true
	}
}
