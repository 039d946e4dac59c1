package sched

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

const (
	// cancelledMemoryMS is how long an entry remembers a cancelled job. Copies of a submission
	// arrive up to some seconds late.
	cancelledMemoryMS clock.Millis = 15_000
	// maxCancelledJobs bounds the memory. When it is exceeded the oldest is forgotten, and a copy of
	// its submission that arrives later runs.
	maxCancelledJobs = 10_000
)

// cancelledJobs remembers the jobs that were cancelled, at this entry or any other, so that a late
// copy of a submission does not start a cancelled job again.
type cancelledJobs struct {
	// at is when each remembered job was last cancelled.
	at map[jobs.ID]clock.Millis
	// order lists the cancellations, oldest first. A job that was cancelled again is in it more
	// than once.
	order []cancelledJob
}

type cancelledJob struct {
	id jobs.ID
	at clock.Millis
}

func newCancelledJobs() *cancelledJobs {
	return &cancelledJobs{at: map[jobs.ID]clock.Millis{}}
}

// add remembers a cancelled job from now on.
func (c *cancelledJobs) add(id jobs.ID, now clock.Millis) {
	if id == "" {
		return
	}
	for len(c.order) > 0 && (len(c.order) >= maxCancelledJobs || now-c.order[0].at > cancelledMemoryMS) {
		c.forgetOldest()
	}
	c.at[id] = now
	c.order = append(c.order, cancelledJob{id: id, at: now})
}

// forgetOldest drops the oldest cancellation, and its job unless that was cancelled again.
func (c *cancelledJobs) forgetOldest() {
	oldest := c.order[0]
	c.order = c.order[1:]
	if c.at[oldest.id] == oldest.at {
		delete(c.at, oldest.id)
	}
}

// has reports whether a job is remembered as cancelled.
func (c *cancelledJobs) has(id jobs.ID, now clock.Millis) bool {
	at, known := c.at[id]
	return known && now-at <= cancelledMemoryMS
}
