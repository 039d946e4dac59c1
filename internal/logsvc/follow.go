package logsvc

import (
	"context"
	"log/slog"

	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/retry"
)

// Reader reads records of a stream, and waits up to wait if there are none yet.
type Reader interface {
	Read(ctx context.Context, stream string, from int64, wait clock.Millis) (Page, error)
}

// pollMS is the maximum time that one read waits for new records.
const pollMS clock.Millis = 10_000

// ReadResult is a page read from a stream, or the error of a failed read.
type ReadResult struct {
	Stream string
	Page   Page
	// Err is nil if and only if Page is set.
	Err error
}

// Follower reads one stream from its beginning, polls for new records and sends the results
// to a channel.
type Follower struct {
	Stream string
	reader Reader
	log    *slog.Logger
	out    chan<- ReadResult
	next   int64
	// firstPageRead is false until a read has succeeded. Until then reads do not wait for
	// records, because an entry may claim nothing until it knows whether the stream is
	// empty.
	firstPageRead bool
	backoff       retry.Backoff
}

// NewFollower returns a follower that sends its results to out.
func NewFollower(stream string, r Reader, out chan<- ReadResult, log *slog.Logger) *Follower {
	return &Follower{Stream: stream, reader: r, out: out, log: log}
}

// Run follows the stream until ctx ends, and then sends the error of ctx to done.
func (f *Follower) Run(ctx context.Context, done chan<- error) {
	for ctx.Err() == nil {
		f.readPage(ctx)
	}
	done <- errors.Annotatef(ctx.Err(), "follow stream %s", f.Stream)
}

func (f *Follower) readPage(ctx context.Context) {
	wait := pollMS
	if !f.firstPageRead {
		wait = 0
	}
	p, err := f.reader.Read(ctx, f.Stream, f.next, wait)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.log.Warn("failed to read the log", "stream", f.Stream, "failures", f.backoff.ConsecutiveFailures+1, "error", err.Error())
		f.send(ctx, ReadResult{Stream: f.Stream, Err: err})
		clock.Wait(ctx, f.backoff.Next())
		return
	}
	f.backoff.Reset()
	f.firstPageRead = true
	f.next = max(f.next, p.Next)
	f.send(ctx, ReadResult{Stream: f.Stream, Page: p})
}

func (f *Follower) send(ctx context.Context, r ReadResult) {
	select {
	case f.out <- r:
	case <-ctx.Done():
	}
}
