package slot

import "sort"

// queueDepthPart of the slots may wait at the agent, so that a slot that becomes
// free does not stand idle for a round trip.
const queueDepthPart = 4

// unlimitedWindow stands for no window.
const unlimitedWindow = 1 << 20

// LoadFor returns the state of the slots for one entry.
func (t *Table) LoadFor(incarnation string) Load {
	return Load{Running: len(t.running), Queued: len(t.queued), Window: t.window(incarnation)}
}

// window divides the slots, and a short queue, among the entries: each gets at
// least one, what it needs if there is enough, and else a part by the weight of the
// customers that wait there.
func (t *Table) window(incarnation string) int {
	if t.Settings.UnlimitedWindows {
		return unlimitedWindow
	}
	if t.Upstream == nil {
		return 1
	}
	total := t.Upstream.Slots + max(1, t.Upstream.Slots/queueDepthPart)
	parts := fill(total, t.demands())
	spare := total
	mine := 0
	for _, p := range parts {
		spare -= p.size
		if p.entry == incarnation {
			mine = p.size
		}
	}
	return max(1, mine+max(0, spare))
}

// part is one entry's demand and what it gets.
type part struct {
	entry  string
	demand int
	weight float64
	size   int
}

func (t *Table) demands() []part {
	parts := make([]part, 0, len(t.entries))
	for id, e := range t.entries {
		parts = append(parts, part{entry: id, demand: e.inFlight + e.waiting, weight: max(e.weight, 0.01)})
	}
	sort.Slice(parts, func(i, j int) bool { return parts[i].entry < parts[j].entry })
	return parts
}

// fill gives out total by weight, none more than its demand: those whose demand is
// smallest for their weight first, so that what they leave goes to the others.
func fill(total int, parts []part) []part {
	sort.SliceStable(parts, func(i, j int) bool {
		return float64(parts[i].demand)/parts[i].weight < float64(parts[j].demand)/parts[j].weight
	})
	weight := 0.0
	for _, p := range parts {
		weight += p.weight
	}
	for i := range parts {
		p := &parts[i]
		fair := int(float64(total)*p.weight/weight + 0.5)
		p.size = min(p.demand, max(1, fair), max(0, total))
		total -= p.size
		weight -= p.weight
	}
	return parts
}
