// Package audit remembers decisions for a while, so that an operator can tell a
// customer why someone else went first. Its memory is bounded. The package does no
// I/O and reads no clock.
package audit

import (
	"sort"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// Dispatch is one task that went to an upstream.
type Dispatch struct {
	At       clock.Millis
	Customer string
	Kind     string
	// Rule is the contract line by which it went next.
	Rule string
	// Version is the version of that contract.
	Version int64
}

// Record is what is remembered of one submission.
type Record struct {
	Request  string `json:"request"`
	Customer string `json:"customer"`
	Kind     string `json:"kind"`
	Key      string `json:"key,omitempty"`
	// ArrivedAt is never after EndedAt.
	ArrivedAt clock.Millis `json:"arrived_at"`
	EndedAt   clock.Millis `json:"ended_at"`
	// WaitedMS is the time until its last task was sent to an upstream.
	WaitedMS clock.Millis   `json:"waited_ms"`
	Problem  *reply.Problem `json:"problem,omitempty"`
	// Upstreams are those that its tasks were sent to, in order, bounded.
	Upstreams []string `json:"upstreams,omitempty"`
	// PassedOver tells which upstreams were not used, and why.
	PassedOver []string `json:"passed_over,omitempty"`
	// FirstSeq and LastSeq bound the dispatches that happened while it waited.
	FirstSeq uint64 `json:"-"`
	LastSeq  uint64 `json:"-"`
}

// AheadCount sums up the tasks of one flow that went ahead by one rule.
type AheadCount struct {
	Customer string `json:"customer"`
	Kind     string `json:"kind"`
	Rule     string `json:"rule"`
	Version  int64  `json:"contract_version"`
	Tasks    int    `json:"tasks"`
}

// Explanation answers why a submission waited, was refused or failed.
type Explanation struct {
	Record Record       `json:"record"`
	Ahead  []AheadCount `json:"ahead"`
	// Truncated is set when older dispatches have left the memory bound.
	Truncated bool `json:"truncated,omitempty"`
}

// Log holds the latest dispatches and records.
type Log struct {
	// NextSeq is the sequence number of the next dispatch.
	NextSeq uint64

	dispatches []Dispatch
	records    []Record
	written    int
	byRequest  map[string]int
}

// Bounds of a log.
const (
	DefaultDispatches = 32768
	DefaultRecords    = 4096
)

// New returns a log that holds at most the given numbers, both above zero.
func New(dispatches, records int) *Log {
	return &Log{
		dispatches: make([]Dispatch, dispatches),
		records:    make([]Record, 0, records),
		byRequest:  map[string]int{},
	}
}

// AddDispatch remembers a task that went to an upstream.
func (l *Log) AddDispatch(d Dispatch) {
	l.dispatches[l.NextSeq%uint64(len(l.dispatches))] = d
	l.NextSeq++
}

// AddRecord remembers a submission's end, in place of the oldest when full.
func (l *Log) AddRecord(r Record) {
	if len(l.records) < cap(l.records) {
		l.records = append(l.records, r)
		l.byRequest[r.Request] = len(l.records) - 1
		l.written++
		return
	}
	at := l.written % len(l.records)
	if l.byRequest[l.records[at].Request] == at {
		delete(l.byRequest, l.records[at].Request)
	}
	l.records[at] = r
	l.byRequest[r.Request] = at
	l.written++
}

// Explain returns what is remembered of a request.
func (l *Log) Explain(request string) (Explanation, bool) {
	at, ok := l.byRequest[request]
	if !ok {
		return Explanation{}, false
	}
	return l.explain(l.records[at]), true
}

// ExplainSince returns the records of a customer that ended at or after a time, the
// latest first, at most limit of them.
func (l *Log) ExplainSince(customer string, since clock.Millis, limit int) []Explanation {
	var out []Explanation
	for i := 0; i < len(l.records) && len(out) < limit; i++ {
		r := l.records[(l.written-1-i)%len(l.records)]
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
	if oldest := l.oldest(); first < oldest {
		first = oldest
		e.Truncated = true
	}
	sums := map[AheadCount]int{}
	for seq := first; seq < r.LastSeq; seq++ {
		d := l.dispatches[seq%uint64(len(l.dispatches))]
		sums[AheadCount{Customer: d.Customer, Kind: d.Kind, Rule: d.Rule, Version: d.Version}]++
	}
	for a, n := range sums {
		a.Tasks = n
		e.Ahead = append(e.Ahead, a)
	}
	sort.Slice(e.Ahead, func(i, j int) bool { return before(e.Ahead[i], e.Ahead[j]) })
	return e
}

func before(a, b AheadCount) bool {
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

func (l *Log) oldest() uint64 {
	n := uint64(len(l.dispatches))
	if l.NextSeq <= n {
		return 0
	}
	return l.NextSeq - n
}
