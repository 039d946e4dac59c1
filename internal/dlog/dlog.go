// Package dlog writes the log of decisions: JSON lines that never block the process
// that writes them, within a budget a second. When the budget or the queue is used
// up, ordinary lines go before those on refusals, failures and changes of belief; what
// was left out is counted in a line of its own.
package dlog

import (
	"context"
	"io"
	"log/slog"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// LevelOrdinary is the level of decisions that went as expected; the first to be left out.
const LevelOrdinary = slog.Level(-2)

// Bounds of the log of one process.
const (
	// linesPerSecond is the budget; ordinary lines may use ordinaryPart of it.
	linesPerSecond = 500
	ordinaryPart   = 0.6
	// queuedLines wait for a slow output, of at most a few hundred bytes each.
	queuedLines = 1024
	// flushMS bounds the wait for the output at the end.
	flushMS clock.Millis = 200
	// batchBytes is the most that is written at once.
	batchBytes = 32 << 10
)

// Clock tells the time.
type Clock interface {
	Now() clock.Millis
}

// budget is what may still be written; it passes through a channel of one, so that
// one goroutine at a time has it.
type budget struct {
	// second is the second that the counts belong to.
	second clock.Millis
	lines  int
	// dropped counts lines left out since the last report, by ordinary and other.
	droppedOrdinary int
	droppedOther    int
}

// Log is the output of one process's log.
type Log struct {
	out    io.Writer
	clock  Clock
	lines  chan []byte
	budget chan budget
}

// New returns a log; Run it to have it written.
func New(out io.Writer, c Clock) *Log {
	l := &Log{out: out, clock: c, lines: make(chan []byte, queuedLines), budget: make(chan budget, 1)}
	l.budget <- budget{}
	return l
}

// Write queues one line and never blocks; it is for the handler.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		b := <-l.budget
		b.droppedOther++
		l.budget <- b
	}
	return len(line), nil
}

// Run writes lines until ctx ends and what is queued is written, and then reports on
// done. It alone waits for a slow output.
func (l *Log) Run(ctx context.Context, done chan<- error) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.writeAll(ctx)
	}()
	<-ctx.Done()
	limit, cancel := context.WithTimeout(context.Background(), flushMS.Duration())
	defer cancel()
	select {
	case <-ended:
	case <-limit.Done():
		// The output is stuck; its goroutine ends with the process.
	}
	done <- errors.Annotate(ctx.Err(), "write log")
}

func (l *Log) writeAll(ctx context.Context) {
	for {
		select {
		case line := <-l.lines:
			l.out.Write(l.batch(line))
		case <-ctx.Done():
			for len(l.lines) > 0 {
				l.out.Write(l.batch(<-l.lines))
			}
			return
		}
	}
}

// batch adds the lines that wait behind the first.
func (l *Log) batch(first []byte) []byte {
	b := first
	for len(b) < batchBytes {
		select {
		case line := <-l.lines:
			b = append(b, line...)
		default:
			return b
		}
	}
	return b
}

// admit reports whether a line of a level may be written, and what was left out
// before if it is time to say so.
func (l *Log) admit(level slog.Level) (ok bool, report budget) {
	b := <-l.budget
	defer func() { l.budget <- b }()
	if second := l.clock.Now() / clock.Second; second != b.second {
		if b.droppedOrdinary+b.droppedOther > 0 {
			report = b
		}
		b = budget{second: second}
	}
	limit := linesPerSecond
	if level <= LevelOrdinary {
		limit = int(ordinaryPart * linesPerSecond)
	}
	if b.lines >= limit {
		if level <= LevelOrdinary {
			b.droppedOrdinary++
		} else {
			b.droppedOther++
		}
		return false, report
	}
	b.lines++
	return true, report
}

// Handler is a slog handler over a log.
type Handler struct {
	log  *Log
	json slog.Handler
}

// NewHandler returns a handler that passes on lines from a level on.
func NewHandler(l *Log, level slog.Level) *Handler {
	return &Handler{log: l, json: slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level, ReplaceAttr: nameLevel})}
}

func nameLevel(groups []string, a slog.Attr) slog.Attr {
	if len(groups) == 0 && a.Key == slog.LevelKey && a.Value.Any() == LevelOrdinary {
		return slog.String(slog.LevelKey, "ORDINARY")
	}
	return a
}

// Enabled reports whether lines of a level are written at all.
func (h *Handler) Enabled(ctx context.Context, level slog.Level) bool {
	return h.json.Enabled(ctx, level)
}

// Handle writes a line, unless the budget is used up.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	ok, report := h.log.admit(r.Level)
	if report.droppedOrdinary+report.droppedOther > 0 {
		left := slog.NewRecord(r.Time, slog.LevelWarn, "lines left out", 0)
		left.AddAttrs(slog.Int("ordinary", report.droppedOrdinary), slog.Int("other", report.droppedOther))
		if err := h.json.Handle(ctx, left); err != nil {
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

// WithGroup returns a handler that puts attributes in a group.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{log: h.log, json: h.json.WithGroup(name)}
}
