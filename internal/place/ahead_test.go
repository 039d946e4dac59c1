package place

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// The load of look-ahead placement: tasks of a tenth of a worker, and in one job of ten tasks of
// four tenths. A few percent of the tasks last far longer than their kind.

const (
	smallTaskCPU      = fleetWorkerCPUs * 1000 / 10
	largeTaskCPU      = 4 * smallTaskCPU
	largeShare        = 0.1
	stragglerShare    = 0.03
	stragglerFactor   = 7
	aheadReplayMS     = clock.Millis(10_000)
	aheadCallerWaitMS = clock.Millis(1500)
)

var (
	aheadSeeds = flag.Uint64("ahead-seeds", 1, "seeds of each replay of look-ahead placement")
	aheadAll   = flag.Bool("ahead-all", false, "replay all loads of look-ahead placement, also through one entry")
)

// aheadLoad is a load of the kinds of section 5 of docs/design/load-and-drains.md. Its rates are
// multiples of the capacity of the fleet.
type aheadLoad struct {
	name string
	// calm is the rate of all kinds outside of bursts.
	calm float64
	// burst is the rate of each kind from burstFrom to burstTo; zero for the calm one.
	burst [3]float64
}

var aheadLoads = []aheadLoad{
	{name: "calm", calm: 0.67},
	{name: "busy", calm: 0.9},
	{name: "stated rate", calm: 1.52},
	{name: "burst of short", calm: 0.67, burst: [3]float64{1.7, 0, 0}},
	{name: "burst of long", calm: 0.67, burst: [3]float64{0, 1.7, 0}},
	{name: "burst of middle", calm: 0.67, burst: [3]float64{0, 0, 1.7}},
}

// kinds returns the kinds for a number of agents. The kinds are mixed as in fleetKinds.
func (l aheadLoad) kinds(agents int) []jobKind {
	kinds := fleetKinds(agents, 1)
	meanWork := math.Exp(logStdDev*logStdDev/2) * (1 + stragglerShare*(stragglerFactor-1))
	meanCPU := smallTaskCPU + largeShare*(largeTaskCPU-smallTaskCPU)
	perJob := func(k jobKind) float64 { return float64(k.tasks) * k.workMS / 1000 * meanWork * meanCPU }
	total := 0.0
	for _, k := range kinds {
		total += k.perSecond * perJob(k)
	}
	capacity := float64(agents) * fleetWorkerCPUs * 1000 * (0.75*1.2 + 0.25*0.55)
	for i := range kinds {
		k := &kinds[i]
		k.perSecond *= l.calm * capacity / total
		if l.burst[i] > 0 {
			k.burst = l.burst[i] * capacity / perJob(*k) / k.perSecond
		}
	}
	return kinds
}

// generate returns the load for a seed.
func (l aheadLoad) generate(agents int, seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 2))
	var load []arrival
	for _, a := range generateLoad(l.kinds(agents), seed) {
		if a.at >= aheadReplayMS {
			break
		}
		a.milliCPU = smallTaskCPU
		if r.Float64() < largeShare {
			a.milliCPU = largeTaskCPU
		}
		for i := range a.taskWorkMS {
			if r.Float64() < stragglerShare {
				a.taskWorkMS[i] *= stragglerFactor
			}
		}
		load = append(load, a)
	}
	return load
}

// share counts the jobs of a group by outcome.
type share struct {
	jobs, inTime, late, refused int
	// work is the work of all jobs, and worth that of the jobs in time and a fifth of the late ones'.
	work, worth float64
}

func (s *share) add(a arrival, answer fleetAnswer) {
	work := 0.0
	for _, w := range a.taskWorkMS {
		work += w * float64(a.milliCPU)
	}
	s.jobs++
	s.work += work
	took := answer.at - a.at
	switch {
	case answer.verdict == VerdictRefused:
		s.refused++
	case answer.verdict == VerdictSucceeded && took <= a.objective():
		s.inTime++
		s.worth += work
	case answer.verdict == VerdictSucceeded && took <= LateFactor*a.objective():
		s.late++
		s.worth += work / 5
	}
}

// meanWorth returns the mean worth of the jobs: a late answer is worth a fifth.
func (s *share) meanWorth() float64 {
	return (float64(s.inTime) + float64(s.late)/5) / float64(s.jobs)
}

// String returns the mean worth, the share in time, the share refused, and the worth weighted by
// work.
func (s *share) String() string {
	n := float64(s.jobs)
	return fmt.Sprintf("%.3f %.3f %.3f %.3f", s.meanWorth(), float64(s.inTime)/n, float64(s.refused)/n, s.worth/s.work)
}

// aheadGroups are the groups of jobs that are counted: all, by kind, and the largest tenth.
var aheadGroups = [...]string{"all", "short", "long", "middle", "largest"}

// Positions in aheadGroups. The kinds follow each other from groupFirstKind on.
const (
	groupAll       = 0
	groupFirstKind = 1
	groupLargest   = 4
)

// aheadResult counts the jobs of some replays of a load.
type aheadResult struct {
	groups       [len(aheadGroups)]share
	returned     int
	reservations ReservationCounts
}

func (res *aheadResult) count(load []arrival, f *fleetReplay) {
	for _, a := range load {
		res.groups[groupAll].add(a, f.answers[a.id])
		res.groups[groupFirstKind+a.kind].add(a, f.answers[a.id])
		if a.milliCPU == largeTaskCPU {
			res.groups[groupLargest].add(a, f.answers[a.id])
		}
	}
	res.returned += f.returned
	for _, s := range f.entries {
		counts := s.ReservationCounts()
		res.reservations.Made += counts.Made
		res.reservations.Failed += counts.Failed
	}
}

