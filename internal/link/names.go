package link

import (
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// SizeOf encodes a size.
func SizeOf(s jobs.Size) *wire.Size {
	return &wire.Size{MilliCpu: s.MilliCPU, MemoryMb: s.MemoryMB, Accelerators: s.Accelerators}
}

// SizeFrom decodes a size.
func SizeFrom(m *wire.Size) jobs.Size {
	return jobs.Size{MilliCPU: m.GetMilliCpu(), MemoryMB: m.GetMemoryMb(), Accelerators: m.GetAccelerators()}
}

// NameFrom decodes the name of a task.
func NameFrom(job string, step, index int32) jobs.TaskRef {
	return jobs.TaskRef{Job: jobs.ID(job), Task: jobs.TaskID{Step: int(step), Index: int(index)}}
}
