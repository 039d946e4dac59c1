package link

import (
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// EncodeSize encodes a size.
func EncodeSize(s jobs.Size) *wire.Size {
	return &wire.Size{MilliCpu: s.MilliCPU, MemoryMb: s.MemoryMB, Accelerators: s.Accelerators}
}

// DecodeSize decodes a size.
func DecodeSize(m *wire.Size) jobs.Size {
	return jobs.Size{MilliCPU: m.GetMilliCpu(), MemoryMB: m.GetMemoryMb(), Accelerators: m.GetAccelerators()}
}

// DecodeTaskRef decodes a reference to a task.
func DecodeTaskRef(job string, step, index int32) jobs.TaskRef {
	return jobs.TaskRef{Job: jobs.ID(job), Task: jobs.TaskID{Step: int(step), Index: int(index)}}
}

// DrainsFrame encodes a set of drained zones.
func DrainsFrame(d zone.Drains) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_ZoneDrains{ZoneDrains: &wire.ZoneDrains{Revision: d.Revision, Zones: d.Zones}}}
}

// DecodeDrains decodes a set of drained zones.
func DecodeDrains(m *wire.ZoneDrains) zone.Drains {
	return zone.NewDrains(m.GetRevision(), m.GetZones())
}
