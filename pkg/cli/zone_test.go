package cli_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

// Guards against a drain that operators can't declare, see or end by command, or that an entry or
// agent does not put in force.
func TestZoneIsDrainedListedAndResumedByCommand(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	text, err := os.ReadFile("../../examples/lusofala/events.yaml")
	require.NoError(t, err)
	services := map[string]float64{"availability": 10}
	d, err := local.Start(context.Background(), local.Options{Entries: 1, Contracts: [][]byte{text}, Upstreams: []fakes.UpstreamSettings{
		{Name: "u-2", Slots: 8, Connections: 60, Speed: 1, ServiceTimesMS: services, HoldMS: 1000},
		{Name: "u-0", Slots: 8, Connections: 60, Speed: 1, ServiceTimesMS: services, HoldMS: 1000},
	}}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	defer http.DefaultClient.CloseIdleConnections()
	defer d.Close()
	operators := "http://" + d.Entries[0].Addresses.Operators
	command := func(args ...string) string {
		code, out, errOut := run(append(args, "--operators-url", operators, "--author", "ana")...)
		require.Zero(t, code, errOut)
		return out
	}

	require.NotContains(t, command("zone", "drain", "zone-2", "--reason", "power"), "warning")
	require.Contains(t, command("zone", "drain", "zone-2", "--reason", "power"), "no change")
	require.Regexp(t, `zone-2 +local +0 +1 +drained +\d+ +power`, command("zone", "list"))
	require.Regexp(t, `zone-1 +local +1 +0 +in use`, command("zone", "list"))
	require.Contains(t, command("status"), "zone-2 (1 upstreams)")
	require.Contains(t, get(t, operators+"/metrics"), "turmericbarrow_entry_zones_drained 1\n")
	require.Contains(t, get(t, operators+"/metrics"), "turmericbarrow_entry_upstreams_drained 1\n")
	agent := "http://" + d.Agents[0].Address + "/metrics"
	require.Eventually(t, func() bool {
		return strings.Contains(get(t, agent), "turmericbarrow_agent_zone_drained 1\n")
	}, 20*time.Second, 10*time.Millisecond)
	started := get(t, agent)
	for range 20 {
		require.True(t, requestSucceeds(d.Entries[0].Addresses.Callers))
	}
	require.Contains(t, get(t, agent), tasksStarted(t, started), "nothing is started in the drained zone")

	c := d.OperatorClient(0)
	defer c.Close()
	stale, err := c.Amend(context.Background(), contr.Amendment{Author: "bor", Base: contr.NoVersion, Name: "zone/zone-2", Text: "network"})
	require.NoError(t, err)
	require.False(t, stale.Accepted)
	require.Contains(t, stale.Reason, "written by ana")

	require.Contains(t, command("zone", "drain", "zone-9"), "warning: entry-1 knows no host in zone zone-9, only in zone-0, zone-1, zone-2")
	require.Regexp(t, `zone-9 +0 +0 +drained`, command("zone", "list"))
	require.Contains(t, command("zone", "resume", "zone-2"), "accepted")
	require.Contains(t, command("zone", "resume", "zone-2"), "no change (not drained)")
	require.Regexp(t, `zone-2 +local +0 +1 +in use`, command("zone", "list"))
	require.Eventually(t, func() bool {
		require.True(t, requestSucceeds(d.Entries[0].Addresses.Callers))
		return !strings.Contains(get(t, agent), tasksStarted(t, started))
	}, 20*time.Second, time.Millisecond)
}

// get returns the body of a page.
func get(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(body)
}

// tasksStarted returns the line with the number of started tasks in an agent's metrics.
func tasksStarted(t *testing.T, metrics string) string {
	t.Helper()
	line := regexp.MustCompile(`turmericbarrow_agent_tasks_started_total \d+\n`).FindString(metrics)
	require.NotEmpty(t, line)
	return line
}
