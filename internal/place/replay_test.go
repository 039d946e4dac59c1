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

// A replay plays a load against the scheduler and against a baseline in virtual time:
// a queue in order of arrival, whose tasks go to any worker with room. The loads are
// drawn by seed: arrivals, sizes, run times, and estimates that are off by 40 %.

// kind is a kind of job: so many tasks of a median work, so many jobs a second.
type kind struct {
	name      string
	tasks     int
	workMS    float64
	perSecond float64
	// burst multiplies the arrivals from burstFrom to burstTo.
	burst float64
}

const (
	burstFrom clock.Millis = 4000
	burstTo   clock.Millis = 9000
	replayMS  clock.Millis = 16_000
	taskCPU                = 1600
	// spread is that of the logarithm of run times and of estimates.
	spread = 0.4
)

// arrival is a job of a load.
type arrival struct {
	at       clock.Millis
	kind     int
	id       jobs.ID
	work     []float64
	estimate clock.Millis
}

// objective is what its caller was promised.
func (a arrival) objective() clock.Millis {
	longest := 0.0
	for _, w := range a.work {
		longest = max(longest, w)
	}
	return clock.Millis(1.6*longest) + 60
}

func drawLoad(kinds []kind, seed uint64) []arrival {
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
			base := kd.workMS * math.Exp(spread*r.NormFloat64())
			for range kd.tasks {
				a.work = append(a.work, base)
			}
			a.estimate = clock.Millis(base * math.Exp(spread*r.NormFloat64()))
			out = append(out, a)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}

// running is a task at work.
type running struct {
	ends clock.Millis
	task int
	job  *arrival
	w    *Worker
	run  int64
	ran  clock.Millis
}

// result is how the jobs of a load ended.
type result struct {
	// worth of each job: 1 in time, a fifth up to three times the objective.
	worth map[jobs.ID]float64
}

func (r *result) ended(a *arrival, now clock.Millis) {
	switch took := now - a.at; {
	case took <= a.objective():
		r.worth[a.id] = 1
	case took <= LateFactor*a.objective():
		r.worth[a.id] = 0.2
	}
}

// share returns the worth of the jobs that pick holds for, over all of them.
func (r *result) share(load []arrival, pick func(a arrival) bool) float64 {
	sum, n := 0.0, 0.0
	for _, a := range load {
		if pick(a) {
			sum += r.worth[a.id]
			n++
		}
	}
	return sum / n
}

func fleetOf(cores []int64, speeds []float64) []*Worker {
	var ws []*Worker
	for i := range cores {
		w := worker(fmt.Sprint("w", i), cores[i], speeds[i])
		ws = append(ws, &w)
	}
	return ws
}

// ended takes the tasks out that are over, in order of their ends.
func takeEnded(rs []running, now clock.Millis) (over, left []running) {
	for _, r := range rs {
		if r.ends <= now {
			over = append(over, r)
		} else {
			left = append(left, r)
		}
	}
	return over, left
}

// replay plays a load against the scheduler, with agents that report at once.
func replay(load []arrival, fleetWorkers []*Worker) result {
	res := result{worth: map[jobs.ID]float64{}}
	s := New("z")
	byAgent := map[string]*Worker{}
	byID := map[jobs.ID]*arrival{}
	for _, w := range fleetWorkers {
		byAgent[w.Agent] = w
		s.UpdateWorker(Report{Worker: *w}, 0)
	}
	var rs []running
	next := 0
	for now := clock.Millis(0); now < replayMS+5000; now++ {
		var over []running
		over, rs = takeEnded(rs, now)
		for _, r := range over {
			r.w.ReportedFree.MilliCPU += taskCPU
			s.UpdateWorker(Report{Worker: *r.w, AckedLaunch: math.MaxUint64}, now)
			s.RunEnded(r.w.Agent, jobs.TaskRef{Job: r.job.id, Task: jobs.TaskID{Index: r.task}}, r.run, jobs.OutcomeDone, r.ran, now)
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
					res.ended(byID[act.Job.Spec.ID], now)
				}
			case Launch:
				w := byAgent[act.Agent]
				for _, t := range act.Tasks {
					a := byID[act.Job]
					ran := clock.Millis(a.work[t.ID.Index] / w.Speed)
					w.ReportedFree.MilliCPU -= taskCPU
					rs = append(rs, running{ends: now + ran + overheadMS, task: t.ID.Index, job: a, w: w, run: t.Run, ran: ran})
				}
				s.UpdateWorker(Report{Worker: *w, AckedLaunch: act.Number}, now)
			}
		}
	}
	return res
}

