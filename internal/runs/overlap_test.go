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
// last poll that renewed the leases, although a repeated start had renewed them later. Since nothing is
// started after a failed poll, no start does, also if the agent was paused and handles its result late.
func TestRunsOfUnreachableWorkerAreNotLostBeforeALeaseThatAStartRenewed(t *testing.T) {
	s := newSupervisor()
	s.Launch([]Run{newRun(entryA, "a", 0, 0), newRun(entryB, "b", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	renewedAt := clock.Millis(0)
	for _, poll := range []struct{ sentAt, failedAt clock.Millis }{{2, 122}, {122, 182}, {202, 302}, {362, 482}, {562, 682}} {
		require.True(t, s.RenewLeases(poll.sentAt))
		renewedAt = poll.sentAt
		s.HandlePollFailure(lease, poll.failedAt)
		s.Launch([]Run{newRun(entryB, "c", int(poll.sentAt), 0)}, poll.failedAt)
		require.Empty(t, takeStarts(s))
	}
	require.True(t, s.Unreachable)
	// The agent is paused for 380 ms before it handles the result of the start, which goes undetected.
	s.HandleStartOutcome(ref("b", 0), entryB, 1, StartUnanswered, 1081)
	s.HandlePollFailure(lease, renewedAt+expiryMS(lease))
	require.Empty(t, s.TakeActions(), "no start is repeated, and the leases last until then")
	s.HandlePollFailure(lease, renewedAt+expiryMS(lease)+1)
	require.Len(t, takeEnds(s), 2)
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
	s.Announce(Announcement{Worker: next}, 10)
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

// launchSupersededRun returns a supervisor on which a run of entryA is being stopped, because entryB
// has requested its task.
func launchSupersededRun(t *testing.T) *Supervisor {
	s := newSupervisor()
	s.RecordContact(entryA, 0)
	s.RecordContact(entryB, 0)
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	takeStarts(s)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	s.Launch([]Run{newRun(entryB, "a", 0, 0)}, 10)
	require.Equal(t, []jobs.TaskRef{ref("a", 0)}, takeStops(s))
	return s
}

// Guards against a second run of a task: a stop was handled late, the worker did not execute it, and
// the lease counted from the handling.
func TestLeaseOfRunWhoseStopArrivesLateEndsBeforeCallersResubmit(t *testing.T) {
	s := newSupervisor()
	s.RecordContact(entryA, 0)
	s.Launch([]Run{newRun(entryA, "j", 0, 1)}, 0)
	answerStart(s, ref("j", 0), entryA, StartOK, 10)
	const leftAt = clock.Millis(400)
	s.RecordContact(entryA, leftAt) // the echo that the frame with the stop carries
	s.StopTasks(entryA, "j", nil, leftAt+300)
	s.RecordContact(entryA, 1500)
	require.LessOrEqual(t, s.GrantLease(1500, lease), leftAt+contactLeaseMS)
}

// Guards against a second run on another worker: the worker began to drain while a run waited there
// for the end of an earlier one of its task.
func TestDrainingWorkerReturnsNoTaskWhoseEarlierRunIsAtWork(t *testing.T) {
	s := launchSupersededRun(t)
	w := *s.Worker
	w.Draining = true
	s.Announce(Announcement{Worker: w, Sequence: 1}, 15)
	require.Empty(t, takeEnds(s), "the worker has not ended the earlier run yet")
}

// Guards against a second run on another worker: the worker stopped answering while a run waited there
// for the end of an earlier one of its task.
func TestUnreachableWorkerReturnsNoTaskWhoseEarlierRunIsAtWork(t *testing.T) {
	s := launchSupersededRun(t)
	for i := range unreachablePolls {
		s.HandlePollFailure(lease, 20+clock.Millis(i)*unreachableMS/2)
	}
	require.True(t, s.Unreachable)
	require.Empty(t, takeEnds(s), "the lease of the earlier run has not expired yet")
}

// Guards against two entries that abandon the same job: the earlier one, which had not learned yet that
// its run was superseded, superseded a run of the later one.
func TestSupersededEntryStopsNoRunOfItsSuccessor(t *testing.T) {
	s := newSupervisorOf(jobs.Size{MilliCPU: 16_000, MemoryMB: 1000})
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	s.Launch([]Run{newRun(entryB, "a", 0, 0), newRun(entryB, "a", 1, 0)}, 10)
	answerStart(s, ref("a", 1), entryB, StartOK, 11)
	s.TakeActions()
	s.Launch([]Run{newRun(entryA, "a", 1, 0)}, 12)
	require.Empty(t, takeStops(s), "the caller waits at entryB")
}

// Guards against a task that no one runs or reports: an entry that had given a run up sent the next one
// to the same agent, which still held the first and dropped the launch.
func TestLaunchOfATaskWhoseEarlierRunIsBeingStoppedIsAnswered(t *testing.T) {
	s := newSupervisor()
	s.RecordContact(entryA, 0)
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	s.StopTasks(entryA, "a", nil, 10)
	again := newRun(entryA, "a", 0, 0)
	again.Number = 2
	s.Launch([]Run{again}, 11)
	s.HandlePoll(PollResult{ClockMS: 20, SentAt: 15, Epoch: 1, Ended: []EndedRun{{ref("a", 0), 1, jobs.OutcomeStopped}}}, 20)
	s.Tick(20 + maxQueuedMS + 1)
	handled := false
	for _, action := range s.TakeActions() {
		switch a := action.(type) {
		case Start:
			handled = handled || a.Run.Number == 2
		case Report:
			handled = handled || a.End.Number == 2
		}
	}
	require.True(t, handled, "the entry waits for run 2")
}

// Guards against starts that a worker has to refuse as late: a run whose end the worker does not list
// keeps the leases of all runs from being extended.
func TestNoRunIsStartedUnderALeaseThatHasEnded(t *testing.T) {
	s := newSupervisor()
	s.RecordContact(entryA, 0)
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	s.RecordContact(entryA, 500)
	s.StopTasks(entryA, "a", nil, 500)
	for now := clock.Millis(600); now <= 1800; now += 100 {
		s.HandlePoll(PollResult{ClockMS: now, SentAt: now - 10, SentEpoch: 1, Epoch: 1}, now)
	}
	require.Equal(t, 1, s.RunsAtWorker(), "the run counts as lost 1,500 ms after it was missed first")
	s.TakeActions()
	s.RecordContact(entryB, 1800)
	s.Launch([]Run{newRun(entryB, "b", 0, 0)}, 1801)
	if len(takeStarts(s)) > 0 {
		require.Greater(t, s.GrantLease(1801, StartLeaseMS), clock.Millis(1801))
	}
}

// Guards against a run that outlives its entry: its launch was handled late, and the lease that the
// worker holds for the runs of another entry applies to it as well.
func TestLateLaunchIsNotStartedUnderALongerLeaseOfOtherEntries(t *testing.T) {
	s := newSupervisor()
	s.RecordContact(entryA, 1000)
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 1000)
	answerStart(s, ref("a", 0), entryA, StartOK, 1001)
	require.True(t, s.RenewLeases(1002))
	granted := s.GrantLease(1002, lease) // workers never shorten a lease
	takeStarts(s)
	s.RecordContact(entryB, 500)
	s.Launch([]Run{newRun(entryB, "b", 0, 0)}, 1003)
	if len(takeStarts(s)) > 0 {
		require.LessOrEqual(t, granted, 500+contactLeaseMS, "the agent may be paused or killed from now on")
	}
}

// Guards against ticks at the shortest interval that do nothing: the link to a silent entry had just been
// lost, and its runs were stopped only after the grace period.
func TestRunsOfSilentEntryWhoseLinkWasJustLostAreStoppedWhenDue(t *testing.T) {
	s := newSupervisor()
	s.RecordContact(entryA, 0)
	s.Launch([]Run{newRun(entryA, "a", 0, 0)}, 0)
	answerStart(s, ref("a", 0), entryA, StartOK, 1)
	due := contactLeaseMS - stopReserveMS
	s.EntryDisconnected(entryA, due-1)
	for entry := range s.SilentEntries(due) {
		s.StopRunsOf(entry, due) // as Agent.closeSilentLinks does
	}
	s.Tick(due)
	require.Greater(t, s.NextContactDue(due+100), due, "the next tick is due at once again")
}
