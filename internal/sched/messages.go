package sched

import (
	"context"
	"io"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/dlog"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
)

// message is a request from another goroutine. The entry's goroutine calls apply.
type message interface{ apply(e *Entry) }

type submit struct {
	request Request
	waiter  *waiter
	// caller ends when the caller has left.
	caller context.Context
	// sentAt is when the message was sent to the entry's goroutine.
	sentAt clock.Millis
}

type callerDisconnected struct {
	id     jobs.ID
	waiter *waiter
}

type termsQuery struct{ answer chan<- *contr.Terms }

type readyQuery struct{ answer chan<- bool }

type stateQuery struct {
	id     jobs.ID
	answer chan<- jobs.State
}

type cancelRequest struct {
	id     jobs.ID
	answer chan<- CancelOutcome
}

type unstartedJobsQuery struct {
	queue  string
	answer chan<- int
}

func (m submit) apply(e *Entry) {
	if m.caller.Err() != nil {
		return // the caller left while the message waited, and may have submitted the job elsewhere
	}
	id := m.request.Spec.ID
	now := e.clock.Now()
	if len(e.waiters[id]) > 0 {
		// The same job was submitted again while it is in progress: one answer serves both.
		e.logResent(m.request, resentWaiting)
		e.waiters[id] = append(e.waiters[id], m.waiter)
		return
	}
	if reason := m.staleReason(e, now); reason != place.ReasonNone && e.scheduler.Jobs[id] == nil {
		e.log.Info("job rejected", "job", string(id), "request", m.request.RequestID, "reason", string(reason), "waited_ms", int64(now-m.sentAt))
		m.waiter.reply <- Reply{Verdict: place.VerdictRefused, Reason: reason, TermsVersion: m.request.TermsVersion, RetryAfter: staleRetryAfter}
		return
	}
	if e.cancelled.has(id, now) {
		e.log.Info("job rejected", "job", string(id), "request", m.request.RequestID, "reason", "cancelled", "waited_ms", int64(now-m.sentAt))
		m.waiter.reply <- Reply{Verdict: place.VerdictCancelled, TermsVersion: m.request.TermsVersion}
		return
	}
	e.waiters[id] = []*waiter{m.waiter}
	e.requestIDs[id] = m.request.RequestID
	accepted := e.scheduler.Submit(place.Submission{
		Spec: m.request.Spec, Queue: m.request.Queue, TermsVersion: m.request.TermsVersion, CallerDeadline: m.callerDeadline()}, now)
	if !accepted {
		// An answered submission of this job still has runs that may be executing.
		e.logResent(m.request, resentEnding)
		e.replyTo(id, Reply{Verdict: place.VerdictUnknown, Reason: place.ReasonCallerGone})
		return
	}
	e.logResent(m.request, resentAnswered)
}

// staleRetryAfter is the Retry-After of submissions that waited here for too long.
const staleRetryAfter = clock.Second

// callerDeadline returns when the caller stops waiting, or zero if it waits indefinitely.
func (m submit) callerDeadline() clock.Millis {
	if m.request.TimeoutMS == 0 {
		return 0
	}
	return m.sentAt + m.request.TimeoutMS
}

// staleReason returns why the submission is too old to be placed, or ReasonNone: its caller has
// stopped waiting, or the process was paused since. The caller may have submitted the job
// elsewhere.
func (m submit) staleReason(e *Entry, now clock.Millis) place.Reason {
	switch deadline := m.callerDeadline(); {
	case deadline > 0 && now >= deadline:
		return place.ReasonCallerDeadline
	case m.sentAt < e.resumedAt:
		return place.ReasonPaused
	default:
		return place.ReasonNone
	}
}

func (m callerDisconnected) apply(e *Entry) {
	remaining := e.waiters[m.id][:0]
	for _, w := range e.waiters[m.id] {
		if w != m.waiter {
			remaining = append(remaining, w)
		}
	}
	if len(remaining) > 0 {
		e.waiters[m.id] = remaining
		return
	}
	if _, pending := e.waiters[m.id]; !pending {
		return // the job was answered in the meantime
	}
	delete(e.waiters, m.id)
	e.scheduler.CallerDisconnected(m.id, e.clock.Now())
}

func (m termsQuery) apply(e *Entry) {
	if e.terms == nil && e.clock.Now() < e.startedAt+firstTermsWaitMS {
		e.termsQueries = append(e.termsQueries, m)
		return
	}
	m.answer <- e.terms
}

func (m readyQuery) apply(e *Entry) {
	m.answer <- e.terms != nil && e.drainAt == 0 && len(e.agents) > 0
}

func (m stateQuery) apply(e *Entry) {
	state, _ := e.scheduler.JobState(m.id)
	m.answer <- state
}

func (m cancelRequest) apply(e *Entry) {
	now := e.clock.Now()
	held := e.scheduler.Cancel(m.id, now)
	if !held {
		e.log.Log(context.Background(), dlog.LevelOrdinary, "cancellation passed on", "job", string(m.id))
	}
	e.cancelled.add(m.id, now)
	e.cancels.add(m.id, "", now)
	e.unconfirmedCancels = append(e.unconfirmedCancels, &unconfirmedCancel{held: held, answer: m.answer,
		awaits: map[*linkedEntry]uint64{}, expiresAt: now + maxCancelAckMS})
}

