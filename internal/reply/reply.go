// Package reply holds what a caller gets back: a whole answer, or a problem that
// says truthfully whether anything ran.
package reply

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// Ran tells whether any task of a submission has started.
type Ran string

// The values of Ran.
const (
	RanNo    Ran = "no"
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Type is the stable name of a problem.
type Type string

// The problems that a caller can meet.
const (
	TypeBadToken     Type = "bad_token"
	TypeMalformed    Type = "malformed"
	TypeTooLarge     Type = "too_large"
	TypeUnknownKind  Type = "unknown_kind"
	TypeUnknownJob   Type = "unknown_job"
	TypeRateLimit    Type = "rate_limit"
	TypeQueueFull    Type = "queue_full"
	TypeDeadline     Type = "deadline"
	TypeNoUpstream   Type = "no_upstream"
	TypeNeverRuns    Type = "never_runs"
	TypeFailed       Type = "failed"
	TypeCancelled    Type = "cancelled"
	TypeFateUnknown  Type = "fate_unknown"
	TypeNoGrant      Type = "no_grant"
	TypeKeyTooOld    Type = "key_too_old"
	TypeKeyReused    Type = "key_reused"
	TypeAnswerGone   Type = "answer_gone"
	TypeShuttingDown Type = "shutting_down"
)

// Problem tells why there is no whole answer.
type Problem struct {
	Type   Type   `json:"type"`
	Detail string `json:"detail"`
	// Ran is "no" only when it is known for the whole submission.
	Ran Ran `json:"ran"`
	// Line is the contract line that caused a refusal, such as "rate.per_second".
	Line string `json:"line,omitempty"`
	// Version is the contract's version that Line stands in.
	Version int64 `json:"contract_version,omitempty"`
	// RetryAfter is zero when waiting does not help.
	RetryAfter clock.Millis `json:"retry_after_ms,omitempty"`
}

// Result is one task's whole answer, as the upstream gave it.
type Result struct {
	ContentType string
	Body        []byte
}

// Answer is the final state of a submission.
type Answer struct {
	// Request is the id of the submission that ran, for explain.
	Request string
	// Results holds every task's result, or nothing when Problem is set.
	Results []Result
	// Problem is nil when the answer is complete or pending.
	Problem *Problem
	// Pending is set only in the answer to a look-up of a job that still runs.
	Pending bool
}

// Complete reports whether the answer is whole.
func (a Answer) Complete() bool {
	return a.Problem == nil && !a.Pending
}

// Size returns the bytes that the answer holds.
func (a Answer) Size() int {
	n := 0
	for _, r := range a.Results {
		n += len(r.Body) + len(r.ContentType)
	}
	return n
}
