package dlog

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

type fakeClock struct{ now *clock.Millis }

func (f fakeClock) Now() clock.Millis { return *f.now }

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	now := clock.Millis(0)
	out := blockedWriter{release: make(chan struct{})}
	l := New(out, fakeClock{&now})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go l.Run(ctx, done)
	log := slog.New(NewHandler(l, LevelOrdinary))
	for i := range 20 * maxQueuedLines {
		now = clock.Millis(i)
		log.Info("refused", "job", i)
	}
	require.LessOrEqual(t, len(l.queue), maxQueuedLines)
	cancel()
	<-done
	close(out.release)
}

func TestOrdinaryLinesLeaveBudgetForRefusals(t *testing.T) {
	now := clock.Millis(0)
	out := &bytes.Buffer{}
	l := New(out, fakeClock{&now})
	log := slog.New(NewHandler(l, LevelOrdinary))
	for range 3 * linesPerSecond {
		log.Log(context.Background(), LevelOrdinary, "placed")
	}
	for range 100 {
		log.Info("refused")
	}
	now = clock.Second
	log.Info("next second")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	done := make(chan error, 1)
	l.Run(ctx, done)
	<-done
	text := out.String()
	require.Equal(t, 100, strings.Count(text, `"msg":"refused"`))
	require.Equal(t, int(ordinaryShare*linesPerSecond), strings.Count(text, `"msg":"placed"`))
	require.Contains(t, text, `"msg":"lines left out","ordinary":1200,"other":0`)
}

func TestFirstLinesOfRequestsOutlastFurtherOnes(t *testing.T) {
	now := clock.Millis(0)
	out := &bytes.Buffer{}
	l := New(out, fakeClock{&now})
	log := slog.New(NewHandler(l, LevelOrdinary))
	for range linesPerSecond {
		log.Log(context.Background(), LevelOrdinary, "further")
	}
	for range 2 * firstLinesPerSecond {
		log.Log(context.Background(), LevelFirst, "first")
	}
	log.Info("refused")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	done := make(chan error, 1)
	l.Run(ctx, done)
	<-done
	text := out.String()
	require.Equal(t, firstLinesPerSecond, strings.Count(text, `"level":"ORDINARY","msg":"first"`))
	require.Equal(t, 1, strings.Count(text, `"msg":"refused"`))
}

// BenchmarkLine measures one line of an entry, dropped ones included.
func BenchmarkLine(b *testing.B) {
	for name, second := range map[string]clock.Millis{"written": clock.Second, "dropped": 0} {
		b.Run(name, func(b *testing.B) {
			now := clock.Millis(0)
			l := New(io.Discard, fakeClock{&now})
			log := slog.New(NewHandler(l, LevelOrdinary))
			b.ReportAllocs()
			for b.Loop() {
				now += second
				log.Log(context.Background(), LevelOrdinary, "tasks placed", "job", "5c56075ca8946e59", "tasks", 4, "run", 1,
					"worker", "i-44305c582b", "speed", 1.4, "free_milli_cpu", 1950, "report_age_ms", 3, "expected_ms", 32)
				for second > 0 && len(l.queue) > 0 {
					<-l.queue
				}
			}
		})
	}
}

// countingWriter counts the calls of Write.
type countingWriter struct {
	bytes.Buffer
	writes int
}

func (w *countingWriter) Write(p []byte) (int, error) {
	w.writes++
	return w.Buffer.Write(p)
}

// Under load a line follows every few milliseconds.
func TestLinesAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &countingWriter{}
		l := New(out, clock.New())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go l.Run(ctx, done)
		log := slog.New(NewHandler(l, LevelOrdinary))
		for range 100 {
			log.Info("refused")
			time.Sleep(5 * time.Millisecond)
		}
		cancel()
		<-done
		require.Equal(t, 100, strings.Count(out.String(), `"msg":"refused"`))
		require.LessOrEqual(t, out.writes, 500/int(collectMS)+1)
	})
}
