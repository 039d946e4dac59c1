// Package reply defines the answers that callers receive: complete results, or a problem
// that states whether any task was started.
package reply

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// Ran states whether any task of a submission has started.
type Ran string

// The values of Ran.
const (
	RanNo Ran = "no"
	// RanMaybe means that it is not known whether a task has started.
	RanMaybe Ran = "maybe"
	RanYes   Ran = "yes"
)

// Type identifies a problem. Callers rely on the values, so they must not change.
type Type string

// The types of problems.
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

// Problem explains why an answer has no results.
type Problem struct {
	Type   Type   `json:"type"`
	Detail string `json:"detail"`
	// Ran is RanNo only if it is certain that no task of the submission has started.
	Ran Ran `json:"ran"`
	// Line is the contract line that caused a rejection, such as "rate.per_second".
	Line string `json:"line,omitempty"`
	// Version is the version of the contract that Line refers to.
	Version int64 `json:"contract_version,omitempty"`
	// RetryAfter is the time after which the caller should retry. It is zero if waiting
	// does not help.
	RetryAfter clock.Millis `json:"retry_after_ms,omitempty"`
}

// Result is the complete response of the upstream to one task, unmodified.
type Result struct {
	ContentType string
	Body        []byte
}

// Answer is the answer to a submission.
type Answer struct {
	// Request is the id of the submission that ran, under which the audit log records it.
	Request string
	// Results holds the results of all tasks, in order. It is empty if Problem is set.
	Results []Result
	// Problem is nil if the answer is complete or pending.
	Problem *Problem
	// Pending is set only in the answer to a lookup of a job that has not ended.
	Pending bool
}

// Complete reports whether the answer is final and has no problem.
func (a Answer) Complete() bool {
	return a.Problem == nil && !a.Pending
}

// Size returns the size of the results in bytes, including their content types.
func (a Answer) Size() int {
	n := 0
	for _, r := range a.Results {
		n += len(r.Body) + len(r.ContentType)
	}
	return n
}
