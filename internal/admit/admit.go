// Package admit decides which connections and requests of untrusted clients a process admits,
// and which it sheds when memory or descriptors run short. All listeners of a process share
// one Control. The package does no I/O and reads no clock.
package admit

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// Reason is why connections were refused or shed. It is a label of a metric.
type Reason string

// The reasons.
const (
	// Connections: the process has as many connections as it may have.
	Connections Reason = "connections"
	// AddressConnections: the client's address has as many connections as it may have.
	AddressConnections Reason = "address_connections"
	// Memory: the budget of bytes in flight ran short.
	Memory Reason = "memory"
	// HeaderLines: a request has too many header lines.
	HeaderLines Reason = "header_lines"
	// SlowHeaders and SlowBody: a request did not arrive whole in time.
	SlowHeaders Reason = "slow_headers"
	SlowBody    Reason = "slow_body"
)

// Reasons are all reasons for which connections are refused or shed.
var Reasons = []Reason{Connections, AddressConnections, Memory, HeaderLines, SlowHeaders, SlowBody}

// Costs in memory. docs/design/untrusted-clients.md has their derivation.
const (
	// connectionBytes is the cost of a connection: two goroutines and two buffers.
	connectionBytes = 16 << 10
	// headerLineBytes is the cost of a header line beyond its length.
	headerLineBytes = 160
	// bodyFactor is the cost of a byte of a body, which is collected in growing buffers.
	bodyFactor = 2
	// grantBytes is the unit in which bytes are acquired. A request with a body of 2 KB acquires
	// once.
	grantBytes = 8 << 10
	// smallBytes is the largest cost of a request that may exceed the budget.
	smallBytes = 32 << 10
)

// TaskBytes is the cost of a task of a job until the job is answered. A job of a hundred bytes
// may have thousands of tasks.
const TaskBytes = 160

// DependencyBytes is the cost of an entry in the dependencies of a job's steps until the job is
// answered. Each takes two bytes of a body.
const DependencyBytes = 16

// unlimitedBytes exceeds every budget. Half of the largest value leaves room to add to it.
const unlimitedBytes = math.MaxInt64 / 2

// Parts of the budget, as divisors.
const (
	// reserveDivisor: small requests may exceed the budget by this part.
	reserveDivisor = 8
	// headroomDivisor: shedding stops once this part of the budget is free, so that it is rare.
	headroomDivisor = 8
	// closingDivisor: together with the connections that were shed and are not closed yet, all
	// connections may exceed their limit by this part of the budget.
	closingDivisor = 4
)

// Phase is the progress of the current request of a connection.
type Phase int

// The phases.
const (
	// PhaseIdle: nothing of a request has arrived.
	PhaseIdle Phase = iota
	// PhaseUnfinished: a part of a request has arrived.
	PhaseUnfinished
	// PhaseComplete: a request has arrived whole. Its work may have begun, so it is not shed.
	PhaseComplete
)

// Conn is a connection that was admitted.
type Conn struct {
	Listener string
	Address  netip.Addr
	Phase    Phase
	// Since is when the current request began to arrive or, in PhaseIdle, when the connection
	// became idle.
	Since clock.Millis
	// Bytes is what the current request has acquired. It is zero in PhaseIdle.
	Bytes int64
	// Shed is set once the connection was shed. Its owner closes it and then calls Close.
	Shed bool

	// index is the position in Control.conns, or -1 once the connection was removed from it.
	index int
	// closed is set once Close was called.
	closed bool
}

// Control holds the connections of a process and the bytes that they have acquired.
type Control struct {
	Settings Settings
	// Bytes is the cost of all connections that are neither shed nor closed.
	Bytes int64
	// Closing is the cost of the connections that are shed and not closed.
	Closing int64
	// Refused counts the connections that were refused or shed, by reason.
	Refused map[Reason]uint64

	// conns holds the connections that are neither shed nor closed, in no order.
	conns []*Conn
	// byAddress and byListener count these connections.
	byAddress  map[netip.Addr]int
	byListener map[string]int
}

