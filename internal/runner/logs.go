package runner

import (
	"context"
	"log/slog"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/dlog"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// refutedLogMS is the shortest interval between two log lines on refuted announcements.
const refutedLogMS = 10 * clock.Second

// logRefuted counts the refuted announcements, and logs the last one at most every refutedLogMS.
func (a *Agent) logRefuted(now clock.Millis) {
	refuted := a.supervisor.TakeRefuted()
	a.refutedCount += len(refuted)
	a.metrics.recordRefuted(len(refuted))
	if len(refuted) == 0 || a.refutedLoggedAt > 0 && now-a.refutedLoggedAt < refutedLogMS {
		return
	}
	last := refuted[len(refuted)-1]
	present := runs.Identity{}
	if w := a.supervisor.Worker; w != nil {
		present = w.Identity()
	}
	a.log.Warn("the worker's answers refute an announcement; ignored", "announced", last.ID, "announced_life", last.Epoch,
		"announced_fleet", last.Fleet, "worker", present.ID, "life", present.Epoch, "refuted", a.refutedCount)
	a.refutedCount, a.refutedLoggedAt = 0, now
}

// contactAge returns the time since the last proof that an entry was alive, or -1 without one.
func (a *Agent) contactAge(entry string) int64 {
	at, known := a.supervisor.LastContact(entry)
	if !known {
		return -1
	}
	return int64(a.clock.Now() - at)
}

// logRun logs a line about a run, with what the agent knows of its entry and worker.
func (a *Agent) logRun(level slog.Level, msg string, r runs.Run, attrs ...slog.Attr) {
	entry, linked := "", false
	if l := a.links[r.Entry]; l != nil {
		entry, linked = l.link.Peer.Name, true
	}
	line := append(make([]slog.Attr, 0, len(attrs)+maxRunAttrs),
		slog.String("job", string(r.Ref.Job)), slog.String("task", r.Ref.Task.String()), slog.Int64("run", r.Number),
		slog.String("entry", entry), slog.String("incarnation", r.Entry), slog.Bool("linked", linked),
		slog.Int64("contact_ms", a.contactAge(r.Entry)))
	if w := a.supervisor.Worker; w != nil {
		line = append(line, slog.String("worker", w.ID), slog.Int64("life", w.Epoch))
	}
	a.log.LogAttrs(context.Background(), level, msg, append(line, attrs...)...)
}

// maxRunAttrs is the number of attributes that logRun adds.
const maxRunAttrs = 9

// logStart logs the first start of a run, which carries a lease until the given time on the
// agent's clock. Unanswered starts have lines of their own.
func (a *Agent) logStart(r runs.Run, leaseUntil clock.Millis) {
	if r.UnansweredStarts > 0 {
		return
	}
	now := a.clock.Now()
	a.logRun(dlog.LevelFirst, "start sent", r, slog.Int64("queued_ms", int64(now-r.QueuedAt)), slog.Int64("lease_ms", int64(leaseUntil-now)))
}

// logStop logs a stop of a run that an entry requested, repeated stops included.
func (a *Agent) logStop(r runs.Run) {
	a.logRun(dlog.LevelOrdinary, "stop sent", r, slog.String("status", r.Status.String()),
		slog.Int64("started_ms_ago", a.startedAgo(r)), slog.Bool("acked", r.StopAckedAt > 0),
		slog.Int64("lease_left_ms", int64(max(a.renewedUntil-a.clock.Now(), 0))))
}

// logEnd logs the end of a run. A run that had not been started was queued for milliseconds, or was
// returned because its entry had placed it by an outdated description of the worker.
func (a *Agent) logEnd(e runs.Ended) {
	level := slog.LevelInfo
	if e.End.Outcome == jobs.OutcomeDone || e.Run.Status == runs.Queued {
		level = dlog.LevelOrdinary
	}
	outdated := e.Run.Status == runs.Queued && e.Run.Revision != a.presentWorker().Revision
	if outdated {
		a.metrics.recordOutdated()
	}
	a.logRun(level, "run over", e.Run, slog.String("end", e.End.Outcome.String()), slog.String("status", e.Run.Status.String()),
		slog.Int64("ran_ms", int64(e.End.RanMS)), slog.Int64("started_ms_ago", a.startedAgo(e.Run)),
		slog.Bool("stopping", e.Run.Stopping), slog.Bool("stop_acked", e.Run.StopAckedAt > 0),
		slog.Int("unanswered", e.Run.UnansweredStarts), slog.Bool("claimed", e.Run.Claimed),
		slog.Bool("outdated", outdated))
}

// startedAgo returns the time since the last start of a run was sent, or -1 without one.
func (a *Agent) startedAgo(r runs.Run) int64 {
	if r.Status == runs.Queued {
		return -1
	}
	return int64(a.clock.Now() - r.StartedAt)
}

// logClaims logs the runs of an earlier agent process that a launch takes over.
func (a *Agent) logClaims(launched []runs.Run) {
	running, ended := a.supervisor.Orphans()
	if len(running)+len(ended) == 0 {
		return
	}
	hasEnded := map[runs.RunID]bool{}
	for _, id := range running {
		hasEnded[id] = false
	}
	for _, e := range ended {
		hasEnded[runs.RunID{Ref: e.Ref, Number: e.Number}] = true
	}
	for _, r := range launched {
		if over, orphaned := hasEnded[runs.RunID{Ref: r.Ref, Number: r.Number}]; orphaned {
			a.logRun(dlog.LevelFirst, "run claimed", r, slog.Bool("ended", over))
		}
	}
}

// entryRuns returns how many runs the agent holds for an entry, and how many of them the worker
// may have.
func (a *Agent) entryRuns(entry string) (held, atWorker int) {
	for _, r := range a.supervisor.RunsOf(entry) {
		held++
		if r.Status != runs.Queued {
			atWorker++
		}
	}
	return held, atWorker
}
