package sched

import (
	"context"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// memberList is the result of one read of the membership list.
type memberList struct {
	addresses []string
	err       error
}

// refreshMembers renews this entry's record and reads the membership list when they are
// due. Both calls run in goroutines of their own.
func (e *Entry) refreshMembers(ctx context.Context, now clock.Millis) {
	interval := membersIntervalMS
	if len(e.linkedEntries) == 0 || !e.registered {
		interval = membersAloneIntervalMS
	}
	if now-e.membersReadAt < interval {
		return
	}
	if (!e.registered || now-e.recordWrittenAt >= membersIntervalMS) && !e.writingRecord && e.drainAt == 0 {
		e.writingRecord, e.recordWrittenAt = true, now
		e.storeCalls++
		go func() { e.recordResults <- e.members.Join(ctx, e.settings.Self) }()
	}
	if e.readingMembers {
		return
	}
	e.readingMembers, e.membersReadAt = true, now
	e.storeCalls++
	go func() {
		list, err := e.members.Entries(ctx)
		e.memberLists <- memberList{addresses: list, err: err}
	}()
}

// onRecordResult handles the result of a Join or Leave. refreshMembers repeats a failed
// Join unless the entry drains. A failed Leave is not repeated.
func (e *Entry) onRecordResult(err error) {
	e.storeCalls--
	e.writingRecord = false
	e.registered = err == nil
	if err != nil {
		e.log.Warn("could not write or remove this entry's record in the store", "error", err.Error())
	}
}

func (e *Entry) onMemberList(m memberList) {
	e.storeCalls--
	e.readingMembers = false
	if reachable := m.err == nil; reachable != e.storeReachable {
		e.storeReachable = reachable
		e.log.Warn("store reachable for the list of entries", "reachable", reachable)
	}
	for _, address := range m.addresses {
		e.dial(address)
	}
}
