package sched

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// linkUnconnectedEntry links another entry, and returns its link and the frames that are sent to it.
func linkUnconnectedEntry(e *Entry, name string) (*link.Link, func() []*wire.Frame) {
	l, sent := link.NewUnconnected(host.Host{Name: name, Incarnation: name, Role: host.RoleEntry})
	e.onEntryUp(l)
	return l, sent
}

// drainsIn returns the sets of drained zones in frames.
func drainsIn(frames []*wire.Frame) []zone.Drains {
	var out []zone.Drains
	for _, f := range frames {
		if m := f.GetZoneDrains(); m != nil {
			out = append(out, link.DecodeDrains(m))
		}
	}
	return out
}

// Guards against a launch that an agent or entry handles before it knows of the drains.
func TestDrainsAreTheFirstFrameOnALink(t *testing.T) {
	e := newTestEntry(t)
	d := zone.NewDrains(5, []string{"a"})
	e.onPublished(Published{Drains: &d})
	_, toEntry := linkUnconnectedEntry(e, "other")
	require.Equal(t, d, link.DecodeDrains(toEntry()[0].GetZoneDrains()))
	toAgent := linkFakeAgent(e)
	require.Equal(t, d, link.DecodeDrains(toAgent()[0].GetZoneDrains()))
}

func TestNewerDrainsArePassedOnAndOlderOnesCorrected(t *testing.T) {
	e := newTestEntry(t)
	knowing, toKnowing := linkUnconnectedEntry(e, "knowing")
	late, toLate := linkUnconnectedEntry(e, "late")
	toAgent := linkFakeAgent(e)
	require.Empty(t, append(drainsIn(toAgent()), drainsIn(toLate())...), "none are known yet")

	d := zone.NewDrains(7, []string{"a", "b"})
	e.onEntryFrame(knowing, link.DrainsFrame(d))
	require.Equal(t, []zone.Drains{d}, drainsIn(toAgent()))
	require.Equal(t, []zone.Drains{d}, drainsIn(toLate()))
	toKnowing()

	e.onEntryFrame(late, link.DrainsFrame(zone.NewDrains(6, nil)))
	require.Equal(t, d, e.drains)
	require.Equal(t, []zone.Drains{d}, drainsIn(toLate()), "the entry that knows an older set")
	e.onEntryFrame(late, link.DrainsFrame(d))
	require.Empty(t, append(append(drainsIn(toLate()), drainsIn(toKnowing())...), drainsIn(toAgent())...), "a copy of the present set")

	same := zone.NewDrains(9, []string{"a", "b"})
	e.onPublished(Published{Drains: &same})
	require.Equal(t, []zone.Drains{same}, drainsIn(toAgent()), "processes may have an older revision with other zones")
}
