package sched

import (
	"context"
	"io"
	"log/slog"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/place"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// fakeMembers is an empty membership list that records each Join.
type fakeMembers struct{ joins chan struct{} }

func (f fakeMembers) Join(context.Context, host.Host) error {
	f.joins <- struct{}{}
	return nil
}

func (f fakeMembers) Remove(context.Context, string) error { return nil }

func (f fakeMembers) Entries(context.Context) ([]roster.Record, error) { return nil, nil }

// noTerms is a terms source without a configuration.
type noTerms struct{}

func (noTerms) Next(ctx context.Context, _ int64) (Published, error) {
	<-ctx.Done()
	return Published{}, ctx.Err()
}

// The host of a record that is not renewed is considered gone.
func TestEntryRenewsItsMembershipRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := fakeMembers{joins: make(chan struct{}, 1000)}
		self := host.Host{Name: "e", Incarnation: host.NewIncarnation(), Role: host.RoleEntry}
		e := New(Settings{Self: self}, clock.New(), noTerms{}, members, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- e.Run(ctx) }()
		time.Sleep(4 * membersIntervalMS.Duration())
		cancel()
		<-done
		require.GreaterOrEqual(t, len(members.joins), 4)
		require.LessOrEqual(t, len(members.joins), 6, "one write every 20 s, even while no other entry is linked")
	})
}

// readCounter counts the reads of the membership list.
type readCounter struct {
	fakeMembers
	reads chan struct{}
}

func (r readCounter) Entries(context.Context) ([]roster.Record, error) {
	r.reads <- struct{}{}
	return nil, nil
}

// When all entries start at once, the first read misses those that started last. An entry that
// is linked and registered once read the list again only after 20 s.
func TestMembershipListIsReadMoreOftenRightAfterTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := readCounter{fakeMembers: fakeMembers{joins: make(chan struct{}, 1000)}, reads: make(chan struct{}, 1000)}
		self := host.Host{Name: "e", Incarnation: host.NewIncarnation(), Role: host.RoleEntry}
		e := New(Settings{Self: self}, clock.New(), noTerms{}, members, slog.New(slog.NewTextHandler(io.Discard, nil)))
		linkFakeEntry(e, "o")
		e.registered, e.recordWrittenAt = true, e.clock.Now()
		for range 8 * 20 {
			time.Sleep(idleInterval)
			e.refreshMembers(t.Context(), e.clock.Now())
			synctest.Wait()
			for len(e.memberLists) > 0 {
				e.onMemberList(t.Context(), <-e.memberLists)
			}
		}
		require.GreaterOrEqual(t, len(members.reads), 4, "after 1, 2, 3 and 5 s or so")
	})
}

// slowMembers takes a second for each write and records the calls in the order of their ends.
type slowMembers struct {
	fakeMembers
	calls chan string
}

func (m slowMembers) Join(context.Context, host.Host) error {
	time.Sleep(time.Second)
	m.calls <- "join"
	return nil
}

func (m slowMembers) Remove(context.Context, string) error {
	m.calls <- "remove"
	return nil
}

// An entry may drain while it renews its record. A renewal that arrives after the removal
// would list the entry when it is gone.
func TestRecordIsRemovedAfterTheWriteInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := slowMembers{calls: make(chan string, 100)}
		self := host.Host{Name: "e", Incarnation: host.NewIncarnation(), Role: host.RoleEntry}
		e := New(Settings{Self: self, ShutdownDelayMS: 2000, DrainMS: 5000}, clock.New(), noTerms{}, members, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- e.Run(ctx) }()
		time.Sleep(1500 * time.Millisecond) // the first write began at the first tick after a second
		e.Drain()
		require.NoError(t, <-done)
		cancel()
		require.Equal(t, "join", <-members.calls)
		require.Equal(t, "remove", <-members.calls)
		require.Empty(t, members.calls)
	})
}

