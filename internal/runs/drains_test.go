package runs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Guards against starts in a drained zone of runs that an entry requests which does not know of
// the drain yet.
func TestDrainedZoneRefusesNewRuns(t *testing.T) {
	s := newSupervisor()
	s.SetZoneDrained(true, 0)
	require.True(t, s.NotifyNow, "the entries learn that the worker accepts nothing")
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 1)
	require.Equal(t, []Action{Report{entryA, RunEnd{Ref: ref("a", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}}, s.TakeActions())
	s.NotifyNow = false
	s.SetZoneDrained(false, 2)
	require.True(t, s.NotifyNow)
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 3)
	require.Len(t, takeStarts(s), 1, "the worker is used again")
}

func TestDrainReturnsQueuedRunsAndLeavesOthersAlone(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0), newRun(entryA, "a", 1, 0), newRun(entryB, "b", 0, 1)}, 0)
	require.Len(t, takeStarts(s), 2)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	s.SetZoneDrained(true, 2)
	require.Equal(t, []Action{Report{entryB, RunEnd{Ref: ref("b", 0), Number: 1, Outcome: jobs.OutcomeNotRun}}}, s.TakeActions())
	answerStart(s, ref("a", 1), entryA, StartOK, 3)
	require.True(t, s.RenewLeases(4), "running tasks finish")
	s.HandlePoll(PollResult{ClockMS: 50, SentAt: 10, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeDone}, {ref("a", 1), 1, jobs.OutcomeDone}}}, 50)
	for _, end := range takeEnds(s) {
		require.Equal(t, jobs.OutcomeDone, end.Outcome)
	}
	require.Zero(t, s.Held())
}

// Guards against two runs at once: the run that waits for an earlier one of its task would be
// started elsewhere if it were returned before that has ended; and against its start in the zone.
func TestRunBehindAnEarlierOneIsReturnedOnceThatHasEnded(t *testing.T) {
	for name, drainFirst := range map[string]bool{"drain before the request": true, "drain after the request": false} {
		s := newSupervisor()
		s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
		answerStart(s, ref("a", 0), entryA, StartOK, 1)
		if drainFirst {
			s.SetZoneDrained(true, 2)
		}
		s.Launch([]Run{newRun(entryB, "a", 0, 0)}, 3)
		s.SetZoneDrained(true, 4)
		s.TakeActions()
		s.Tick(20)
		require.Empty(t, takeEnds(s), name)
		s.HandlePoll(PollResult{ClockMS: 50, SentAt: 30, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeStopped}}}, 50)
		s.Tick(51)
		var returned []Report
		for _, a := range s.TakeActions() {
			_, started := a.(Start)
			require.False(t, started, name)
			if r, ok := a.(Report); ok && r.Entry == entryB {
				returned = append(returned, r)
			}
		}
		require.Len(t, returned, 1, name)
		require.Equal(t, jobs.OutcomeNotRun, returned[0].End.Outcome, name)
		require.Zero(t, s.Held(), name)
	}
}

// Guards against a start that is repeated in a drained zone, and against a run that is reported as
// not run while the worker may still execute its unanswered start.
func TestUnansweredStartIsNotRepeatedInADrainedZone(t *testing.T) {
	for name, resolve := range map[string]func(*Supervisor) []RunEnd{
		"a poll after the stop": func(s *Supervisor) []RunEnd {
			s.HandleStopAck(ref("a", 0), entryA, 1, 30)
			s.HandlePoll(PollResult{ClockMS: 40, SentAt: 31}, 40)
			return takeEnds(s)
		},
		"a poll after the lease": func(s *Supervisor) []RunEnd {
			s.HandlePoll(PollResult{ClockMS: 20 + StartLeaseMS, SentAt: 20 + StartLeaseMS}, 20+StartLeaseMS)
			require.Empty(t, takeEnds(s))
			s.HandlePoll(PollResult{ClockMS: 21 + StartLeaseMS, SentAt: 21 + StartLeaseMS}, 21+StartLeaseMS)
			return takeEnds(s)
		},
	} {
		s := newSupervisor()
		s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
		require.Len(t, takeStarts(s), 1, name)
		s.SetZoneDrained(true, 10)
		answerStart(s, ref("a", 0), entryA, StartUnanswered, 20)
		actions := s.TakeActions()
		require.Len(t, actions, 1, name)
		require.IsType(t, Stop{}, actions[0], name)
		ends := resolve(s)
		require.Len(t, ends, 1, name)
		require.Equal(t, jobs.OutcomeNotRun, ends[0].Outcome, name)
	}
}

// Guards against an agent that restarts while the zone is drained: it lets the runs of its
// predecessor finish, and starts neither these nor others.
func TestOrphanIsClaimedInADrainedZoneWithoutAStart(t *testing.T) {
	s := restoredSupervisor()
	s.SetZoneDrained(true, 6)
	s.Launch([]Run{newClaim(0), newClaim(1), newRun(entryA, "b", 0, 0)}, 10)
	outcomes := map[jobs.TaskRef]jobs.Outcome{}
	for _, a := range s.TakeActions() {
		require.IsType(t, Report{}, a)
		outcomes[a.(Report).End.Ref] = a.(Report).End.Outcome
	}
	require.Equal(t, map[jobs.TaskRef]jobs.Outcome{ref("a", 1): jobs.OutcomeDone, ref("b", 0): jobs.OutcomeNotRun}, outcomes)
	require.True(t, s.RenewLeases(11), "the claimed run continues")
	s.HandlePoll(PollResult{ClockMS: 90, SentAt: 80, Epoch: 1, Ended: []EndedRun{{ref("a", 0), 3, jobs.OutcomeDone}}}, 90)
	require.Equal(t, jobs.OutcomeDone, takeEnds(s)[0].Outcome)
}

// Guards against starts when the worker becomes usable in another way while its zone is drained.
func TestEventsOfTheWorkerDoNotEndADrain(t *testing.T) {
	s := newSupervisor()
	s.SetZoneDrained(true, 0)
	next := Worker{ID: "w", Epoch: 2, Fleet: "f", Capacity: cores(8)}
	s.Announce(Announcement{Worker: next}, 1)
	s.HandlePoll(PollResult{ClockMS: 2, SentAt: 1, SentEpoch: 2, Epoch: 2}, 2)
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 3)
	s.Tick(4)
	require.Empty(t, takeStarts(s))
	require.True(t, s.RefusesRuns())
}
