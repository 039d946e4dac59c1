package grant

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/pqueue"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// SubmissionID names one submission of one customer.
type SubmissionID struct {
	Customer string
	Key      string
}

// State is how far a key has come.
type State int

// The states of a key.
const (
	StateRunning State = iota
	StateFinished
	// StateAnswerEvicted: the key ended, but its answer left the memory bound.
	StateAnswerEvicted
)

// KeyRecord is what an incarnation remembers of one key.
type KeyRecord struct {
	ID   SubmissionID
	Time clock.Millis
	// Digest tells a resubmission from another request under the same key.
	Digest uint64
	State  State
	// Answer is set in StateFinal only.
	Answer reply.Answer

	node  *pqueue.Node[*KeyRecord]
	final *pqueue.Node[*KeyRecord]
}

// TableLimits bounds a table.
type TableLimits struct {
	// Window is how long a key is remembered by its own time.
	Window clock.Millis
	// MaxKeys and MaxAnswerBytes are above zero.
	MaxKeys        int
	MaxAnswerBytes int
}

// Table remembers the keys that one incarnation has started. A key that was
// started and whose time is at or after Floor is always in the table.
type Table struct {
	Limits TableLimits
	// Floor never decreases; older keys are refused.
	Floor clock.Millis
	// AnswerBytes is the sum over all answers held.
	AnswerBytes int

	entries map[SubmissionID]*KeyRecord
	byTime  pqueue.Queue[*KeyRecord]
	finals  pqueue.Queue[*KeyRecord]
	ended   float64
}

// NewTable returns an empty table.
func NewTable(limits TableLimits) *Table {
	return &Table{Limits: limits, entries: map[SubmissionID]*KeyRecord{}}
}

// Len returns the number of keys.
func (t *Table) Len() int {
	return len(t.entries)
}

// Get returns what is known of a key, or nil.
func (t *Table) Get(id SubmissionID) *KeyRecord {
	return t.entries[id]
}

// TooOld reports whether a key may have been forgotten.
func (t *Table) TooOld(at clock.Millis) bool {
	return at < t.Floor
}

// Add remembers a key that is about to be started. The key must not be too old.
func (t *Table) Add(id SubmissionID, at clock.Millis, digest uint64) *KeyRecord {
	e := &KeyRecord{ID: id, Time: at, Digest: digest}
	e.node = &pqueue.Node[*KeyRecord]{Value: e}
	e.final = &pqueue.Node[*KeyRecord]{Value: e}
	t.entries[id] = e
	t.byTime.Set(e.node, float64(at))
	t.shrink()
	return e
}

// Finish records a key's final answer.
func (t *Table) Finish(id SubmissionID, a reply.Answer) {
	e := t.entries[id]
	if e == nil || e.State != StateRunning {
		return
	}
	e.State = StateFinished
	e.Answer = a
	t.AnswerBytes += a.Size()
	t.ended++
	t.finals.Set(e.final, t.ended)
	t.shrink()
}

// Drop forgets a key of which nothing was started.
func (t *Table) Drop(id SubmissionID) {
	if e := t.entries[id]; e != nil {
		t.remove(e)
	}
}

// Expire forgets keys that have left the window.
func (t *Table) Expire(now clock.Millis) {
	t.raise(now - t.Limits.Window)
}

// raise lifts the floor, and only then forgets what lies below it.
func (t *Table) raise(floor clock.Millis) {
	t.Floor = max(t.Floor, floor)
	for {
		n := t.byTime.Min()
		if n == nil || n.Value.Time >= t.Floor {
			return
		}
		t.remove(n.Value)
	}
}

func (t *Table) shrink() {
	for t.AnswerBytes > t.Limits.MaxAnswerBytes {
		t.dropOldestAnswer()
	}
	for len(t.entries) > t.Limits.MaxKeys {
		t.raise(t.byTime.Min().Value.Time + 1)
	}
}

func (t *Table) dropOldestAnswer() {
	e := t.finals.Min().Value
	t.AnswerBytes -= e.Answer.Size()
	e.State = StateAnswerEvicted
	e.Answer = reply.Answer{}
	t.finals.Remove(e.final)
}

func (t *Table) remove(e *KeyRecord) {
	if e.State == StateFinished {
		t.AnswerBytes -= e.Answer.Size()
		t.finals.Remove(e.final)
	}
	t.byTime.Remove(e.node)
	delete(t.entries, e.ID)
}

// Each calls fn for every key until it returns false.
func (t *Table) Each(fn func(*KeyRecord) bool) {
	for _, e := range t.entries {
		if !fn(e) {
			return
		}
	}
}
