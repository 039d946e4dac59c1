package runs

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// addressModel is the address at which the agent reaches its worker. One worker at a time answers
// there, and refuses calls that name another id.
type addressModel struct {
	present   Worker
	startedAt clock.Millis
	now       clock.Millis
}

// newAddressModel returns a supervisor and the address of its worker, which has answered a poll.
func newAddressModel() (*Supervisor, *addressModel) {
	s := newSupervisor()
	m := &addressModel{present: *s.Worker, startedAt: -clock.Second}
	m.poll(s)
	return s, m
}

// poll lets the supervisor send its next poll, and passes the result to it.
func (m *addressModel) poll(s *Supervisor) {
	m.now++
	target, sentAt := s.NextPollTarget(m.now), m.now
	m.now++
	if target.ID != m.present.ID {
		confirmed := s.Confirmed()
		s.HandleMisdirected(target.ID, sentAt, m.now)
		if confirmed && target.ID == s.Worker.ID {
			s.HandlePollFailure(lease, m.now)
		}
		return
	}
	s.HandlePoll(PollResult{ClockMS: m.now - m.startedAt + 1, SentAt: sentAt, SentID: target.ID, SentEpoch: target.Epoch,
		Epoch: m.present.Epoch}, m.now)
}

// announcement returns an announcement of the present worker, sent now.
func (m *addressModel) announcement(sequence int64) Announcement {
	return Announcement{Worker: m.present, Sequence: sequence, ClockMS: m.now - m.startedAt + 1}
}

// lifeAndClock names the announcement of another writer that only its description tells from one of
// the worker.
const lifeAndClock = "the life, its clock"

// foreignAnnouncements returns announcements that another writer can make of a worker, each under
// the name of what differs.
func foreignAnnouncements(of Announcement) map[string]Announcement {
	change := func(f func(m *Announcement)) Announcement {
		m := of
		m.Sequence += 1000
		m.Worker.Fleet, m.Worker.Capacity, m.Worker.Labels = "no configuration names it", jobs.Size{MilliCPU: 1}, []string{"odd"}
		f(&m)
		return m
	}
	return map[string]Announcement{
		"another id, started later":       change(func(m *Announcement) { m.Worker.ID, m.Worker.Epoch = "other", of.Worker.Epoch+5 }),
		"another id, started earlier":     change(func(m *Announcement) { m.Worker.ID, m.Worker.Epoch = "other", of.Worker.Epoch-1 }),
		"another id, started at the time": change(func(m *Announcement) { m.Worker.ID = "other" }),
		"the id, started later":           change(func(m *Announcement) { m.Worker.Epoch += 5 }),
		"the id, started earlier":         change(func(m *Announcement) { m.Worker.Epoch-- }),
		"the id, without a start":         change(func(m *Announcement) { m.Worker.Epoch = 0 }),
		"the id, started in far future":   change(func(m *Announcement) { m.Worker.Epoch = maxToken }),
		"the life, a clock ahead":         change(func(m *Announcement) { m.ClockMS += 3600 * clock.Second }),
		"the life, without a clock":       change(func(m *Announcement) { m.ClockMS = 0 }),
		lifeAndClock:                      change(func(*Announcement) {}),
		"another id that drains":          change(func(m *Announcement) { m.Worker.ID, m.Worker.Draining = "other", true }),
	}
}

// Guards against an agent that takes the sender of a heartbeat for its worker (review/8): it then
// ignored the answers and heartbeats of the real one for good.
func TestAnnouncementOfAnotherWriterChangesNothing(t *testing.T) {
	for name := range foreignAnnouncements(Announcement{}) {
		t.Run(name, func(t *testing.T) {
			s, m := newAddressModel()
			s.Launch([]Run{newRun(entryA, "a", 0, 0)}, m.now)
			require.Len(t, takeStarts(s), 1)
			before := *s.Worker
			require.NotEqual(t, Applied, s.Announce(foreignAnnouncements(m.announcement(1))[name], m.now))
			require.Equal(t, before, *s.Worker)
			for range 3 {
				m.poll(s)
			}
			require.Equal(t, before, *s.Worker)
			require.False(t, s.HasPendingAnnouncements())
			require.Len(t, s.TakeRefuted(), 1)
			answerStart(s, ref("a", 0), entryA, StartOK, m.now)
			s.HandlePoll(PollResult{ClockMS: m.announcement(1).ClockMS, SentAt: m.now, Epoch: before.Epoch, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeDone}}}, m.now)
			require.Equal(t, jobs.OutcomeDone, takeEnds(s)[0].Outcome)
			require.Equal(t, Applied, s.Announce(m.announcement(1), m.now), "the worker's own announcement")
			s.Launch([]Run{newRun(entryA, "b", 0, 0)}, m.now)
			require.Len(t, takeStarts(s), 1)
		})
	}
}

