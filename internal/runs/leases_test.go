package runs

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// A lease that expires ends the runs of all entries, so that those of a silent one are stopped
// before.
func TestRunsOfSilentEntryAreToBeStoppedBeforeTheirLeasesEnd(t *testing.T) {
	s := newSupervisor()
	s.RecordContact(entryA, 0)
	s.RecordContact(entryB, 900)
	s.Launch([]Run{newRun(entryA, "j", 0, 1), newRun(entryB, "k", 0, 1)}, 100)
	due := contactLeaseMS - stopReserveMS
	require.Equal(t, due, s.NextContactDue(10*clock.Second))
	require.Empty(t, s.SilentEntries(due-1))
	require.Equal(t, map[string]bool{entryA: true}, s.SilentEntries(due))
	require.Equal(t, contactLeaseMS, s.GrantLease(due, lease))
	s.EntryDisconnected(entryA, due-DisconnectGraceMS)
	s.Tick(due)
	require.Empty(t, s.SilentEntries(due), "the run is being stopped")
	require.Equal(t, 900+due, s.NextContactDue(10*clock.Second))
}

// Guards against a second run of a task: its caller left, the worker did not execute the stops,
// and the lease was renewed until after the job was submitted again.
func TestLeaseOfRunToBeStoppedEndsBeforeCallersResubmit(t *testing.T) {
	s := newSupervisor()
	s.RecordContact(entryA, 0)
	s.Launch([]Run{newRun(entryA, "j", 0, 1)}, 0)
	answerStart(s, ref("j", 0), entryA, StartOK, 10)
	s.RecordContact(entryA, 500)
	s.StopTasks(entryA, "j", nil, 500)
	s.RecordContact(entryA, 1500)
	require.Equal(t, 500+contactLeaseMS, s.GrantLease(1500, lease))
	s.HandlePoll(PollResult{ClockMS: 1600, SentAt: 1550, Epoch: 1, Ended: []EndedRun{{ref("j", 0), 1, jobs.OutcomeStopped}}}, 1600)
	require.Equal(t, 1600+lease, s.GrantLease(1600, lease))
}

// Guards against a start for an entry that is gone: a launch may have waited in the network or in
// this process until its caller has submitted the job again elsewhere.
func TestLaunchOfSilentEntryIsReturnedAsNotRun(t *testing.T) {
	s := newSupervisor()
	s.RecordContact(entryA, 0)
	s.Launch([]Run{newRun(entryA, "j", 0, 1)}, contactLeaseMS)
	s.Tick(contactLeaseMS + maxQueuedMS + 1)
	actions := s.TakeActions()
	require.Len(t, actions, 1)
	require.Equal(t, jobs.OutcomeNotRun, actions[0].(Report).End.Outcome)
}

func TestContactsOfEntriesWithoutRunsAreForgotten(t *testing.T) {
	s := newSupervisor()
	s.RecordContact(entryA, 0)
	s.RecordContact(entryB, 0)
	s.Launch([]Run{newRun(entryB, "k", 0, 1)}, 0)
	s.Tick(contactMemoryMS + 1)
	require.Equal(t, map[string]clock.Millis{entryB: 0}, s.contacts)
}
