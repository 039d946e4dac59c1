package link

import (
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// NewUnconnected returns a link to the given peer that has no connection, for tests of an
// owner of links. The returned function returns the frames that were sent since its last call.
func NewUnconnected(peer host.Host) (*Link, func() []*wire.Frame) {
	l := &Link{Peer: peer, outbox: make(chan *wire.Frame, maxQueuedFrames), shutdown: make(chan struct{}, 1)}
	return l, func() []*wire.Frame {
		var sent []*wire.Frame
		for len(l.outbox) > 0 {
			sent = append(sent, <-l.outbox)
		}
		return sent
	}
}
