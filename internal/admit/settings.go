package admit

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Settings are the limits on the clients of a process.
type Settings struct {
	// Bytes is the memory that connections and their unanswered requests may take.
	Bytes int64
	// Connections is the number of connections to all listeners together.
	Connections int
	// ConnectionsPerAddress is the number of connections from one address. Callers behind a
	// balancer share one.
	ConnectionsPerAddress int
	// ReservedConnections is the number of connections to each listener that are admitted beyond
	// Connections and ConnectionsPerAddress, and whose small requests may exceed Bytes.
	ReservedConnections int
	// HeaderLines is the number of header lines of one request.
	HeaderLines int
	// BodyTimeout is the time in which a request must arrive whole.
	BodyTimeout clock.Millis
}

// Memory and descriptors of the smallest host, which are assumed if a host's are not known.
const (
	SmallestMemoryMB    = 144
	SmallestDescriptors = 3075
)

// Lower bounds of the settings from which the limits follow.
const (
	MinMemoryMB    = 16
	MinDescriptors = 256
)

// MinConnections are admitted however little memory and few descriptors a host has.
const MinConnections = 64

const (
	// budgetNumerator and budgetDenominator are the part of the memory for clients.
	budgetNumerator   = 3
	budgetDenominator = 8
	// reservedDescriptors are left for files (200), and for the sockets of links and calls.
	reservedDescriptors = 456
	// reservedConnections suffice for probes, heartbeats and scrapers.
	reservedConnections = 32
	// maxHeaderLines exceeds what 16,384 bytes of headers can hold at three bytes a line.
	maxHeaderLines                  = 5500
	defaultBodyTimeout clock.Millis = 15_000
)

// Defaults returns the limits for a host with the given memory and descriptors. Zero means that
// the value is not known.
func Defaults(memoryMB, descriptors int) Settings {
	if memoryMB == 0 {
		memoryMB = SmallestMemoryMB
	}
	if descriptors == 0 {
		descriptors = SmallestDescriptors
	}
	budget := int64(memoryMB) << 20 * budgetNumerator / budgetDenominator
	// Connections without requests may take half of the budget.
	connections := max(min(int(budget/2/connectionBytes), descriptors-reservedDescriptors), MinConnections)
	return Settings{
		Bytes:                 budget,
		Connections:           connections,
		ConnectionsPerAddress: connections * 3 / 4,
		ReservedConnections:   reservedConnections,
		HeaderLines:           maxHeaderLines,
		BodyTimeout:           defaultBodyTimeout,
	}
}
