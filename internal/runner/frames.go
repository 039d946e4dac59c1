package runner

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// capacityFrame returns a report of the worker's free capacity and state. It includes the
// worker's description if that differs from the one last reported on the link, and records
// it as reported; the caller must send the frame. Nothing is reported of a worker that no poll
// has confirmed.
func (a *Agent) capacityFrame(l *entryLink) *wire.Frame {
	m := &wire.Room{SeenLaunch: l.lastLaunch, Closed: a.supervisor.RefusesRuns()}
	now := a.clock.Now()
	if w := a.supervisor.Worker; a.supervisor.Confirmed() {
		onProbation, ejected := a.supervisor.Probation(now)
		if l.reportedRevision != w.Revision {
			m.Worker = &wire.RoomWorker{Id: w.ID, Fleet: w.Fleet, Labels: w.Labels, Capacity: link.EncodeSize(w.Capacity),
				Revision: w.Revision}
			l.reportedRevision = w.Revision
		}
		m.Free = link.EncodeSize(a.supervisor.Free())
		m.Speed = a.supervisor.Speed
		m.Resting = ejected
		m.Trial = onProbation // set during an ejection as well
		m.Stalled = a.supervisor.Stalled()
		m.Releases = encodeReleases(a.supervisor.Releases(now))
	}
	return &wire.Frame{Body: &wire.Frame_Room{Room: m}}
}

// decodeLaunch returns the runs of a launch that arrived at now.
func decodeLaunch(entry string, m *wire.Launch, now clock.Millis) []runs.Run {
	latestStart := m.GetRank()
	if m.SlackMs != nil {
		latestStart = int64(now) + m.GetSlackMs()
	}
	out := make([]runs.Run, 0, len(m.GetTasks()))
	for _, t := range m.GetTasks() {
		out = append(out, runs.Run{
			Ref:         link.DecodeTaskRef(m.GetJob(), t.GetStep(), t.GetIndex()),
			Number:      t.GetRun(),
			Entry:       entry,
			Queue:       m.GetQueue(),
			Payload:     m.GetPayload(),
			Size:        link.DecodeSize(m.GetSize()),
			ExpectedMS:  clock.Millis(m.GetExpectedMs()),
			LatestStart: latestStart,
			HoldMS:      clock.Millis(m.GetHoldMs()),
			Revision:    m.GetRevision(),
			Claim:       m.GetClaim(),
		})
	}
	return out
}

// decodeHalt returns the job and those of its tasks that are to be stopped. No tasks means
// all tasks of the job.
func decodeHalt(m *wire.Halt) (jobs.ID, []jobs.TaskID) {
	var tasks []jobs.TaskID
	for _, t := range m.GetTasks() {
		tasks = append(tasks, jobs.TaskID{Step: int(t.GetStep()), Index: int(t.GetIndex())})
	}
	return jobs.ID(m.GetJob()), tasks
}

func encodeEnds(ends []runs.RunEnd) []*wire.TaskEnd {
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
	return &wire.Frame{Body: &wire.Frame_Ends{Ends: &wire.Ends{Ends: encodeEnds(ends)}}}
}

func inventoryFrame(held []runs.Run, ends []runs.RunEnd) *wire.Frame {
	m := &wire.Inventory{Ends: encodeEnds(ends)}
	for _, r := range held {
		m.Held = append(m.Held, &wire.HeldTask{
			Job:       string(r.Ref.Job),
			Step:      int32(r.Ref.Task.Step),
			Index:     int32(r.Ref.Task.Index),
			Run:       r.Number,
			Unclaimed: r.Entry == "",
		})
	}
	return &wire.Frame{Body: &wire.Frame_Inventory{Inventory: m}}
}