// playAhead replays a load with the seeds of the flag.
func playAhead(l aheadLoad, entries, agents int, lookAhead bool) aheadResult {
	var res aheadResult
	for seed := range *aheadSeeds {
		f := newFleetReplay(entries, agents, seed)
		f.until, f.callerTimeoutMS = aheadReplayMS, aheadCallerWaitMS
		for _, s := range f.entries {
			s.LookAhead = lookAhead
		}
		load := l.generate(agents, seed)
		f.run(load, seed)
		res.count(load, f)
	}
	return res
}

func (res *aheadResult) log(t *testing.T, name string) {
	line := ""
	for i, group := range aheadGroups {
		line += fmt.Sprintf(" | %s %s", group, &res.groups[i])
	}
	t.Logf("%s%s | returned %.2f | reservations %+v", name, line, float64(res.returned)/float64(res.groups[groupAll].jobs), res.reservations)
}

// Guards against small tasks that keep taking the gaps which large ones wait for, and against
// look-ahead that costs the others more than it gains: calm load must not get worse, and no kind
// may be starved. The log shows worth, share in time and share refused by group of jobs.
func TestLookAheadReplay(t *testing.T) {
	loads, entryCounts := aheadLoads[:3], []int{14}
	if *aheadAll {
		loads, entryCounts = aheadLoads, []int{14, 1}
	}
	for _, l := range loads {
		for _, entries := range entryCounts {
			t.Run(fmt.Sprintf("%s, %d entries", l.name, entries), func(t *testing.T) { compareAhead(t, l, entries) })
		}
	}
}

// The bounds of what look-ahead may cost: the loss of mean worth of calm load and of any load, of
// the worth by work, and of any kind or the largest tenth. In overload, look-ahead yields to
// refusals, and the largest tenth need not gain.
const (
	maxCalmLoss = 0.005
	maxLoss     = 0.03
	maxWorkLoss = 0.02
	maxKindLoss = 0.06
)

func compareAhead(t *testing.T, l aheadLoad, entries int) {
	agents := 60
	if entries == 1 {
		agents = 12 // as many as an entry sees of a fleet that is shared by others
	}
	off := playAhead(l, entries, agents, false)
	on := playAhead(l, entries, agents, true)
	off.log(t, "off")
	on.log(t, "on")
	lost := func(g int) float64 { return off.groups[g].meanWorth() - on.groups[g].meanWorth() }
	require.Less(t, lost(groupAll), maxLoss)
	if l.name == "calm" {
		require.Less(t, lost(groupAll), maxCalmLoss)
	}
	require.Less(t, off.groups[groupAll].worth/off.groups[groupAll].work-on.groups[groupAll].worth/on.groups[groupAll].work, maxWorkLoss)
	for group := groupFirstKind; group < len(aheadGroups); group++ {
		require.Less(t, lost(group), maxKindLoss, aheadGroups[group])
	}
	if entries > 1 && l.calm < 1 && l.burst == [3]float64{} {
		require.Negative(t, lost(groupLargest), "the largest tenth gains while there is capacity")
	}
}

// benchmarkWorkers is the number of workers that an entry of a large deployment sees.
const benchmarkWorkers = 26

// newWaitingScheduler returns a scheduler whose workers are nearly full, and jobs that wait for
// them. The first workers have a small gap left.
func newWaitingScheduler(jobsToPlace, withGap int, lookAhead bool) *Scheduler {
	s := New("z")
	s.LookAhead = lookAhead
	for i := range benchmarkWorkers {
		w := newWorker(fmt.Sprint("w", i), fleetWorkerCPUs, 1)
		w.ReportedFree.MilliCPU = 0
		if i < withGap {
			w.ReportedFree.MilliCPU = smallTaskCPU
		}
		s.UpdateWorker(Report{Worker: w}, 0)
	}
	for i := range jobsToPlace {
		sub := newSubmission(fmt.Sprint("j", i), 4, 1000)
		sub.Spec.Steps[0].Size.MilliCPU = largeTaskCPU
		s.Submit(sub, 0)
	}
	return s
}

// BenchmarkTick measures a tick of an entry that cannot place any of its jobs.
func BenchmarkTick(b *testing.B) {
	for _, lookAhead := range []bool{false, true} {
		for _, n := range []int{1, 20, 200} {
			s := newWaitingScheduler(n, benchmarkWorkers, lookAhead)
			b.Run(fmt.Sprintf("%d jobs, look-ahead %t", n, lookAhead), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					s.reservations.plannedAt = 0 // plan in each tick
					s.Tick(10)
				}
			})
		}
	}
}

// BenchmarkSubmit measures the admission, placement and end of a job of 8 tasks while 20 others
// wait.
func BenchmarkSubmit(b *testing.B) {
	for _, lookAhead := range []bool{false, true} {
		b.Run(fmt.Sprintf("look-ahead %t", lookAhead), func(b *testing.B) { benchmarkSubmit(b, lookAhead) })
	}
}

func benchmarkSubmit(b *testing.B, lookAhead bool) {
	s := newWaitingScheduler(20, benchmarkWorkers/2, lookAhead)
	sub := newSubmission("short", 8, 60)
	sub.Spec.Steps[0].Size.MilliCPU = smallTaskCPU
	b.ReportAllocs()
	for b.Loop() {
		s.Submit(sub, 10)
		for _, l := range takeLaunches(s) {
			for i := range l.Tasks {
				endRun(s, l, i, jobs.OutcomeDone, 10)
			}
			w := *s.Workers[l.Agent]
			w.unacked = nil
			s.UpdateWorker(Report{Worker: w, AckedLaunch: l.Number}, 10)
		}
		s.TakeActions()
	}
}
