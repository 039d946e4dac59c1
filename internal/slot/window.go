package slot

import "sort"

// queueDepthDivisor sets the target length of the agent's queue to a quarter of the
// slots, so that a slot that becomes free is not idle for a round trip.
const queueDepthDivisor = 4

// unlimitedWindow is the window reported when windows are unlimited.
const unlimitedWindow = 1 << 20

// LoadFor returns the load to report to one entry.
func (p *Pool) LoadFor(incarnation string) Load {
	return Load{Running: len(p.running), Queued: len(p.queued), Window: p.windowFor(incarnation)}
}

// windowFor divides the places, which are the slots and the positions of a short queue,
// among the entries. Each entry gets at least one place. If there are enough places,
// demands are met in full and the entry may use the spare ones too; otherwise places are
// shared in proportion to the weights that the entries reported.
func (p *Pool) windowFor(incarnation string) int {
	if p.Settings.UnlimitedWindows {
		return unlimitedWindow
	}
	if p.Upstream == nil {
		return 1
	}
	total := p.Upstream.Slots + max(1, p.Upstream.Slots/queueDepthDivisor)
	allotments := allocate(total, p.demands())
	spare := total
	own := 0
	for _, a := range allotments {
		spare -= a.allotted
		if a.entry == incarnation {
			own = a.allotted
		}
	}
	return max(1, own+max(0, spare))
}

// allotment is the number of places that one entry demands and the number allotted.
type allotment struct {
	entry    string
	demand   int
	weight   float64
	allotted int
}

// demands returns the entries' demands, ordered by incarnation.
func (p *Pool) demands() []allotment {
	allotments := make([]allotment, 0, len(p.entries))
	for id, e := range p.entries {
		// An entry may report a weight of zero, by which allocate cannot divide.
		allotments = append(allotments, allotment{entry: id, demand: e.inFlight + e.waiting, weight: max(e.weight, 0.01)})
	}
	sort.Slice(allotments, func(i, j int) bool { return allotments[i].entry < allotments[j].entry })
	return allotments
}

// allocate divides total places by weight, giving no entry more than its demand. Entries
// with the smallest demand relative to their weight come first, so that the part of
// their share that they don't need goes to the others.
func allocate(total int, allotments []allotment) []allotment {
	sort.SliceStable(allotments, func(i, j int) bool {
		return float64(allotments[i].demand)/allotments[i].weight < float64(allotments[j].demand)/allotments[j].weight
	})
	weight := 0.0
	for _, a := range allotments {
		weight += a.weight
	}
	for i := range allotments {
		a := &allotments[i]
		proportional := int(float64(total)*a.weight/weight + 0.5)
		a.allotted = min(a.demand, max(1, proportional), max(0, total))
		total -= a.allotted
		weight -= a.weight
	}
	return allotments
}
