package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/dlog"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// halfDoneWorker has the run of job "a" ended and that of job "b" running.
type halfDoneWorker struct{ answeringWorker }

func (halfDoneWorker) Poll(context.Context, runs.Worker, clock.Millis, clock.Millis) (runs.PollResult, error) {
	return runs.PollResult{ClockMS: 1, Epoch: 1, Running: []runs.RunID{{Ref: jobs.TaskRef{Job: "b"}, Number: 1}},
		Ended: []runs.EndedRun{{Ref: jobs.TaskRef{Job: "a"}, Number: 1, Outcome: jobs.OutcomeDone}}}, nil
}

func newLoggingAgent(out io.Writer) *Agent {
	log := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: dlog.LevelOrdinary}))
	a := New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), halfDoneWorker{}, fakeStore{}, fakeStore{}, log)
	a.supervisor.Announce(runs.Announcement{Worker: runs.Worker{ID: "w", Epoch: 1, Capacity: jobs.Size{MilliCPU: 1}}}, a.clock.Now())
	a.supervisor.HandlePoll(runs.PollResult{SentEpoch: 1, Epoch: 1}, a.clock.Now())
	l, _ := link.NewUnconnected(host.Host{Name: "entry-1", Incarnation: "e"})
	a.links["e"] = &entryLink{link: l}
	a.supervisor.RecordContact("e", a.clock.Now())
	return a
}

// A successful run and one of an entry that was lost left no line at their agent.
func TestRunsLeaveTheirStartAndEndAtTheAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out, ctx := &bytes.Buffer{}, t.Context()
		a := newLoggingAgent(out)
		for _, job := range []jobs.ID{"a", "b"} {
			a.supervisor.Launch([]runs.Run{{Ref: jobs.TaskRef{Job: job}, Number: 1, Entry: "e"}}, a.clock.Now())
			a.performActions(ctx)
			a.onStartResult(<-a.startResults)
		}
		time.Sleep(700 * time.Millisecond)
		a.poll(ctx)
		a.onPollResult(ctx, <-a.pollResults)
		a.performActions(ctx)
		a.onLinkDown(link.Event{Link: a.links["e"].link})
		a.supervisor.Tick(a.clock.Now() + runs.DisconnectGraceMS)
		a.performActions(ctx)
		a.onStopResult(<-a.stopResults)
		var summary []string
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			var l struct {
				Msg, Job, End, Worker, Entry string
				Contact                      int `json:"contact_ms"`
			}
			require.NoError(t, json.Unmarshal([]byte(line), &l))
			summary = append(summary, strings.Join([]string{l.Msg, l.Job, l.End, l.Worker, l.Entry}, " "))
			require.Equal(t, l.Msg != "start sent", l.Contact == 700, line)
		}
		require.ElementsMatch(t, []string{"start sent a  w entry-1", "start sent b  w entry-1", "run over a done w entry-1", "link down    ", "stop sent b  w "}, summary)
	})
}

func BenchmarkRunLines(b *testing.B) {
	a := newLoggingAgent(io.Discard)
	r := runs.Run{Ref: jobs.TaskRef{Job: "5c56075ca8946e59"}, Number: 1, Entry: "e", Status: runs.Running}
	b.ReportAllocs()
	for b.Loop() {
		a.logStart(r, 0)
		a.logEnd(runs.Ended{Run: r, End: runs.RunEnd{Outcome: jobs.OutcomeDone}})
	}
}
