package sched

import (
	"context"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// memberList is the end of a read of the list.
type memberList struct {
	addresses []string
	err       error
}

// askMembers keeps this entry on the list and reads it: often while it is alone.
func (e *Entry) askMembers(ctx context.Context, now clock.Millis) {
	every := membersEveryMS
	if len(e.peers) == 0 || !e.onList {
		every = membersAloneMS
	}
	if now-e.askedAt < every {
		return
	}
	if (!e.onList || now-e.joinedAt >= membersEveryMS) && !e.joining && e.leaveAt == 0 {
		e.joining, e.joinedAt = true, now
		e.calls++
		go func() { e.joined <- e.members.Join(ctx, e.settings.Self) }()
	}
	if e.asking {
		return
	}
	e.asking, e.askedAt = true, now
	e.calls++
	go func() {
		list, err := e.members.Entries(ctx)
		e.listed <- memberList{addresses: list, err: err}
	}()
}

func (e *Entry) onJoined(err error) {
	e.calls--
	e.joining = false
	e.onList = err == nil
	if err != nil {
		e.log.Warn("entry not put on the store's list; it is tried again", "error", err.Error())
	}
}

func (e *Entry) onListed(m memberList) {
	e.calls--
	e.asking = false
	if up := m.err == nil; up != e.storeUp {
		e.storeUp = up
		e.log.Warn("store reachable for the list of entries", "reachable", up)
	}
	for _, address := range m.addresses {
		e.dial(address)
	}
}
