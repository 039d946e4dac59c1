package runner

import (
	"context"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/runs"
)

// Records keeps, beyond the life of a process, what the worker of a host said of
// itself.
type Records interface {
	// SaveWorker replaces the record of a host; a nil worker drops it.
	SaveWorker(ctx context.Context, host string, w *runs.Worker) error
	// LoadWorker returns the record of a host, or nil.
	LoadWorker(ctx context.Context, host string) (*runs.Worker, error)
}

// saveAgainMS paces writes of the record that fail.
const saveAgainMS clock.Millis = 1000

// recordKeeper writes the worker's record when it has changed, one write at a time.
type recordKeeper struct {
	records Records
	// saved is what the store holds as far as is known; valid while known is set.
	saved *runs.Worker
	known bool
	// saving is set while a write is under way.
	saving  bool
	sending *runs.Worker
	nextAt  clock.Millis
	// done brings the end of a write, loaded that of the read at the start.
	done   chan error
	loaded chan *runs.Worker
}

func newRecordKeeper(r Records) *recordKeeper {
	return &recordKeeper{records: r, done: make(chan error, 1), loaded: make(chan *runs.Worker, 1)}
}

// loadRecord asks for what an earlier process beside the worker knew.
func (a *Agent) loadRecord(ctx context.Context) {
	a.calls++
	go func() {
		w, err := a.record.records.LoadWorker(ctx, a.settings.Self.Name)
		if err != nil {
			a.log.Warn("record of the worker not read; its next heartbeat tells the same", "error", err.Error())
		}
		a.record.loaded <- w
	}()
}

func (a *Agent) onLoaded(w *runs.Worker) {
	a.calls--
	if w == nil || a.supervisor.Worker != nil {
		return
	}
	a.record.saved, a.record.known = w, true
	a.log.Info("worker known from its record", "worker", w.ID, "life", w.Epoch, "fleet", w.Fleet)
	a.supervisor.Restore(*w)
}

// saveRecord writes the record if what the worker said has changed.
func (a *Agent) saveRecord(ctx context.Context) {
	k := a.record
	w := a.announcedWorker()
	if k.saving || a.clock.Now() < k.nextAt || (k.known && sameRecord(k.saved, w)) || (!k.known && w == nil) {
		return
	}
	k.saving, k.sending = true, w
	a.calls++
	go func() { k.done <- k.records.SaveWorker(ctx, a.settings.Self.Name, w) }()
}

// announcedWorker returns the worker to be recorded, or nil when it has left.
func (a *Agent) announcedWorker() *runs.Worker {
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

func (a *Agent) onSaved(err error) {
	k := a.record
	a.calls--
	k.saving = false
	if err != nil {
		k.nextAt = a.clock.Now() + saveAgainMS
		a.log.Warn("record of the worker not written; it is tried again", "error", err.Error())
		return
	}
	k.saved, k.known = k.sending, true
}
