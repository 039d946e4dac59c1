package runner

import (
	"context"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/guard"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// WorkerStore keeps the announced worker of each host, so that the next agent process of the
// host finds it.
type WorkerStore interface {
	// SaveWorker replaces the record of a host; a nil worker deletes it.
	SaveWorker(ctx context.Context, host string, w *runs.Worker) error
	// LoadWorker returns the record of a host, or nil.
	LoadWorker(ctx context.Context, host string) (*runs.Worker, error)
}

// saveRetryMS is the delay before a failed write of the record is retried.
const saveRetryMS clock.Millis = 1000

// maxSaveWaitMS is how long the acknowledgement of an announcement waits for the write of the
// record. Workers take no acknowledgement after a second.
const maxSaveWaitMS clock.Millis = 400

// recordWriter reads the worker's record at the start and writes it when the worker has
// changed, one write at a time.
type recordWriter struct {
	store WorkerStore
	// saved is the worker whose record was last read or whose write was last confirmed, nil
	// for a deletion. It is valid while savedKnown is set. After a failed write the store may
	// hold either this worker or the one of the failed write.
	saved      *runs.Worker
	savedKnown bool
	// loading is set while the record is read.
	loading bool
	// saving is set while a write is in flight; savingWorker is the worker being written.
	saving       bool
	savingWorker *runs.Worker
	nextSaveAt   clock.Millis
	// saveDone receives the result of a write, loaded that of the read at the start.
	saveDone chan error
	loaded   chan *runs.Worker
	// awaiting holds the announcements to be acknowledged after the next write.
	awaiting []awaitedSave
}

// awaitedSave is an announcement that is acknowledged once the record is written.
type awaitedSave struct {
	handled chan<- struct{}
	since   clock.Millis
}

// unsaved reports whether w differs from the record.
func (r *recordWriter) unsaved(w *runs.Worker) bool {
	return !(r.savedKnown && sameRecord(r.saved, w)) && (r.savedKnown || w != nil)
}

// awaitSave acknowledges an announcement after the next write, or after maxSaveWaitMS.
func (r *recordWriter) awaitSave(handled chan<- struct{}, now clock.Millis) {
	r.awaiting = append(r.awaiting, awaitedSave{handled: handled, since: now})
}

// isAwaited reports whether an announcement waits for a write.
func (r *recordWriter) isAwaited() bool {
	return len(r.awaiting) > 0
}

// release acknowledges all announcements that wait for a write.
func (r *recordWriter) release() {
	for _, w := range r.awaiting {
		close(w.handled)
	}
	r.awaiting = nil
}

// releaseOverdue acknowledges the announcements that have waited for maxSaveWaitMS. The store
// may be away for longer than a worker waits.
func (r *recordWriter) releaseOverdue(now clock.Millis) {
	if len(r.awaiting) > 0 && now-r.awaiting[0].since >= maxSaveWaitMS {
		r.release()
	}
}

func newRecordWriter(store WorkerStore) *recordWriter {
	return &recordWriter{store: store, saveDone: make(chan error, 1), loaded: make(chan *runs.Worker, 1)}
}

// loadWorkerRecord reads the record that an earlier agent process left.
func (a *Agent) loadWorkerRecord(ctx context.Context) {
	a.recordWriter.loading = true
	a.activeCalls++
	go func() {
		var w *runs.Worker
		err := guard.Call("read the worker record", func() (err error) {
			w, err = a.recordWriter.store.LoadWorker(ctx, a.settings.Self.Name)
			return err
		})
		if err != nil {
			a.log.Warn("failed to read the worker record; the worker's next announcement provides the same data", "error", err.Error())
		}
		a.recordWriter.loaded <- w
	}()
}

func (a *Agent) onWorkerRecordLoaded(w *runs.Worker) {
	a.activeCalls--
	a.recordWriter.loading = false
	if w == nil {
		return
	}
	a.recordWriter.saved, a.recordWriter.savedKnown = w, true
	if !a.supervisor.Confirmed() || a.supervisor.IsUndescribed() {
		a.log.Info("worker known from its record", "worker", w.ID, "life", w.Epoch, "fleet", w.Fleet)
	}
	a.supervisor.Restore(*w)
}

// saveWorkerRecord writes the record if the worker to be recorded differs from the one last
// saved, and deletes the record if there is none.
func (a *Agent) saveWorkerRecord(ctx context.Context) {
	writer := a.recordWriter
	w := a.workerToRecord()
	if writer.saving || a.clock.Now() < writer.nextSaveAt || !writer.unsaved(w) {
		return
	}
	writer.saving, writer.savingWorker = true, w
	a.activeCalls++
	go func() {
		writer.saveDone <- guard.Call("write the worker record", func() error {
			return writer.store.SaveWorker(ctx, a.settings.Self.Name, w)
		})
	}()
}

// workerToRecord returns the worker to be recorded, or nil if there is none or it has
// deregistered. Until a poll has confirmed the worker, it replaces no record, and neither does a life
// that has not described itself: the next process would take the record for its description.
func (a *Agent) workerToRecord() *runs.Worker {
	if a.supervisor.Worker == nil || a.supervisor.Departed {
		return nil
	}
	writer := a.recordWriter
	if a.supervisor.IsUndescribed() || !a.supervisor.Confirmed() && (writer.loading || writer.saved != nil) {
		return writer.saved
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

func (a *Agent) onWorkerRecordSaved(err error) {
	writer := a.recordWriter
	a.activeCalls--
	writer.saving = false
	if err != nil {
		writer.nextSaveAt = a.clock.Now() + saveRetryMS
		a.log.Warn("failed to write the worker record; the write will be retried", "error", err.Error())
		return
	}
	writer.saved, writer.savedKnown = writer.savingWorker, true
	a.releaseSaved()
}

// releaseSaved acknowledges the announcements that wait for the record, if that is written.
func (a *Agent) releaseSaved() {
	if a.isRecorded() {
		a.recordWriter.release()
	}
}

// isRecorded reports whether the record is that of the present worker, and no answer of the worker
// is awaited that may change it.
func (a *Agent) isRecorded() bool {
	present := a.supervisor.Worker
	if a.supervisor.Departed {
		present = nil
	}
	return !a.supervisor.HasPendingAnnouncements() && !a.recordWriter.loading && !a.recordWriter.unsaved(present)
}
