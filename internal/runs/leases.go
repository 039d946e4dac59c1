package runs

import "github.com/turmericbarrow/turmericbarrow/internal/clock"

const (
	// stopReserveMS is how long before the end of its leases a run is stopped whose entry is
	// silent. It allows for repeated stops: a lease that expires ends the runs of all entries.
	stopReserveMS clock.Millis = 200
	// MaxStartContactMS is the age up to which a contact allows to start a run under the longest
	// lease of the other runs.
	MaxStartContactMS clock.Millis = 300
	// minStartLeaseMS is the shortest lease under which a run is started.
	minStartLeaseMS clock.Millis = 100
	// contactMemoryMS is how long a contact is remembered while the entry has no runs here.
	contactMemoryMS clock.Millis = 5000
)

// RecordContact records that an entry was alive at the given time.
func (s *Supervisor) RecordContact(entry string, at clock.Millis) {
	s.contacts[entry] = max(s.contacts[entry], at)
}

// AgeContacts moves all contacts back by the time for which the host was suspended, in which its
// clock stood.
func (s *Supervisor) AgeContacts(suspended clock.Millis) {
	for entry := range s.contacts {
		s.contacts[entry] -= suspended
	}
}

// LastContact returns when an entry was last known to be alive, if any contact is remembered.
func (s *Supervisor) LastContact(entry string) (at clock.Millis, known bool) {
	at, known = s.contacts[entry]
	return at, known
}

// contactOf returns when the entry of a run was last known to be alive. Without a contact that
// is when it requested the run.
func (s *Supervisor) contactOf(run *Run) clock.Millis {
	if at, ok := s.contacts[run.Entry]; ok {
		return at
	}
	return max(run.QueuedAt, run.StartedAt)
}

// GrantLease returns the end of a lease of at most leaseMS that begins now. It is cut short so that,
// even if this process ends now, the runs of an entry that is gone end before its callers submit
// their jobs again, and so do runs whose stop the worker does not execute. A lease applies to all
// runs on the worker.
func (s *Supervisor) GrantLease(now, leaseMS clock.Millis) clock.Millis {
	until := s.leaseEnd(now, leaseMS)
	s.grantedUntil = max(s.grantedUntil, until)
	return until
}

func (s *Supervisor) leaseEnd(now, leaseMS clock.Millis) clock.Millis {
	until := now + leaseMS
	for _, run := range s.runs {
		if run.Status != Queued {
			until = min(until, s.neededUntil(run)+s.ContactLeaseMS)
		}
	}
	return until
}

// neededUntil returns the last time at which an entry is known to have needed a run: callers that
// get no answer submit their jobs again from then on.
func (s *Supervisor) neededUntil(run *Run) clock.Millis {
	if run.Stopping {
		return min(s.contactOf(run), run.StopRequestedAt)
	}
	return s.contactOf(run)
}

// stopDue returns when a run is to be stopped for lack of contact with its entry.
func (s *Supervisor) stopDue(run *Run) clock.Millis {
	return s.contactOf(run) + s.ContactLeaseMS - stopReserveMS
}

// mayStart reports whether a run may be started now. Its entry is linked, and the run would end in
// time for its callers under the leases that were granted already, which apply to it as well and
// which a worker never shortens.
func (s *Supervisor) mayStart(run *Run, now clock.Millis) bool {
	_, disconnected := s.disconnected[run.Entry]
	return !disconnected && s.contactOf(run)+s.ContactLeaseMS >= max(s.grantedUntil, now+minStartLeaseMS)
}

// SilentEntries returns the entries whose runs have to be stopped because nothing proves that they
// are still alive.
func (s *Supervisor) SilentEntries(now clock.Millis) map[string]bool {
	silent := map[string]bool{}
	for _, run := range s.runs {
		if !run.Stopping && now >= s.stopDue(run) {
			silent[run.Entry] = true
		}
	}
	return silent
}

// NextContactDue returns the earliest time at which an entry becomes silent, or limit if none does
// before.
func (s *Supervisor) NextContactDue(limit clock.Millis) clock.Millis {
	due := limit
	for _, run := range s.runs {
		if !run.Stopping {
			due = min(due, s.stopDue(run))
		}
	}
	return due
}

// forgetContacts drops the old contacts of entries that have no runs here.
func (s *Supervisor) forgetContacts(now clock.Millis) {
	withRuns := s.EntriesWithRuns()
	for entry, at := range s.contacts {
		if !withRuns[entry] && now-at > contactMemoryMS {
			delete(s.contacts, entry)
		}
	}
}
