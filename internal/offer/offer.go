// Package offer holds the decisions of capacity offers. An entry whose jobs wait for capacity
// tells its agents so (Announcer). An agent with free capacity offers it to one such entry at a
// time, by reporting it at once (Book). An offer promises nothing: the entry launches as it
// always does, and the agent decides what starts. The cores do no I/O and read no clock.
//
// Load pattern: some entries of a dozen have jobs that wait for tens of milliseconds while
// workers that they are linked to have free capacity, which they learn up to 200 ms later.
package offer

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Demand is what an entry tells an agent about a job that waits for capacity and could use the
// agent's worker.
type Demand struct {
	// LatestStart is the latest time at which the job can start and still meet its objective, on
	// the clock of the process that holds the value.
	LatestStart clock.Millis
	// Started is set if other tasks of the job have started. Such a job goes first: it is
	// answered when its last task ends.
	Started bool
	// Size is the size of a task of the job.
	Size jobs.Size
}

// precedes reports whether d goes before o.
func (d Demand) precedes(o Demand) bool {
	if d.Started != o.Started {
		return d.Started
	}
	return d.LatestStart < o.LatestStart
}
