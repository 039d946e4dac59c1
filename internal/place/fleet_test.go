package place

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/offer"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// A fleet replay runs a load in virtual time through several entries, each of which sees only
// some of the workers, and through agents that all share. Messages take time and reports of
// capacity are paced, so that entries decide from views that are out of date.

const (
	messageMS       clock.Millis = 2
	agentLinks                   = 6
	reportMS        clock.Millis = 250
	fleetReplayMS   clock.Millis = 6000
	workerCallMS    clock.Millis = 1
	fleetWorkerCPUs              = 16
	fleetTaskCPU                 = 3800
)

// contactMS is the interval at which frames prove to an agent that its entries are alive.
const contactMS clock.Millis = 100

// fleetAgent is an agent with its worker and the entries that it is linked to.
type fleetAgent struct {
	name       string
	supervisor *runs.Supervisor
	speed      float64
	entries    []int
	lastLaunch map[int]uint64
	reportedAt clock.Millis
	running    map[runs.RunID]clock.Millis
	book       *offer.Book
	stopped    map[runs.RunID]bool
}

// fleetReplay is one run of a load.
type fleetReplay struct {
	now      clock.Millis
	entries  []*Scheduler
	agents   []*fleetAgent
	byName   map[string]*fleetAgent
	messages map[clock.Millis][]func()
	arrivals map[jobs.ID]*arrival
	// returned counts the runs that agents returned without having started them.
	returned int
	inTime   int
	refused  int
	// late counts the jobs that succeeded after their objective but soon enough to be of use.
	late int
	// until is the end of the load.
	until clock.Millis
	// offers holds the state of capacity offers; nil while there are none.
	offers *fleetOffers
	// callerTimeoutMS is how long callers wait; zero if they wait indefinitely, in which case runs
	// of abandoned jobs continue.
	callerTimeoutMS clock.Millis
	// answers holds when each job was answered, and with which verdict.
	answers map[jobs.ID]fleetAnswer
}

type fleetAnswer struct {
	verdict Verdict
	at      clock.Millis
}

// newFleetReplay links each agent to random entries.
func newFleetReplay(entries, agents int, seed uint64) *fleetReplay {
	r := rand.New(rand.NewPCG(seed, 7))
	f := &fleetReplay{byName: map[string]*fleetAgent{}, messages: map[clock.Millis][]func(){}, arrivals: map[jobs.ID]*arrival{},
		until: fleetReplayMS, answers: map[jobs.ID]fleetAnswer{}}
	for i := range entries {
		s := New("z")
		s.Seed(uint64(i))
		s.Entries = min(entries, agentLinks)
		f.entries = append(f.entries, s)
	}
	for i := range agents {
		a := &fleetAgent{name: fmt.Sprint("agent-", i), supervisor: runs.New(1209), speed: 1.2, lastLaunch: map[int]uint64{}, running: map[runs.RunID]clock.Millis{}, book: offer.NewBook(), stopped: map[runs.RunID]bool{}}
		if i%4 == 0 {
			a.speed = 0.55
		}
		a.entries = r.Perm(entries)[:min(entries, agentLinks)]
		a.supervisor.Announce(runs.Announcement{Worker: runs.Worker{ID: a.name, Epoch: 1, Fleet: fleet, Capacity: jobs.Size{MilliCPU: fleetWorkerCPUs * 1000, MemoryMB: 10_000}}}, 0)
		a.supervisor.HandlePoll(runs.PollResult{SentEpoch: 1, Epoch: 1}, 0) // confirms the worker
		a.supervisor.Speed = a.speed
		f.agents = append(f.agents, a)
		f.byName[a.name] = a
		f.report(a)
	}
	return f
}

// send delivers a message after messageMS.
func (f *fleetReplay) send(deliver func()) {
	at := f.now + messageMS
	f.messages[at] = append(f.messages[at], deliver)
}

func (f *fleetReplay) reportTo(a *fleetAgent, entry int) {
	free, acked := a.supervisor.Free(), a.lastLaunch[entry]
	var releases []Release
	for _, r := range a.supervisor.Releases(f.now) {
		releases = append(releases, Release{At: f.now + messageMS + r.InMS, Size: r.Size})
	}
	f.send(func() {
		f.entries[entry].UpdateWorker(Report{AckedLaunch: acked, Worker: Worker{Agent: a.name, Zone: "z", ID: a.name, Fleet: fleet,
			Capacity: a.supervisor.Worker.Capacity, ReportedFree: free, Speed: a.supervisor.Speed, Releases: releases}}, f.now)
	})
}

