package roster

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Record is an entry's record on a list that all processes share.
type Record struct {
	// Address is the entry's link address.
	Address string
	// Revision changes with each renewal of the record.
	Revision int64
}

const (
	// staleMS is how long a record may stay without a renewal. It covers several missed
	// renewals.
	staleMS clock.Millis = 90_000
	// maxReadGapMS is the part of the time between two reads that counts towards staleMS.
	// While a reader cannot reach the list, entries may be unable to renew their records.
	maxReadGapMS clock.Millis = 25_000
)

// Listing tells from successive reads of the list which records belong to live entries. It
// compares the records with what this reader saw before, and uses no time that a writer
// put into a record: the clocks of hosts differ, and a wrong time in one record must not
// make the others look old.
type Listing struct {
	lastReadAt clock.Millis
	// seen holds the records of the last read by address.
	seen map[string]*seenRecord
}

// seenRecord is a record and how long it has been seen without a renewal.
type seenRecord struct {
	revision    int64
	unchangedMS clock.Millis
}

// NewListing returns a listing for a reader that has not read the list yet.
func NewListing() *Listing {
	return &Listing{seen: map[string]*seenRecord{}}
}

// minReadIntervalMS is the interval between reads of the list right after the start.
const minReadIntervalMS = clock.Second

// ReadInterval returns the interval between reads of the list by a process of the given age.
// When all processes start at once, the first reads miss those that started last, so that
// the interval begins short and grows up to longest.
func ReadInterval(age, longest clock.Millis) clock.Millis {
	return min(max(age/2, minReadIntervalMS), longest)
}

// Update takes the result of a read and returns the addresses of the live entries and of
// the stale records, both in order. A record that was not seen before is live.
func (l *Listing) Update(records []Record, now clock.Millis) (live, stale []string) {
	elapsed := min(now-l.lastReadAt, maxReadGapMS)
	l.lastReadAt = now
	previous := l.seen
	l.seen = make(map[string]*seenRecord, len(records))
	for _, r := range records {
		s := previous[r.Address]
		switch {
		case s == nil || s.revision != r.Revision:
			s = &seenRecord{revision: r.Revision}
		default:
			s.unchangedMS += elapsed
		}
		l.seen[r.Address] = s
		if s.unchangedMS > staleMS {
			stale = append(stale, r.Address)
		} else {
			live = append(live, r.Address)
		}
	}
	sort.Strings(live)
	sort.Strings(stale)
	return live, stale
}
