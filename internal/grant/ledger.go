package grant

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Interval is a span [From, Until) of key time, the creation time that a key contains, that
// one incarnation holds in a range. In log records it is a Held message.
type Interval struct {
	From        clock.Millis
	Until       clock.Millis
	Incarnation string
}

// Claim requests the span [From, Until) of key time in some ranges. A claim that is valid
// for a range is a grant. In log records it is an Interval message.
type Claim struct {
	Ranges []Range
	From   clock.Millis
	Until  clock.Millis
}

// Ownership describes who holds a key time in a range, according to the ledger.
type Ownership int

// The possible ownerships of a key time.
const (
	// OwnershipHeld means that one incarnation holds it permanently.
	OwnershipHeld Ownership = iota
	// OwnershipGap means that no incarnation holds it and none ever will.
	OwnershipGap
	// OwnershipUnclaimed means that no applied claim has reached it yet.
	OwnershipUnclaimed
	// OwnershipUnknown means that it precedes the history that this process has, or that
	// the ledger is not initialized.
	OwnershipUnknown
)

// Ledger is the state of the grants after a prefix of the log. Two processes that have
// applied the same prefix have the same ledger.
type Ledger struct {
	// Applied is the offset of the last record applied; it never decreases.
	Applied int64
	// Initialized is false until the ledger starts from the first record of the log, from
	// a snapshot or after retention has deleted the log's first records, and again after
	// needed records were lost.
	// While it is false, no claim is accepted.
	Initialized bool
	// Ends holds for each range the earliest key time at which the next valid interval
	// can begin; it never decreases.
	Ends [RangeCount]clock.Millis
	// KnownFrom holds for each range the key time from which the history is complete.
	KnownFrom [RangeCount]clock.Millis

	// held holds the valid intervals of each range, in order and without overlaps.
	held [RangeCount][]Interval
}

// NewLedger returns an uninitialized ledger to which no record has been applied.
func NewLedger() *Ledger {
	return &Ledger{Applied: -1}
}

// InitializeFromStart initializes the ledger for a log that is read from its first record.
func (l *Ledger) InitializeFromStart() {
	l.Initialized = true
}

// InitializeAfterTruncation initializes the ledger for a log whose records before offset
// were deleted by retention. No claim in those records may extend beyond the key time
// knownFrom: the caller must ensure that retention is far longer than any grant
// duration.
func (l *Ledger) InitializeAfterTruncation(offset int64, knownFrom clock.Millis) {
	l.Initialized = true
	l.Applied = max(l.Applied, offset-1)
	for r := range l.Ends {
		l.Ends[r] = knownFrom
		l.KnownFrom[r] = knownFrom
	}
}

// Apply applies the claims of one record, in log order, and returns the ranges for which
// they are valid. A claim is void in each range where it begins before the end of the
// last valid claim.
func (l *Ledger) Apply(offset int64, incarnation string, claims []Claim) []Range {
	if offset <= l.Applied {
		return nil
	}
	l.Applied = offset
	if !l.Initialized {
		return nil
	}
	var valid []Range
	for _, c := range claims {
		for _, r := range c.Ranges {
			if l.applyRange(r, incarnation, c) {
				valid = append(valid, r)
			}
		}
	}
	return valid
}

// applyRange applies a claim to one of its ranges if it is valid there, and reports whether it
// is.
func (l *Ledger) applyRange(r Range, incarnation string, c Claim) bool {
	if r >= RangeCount || c.Until <= c.From || c.From < l.Ends[r] {
		return false
	}
	l.Ends[r] = c.Until
	l.appendInterval(r, Interval{From: c.From, Until: c.Until, Incarnation: incarnation})
	return true
}

// appendInterval appends an interval, or extends the last one if the same incarnation
// holds it and the two are adjacent.
func (l *Ledger) appendInterval(r Range, iv Interval) {
	h := l.held[r]
	if n := len(h); n > 0 && h[n-1].Incarnation == iv.Incarnation && h[n-1].Until == iv.From {
		h[n-1].Until = iv.Until
		return
	}
	l.held[r] = append(h, iv)
}

