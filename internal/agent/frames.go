package agent

import (
	"google.golang.org/protobuf/proto"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

func taskOf(entry string, m *wire.Start, now clock.Millis) slot.Task {
	return slot.Task{
		Entry:       entry,
		DispatchID:  m.GetAsk(),
		Request:     m.GetRequest(),
		Customer:    m.GetCustomer(),
		Kind:        m.GetKind(),
		Key:         m.GetKey(),
		Index:       int(m.GetTask()),
		Idempotent:  m.GetIdempotent(),
		Deadline:    now + clock.Millis(m.GetTimeoutMs()),
		CostMS:      m.GetCostMs(),
		ContentType: m.GetContentType(),
		Payload:     m.GetPayload(),
	}
}

var outcomes = map[slot.Status]wire.Outcome{
	slot.StatusOK:      wire.Outcome_OUTCOME_OK,
	slot.StatusFailed:  wire.Outcome_OUTCOME_FAILED,
	slot.StatusNotRun:  wire.Outcome_OUTCOME_NOT_RUN,
	slot.StatusUnknown: wire.Outcome_OUTCOME_MAYBE,
}

func doneFrame(a slot.Completion) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Done{Done: &wire.Done{
		Ask:         a.DispatchID,
		Outcome:     outcomes[a.Outcome.Status],
		ContentType: a.Outcome.Result.ContentType,
		Body:        a.Outcome.Result.Body,
		Detail:      a.Outcome.Detail,
		Fault:       a.Outcome.Unreachable,
		TimedOut:    a.Outcome.TimedOut,
		ServiceMs:   int64(a.ServiceMS),
		QueuedMs:    int64(a.QueuedMS),
		Load:        loadOf(a.Load),
		Others: &wire.Use{
			SlotMs:  int64(a.OthersUsage.SlotMS),
			Starts:  a.OthersUsage.Starts,
			Running: int32(a.OthersUsage.Running),
		},
		Leaving: a.Leaving,
	}}}
}

func loadOf(l slot.Load) *wire.Load {
	return &wire.Load{Running: int32(l.Running), Queued: int32(l.Queued), Window: int32(l.Window)}
}

func foundFrame(ask uint64, tasks []slot.CachedTask) *wire.Frame {
	m := &wire.Found{Ask: ask}
	for _, t := range tasks {
		m.Tasks = append(m.Tasks, &wire.FoundTask{
			Task:     int32(t.Index),
			Complete: t.Complete,
			Result:   &wire.Result{ContentType: t.Result.ContentType, Body: t.Result.Body},
		})
	}
	return &wire.Frame{Body: &wire.Frame_Found{Found: m}}
}

// heartbeat tells an entry its window and, where it changed since the last one, the
// upstream: what stays the same is not sent again.
func (a *Agent) heartbeat(entry string) *wire.Frame {
	h := &wire.Heartbeat{
		ConfigVersion: a.config.Version,
		Load:          loadOf(a.core.LoadFor(entry)),
		Draining:      a.draining,
	}
	if u := a.upstream(); !proto.Equal(u, a.told[entry]) {
		a.told[entry] = u
		h.Upstream = u
	}
	return &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: h}}
}

// upstream describes the upstream, or is nil before one announced itself.
func (a *Agent) upstream() *wire.Upstream {
	u := a.core.Upstream
	if u == nil {
		return nil
	}
	return &wire.Upstream{
		Name:    u.Name,
		Slots:   int32(u.Slots),
		Kinds:   u.Kinds,
		Leaving: a.core.Leaving,
	}
}
