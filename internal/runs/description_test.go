package runs

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// nextLife returns a life that follows the present one of newSupervisor under an id, of another kind.
func nextLife(id string) Worker {
	return Worker{ID: id, Epoch: 2, Fleet: "g", Labels: []string{"b"}, Capacity: cores(2)}
}

// startLife makes w the worker at the address.
func (m *addressModel) startLife(w Worker) {
	m.now++
	m.present, m.startedAt = w, m.now
}

// placed returns a run that an entry has placed by a revision of the worker's description.
func placed(job string, index int, revision uint64) Run {
	run := newRun(entryA, job, index, int64(index))
	run.Revision = revision
	return run
}

// Guards against tasks that start by the labels, fleet or capacity of an earlier life (review/13):
// the description of a worker that had started anew stayed in force until its first heartbeat.
func TestNewLifeGetsNoRunsBeforeItsFirstAnnouncement(t *testing.T) {
	for _, id := range []string{"w", "next"} {
		t.Run(id, func(t *testing.T) {
			s, m := newAddressModel()
			before := *s.Worker
			late := m.announcement(7)
			m.startLife(nextLife(id))
			if id == "w" {
				m.poll(s)
			} else {
				s.Announce(Announcement{Worker: Worker{ID: id, Epoch: 2}, ClockMS: 3600 * clock.Second}, m.now) // names it, and is refuted
				for s.Worker.ID != id {
					m.poll(s)
				}
			}
			require.True(t, s.IsUndescribed())
			require.True(t, s.RefusesRuns())
			require.True(t, s.NotifyNow, "the entries have to learn of it")
			require.Greater(t, s.Worker.Revision, before.Revision)
			require.Equal(t, Worker{ID: id, Epoch: 2, Token: s.Worker.Token, Revision: s.Worker.Revision}, *s.Worker)
			s.Launch([]Run{placed("a", 0, before.Revision), placed("a", 1, s.Worker.Revision), placed("a", 2, 0)}, m.now)
			require.Empty(t, takeStarts(s))
			require.Equal(t, Ignored, s.Announce(late, m.now), "the earlier life's heartbeat")
			for range 4 {
				m.poll(s)
			}
			require.True(t, s.IsUndescribed())
			require.Equal(t, Applied, s.Announce(m.announcement(1), m.now))
			require.False(t, s.RefusesRuns())
			require.Equal(t, "g", s.Worker.Fleet)
			s.Launch([]Run{placed("b", 0, s.Worker.Revision)}, m.now)
			require.Len(t, takeStarts(s), 1, "it is used from its first heartbeat on")
		})
	}
}

// A heartbeat of a new life changes nothing before an answer proves it. Otherwise another writer could
// keep the worker from being used. The answer to the poll that it causes applies it.
func TestAnnouncedLifeIsUsedByTheAnswerThatProvesIt(t *testing.T) {
	s, m := newAddressModel()
	m.startLife(nextLife("w"))
	require.Equal(t, Pending, s.Announce(m.announcement(1), m.now))
	require.False(t, s.RefusesRuns())
	m.poll(s)
	require.False(t, s.RefusesRuns())
	require.Equal(t, "g", s.Worker.Fleet)
}

