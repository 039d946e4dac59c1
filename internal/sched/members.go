package sched

import (
	"context"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/guard"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
)

// memberList is the result of one read of the membership list.
type memberList struct {
	records []roster.Record
	err     error
}

// refreshMembers renews this entry's record and reads the membership list when they are
// due. Both calls run in goroutines of their own.
func (e *Entry) refreshMembers(ctx context.Context, now clock.Millis) {
	interval := roster.ReadInterval(now-e.startedAt, membersIntervalMS)
	if len(e.linkedEntries) == 0 || !e.registered {
		interval = membersAloneIntervalMS
	}
	if now-e.membersReadAt < interval {
		return
	}
	if (!e.registered || now-e.recordWrittenAt >= membersIntervalMS) && !e.writingRecord && e.drainAt == 0 {
		e.writingRecord, e.recordWrittenAt = true, now
		e.storeCalls++
		go func() { e.recordResults <- e.writeRecord(ctx) }()
	}
	if e.readingMembers {
		return
	}
	e.readingMembers, e.membersReadAt = true, now
	e.storeCalls++
	go func() {
		list := memberList{}
		list.err = guard.Call("read the list of entries", func() (err error) {
			list.records, err = e.members.Entries(ctx)
			return err
		})
		e.memberLists <- list
	}()
}

// writeRecord writes this entry's record.
func (e *Entry) writeRecord(ctx context.Context) error {
	return guard.Call("write the entry's record", func() error { return e.members.Join(ctx, e.settings.Self) })
}

// removeRecord removes the record of an entry.
func (e *Entry) removeRecord(ctx context.Context, address string) error {
	return guard.Call("remove an entry's record", func() error { return e.members.Remove(ctx, address) })
}

// removeOwnRecord removes this entry's record when it drains.
func (e *Entry) removeOwnRecord(ctx context.Context) {
	e.storeCalls++
	go func() { e.recordResults <- e.removeRecord(ctx, e.settings.Self.Address) }()
}

// onRecordResult handles the result of a write or removal of this entry's record.
// refreshMembers repeats a failed write unless the entry drains. A failed removal is not
// repeated.
func (e *Entry) onRecordResult(ctx context.Context, err error) {
	e.storeCalls--
	e.writingRecord = false
	e.registered = err == nil
	if e.removeAfterWrite {
		e.removeAfterWrite = false
		e.removeOwnRecord(ctx)
	}
	if err != nil {
		e.log.Warn("could not write or remove this entry's record in the store", "error", err.Error())
	}
}

func (e *Entry) onMemberList(ctx context.Context, m memberList) {
	e.storeCalls--
	e.readingMembers = false
	if reachable := m.err == nil; reachable != e.storeReachable {
		e.storeReachable = reachable
		e.log.Warn("store reachable for the list of entries", "reachable", reachable)
	}
	if m.err != nil {
		return
	}
	now := e.clock.Now()
	live, stale := e.listing.Update(m.records, now)
	for _, address := range live {
		e.addListed(address, now)
	}
	e.updateDials(now)
	if len(live) > 0 && live[0] == e.settings.Self.Address && len(stale) > 0 && e.drainAt == 0 {
		e.removeStaleRecord(ctx, stale[0])
	}
}

// removeStaleRecord removes the record of an entry that is gone. Only the live entry with the
// first address does so, one record with each read of the list.
func (e *Entry) removeStaleRecord(ctx context.Context, address string) {
	e.log.Info("record of an entry that is gone removed", "address", address)
	e.storeCalls++
	go func() { e.removals <- e.removeRecord(ctx, address) }()
}

// onRemoval handles the result of the removal of a stale record. A failed one is repeated
// after the next read of the list.
func (e *Entry) onRemoval(err error) {
	e.storeCalls--
	if err != nil {
		e.log.Warn("could not remove the record of an entry that is gone", "error", err.Error())
	}
}
