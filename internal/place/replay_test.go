package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
)

// A replay runs a load in virtual time, against the scheduler or against a baseline.
// The baseline is a FIFO queue whose tasks go to any worker with free capacity. The
// seed of a load determines arrivals, sizes, run times, and estimates, which are off by
// 40 %.

// jobKind describes jobs with the same number of tasks, median work and arrival rate.
type jobKind struct {
	name      string
	tasks     int
	workMS    float64
	perSecond float64
	// burst multiplies the arrival rate from burstFrom to burstTo.
	burst float64
}

const (
	burstFrom    clock.Millis = 4000
	burstTo      clock.Millis = 9000
	replayMS     clock.Millis = 16_000
	taskMilliCPU              = 1600
	// logStdDev is the standard deviation of the logarithms of run times and of the
	// errors of estimates.
	logStdDev = 0.4
)

// arrival is a job of a load and its time of arrival.
type arrival struct {
	at   clock.Millis
	kind int
	id   jobs.ID
	// taskWorkMS holds the run time of each task on a worker of speed 1.
	taskWorkMS []float64
	estimate   clock.Millis
	// milliCPU is the size of each task in a fleet replay; zero for fleetTaskCPU.
	milliCPU int64
}

// objective returns the response time promised to the caller.
func (a arrival) objective() clock.Millis {
	longest := 0.0
	for _, w := range a.taskWorkMS {
		longest = max(longest, w)
	}
	return clock.Millis(1.6*longest) + 60
}