// Most reports omit the worker's description, since it has not changed.
func TestReportWithoutWorkerKeepsPreviousWorker(t *testing.T) {
	self := host.Host{Name: "e", Incarnation: host.NewIncarnation(), Role: host.RoleEntry}
	e := New(Settings{Self: self}, clock.New(), noTerms{}, fakeMembers{}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	agent := host.Host{Name: "a", Incarnation: "i", Role: host.RoleAgent}
	free := &wire.Size{MilliCpu: 500}
	unknown := e.decodeReport(agent, &wire.Room{Free: free})
	require.True(t, unknown.Worker.Closed, "no worker was described yet")
	first := e.decodeReport(agent, &wire.Room{Free: free, Worker: &wire.RoomWorker{Id: "w", Fleet: "f",
		Labels: []string{"l"}, Capacity: &wire.Size{MilliCpu: 4000}}})
	e.scheduler.UpdateWorker(first, 0)
	second := e.decodeReport(agent, &wire.Room{Free: free, Speed: 2})
	require.Equal(t, first.Worker.Capacity, second.Worker.Capacity)
	require.Equal(t, "w", second.Worker.ID)
	require.Equal(t, []string{"l"}, second.Worker.Labels)
	require.False(t, second.Worker.Closed)
}

// Guards against an entry that believes the description of an earlier life: one without a description
// replaces it. Launches name the revision by which they are placed.
func TestReportOfAnUndescribedLifeReplacesTheDescription(t *testing.T) {
	e := newTestEntry(t)
	agent := host.Host{Name: "a", Incarnation: "i", Role: host.RoleAgent}
	e.scheduler.UpdateWorker(e.decodeReport(agent, &wire.Room{Worker: &wire.RoomWorker{Id: "w", Fleet: "f",
		Labels: []string{"l"}, Capacity: &wire.Size{MilliCpu: 4000}, Revision: 1}}), 0)
	e.scheduler.UpdateWorker(e.decodeReport(agent, &wire.Room{Closed: true, Worker: &wire.RoomWorker{Id: "w", Revision: 2}}), 1)
	for range 2 {
		w := e.decodeReport(agent, &wire.Room{Closed: true}).Worker
		require.Equal(t, place.Worker{Agent: "i", Host: "a", ID: "w", Revision: 2, Speed: w.Speed, Closed: true}, w)
		e.scheduler.UpdateWorker(place.Report{Worker: w}, 2)
	}
	f := launchFrame(place.Launch{Revision: 2, Claim: true}, 0).GetLaunch()
	require.Equal(t, uint64(2), f.GetRevision())
	require.True(t, f.GetClaim())
}

func newTestEntry(t *testing.T) *Entry {
	self := host.Host{Name: "e", Incarnation: host.NewIncarnation(), Role: host.RoleEntry}
	e := New(Settings{Self: self}, clock.New(), noTerms{}, fakeMembers{joins: make(chan struct{}, 1000)}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	e.scheduler.UpdateWorker(place.Report{Worker: place.Worker{Agent: "a", ID: "w", Fleet: "f", Speed: 1,
		Capacity: jobs.Size{MilliCPU: 100}}}, e.clock.Now())
	return e
}

func newTestRequest(id string) Request {
	return Request{Spec: jobs.Spec{ID: jobs.ID(id), Steps: []jobs.Step{{Count: 1, Size: jobs.Size{MilliCPU: 50}, EstimateMS: 10_000}}},
		Queue: contr.Queue{Fleet: "f", Stretch: 2}}
}

// A process that was stopped or suspended has lost its runs. Whatever message it handles
// first, it must not decide anything from what it knew before.
func TestJobsAreAbandonedAfterPauseBeforeAnyMessageIsHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		// The only worker is busy, so that the job waits.
		e.scheduler.Workers["a"].ReportedFree = jobs.Size{}
		e.pause = clock.NewPauseDetector(0, 2) // a wait of over 2 ms counts as a pause
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- e.loop(ctx) }()
		first := make(chan Reply, 1)
		go func() {
			r, _ := e.Submit(ctx, newTestRequest("1"))
			first <- r
		}()
		synctest.Wait()
		time.Sleep(5 * time.Millisecond) // less than a tick
		require.Equal(t, jobs.State(""), e.JobState(ctx, "1"))
		require.Equal(t, place.ReasonWorkerLost, (<-first).Reason)
		cancel()
		<-done
	})
}

// panicMessage is a message whose handling fails.
type panicMessage struct{}

func (panicMessage) apply(*Entry) { panic("bug") }

// A bug in the handling of one message must not end the process. Its callers get an answer
// and it serves the next job.
func TestPanicInMessageHandlingEndsNoProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- e.loop(ctx) }()
		replies := make(chan Reply, 1)
		go func() {
			r, _ := e.Submit(ctx, newTestRequest("1"))
			replies <- r
		}()
		synctest.Wait()
		e.inbox <- panicMessage{}
		require.Contains(t, []place.Verdict{place.VerdictUnknown, place.VerdictRefused}, (<-replies).Verdict)
		go func() {
			r, _ := e.Submit(ctx, newTestRequest("2"))
			replies <- r
		}()
		require.NotZero(t, (<-replies).Verdict)
		cancel()
		<-done
	})
}

func TestSpeedOutOfRangeIsLimited(t *testing.T) {
	e := newTestEntry(t)
	agent := host.Host{Name: "a", Incarnation: "i", Role: host.RoleAgent}
	for _, v := range []float64{math.NaN(), math.Inf(-1), -1, 0} {
		require.Equal(t, minSpeed, e.decodeReport(agent, &wire.Room{Speed: v}).Worker.Speed)
	}
	require.Equal(t, float64(maxSpeed), e.decodeReport(agent, &wire.Room{Speed: math.Inf(1)}).Worker.Speed)
}

// No frame from an agent or another entry, whatever it holds, may end the process.
func TestFramesWithAnyValuesAreHandled(t *testing.T) {
	e := newTestEntry(t)
	agent, _ := link.NewUnconnected(host.Host{Name: "a", Incarnation: "a", Role: host.RoleAgent})
	e.agents["a"] = agent
	linked, sent := linkFakeEntry(e, "o")
	other := linked.link
	rapid.Check(t, func(rt *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(rt, "content")
		f := &wire.Frame{}
		if proto.Unmarshal(content, f) != nil || f.GetRoom() != nil {
			return
		}
		e.onFrame(agent, f)
		e.onFrame(other, f)
		e.scheduler.Tick(e.clock.Now())
		sent()
	})
	for _, f := range oddFrames() {
		e.onFrame(agent, f)
		e.onFrame(other, f)
		e.scheduler.Tick(e.clock.Now())
	}
	require.Nil(t, e.terms, "terms out of range are not put in force")
}