func submissionOf(a *arrival) Submission {
	sub := job(string(a.id), len(a.work), a.estimate)
	sub.Queue.Name = fmt.Sprint("kind-", a.kind)
	sub.Spec.Steps[0].Size = jobs.Size{MilliCPU: taskCPU, MemoryMB: 1}
	return sub
}

// replayBaseline plays a load in order of arrival on any worker with room; a caller
// leaves after three times its objective.
func replayBaseline(load []arrival, ws []*Worker, seed uint64) result {
	res := result{worth: map[jobs.ID]float64{}}
	r := rand.New(rand.NewPCG(seed, 1))
	type waiting struct {
		job  *arrival
		task int
	}
	var queue []waiting
	var rs []running
	left := map[jobs.ID]int{}
	next := 0
	for now := clock.Millis(0); now < replayMS+5000; now++ {
		var over []running
		over, rs = takeEnded(rs, now)
		for _, e := range over {
			e.w.ReportedFree.MilliCPU += taskCPU
			left[e.job.id]--
			if left[e.job.id] == 0 {
				res.ended(e.job, now)
			}
		}
		for ; next < len(load) && load[next].at <= now; next++ {
			left[load[next].id] = len(load[next].work)
			for i := range load[next].work {
				queue = append(queue, waiting{&load[next], i})
			}
		}
		for len(queue) > 0 {
			q := queue[0]
			if now > q.job.at+LateFactor*q.job.objective() {
				queue = queue[1:]
				continue
			}
			var open []*Worker
			for _, w := range ws {
				if w.ReportedFree.MilliCPU >= taskCPU {
					open = append(open, w)
				}
			}
			if len(open) == 0 {
				break
			}
			w := open[r.IntN(len(open))]
			w.ReportedFree.MilliCPU -= taskCPU
			ran := clock.Millis(q.job.work[q.task] / w.Speed)
			rs = append(rs, running{ends: now + ran + overheadMS, task: q.task, job: q.job, w: w})
			queue = queue[1:]
		}
	}
	return res
}

var (
	replayCores  = []int64{16, 16, 16, 24, 16, 16, 16, 24, 24, 16, 16}
	replaySpeeds = []float64{1.2, 0.55, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2}
)

func kindsWithBurst(burst [3]float64) []kind {
	return []kind{
		{name: "short", tasks: 8, workMS: 60, perSecond: 41, burst: burst[0]},
		{name: "long", tasks: 4, workMS: 800, perSecond: 7.5, burst: burst[1]},
		{name: "middle", tasks: 2, workMS: 180, perSecond: 120, burst: burst[2]},
	}
}

func everyJob(arrival) bool { return true }

// Bursts of one kind to more than the fleet can do: who is served in time, and that no
// kind and no large job pays for the others.
func TestReplayOfBurstsBeatsTheBaseline(t *testing.T) {
	for name, burst := range map[string][3]float64{
		"calm": {1, 1, 1}, "short": {2.5, 1, 1}, "long": {1, 2.5, 1}, "middle": {1, 1, 2},
	} {
		for seed := range uint64(2) {
			kinds := kindsWithBurst(burst)
			load := drawLoad(kinds, seed)
			ours := replay(load, fleetOf(replayCores, replaySpeeds))
			base := replayBaseline(load, fleetOf(replayCores, replaySpeeds), seed)
			all, baseAll := ours.share(load, everyJob), base.share(load, everyJob)
			t.Logf("%s, seed %d: worth %.3f, baseline %.3f", name, seed, all, baseAll)
			require.Greater(t, all, baseAll, "%s, seed %d", name, seed)
			for k := range kinds {
				share := ours.share(load, func(a arrival) bool { return a.kind == k })
				require.Greater(t, share, all/2, "%s, seed %d: %s is starved", name, seed, kinds[k].name)
				large := largest(load, k)
				served := ours.share(load, func(a arrival) bool { return a.kind == k && a.work[0] >= large })
				require.Greater(t, served, share/2, "%s, seed %d: large jobs of %s are starved", name, seed, kinds[k].name)
			}
		}
	}
}

// largest returns the work at which the largest tenth of a kind begins.
func largest(load []arrival, k int) float64 {
	var work []float64
	for _, a := range load {
		if a.kind == k {
			work = append(work, a.work[0])
		}
	}
	sort.Float64s(work)
	return work[len(work)*9/10]
}