func (f *fleetReplay) report(a *fleetAgent) {
	a.reportedAt, a.supervisor.Changed, a.supervisor.NotifyNow = f.now, false, false
	for _, e := range a.entries {
		f.reportTo(a, e)
	}
}

// stepAgent ends due runs, performs the supervisor's actions and reports when that is due.
func (f *fleetReplay) stepAgent(a *fleetAgent) {
	f.pollWorker(a)
	if f.now%contactMS == 0 {
		for _, e := range a.entries {
			a.supervisor.RecordContact(fmt.Sprint(e), f.now-contactMS)
		}
	}
	if f.now%20 == 0 {
		a.supervisor.Tick(f.now)
	}
	for _, action := range a.supervisor.TakeActions() {
		switch act := action.(type) {
		case runs.Start:
			work := f.arrivals[act.Run.Ref.Job].taskWorkMS[act.Run.Ref.Task.Index]
			a.running[runs.RunID{Ref: act.Run.Ref, Number: act.Run.Number}] = f.now + workerCallMS + clock.Millis(work/a.speed)
			a.supervisor.HandleStartOutcome(act.Run.Ref, act.Run.Entry, act.Run.Number, runs.StartOK, f.now)
		case runs.Report:
			f.reportEnd(a, act)
		case runs.Stop:
			a.stopped[runs.RunID{Ref: act.Run.Ref, Number: act.Run.Number}] = true
		}
	}
	if a.supervisor.NotifyNow || a.supervisor.Changed && f.now-a.reportedAt >= reportMS {
		f.report(a)
	}
	f.offerCapacity(a)
}

func (f *fleetReplay) reportEnd(a *fleetAgent, act runs.Report) {
	if act.End.Outcome == jobs.OutcomeNotRun {
		f.returned++
	}
	var entry int
	fmt.Sscan(act.Entry, &entry)
	if f.reportsEnd(a, act.End) {
		f.reportTo(a, entry)
	}
	f.send(func() {
		f.entries[entry].RunEnded(a.name, act.End.Ref, act.End.Number, act.End.Outcome, act.End.RanMS, f.now)
	})
}

// pollWorker reports the runs that have ended to the supervisor.
func (f *fleetReplay) pollWorker(a *fleetAgent) {
	p := runs.PollResult{ClockMS: f.now, SentAt: f.now, Epoch: 1}
	for id, endsAt := range a.running {
		if a.stopped[id] {
			p.Ended = append(p.Ended, runs.EndedRun{Ref: id.Ref, Number: id.Number, Outcome: jobs.OutcomeStopped})
			delete(a.running, id)
		} else if endsAt <= f.now {
			p.Ended = append(p.Ended, runs.EndedRun{Ref: id.Ref, Number: id.Number, Outcome: jobs.OutcomeDone})
			delete(a.running, id)
		}
	}
	if len(p.Ended) == 0 {
		return
	}
	sort.Slice(p.Ended, func(i, j int) bool { return fmt.Sprint(p.Ended[i]) < fmt.Sprint(p.Ended[j]) })
	for id := range a.running {
		p.Running = append(p.Running, id)
	}
	a.supervisor.HandlePoll(p, f.now)
}

func (f *fleetReplay) stepEntry(i int) {
	s := f.entries[i]
	if f.now%10 == 0 {
		s.Tick(f.now)
		f.announce(i)
	}
	for _, action := range s.TakeActions() {
		switch act := action.(type) {
		case Answer:
			a := f.arrivals[act.Job.Spec.ID]
			f.answers[a.id] = fleetAnswer{verdict: act.Verdict, at: f.now}
			switch took := f.now - a.at; {
			case act.Verdict == VerdictSucceeded && took <= a.objective():
				f.inTime++
			case act.Verdict == VerdictSucceeded && took <= LateFactor*a.objective():
				f.late++
			}
			if act.Verdict == VerdictRefused {
				f.refused++
			}
		case Stop:
			if f.callerTimeoutMS > 0 {
				f.send(func() { f.byName[act.Agent].supervisor.StopTasks(fmt.Sprint(i), act.Job, act.Tasks, f.now) })
			}
		case Launch:
			a := f.byName[act.Agent]
			var launched []runs.Run
			for _, t := range act.Tasks {
				launched = append(launched, runs.Run{Ref: jobs.TaskRef{Job: act.Job, Task: t.ID}, Number: t.Run, Entry: fmt.Sprint(i),
					Queue: act.Queue, Size: act.Size, ExpectedMS: act.ExpectedMS, LatestStart: act.LatestStart, HoldMS: act.HoldMS})
			}
			f.send(func() {
				a.lastLaunch[i] = act.Number
				f.recordLaunch(a, i)
				a.supervisor.Launch(launched, f.now)
			})
		}
	}
}

