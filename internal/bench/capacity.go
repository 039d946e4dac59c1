package bench

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/turmericbarrow/turmericbarrow/internal/certs"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// dataPoint is the cost measured at one size.
type dataPoint struct {
	size, cost float64
}

// fitLine returns the slope of the least-squares line through the points, and the largest
// deviation of a cost from the line, relative to the largest cost.
func fitLine(points []dataPoint) (slope, maxRelativeError float64) {
	n, sx, sy, sxx, sxy := float64(len(points)), 0.0, 0.0, 0.0, 0.0
	largest := 0.0
	for _, p := range points {
		sx += p.size
		sy += p.cost
		sxx += p.size * p.size
		sxy += p.size * p.cost
		largest = max(largest, math.Abs(p.cost))
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept := (sy - slope*sx) / n
	for _, p := range points {
		maxRelativeError = max(maxRelativeError, math.Abs(p.cost-intercept-slope*p.size)/max(largest, 1e-9))
	}
	return slope, maxRelativeError
}

// slopeFigures returns the slope of a fit and its error as figures.
func slopeFigures(measure string, points []dataPoint) []Figure {
	slope, maxRelativeError := fitLine(points)
	return []Figure{unbounded(measure, slope), unbounded(measure+"_fit_error", maxRelativeError)}
}

// capacity measures the costs per link, key and request on which the calculations in
// docs/CAPACITY.md are based.
func capacity(ctx context.Context, o Options) ([]Figure, error) {
	var out []Figure
	links, err := linkCosts(ctx, o)
	if err != nil {
		return nil, err
	}
	out = append(out, links...)
	out = append(out, slopeFigures("key_bytes", keyCosts())...)
	out = append(out, recordSizes()...)
	requests, err := requestCosts(ctx, o)
	return append(out, requests...), err
}

var (
	linkCounts            = []int{25, 50, 100, 200}
	linkHeartbeatInterval = clock.Millis(2000)
	linkDuration          = 8 * time.Second
)

// linkCosts measures the cost of idle links between one node and many. Both ends run in
// this process, so each figure covers both.
func linkCosts(ctx context.Context, o Options) ([]Figure, error) {
	var memory, processor, traffic []dataPoint
	for _, n := range linkCounts {
		o.progress(fmt.Sprintf("  %d links", n))
		u, err := measureIdleLinks(ctx, o, n)
		if err != nil {
			return nil, err
		}
		memory = append(memory, dataPoint{float64(n), u.memoryKB})
		processor = append(processor, dataPoint{float64(n), u.processorMS / linkDuration.Seconds()})
		traffic = append(traffic, dataPoint{float64(n), u.bytes / linkDuration.Seconds()})
	}
	out := slopeFigures("link_both_ends_kb", memory)
	out = append(out, slopeFigures("link_both_ends_processor_ms_per_s", processor)...)
	return append(out, slopeFigures("link_both_ways_bytes_per_s", traffic)...), nil
}

// usage holds the resources that a measurement used in this process.
type usage struct {
	memoryKB, processorMS, bytes float64
}

// measureIdleLinks keeps n links open for linkDuration, with the heartbeats of an agent in
// both directions.
func measureIdleLinks(ctx context.Context, o Options, n int) (usage, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	authority, err := certs.NewAuthority(time.Hour)
	if err != nil {
		return usage{}, err
	}
	before := memoryKB()
	done := make(chan error, n+1)
	linkUp := make(chan struct{}, 2*n)
	entry, address, err := startHeartbeatNode(ctx, o, authority, host.RoleEntry, 0, "127.0.0.1:0", linkUp, done)
	if err != nil {
		return usage{}, err
	}
	nodes := []*link.Node{entry}
	for i := range n {
		node, _, err := startHeartbeatNode(ctx, o, authority, host.RoleAgent, i, "", linkUp, done)
		if err != nil {
			return usage{}, err
		}
		node.Dial(address)
		nodes = append(nodes, node)
	}
	for range 2 * n {
		<-linkUp
	}
	time.Sleep(linkHeartbeatInterval.Duration())
	u := usage{memoryKB: memoryKB() - before}
	processor, bytes := processorMS(), loopbackBytes()
	time.Sleep(linkDuration)
	u.processorMS, u.bytes = processorMS()-processor, loopbackBytes()-bytes
	cancel()
	for range nodes {
		<-done
	}
	return u, nil
}

// startHeartbeatNode starts a node and a goroutine that sends heartbeats on all its links.
// The goroutine sends to linkUp for each link that comes up, and to done when the node has
// ended.
func startHeartbeatNode(ctx context.Context, o Options, a certs.Authority, role host.Role, i int, listen string, linkUp chan<- struct{}, done chan<- error) (*link.Node, string, error) {
	self := host.Host{Name: fmt.Sprintf("%s-%d", role, i), Incarnation: host.NewIncarnation(), Role: role}
	pair, err := a.IssueCredentials(self.Name, role, time.Hour)
	if err != nil {
		return nil, "", err
	}
	t, err := pair.TLSConfig()
	if err != nil {
		return nil, "", err
	}
	node := link.New(link.Settings{Self: self, Listen: listen, TLS: t, IdleTimeout: 3 * linkHeartbeatInterval}, o.Log)
	address, err := node.Open()
	if err != nil {
		return nil, "", err
	}
	nodeDone := make(chan error, 1)
	go node.Run(ctx, nodeDone)
	go func() { done <- sendHeartbeats(ctx, node, linkUp, nodeDone) }()
	return node, address, nil
}

func sendHeartbeats(ctx context.Context, node *link.Node, linkUp chan<- struct{}, nodeDone <-chan error) error {
	frame := &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{
		ConfigVersion: 2900, // a log offset of typical encoded size
		Load:          &wire.Load{Running: slots, Queued: 2, Window: slots},
	}}}
	t := time.NewTicker(linkHeartbeatInterval.Duration())
	defer t.Stop()
	links := map[*link.Link]bool{}
	for {
		select {
		case e := <-node.Events():
			switch e.Type {
			case link.Up:
				links[e.Link] = true
				linkUp <- struct{}{}
			case link.Down:
				delete(links, e.Link)
			}
		case <-t.C:
			for l := range links {
				l.Send(frame)
			}
		case err := <-nodeDone:
			return err
		}
	}
}