// oddFrames returns frames whose values are missing or at the limits of their types.
func oddFrames() []*wire.Frame {
	return []*wire.Frame{
		{},
		{Body: &wire.Frame_Inventory{Inventory: &wire.Inventory{Held: []*wire.HeldTask{{}, {Job: "j", Step: -1, Index: math.MaxInt32, Run: math.MinInt64}}}}},
		{Body: &wire.Frame_Ends{Ends: &wire.Ends{Ends: []*wire.TaskEnd{{}, {Job: "j", Step: -1, End: 99, RanMs: math.MinInt64}}}}},
		{Body: &wire.Frame_Terms{Terms: &wire.Terms{}}},
		{Body: &wire.Frame_Terms{Terms: &wire.Terms{Version: math.MaxInt64}}},
		{Body: &wire.Frame_Terms{Terms: &wire.Terms{Version: 3, Queues: []*wire.Queue{{Stretch: math.NaN()}}}}},
		{Body: &wire.Frame_Terms{Terms: &wire.Terms{Version: 3, Queues: []*wire.Queue{{SlackMs: math.MaxInt64}}}}},
		{Body: &wire.Frame_Pulse{}},
		{Body: &wire.Frame_Pulse{Pulse: &wire.Pulse{TermsVersion: math.MinInt64, Waiting: map[string]int32{"": math.MinInt32}}}},
		{Body: &wire.Frame_CancelJob{}},
		{Body: &wire.Frame_Roster{Roster: &wire.Roster{Entries: []*wire.Hello{{Address: "127.0.0.1:99999"}}}}},
		{Body: &wire.Frame_Launch{}},
		{Body: &wire.Frame_Halt{}},
		{Body: &wire.Frame_Hello{}},
	}
}

// linkFakeEntry returns a linked entry whose link has no connection; sent returns the frames that
// were sent on it.
func linkFakeEntry(e *Entry, name string) (other *linkedEntry, sent func() []*wire.Frame) {
	l, frames := link.NewUnconnected(host.Host{Name: name, Incarnation: name, Role: host.RoleEntry})
	other = &linkedEntry{link: l}
	e.linkedEntries[name] = other
	return other, frames
}

func stateWithVersion(version int64) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Pulse{Pulse: &wire.Pulse{TermsVersion: version}}}
}

// A configuration of thousands of queues, changed several times a second, must not be sent by
// each entry to all others. An entry that the store refuses still gets it.
func TestConfigurationIsSentOnlyToEntriesThatLackIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		other, sent := linkFakeEntry(e, "o")
		terms := &contr.Terms{Version: 7, Queues: []contr.Queue{{Name: "q", MaxAttempts: 1}}}
		e.onTerms(terms, "store")
		frames := sent()
		require.Len(t, frames, 1)
		require.Equal(t, int64(7), frames[0].GetPulse().GetTermsVersion(), "only the version")
		e.onFrame(other.link, stateWithVersion(6))
		require.Empty(t, sent(), "the other entry may be reading it from the store")
		time.Sleep(termsRequestMS.Duration())
		e.onFrame(other.link, stateWithVersion(6))
		e.onFrame(other.link, stateWithVersion(6))
		frames = sent()
		require.Len(t, frames, 1, "sent once")
		require.Equal(t, int64(7), frames[0].GetTerms().GetVersion())
	})
}

func TestNewerConfigurationIsRequestedIfTheStoreDoesNotProvideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t)
		other, sent := linkFakeEntry(e, "o")
		e.onFrame(other.link, stateWithVersion(7))
		e.requestTerms(e.clock.Now())
		require.Empty(t, sent())
		time.Sleep(termsRequestMS.Duration())
		e.requestTerms(e.clock.Now())
		e.requestTerms(e.clock.Now())
		require.Len(t, sent(), 1, "this entry's state with the older version is the request")
		e.onTerms(&contr.Terms{Version: 7}, "o")
		time.Sleep(2 * termsRequestMS.Duration())
		e.requestTerms(e.clock.Now())
		require.Empty(t, sent(), "the newest version is in force")
	})
}

// A request that arrives while an entry reads its first configuration is refused, and its caller
// does not come back.
func TestFirstRequestsWaitForTheConfiguration(t *testing.T) {
	e := newTestEntry(t)
	first, second := make(chan *contr.Terms, 1), make(chan *contr.Terms, 1)
	termsQuery{answer: first}.apply(e)
	require.Empty(t, first)
	e.onTerms(&contr.Terms{Version: 7}, "store")
	require.Equal(t, int64(7), (<-first).Version)
	e.terms = nil
	e.startedAt -= firstTermsWaitMS
	termsQuery{answer: second}.apply(e)
	require.Nil(t, <-second, "the store is away for longer")
}
