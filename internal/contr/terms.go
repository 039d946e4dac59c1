package contr

import (
	"strings"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Queue is the line of a contract under which a customer's jobs of one kind fall.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a job; the longest prefix wins.
	Host   string
	Prefix string
	// Fleet names the workers that run its tasks.
	Fleet string
	// Priority is zero for what goes first.
	Priority int
	// MaxAttempts is how often a task may fail before its job has, at least one.
	MaxAttempts int
	// Stretch times the longest task, plus SlackMS, is the objective of a job's
	// response time.
	Stretch float64
	SlackMS clock.Millis
	// TimeoutMS bounds a caller's wait for an answer; zero for no bound.
	TimeoutMS clock.Millis
}

// Fleet is a pool of workers.
type Fleet struct {
	Name string
	// MaxConnections bounds an agent's connections to one worker.
	MaxConnections int
	// Guarded workers refuse tasks that do not fit.
	Guarded bool
}

// HTTPLimits bound what callers may send.
type HTTPLimits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeoutMS is how long a request's headers may take to arrive.
	HeaderTimeoutMS clock.Millis
	// IdleTimeoutMS is how long a connection may stay open between requests.
	IdleTimeoutMS clock.Millis
}

// Terms is a whole configuration of queues and fleets at one version. Every limit,
// order and objective of a job follows from it.
type Terms struct {
	// Version is above zero and grows with each change.
	Version int64
	Queues  []Queue
	Fleets  []Fleet
	Limits  HTTPLimits
}

// NewerThan reports whether t replaces o; a process never goes back to older terms.
func (t *Terms) NewerThan(o *Terms) bool {
	return t != nil && (o == nil || t.Version > o.Version)
}

// QueueFor returns the queue of a host and path, or nil.
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
