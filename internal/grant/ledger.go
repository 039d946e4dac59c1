package grant

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Interval is [From, Until) of key time that one incarnation holds.
type Interval struct {
	From        clock.Millis
	Until       clock.Millis
	Incarnation string
}

// Claim asks for [From, Until) of key time for some ranges.
type Claim struct {
	Ranges []Range
	From   clock.Millis
	Until  clock.Millis
}

// Ownership is what the ledger knows of one key time in one range.
type Ownership int

// The standings of a key time.
const (
	// OwnershipHeld: one incarnation holds it for good.
	OwnershipHeld Ownership = iota
	// OwnershipGap: nobody holds it, and nobody ever will.
	OwnershipGap
	// OwnershipUnclaimed: nobody is known to hold it yet.
	OwnershipUnclaimed
	// OwnershipUnknown: it lies before the history that this process knows.
	OwnershipUnknown
)

// Ledger is the state of the grants after a prefix of the log. Two processes that
// applied the same prefix have the same ledger.
type Ledger struct {
	// Applied is the offset of the last record applied; it never decreases.
	Applied int64
	// Initialized is false until the ledger starts from the log's first record or from a
	// snapshot; until then no interval is taken for valid.
	Initialized bool
	// Ends holds for each range where the next valid interval may begin; it never
	// decreases.
	Ends [RangeCount]clock.Millis
	// KnownFrom holds for each range the key time from which all is known.
	KnownFrom [RangeCount]clock.Millis

	// held holds the valid intervals of each range, in order and without overlap.
	held [RangeCount][]Interval
}

// NewLedger returns a ledger that has seen no record.
func NewLedger() *Ledger {
	return &Ledger{Applied: -1}
}

// InitializeFromStart bases the ledger on a log that is read from its very first record.
func (l *Ledger) InitializeFromStart() {
	l.Initialized = true
}

// InitializeAfterTruncation bases the ledger on a log whose records before an offset are lost to
// retention, none of which can reach beyond the key time known: the caller must
// know that retention is far longer than any horizon.
func (l *Ledger) InitializeAfterTruncation(offset int64, known clock.Millis) {
	l.Initialized = true
	l.Applied = max(l.Applied, offset-1)
	for r := range l.Ends {
		l.Ends[r] = known
		l.KnownFrom[r] = known
	}
}

// Apply applies the claims of one record in log order and returns those ranges for
// which they are valid: a claim that begins before the end of the last valid one
// is void, for that range alone.
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

func (l *Ledger) applyRange(r Range, incarnation string, c Claim) bool {
	if r >= RangeCount || c.Until <= c.From || c.From < l.Ends[r] {
		return false
	}
	l.Ends[r] = c.Until
	l.hold(r, Interval{From: c.From, Until: c.Until, Incarnation: incarnation})
	return true
}

// hold appends an interval, joined to the last one where they touch.
func (l *Ledger) hold(r Range, in Interval) {
	h := l.held[r]
	if n := len(h); n > 0 && h[n-1].Incarnation == in.Incarnation && h[n-1].Until == in.From {
		h[n-1].Until = in.Until
		return
	}
	l.held[r] = append(h, in)
}

// Owner returns what is known of a key time in a range, and who holds it.
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

// Holder returns who holds the last interval of a range.
func (l *Ledger) Holder(r Range) string {
	h := l.held[r]
	if len(h) == 0 {
		return ""
	}
	return h[len(h)-1].Incarnation
}

// Forget drops intervals that ended before a key time.
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

// backMS is how far behind the clock a first claim of a range reaches, for keys
// that were made a moment before anybody held them.
const backMS clock.Millis = 60_000

// Propose returns the claims that extend an incarnation's hold on the given ranges
// up to a key time. Ranges with the same beginning share one claim.
func (l *Ledger) Propose(ranges []Range, now, until clock.Millis) []Claim {
	byFrom := map[clock.Millis][]Range{}
	for _, r := range ranges {
		from := max(l.Ends[r], now-backMS)
		if from < until {
			byFrom[from] = append(byFrom[from], r)
		}
	}
	claims := make([]Claim, 0, len(byFrom))
	for from, rs := range byFrom {
		claims = append(claims, Claim{Ranges: rs, From: from, Until: until})
	}
	sort.Slice(claims, func(i, j int) bool { return claims[i].From < claims[j].From })
	return claims
}

// Snapshot is a ledger as it stands on the log.
type Snapshot struct {
	// Covers is the offset of the last record that the snapshot includes.
	Covers    int64
	Ends      []clock.Millis
	KnownFrom []clock.Millis
	Held      []HeldInterval
}

// HeldInterval is an interval and its range.
type HeldInterval struct {
	Range Range
	Interval
}

// Snapshot returns the ledger for the log.
func (l *Ledger) Snapshot() Snapshot {
	s := Snapshot{Covers: l.Applied, Ends: l.Ends[:], KnownFrom: l.KnownFrom[:]}
	for r, h := range l.held {
		for _, in := range h {
			s.Held = append(s.Held, HeldInterval{Range: Range(r), Interval: in})
		}
	}
	return s
}

// Restore takes over a snapshot if the ledger has no base yet and the snapshot
// covers all records before first, the oldest that the log still holds. Records
// after the snapshot must then be applied from Applied+1 on. It reports whether
// the snapshot was taken; a stale one would let a void claim pass for a valid one.
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
