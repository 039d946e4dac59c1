// Package zone describes the locations of machines (regions and availability zones) and the
// network distances between them.
package zone

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// Location is the location of a machine.
type Location struct {
	// Region is never empty in a running process.
	Region string `json:"region"`
	// Zone is an availability zone, unique within its region.
	Zone string `json:"zone"`
	// Rack is empty if the platform does not provide it.
	Rack string `json:"rack,omitempty"`
}

// Expected round-trip times between two locations; zero means below a millisecond.
// crossZoneRoundTripMS applies to two zones of one region.
const (
	sameZoneRoundTripMS    clock.Millis = 0
	crossZoneRoundTripMS   clock.Millis = 3
	crossRegionRoundTripMS clock.Millis = 40
)

// RoundTrip returns the expected round-trip time between a and b.
func RoundTrip(a, b Location) clock.Millis {
	if a.Region != b.Region {
		return crossRegionRoundTripMS
	}
	if a.Zone != b.Zone {
		return crossZoneRoundTripMS
	}
	return sameZoneRoundTripMS
}
