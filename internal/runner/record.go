package runner

import (
	"context"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// WorkerStore stores the announced worker of each host beyond the lifetime of an agent process.
type WorkerStore interface {
	// SaveWorker replaces the record of a host; a nil worker deletes it.
	SaveWorker(ctx context.Context, host string, w *runs.Worker) error
	// LoadWorker returns the record of a host, or nil.
	LoadWorker(ctx context.Context, host string) (*runs.Worker, error)
}

// saveRetryMS is the delay before a failed write of the record is retried.
const saveRetryMS clock.Millis = 1000

// recordWriter writes the worker's record when it has changed, one write at a time.
type recordWriter struct {
	records WorkerStore
	// saved is the worker that the store holds; valid while savedKnown is set.
	saved      *runs.Worker
	savedKnown bool
	// saving is set while a write is in flight; savingWorker is the worker being written.
	saving       bool
	savingWorker *runs.Worker
	nextSaveAt   clock.Millis
	// saveDone receives the result of a write, loaded that of the read at the start.
	saveDone chan error
	loaded   chan *runs.Worker
}

func newRecordWriter(r WorkerStore) *recordWriter {
	return &recordWriter{records: r, saveDone: make(chan error, 1), loaded: make(chan *runs.Worker, 1)}
}

// loadRecord reads the record that an earlier agent process left.
func (a *Agent) loadRecord(ctx context.Context) {
	a.activeCalls++
	go func() {
		w, err := a.recordWriter.records.LoadWorker(ctx, a.settings.Self.Name)
		if err != nil {
			a.log.Warn("failed to read the worker record; the next heartbeat provides the same data", "error", err.Error())
		}
		a.recordWriter.loaded <- w
	}()
}

func (a *Agent) onRecordLoaded(w *runs.Worker) {
	a.activeCalls--
	if w == nil || a.supervisor.Worker != nil {
		return
	}
	a.recordWriter.saved, a.recordWriter.savedKnown = w, true
	a.log.Info("worker known from its record", "worker", w.ID, "life", w.Epoch, "fleet", w.Fleet)
	a.supervisor.Restore(*w)
}

// saveRecord writes the record if the announced worker has changed.
func (a *Agent) saveRecord(ctx context.Context) {
	rw := a.recordWriter
	w := a.workerToRecord()
	if rw.saving || a.clock.Now() < rw.nextSaveAt || (rw.savedKnown && sameRecord(rw.saved, w)) || (!rw.savedKnown && w == nil) {
		return
	}
	rw.saving, rw.savingWorker = true, w
	a.activeCalls++
	go func() { rw.saveDone <- rw.records.SaveWorker(ctx, a.settings.Self.Name, w) }()
}

// workerToRecord returns the worker to be recorded, or nil if none is announced.
func (a *Agent) workerToRecord() *runs.Worker {
	if !a.supervisor.Confirmed() || a.workerGone {
		return nil
	}
	w := *a.supervisor.Worker
	return &w
}

func sameRecord(a, b *runs.Worker) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.SameExceptDraining(*b) && a.Draining == b.Draining
}

func (a *Agent) onRecordSaved(err error) {
	rw := a.recordWriter
	a.activeCalls--
	rw.saving = false
	if err != nil {
		rw.nextSaveAt = a.clock.Now() + saveRetryMS
		a.log.Warn("failed to write the worker record; it will be retried", "error", err.Error())
		return
	}
	rw.saved, rw.savedKnown = rw.savingWorker, true
}
