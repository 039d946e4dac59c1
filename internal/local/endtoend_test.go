package local_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

const token = "lusofala-events-token"

// deployment is a deployment under test and an HTTP client that calls it.
type deployment struct {
	*local.Deployment
	t        *testing.T
	client   *http.Client
	contract []byte
}

func startDeployment(t *testing.T, change func(*local.Options)) *deployment {
	t.Helper()
	options := sampleOptions(t)
	if change != nil {
		change(&options)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := local.Start(ctx, options, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	require.NoError(t, err)
	d := &deployment{Deployment: s, t: t, contract: options.Contracts[0], client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(func() {
		s.Close()
		cancel()
		d.client.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return d
}

// response is a response to a call of an entry.
type response struct {
	status  int
	header  http.Header
	body    string
	problem struct {
		Type, Ran, Line string
		Detail          string
	}
}

func (d *deployment) call(entry int, method, path string, header map[string]string, body io.Reader) response {
	d.t.Helper()
	req, err := http.NewRequest(method, "http://"+d.Entries[entry].Addresses.Callers+path, body)
	require.NoError(d.t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := d.client.Do(req)
	require.NoError(d.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(d.t, err)
	r := response{status: resp.StatusCode, header: resp.Header, body: string(data)}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		require.NoError(d.t, json.Unmarshal(data, &r.problem))
	}
	return r
}

func (d *deployment) post(kind string, header map[string]string, body string) response {
	d.t.Helper()
	return d.call(0, http.MethodPost, "/v1/requests/"+kind, header, strings.NewReader(body))
}

func (d *deployment) ticket(entry int) string {
	d.t.Helper()
	r := d.call(entry, http.MethodPost, "/v1/tickets", nil, nil)
	var out struct{ Tickets []string }
	require.NoError(d.t, json.Unmarshal([]byte(r.body), &out), r.body)
	return out.Tickets[0]
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	d := startDeployment(t, nil)
	large := strings.Repeat("x", 2<<20)
	jobID := uuid.Must(uuid.NewV7()).String()
	for _, c := range []struct {
		name         string
		method, path string
		header       map[string]string
		body         string
		status       int
		problem      string
	}{
		{"no such token", "POST", "/v1/requests/availability", map[string]string{"Authorization": "Bearer wrong"}, "x", 401, "bad_token"},
		{"no token", "POST", "/v1/requests/availability", map[string]string{"Authorization": ""}, "x", 401, "bad_token"},
		{"unknown kind", "POST", "/v1/requests/nothing", nil, "x", 404, "unknown_kind"},
		{"unknown path", "GET", "/v2", nil, "", 404, "unknown_kind"},
		{"body too large", "POST", "/v1/requests/availability", nil, large, 413, "too_large"},
		{"bad timeout", "POST", "/v1/requests/availability", map[string]string{"Request-Timeout": "soon"}, "x", 400, "malformed"},
		{"bad key", "POST", "/v1/requests/assignment", map[string]string{"Idempotency-Key": "7"}, "x", 400, "malformed"},
		{"no key", "POST", "/v1/requests/assignment", nil, "x", 400, "malformed"},
		{"non-idempotent request without key", "POST", "/v1/requests/availability", map[string]string{"Idempotent": "false"}, "x", 400, "malformed"},
		{"broken job", "POST", "/v1/jobs", nil, `{"id":`, 400, "malformed"},
		{"job with an unknown field", "POST", "/v1/jobs", nil, `{"id":"` + jobID + `","kind":"availability","tasks":[{"payload":1}],"prio":9}`, 400, "malformed"},
		{"empty job", "POST", "/v1/jobs", nil, `{"id":"` + jobID + `","kind":"availability","tasks":[]}`, 400, "malformed"},
		{"unknown job", "GET", "/v1/jobs/" + d.ticket(0), nil, "", 404, "unknown_job"},
		{"bad number of tickets", "POST", "/v1/tickets?count=0", nil, "", 400, "malformed"},
	} {
		r := d.call(0, c.method, c.path, c.header, strings.NewReader(c.body))
		require.Equal(t, c.status, r.status, "%s: %s", c.name, r.body)
		require.Equal(t, "urn:turmericbarrow:problem:"+c.problem, r.problem.Type, c.name)
		require.Equal(t, "no", r.problem.Ran, c.name)
	}
	largeHeaders := map[string]string{}
	for i := range 200 {
		largeHeaders[fmt.Sprintf("X-Flood-%d", i)] = strings.Repeat("y", 200)
	}
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, d.post("availability", largeHeaders, "x").status)
	require.Equal(t, 200, d.post("availability", nil, "x").status, "other requests are still served")
}

func TestSlowSenderDoesNotBlockOthers(t *testing.T) {
	d := startDeployment(t, nil)
	c, err := net.Dial("tcp", d.Entries[0].Addresses.Callers)
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/requests/availability HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nhalf", token)
	for range 20 {
		require.Equal(t, 200, d.post("availability", nil, "x").status)
	}
}

func TestTruncatedUpstreamResponseFailsRequest(t *testing.T) {
	d := startDeployment(t, func(o *local.Options) { o.Upstreams = o.Upstreams[:1] })
	d.Agents[0].Upstream.SetBehaviour(fakes.BehaviourTruncate)
	r := d.post("assignment", map[string]string{"Idempotency-Key": d.ticket(0)}, "x")
	require.Equal(t, 502, r.status, r.body)
	require.Equal(t, "yes", r.problem.Ran)
	require.Contains(t, r.problem.Detail, "cut its answer short")
}

func TestLateResponseReachesNoOtherCaller(t *testing.T) {
	d := startDeployment(t, func(o *local.Options) {
		o.Upstreams = o.Upstreams[:1]
		o.Upstreams[0].ServiceTimesMS = map[string]float64{"availability": 300, "assignment": 300}
	})
	key := d.ticket(0)
	late := d.post("assignment", map[string]string{"Idempotency-Key": key, "Request-Timeout": "100"}, "late")
	require.Equal(t, 504, late.status, late.body)
	require.Equal(t, "maybe", late.problem.Ran)
	r := d.post("availability", nil, "after")
	require.Equal(t, 200, r.status, r.body)
	require.Contains(t, r.body, `"kind":"availability"`)
}

func TestConcurrentResponsesReachTheirOwnCallers(t *testing.T) {
	d := startDeployment(t, nil)
	results := make(chan error, 60)
	for i := range cap(results) {
		go func() {
			body := strings.Repeat("z", i+1)
			req, err := http.NewRequest("POST", "http://"+d.Entries[i%2].Addresses.Callers+"/v1/requests/availability", strings.NewReader(body))
			if err != nil {
				results <- err
				return
			}
			req.Header.Set("Authorization", "Bearer "+token)
			resp, err := d.client.Do(req)
			if err != nil {
				results <- err
				return
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			if err == nil && !bytes.Contains(data, []byte(fmt.Sprintf(`"payload_bytes":%d,`, i+1))) {
				err = fmt.Errorf("caller %d got %s", i, data)
			}
			results <- err
		}()
	}
	for range cap(results) {
		require.NoError(t, <-results)
	}
}

func TestSameKeyThroughBothEntriesStartsOnce(t *testing.T) {
	starts := make(chan fakes.TaskStart, 100)
	d := startDeployment(t, func(o *local.Options) {
		for i := range o.Upstreams {
			o.Upstreams[i].OnStart = func(s fakes.TaskStart) { starts <- s }
		}
	})
	for _, key := range []string{d.ticket(0), d.ticket(1), uuid.Must(uuid.NewV7()).String()} {
		var bodies []string
		for i := range 4 {
			r := d.call(i%2, http.MethodPost, "/v1/requests/assignment", map[string]string{"Idempotency-Key": key}, strings.NewReader("x"))
			require.Equal(t, 200, r.status, r.body)
			bodies = append(bodies, r.body)
		}
		require.Equal(t, []string{bodies[0], bodies[0], bodies[0], bodies[0]}, bodies)
		require.Len(t, starts, 1, "key %s", key)
		<-starts
	}
}

func TestJobEndToEnd(t *testing.T) {
	d := startDeployment(t, nil)
	id := d.ticket(1)
	body := fmt.Sprintf(`{"id":%q,"kind":"assignment","tasks":[{"payload":1},{"payload":22},{"payload":333}]}`, id)
	r := d.call(0, http.MethodPost, "/v1/jobs", nil, strings.NewReader(body))
	require.Equal(t, 200, r.status, r.body)
	var out struct {
		State   string
		Results []struct {
			Payload struct {
				PayloadBytes int `json:"payload_bytes"`
			}
		}
	}
	require.NoError(t, json.Unmarshal([]byte(r.body), &out))
	require.Equal(t, "complete", out.State)
	require.Len(t, out.Results, 3)
	for i, result := range out.Results {
		require.Equal(t, i+1, result.Payload.PayloadBytes, "results are in the order of the tasks")
	}
	got := d.call(0, http.MethodGet, "/v1/jobs/"+id, nil, nil)
	require.Equal(t, r.body, got.body)
}

func TestEntriesServeRequestsWhileLogIsDown(t *testing.T) {
	d := startDeployment(t, nil)
	d.Log.SetFault(fakes.LogFault{Down: true})
	r := d.post("assignment", map[string]string{"Idempotency-Key": d.ticket(0)}, "x")
	require.Equal(t, 200, r.status, r.body)
	newEntry, err := d.AddEntry()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		req, err := http.NewRequest("POST", "http://"+newEntry.Addresses.Callers+"/v1/requests/availability", strings.NewReader("x"))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := d.client.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	}, 20*time.Second, 50*time.Millisecond, "an entry started while the log is down receives the configuration over its links")
}

func TestEntryPartitionedFromAgentsRejectsAndRecovers(t *testing.T) {
	d := startDeployment(t, func(o *local.Options) { o.Relayed = true })
	ctx := context.Background()
	d.Entries[0].Relay.SetBlocked(ctx, true)
	require.Eventually(t, func() bool {
		r := d.post("availability", map[string]string{"Request-Timeout": "500"}, "x")
		return r.problem.Type == "urn:turmericbarrow:problem:no_upstream" && r.problem.Ran == "no"
	}, 20*time.Second, 50*time.Millisecond)
	other := d.call(1, http.MethodPost, "/v1/requests/availability", nil, strings.NewReader("x"))
	require.Equal(t, 200, other.status, "the entry that is not partitioned still serves")
	d.Entries[0].Relay.SetBlocked(ctx, false)
	require.Eventually(t, func() bool { return d.post("availability", nil, "x").status == 200 }, 20*time.Second, 50*time.Millisecond)
}

func TestEntryStartsAfterRetentionDeletedRecords(t *testing.T) {
	d := startDeployment(t, func(o *local.Options) {
		o.RetentionRecords = 6
		o.RetentionMS = 8000 // one snapshot per second
	})
	client := d.OperatorClient(0)
	defer client.Close()
	for i := range 10 {
		text := strings.Replace(string(d.contract), "queue: 600", fmt.Sprintf("queue: %d", 600+i), 1)
		config, err := client.Config(context.Background())
		require.NoError(t, err)
		v, err := client.Amend(context.Background(), contr.Amendment{Base: config.Documents[0].Version, Name: config.Documents[0].Name, Text: text})
		require.NoError(t, err)
		require.True(t, v.Accepted, v.Reason)
	}
	d.Entries[0].Stop() // its state is lost
	newEntry, err := d.AddEntry()
	require.NoError(t, err)
	d.Entries = d.Entries[1:]
	require.Eventually(t, func() bool {
		c := d.OperatorClient(1)
		defer c.Close()
		st, err := c.State(context.Background())
		return err == nil && st.Grants.Initialized && st.Grants.HeldRanges > 0 && st.Self.Name == newEntry.Name && st.ConfigVersion >= 10
	}, 30*time.Second, 100*time.Millisecond)
	r := d.call(1, http.MethodPost, "/v1/requests/assignment", map[string]string{"Idempotency-Key": d.ticket(1)}, strings.NewReader("x"))
	require.Equal(t, 200, r.status, r.body)
}

func TestFullPartitionCausesNoDuplicateExecution(t *testing.T) {
	starts := make(chan fakes.TaskStart, 100)
	d := startDeployment(t, func(o *local.Options) {
		o.Relayed = true
		for i := range o.Upstreams {
			o.Upstreams[i].ServiceTimesMS = map[string]float64{"availability": 10, "assignment": 1500}
			o.Upstreams[i].OnStart = func(s fakes.TaskStart) { starts <- s }
		}
	})
	ctx := context.Background()
	key := map[string]string{"Idempotency-Key": d.ticket(0)}
	first := make(chan response, 1)
	go func() { first <- d.post("assignment", key, "x") }()
	started := <-starts
	for _, e := range d.Entries {
		e.Relay.SetBlocked(ctx, true)
	}
	require.Equal(t, "maybe", (<-first).problem.Ran)
	for _, e := range d.Entries {
		e.Relay.SetBlocked(ctx, false)
	}
	for i := range d.Entries {
		require.Eventually(t, func() bool {
			return d.call(i, http.MethodPost, "/v1/requests/availability", nil, strings.NewReader("x")).status == 200
		}, 30*time.Second, 50*time.Millisecond)
		again := d.call(i, http.MethodPost, "/v1/requests/assignment", key, strings.NewReader("x"))
		require.NotEqual(t, "no", again.problem.Ran, again.body)
	}
	for len(starts) > 0 {
		if s := <-starts; s.Kind == "assignment" {
			require.Fail(t, "started twice", "%v, then %v", started, s)
		}
	}
}
