package logsvc

import (
	"context"
	"log/slog"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/retry"
)

// Reader reads a stream of the log.
type Reader interface {
	Read(ctx context.Context, stream string, from int64, wait clock.Millis) (Page, error)
}

// pollMS is how long one read waits for new records.
const pollMS clock.Millis = 10_000

// ReadResult is a part of a stream, or the failure to read one.
type ReadResult struct {
	Stream string
	Page   Page
	// Err is nil exactly when Page is set.
	Err error
}

// Follower reads one stream from the beginning and passes on what it finds.
type Follower struct {
	Stream string
	reader Reader
	log    *slog.Logger
	out    chan<- ReadResult
	from   int64
	// began is false until the first page has come. The first read does not wait: an
	// entry may claim nothing before it knows that the stream is empty.
	began bool
	back  retry.Backoff
}

// NewFollower returns a follower that sends to out.
func NewFollower(stream string, r Reader, out chan<- ReadResult, log *slog.Logger) *Follower {
	return &Follower{Stream: stream, reader: r, out: out, log: log}
}

// Run follows the stream until ctx ends, and then reports on done.
func (f *Follower) Run(ctx context.Context, done chan<- error) {
	for ctx.Err() == nil {
		f.step(ctx)
	}
	done <- errors.Annotatef(ctx.Err(), "follow stream %s", f.Stream)
}

func (f *Follower) step(ctx context.Context) {
	wait := pollMS
	if !f.began {
		wait = 0
	}
	p, err := f.reader.Read(ctx, f.Stream, f.from, wait)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.log.Warn("log not readable", "stream", f.Stream, "failures", f.back.ConsecutiveFailures+1, "error", err.Error())
		f.send(ctx, ReadResult{Stream: f.Stream, Err: err})
		clock.Wait(ctx, f.back.Next())
		return
	}
	f.back.Reset()
	f.began = true
	f.from = max(f.from, p.Next)
	f.send(ctx, ReadResult{Stream: f.Stream, Page: p})
}

func (f *Follower) send(ctx context.Context, m ReadResult) {
	select {
	case f.out <- m:
	case <-ctx.Done():
	}
}