// Guards against a launch that was on its way when the worker's description changed: its entry had
// placed the tasks by the earlier one. It is no different if both lives describe themselves alike.
func TestRunPlacedByAnotherDescriptionIsReturned(t *testing.T) {
	alike := newSupervisor().Worker
	for name, next := range map[string]Worker{"another kind": nextLife("w"),
		"same kind": {ID: "w", Epoch: 2, Fleet: alike.Fleet, Capacity: alike.Capacity}} {
		t.Run(name, func(t *testing.T) {
			s, m := newAddressModel()
			earlier := s.Worker.Revision
			m.startLife(next)
			m.poll(s)
			s.Announce(m.announcement(1), m.now)
			s.Launch([]Run{placed("a", 0, earlier), placed("a", 1, s.Worker.Revision)}, m.now)
			require.Equal(t, []jobs.TaskRef{ref("a", 1)}, takeStarts(s))
			s.Launch([]Run{placed("b", 0, earlier)}, m.now)
			require.Equal(t, []RunEnd{{Ref: ref("b", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}, takeEnds(s))
		})
	}
}

// Guards against a queued run that starts on the worker's next life. A run that waits for an earlier
// one of its task is returned once that has ended.
func TestRunsQueuedAtTheChangeAreReturned(t *testing.T) {
	s, m := newAddressModel()
	s.Launch([]Run{newRun(entryA, "earlier", 0, 0)}, m.now)
	answerStart(s, ref("earlier", 0), entryA, StartOK, m.now)
	held := newRun(entryA, "held", 0, 2)
	held.Size, held.HoldMS = cores(4), MaxHoldMS
	s.Launch([]Run{newRun(entryB, "earlier", 0, 1), held}, m.now)
	s.TakeActions()
	m.startLife(nextLife("w"))
	m.poll(s)
	require.Equal(t, []RunEnd{{Ref: ref("held", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}, takeEnds(s))
	s.Announce(m.announcement(1), m.now)
	m.poll(s) // the new life does not have the earlier run
	m.now += maxQueuedMS
	s.Tick(m.now)
	require.Empty(t, takeStarts(s))
	require.Zero(t, s.Held())
	s.Launch([]Run{newRun(entryB, "earlier", 0, 1)}, m.now)
	require.Len(t, takeStarts(s), 1)
}

// Guards against a start that is repeated to a life that has not described itself, or as another kind.
// The run is lost once a poll shows that the life does not have it.
func TestUnansweredStartIsNotRepeatedToAnotherLife(t *testing.T) {
	for _, described := range []bool{false, true} {
		s, m := newAddressModel()
		s.Launch([]Run{newRun(entryA, "a", 0, 0)}, m.now)
		s.TakeActions()
		m.startLife(nextLife("w"))
		m.poll(s)
		if described {
			s.Announce(m.announcement(1), m.now)
		}
		answerStart(s, ref("a", 0), entryA, StartUnanswered, m.now)
		require.Empty(t, takeStarts(s))
		m.poll(s)
		require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 1, Outcome: jobs.OutcomeLost}}, takeEnds(s))
	}
}

// Runs that the new life has accepted before it was known go on: they are at work, and a stop would
// only delay their callers. They use capacity of the new description.
func TestRunUnderWayCountsAgainstASmallerCapacity(t *testing.T) {
	s, m := newAddressModel()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, m.now)
	answerStart(s, ref("a", 0), entryA, StartOK, m.now)
	m.startLife(nextLife("w"))
	listed := PollResult{ClockMS: 1, SentAt: m.now, SentID: "w", SentEpoch: 1, Epoch: 2, Running: []RunID{{ref("a", 0), 1}}}
	s.HandlePoll(listed, m.now)
	require.True(t, s.RenewLeases(m.now), "the run goes on")
	s.Announce(m.announcement(1), m.now)
	s.TakeActions()
	require.Equal(t, jobs.Size{}, s.Free())
	s.Launch([]Run{newRun(entryA, "b", 0, 0)}, m.now)
	require.Empty(t, takeStarts(s), "the worker is full")
}

// Guards against a start that the worker's next life executes before an answer has shown it: a failed
// poll or a start that another worker refused may be the end of a life.
func TestNothingIsStartedWhileAnotherLifeMayBeAtTheAddress(t *testing.T) {
	for name, fail := range map[string]func(s *Supervisor){
		"failed poll": func(s *Supervisor) { s.HandlePollFailure(lease, 10) },
		"refused start": func(s *Supervisor) {
			answerStart(s, ref("first", 0), entryA, StartMisdirected, 10)
			require.Equal(t, []RunEnd{{Ref: ref("first", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}, takeEnds(s))
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSupervisor()
			s.Launch([]Run{newRun(entryA, "first", 0, 0)}, 9)
			s.TakeActions()
			fail(s)
			s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 11)
			require.Empty(t, takeStarts(s))
			require.True(t, s.IsUnproved())
			s.HandlePoll(PollResult{ClockMS: 12, SentAt: 11, SentID: "w", SentEpoch: 1, Epoch: 1}, 12)
			require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStarts(s), "the same life answers")
		})
	}
}

// Guards against a start that is repeated to the next life before an answer has shown it, and against one
// that is not repeated to the same life.
func TestUnansweredStartIsRepeatedOnceTheLifeIsProved(t *testing.T) {
	for _, epoch := range []int64{1, 2} {
		s := newSupervisor()
		s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
		s.TakeActions()
		s.HandlePollFailure(lease, 10)
		answerStart(s, ref("a", 0), entryA, StartUnanswered, 11)
		require.Empty(t, s.TakeActions())
		s.HandlePoll(PollResult{ClockMS: 12, SentAt: 11, SentID: "w", SentEpoch: 1, Epoch: epoch}, 12)
		if epoch == 1 {
			require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStarts(s))
			continue
		}
		require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s))
		s.HandlePoll(PollResult{ClockMS: 13, SentAt: 12, SentID: "w", SentEpoch: 2, Epoch: 2}, 13)
		require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 1, Outcome: jobs.OutcomeLost}}, takeEnds(s))
	}
}

