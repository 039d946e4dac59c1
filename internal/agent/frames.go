package agent

import (
	"google.golang.org/protobuf/proto"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/slot"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

func decodeTask(incarnation string, m *wire.Start, now clock.Millis) slot.Task {
	return slot.Task{
		Entry:       incarnation,
		MessageID:   m.GetAsk(),
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

var wireOutcomes = map[slot.Status]wire.Outcome{
	slot.StatusOK:      wire.Outcome_OUTCOME_OK,
	slot.StatusFailed:  wire.Outcome_OUTCOME_FAILED,
	slot.StatusNotRun:  wire.Outcome_OUTCOME_NOT_RUN,
	slot.StatusUnknown: wire.Outcome_OUTCOME_MAYBE,
}

func doneFrame(c slot.Completion) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Done{Done: &wire.Done{
		Ask:         c.MessageID,
		Outcome:     wireOutcomes[c.Outcome.Status],
		ContentType: c.Outcome.Result.ContentType,
		Body:        c.Outcome.Result.Body,
		Detail:      c.Outcome.Detail,
		Fault:       c.Outcome.Unreachable,
		TimedOut:    c.Outcome.TimedOut,
		ServiceMs:   int64(c.ServiceMS),
		QueuedMs:    int64(c.QueuedMS),
		Load:        encodeLoad(c.Load),
		Others: &wire.Use{
			SlotMs:  int64(c.RemoteUsage.SlotMS),
			Starts:  c.RemoteUsage.Starts,
			Running: int32(c.RemoteUsage.Running),
		},
		Leaving: c.Leaving,
	}}}
}

func encodeLoad(l slot.Load) *wire.Load {
	return &wire.Load{Running: int32(l.Running), Queued: int32(l.Queued), Window: int32(l.Window)}
}

func foundFrame(messageID uint64, tasks []slot.CachedTask) *wire.Frame {
	m := &wire.Found{Ask: messageID}
	for _, t := range tasks {
		m.Tasks = append(m.Tasks, &wire.FoundTask{
			Task:     int32(t.Index),
			Complete: t.Complete,
			Result:   &wire.Result{ContentType: t.Result.ContentType, Body: t.Result.Body},
		})
	}
	return &wire.Frame{Body: &wire.Frame_Found{Found: m}}
}

// heartbeatFrame returns a heartbeat with the window of the entry with the given incarnation.
// It includes the upstream only if that has changed since the last heartbeat to this entry.
func (a *Agent) heartbeatFrame(incarnation string) *wire.Frame {
	h := &wire.Heartbeat{
		ConfigVersion: a.config.Version,
		Load:          encodeLoad(a.pool.LoadFor(incarnation)),
		Draining:      a.draining,
	}
	if u := a.encodeUpstream(); !proto.Equal(u, a.reportedUpstream[incarnation]) {
		a.reportedUpstream[incarnation] = u
		h.Upstream = u
	}
	return &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: h}}
}

// encodeUpstream returns the state of the upstream, or nil if none has announced itself.
func (a *Agent) encodeUpstream() *wire.Upstream {
	u := a.pool.Upstream
	if u == nil {
		return nil
	}
	return &wire.Upstream{
		Name:    u.Name,
		Slots:   int32(u.Slots),
		Kinds:   u.Kinds,
		Leaving: a.pool.Closed(),
	}
}