// run submits the load, spread unevenly over the entries, as callers' connections are.
func (f *fleetReplay) run(load []arrival, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 9))
	connections := make([]int, len(f.entries)*3/2)
	for i := range connections {
		connections[i] = r.IntN(len(f.entries))
	}
	next := 0
	for ; f.now < f.until+3000; f.now++ {
		for _, deliver := range f.messages[f.now] {
			deliver()
		}
		delete(f.messages, f.now)
		for ; next < len(load) && load[next].at <= f.now; next++ {
			a := &load[next]
			f.arrivals[a.id] = a
			sub := submissionOf(a)
			sub.Spec.Steps[0].Size = jobs.Size{MilliCPU: cmp.Or(a.milliCPU, fleetTaskCPU), MemoryMB: 1}
			if f.callerTimeoutMS > 0 {
				sub.CallerDeadline = f.now + f.callerTimeoutMS
			}
			f.entries[connections[r.IntN(len(connections))]].Submit(sub, f.now)
		}
		for i := range f.entries {
			f.stepEntry(i)
		}
		for _, a := range f.agents {
			f.stepAgent(a)
		}
	}
}

// fleetKinds returns the kinds of jobs for a fleet of the given number of agents, at the
// given fraction of its capacity.
func fleetKinds(agents int, loadFraction float64) []jobKind {
	kinds := []jobKind{
		{name: "short", tasks: 8, workMS: 60, perSecond: 309, burst: 1},
		{name: "long", tasks: 4, workMS: 900, perSecond: 56.2, burst: 1},
		{name: "middle", tasks: 2, workMS: 200, perSecond: 900, burst: 1},
	}
	for i := range kinds {
		kinds[i].perSecond *= float64(agents) / 240 * loadFraction / 0.62
	}
	return kinds
}

func playFleet(entries, agents int, loadFraction float64, seed uint64) (*fleetReplay, []arrival) {
	return playFleetKinds(entries, agents, fleetKinds(agents, loadFraction), fleetReplayMS, seed, false)
}

// playFleetKinds plays a load of the given kinds that arrive before until, with or without
// capacity offers.
func playFleetKinds(entries, agents int, kinds []jobKind, until clock.Millis, seed uint64, offers bool) (*fleetReplay, []arrival) {
	var load []arrival
	for _, a := range generateLoad(kinds, seed) {
		if a.at < until {
			load = append(load, a)
		}
	}
	f := newFleetReplay(entries, agents, seed)
	f.until = until
	if offers {
		f.offers = newFleetOffers(entries)
	}
	f.run(load, seed)
	return f, load
}

// targetInTime is the share of the worth that the users of the largest deployment ask for.
const targetInTime = 0.81

// At seven tenths of the capacity of the fleet, entries that each see some of the workers,
// through reports that are out of date, often send tasks to the same worker. The tasks that
// don't fit must find another worker in time: while agents queued them for 60 ms, less than
// the target ended in time with seed 1.
func TestJobsEndInTimeThoughEntriesSeePartOfTheFleet(t *testing.T) {
	for seed := range uint64(3) {
		f, load := playFleet(14, 60, 0.7, seed)
		ideal, _ := playFleet(1, 60, 0.7, seed)
		jobsOfLoad := float64(len(load))
		t.Logf("seed %d: in time %.3f, refused %.3f, returned runs a job %.2f; one entry that sees all: in time %.3f", seed,
			float64(f.inTime)/jobsOfLoad, float64(f.refused)/jobsOfLoad, float64(f.returned)/jobsOfLoad, float64(ideal.inTime)/jobsOfLoad)
		require.Greater(t, float64(f.inTime)/jobsOfLoad, targetInTime, "seed %d", seed)
	}
}