// Guards against jobs that are sent to a worker at whose address another life may be, and returned,
// again and again until it counts as unreachable: entries are told to use others.
func TestSilentWorkerIsReportedAsClosed(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0), newRun(entryA, "b", 0, 0), newRun(entryA, "waits", 0, 1)}, 0)
	s.TakeActions()
	s.HandlePollFailure(lease, 1)
	require.False(t, s.RefusesRuns(), "one poll may fail by chance")
	s.NotifyNow = false
	s.HandlePollFailure(lease, 2)
	require.True(t, s.RefusesRuns())
	require.True(t, s.NotifyNow)
	require.Equal(t, []RunEnd{{Ref: ref("waits", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}, takeEnds(s))
	s.NotifyNow = false
	s.HandlePoll(PollResult{ClockMS: 4, SentAt: 3, SentID: "w", SentEpoch: 1, Epoch: 1}, 4)
	require.False(t, s.RefusesRuns())
	require.True(t, s.NotifyNow)
}

// Guards against a claim that starts a task: the entry claims a run of an earlier agent process by
// what it knew of the worker then.
func TestClaimStartsNothing(t *testing.T) {
	s := newSupervisor()
	claim := newRun(entryA, "a", 0, 0)
	claim.Claim = true
	s.Launch([]Run{claim}, 1)
	require.Empty(t, takeStarts(s))
	s.Launch([]Run{claim}, 2)
	require.Equal(t, []RunEnd{{Ref: ref("a", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}, takeEnds(s))
}

// A record describes only the life that it names. It also does so if it is read after a poll has
// confirmed this life and refuted another writer's description of it.
func TestRecordDescribesItsLifeOnly(t *testing.T) {
	for epoch, isDescribed := range map[int64]bool{1: true, 2: false} {
		m := &addressModel{present: testWorker, startedAt: -10 * clock.Second, now: 10}
		m.present.Epoch = epoch
		s := New(contactLeaseMS)
		s.Restore(testWorker)
		m.poll(s)
		require.Equal(t, isDescribed, s.Confirmed() && s.Worker.Described, "the record comes first")

		s = New(contactLeaseMS)
		s.Announce(foreignAnnouncements(m.announcement(1))["the life, a clock ahead"], m.now)
		m.poll(s)
		require.True(t, s.IsUndescribed())
		s.Restore(testWorker)
		require.Equal(t, isDescribed, s.Worker.Described, "the record comes late")
		s.Tick(m.now + claimWindowMS)
		require.Equal(t, !isDescribed, s.RefusesRuns())
	}
}

// A seeded schedule of lives of distinct fleets, late announcements, polls that fail, and launches by
// any description that was ever reported. Each start names a run that was placed by the description of
// the life that the agent knows, which is that life's own.
func TestNoStartByTheDescriptionOfAnotherLife(t *testing.T) {
	starts := 0
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 2))
		s := New(contactLeaseMS)
		m := &addressModel{present: testWorker, now: 1}
		m.present.Fleet = "fleet-1"
		fleets := map[Identity]string{m.present.Identity(): m.present.Fleet}
		reported := map[uint64]string{}
		sent := []Announcement{}
		for step := range 200 {
			m.now += clock.Millis(r.IntN(30))
			switch r.IntN(10) {
			case 0:
				epoch := m.present.Epoch + 1
				m.startLife(Worker{ID: []string{"w", "v"}[r.IntN(2)], Epoch: epoch, Fleet: fmt.Sprint("fleet-", epoch), Capacity: testWorker.Capacity})
				fleets[m.present.Identity()] = m.present.Fleet
			case 1, 2:
				sent = append(sent, m.announcement(int64(step)))
				s.Announce(sent[len(sent)-1], m.now)
			case 3:
				if len(sent) > 0 {
					s.Announce(sent[r.IntN(len(sent))], m.now)
				}
			case 4:
				if s.Confirmed() {
					s.HandlePollFailure(lease, m.now)
				}
			case 5, 6:
				if s.Worker != nil {
					m.poll(s)
				}
			default:
				revision := uint64(1)
				if s.Worker != nil {
					revision = 1 + uint64(r.IntN(int(s.Worker.Revision)))
				}
				run := placed(fmt.Sprint(step), 0, revision)
				run.Queue, run.HoldMS = reported[revision], MaxHoldMS
				if run.Queue != "" {
					s.Launch([]Run{run}, m.now)
				}
			}
			s.Tick(m.now)
			takeRuns := func() []Run { return takeActions(s, func(a Start) Run { return a.Run }) }
			for started := takeRuns(); len(started) > 0; started = takeRuns() {
				for _, start := range started {
					starts++
					require.Equal(t, fleets[s.Worker.Identity()], start.Queue, "seed %d", seed)
					answerStart(s, start.Ref, start.Entry, StartOutcome(r.IntN(int(StartMisdirected)+1)), m.now)
				}
			}
			if s.Confirmed() && s.Worker.Described {
				reported[s.Worker.Revision] = s.Worker.Fleet
			}
		}
	}
	require.Greater(t, starts, 300)
}
