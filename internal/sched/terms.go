package sched

import (
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// Entries read the configuration from the store. Between each other they only tell its
// version, since a configuration may have thousands of queues. An entry that learns of a newer
// version and does not get it from the store in time requests it by sending its own state
// with the older version.

// onTerms puts terms in force if they are newer than the current ones, and tells the linked
// entries.
func (e *Entry) onTerms(t *contr.Terms, from string) {
	if !t.NewerThan(e.terms) {
		return
	}
	e.terms, e.termsSince = t, e.clock.Now()
	e.answerTermsQueries()
	e.log.Info("configuration in force", "version", t.Version, "from", from, "queues", len(t.Queues))
	for _, other := range e.linkedEntries {
		if other.termsVersion <= t.Version {
			other.behindSince = 0
		}
		if other.termsVersion < t.Version {
			e.sendState(other)
		}
	}
}

// answerTermsQueries answers the queries that wait for the first terms.
func (e *Entry) answerTermsQueries() {
	for _, q := range e.termsQueries {
		q.answer <- e.terms
	}
	e.termsQueries = nil
}

// onEntryState handles the state of a linked entry. It sends the configuration to an entry
// that has an older one than this entry.
func (e *Entry) onEntryState(other *linkedEntry, m *wire.Pulse) {
	now := e.clock.Now()
	other.termsVersion = m.GetTermsVersion()
	other.unstartedJobs = m.GetWaiting()
	other.cancelsConfirmed = max(other.cancelsConfirmed, m.GetCancelsHandled())
	e.acknowledgeCancels(now)
	switch version := e.termsVersion(); {
	case other.termsVersion > version:
		if other.behindSince == 0 {
			other.behindSince = now
		}
	case other.termsVersion < version && e.terms != nil:
		e.answerTermsRequest(other, now)
	}
}

func (e *Entry) answerTermsRequest(other *linkedEntry, now clock.Millis) {
	repeated := other.termsSentVersion == e.terms.Version && now-other.termsSentAt < termsRepeatMS
	if now-e.termsSince < termsAnswerMS || repeated {
		return
	}
	other.termsSentVersion, other.termsSentAt = e.terms.Version, now
	other.link.Send(termsFrame(e.terms))
}

// requestTerms requests the configuration from a linked entry with a newer one, if the store
// did not provide it in time.
func (e *Entry) requestTerms(now clock.Millis) {
	if now-e.termsRequestedAt < termsRequestMS {
		return
	}
	for _, other := range e.linkedEntries {
		if other.behindSince > 0 && now-other.behindSince >= termsRequestMS {
			e.termsRequestedAt = now
			e.sendState(other)
			return
		}
	}
}

// termsVersion returns the version of the configuration in force, or zero.
func (e *Entry) termsVersion() int64 {
	if e.terms == nil {
		return 0
	}
	return e.terms.Version
}
