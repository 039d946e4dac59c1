package sched

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/offer"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// noticeLogMS is the shortest interval between two log lines on notices.
const noticeLogMS = 10 * clock.Second

// noticeCounts counts the notices to agents since the last log line on them: those that a job waits,
// and those that none does any more.
type noticeCounts struct {
	waiting  int
	none     int
	loggedAt clock.Millis
}

// sendNotices tells the agents of jobs that wait for capacity, and that none do any more. An entry
// that knows no other one tells nothing, since it gets all reports at once.
func (e *Entry) sendNotices(now clock.Millis) {
	if !e.settings.CapacityOffers || e.entryCount() < 2 || !e.announcer.Due(now) {
		return
	}
	for _, n := range e.announcer.Update(e.scheduler.Demand(now), now) {
		e.metrics.recordNotice(n.Waiting)
		if n.Waiting {
			e.noticeCounts.waiting++
		} else {
			e.noticeCounts.none++
		}
		e.sendToAgent(n.Agent, noticeFrame(n, now))
	}
	e.logNotices(now)
}

// logNotices logs how many notices were sent, at most every noticeLogMS.
func (e *Entry) logNotices(now clock.Millis) {
	n := &e.noticeCounts
	if n.waiting+n.none == 0 || now-n.loggedAt < noticeLogMS {
		return
	}
	jobsToPlace, workersWithFreeCPU := e.scheduler.Counts()
	e.log.Info("agents told of waiting jobs", "notices", n.waiting, "ended", n.none, "waiting", jobsToPlace, "open", workersWithFreeCPU)
	*n = noticeCounts{loggedAt: now}
}

func noticeFrame(n offer.Notice, now clock.Millis) *wire.Frame {
	m := &wire.Waiting{None: !n.Waiting}
	if n.Waiting {
		m.Size = link.EncodeSize(n.Demand.Size)
		m.SlackMs = int64(n.Demand.LatestStart - now)
		m.Started = n.Demand.Started
	}
	return &wire.Frame{Body: &wire.Frame_Waiting{Waiting: m}}
}
