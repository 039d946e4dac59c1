package runs

import (
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Announcement is a worker's description of itself. Anybody may have sent it: it takes effect
// once an answer of the worker proves the identity that it names.
type Announcement struct {
	Worker Worker
	// Sequence increases with each announcement of a worker in one epoch. An announcement
	// that arrives late has a lower number than one before it.
	Sequence int64
	// ClockMS is the time on the worker's clock when it sent the announcement.
	ClockMS clock.Millis
}

// recordSequence stands for the sequence number of a record, which is older than any announcement.
const recordSequence = -1

// Verdict is what became of an announcement.
type Verdict int

// The verdicts on an announcement.
const (
	// Ignored: the announcement is late or repeated, and changes nothing.
	Ignored Verdict = iota
	// Pending: the announcement changes nothing until an answer of the worker proves it.
	Pending
	// Applied: the announcement describes the present worker.
	Applied
)

// pendingAnnouncement is an announcement that no answer of the worker has proved or refuted.
type pendingAnnouncement struct {
	Announcement
	// ReceivedAt is when it arrived. An answer to a poll that was sent before proves nothing
	// against it.
	ReceivedAt clock.Millis
}

const (
	// maxPending is the number of announcements that wait for an answer of the worker.
	maxPending = 8
	// clockToleranceMS is how far the clock of an announcement may seem ahead of the worker's
	// clock, which runs on between two answers.
	clockToleranceMS clock.Millis = 100
)

// Announce handles an announcement. Without a worker its sender becomes the worker, unconfirmed,
// and with one the announcement is applied if it is the worker's own. The other ones wait for the
// worker's next answer, except those of an earlier epoch, which arrive late.
func (s *Supervisor) Announce(m Announcement, now clock.Millis) Verdict {
	switch {
	case s.Worker == nil:
		s.introduce(m, now)
		return Applied
	case s.isOwn(m, now):
		return s.update(m, now)
	case slices.Contains(s.retiredEpochs, m.Worker.Epoch):
		return Ignored
	}
	s.await(m, now)
	return Pending
}

// isOwn reports whether an announcement names the present worker and a time that its clock can
// show by its last answer. Without an answer that holds while it contradicts no other one.
func (s *Supervisor) isOwn(m Announcement, now clock.Millis) bool {
	if m.Worker.Identity() != s.Worker.Identity() {
		return false
	}
	if s.answeredClockMS == 0 {
		return !s.contradicts(m, now)
	}
	return m.ClockMS <= s.answeredClockMS+(now-s.lastPollAt)+clockToleranceMS
}

// update applies an announcement of the present worker, unless it is late or contradicts those
// before it.
func (s *Supervisor) update(m Announcement, now clock.Millis) Verdict {
	if s.Worker.Described && !s.isNewer(m) {
		return Ignored
	}
	if s.contradicts(m, now) {
		s.refuted = append(s.refuted, m.Worker)
		return Ignored
	}
	old := s.Worker
	isFirst := s.announced < 0
	s.announced, s.announcedClockMS, s.announcedAt = m.Sequence, m.ClockMS, now
	w := m.Worker
	w.Token, w.AckedEnd, w.Described = old.Token, old.AckedEnd, true
	s.setWorker(w, now)
	s.NotifyNow = s.NotifyNow || old.Draining != w.Draining
	if m.Sequence != recordSequence && (isFirst || !w.Draining) {
		// A worker announces that it drains before it leaves, so this one has not left.
		s.endDeparture()
	}
	if w.Draining {
		s.returnQueued(now)
	}
	s.startQueued(now)
	return Applied
}

// isNewer reports whether an announcement is newer than the last one. The worker's clock decides,
// which answers check; another writer may use any sequence number.
func (s *Supervisor) isNewer(m Announcement) bool {
	if m.ClockMS == s.announcedClockMS {
		return m.Sequence > s.announced
	}
	return m.ClockMS > s.announcedClockMS
}

// contradictionMS is how long a description holds against another one of the same life. It is more
// than two intervals of a worker's announcements.
const contradictionMS clock.Millis = 4000

// contradicts reports whether an announcement of the present life is another writer's: a worker
// keeps its fleet, labels and capacity for its life. Of two descriptions the one whose clock fits the
// worker's better holds, and otherwise the earlier one until it has not been announced for
// contradictionMS.
func (s *Supervisor) contradicts(m Announcement, now clock.Millis) bool {
	if !s.Worker.Described || m.Worker.SameExceptDraining(*s.Worker) || now-s.announcedAt >= contradictionMS {
		return false
	}
	if s.announced < 0 || s.answeredClockMS == 0 {
		return true // the description is that of the record, or the worker's clock is not known
	}
	return s.clockError(m.ClockMS, now)+clockToleranceMS >= s.clockError(s.announcedClockMS, s.announcedAt)
}

// clockError returns the difference between the time that an announcement showed when it arrived and
// the worker's clock, by its last answer.
func (s *Supervisor) clockError(clockMS, receivedAt clock.Millis) clock.Millis {
	difference := clockMS - receivedAt - (s.answeredClockMS - s.lastPollAt)
	return max(difference, -difference)
}

// checkAnnouncedClock drops a description whose announcement shows a time that the worker's clock has
// not reached: another writer sent it.
func (s *Supervisor) checkAnnouncedClock(clockMS, now clock.Millis) {
	if clockMS > 0 && s.announcedClockMS > clockMS+clockToleranceMS {
		s.forgetDescription(now)
	}
}

// await keeps an announcement until an answer of the worker proves or refutes it. It replaces
// those of the same identity that are older.
func (s *Supervisor) await(m Announcement, now clock.Millis) {
	s.pending = slices.DeleteFunc(s.pending, func(o pendingAnnouncement) bool {
		return o.Worker.Identity() == m.Worker.Identity() && o.Sequence <= m.Sequence
	})
	s.pending = append(s.pending, pendingAnnouncement{Announcement: m, ReceivedAt: now})
	if len(s.pending) > maxPending {
		s.pending = s.pending[1:]
	}
}

// departureMS is how long a worker that has deregistered may take to end.
const departureMS clock.Millis = 300

// Deregister handles a deregistration. It reports whether that names the present worker, which
// then accepts no more runs. An epoch of zero stands for any. A worker drains before it leaves:
// checkDeparture ends the departure of one that does not and goes on answering, and from then on
// deregistrations of its life are ignored while it does not drain.
func (s *Supervisor) Deregister(leaving Identity, now clock.Millis) bool {
	if s.Worker == nil || s.Worker.ID != leaving.ID || leaving.Epoch != 0 && leaving.Epoch != s.Worker.Epoch {
		return false
	}
	if s.departureRefuted && !s.Worker.Draining {
		return false
	}
	if !s.Departed {
		s.Departed, s.departedAt = true, now
	}
	s.NotifyNow = true
	s.returnQueued(now)
	return true
}

// checkDeparture ends the departure of a worker that is not draining and still answers: another
// writer has deregistered it, or an earlier life of it did so late.
func (s *Supervisor) checkDeparture(p PollResult) {
	if s.Departed && !s.Worker.Draining && p.SentAt-s.departedAt >= departureMS {
		s.endDeparture()
	}
}

// endDeparture makes a worker that has deregistered usable again, if it has.
func (s *Supervisor) endDeparture() {
	if s.Departed {
		s.Departed, s.departureRefuted = false, true
		s.NotifyNow = true
	}
}

// HasPendingAnnouncements reports whether an announcement waits for an answer of the worker.
func (s *Supervisor) HasPendingAnnouncements() bool {
	return len(s.pending) > 0
}

// IsAnnounced reports whether an announcement of the present worker has been applied.
func (s *Supervisor) IsAnnounced() bool {
	return s.Worker != nil && s.announced >= 0
}

// TakeRefuted returns the senders of the announcements that the worker's answers have refuted
// since the last call, for the log.
func (s *Supervisor) TakeRefuted() []Worker {
	refuted := s.refuted
	s.refuted = nil
	return refuted
}

// settlePending applies the pending announcements that an answer proves to be of the present
// worker, and drops those that it refutes: there is one worker at the address.
func (s *Supervisor) settlePending(p PollResult, now clock.Millis) {
	pending := s.pending
	s.pending = nil
	for _, m := range pending {
		isOfWorker := m.Worker.Identity() == s.Worker.Identity()
		switch {
		case isOfWorker && (p.ClockMS == 0 || m.ClockMS <= p.ClockMS+clockToleranceMS):
			s.update(m.Announcement, now)
		case m.ReceivedAt > p.SentAt:
			s.pending = append(s.pending, m)
		case !isOfWorker && m.Worker.Epoch == s.Worker.Epoch:
			// A poll that names the sender tells which of the two is at the address.
			s.pending = append(s.pending, m)
			s.doubted = true
		default:
			s.refuted = append(s.refuted, m.Worker)
		}
	}
}
