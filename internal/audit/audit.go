// Package audit keeps a bounded log of recent decisions, so that an operator can explain
// to a customer why the tasks of others went first. The package does no I/O and reads no
// clock.
package audit

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// Dispatch records that one task was sent to an upstream.
type Dispatch struct {
	At       clock.Millis
	Customer string
	Kind     string
	// Rule is the contract line by which the task was selected.
	Rule string
	// Version is the version of that contract.
	Version int64
}

// Record describes one submission that was answered.
type Record struct {
	Request  string `json:"request"`
	Customer string `json:"customer"`
	Kind     string `json:"kind"`
	Key      string `json:"key,omitempty"`
	// ArrivedAt <= EndedAt.
	ArrivedAt clock.Millis `json:"arrived_at"`
	EndedAt   clock.Millis `json:"ended_at"`
	// WaitedMS is the time from arrival until the last task was sent to an upstream, or
	// until EndedAt if none was sent.
	WaitedMS clock.Millis   `json:"waited_ms"`
	Problem  *reply.Problem `json:"problem,omitempty"`
	// Upstreams are the upstreams that the tasks were sent to, in order. The number is
	// limited.
	Upstreams []string `json:"upstreams,omitempty"`
	// PassedOver lists upstreams that served the kind but were not healthy when the
	// submission ended, each with the reason. The number is limited.
	PassedOver []string `json:"passed_over,omitempty"`
	// [FirstSeq, LastSeq) is the range of dispatches that happened while the submission
	// waited.
	FirstSeq uint64 `json:"-"`
	LastSeq  uint64 `json:"-"`
}

// AheadCount is the number of tasks of one customer and kind that were sent ahead of a
// submission by one rule.
type AheadCount struct {
	Customer string `json:"customer"`
	Kind     string `json:"kind"`
	Rule     string `json:"rule"`
	Version  int64  `json:"contract_version"`
	Tasks    int    `json:"tasks"`
}

// Explanation shows why a submission waited, was rejected or failed.
type Explanation struct {
	Record Record       `json:"record"`
	Ahead  []AheadCount `json:"ahead"`
	// Truncated is set if dispatches of the range have been overwritten, so that Ahead is
	// incomplete.
	Truncated bool `json:"truncated,omitempty"`
}

// Log holds the latest dispatches and records.
type Log struct {
	// NextSeq is the sequence number of the next dispatch.
	NextSeq uint64

	// dispatches and records are ring buffers.
	dispatches []Dispatch
	records    []Record
	// recordsAdded is the number of AddRecord calls.
	recordsAdded int
	// byRequest maps a request id to the index of its latest record.
	byRequest map[string]int
}

// Default capacities of a log.
const (
	DefaultDispatches = 32768
	DefaultRecords    = 4096
)

// New returns a log with the given capacities, which must be greater than zero.
func New(dispatches, records int) *Log {
	return &Log{
		dispatches: make([]Dispatch, dispatches),
		records:    make([]Record, 0, records),
		byRequest:  map[string]int{},
	}
}

// AddDispatch records a dispatch, in place of the oldest dispatch if the log is full.
func (l *Log) AddDispatch(d Dispatch) {
	l.dispatches[l.NextSeq%uint64(len(l.dispatches))] = d
	l.NextSeq++
}

// AddRecord records a submission that was answered, in place of the oldest record if the
// log is full.
func (l *Log) AddRecord(r Record) {
	if len(l.records) < cap(l.records) {
		l.records = append(l.records, r)
		l.byRequest[r.Request] = len(l.records) - 1
		l.recordsAdded++
		return
	}
	index := l.recordsAdded % len(l.records)
	if l.byRequest[l.records[index].Request] == index {
		delete(l.byRequest, l.records[index].Request)
	}
	l.records[index] = r
	l.byRequest[r.Request] = index
	l.recordsAdded++
}

// Explain returns the explanation of a request, if the log still holds its record.
func (l *Log) Explain(request string) (Explanation, bool) {
	index, ok := l.byRequest[request]
	if !ok {
		return Explanation{}, false
	}
	return l.explain(l.records[index]), true
}

// ExplainSince returns the explanations of a customer's submissions that ended at or after
// a time, latest first, up to limit.
func (l *Log) ExplainSince(customer string, since clock.Millis, limit int) []Explanation {
	var out []Explanation
	for i := 0; i < len(l.records) && len(out) < limit; i++ {
		r := l.records[(l.recordsAdded-1-i)%len(l.records)]
		if r.EndedAt < since {
			break
		}
		if r.Customer == customer {
			out = append(out, l.explain(r))
		}
	}
	return out
}

func (l *Log) explain(r Record) Explanation {
	e := Explanation{Record: r}
	first := r.FirstSeq
	if oldest := l.oldestSeq(); first < oldest {
		first = oldest
		e.Truncated = true
	}
	counts := map[AheadCount]int{}
	for seq := first; seq < r.LastSeq; seq++ {
		d := l.dispatches[seq%uint64(len(l.dispatches))]
		counts[AheadCount{Customer: d.Customer, Kind: d.Kind, Rule: d.Rule, Version: d.Version}]++
	}
	for a, n := range counts {
		a.Tasks = n
		e.Ahead = append(e.Ahead, a)
	}
	sort.Slice(e.Ahead, func(i, j int) bool { return moreAhead(e.Ahead[i], e.Ahead[j]) })
	return e
}

// moreAhead orders counts by descending number of tasks, then by customer, kind and rule.
func moreAhead(a, b AheadCount) bool {
	if a.Tasks != b.Tasks {
		return a.Tasks > b.Tasks
	}
	if a.Customer != b.Customer {
		return a.Customer < b.Customer
	}
	if a.Kind != b.Kind {
		return a.Kind < b.Kind
	}
	return a.Rule < b.Rule
}

// oldestSeq returns the sequence number of the oldest dispatch in the log.
func (l *Log) oldestSeq() uint64 {
	n := uint64(len(l.dispatches))
	if l.NextSeq <= n {
		return 0
	}
	return l.NextSeq - n
}
