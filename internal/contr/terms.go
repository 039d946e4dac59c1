package contr

import (
	"strings"

	"github.com/juju/errors"

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

// Fleet is a pool of workers.
type Fleet struct {
	Name string
	// MaxConnections is the maximum number of connections that an agent opens to one worker.
	MaxConnections int
	// Guarded means that the workers reject tasks that do not fit.
	Guarded bool
}

// HTTPLimits bounds the requests and connections of callers.
type HTTPLimits struct {
	HeaderBytes int
	BodyBytes   int64
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

// Check returns an error if a value of the terms is out of range.
func (t *Terms) Check() error {
	if t.Version < 1 || t.Version >= maxVersion {
		return errors.Errorf("version %d: out of range", t.Version)
	}
	for _, q := range t.Queues {
		if err := q.check(); err != nil {
			return errors.Annotatef(err, "queue %s", q.Name)
		}
	}
	for _, f := range t.Fleets {
		if !isCount(int64(f.MaxConnections)) {
			return errors.Errorf("fleet %s: maximum of connections %d: out of range", f.Name, f.MaxConnections)
		}
	}
	return errors.Annotate(t.Limits.check(), "HTTP limits")
}

func (q *Queue) check() error {
	switch {
	case !isDuration(q.SlackMS):
		return errors.Errorf("slack %d ms: out of range", q.SlackMS)
	case !isDuration(q.TimeoutMS):
		return errors.Errorf("timeout %d ms: out of range", q.TimeoutMS)
	case !(q.Stretch >= 0 && q.Stretch <= maxStretch):
		return errors.Errorf("stretch %g: out of range", q.Stretch)
	case !isCount(int64(q.MaxAttempts)):
		return errors.Errorf("maximum of attempts %d: out of range", q.MaxAttempts)
	case q.Priority <= -maxCount || q.Priority >= maxCount:
		return errors.Errorf("priority %d: out of range", q.Priority)
	}
	return nil
}

func (l *HTTPLimits) check() error {
	switch {
	case !isCount(int64(l.HeaderBytes)) || !isCount(l.BodyBytes):
		return errors.Errorf("sizes of %d and %d bytes: out of range", l.HeaderBytes, l.BodyBytes)
	case !isDuration(l.HeaderTimeoutMS) || !isDuration(l.IdleTimeoutMS):
		return errors.Errorf("timeouts of %d and %d ms: out of range", l.HeaderTimeoutMS, l.IdleTimeoutMS)
	}
	return nil
}

func isCount(n int64) bool { return n >= 0 && n < maxCount }

func isDuration(d clock.Millis) bool { return d >= 0 && d <= maxTermsMS }

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
