package check

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

// Effect says what callers notice of a change.
type Effect string

// The effects of changes, from what callers notice first.
const (
	EffectGoesAway Effect = "goes away"
	EffectTightens Effect = "tightens"
	EffectChanges  Effect = "changes"
	EffectLoosens  Effect = "loosens"
	EffectAdded    Effect = "is added"
)

// effectOrder lists the effects from what callers notice first.
var effectOrder = []Effect{EffectGoesAway, EffectTightens, EffectChanges, EffectLoosens, EffectAdded}

// The objects that changes concern.
const (
	ObjectCustomer = "customer"
	ObjectQueue    = "queue"
	ObjectFleet    = "fleet"
	ObjectLimits   = "limits"
)

// Change is one difference between two configurations.
type Change struct {
	Effect Effect `json:"effect"`
	// Object is one of the objects above.
	Object string `json:"object"`
	// Name is the name of the object, and empty for limits.
	Name string `json:"name,omitempty"`
	// Field is empty if the whole object goes away or is added.
	Field string `json:"field,omitempty"`
	// Before and After are the values. Both are empty if an object, or a part such as a kind or a
	// token, goes away or is added.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Comparison holds the differences from another configuration.
type Comparison struct {
	// From and To are the versions of terms. They are zero for contracts, which get a version
	// when they are accepted.
	From int64 `json:"from_version,omitempty"`
	To   int64 `json:"to_version,omitempty"`
	// Changes are ordered by effect, object and name.
	Changes []Change `json:"changes"`
}

// sort orders the changes by effect, object and name.
func (c *Comparison) sort() {
	slices.SortStableFunc(c.Changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(slices.Index(effectOrder, a.Effect), slices.Index(effectOrder, b.Effect)),
			cmp.Compare(a.Object, b.Object), cmp.Compare(a.Name, b.Name))
	})
}

// differ collects the changes of one object.
type differ struct {
	object  string
	name    string
	changes []Change
}

func (d *differ) add(e Effect, field string, before, after any) {
	d.changes = append(d.changes, Change{Effect: e, Object: d.object, Name: d.name, Field: field, Before: fmt.Sprint(before), After: fmt.Sprint(after)})
}

// wholeObject adds the change of an object that exists on one side only.
func (d *differ) wholeObject(e Effect) {
	d.changes = append(d.changes, Change{Effect: e, Object: d.object, Name: d.name})
}

// amount compares a number of which callers get less if it is lower.
func (d *differ) amount(field string, before, after float64) {
	switch {
	case after < before:
		d.add(EffectTightens, field, number(before), number(after))
	case after > before:
		d.add(EffectLoosens, field, number(before), number(after))
	}
}

// rank compares a number of which callers get less if it is higher.
func (d *differ) rank(field string, before, after float64) {
	switch {
	case after > before:
		d.add(EffectTightens, field, number(before), number(after))
	case after < before:
		d.add(EffectLoosens, field, number(before), number(after))
	}
}

// number returns the shortest decimal form of a number, without an exponent.
func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// bound is like amount for a number that stands for no bound if it is zero.
func (d *differ) bound(field string, before, after float64) {
	switch {
	case before == after:
	case before == 0:
		d.add(EffectTightens, field, "none", number(after))
	case after == 0:
		d.add(EffectLoosens, field, number(before), "none")
	default:
		d.amount(field, before, after)
	}
}

// flag compares a switch of which callers have the benefit while it is on.
func (d *differ) flag(field string, before, after bool) {
	switch {
	case before && !after:
		d.add(EffectTightens, field, before, after)
	case after && !before:
		d.add(EffectLoosens, field, before, after)
	}
}

// text compares a value that has no order. Its change has the given effect.
func (d *differ) text(e Effect, field, before, after string) {
	if before != after {
		d.add(e, field, before, after)
	}
}

// byName returns the index of the first element of each name.
func byName[T any](elements []T, name func(T) string) map[string]int {
	out := make(map[string]int, len(elements))
	for i, e := range elements {
		if _, seen := out[name(e)]; !seen {
			out[name(e)] = i
		}
	}
	return out
}

// compareNamed compares two lists by the names of their elements. Of elements with one name, the
// first is compared.
func compareNamed[T any](object string, before, after []T, name func(T) string, compare func(*differ, T, T)) []Change {
	var out []Change
	old, current := byName(before, name), byName(after, name)
	for i, b := range before {
		n := name(b)
		if old[n] != i {
			continue
		}
		d := &differ{object: object, name: n}
		if j, exists := current[n]; exists {
			compare(d, b, after[j])
		} else {
			d.wholeObject(EffectGoesAway)
		}
		out = append(out, d.changes...)
	}
	for i, a := range after {
		if _, existed := old[name(a)]; !existed && current[name(a)] == i {
			out = append(out, Change{Effect: EffectAdded, Object: object, Name: name(a)})
		}
	}
	return out
}

