package serve

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"github.com/turmericbarrow/turmericbarrow/internal/admit"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// refusalLogInterval is the minimum time between two log lines about one reason.
const refusalLogInterval = 10 * clock.Second

// Clock returns the current time.
type Clock interface {
	Now() clock.Millis
}

// Gate is the admission control that all listeners of a process share.
type Gate struct {
	settings admit.Settings
	clock    Clock
	log      *slog.Logger
	// state holds one value. A goroutine receives it, uses it and sends it back. An ordinary
	// request on a connection that is kept does so three times, without a switch to another
	// goroutine.
	state chan *gateState
	// decoding holds a value while a large body is decoded. Its buffer has room for one.
	decoding chan struct{}
}

// gateState is what the goroutines of all connections share through Gate.state.
type gateState struct {
	control *admit.Control
	// sockets holds the sockets of all connections that are not closed.
	sockets map[*admit.Conn]net.Conn
	// reported holds, by reason, how many refusals the log lines have counted, and loggedAt the
	// time of the last log line.
	reported map[admit.Reason]uint64
	loggedAt map[admit.Reason]clock.Millis
}

// NewGate returns the admission control of a process.
func NewGate(s admit.Settings, c Clock, log *slog.Logger) *Gate {
	g := &Gate{settings: s, clock: c, log: log, state: make(chan *gateState, 1), decoding: make(chan struct{}, 1)}
	g.state <- &gateState{
		control:  admit.New(s),
		sockets:  map[*admit.Conn]net.Conn{},
		reported: map[admit.Reason]uint64{},
		loggedAt: map[admit.Reason]clock.Millis{},
	}
	return g
}

// open admits an accepted connection. It closes the connection and returns nil if it is refused.
func (g *Gate) open(listener string, socket net.Conn) *conn {
	st := <-g.state
	client, shed := st.control.Open(listener, addressOf(socket), g.clock.Now())
	if client != nil {
		st.sockets[client] = socket
	}
	refused := client == nil || client.Shed
	g.release(st, shed, refused)
	if client == nil {
		socket.Close()
		return nil
	}
	c := &conn{Conn: socket, gate: g, client: client, inHeaders: true}
	if client.Shed {
		c.Close()
		return nil
	}
	return c
}

// addressOf returns the IP address of a connection's client. It is the zero value for a connection
// that is not TCP.
func addressOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// release sends the state back and closes the connections that were shed. It logs refusals if
// there were any.
func (g *Gate) release(st *gateState, shed []*admit.Conn, refused bool) {
	var victims []net.Conn
	for _, v := range shed {
		victims = append(victims, st.sockets[v])
	}
	var lines [][]any
	if refused || len(shed) > 0 {
		lines = st.refusalLines(g.clock.Now())
	}
	g.state <- st
	for _, v := range victims {
		v.Close()
	}
	for _, l := range lines {
		g.log.Warn("clients refused", l...)
	}
}

// refusalLines returns the fields of the log lines that are due.
func (st *gateState) refusalLines(now clock.Millis) [][]any {
	var lines [][]any
	for reason, n := range st.control.Refused {
		last, logged := st.loggedAt[reason]
		if n == st.reported[reason] || logged && now-last < refusalLogInterval {
			continue
		}
		lines = append(lines, []any{"reason", string(reason), "count", n - st.reported[reason],
			"connections", st.control.Count(), "bytes", st.control.Bytes})
		st.reported[reason], st.loggedAt[reason] = n, now
	}
	return lines
}

// acquire acquires bytes for the request that arrives on a connection. It returns zero if the
// connection was shed.
func (g *Gate) acquire(c *admit.Conn, cost int64) int64 {
	st := <-g.state
	granted, shed := st.control.Acquire(c, cost, g.clock.Now())
	g.release(st, shed, false)
	return granted
}

// extend acquires further bytes for a request that has arrived whole. It reports false if there
// are none.
func (g *Gate) extend(c *admit.Conn, cost int64) bool {
	st := <-g.state
	granted, shed := st.control.Extend(c, cost, g.clock.Now())
	g.release(st, shed, granted == 0)
	return granted > 0
}

// complete records that the current request has arrived whole. It reports false if the connection
// was shed before.
func (g *Gate) complete(c *admit.Conn) bool {
	st := <-g.state
	ok := st.control.Complete(c)
	g.state <- st
	return ok
}

// finish releases what the current request has acquired.
func (g *Gate) finish(c *admit.Conn) {
	st := <-g.state
	st.control.Finish(c, g.clock.Now())
	g.state <- st
}

// refuse sheds a connection for a reason that its owner found. The owner closes it.
func (g *Gate) refuse(c *admit.Conn, reason admit.Reason) {
	st := <-g.state
	refused := st.control.Refuse(c, reason)
	g.release(st, nil, refused)
}

// close releases all that a connection has acquired.
func (g *Gate) close(c *admit.Conn) {
	st := <-g.state
	st.control.Close(c)
	delete(st.sockets, c)
	g.state <- st
}

// WriteMetrics writes the metrics of the admission control in the Prometheus text format.
func (g *Gate) WriteMetrics(w io.Writer) {
	set := metrics.NewSet()
	st := <-g.state
	connections, bytes := float64(st.control.Count()), float64(st.control.Bytes+st.control.Closing)
	for _, reason := range admit.Reasons {
		set.NewCounter(fmt.Sprintf("turmericbarrow_clients_refused_total{reason=%q}", reason)).Set(st.control.Refused[reason])
	}
	g.state <- st
	set.NewGauge("turmericbarrow_client_connections", func() float64 { return connections })
	set.NewGauge("turmericbarrow_client_bytes", func() float64 { return bytes })
	set.WritePrometheus(w)
}
