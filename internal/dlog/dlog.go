// Package dlog writes a process's log of decisions as JSON lines. Logging never blocks
// the process: lines are dropped when the output is slow and its queue is full, or when
// a limit per second is reached. Ordinary lines may use only a part of that limit, so
// that they are dropped before lines about refusals, failures and state changes. The first
// line about a request has a reserve of its own, so that a busy process drops further lines
// about all requests before it drops every line about one. A separate line reports how many
// lines were dropped.
package dlog

import (
	"context"
	"io"
	"log/slog"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// LevelOrdinary is the level of decisions with the expected outcome, which are dropped
// first.
const LevelOrdinary = slog.Level(-2)

// LevelFirst is the level of the first ordinary line about a request or run in a process. It is
// written with the name of LevelOrdinary.
const LevelFirst = slog.Level(-1)

// Limits of the log of one process.
const (
	// linesPerSecond is the budget. Ordinary lines may use ordinaryShare of it.
	linesPerSecond = 500
	ordinaryShare  = 0.6
	// firstLinesPerSecond is the reserve of lines of LevelFirst, beyond the ordinary lines.
	firstLinesPerSecond = 300
	// maxQueuedLines is how many lines may wait for a slow output. A line has at most a
	// few hundred bytes.
	maxQueuedLines = 1024
	// collectMS is how long lines are collected before they are written, so that the number
	// of writes does not grow with the load. A process that is killed loses these lines.
	collectMS clock.Millis = 50
	// flushMS bounds the wait for the output at shutdown.
	flushMS clock.Millis = 200
	// batchBytes is the size from which no further lines are added to a write.
	batchBytes = 32 << 10
)

// Clock returns the current time.
type Clock interface {
	Now() clock.Millis
}

// budget counts the lines of the current second. It is kept in a channel with a buffer
// of one, so that only one goroutine at a time holds it.
type budget struct {
	// second is the second to which the counts belong, in whole seconds.
	second clock.Millis
	// admitted counts the lines that were not dropped because of the budget.
	admitted int
	// admittedFirst counts the lines that were admitted from the reserve for first lines.
	admittedFirst int
	// droppedOrdinary and droppedOther count the lines dropped in that second. A line
	// dropped because the queue is full counts as other, whatever its level.
	droppedOrdinary int
	droppedOther    int
}

// Log queues the lines of one process's log and writes them to its output.
type Log struct {
	out    io.Writer
	clock  Clock
	queue  chan []byte
	budget chan budget
}

// New returns a log. Its lines are written by Run.
func New(out io.Writer, c Clock) *Log {
	l := &Log{out: out, clock: c, queue: make(chan []byte, maxQueuedLines), budget: make(chan budget, 1)}
	l.budget <- budget{}
	return l
}

// Write queues one line for the handler and never blocks: if the queue is full, the line
// is dropped.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		b := <-l.budget
		b.droppedOther++
		l.budget <- b
	}
	return len(line), nil
}

// Run writes lines until ctx ends, then the lines still queued, and sends on done. Nothing
// else waits for a slow output, and Run waits no longer than flushMS after ctx ends.
func (l *Log) Run(ctx context.Context, done chan<- error) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.writeAll(ctx)
	}()
	<-ctx.Done()
	flush, cancel := context.WithTimeout(context.Background(), flushMS.Duration())
	defer cancel()
	select {
	case <-ended:
	case <-flush.Done():
		// The output is blocked; the writing goroutine ends with the process.
	}
	done <- errors.Annotate(ctx.Err(), "write log")
}

func (l *Log) writeAll(ctx context.Context) {
	for {
		select {
		case line := <-l.queue:
			clock.Wait(ctx, collectMS)
			l.out.Write(l.batch(line))
		case <-ctx.Done():
			for len(l.queue) > 0 {
				l.out.Write(l.batch(<-l.queue))
			}
			return
		}
	}
}

// batch appends queued lines to the first one, up to about batchBytes.
func (l *Log) batch(first []byte) []byte {
	b := first
	for len(b) < batchBytes {
		select {
		case line := <-l.queue:
			b = append(b, line...)
		default:
			return b
		}
	}
	return b
}

// admit reports whether the budget allows a line of the given level. With the first line
// of a new second it also returns the budget of the last second that had lines, if any were
// dropped in it.
func (l *Log) admit(level slog.Level) (ok bool, previous budget) {
	b := <-l.budget
	defer func() { l.budget <- b }()
	if second := l.clock.Now() / clock.Second; second != b.second {
		if b.droppedOrdinary+b.droppedOther > 0 {
			previous = b
		}
		b = budget{second: second}
	}
	return b.admit(level), previous
}

// admit counts a line as admitted or dropped. It reports whether it is admitted.
func (b *budget) admit(level slog.Level) bool {
	limit := linesPerSecond
	if level <= LevelFirst {
		limit = int(ordinaryShare * linesPerSecond)
	}
	switch {
	case b.admitted < limit:
		b.admitted++
	case level == LevelFirst && b.admittedFirst < firstLinesPerSecond:
		b.admittedFirst++
	case level <= LevelFirst:
		b.droppedOrdinary++
		return false
	default:
		b.droppedOther++
		return false
	}
	return true
}

// Handler is a slog.Handler that writes to a Log.
type Handler struct {
	log  *Log
	json slog.Handler
}

// NewHandler returns a handler for lines of the given level and above.
func NewHandler(l *Log, level slog.Level) *Handler {
	return &Handler{log: l, json: slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level, ReplaceAttr: replaceLevelName})}
}

// replaceLevelName names LevelOrdinary and LevelFirst, which slog would write relative to DEBUG
// and INFO.
func replaceLevelName(groups []string, a slog.Attr) slog.Attr {
	if len(groups) > 0 || a.Key != slog.LevelKey {
		return a
	}
	if level, _ := a.Value.Any().(slog.Level); level == LevelOrdinary || level == LevelFirst {
		return slog.String(slog.LevelKey, "ORDINARY")
	}
	return a
}

// Enabled reports whether lines of the given level are written.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.json.Enabled(ctx, level)
}

// Handle writes a line unless the budget is used up. If lines were dropped in an earlier
// second and have not been reported yet, it first writes a line with their number.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	ok, previous := h.log.admit(r.Level)
	if previous.droppedOrdinary+previous.droppedOther > 0 {
		notice := slog.NewRecord(r.Time, slog.LevelWarn, "lines left out", 0)
		notice.AddAttrs(slog.Int("ordinary", previous.droppedOrdinary), slog.Int("other", previous.droppedOther))
		if err := h.json.Handle(ctx, notice); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return h.json.Handle(ctx, r)
}

// WithAttrs returns a handler that adds attributes to each line.
func (h *Handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Handler{log: h.log, json: h.json.WithAttrs(attrs)}
}

// WithGroup returns a handler that puts the attributes into a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{log: h.log, json: h.json.WithGroup(name)}
}
