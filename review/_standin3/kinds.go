package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// kindChanged crashes a worker that starts again under its id as another kind.
func kindChanged(ctx context.Context, rec *record, trouble bool) error {
	const crashes, down = 3, 2 * time.Second
	other := kind{Labels: []string{"b", "r1-1"}, MilliCPU: 16000, MemoryMB: 32768, Guards: true}
	d, err := newDeployment(ctx, rec, 3, workers(8), true)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.awaitReady(); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for i := range 9 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := newClient(d)
			for ctx.Err() == nil {
				j := &job{ID: newJobID(), Spec: "needs a", Steps: []step{{Count: 4, CPU: 1600, MemMB: 64, EstimatedMS: 60, Requirements: "a"}}}
				c.submit(i%3, j, 1500*time.Millisecond)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	w := d.workers[1]
	for range crashes {
		if trouble {
			rec.log("worker %s crashes", w.id)
			w.crash()
			time.Sleep(down)
			rec.log("worker %s starts again as kind b", w.id)
			if err := w.begin(other, rand.N(heartbeatTime)); err != nil {
				return fmt.Errorf("restart worker: %w", err)
			}
		}
		time.Sleep(4 * time.Second)
		if trouble {
			rec.log("worker %s crashes", w.id)
			w.crash()
			time.Sleep(down)
			rec.log("worker %s starts again as kind a", w.id)
			if err := w.begin(smallWorker, rand.N(heartbeatTime)); err != nil {
				return fmt.Errorf("restart worker: %w", err)
			}
			time.Sleep(4 * time.Second)
		}
	}
	stop()
	clients.Wait()
	return d.checkRequirements()
}

// checkRequirements checks that each task was started on a worker with the label that it requires.
// It leaves out the starts before the worker has answered a hold in its present life: nobody can know
// of that life before.
func (d *deployment) checkRequirements() error {
	wrong := 0
	var first start
	d.jobs.mu.Lock()
	starts := slices.Clone(d.jobs.starts)
	d.jobs.mu.Unlock()
	for _, s := range starts {
		if _, st := d.jobs.stepOf(s.Task); s.Known && st.Requirements != "" && !slices.Contains(s.Kind.Labels, st.Requirements) {
			if wrong == 0 {
				first = s
			}
			wrong++
		}
	}
	if wrong > 0 {
		return broken("%d of %d starts were on a worker without the required label; the first: %s on %s with labels %v", wrong, len(starts),
			first.Task, first.Worker, first.Kind.Labels)
	}
	return nil
}
