package grant

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/pqueue"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// SubmissionID identifies a submission of a customer by its key.
type SubmissionID struct {
	Customer string
	Key      string
}

// State is the state of a key's submission.
type State int

// The states of a key.
const (
	StateRunning State = iota
	StateFinished
	// StateAnswerEvicted means that the submission has finished and that its answer was
	// dropped to stay within MaxAnswerBytes.
	StateAnswerEvicted
)

// KeyRecord is the state that an incarnation keeps for one key.
type KeyRecord struct {
	ID SubmissionID
	// Time is the key time: the creation time that the key contains.
	Time clock.Millis
	// Digest distinguishes a resubmission from a different request with the same key.
	Digest uint64
	State  State
	// Answer is set only in StateFinished.
	Answer reply.Answer

	timeNode   *pqueue.Node[*KeyRecord]
	finishNode *pqueue.Node[*KeyRecord]
}

// TableLimits limits the size of a table.
type TableLimits struct {
	// Window is how long a key is kept, counted from its key time.
	Window clock.Millis
	// MaxKeys and MaxAnswerBytes are above zero.
	MaxKeys        int
	MaxAnswerBytes int
}

// Table holds the keys whose submissions one incarnation has admitted. If a task of a
// submission may have started and the key time is at or after Floor, the key is in the table.
type Table struct {
	Limits TableLimits
	// Floor is the oldest key time that is accepted. It never decreases.
	Floor clock.Millis
	// AnswerBytes is the total size of all answers in the table.
	AnswerBytes int

	records map[SubmissionID]*KeyRecord
	// byTime orders all records by key time, and byFinish those in StateFinished by the
	// order in which they finished.
	byTime   pqueue.Queue[*KeyRecord]
	byFinish pqueue.Queue[*KeyRecord]
	// finishSeq counts the finished submissions. It is a float64 because it is a pqueue key.
	finishSeq float64
}

// NewTable returns an empty table.
func NewTable(limits TableLimits) *Table {
	return &Table{Limits: limits, records: map[SubmissionID]*KeyRecord{}}
}

// Len returns the number of keys.
func (t *Table) Len() int {
	return len(t.records)
}

// Get returns the record of a key, or nil.
func (t *Table) Get(id SubmissionID) *KeyRecord {
	return t.records[id]
}

// TooOld reports whether a key time is below the floor, so that its key may have been
// removed.
func (t *Table) TooOld(at clock.Millis) bool {
	return at < t.Floor
}

// Add records a key whose submission is about to be started. The key must not be too old.
func (t *Table) Add(id SubmissionID, at clock.Millis, digest uint64) *KeyRecord {
	rec := &KeyRecord{ID: id, Time: at, Digest: digest}
	rec.timeNode = &pqueue.Node[*KeyRecord]{Value: rec}
	rec.finishNode = &pqueue.Node[*KeyRecord]{Value: rec}
	t.records[id] = rec
	t.byTime.Set(rec.timeNode, float64(at))
	t.enforceLimits()
	return rec
}

// Finish records the final answer of a key in StateRunning and does nothing for any other.
func (t *Table) Finish(id SubmissionID, a reply.Answer) {
	rec := t.records[id]
	if rec == nil || rec.State != StateRunning {
		return
	}
	rec.State = StateFinished
	rec.Answer = a
	t.AnswerBytes += a.Size()
	t.finishSeq++
	t.byFinish.Set(rec.finishNode, t.finishSeq)
	t.enforceLimits()
}

// Drop removes a key for which nothing was started.
func (t *Table) Drop(id SubmissionID) {
	if rec := t.records[id]; rec != nil {
		t.remove(rec)
	}
}

// Expire raises Floor to now minus the window and removes the keys below it, whatever their
// state.
func (t *Table) Expire(now clock.Millis) {
	t.raiseFloor(now - t.Limits.Window)
}

// raiseFloor raises Floor to floor, unless it is higher already, and removes the keys below
// it.
func (t *Table) raiseFloor(floor clock.Millis) {
	t.Floor = max(t.Floor, floor)
	for {
		n := t.byTime.Min()
		if n == nil || n.Value.Time >= t.Floor {
			return
		}
		t.remove(n.Value)
	}
}

func (t *Table) enforceLimits() {
	for t.AnswerBytes > t.Limits.MaxAnswerBytes {
		t.evictOldestAnswer()
	}
	for len(t.records) > t.Limits.MaxKeys {
		t.raiseFloor(t.byTime.Min().Value.Time + 1)
	}
}

func (t *Table) evictOldestAnswer() {
	rec := t.byFinish.Min().Value
	t.AnswerBytes -= rec.Answer.Size()
	rec.State = StateAnswerEvicted
	rec.Answer = reply.Answer{}
	t.byFinish.Remove(rec.finishNode)
}

func (t *Table) remove(rec *KeyRecord) {
	if rec.State == StateFinished {
		t.AnswerBytes -= rec.Answer.Size()
		t.byFinish.Remove(rec.finishNode)
	}
	t.byTime.Remove(rec.timeNode)
	delete(t.records, rec.ID)
}

// Each calls fn for every key until fn returns false.
func (t *Table) Each(fn func(*KeyRecord) bool) {
	for _, rec := range t.records {
		if !fn(rec) {
			return
		}
	}
}
