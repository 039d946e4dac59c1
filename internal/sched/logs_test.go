package sched

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/dlog"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// call is a message that calls a function.
type call func(*Entry)

func (c call) apply(e *Entry) { c(e) }

// fakeFleet is an entry with linked agents that have free capacity at all times.
type fakeFleet struct {
	entry  *Entry
	log    *dlog.Log
	out    bytes.Buffer
	frames map[string]func() []*wire.Frame
}

func newFakeFleet() *fakeFleet {
	f := &fakeFleet{frames: map[string]func() []*wire.Frame{}}
	c := clock.New()
	f.log = dlog.New(&f.out, c)
	f.entry = New(Settings{}, c, noTerms{}, fakeMembers{joins: make(chan struct{}, 1000)}, slog.New(dlog.NewHandler(f.log, dlog.LevelOrdinary)))
	for i := range 20 {
		name := fmt.Sprintf("a%d", i)
		f.entry.agents[name], f.frames[name] = link.NewUnconnected(host.Host{Name: "side-" + name, Incarnation: name, Role: host.RoleAgent})
	}
	f.report(f.entry)
	return f
}

func (f *fakeFleet) report(e *Entry) {
	free := jobs.Size{MilliCPU: 1_000_000}
	for name := range f.frames {
		r := place.Report{Worker: place.Worker{Agent: name, ID: "i-" + name, Host: "side-" + name, Fleet: "f", Speed: 1, Capacity: free, ReportedFree: free}}
		if w := e.scheduler.Workers[name]; w != nil {
			r.AckedLaunch = w.LastLaunch
		}
		e.scheduler.UpdateWorker(r, e.clock.Now())
	}
}

// runTasks lets the launched tasks end after the time that their queue names.
func (f *fakeFleet) runTasks() {
	for agent, sent := range f.frames {
		for _, frame := range sent() {
			l := frame.GetLaunch()
			work, _ := time.ParseDuration(l.GetQueue())
			for _, t := range l.GetTasks() {
				ends := []*wire.TaskEnd{{Job: l.GetJob(), Index: t.GetIndex(), Run: t.GetRun(), End: int32(jobs.OutcomeDone)}}
				time.AfterFunc(work, func() { f.entry.inbox <- call(func(e *Entry) { e.onRunEnds(agent, ends, e.clock.Now()) }) })
			}
		}
	}
}

// play submits jobs of 8, 4 and 2 tasks and returns the messages of the lines of each.
func (f *fakeFleet) play(ctx context.Context, jobsPerSecond int, duration time.Duration) map[string]string {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 2)
	go func() { done <- f.entry.loop(ctx) }()
	go f.log.Run(ctx, done)
	random := rand.New(rand.NewPCG(1, 2))
	messages := map[string]string{}
	due := 0.0
	for begin := time.Now(); time.Since(begin) < duration; time.Sleep(time.Millisecond) {
		for due += random.ExpFloat64() * float64(jobsPerSecond) / 1000; due >= 1; due-- {
			kind := random.IntN(3)
			r := newTestRequest(fmt.Sprintf("%016x", random.Uint64()))
			r.Spec.Steps[0].Count = []int{8, 4, 2}[kind]
			r.Queue = contr.Queue{Name: []string{"60ms", "900ms", "200ms"}[kind], Fleet: "f", Stretch: 4}
			messages[string(r.Spec.ID)] = ""
			go f.entry.Submit(ctx, r)
		}
		f.runTasks()
		f.entry.inbox <- call(f.report)
	}
	cancel()
	<-done
	<-done
	for _, line := range f.lines() {
		if _, ours := messages[line["job"]]; ours {
			messages[line["job"]] += line["msg"] + " "
		}
	}
	return messages
}

// lines returns the fields of all lines that were written.
func (f *fakeFleet) lines() []map[string]string {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.log.Run(ctx, make(chan error, 1))
	var lines []map[string]string
	for _, text := range strings.Split(strings.TrimSpace(f.out.String()), "\n") {
		var fields map[string]any
		json.Unmarshal([]byte(text), &fields)
		line := map[string]string{}
		for k, v := range fields {
			line[k] = fmt.Sprint(v)
		}
		lines = append(lines, line)
	}
	return lines
}

// The record of an incident named no process that had placed the job.
func TestEveryJobLeavesItsPlacementUnderLoad(t *testing.T) {
	for _, jobsPerSecond := range []int{65, 130, 250} {
		synctest.Test(t, func(t *testing.T) {
			none, noPlacement, noAnswer := 0, 0, 0
			messages := newFakeFleet().play(t.Context(), jobsPerSecond, 20*time.Second)
			for _, m := range messages {
				none += 1 - min(1, len(m))
				noPlacement += 1 - min(1, strings.Count(m, "tasks placed"))
				noAnswer += 1 - min(1, strings.Count(m, "job answered"))
			}
			t.Logf("%d/s, %d jobs: without a line %d, without a placement %d, without an answer %d", jobsPerSecond, len(messages), none, noPlacement, noAnswer)
			require.Greater(t, len(messages), 19*jobsPerSecond)
			require.Zero(t, noPlacement)
		})
	}
}

func (f *fakeFleet) submit(id, request string) *waiter {
	r := newTestRequest(id)
	r.RequestID = request
	w := &waiter{reply: make(chan Reply, 1)}
	submit{request: r, waiter: w, caller: context.Background(), sentAt: f.entry.clock.Now()}.apply(f.entry)
	f.entry.performActions()
	return w
}

func TestJobReceivedAgainIsLoggedWithItsState(t *testing.T) {
	f := newFakeFleet()
	w := f.submit("1", "a")
	f.submit("1", "b")
	callerDisconnected{id: "1", waiter: w}.apply(f.entry)
	f.entry.scheduler.CallerDisconnected("1", f.entry.clock.Now())
	f.entry.performActions()
	f.submit("1", "c")
	for agent := range f.frames {
		f.entry.onRunEnds(agent, []*wire.TaskEnd{{Job: "1", Run: 1, End: int32(jobs.OutcomeStopped)}}, f.entry.clock.Now())
	}
	f.submit("1", "d")
	var got []string
	for _, l := range f.lines() {
		got = append(got, strings.Join([]string{l["msg"], l["request"], l["first_request"], l["state"], l["verdict"]}, " "))
	}
	require.Subset(t, got, []string{"job received again b a waiting ", "job answered a   unknown",
		"job received again c a ending unknown", "job received again d a answered unknown"})
	require.Len(t, f.entry.requestIDs, 1, "of the last job, which is not answered")
}

func TestRunResolvedWithoutItsAgentIsLogged(t *testing.T) {
	f := newFakeFleet()
	f.submit("1", "a")
	f.entry.scheduler.AgentDisconnected(f.entry.scheduler.Jobs["1"].Tasks[0].Agent, 0)
	f.entry.scheduler.Tick(f.entry.clock.Now())
	f.entry.performActions()
	for name, l := range f.entry.agents {
		f.entry.scheduler.AgentDisconnected(name, f.entry.clock.Now())
		f.entry.onInventory(l, &wire.Inventory{}, f.entry.clock.Now())
		f.entry.performActions()
	}
	var causes []string
	for _, l := range f.lines() {
		causes = append(causes, l["cause"])
	}
	require.Subset(t, causes, []string{string(place.ResolvedByTime), string(place.ResolvedByInventory)})
}