// Owner returns the ownership of a key time in a range, and the incarnation that holds it
// if there is one.
func (l *Ledger) Owner(r Range, t clock.Millis) (Ownership, string) {
	if !l.Initialized || t < l.KnownFrom[r] {
		return OwnershipUnknown, ""
	}
	if t >= l.Ends[r] {
		return OwnershipUnclaimed, ""
	}
	h := l.held[r]
	i := sort.Search(len(h), func(i int) bool { return h[i].Until > t })
	if i < len(h) && h[i].From <= t {
		return OwnershipHeld, h[i].Incarnation
	}
	return OwnershipGap, ""
}

// Holder returns the incarnation that holds the last interval of a range, or an empty
// string.
func (l *Ledger) Holder(r Range) string {
	h := l.held[r]
	if len(h) == 0 {
		return ""
	}
	return h[len(h)-1].Incarnation
}

// Forget removes the intervals that ended at or before a key time.
func (l *Ledger) Forget(before clock.Millis) {
	for r := range l.held {
		h := l.held[r]
		n := 0
		for n < len(h) && h[n].Until <= before {
			n++
		}
		if n == 0 {
			continue
		}
		l.KnownFrom[r] = max(l.KnownFrom[r], h[n-1].Until)
		l.held[r] = append([]Interval(nil), h[n:]...)
	}
}

// claimLookbackMS is how far before the current time the first claim of a range begins.
// This covers keys that were created shortly before any incarnation held the range.
const claimLookbackMS clock.Millis = 60_000

// Propose returns the claims by which an incarnation would hold the given ranges up to
// the key time until. Ranges whose claims begin at the same time share one claim.
func (l *Ledger) Propose(ranges []Range, now, until clock.Millis) []Claim {
	rangesByFrom := map[clock.Millis][]Range{}
	for _, r := range ranges {
		from := max(l.Ends[r], now-claimLookbackMS)
		if from < until {
			rangesByFrom[from] = append(rangesByFrom[from], r)
		}
	}
	claims := make([]Claim, 0, len(rangesByFrom))
	for from, rs := range rangesByFrom {
		claims = append(claims, Claim{Ranges: rs, From: from, Until: until})
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].From < claims[j].From })
	return claims
}

// Snapshot is the state of a ledger as it is written to the log.
type Snapshot struct {
	// Covers is the offset of the last record that the snapshot includes.
	Covers    int64
	Ends      []clock.Millis
	KnownFrom []clock.Millis
	Held      []HeldInterval
}

// HeldInterval is an interval and the range in which it is held.
type HeldInterval struct {
	Range Range
	Interval
}

// Snapshot returns a snapshot of the ledger. Its Ends and KnownFrom share memory with the
// ledger.
func (l *Ledger) Snapshot() Snapshot {
	s := Snapshot{Covers: l.Applied, Ends: l.Ends[:], KnownFrom: l.KnownFrom[:]}
	for r, h := range l.held {
		for _, iv := range h {
			s.Held = append(s.Held, HeldInterval{Range: Range(r), Interval: iv})
		}
	}
	return s
}

// Restore initializes the ledger from a snapshot and reports whether it did. It requires
// that the ledger is not initialized and that the snapshot covers all records before
// first, the oldest record that the log still holds: with an older snapshot, a void
// claim could be accepted as valid. Afterwards, records must be applied from Applied+1
// on.
func (l *Ledger) Restore(s Snapshot, first int64) bool {
	if l.Initialized || s.Covers < first-1 {
		return false
	}
	if len(s.Ends) != RangeCount || len(s.KnownFrom) != RangeCount {
		return false
	}
	copy(l.Ends[:], s.Ends)
	copy(l.KnownFrom[:], s.KnownFrom)
	l.held = [RangeCount][]Interval{}
	for _, h := range s.Held {
		if h.Range < RangeCount {
			l.held[h.Range] = append(l.held[h.Range], h.Interval)
		}
	}
	l.Applied = s.Covers
	l.Initialized = true
	return true
}