// compareTerms returns the differences of terms by queue, limit and fleet.
func compareTerms(before, after *contr.Terms) *Comparison {
	c := &Comparison{From: before.Version, To: after.Version, Changes: []Change{}}
	c.Changes = append(c.Changes, compareNamed(ObjectQueue, before.Queues, after.Queues, func(q contr.Queue) string { return q.Name }, compareQueue)...)
	c.Changes = append(c.Changes, compareNamed(ObjectFleet, before.Fleets, after.Fleets, func(f contr.Fleet) string { return f.Name }, compareFleet)...)
	c.Changes = append(c.Changes, compareLimits(before.Limits, after.Limits)...)
	c.sort()
	return c
}

// compareQueue compares two versions of a queue. Jobs that are sent to an address that changed
// are answered 404, so the old address goes away.
func compareQueue(d *differ, b, a contr.Queue) {
	d.text(EffectGoesAway, "host", b.Host, a.Host)
	d.text(EffectGoesAway, "prefix", b.Prefix, a.Prefix)
	d.text(EffectChanges, "fleet", b.Fleet, a.Fleet)
	d.rank("priority", float64(b.Priority), float64(a.Priority))
	d.bound("timeout_ms", float64(b.TimeoutMS), float64(a.TimeoutMS))
	d.amount("max_attempts", float64(b.MaxAttempts), float64(a.MaxAttempts))
	d.amount("stretch", b.Stretch, a.Stretch)
	d.amount("slack_ms", float64(b.SlackMS), float64(a.SlackMS))
}

func compareFleet(d *differ, b, a contr.Fleet) {
	d.amount("max_connections", float64(b.MaxConnections), float64(a.MaxConnections))
	d.text(EffectChanges, "guarded", fmt.Sprint(b.Guarded), fmt.Sprint(a.Guarded))
}

func compareLimits(b, a contr.HTTPLimits) []Change {
	d := &differ{object: ObjectLimits}
	d.bound("header_bytes", float64(b.HeaderBytes), float64(a.HeaderBytes))
	d.bound("body_bytes", float64(b.BodyBytes), float64(a.BodyBytes))
	d.bound("header_timeout_ms", float64(b.HeaderTimeoutMS), float64(a.HeaderTimeoutMS))
	d.bound("idle_timeout_ms", float64(b.IdleTimeoutMS), float64(a.IdleTimeoutMS))
	return d.changes
}

// compareContracts compares the contracts of files with those of the same customers before.
// Customers that no file names are left as they are when contracts are sent.
func compareContracts(before map[string]*contr.Contract, files []contractFile) *Comparison {
	c := &Comparison{Changes: []Change{}}
	for _, f := range files {
		d := &differ{object: ObjectCustomer, name: f.contract.Customer}
		if old := before[f.contract.Customer]; old != nil {
			compareContract(d, old, f.contract)
		} else {
			d.wholeObject(EffectAdded)
		}
		c.Changes = append(c.Changes, d.changes...)
	}
	c.sort()
	return c
}

func compareContract(d *differ, b, a *contr.Contract) {
	compareTokens(d, b.Tokens, a.Tokens)
	d.amount("share", b.Share, a.Share)
	d.amount("floor_slots", float64(b.FloorSlots), float64(a.FloorSlots))
	d.bound("ceiling_slots", float64(b.CeilingSlots), float64(a.CeilingSlots))
	d.amount("rate.per_second", b.Rate.PerSecond, a.Rate.PerSecond)
	d.amount("rate.burst", b.Rate.Burst, a.Rate.Burst)
	d.amount("queue", float64(b.Queue), float64(a.Queue))
	d.amount("urgent_percent", b.UrgentPercent, a.UrgentPercent)
	d.amount("retry_percent", b.RetryPercent, a.RetryPercent)
	kinds := compareNamed(d.object, b.Kinds, a.Kinds, func(k contr.Kind) string { return k.Name }, compareKind)
	for _, k := range kinds {
		k.Field = joinPath("kinds["+k.Name+"]", k.Field)
		k.Name = d.name
		d.changes = append(d.changes, k)
	}
}

func joinPath(parent, field string) string {
	if field == "" {
		return parent
	}
	return parent + "." + field
}

func compareKind(d *differ, b, a contr.Kind) {
	d.flag("idempotent", b.Idempotent, a.Idempotent)
	d.amount("share", b.Share, a.Share)
	d.flag("priority: urgent", b.Priority == contr.PriorityUrgent, a.Priority == contr.PriorityUrgent)
	d.amount("deadline_ms", float64(b.DeadlineMS), float64(a.DeadlineMS))
	d.flag("hedge", b.Hedge, a.Hedge)
}

// shownHashDigits is the number of hex digits of a token's hash that are shown, and by which tokens
// are compared.
const shownHashDigits = 8

func compareTokens(d *differ, before, after []string) {
	name := func(hash string) string { return hash[:min(len(hash), shownHashDigits)] }
	for _, c := range compareNamed(d.object, before, after, name, func(*differ, string, string) {}) {
		c.Field = "tokens[" + c.Name + "]"
		c.Name = d.name
		d.changes = append(d.changes, c)
	}
}