// New returns a control without connections.
func New(s Settings) *Control {
	return &Control{Settings: s, Refused: map[Reason]uint64{}, byAddress: map[netip.Addr]int{}, byListener: map[string]int{}}
}

// Count returns the number of connections that are neither shed nor closed.
func (c *Control) Count() int {
	return len(c.conns)
}

// Open admits a new connection, or returns nil. It also returns the connections that it shed, which
// may include the new one; the caller closes them.
func (c *Control) Open(listener string, address netip.Addr, now clock.Millis) (*Conn, []*Conn) {
	var shed []*Conn
	reserved := c.byListener[listener] < c.Settings.ReservedConnections
	if c.byAddress[address] >= c.Settings.ConnectionsPerAddress && !reserved {
		victim := c.oldest(func(o *Conn) bool { return o.Address == address })
		if victim == nil {
			c.Refused[AddressConnections]++
			return nil, nil
		}
		shed = append(shed, c.shed(victim, AddressConnections))
	}
	if len(c.conns) >= c.Settings.Connections && !reserved {
		victim := c.oldest(func(o *Conn) bool {
			return c.byListener[o.Listener] > c.Settings.ReservedConnections || o.Listener == listener
		})
		if victim == nil {
			c.Refused[Connections]++
			return nil, shed
		}
		shed = append(shed, c.shed(victim, Connections))
	}
	n := &Conn{Listener: listener, Address: address, Since: now, index: len(c.conns)}
	c.conns = append(c.conns, n)
	c.byAddress[address]++
	c.byListener[listener]++
	c.Bytes += connectionBytes
	return n, append(shed, c.enforceBudget(n, now)...)
}

// oldest returns the connection that has been idle or unfinished for longest among those that
// match, or nil.
func (c *Control) oldest(match func(*Conn) bool) *Conn {
	var found *Conn
	for _, o := range c.conns {
		if o.Phase != PhaseComplete && match(o) && (found == nil || o.Since < found.Since) {
			found = o
		}
	}
	return found
}

// HeaderCost returns the cost of a part of the headers of a request.
func HeaderCost(length, lines int) int64 {
	return int64(length) + int64(lines)*headerLineBytes
}

// BodyCost returns the cost of a part of a request's body.
func BodyCost(length int) int64 {
	return int64(length) * bodyFactor
}

// Acquire acquires at least the given cost for the request that arrives on a connection, and
// returns what it acquired. It returns zero if the connection itself was shed. The caller closes
// the shed connections, which may include this one.
func (c *Control) Acquire(n *Conn, cost int64, now clock.Millis) (int64, []*Conn) {
	if n.Shed || n.closed {
		return 0, nil
	}
	if n.Phase == PhaseIdle {
		n.Phase, n.Since = PhaseUnfinished, now
	}
	granted := (cost + grantBytes - 1) / grantBytes * grantBytes
	n.Bytes += granted
	c.Bytes += granted
	shed := c.enforceBudget(n, now)
	if n.Shed {
		return 0, shed
	}
	return granted, shed
}

// Extend acquires further bytes for a request that has arrived whole, once its decoded form is
// known. If the budget has none it returns zero, and the request must be refused as not run. The
// caller closes the shed connections.
func (c *Control) Extend(n *Conn, cost int64, now clock.Millis) (int64, []*Conn) {
	granted, shed := c.Acquire(n, cost, now)
	if granted == 0 || c.Bytes <= c.limitFor(n) {
		return granted, shed
	}
	n.Bytes -= granted
	c.Bytes -= granted
	c.Refused[Memory]++
	return 0, shed
}

// limitFor returns the limit on the bytes of all connections up to which n may acquire more. Small
// requests on the reserved connections of a listener, such as probes, have no limit: there are few
// of them.
func (c *Control) limitFor(n *Conn) int64 {
	switch {
	case n.Bytes > smallBytes:
		return c.Settings.Bytes
	case c.byListener[n.Listener] <= c.Settings.ReservedConnections:
		return unlimitedBytes
	default:
		return c.Settings.Bytes + c.Settings.Bytes/reserveDivisor
	}
}

