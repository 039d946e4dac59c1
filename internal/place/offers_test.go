package place

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/offer"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// fleetOffers holds the capacity offers of a fleet replay.
type fleetOffers struct {
	// announcers are those of the entries, in their order.
	announcers []*offer.Announcer
	// notices and offers count the frames, and leftOut the reports that were not sent with an
	// ended run.
	notices int
	offers  int
	leftOut int
	// used counts the offers that were answered with a launch.
	used int
}

func newFleetOffers(entries int) *fleetOffers {
	o := &fleetOffers{}
	for range entries {
		o.announcers = append(o.announcers, offer.NewAnnouncer())
	}
	return o
}

// announce sends the notices of an entry that are due.
func (f *fleetReplay) announce(entry int) {
	if f.offers == nil {
		return
	}
	for _, n := range f.offers.announcers[entry].Update(f.entries[entry].Demand(f.now), f.now) {
		f.offers.notices++
		book := f.byName[n.Agent].book
		f.send(func() {
			if n.Waiting {
				book.SetDemand(fmt.Sprint(entry), n.Demand, f.now)
			} else {
				book.Remove(fmt.Sprint(entry))
			}
		})
	}
}

// offerCapacity reports the free capacity of an agent to the entry that it is offered to.
func (f *fleetReplay) offerCapacity(a *fleetAgent) {
	if to, ok := a.book.Next(a.supervisor.Free(), f.now); ok {
		f.offers.offers++
		var entry int
		fmt.Sscan(to, &entry)
		f.reportTo(a, entry)
	}
}

// gapClosed is the part of the gap between entries without offers and one entry that sees all
// workers that offers have to close. They close half of it over eight seeds; single seeds vary.
const gapClosed = 0.4

// recordLaunch records that an entry has launched tasks at an agent.
func (f *fleetReplay) recordLaunch(a *fleetAgent, entry int) {
	if a.book.Launched(fmt.Sprint(entry)) {
		f.offers.used++
	}
}

// reportsEnd reports whether the entry of an ended run gets a report.
func (f *fleetReplay) reportsEnd(a *fleetAgent, end runs.RunEnd) bool {
	if end.Outcome != jobs.OutcomeDone || !a.book.HasDemandFor(a.supervisor.Free()) {
		return true
	}
	f.offers.leftOut++
	return false
}

// Without offers, entries refuse jobs and end them late while workers that they are linked to have
// capacity, of which their reports are out of date.
func TestOffersCloseTheGapToOneEntryThatSeesAll(t *testing.T) {
	const seeds = 4
	kinds := fleetKinds(loadAgents, 0.7)
	var off, on, ideal float64
	for seed := range uint64(seeds) {
		without, load := playFleetKinds(loadEntries, loadAgents, kinds, fleetReplayMS, seed, false)
		with, _ := playFleetKinds(loadEntries, loadAgents, kinds, fleetReplayMS, seed, true)
		one, _ := playFleetKinds(1, loadAgents, kinds, fleetReplayMS, seed, false)
		t.Logf("seed %d: off: %s; on: %s; one entry: %s", seed, without.figures(len(load)), with.figures(len(load)), one.figures(len(load)))
		off += float64(without.inTime) / float64(len(load)) / seeds
		on += float64(with.inTime) / float64(len(load)) / seeds
		ideal += float64(one.inTime) / float64(len(load)) / seeds
	}
	t.Logf("in time %.3f without offers, %.3f with, %.3f with one entry", off, on, ideal)
	require.Greater(t, on, off+gapClosed*(ideal-off))
}

// Offers cost processor time of entries that have little, which calm load must not spend.
func TestNoNoticeIsSentInCalmLoad(t *testing.T) {
	for seed := range uint64(3) {
		f, load := playFleetKinds(loadEntries, loadAgents, fleetKinds(loadAgents, 0.3), fleetReplayMS, seed, true)
		require.Zero(t, f.offers.notices, "%d jobs", len(load))
		require.Zero(t, f.offers.offers)
	}
}