func generateLoad(kinds []jobKind, seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 0))
	var out []arrival
	for k, kd := range kinds {
		for at := 0.0; at < float64(replayMS); {
			rate := kd.perSecond
			if now := clock.Millis(at); now >= burstFrom && now < burstTo {
				rate *= kd.burst
			}
			at += r.ExpFloat64() * 1000 / rate
			a := arrival{at: clock.Millis(at), kind: k, id: jobs.ID(fmt.Sprint(kd.name, len(out)))}
			workMS := kd.workMS * math.Exp(logStdDev*r.NormFloat64())
			for range kd.tasks {
				a.taskWorkMS = append(a.taskWorkMS, workMS)
			}
			a.estimate = clock.Millis(workMS * math.Exp(logStdDev*r.NormFloat64()))
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// runningTask is a task that is executing on a worker.
type runningTask struct {
	endsAt clock.Millis
	task   int
	job    *arrival
	w      *Worker
	run    int64
	runMS  clock.Millis
}

// result holds the scores of the jobs of a load.
type result struct {
	// scores is 1 for a job that ended within its objective, 0.2 up to LateFactor times
	// the objective, and absent otherwise.
	scores map[jobs.ID]float64
}

func (r *result) recordEnd(a *arrival, now clock.Millis) {
	switch took := now - a.at; {
	case took <= a.objective():
		r.scores[a.id] = 1
	case took <= LateFactor*a.objective():
		r.scores[a.id] = 0.2
	}
}

// meanScore returns the mean score of the jobs for which include returns true.
func (r *result) meanScore(load []arrival, include func(a arrival) bool) float64 {
	sum, n := 0.0, 0.0
	for _, a := range load {
		if include(a) {
			sum += r.scores[a.id]
			n++
		}
	}
	return sum / n
}

func newFleet(cores []int64, speeds []float64) []*Worker {
	var ws []*Worker
	for i := range cores {
		w := newWorker(fmt.Sprint("w", i), cores[i], speeds[i])
		ws = append(ws, &w)
	}
	return ws
}

// splitEnded separates the tasks that have ended from the others, in their given order.
func splitEnded(rs []runningTask, now clock.Millis) (ended, remaining []runningTask) {
	for _, r := range rs {
		if r.endsAt <= now {
			ended = append(ended, r)
		} else {
			remaining = append(remaining, r)
		}
	}
	return ended, remaining
}

// replay runs a load against the scheduler, with agents that report without delay.
func replay(load []arrival, fleetWorkers []*Worker) result {
	res := result{scores: map[jobs.ID]float64{}}
	s := New("z")
	byAgent := map[string]*Worker{}
	byID := map[jobs.ID]*arrival{}
	for _, w := range fleetWorkers {
		byAgent[w.Agent] = w
		s.UpdateWorker(Report{Worker: *w}, 0)
	}
	var rs []runningTask
	next := 0
	for now := clock.Millis(0); now < replayMS+5000; now++ {
		var ended []runningTask
		ended, rs = splitEnded(rs, now)
		for _, r := range ended {
			r.w.ReportedFree.MilliCPU += taskMilliCPU
			s.UpdateWorker(Report{Worker: *r.w, AckedLaunch: math.MaxUint64}, now)
			s.RunEnded(r.w.Agent, jobs.TaskRef{Job: r.job.id, Task: jobs.TaskID{Index: r.task}}, r.run, jobs.OutcomeDone, r.runMS, now)
		}
		for ; next < len(load) && load[next].at <= now; next++ {
			a := &load[next]
			byID[a.id] = a
			s.Submit(submissionOf(a), now)
		}
		if now%10 == 0 {
			s.Tick(now)
		}
		for _, action := range s.TakeActions() {
			switch act := action.(type) {
			case Answer:
				if act.Verdict == VerdictSucceeded {
					res.recordEnd(byID[act.Job.Spec.ID], now)
				}
			case Launch:
				w := byAgent[act.Agent]
				for _, t := range act.Tasks {
					a := byID[act.Job]
					runMS := clock.Millis(a.taskWorkMS[t.ID.Index] / w.Speed)
					w.ReportedFree.MilliCPU -= taskMilliCPU
					rs = append(rs, runningTask{endsAt: now + runMS + overheadMS, task: t.ID.Index, job: a, w: w, run: t.Run, runMS: runMS})
				}
				s.UpdateWorker(Report{Worker: *w, AckedLaunch: act.Number}, now)
			}
		}
	}
	return res
}

func submissionOf(a *arrival) Submission {
	sub := newSubmission(string(a.id), len(a.taskWorkMS), a.estimate)
	sub.Queue.Name = fmt.Sprint("kind-", a.kind)
	sub.Spec.Steps[0].Size = jobs.Size{MilliCPU: taskMilliCPU, MemoryMB: 1}
	return sub
}

// replayBaseline runs a load in order of arrival on any worker with free capacity. A
// caller leaves after LateFactor times its objective.
func replayBaseline(load []arrival, ws []*Worker, seed uint64) result {
	res := result{scores: map[jobs.ID]float64{}}
	r := rand.New(rand.NewPCG(seed, 1))
	type waiting struct {
		job  *arrival
		task int
	}
	var queue []waiting
	var rs []runningTask
	remaining := map[jobs.ID]int{}
	next := 0
	for now := clock.Millis(0); now < replayMS+5000; now++ {
		var ended []runningTask
		ended, rs = splitEnded(rs, now)
		for _, e := range ended {
			e.w.ReportedFree.MilliCPU += taskMilliCPU
			remaining[e.job.id]--
			if remaining[e.job.id] == 0 {
				res.recordEnd(e.job, now)
			}
		}
		for ; next < len(load) && load[next].at <= now; next++ {
			remaining[load[next].id] = len(load[next].taskWorkMS)
			for i := range load[next].taskWorkMS {
				queue = append(queue, waiting{&load[next], i})
			}
		}
		for len(queue) > 0 {
			q := queue[0]
			if now > q.job.at+LateFactor*q.job.objective() {
				queue = queue[1:]
				continue
			}
			var withFreeCapacity []*Worker
			for _, w := range ws {
				if w.ReportedFree.MilliCPU >= taskMilliCPU {
					withFreeCapacity = append(withFreeCapacity, w)
				}
			}
			if len(withFreeCapacity) == 0 {
				break
			}
			w := withFreeCapacity[r.IntN(len(withFreeCapacity))]
			w.ReportedFree.MilliCPU -= taskMilliCPU
			runMS := clock.Millis(q.job.taskWorkMS[q.task] / w.Speed)
			rs = append(rs, runningTask{endsAt: now + runMS + overheadMS, task: q.task, job: q.job, w: w})
			queue = queue[1:]
		}
	}
	return res
}

var (
	replayCores  = []int64{16, 16, 16, 24, 16, 16, 16, 24, 24, 16, 16}
	replaySpeeds = []float64{1.2, 0.55, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2}
)

func kindsWithBurst(burst [3]float64) []jobKind {
	return []jobKind{
		{name: "short", tasks: 8, workMS: 60, perSecond: 41, burst: burst[0]},
		{name: "long", tasks: 4, workMS: 800, perSecond: 7.5, burst: burst[1]},
		{name: "middle", tasks: 2, workMS: 180, perSecond: 120, burst: burst[2]},
	}
}

func everyJob(arrival) bool { return true }

// Replays a steady load, and loads with a burst of one kind that exceeds the capacity
// of the fleet. The scheduler must score higher than the baseline without starving any
// kind or the large jobs of a kind.
func TestSchedulerOutperformsTheBaseline(t *testing.T) {
	for name, burst := range map[string][3]float64{
		"calm": {1, 1, 1}, "short": {2.5, 1, 1}, "long": {1, 2.5, 1}, "middle": {1, 1, 2},
	} {
		for seed := range uint64(2) {
			kinds := kindsWithBurst(burst)
			load := generateLoad(kinds, seed)
			ours := replay(load, newFleet(replayCores, replaySpeeds))
			baseline := replayBaseline(load, newFleet(replayCores, replaySpeeds), seed)
			ourScore, baselineScore := ours.meanScore(load, everyJob), baseline.meanScore(load, everyJob)
			t.Logf("%s, seed %d: score %.3f, baseline %.3f", name, seed, ourScore, baselineScore)
			require.Greater(t, ourScore, baselineScore, "%s, seed %d", name, seed)
			for k := range kinds {
				kindScore := ours.meanScore(load, func(a arrival) bool { return a.kind == k })
				require.Greater(t, kindScore, ourScore/2, "%s, seed %d: %s is starved", name, seed, kinds[k].name)
				p90 := percentile90(load, k)
				largeScore := ours.meanScore(load, func(a arrival) bool { return a.kind == k && a.taskWorkMS[0] >= p90 })
				require.Greater(t, largeScore, kindScore/2, "%s, seed %d: large jobs of %s are starved", name, seed, kinds[k].name)
			}
		}
	}
}

// percentile90 returns the 90th percentile of the work of a kind's jobs.
func percentile90(load []arrival, k int) float64 {
	var work []float64
	for _, a := range load {
		if a.kind == k {
			work = append(work, a.taskWorkMS[0])
		}
	}
	sort.Float64s(work)
	return work[len(work)*9/10]
}
