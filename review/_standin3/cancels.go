package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

var smallWorker = kind{Labels: []string{"a", "r1-1"}, MilliCPU: 16000, MemoryMB: 32768, Guards: true}

func workers(n int) []kind {
	var kinds []kind
	for range n {
		kinds = append(kinds, smallWorker)
	}
	return kinds
}

// cancelFrozen submits a job to an entry that has just been frozen, and cancels it through another
// one. The frozen entry wakes after a few seconds.
func cancelFrozen(ctx context.Context, rec *record, trouble bool) error {
	const freeze, firstStepMS, secondStepMS, jobDeadline = 4 * time.Second, 7000, 300, 20 * time.Second
	// By then the other entries have given up their links to the frozen one.
	const cancelAfter = 3750 * time.Millisecond
	d, err := newDeployment(ctx, rec, 3, workers(8), true)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.awaitReady(); err != nil {
		return err
	}
	frozen := d.entries[1]
	if trouble {
		rec.log("%s is frozen (SIGSTOP)", frozen.name)
		frozen.freeze()
	}
	frozenAt := time.Now()
	j := &job{ID: newJobID(), Spec: "two steps", Steps: []step{
		{Count: 1, CPU: 1600, MemMB: 64, EstimatedMS: firstStepMS},
		{Count: 2, CPU: 1600, MemMB: 64, EstimatedMS: secondStepMS, After: []int{0}},
	}}
	posted := make(chan answer, 1)
	go func() { posted <- newClient(d).submit(1, j, jobDeadline) }()
	time.Sleep(cancelAfter)
	ack := newClient(d).cancel(0, j.ID, 1500*time.Millisecond)
	if !ack.isAck() {
		return fmt.Errorf("the cancellation was not acknowledged: status %d", ack.status)
	}
	time.Sleep(time.Until(frozenAt.Add(freeze)))
	wokenAt := frozenAt
	if trouble {
		frozen.signal(syscall.SIGCONT)
		wokenAt = time.Now()
		rec.log("%s wakes (SIGCONT)", frozen.name)
	}
	<-posted
	return d.checkNoStartAfterCancel(j.ID, ack.at, wokenAt)
}

// awaitStart waits until a worker has begun a task of a job.
func (d *deployment) awaitStart(id string, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if len(d.jobs.startsOf(id)) > 0 {
			return true
		}
	}
	return false
}

// checkNoStartAfterCancel checks that no task of a job was started later than the bound after its
// cancelling was acknowledged, by machines in touch. disturbedUntil is when the last disruption of any
// machine ended: from the span contact after that, all machines are in touch.
func (d *deployment) checkNoStartAfterCancel(id string, ackAt, disturbedUntil time.Time) error {
	for _, s := range d.jobs.startsOf(id) {
		inTouch := s.At.Sub(disturbedUntil) > contact
		if after := s.At.Sub(ackAt); inTouch && after > cancelBound {
			return broken("task %s was started %d ms after the cancelling was acknowledged; allowed are %d", s.Task,
				after.Milliseconds(), cancelBound.Milliseconds())
		}
	}
	return nil
}