// exceeds reports whether the connections exceed a limit in bytes, or exceed it by more than is
// allowed together with those that are being closed.
func (c *Control) exceeds(limit int64) bool {
	return c.Bytes > limit || c.Bytes+c.Closing > limit+c.Settings.Bytes/closingDivisor
}

// enforceBudget sheds connections if the budget is exceeded, and returns them. n is the connection
// that has just acquired bytes; it is shed as well if nothing else helps and it is not small.
func (c *Control) enforceBudget(n *Conn, now clock.Millis) []*Conn {
	budget := c.Settings.Bytes
	if !c.exceeds(budget) {
		return nil
	}
	var shed []*Conn
	for _, victim := range c.victims(n, now) {
		if c.Bytes <= budget-budget/headroomDivisor {
			break
		}
		if victim.Bytes <= smallBytes && !c.exceeds(c.limitFor(victim)) {
			continue // the reserve is for small requests
		}
		shed = append(shed, c.shed(victim, Memory))
	}
	if c.exceeds(c.limitFor(n)) && !n.Shed && n.Phase != PhaseComplete {
		shed = append(shed, c.shed(n, Memory))
	}
	return shed
}

// victims returns the connections that may be shed for memory, in the order in which they are shed:
// unfinished requests by size and age, and then idle connections by age. n, which has just acquired
// bytes, is not among them if its request is small.
func (c *Control) victims(n *Conn, now clock.Millis) []*Conn {
	var out []*Conn
	for _, o := range c.conns {
		if o.Phase != PhaseComplete && (o != n || n.Bytes > smallBytes) {
			out = append(out, o)
		}
	}
	slices.SortFunc(out, func(a, b *Conn) int {
		return cmp.Compare(b.shedWeight(now), a.shedWeight(now))
	})
	return out
}

// shedWeight orders connections: the one with the highest weight is shed first. It is the product of
// size and age for unfinished requests, and negative for idle connections, highest for the one that
// has been idle for longest.
func (n *Conn) shedWeight(now clock.Millis) float64 {
	age := float64(max(now-n.Since, 0)) + 1
	if n.Phase == PhaseIdle {
		return -1 / age
	}
	return float64(n.Bytes) * age
}

// Complete records that the current request has arrived whole. It reports false if the
// connection was shed before.
func (c *Control) Complete(n *Conn) bool {
	if n.Shed || n.closed {
		return false
	}
	n.Phase = PhaseComplete
	return true
}

// Finish releases what the current request has acquired.
func (c *Control) Finish(n *Conn, now clock.Millis) {
	if n.Shed || n.closed {
		return
	}
	c.Bytes -= n.Bytes
	n.Bytes, n.Phase, n.Since = 0, PhaseIdle, now
}

// Refuse sheds a connection for a reason that its owner found. It reports false if the
// connection was shed before or its request has arrived whole.
func (c *Control) Refuse(n *Conn, reason Reason) bool {
	if n.Shed || n.closed || n.Phase == PhaseComplete {
		return false
	}
	c.shed(n, reason)
	return true
}

// shed marks a connection as shed. Its memory counts as closing until Close.
func (c *Control) shed(n *Conn, reason Reason) *Conn {
	c.remove(n)
	n.Shed = true
	c.Closing += n.Bytes + connectionBytes
	c.Refused[reason]++
	return n
}

// Close releases all that a connection has acquired. Further calls have no effect.
func (c *Control) Close(n *Conn) {
	if n.closed {
		return
	}
	n.closed = true
	if n.Shed {
		c.Closing -= n.Bytes + connectionBytes
		return
	}
	c.remove(n)
}

// remove removes a connection from conns and from the counts.
func (c *Control) remove(n *Conn) {
	last := c.conns[len(c.conns)-1]
	c.conns[n.index], last.index = last, n.index
	c.conns[len(c.conns)-1] = nil
	c.conns = c.conns[:len(c.conns)-1]
	n.index = -1
	c.Bytes -= n.Bytes + connectionBytes
	c.byListener[n.Listener]--
	c.byAddress[n.Address]--
	if c.byAddress[n.Address] == 0 {
		delete(c.byAddress, n.Address)
	}
}
