package sched

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/certs"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/jobs"
	"github.com/turmericbarrow/turmericbarrow/internal/link"
	"github.com/turmericbarrow/turmericbarrow/internal/offer"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

// costAgents is the number of agents of an entry in the deployment of docs/design/scale.md.
const costAgents = 26

// newCostNode starts a node with a certificate of its own.
func newCostNode(ctx context.Context, b *testing.B, authority certs.Authority, name string, role host.Role, done chan<- error) (*link.Node, string) {
	pair, err := authority.IssueCredentials(name, role, time.Hour)
	require.NoError(b, err)
	c, err := pair.TLSConfig()
	require.NoError(b, err)
	listen := ""
	if role == host.RoleEntry {
		listen = "127.0.0.1:0"
	}
	n := link.New(link.Settings{Self: host.Host{Name: name, Incarnation: name, Role: role}, Listen: listen, TLS: c, IdleTimeout: 20_000},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	address, err := n.Open()
	require.NoError(b, err)
	go n.Run(ctx, done)
	return n, address
}

// drain receives the events of an agent's node until ctx ends.
func drain(ctx context.Context, n *link.Node, done chan<- error) {
	for {
		select {
		case <-n.Events():
		case <-ctx.Done():
			done <- ctx.Err()
			return
		}
	}
}

// BenchmarkCapacityNoticeFrames sends rounds of notices to the agents of an entry, 20 ms apart, and
// reports the processor time that a frame costs both ends. A run without frames is subtracted.
func BenchmarkCapacityNoticeFrames(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	authority, err := certs.NewAuthority(time.Hour)
	require.NoError(b, err)
	done := make(chan error, 2*costAgents+1)
	entry, address := newCostNode(ctx, b, authority, "e", host.RoleEntry, done)
	for i := range costAgents {
		agent, _ := newCostNode(ctx, b, authority, fmt.Sprint("a", i), host.RoleAgent, done)
		agent.Dial(address)
		go drain(ctx, agent, done)
	}
	var links []*link.Link
	for len(links) < costAgents {
		if ev := <-entry.Events(); ev.Type == link.Up {
			links = append(links, ev.Link)
		}
	}
	rounds := func(frames bool) float64 {
		before := processorTimeUS()
		for range b.N {
			for _, l := range links {
				if frames {
					l.Send(costNotice)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		return processorTimeUS() - before
	}
	time.Sleep(200 * time.Millisecond) // the handshakes end
	idleUS := rounds(false)
	b.ReportMetric((rounds(true)-idleUS)/float64(b.N*costAgents), "us/frame")
	cancel()
	for range 2*costAgents + 1 {
		<-done
	}
}

// processorTimeUS returns the processor time that this process has used, in microseconds.
func processorTimeUS() float64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e3
}

// costNotice is a notice of typical size.
var costNotice = noticeFrame(offer.Notice{Waiting: true, Demand: offer.Demand{LatestStart: 1500, Size: jobs.Size{MilliCPU: 7000, MemoryMB: 2048}}}, 1000)

// An older process must ignore the frame: it knows none of its fields.
func TestNoticeIsAnUnknownFieldToOlderProcesses(t *testing.T) {
	f := noticeFrame(offer.Notice{}, 0)
	field := f.ProtoReflect().Descriptor().Fields().ByName("waiting")
	require.EqualValues(t, 25, field.Number())
	require.True(t, f.GetWaiting().GetNone())
	require.IsType(t, &wire.Frame_Waiting{}, f.Body)
}