// Guards against an agent that never finds its worker: it starts, and another writer's heartbeat is
// the first that it receives, with or without the record of its worker.
func TestFirstAnnouncementOfAnotherWriterHidesNoWorker(t *testing.T) {
	learn := map[string]func(s *Supervisor, m *addressModel){
		"announcement": func(s *Supervisor, m *addressModel) { s.Announce(m.announcement(1), m.now) },
		"record":       func(s *Supervisor, m *addressModel) { s.Restore(m.present) },
	}
	for how, learnOf := range learn {
		for name := range foreignAnnouncements(Announcement{}) {
			if name == lifeAndClock {
				continue // see TestDescriptionOfALifeHoldsAgainstAnotherOne
			}
			t.Run(how+", "+name, func(t *testing.T) {
				s := New(contactLeaseMS)
				m := &addressModel{present: testWorker, startedAt: -10 * clock.Second, now: 10}
				s.Announce(foreignAnnouncements(m.announcement(1))[name], m.now)
				m.poll(s)
				m.now++
				learnOf(s, m)
				for range 4 {
					m.poll(s)
				}
				m.now += claimWindowMS
				s.Tick(m.now)
				require.Equal(t, testWorker.Identity(), s.Worker.Identity())
				s.Announce(m.announcement(2), m.now)
				require.Equal(t, testWorker.Capacity, s.Worker.Capacity)
				require.False(t, s.RefusesRuns())
			})
		}
	}
}

// Guards against a worker whose heartbeats are ignored: another writer used its identity, with a
// sequence number that the worker does not reach. A late heartbeat stays ignored.
func TestSequenceOfAnotherWriterHidesNoAnnouncement(t *testing.T) {
	s, m := newAddressModel()
	late := m.announcement(2)
	m.now += clock.Second
	foreign := m.announcement(1 << 50)
	foreign.Worker.Draining = true
	require.Equal(t, Applied, s.Announce(foreign, m.now), "nothing tells it from the worker's own")
	require.Equal(t, Ignored, s.Announce(late, m.now))
	m.now += clock.Second
	require.Equal(t, Applied, s.Announce(m.announcement(3), m.now))
	require.False(t, s.Worker.Draining)
	require.Equal(t, Ignored, s.Announce(late, m.now))
}

// Guards against a worker that is used under the description of another writer, which copies its
// heartbeats again and again. If that description came first, the worker's own holds once the other
// has not been repeated for contradictionMS.
func TestDescriptionOfALifeHoldsAgainstAnotherOne(t *testing.T) {
	s := newSupervisor()
	m := &addressModel{present: *s.Worker, startedAt: -clock.Second}
	for sequence := int64(1); sequence < 200; sequence++ {
		m.poll(s)
		m.now += 50
		s.Announce(foreignAnnouncements(m.announcement(sequence))[lifeAndClock], m.now)
		if sequence%30 == 0 {
			require.Equal(t, Applied, s.Announce(m.announcement(sequence), m.now+1))
		}
		require.Equal(t, "f", s.Worker.Fleet)
	}
	s = New(contactLeaseMS)
	s.Announce(foreignAnnouncements(m.announcement(1))[lifeAndClock], m.now)
	m.poll(s)
	m.now += contradictionMS
	require.Equal(t, Applied, s.Announce(m.announcement(2), m.now))
	require.Equal(t, "f", s.Worker.Fleet)
}

// A worker that deregisters accepts no runs. If it did not drain and still answers after
// departureMS, another writer has deregistered it.
func TestDepartureIsEndedByAnswersUnlessTheWorkerDrains(t *testing.T) {
	for _, draining := range []bool{false, true} {
		s, m := newAddressModel()
		leaving := m.announcement(1)
		leaving.Worker.Draining = draining
		s.Announce(leaving, m.now)
		require.False(t, s.Deregister(Identity{ID: "other"}, m.now))
		require.False(t, s.Deregister(Identity{ID: "w", Epoch: 9}, m.now))
		require.False(t, s.Departed)
		require.True(t, s.Deregister(Identity{ID: "w"}, m.now))
		m.poll(s)
		require.True(t, s.Departed)
		require.True(t, s.RefusesRuns())
		m.now += departureMS
		m.poll(s)
		require.Equal(t, draining, s.Departed)
		require.Equal(t, draining, s.RefusesRuns())
		require.Equal(t, draining, s.Deregister(Identity{ID: "w"}, m.now), "a repeated one is ignored unless the worker drains")
	}
}

// Guards against a worker that refuses all calls until it starts anew: the first heartbeat that an
// agent received named the worker's id and a far later epoch, which became the fencing token of a
// poll. A later process of the agent could not reach it.
func TestEpochOfAnotherWriterRaisesTheTokenWithinReach(t *testing.T) {
	s := New(contactLeaseMS)
	foreign := testWorker
	foreign.Epoch = 1<<53 - 1
	s.Announce(Announcement{Worker: foreign}, 0)
	fence := s.Worker.Token
	next := New(contactLeaseMS)
	next.Restore(testWorker)
	polls := 0
	for ; next.Worker.Token < fence && polls < 100; polls++ {
		next.HandleFencedPoll(next.Worker.Token)
	}
	require.Less(t, polls, 40)
}

