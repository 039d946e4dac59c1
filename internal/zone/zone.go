// Package zone describes where machines stand: regions, availability zones and
// the distances between them.
package zone

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// Location is where a machine stands.
type Location struct {
	// Region is never empty in a running process.
	Region string `json:"region"`
	// Zone is an availability zone, unique within its region.
	Zone string `json:"zone"`
	// Rack may be empty when the platform does not tell it.
	Rack string `json:"rack,omitempty"`
}

// Round trips between two places.
const (
	roundTripZoneMS   clock.Millis = 0
	roundTripRegionMS clock.Millis = 3
	roundTripFarMS    clock.Millis = 40
)

// RoundTrip returns the expected round trip between a and b.
func RoundTrip(a, b Location) clock.Millis {
	if a.Region != b.Region {
		return roundTripFarMS
	}
	if a.Zone != b.Zone {
		return roundTripRegionMS
	}
	return roundTripZoneMS
}
