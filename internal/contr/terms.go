package contr

import (
	"fmt"
	"strings"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Queue is the part of a contract that defines how one kind of a customer's jobs is run.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a job by the HTTP host and the path of its
	// request. Of several matching queues, the one with the longest prefix is used.
	Host   string
	Prefix string
	// Fleet is the name of the fleet whose workers run the tasks.
	Fleet string
	// Priority zero is the highest; larger numbers have lower priority.
	Priority int
	// MaxAttempts is the number of failed attempts of a task after which its job fails. It
	// is at least one.
	MaxAttempts int
	// Stretch multiplied by the predicted run time of a job (place.Job.PredictedWorkMS),
	// plus SlackMS, is the objective for the job's response time.
	Stretch float64
	SlackMS clock.Millis
	// TimeoutMS bounds a caller's wait for an answer; zero means no bound.
	TimeoutMS clock.Millis
}

// Fleet is a pool of workers. Queues and workers refer to it by name. Its other fields are passed on
// to other entries, but not evaluated.
type Fleet struct {
	Name string
	// MaxConnections is the maximum number of connections that an agent may open to one worker.
	MaxConnections int
	// Guarded means that the workers reject tasks that do not fit.
	Guarded bool
}

// HTTPLimits bounds the requests and connections of callers. Zero means the default of the listener.
// Only BodyBytes is evaluated; for the rest, package serve has fixed limits.
type HTTPLimits struct {
	HeaderBytes int
	// BodyBytes is the maximum size of a request's body.
	BodyBytes int64
	// HeaderTimeoutMS is the maximum time for a request's headers to arrive.
	HeaderTimeoutMS clock.Millis
	// IdleTimeoutMS is the maximum time that a connection may stay open between requests.
	IdleTimeoutMS clock.Millis
}

// Terms is a complete configuration of queues and fleets at one version. It determines the
// limits, order and response time objectives of all jobs.
type Terms struct {
	// Version is above zero and increases with each change.
	Version int64
	Queues  []Queue
	Fleets  []Fleet
	Limits  HTTPLimits
}

// Limits of the values in terms. They are far above any use and keep all arithmetic with
// these values in range.
const (
	maxVersion              = 1 << 53
	maxTermsMS clock.Millis = 30 * 24 * 3600 * clock.Second
	maxStretch              = 1000
	maxCount                = 1 << 31
)

// ValueError reports a value of terms that is out of range.
type ValueError struct {
	// Path names the value by the snake-case names of its fields, such as
	// queues[2].slack_ms.
	Path string
	// Reason says what is wrong, followed by "; want" and what would be correct.
	Reason string
}

// Error returns the path and the reason.
func (e *ValueError) Error() string { return e.Path + ": " + e.Reason }

// Check returns an error if a value of the terms is out of range.
func (t *Terms) Check() error {
	if errs := t.CheckAll(); len(errs) > 0 {
		return errs[0]
	}
	return nil
}

// CheckAll returns an error for each value of the terms that is out of range.
func (t *Terms) CheckAll() []*ValueError {
	c := &termsCheck{}
	c.number("", "version", t.Version, 1, maxVersion-1)
	for i, q := range t.Queues {
		c.queue(fmt.Sprintf("queues[%d].", i), q)
	}
	for i, f := range t.Fleets {
		c.number(fmt.Sprintf("fleets[%d].", i), "max_connections", int64(f.MaxConnections), 0, maxCount-1)
	}
	c.number("limits.", "header_bytes", int64(t.Limits.HeaderBytes), 0, maxCount-1)
	c.number("limits.", "body_bytes", t.Limits.BodyBytes, 0, maxCount-1)
	c.number("limits.", "header_timeout_ms", int64(t.Limits.HeaderTimeoutMS), 0, int64(maxTermsMS))
	c.number("limits.", "idle_timeout_ms", int64(t.Limits.IdleTimeoutMS), 0, int64(maxTermsMS))
	return c.errs
}

// termsCheck collects the errors of one check of terms.
type termsCheck struct {
	errs []*ValueError
}

func (c *termsCheck) queue(path string, q Queue) {
	c.number(path, "slack_ms", int64(q.SlackMS), 0, int64(maxTermsMS))
	c.number(path, "timeout_ms", int64(q.TimeoutMS), 0, int64(maxTermsMS))
	if !(q.Stretch >= 0 && q.Stretch <= maxStretch) {
		c.add(path+"stretch", fmt.Sprintf("%g is out of range; want 0 to %d", q.Stretch, maxStretch))
	}
	c.number(path, "max_attempts", int64(q.MaxAttempts), 0, maxCount-1)
	c.number(path, "priority", int64(q.Priority), -maxCount+1, maxCount-1)
}

// number checks that a value is from low to high.
func (c *termsCheck) number(parent, field string, value, low, high int64) {
	if value < low || value > high {
		c.add(parent+field, fmt.Sprintf("%d is out of range; want %d to %d", value, low, high))
	}
}

func (c *termsCheck) add(path, reason string) {
	c.errs = append(c.errs, &ValueError{Path: path, Reason: reason})
}

// NewerThan reports whether t replaces other. A process never returns to older terms.
func (t *Terms) NewerThan(other *Terms) bool {
	return t != nil && (other == nil || t.Version > other.Version)
}

// QueueFor returns the queue for a host and path, or nil if none matches.
func (t *Terms) QueueFor(host, path string) *Queue {
	var best *Queue
	for i := range t.Queues {
		q := &t.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}
