package runner

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// offeringAgent is an agent whose worker is full with one run of the entry "owner".
type offeringAgent struct {
	*Agent
	// sent holds the functions that return what was sent to each entry.
	sent map[string]func() []*wire.Frame
}

var fullRun = runs.Run{Ref: jobs.TaskRef{Job: "j"}, Number: 1, Entry: "owner", Size: jobs.Size{MilliCPU: 4000}}

func newOfferingAgent(entries ...string) offeringAgent {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	a := offeringAgent{sent: map[string]func() []*wire.Frame{},
		Agent: New(Settings{Self: host.Host{Name: "a"}, LeaseMS: 1000, ResendMS: 1300}, clock.New(), halfDoneWorker{}, fakeStore{}, fakeStore{}, log)}
	a.supervisor.Announce(runs.Announcement{Worker: runs.Worker{ID: "w", Epoch: 1, Capacity: fullRun.Size}}, a.clock.Now())
	a.supervisor.HandlePoll(runs.PollResult{SentEpoch: 1, Epoch: 1}, a.clock.Now())
	for _, e := range append(entries, "owner") {
		l, sent := link.NewUnconnected(host.Host{Name: e, Incarnation: e})
		a.links[e] = &entryLink{link: l}
		a.sent[e] = sent
		a.supervisor.RecordContact(e, a.clock.Now())
	}
	a.supervisor.Launch([]runs.Run{fullRun}, a.clock.Now())
	a.supervisor.TakeActions() // the start
	a.supervisor.HandleStartOutcome(fullRun.Ref, "owner", 1, runs.StartOK, a.clock.Now())
	a.reportCapacity()
	a.rooms()
	return a
}

// tellWaiting passes an entry's notice that a job waits to the agent.
func (a offeringAgent) tellWaiting(entry string, slackMS int64) {
	m := &wire.Waiting{Size: &wire.Size{MilliCpu: 4000}, SlackMs: slackMS}
	a.onFrame(entry, a.links[entry], &wire.Frame{Body: &wire.Frame_Waiting{Waiting: m}})
}

// endRun passes the end of the only run to the agent, which then acts.
func (a offeringAgent) endRun(t *testing.T) {
	a.supervisor.HandlePoll(runs.PollResult{SentEpoch: 1, Epoch: 1, SentAt: a.clock.Now(),
		Ended: []runs.EndedRun{{Ref: fullRun.Ref, Number: 1, Outcome: jobs.OutcomeDone}}}, a.clock.Now())
	a.performActions(t.Context())
}

// rooms returns the entries to which capacity was reported since the last call.
func (a offeringAgent) rooms() []string {
	var out []string
	for e, sent := range a.sent {
		for _, f := range sent() {
			if f.GetRoom() != nil {
				out = append(out, e)
			}
		}
	}
	return out
}

// pass lets time pass and has the agent act as at a tick.
func (a offeringAgent) pass(t *testing.T, d clock.Millis) {
	time.Sleep(d.Duration())
	a.performActions(t.Context())
}

// offerMS is how long an entry has to use an offer.
const offerMS clock.Millis = 8

// Without waiting jobs an agent reports as before: to the entry whose run has ended.
func TestEndOfARunIsReportedToItsEntryWhileNothingWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newOfferingAgent("e1", "e2")
		a.endRun(t)
		require.Equal(t, []string{"owner"}, a.rooms())
	})
}

// Two entries that wait must not get the same capacity at once: both would launch, and one of the
// tasks would be returned. An entry that is silent must not keep it.
func TestCapacityIsOfferedToOneWaitingEntryAfterTheOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newOfferingAgent("e1", "e2")
		a.tellWaiting("e1", 300)
		a.tellWaiting("e2", 200)
		a.endRun(t)
		require.Equal(t, []string{"e2"}, a.rooms())
		require.LessOrEqual(t, a.tickDue(a.clock.Now()), a.clock.Now()+offerMS)
		a.pass(t, offerMS-1)
		require.Empty(t, a.rooms())
		a.pass(t, 1)
		require.Equal(t, []string{"e1"}, a.rooms())
	})
}

// An entry that leaves while it has the offer never launches.
func TestOfferToAnEntryThatLeftPassesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newOfferingAgent("e1", "e2")
		a.tellWaiting("e1", 300)
		a.tellWaiting("e2", 200)
		a.onLinkDown(link.Event{Type: link.Down, Link: a.links["e2"].link})
		a.endRun(t)
		require.Equal(t, []string{"e1"}, a.rooms())
	})
}

// An entry that is killed withdraws nothing. Its demand must not keep the capacity from the entry
// whose run ends later.
func TestWaitingStateThatIsNotRenewedExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newOfferingAgent("e1")
		a.tellWaiting("e1", 300)
		a.pass(t, 249)
		require.Equal(t, 1, a.book.Waiting())
		a.pass(t, 1)
		require.Zero(t, a.book.Waiting())
		a.capacityReportedAt = a.clock.Now() // the next report to all is not due
		a.endRun(t)
		require.Equal(t, []string{"owner"}, a.rooms())
	})
}

// While a worker takes no runs, an offer that was made before must not cause ticks without end.
func TestOfferEndsWhenTheWorkerTakesNoRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newOfferingAgent("e1", "e2")
		a.tellWaiting("e1", 300)
		a.endRun(t)
		require.Equal(t, []string{"e1"}, a.rooms())
		a.supervisor.StopAccepting(a.clock.Now())
		a.tellWaiting("e2", 200)
		a.pass(t, offerMS)
		a.rooms() // that the worker takes no runs
		a.pass(t, offerMS)
		require.Empty(t, a.rooms())
		require.Greater(t, a.tickDue(a.clock.Now()), a.clock.Now()+offerMS)
	})
}
