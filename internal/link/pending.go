package link

import (
	"context"
	"net"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
)

// errTooManyPending is why a connection is refused. Its peer dials again.
const errTooManyPending = errors.ConstError("too many connections without a hello")

// releaseKey is the context key of the function that releases a connection's place among the
// pending ones.
type releaseKey struct{}

// reservePending reserves a place among the pending connections for one that begins its handshake.
// The place is released when the hello has arrived, when the connection ends, or after
// pendingTimeout.
func (n *Node) reservePending(ctx context.Context, info *quic.ClientInfo) (context.Context, error) {
	select {
	case n.pending <- struct{}{}:
	default:
		n.log.Warn("link refused", "peer", info.RemoteAddr.String(), "reason", errTooManyPending.Error())
		return nil, errTooManyPending
	}
	placeCtx, release := context.WithTimeout(ctx, pendingTimeout)
	context.AfterFunc(placeCtx, func() { <-n.pending })
	return context.WithValue(ctx, releaseKey{}, release), nil
}

// releasePending releases the place of a connection if it still has one.
func releasePending(ctx context.Context) {
	if release, ok := ctx.Value(releaseKey{}).(context.CancelFunc); ok {
		release()
	}
}

// verifiesAddresses reports whether a peer must prove that it receives at its address before
// anything is kept for it. That costs a round trip, so it is required only while at least half of
// the places are taken.
func (n *Node) verifiesAddresses(net.Addr) bool {
	return len(n.pending) >= cap(n.pending)/2
}
