package sched

import (
	"context"
	"io"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// message is something that the entry's task does for another task.
type message interface{ apply(e *Entry) }

type submit struct {
	request Request
	waiter  *waiter
}

type gone struct {
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
	answer chan<- bool
}

type waitingQuery struct {
	queue  string
	answer chan<- int
}

func (m submit) apply(e *Entry) {
	id := m.request.Spec.ID
	now := e.clock.Now()
	giveUp := clock.Millis(0)
	if m.request.TimeoutMS > 0 {
		giveUp = now + m.request.TimeoutMS
	}
	if len(e.waiting[id]) > 0 {
		// The same job again while it is under way: one answer serves both.
		e.waiting[id] = append(e.waiting[id], m.waiter)
		return
	}
	e.waiting[id] = []*waiter{m.waiter}
	taken := e.core.Submit(place.Submission{
		Spec: m.request.Spec, Queue: m.request.Queue, TermsVersion: m.request.TermsVersion, CallerDeadline: giveUp}, now)
	if !taken {
		// Runs of an earlier submission are still being stopped.
		e.tell(id, Reply{Verdict: place.VerdictUnknown, Reason: place.ReasonCallerGone})
	}
}

func (m gone) apply(e *Entry) {
	left := e.waiting[m.id][:0]
	for _, w := range e.waiting[m.id] {
		if w != m.waiter {
			left = append(left, w)
		}
	}
	if len(left) > 0 {
		e.waiting[m.id] = left
		return
	}
	if _, waited := e.waiting[m.id]; !waited {
		return // answered meanwhile
	}
	delete(e.waiting, m.id)
	e.core.CallerGone(m.id, e.clock.Now())
}

func (m termsQuery) apply(e *Entry) { m.answer <- e.terms }

func (m readyQuery) apply(e *Entry) {
	m.answer <- e.terms != nil && e.leaveAt == 0 && len(e.agents) > 0
}

func (m stateQuery) apply(e *Entry) {
	state, _ := e.core.State(m.id)
	m.answer <- state
}

func (m cancelRequest) apply(e *Entry) {
	known := e.core.Cancel(m.id, e.clock.Now())
	if !known {
		f := &wire.Frame{Body: &wire.Frame_CancelJob{CancelJob: &wire.CancelJob{Job: string(m.id)}}}
		for _, p := range e.peers {
			p.link.Send(f)
		}
	}
	m.answer <- known
}

func (m waitingQuery) apply(e *Entry) {
	n := e.core.Waiting(m.queue)
	for _, p := range e.peers {
		n += int(p.waiting[m.queue])
	}
	m.answer <- n
}

// Gauges are the levels of an entry at one moment.
type Gauges struct {
	TermsVersion int64
	HeldJobs     int
	WaitingJobs  int
	KnownWorkers int
	OpenWorkers  int
	Peers        int
	Agents       int
}

type gaugesQuery struct{ answer chan<- Gauges }

func (m gaugesQuery) apply(e *Entry) {
	g := Gauges{HeldJobs: len(e.core.Jobs), KnownWorkers: len(e.core.Workers), Peers: len(e.peers), Agents: len(e.agents)}
	g.WaitingJobs, g.OpenWorkers = e.core.Counts()
	if e.terms != nil {
		g.TermsVersion = e.terms.Version
	}
	m.answer <- g
}

// WriteMetrics writes the entry's metrics as text.
func (e *Entry) WriteMetrics(ctx context.Context, w io.Writer) {
	e.metrics.write(w, ask(ctx, e, func(c chan Gauges) message { return gaugesQuery{answer: c} }))
}

// Submit passes a job in and waits for its answer. It reports false when the caller
// went away first.
func (e *Entry) Submit(ctx context.Context, r Request) (Reply, bool) {
	w := &waiter{request: r.RequestID, reply: make(chan Reply, 1)}
	if !e.send(ctx, submit{request: r, waiter: w}) {
		return Reply{}, false
	}
	select {
	case a := <-w.reply:
		return a, true
	case <-ctx.Done():
		e.send(context.Background(), gone{id: r.Spec.ID, waiter: w})
		return Reply{}, false
	}
}

// Terms returns the terms in force, or nil.
func (e *Entry) Terms(ctx context.Context) *contr.Terms {
	return ask(ctx, e, func(c chan *contr.Terms) message { return termsQuery{answer: c} })
}

// Ready reports whether the entry wants callers.
func (e *Entry) Ready(ctx context.Context) bool {
	return ask(ctx, e, func(c chan bool) message { return readyQuery{answer: c} })
}

// State returns the state of a job that this entry holds, or "".
func (e *Entry) State(ctx context.Context, id jobs.ID) jobs.State {
	return ask(ctx, e, func(c chan jobs.State) message { return stateQuery{id: id, answer: c} })
}

// Cancel cancels a job, here or at the entry that holds it; it reports whether this
// entry held it.
func (e *Entry) Cancel(ctx context.Context, id jobs.ID) bool {
	return ask(ctx, e, func(c chan bool) message { return cancelRequest{id: id, answer: c} })
}

// WaitingJobs returns the number of a queue's jobs that wait, over all entries.
func (e *Entry) WaitingJobs(ctx context.Context, queue string) int {
	return ask(ctx, e, func(c chan int) message { return waitingQuery{queue: queue, answer: c} })
}

func (e *Entry) send(ctx context.Context, m message) bool {
	select {
	case e.inbox <- m:
		return true
	case <-ctx.Done():
		return false
	}
}

// ask sends a query and returns its answer, or the zero value when ctx ends first.
func ask[T any](ctx context.Context, e *Entry, query func(chan T) message) T {
	answer := make(chan T, 1)
	var none T
	if !e.send(ctx, query(answer)) {
		return none
	}
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return none
	}
}
