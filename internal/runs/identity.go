package runs

import (
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Identity names one life of a worker. Only an answer of the worker to a call that names its id
// proves which identity it has; announcements, deregistrations and records are claims, which take
// effect once they name the proved identity.
type Identity struct {
	ID    string
	Epoch int64
}

// Identity returns the life that a description is of.
func (w Worker) Identity() Identity {
	return Identity{ID: w.ID, Epoch: w.Epoch}
}

// introduce makes the sender of an announcement the worker. It stays unconfirmed until a poll
// that names it has been answered and has listed the runs that an earlier agent process started.
func (s *Supervisor) introduce(m Announcement, now clock.Millis) {
	m.Worker.Token, m.Worker.Described = s.nextToken(m.Worker.Epoch), true
	s.setWorker(m.Worker, now)
	s.announced, s.announcedClockMS, s.announcedAt = m.Sequence, m.ClockMS, now
	s.unconfirmed = true
	s.doubted, s.Departed, s.departureRefuted = false, false, false
	s.answeredClockMS = 0
	s.epochSince = now
	s.NotifyNow = true
}

// NextPollTarget returns the worker that the next poll names, which alone answers it. That is the
// present worker, and, by turns after a poll that left open whether it is still at the address, the
// sender of a pending announcement.
func (s *Supervisor) NextPollTarget(now clock.Millis) Worker {
	other := slices.IndexFunc(s.pending, func(m pendingAnnouncement) bool { return m.Worker.ID != s.Worker.ID })
	s.pollsPending = s.doubted && !s.pollsPending && other >= 0
	if !s.pollsPending {
		return *s.Worker
	}
	next := s.pending[other]
	s.pending = slices.Delete(s.pending, other, other+1)
	if s.unconfirmed {
		present := Announcement{Worker: *s.Worker, Sequence: s.announced, ClockMS: s.announcedClockMS}
		s.pending = append(s.pending, pendingAnnouncement{Announcement: present, ReceivedAt: now})
		s.introduce(next.Announcement, now)
		return *s.Worker
	}
	s.pending = append(s.pending, next) // the others have their turns before it
	target := *s.Worker
	target.ID = next.Worker.ID
	target.AckedEnd = 0 // the ends of another worker have other numbers
	return target
}

// acceptIdentity reports whether the answer to a poll is of the worker's present life or of
// another one that has replaced it. The answer shows which epoch is at the worker's address, even
// if its number is lower: epochs are times of day, and the clock of a host may step back between
// two starts of its worker. An answer to a poll that was sent before the present epoch was known
// may be out of date, and an epoch that was replaced once does not return.
func (s *Supervisor) acceptIdentity(p PollResult, now clock.Millis) bool {
	if p.SentID != "" && p.SentID != s.Worker.ID {
		s.replaceWorker(p, now)
		return true
	}
	if p.Epoch == 0 || p.Epoch == s.Worker.Epoch {
		return true
	}
	if p.Epoch < s.Worker.Epoch && p.SentAt <= s.epochSince || slices.Contains(s.retiredEpochs, p.Epoch) {
		return false
	}
	s.startNewEpoch(Identity{ID: s.Worker.ID, Epoch: p.Epoch}, now)
	return true
}

// replaceWorker makes the worker that has answered a poll under another id the present one.
func (s *Supervisor) replaceWorker(p PollResult, now clock.Millis) {
	next := Identity{ID: p.SentID, Epoch: p.Epoch}
	for _, m := range s.pending {
		if m.Worker.ID == next.ID && next.Epoch == 0 {
			next.Epoch = m.Worker.Epoch // the answer names no epoch
		}
	}
	s.startNewEpoch(next, now)
}

// HandleMisdirected handles a poll that was refused because the worker at the address has another
// id than the one that the poll names.
func (s *Supervisor) HandleMisdirected(id string, sentAt, now clock.Millis) {
	s.pending = slices.DeleteFunc(s.pending, func(m pendingAnnouncement) bool {
		isRefuted := m.Worker.ID == id && m.ReceivedAt <= sentAt
		if isRefuted {
			s.refuted = append(s.refuted, m.Worker)
		}
		return isRefuted
	})
	switch {
	case id != s.Worker.ID:
	case s.unconfirmed:
		s.introducePending(0, now)
	default:
		s.doubted = true
	}
}

// introducePending drops the unconfirmed worker, whose identity is refuted, and introduces the
// sender of a pending announcement, of one that names the given epoch if there is any.
func (s *Supervisor) introducePending(epoch int64, now clock.Millis) {
	s.refuted = append(s.refuted, *s.Worker)
	s.Worker, s.unconfirmed = nil, false
	s.NotifyNow = true
	if len(s.pending) == 0 {
		return
	}
	i := max(slices.IndexFunc(s.pending, func(m pendingAnnouncement) bool { return m.Worker.Epoch == epoch }), 0)
	next := s.pending[i]
	s.pending = slices.Delete(s.pending, i, i+1)
	s.introduce(next.Announcement, now)
}
