package zone

import "slices"

const (
	// maxNameBytes is the length of the longest zone name in a set of drained zones.
	maxNameBytes = 255
	// maxDrained is the largest number of drained zones that a set holds.
	maxDrained = 256
)

// Drains is the set of drained availability zones at one revision. Nothing new is started in a
// drained zone; what runs there ends by itself.
type Drains struct {
	// Revision orders the sets of all processes. It is zero until a set is known.
	Revision int64
	// Zones holds the names of the drained zones, sorted and without duplicates.
	Zones []string
}

// NewDrains returns the set of the given zones at a revision. It leaves out invalid names.
func NewDrains(revision int64, zones []string) Drains {
	d := Drains{Revision: revision}
	for _, name := range zones {
		d = d.With(name, true)
	}
	return d
}

// ValidName reports whether a set of drained zones accepts a name.
func ValidName(name string) bool {
	return name != "" && len(name) <= maxNameBytes
}

// NewerThan reports whether d replaces o. A process never returns to an older set.
func (d Drains) NewerThan(o Drains) bool {
	return d.Revision > o.Revision
}

// Contains reports whether a zone is drained.
func (d Drains) Contains(name string) bool {
	_, found := slices.BinarySearch(d.Zones, name)
	return found
}

// With returns a copy of d in which a zone is drained or not. It ignores invalid names, and a
// further drain of a full set.
func (d Drains) With(name string, drained bool) Drains {
	at, found := slices.BinarySearch(d.Zones, name)
	switch {
	case found == drained || drained && (!ValidName(name) || len(d.Zones) >= maxDrained):
		return d
	case drained:
		d.Zones = slices.Insert(slices.Clone(d.Zones), at, name)
	default:
		d.Zones = slices.Delete(slices.Clone(d.Zones), at, at+1)
	}
	return d
}
