package runs

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

// The supervisor owns the description of the worker, which holds for one life. All other copies
// name the life or the revision that they are of: the record, an entry's view of the worker, and the
// runs that an entry has placed by it. Nothing is started by a copy that is not the present one.

// setWorker makes w the present worker. If its life or its description differs from that before, it
// gets a new revision, and queued runs are returned to their entries, which placed them by the
// earlier one.
func (s *Supervisor) setWorker(w Worker, now clock.Millis) {
	old := s.Worker
	w.Revision = s.revision
	s.Worker = &w
	if old != nil && old.Described == w.Described && old.SameExceptDraining(w) {
		return
	}
	s.revision++
	s.Worker.Revision = s.revision
	s.NotifyNow = true
	s.returnQueued(now)
}

// forgetDescription leaves the worker's present life without a description.
func (s *Supervisor) forgetDescription(now clock.Millis) {
	w := s.Worker
	s.announced, s.announcedClockMS = -1, 0
	s.setWorker(Worker{ID: w.ID, Epoch: w.Epoch, Token: w.Token, AckedEnd: w.AckedEnd}, now)
}

// IsUndescribed reports whether there is a worker whose present life has not described itself.
func (s *Supervisor) IsUndescribed() bool {
	return s.Worker != nil && !s.Worker.Described
}

// isPlaced reports whether an entry has placed a run by the description in force. Others are not
// started here.
func (s *Supervisor) isPlaced(run *Run) bool {
	return s.Worker != nil && run.Revision == s.Worker.Revision && !run.Claim
}