func (m unstartedJobsQuery) apply(e *Entry) {
	atLinked := 0
	for _, other := range e.linkedEntries {
		atLinked += int(other.unstartedJobs[m.queue])
	}
	m.answer <- e.scheduler.UnstartedJobs(m.queue) + e.scaleToAllEntries(atLinked)
}

// scaleToAllEntries returns the number at all other entries, estimated from the number at the
// linked ones. It is exact while all entries are linked.
func (e *Entry) scaleToAllEntries(atLinked int) int {
	if len(e.linkedEntries) == 0 || e.selector.Mesh() {
		return atLinked
	}
	return atLinked * (e.entryCount() - 1) / len(e.linkedEntries)
}

// Gauges is a snapshot of an entry's state for its metrics.
type Gauges struct {
	TermsVersion int64
	HeldJobs     int
	JobsToPlace  int
	KnownWorkers int
	// WorkersWithFreeCPU counts the workers that accept tasks and have any processor
	// time free.
	WorkersWithFreeCPU int
	// DrainedZones counts the zones that operators have drained, and DrainedWorkers the known
	// workers in them.
	DrainedZones   int
	DrainedWorkers int
	// Reservations counts the reservations of capacity since the start.
	Reservations place.ReservationCounts
	// EntryLinks and AgentLinks count the links to other entries and to agents.
	EntryLinks int
	AgentLinks int
}

type gaugesQuery struct{ answer chan<- Gauges }

func (m gaugesQuery) apply(e *Entry) {
	g := Gauges{HeldJobs: len(e.scheduler.Jobs), KnownWorkers: len(e.scheduler.Workers), EntryLinks: len(e.linkedEntries), AgentLinks: len(e.agents)}
	g.JobsToPlace, g.WorkersWithFreeCPU = e.scheduler.Counts()
	g.DrainedZones, g.DrainedWorkers = len(e.drains.Zones), e.scheduler.WorkersInDrainedZones()
	g.Reservations = e.scheduler.ReservationCounts()
	if e.terms != nil {
		g.TermsVersion = e.terms.Version
	}
	m.answer <- g
}

// WriteMetrics writes the entry's metrics in the Prometheus text format.
func (e *Entry) WriteMetrics(ctx context.Context, w io.Writer) {
	e.metrics.write(w, query(ctx, e, func(c chan Gauges) message { return gaugesQuery{answer: c} }))
}

// Submit submits a job and waits for its answer. It returns false if ctx ends first.
func (e *Entry) Submit(ctx context.Context, r Request) (Reply, bool) {
	w := &waiter{requestID: r.RequestID, reply: make(chan Reply, 1)}
	if !e.send(ctx, submit{request: r, waiter: w, caller: ctx, sentAt: e.clock.Now()}) {
		return Reply{}, false
	}
	select {
	case a := <-w.reply:
		return a, true
	case <-ctx.Done():
		e.send(context.Background(), callerDisconnected{id: r.Spec.ID, waiter: w})
		return Reply{}, false
	}
}

// Terms returns the terms in force, or nil if there are none or ctx ends first. Right after the
// start of the entry it waits for the first terms.
func (e *Entry) Terms(ctx context.Context) *contr.Terms {
	return query(ctx, e, func(c chan *contr.Terms) message { return termsQuery{answer: c} })
}

// Ready reports whether the entry can serve callers: it has a configuration and a link
// to an agent, and is not draining.
func (e *Entry) Ready(ctx context.Context) bool {
	return query(ctx, e, func(c chan bool) message { return readyQuery{answer: c} })
}

// JobState returns StateQueued or StateRunning for an unanswered job that this entry holds,
// and "" for any other job or if ctx ends first.
func (e *Entry) JobState(ctx context.Context, id jobs.ID) jobs.State {
	return query(ctx, e, func(c chan jobs.State) message { return stateQuery{id: id, answer: c} })
}

// Cancel cancels a job, and passes the cancellation on to all entries. It returns once the linked
// entries have it, or CancelRefused if the entry or ctx ends first.
func (e *Entry) Cancel(ctx context.Context, id jobs.ID) CancelOutcome {
	return query(ctx, e, func(c chan CancelOutcome) message { return cancelRequest{id: id, answer: c} })
}

// UnstartedJobs returns the number of a queue's unstarted jobs at all entries. The other
// entries are counted by the state that the linked ones last sent; where not all entries are
// linked, the number is an estimate.
func (e *Entry) UnstartedJobs(ctx context.Context, queue string) int {
	return query(ctx, e, func(c chan int) message { return unstartedJobsQuery{queue: queue, answer: c} })
}

func (e *Entry) send(ctx context.Context, m message) bool {
	select {
	case e.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// query sends a query message and returns its answer, or the zero value if ctx ends first.
func query[T any](ctx context.Context, e *Entry, newMessage func(chan T) message) T {
	answer := make(chan T, 1)
	var zero T
	if !e.send(ctx, newMessage(answer)) {
		return zero
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return zero
	}
}