// A worker may be replaced by one with another id, which refuses the polls that name the earlier
// one. The earlier one's announcement may arrive late.
func TestWorkerIsReplacedByOneWithAnotherID(t *testing.T) {
	s, m := newAddressModel()
	late := m.announcement(7)
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, m.now)
	s.TakeActions()
	answerStart(s, ref("a", 0), entryA, StartOK, m.now)
	m.present, m.startedAt = Worker{ID: "next", Epoch: 2, Fleet: "f", Capacity: cores(8)}, m.now
	s.Announce(m.announcement(1), m.now)
	s.Announce(late, m.now)
	for range 4 {
		m.poll(s)
	}
	require.Equal(t, m.present.Identity(), s.Worker.Identity())
	require.Equal(t, cores(8), s.Worker.Capacity)
	require.Equal(t, jobs.OutcomeLost, takeEnds(s)[0].Outcome, "the run of the earlier worker")
	s.Launch([]Run{newRun(entryA, "b", 0, 0)}, m.now)
	require.Len(t, takeStarts(s), 1)
}

// A worker that doesn't know the header that names it answers every poll. One that has replaced
// another is found by its epoch.
func TestWorkerThatAnswersUnderAnyIDIsReplaced(t *testing.T) {
	s := newSupervisor()
	next := Worker{ID: "next", Epoch: 2, Fleet: "f", Capacity: cores(8)}
	s.Announce(Announcement{Worker: next}, 1)
	for now := clock.Millis(2); now < 6; now++ {
		target := s.NextPollTarget(now)
		s.HandlePoll(PollResult{ClockMS: now, SentAt: now, SentID: target.ID, SentEpoch: target.Epoch, Epoch: 2}, now)
	}
	require.Equal(t, next.Identity(), s.Worker.Identity())
	require.Equal(t, cores(8), s.Worker.Capacity)
}

// Guards against memory that grows with the heartbeats of other writers while the worker is silent.
func TestPendingAnnouncementsAreBounded(t *testing.T) {
	s := newSupervisor()
	for i := range 1000 {
		s.Announce(Announcement{Worker: Worker{ID: fmt.Sprint(i), Epoch: int64(i)}}, 1)
		s.NextPollTarget(1)
		s.HandlePollFailure(lease, 1)
	}
	require.Len(t, s.pending, maxPending)
}

// A seeded schedule of lives of the worker, its announcements, some of them late, those of another
// writer, and polls. The confirmed worker is always one that was at the address, and the one that is
// there once it has announced itself and answered.
func TestConfirmedWorkerWasAlwaysAtTheAddress(t *testing.T) {
	for seed := range uint64(400) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := New(contactLeaseMS)
		m := &addressModel{present: testWorker, now: 1}
		lives := map[Identity]bool{testWorker.Identity(): true}
		epochs := map[int64]bool{0: true, testWorker.Epoch: true}
		sequence, sent := int64(0), []Announcement{}
		for range 60 {
			m.now += clock.Millis(r.IntN(50))
			switch r.IntN(8) {
			case 0:
				m.present.ID, m.startedAt = []string{"w", "v"}[r.IntN(2)], m.now
				for m.present.Epoch = 0; epochs[m.present.Epoch]; {
					m.present.Epoch = int64(r.IntN(10_000)) // the clock of its host may step back
				}
				lives[m.present.Identity()], epochs[m.present.Epoch] = true, true
			case 1, 2:
				sequence++
				sent = append(sent, m.announcement(sequence))
				s.Announce(sent[len(sent)-1], m.now)
			case 3:
				if len(sent) > 0 {
					s.Announce(sent[r.IntN(len(sent))], m.now)
				}
			case 4:
				i := r.IntN(9)
				for _, foreign := range foreignAnnouncements(m.announcement(sequence)) {
					if i--; i == 0 && !lives[foreign.Worker.Identity()] {
						s.Announce(foreign, m.now)
					}
				}
			default:
				if s.Worker != nil {
					m.poll(s)
				}
			}
			if s.Confirmed() {
				require.True(t, lives[s.Worker.Identity()], "seed %d: %v was never at the address", seed, s.Worker.Identity())
				require.NotEqual(t, "no configuration names it", s.Worker.Fleet, "seed %d", seed)
			}
		}
		for range 3 {
			sequence++
			s.Announce(m.announcement(sequence), m.now)
			for range 2 * maxPending {
				m.poll(s)
			}
		}
		require.Equal(t, m.present.Identity(), s.Worker.Identity(), "seed %d", seed)
		require.Equal(t, m.present.Capacity, s.Worker.Capacity, "seed %d", seed)
	}
}
