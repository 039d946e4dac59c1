package runs

import (
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Release is capacity that is predicted to become free.
type Release struct {
	// InMS is how long from now on the capacity becomes free.
	InMS clock.Millis
	Size jobs.Size
}

const (
	// maxFreeFraction is the largest fraction of the worker's processor capacity that may be free for
	// predictions to be reported. With more free, large tasks find capacity without them.
	maxFreeFraction = 0.5
	// minRemaining is the fraction of its expected run time that a run is predicted to need at
	// least: one that has passed its expected run time ends soon, but not now.
	minRemaining = 0.25
	// A run is not predicted to end after stragglerFactor times its expected run time: the few
	// that get so far take many times as long as expected.
	stragglerFactor = 1.75
	// largeFraction is the fraction of the worker's processor capacity from which on entries reserve
	// capacity for a task. Without such tasks nobody needs the predictions.
	largeFraction = 0.2
	// largeMemoryMS is how long after the last large task predictions are reported.
	largeMemoryMS clock.Millis = 30_000
)

// releaseTimes are the possible values of InMS. Runs that are predicted to end between two of them count as
// released at the later one. Later ends are left out, since no entry reserves so far ahead.
var releaseTimes = [...]clock.Millis{20, 50, 100}

// recordSize records whether a requested run is large for the worker.
func (s *Supervisor) recordSize(size jobs.Size, now clock.Millis) {
	if s.Worker != nil && s.Worker.Described && float64(size.MilliCPU) >= largeFraction*float64(s.Worker.Capacity.MilliCPU) {
		s.largeUntil = now + largeMemoryMS
	}
}

// Releases returns the capacity that is predicted to become free soon, in order of time. It returns
// nothing unless the worker accepts runs, at least half of it is in use, and a large task was
// requested in the last largeMemoryMS.
func (s *Supervisor) Releases(now clock.Millis) []Release {
	if now >= s.largeUntil || s.RefusesRuns() || s.stalled || float64(s.Free().MilliCPU) > maxFreeFraction*float64(s.Worker.Capacity.MilliCPU) {
		return nil
	}
	var sizes [len(releaseTimes)]jobs.Size
	for _, run := range s.runs {
		remaining, known := s.remainingMS(run, now)
		if !known {
			continue
		}
		if i, _ := slices.BinarySearch(releaseTimes[:], remaining); i < len(sizes) {
			sizes[i] = sizes[i].Plus(run.Size)
		}
	}
	var releases []Release
	for i, size := range sizes {
		if size != (jobs.Size{}) {
			releases = append(releases, Release{InMS: releaseTimes[i], Size: size})
		}
	}
	return releases
}

// remainingMS predicts how much longer a run takes. It returns false if that is not known.
func (s *Supervisor) remainingMS(run *Run, now clock.Millis) (clock.Millis, bool) {
	if run.Status == Queued || run.Claimed || run.ExpectedMS < 1 {
		return 0, false
	}
	expected := float64(run.ExpectedMS) / s.Speed
	elapsed := float64(now - run.StartedAt)
	if elapsed > stragglerFactor*expected {
		return 0, false
	}
	return clock.Millis(max(expected-elapsed, minRemaining*expected)), true
}
