package runner

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/offer"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// offerLogMS is the shortest interval between two log lines on offers.
const offerLogMS = 10 * clock.Second

// offerCounts counts the capacity offers since the last log line on them.
type offerCounts struct {
	made     int
	used     int
	loggedAt clock.Millis
}

// onWaiting records that a job waits at an entry, or that none does any more.
func (a *Agent) onWaiting(entry string, m *wire.Waiting, now clock.Millis) {
	if m.GetNone() {
		a.book.Remove(entry)
		return
	}
	a.book.SetDemand(entry, offer.Demand{LatestStart: now + clock.Millis(m.GetSlackMs()), Started: m.GetStarted(),
		Size: link.DecodeSize(m.GetSize())}, now)
}

// offerCapacity reports the free capacity to the entry that it is offered to, if one is.
func (a *Agent) offerCapacity(now clock.Millis) {
	a.logOffers(now)
	if !a.offersRuns(now) {
		a.book.Suspend(now)
		return
	}
	for {
		entry, found := a.book.Next(a.supervisor.Free(), now)
		if !found {
			return
		}
		if l := a.links[entry]; l != nil {
			a.metrics.recordOffer()
			a.offerCounts.made++
			l.link.Send(a.capacityFrame(l))
			return
		}
		a.book.Remove(entry)
	}
}

// offersRuns reports whether capacity may be offered: an entry waits, and the worker takes runs
// without restriction.
func (a *Agent) offersRuns(now clock.Millis) bool {
	if a.book.Waiting() == 0 || a.supervisor.RefusesRuns() {
		return false
	}
	onProbation, _ := a.supervisor.Probation(now)
	return !onProbation && !a.supervisor.Stalled()
}

// withholdsReport reports whether the capacity that ended runs have left is offered to waiting
// entries rather than reported to the entry of these runs. An entry whose run was returned has to
// learn the capacity in any case, or it would send the run again.
func (a *Agent) withholdsReport(ends []runs.RunEnd, now clock.Millis) bool {
	for _, e := range ends {
		if e.Outcome != jobs.OutcomeDone {
			return false
		}
	}
	return a.offersRuns(now) && a.book.HasDemandFor(a.supervisor.Free())
}

// recordLaunch records that an entry has launched tasks, for which it may have used an offer.
func (a *Agent) recordLaunch(entry string) {
	if a.book.Launched(entry) {
		a.metrics.recordUsedOffer()
		a.offerCounts.used++
	}
}

// logOffers logs how many offers were made and used, at most every offerLogMS.
func (a *Agent) logOffers(now clock.Millis) {
	if a.offerCounts.made == 0 || now-a.offerCounts.loggedAt < offerLogMS {
		return
	}
	a.log.Info("capacity offered", "offers", a.offerCounts.made, "used", a.offerCounts.used, "waiting", a.book.Waiting(),
		"free_milli_cpu", a.supervisor.Free().MilliCPU)
	a.offerCounts = offerCounts{loggedAt: now}
}