// memoryKB returns the size of the heap and stacks in use after garbage collection.
func memoryKB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc+m.StackInuse) / 1024
}

// processorMS returns the processor time that this process has used, user and system.
func processorMS() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e6
}

// loopbackBytes returns the number of bytes received on the loopback interface so far,
// including all headers.
func loopbackBytes() float64 {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		name, rest, ok := strings.Cut(strings.TrimSpace(line), ":")
		if !ok || name != "lo" {
			continue
		}
		n, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
		if err == nil {
			return n
		}
	}
	return 0
}

var keyCounts = []int{20_000, 50_000, 100_000}

// answerBytes is the size of a typical answer of the users' services.
const answerBytes = 200

// keyCosts measures the memory used by idempotency keys and their stored answers.
func keyCosts() []dataPoint {
	var out []dataPoint
	for _, n := range keyCounts {
		before := memoryKB()
		t := grant.NewTable(grant.TableLimits{Window: 600_000, MaxKeys: 2 * n, MaxAnswerBytes: 1 << 30}) // window in ms
		for i := range n {
			id := grant.SubmissionID{Customer: customerEvents, Key: grant.NewTicket("0123456789abcdef01234567", clock.Millis(i))}
			t.Add(id, clock.Millis(i), uint64(i))
			t.Finish(id, reply.Answer{Request: id.Key, Results: []reply.Result{{Body: make([]byte, answerBytes)}}})
		}
		out = append(out, dataPoint{float64(n), (memoryKB() - before) * 1024})
		runtime.KeepAlive(t)
	}
	return out
}

// recordSizes returns the encoded sizes of a grant record and of a configuration change,
// which are written and sent regularly.
func recordSizes() []Figure {
	ranges := make([]uint32, grant.RangeCount/entriesPerRegion)
	for i := range ranges {
		ranges[i] = uint32(i * entriesPerRegion)
	}
	now := int64(clock.New().Now())
	record := &wire.Record{Body: &wire.Record_Grant{Grant: &wire.Grant{
		Entry:     &wire.Hello{Name: "entry-12", Incarnation: host.NewIncarnation(), Role: "entry", Region: "pt-centro", Zone: "a", Address: "10.0.0.12:7400"},
		Intervals: []*wire.Interval{{Ranges: ranges, FromMs: now, UntilMs: now + 1000}},
	}}}
	// The version 2900 is a log offset of typical encoded size.
	doc := contr.EncodeConfig(2900, []contr.Document{{Name: "contract/events", Version: 2900, Text: string(contract(customerEvents, 1))}})
	return []Figure{
		unbounded("grant_record_bytes", float64(proto.Size(record))),
		unbounded("config_change_bytes", float64(proto.Size(doc))),
	}
}

// entriesPerRegion is the number of entries in one region at the intended scale.
const entriesPerRegion = 7

var requestRates = []float64{250, 500, 1000, 2000}

// requestCosts measures the processor time per request. It includes entry, link, agent,
// upstream and caller, so the cost of each of them is lower.
func requestCosts(ctx context.Context, o Options) ([]Figure, error) {
	var processor []dataPoint
	localOptions := deploymentOptions(o, false)
	for i := range localOptions.Upstreams {
		localOptions.Upstreams[i].Slots = pathSlots
		localOptions.Upstreams[i].ServiceTimesMS = map[string]float64{"check": 5, "assign": 5, "lookup": 5}
	}
	err := withDeployment(ctx, o, localOptions, func(_ *local.Deployment, g *generator) error {
		for _, rate := range requestRates {
			o.progress(fmt.Sprintf("  %g requests a second", rate))
			sources := []source{{token: tokenOf(customerEvents), kind: "check", perSecond: rate, timeoutMS: 5000}}
			g.run(ctx, time.Second, sources) // warm-up
			before, began := processorMS(), time.Now()
			samples := g.run(ctx, time.Duration(o.Seconds)*time.Second, sources)
			if ok := count(samples, sample.ok); ok < len(samples) {
				return errors.Errorf("%d of %d requests failed", len(samples)-ok, len(samples))
			}
			processor = append(processor, dataPoint{float64(len(samples)) / time.Since(began).Seconds(), (processorMS() - before) / time.Since(began).Seconds()})
		}
		return nil
	})
	return slopeFigures("request_whole_path_processor_ms", processor), err
}
