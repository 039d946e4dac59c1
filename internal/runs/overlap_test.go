package runs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// Guards against a second run on another worker: a job was submitted again at the same entry, its
// run got the number of one that had been returned, and with the next link the agent listed the
// run as held and as not run.
func TestRunThatIsHeldIsNotListedAsEnded(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryB, "b", 0, 0), newRun(entryB, "b", 1, 0), newRun(entryA, "a", 0, 1)}, 0)
	s.Tick(maxQueuedMS + 1)
	require.Contains(t, takeEnds(s), RunEnd{Ref: ref("a", 0), Number: 1, Outcome: jobs.OutcomeNotRun})
	s.HandlePoll(PollResult{ClockMS: 100, SentAt: 90, SentEpoch: 1, Epoch: 1,
		Ended: []EndedRun{{ref("b", 0), 1, jobs.OutcomeDone}, {ref("b", 1), 1, jobs.OutcomeDone}}}, 100)
	s.Launch([]Run{newRun(entryA, "a", 0, 1)}, 1400)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStarts(s))
	answerStart(s, ref("a", 0), entryA, StartOK, 1401)
	s.EntryDisconnected(entryA, 1500)
	held, ends := s.EntryConnected(entryA)
	require.Len(t, held, 1)
	require.Empty(t, ends)
}

// Guards against a run that starts late: the second start of a run carried a shorter lease than
// the first one, with which the worker could still start the run after it was returned as not run.
func TestRunIsNotReturnedBeforeTheLongestLeaseOfItsStartsHasExpired(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	s.SetLease(ref("a", 0), entryA, 600)
	s.HandleStartOutcome(ref("a", 0), entryA, 1, StartUnanswered, 20)
	s.SetLease(ref("a", 0), entryA, 450)
	s.HandleStartOutcome(ref("a", 0), entryA, 1, StartUnanswered, 60)
	s.SetLease(ref("a", 0), entryA, 450)
	s.HandleStartOutcome(ref("a", 0), entryA, 1, StartUnanswered, 140)
	s.HandlePoll(PollResult{ClockMS: 500, SentAt: 490, SentEpoch: 1, Epoch: 1}, 500)
	require.Empty(t, takeEnds(s), "the first start may still be executed")
	s.HandlePoll(PollResult{ClockMS: 601, SentAt: 600, SentEpoch: 1, Epoch: 1}, 601)
	require.Len(t, takeEnds(s), 1)
}

// Guards against two runs at once: the loss of an unreachable worker's runs was counted from the
// last poll that renewed the leases, although a repeated start had renewed them later.
func TestRunsOfUnreachableWorkerAreNotLostBeforeALeaseThatAStartRenewed(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	for _, poll := range []struct{ sentAt, failedAt clock.Millis }{{2, 122}, {122, 182}, {202, 302}, {362, 482}, {562, 682}} {
		require.True(t, s.RenewLeases(poll.sentAt))
		if poll.failedAt == 682 {
			s.Launch([]Run{newRun(entryB, "b", 0, 0)}, 681)
			require.Len(t, takeStarts(s), 1)
		}
		s.HandlePollFailure(lease, poll.failedAt)
	}
	require.True(t, s.Unreachable)
	leasedUntil := 681 + StartLeaseMS
	// The agent is paused for 380 ms before it handles the first result, which goes undetected.
	for _, failedAt := range []clock.Millis{1081, 1121} {
		s.HandleStartOutcome(ref("b", 0), entryB, 1, StartUnanswered, failedAt)
		if len(takeStarts(s)) > 0 {
			leasedUntil = failedAt + StartLeaseMS
		}
	}
	s.HandlePollFailure(lease, leasedUntil-1)
	require.Empty(t, takeEnds(s), "the repeated start has renewed the lease of every run")
}

// Guards against a second run on another worker: a run in a row that was not understood counted
// as missing, and was reported as lost at once.
func TestMalformedRowsResolveNoRun(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	next := *s.Worker
	next.Epoch = 2
	s.Announce(next, 10)
	s.HandlePoll(PollResult{ClockMS: 12, SentAt: 11, SentEpoch: 2, Epoch: 2, MalformedRows: 1}, 13)
	require.Empty(t, takeEnds(s), "the row may be that of the run")
}

// Guards against two runs at once: a start of a run whose entry is disconnected. The entry may be
// gone and its callers about to resubmit.
func TestQueuedRunOfDisconnectedEntryIsNotStarted(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryB, "b", 0, 0), newRun(entryB, "b", 1, 0), newRun(entryA, "a", 0, 1)}, 0)
	require.Len(t, takeStarts(s), 2)
	s.EntryDisconnected(entryA, 1)
	s.HandleStartOutcome(ref("b", 0), entryB, 1, StartNoCapacity, 2)
	require.Empty(t, takeStarts(s))
}

// Guards against a second run on another worker: the caller had resubmitted its job, and the new
// run was returned as not run while the earlier one was still at work on this worker.
func TestResubmittedTaskIsNotReturnedWhileEarlierRunIsAtWork(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	s.Launch([]Run{newRun(entryB, "a", 0, 0)}, 10)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s))
	for now := clock.Millis(10); now < 50; now += 5 {
		s.Tick(now)
	}
	require.Empty(t, takeEnds(s), "the worker has not ended the earlier run yet")
}

// Guards against two entries that keep starting the tasks of one job.
func TestRunThatAnotherEntryTakesOverIsReportedAsSuperseded(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	s.Launch([]Run{newRun(entryB, "a", 0, 0)}, 10)
	s.HandlePoll(PollResult{ClockMS: 20, SentAt: 15, Epoch: 1, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeStopped}}}, 20)
	require.Equal(t, jobs.OutcomeSuperseded, takeEnds(s)[0].Outcome)
}
