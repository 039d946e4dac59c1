package place

import (
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Worker is the state of a worker as known to this entry.
type Worker struct {
	// Agent is the incarnation of the worker's agent, and Host is the name of the host
	// on which both run.
	Agent string
	Host  string
	// Zone is the availability zone of the worker.
	Zone string
	ID   string
	// Fleet, Labels and Capacity describe the worker's present life. They are zero while that has not
	// described itself.
	Fleet    string
	Labels   []string
	Capacity jobs.Size
	// Revision is the agent's number of the description, which launches name.
	Revision uint64
	// UndescribedSince is when the agent first reported that the worker is not described. It is valid
	// while Fleet is empty.
	UndescribedSince clock.Millis
	// ReportedFree is the free capacity in the agent's last report. It may be negative.
	ReportedFree jobs.Size
	// Speed is the ratio of the callers' estimates to the actual run times on this
	// worker; above zero.
	Speed float64
	// Closed is set while the worker accepts no new tasks.
	Closed bool
	// Probation is set while the worker may run only one task at a time.
	Probation bool
	// Stalled is set while the worker's tasks make no progress.
	Stalled bool
	// ZoneDrained is set while the worker's zone is drained.
	ZoneDrained bool
	// Ejected is set while the worker gets no tasks after failures. It is ignored if
	// too many workers of the fleet are ejected.
	Ejected bool
	// ReportedAt is when the agent's last report arrived.
	ReportedAt clock.Millis
	// DisconnectedAt is when the link to the agent ended; zero while the link is up.
	DisconnectedAt clock.Millis
	// LastLaunch is the number of the last launch sent to the agent.
	LastLaunch uint64
	// Releases is the capacity that is predicted to become free, in order of time.
	Releases []Release

	unacked []unackedTask
}

// unackedTask is a task of a launch that ReportedFree does not account for yet.
type unackedTask struct {
	// launch is the number of the launch.
	launch uint64
	size   jobs.Size
}

// Free returns the capacity that is left after all launches sent so far.
func (w *Worker) Free() jobs.Size {
	free := w.ReportedFree
	for _, u := range w.unacked {
		free = free.Minus(u.size)
	}
	return free
}

// accepts reports whether w may be sent a task of the given fleet, label and size now.
func (w *Worker) accepts(fleet, label string, size jobs.Size) bool {
	if !w.usable() || w.Fleet != fleet {
		return false
	}
	if label != "" && !slices.Contains(w.Labels, label) {
		return false
	}
	if w.Probation && (len(w.unacked) > 0 || w.ReportedFree != w.Capacity) {
		return false
	}
	return size.FitsIn(w.Free())
}

// usable reports whether w accepts new tasks, regardless of its free capacity.
func (w *Worker) usable() bool {
	return !w.Closed && !w.ZoneDrained && !w.Ejected && w.DisconnectedAt == 0
}

// descriptionWaitMS is how long a job may wait for the description of a worker. It is more than two
// intervals of a worker's announcements.
const descriptionWaitMS clock.Millis = 4000

// awaitsDescription reports whether the worker may soon turn out to be one that fits a job: it has
// started anew and has not described itself.
func (w *Worker) awaitsDescription(now clock.Millis) bool {
	return w.Fleet == "" && !w.ZoneDrained && w.DisconnectedAt == 0 && now-w.UndescribedSince < descriptionWaitMS
}

// hasFreeCPU reports whether w accepts new tasks and has any processor time free. It
// does not check memory and accelerators.
func (w *Worker) hasFreeCPU() bool {
	return w.usable() && w.Free().MilliCPU > 0
}

// fitsWhenIdle reports whether w could run a task of the given fleet, label and size if it
// ran nothing else.
func (w *Worker) fitsWhenIdle(fleet, label string, size jobs.Size) bool {
	return w.Fleet == fleet && (label == "" || slices.Contains(w.Labels, label)) && size.FitsIn(w.Capacity)
}
