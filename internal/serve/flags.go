package serve

import (
	"fmt"
	"math"
	"runtime/debug"

	"github.com/spf13/pflag"

	"github.com/turmericbarrow/turmericbarrow/internal/admit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/daemon"
)

// Bounds of the flags.
const (
	maxMemoryMB      = 1 << 20
	maxDescriptors   = 1 << 30
	minClientMB      = 8
	minHeaderLines   = 32
	minBodyTimeoutMS = 1000
	maxBodyTimeoutMS = 600_000
)

// The soft memory limit is this part of the host's memory. The rest is for the binary, the sockets'
// buffers in the kernel and what the collector has not returned yet.
const (
	memoryLimitNumerator   = 3
	memoryLimitDenominator = 4
)

// derivedUsage ends the usage texts of the flags whose zero value is derived.
const derivedUsage = "0 for the value that follows from --memory-mb and --max-descriptors"

// ClientFlags are the flags that limit the clients of a process. admit.Defaults derives the limits
// whose flag is zero.
type ClientFlags struct {
	// AssumedMemoryMB is the memory from which the limits follow if MemoryMB is zero. If both
	// are zero, they follow from the memory of the smallest host.
	AssumedMemoryMB int

	MemoryMB              float64
	Descriptors           int
	ClientMB              int
	Connections           int
	ConnectionsPerAddress int
	HeaderLines           int
	BodyTimeoutMS         int64
}

// Add adds the flags to a command.
func (c *ClientFlags) Add(f *pflag.FlagSet) {
	f.Float64Var(&c.MemoryMB, "memory-mb", 0, "memory of this host in MB; 0 if it is not known")
	f.IntVar(&c.Descriptors, "max-descriptors", 0, "descriptors that the process may open; 0 if it is not known")
	f.IntVar(&c.ClientMB, "max-client-mb", 0, "memory in MB for connections and unanswered requests; "+derivedUsage)
	f.IntVar(&c.Connections, "max-connections", 0, "connections of clients; "+derivedUsage)
	f.IntVar(&c.ConnectionsPerAddress, "max-connections-per-address", 0, "connections of clients from one address; "+derivedUsage)
	f.IntVar(&c.HeaderLines, "max-header-lines", 0, "header lines of a request; 0 for as many as its bytes can hold")
	f.Int64Var(&c.BodyTimeoutMS, "body-timeout-ms", 0, "time in which a request must arrive whole, in milliseconds; 0 for 15000")
}

// Settings checks the flags and returns the limits.
func (c *ClientFlags) Settings() (admit.Settings, error) {
	for _, f := range []struct {
		name       string
		value      int
		minV, maxV int
	}{
		{"memory-mb", int(math.Ceil(c.MemoryMB)), admit.MinMemoryMB, maxMemoryMB},
		{"max-descriptors", c.Descriptors, admit.MinDescriptors, maxDescriptors},
		{"max-client-mb", c.ClientMB, minClientMB, maxMemoryMB},
		{"max-connections", c.Connections, admit.MinConnections, maxDescriptors},
		{"max-connections-per-address", c.ConnectionsPerAddress, 1, maxDescriptors},
		{"max-header-lines", c.HeaderLines, minHeaderLines, maxDescriptors},
		{"body-timeout-ms", int(c.BodyTimeoutMS), minBodyTimeoutMS, maxBodyTimeoutMS},
	} {
		if f.value != 0 && (f.value < f.minV || f.value > f.maxV) {
			return admit.Settings{}, daemon.BadFlag(f.name, f.value, fmt.Sprintf("0, or %d to %d", f.minV, f.maxV))
		}
	}
	memoryMB := int(c.MemoryMB)
	if memoryMB == 0 {
		memoryMB = c.AssumedMemoryMB
	}
	return c.override(admit.Defaults(memoryMB, c.Descriptors)), nil
}

// override replaces the derived limits for which a flag is set.
func (c *ClientFlags) override(s admit.Settings) admit.Settings {
	if c.ClientMB > 0 {
		s.Bytes = int64(c.ClientMB) << 20
	}
	if c.Connections > 0 {
		s.Connections = c.Connections
	}
	if c.ConnectionsPerAddress > 0 {
		s.ConnectionsPerAddress = c.ConnectionsPerAddress
	}
	if c.HeaderLines > 0 {
		s.HeaderLines = c.HeaderLines
	}
	if c.BodyTimeoutMS > 0 {
		s.BodyTimeout = clock.Millis(c.BodyTimeoutMS)
	}
	return s
}

// SetMemoryLimit sets the soft memory limit of the Go runtime if the host's memory is known.
func (c *ClientFlags) SetMemoryLimit() {
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * memoryLimitNumerator / memoryLimitDenominator)
	}
}
