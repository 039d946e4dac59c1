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

// deployment is a deployment under test and a caller of it.
type deployment struct {
	*local.Stack
	t        *testing.T
	client   *http.Client
	contract []byte
}

func startDeployment(t *testing.T, change func(*local.Options)) *deployment {
	t.Helper()
	o := sample(t)
	if change != nil {
		change(&o)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s, err := local.Start(ctx, o, slog.New(slog.NewJSONHandler(io.Discard, nil)))
	require.NoError(t, err)
	w := &deployment{Stack: s, t: t, contract: o.Contracts[0], client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(func() {
		s.Close()
		cancel()
		w.client.CloseIdleConnections()
		goleak.VerifyNone(t)
	})
	return w
}

// answer is what came back over HTTP.
type answer struct {
	status  int
	header  http.Header
	body    string
	problem struct {
		Type, Ran, Line string
		Detail          string
	}
}

func (w *deployment) call(entry int, method, path string, header map[string]string, body io.Reader) answer {
	w.t.Helper()
	req, err := http.NewRequest(method, "http://"+w.Entries[entry].Addresses.Callers+path, body)
	require.NoError(w.t, err)
	req.Header.Set("Authorization", "Bearer "+token)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := w.client.Do(req)
	require.NoError(w.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	require.NoError(w.t, err)
	a := answer{status: resp.StatusCode, header: resp.Header, body: string(data)}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		require.NoError(w.t, json.Unmarshal(data, &a.problem))
	}
	return a
}

func (w *deployment) post(kind string, header map[string]string, body string) answer {
	w.t.Helper()
	return w.call(0, http.MethodPost, "/v1/requests/"+kind, header, strings.NewReader(body))
}

func (w *deployment) ticket(entry int) string {
	w.t.Helper()
	a := w.call(entry, http.MethodPost, "/v1/tickets", nil, nil)
	var out struct{ Tickets []string }
	require.NoError(w.t, json.Unmarshal([]byte(a.body), &out), a.body)
	return out.Tickets[0]
}

func TestBadInput(t *testing.T) {
	w := startDeployment(t, nil)
	large := strings.Repeat("x", 2<<20)
	plain := uuid.Must(uuid.NewV7()).String()
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
		{"marked request without key", "POST", "/v1/requests/availability", map[string]string{"Idempotent": "false"}, "x", 400, "malformed"},
		{"broken job", "POST", "/v1/jobs", nil, `{"id":`, 400, "malformed"},
		{"job with an unknown field", "POST", "/v1/jobs", nil, `{"id":"` + plain + `","kind":"availability","tasks":[{"payload":1}],"prio":9}`, 400, "malformed"},
		{"empty job", "POST", "/v1/jobs", nil, `{"id":"` + plain + `","kind":"availability","tasks":[]}`, 400, "malformed"},
		{"unknown job", "GET", "/v1/jobs/" + w.ticket(0), nil, "", 404, "unknown_job"},
		{"bad number of tickets", "POST", "/v1/tickets?count=0", nil, "", 400, "malformed"},
	} {
		a := w.call(0, c.method, c.path, c.header, strings.NewReader(c.body))
		require.Equal(t, c.status, a.status, "%s: %s", c.name, a.body)
		require.Equal(t, "urn:turmericbarrow:problem:"+c.problem, a.problem.Type, c.name)
		require.Equal(t, "no", a.problem.Ran, c.name)
	}
	flood := map[string]string{}
	for i := range 200 {
		flood[fmt.Sprintf("X-Flood-%d", i)] = strings.Repeat("y", 200)
	}
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, w.post("availability", flood, "x").status)
	require.Equal(t, 200, w.post("availability", nil, "x").status, "others are served on")
}

func TestSlowSenderHoldsUpNobody(t *testing.T) {
	w := startDeployment(t, nil)
	c, err := net.Dial("tcp", w.Entries[0].Addresses.Callers)
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/requests/availability HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nhalf", token)
	for range 20 {
		require.Equal(t, 200, w.post("availability", nil, "x").status)
	}
}

func TestUpstreamThatCutsItsAnswer(t *testing.T) {
	w := startDeployment(t, func(o *local.Options) { o.Upstreams = o.Upstreams[:1] })
	w.Agents[0].Upstream.SetBehaviour(fakes.BehaviourTruncate)
	a := w.post("assignment", map[string]string{"Idempotency-Key": w.ticket(0)}, "x")
	require.Equal(t, 502, a.status, a.body)
	require.Equal(t, "yes", a.problem.Ran)
	require.Contains(t, a.problem.Detail, "cut its answer short")
}

func TestAnswerAfterTheTimeoutGoesToNobodyElse(t *testing.T) {
	w := startDeployment(t, func(o *local.Options) {
		o.Upstreams = o.Upstreams[:1]
		o.Upstreams[0].ServiceTimesMS = map[string]float64{"availability": 300, "assignment": 300}
	})
	key := w.ticket(0)
	late := w.post("assignment", map[string]string{"Idempotency-Key": key, "Request-Timeout": "100"}, "late")
	require.Equal(t, 504, late.status, late.body)
	require.Equal(t, "maybe", late.problem.Ran)
	a := w.post("availability", nil, "after")
	require.Equal(t, 200, a.status, a.body)
	require.Contains(t, a.body, `"kind":"availability"`)
}

func TestAnswersThatCrossReachTheirOwnCallers(t *testing.T) {
	w := startDeployment(t, nil)
	ends := make(chan error, 60)
	for i := range cap(ends) {
		go func() {
			body := strings.Repeat("z", i+1)
			req, err := http.NewRequest("POST", "http://"+w.Entries[i%2].Addresses.Callers+"/v1/requests/availability", strings.NewReader(body))
			if err != nil {
				ends <- err
				return
			}
			req.Header.Set("Authorization", "Bearer "+token)
			resp, err := w.client.Do(req)
			if err != nil {
				ends <- err
				return
			}
			defer resp.Body.Close()
			data, err := io.ReadAll(resp.Body)
			if err == nil && !bytes.Contains(data, []byte(fmt.Sprintf(`"payload_bytes":%d,`, i+1))) {
				err = fmt.Errorf("caller %d got %s", i, data)
			}
			ends <- err
		}()
	}
	for range cap(ends) {
		require.NoError(t, <-ends)
	}
}

func TestSameKeyThroughBothEntriesStartsOnce(t *testing.T) {
	starts := make(chan fakes.TaskStart, 100)
	w := startDeployment(t, func(o *local.Options) {
		for i := range o.Upstreams {
			o.Upstreams[i].OnStart = func(s fakes.TaskStart) { starts <- s }
		}
	})
	for _, key := range []string{w.ticket(0), w.ticket(1), uuid.Must(uuid.NewV7()).String()} {
		var bodies []string
		for i := range 4 {
			a := w.call(i%2, http.MethodPost, "/v1/requests/assignment", map[string]string{"Idempotency-Key": key}, strings.NewReader("x"))
			require.Equal(t, 200, a.status, a.body)
			bodies = append(bodies, a.body)
		}
		require.Equal(t, []string{bodies[0], bodies[0], bodies[0], bodies[0]}, bodies)
		require.Len(t, starts, 1, "key %s", key)
		<-starts
	}
}

func TestJobEndToEnd(t *testing.T) {
	w := startDeployment(t, nil)
	id := w.ticket(1)
	body := fmt.Sprintf(`{"id":%q,"kind":"assignment","tasks":[{"payload":1},{"payload":22},{"payload":333}]}`, id)
	a := w.call(0, http.MethodPost, "/v1/jobs", nil, strings.NewReader(body))
	require.Equal(t, 200, a.status, a.body)
	var out struct {
		State   string
		Results []struct {
			Payload struct {
				PayloadBytes int `json:"payload_bytes"`
			}
		}
	}
	require.NoError(t, json.Unmarshal([]byte(a.body), &out))
	require.Equal(t, "complete", out.State)
	require.Len(t, out.Results, 3)
	for i, r := range out.Results {
		require.Equal(t, i+1, r.Payload.PayloadBytes, "results stand in the order of the tasks")
	}
	got := w.call(0, http.MethodGet, "/v1/jobs/"+id, nil, nil)
	require.Equal(t, a.body, got.body)
}

func TestEntryWithoutTheLogServesTickets(t *testing.T) {
	w := startDeployment(t, nil)
	w.Log.SetFault(fakes.LogFault{Down: true})
	a := w.post("assignment", map[string]string{"Idempotency-Key": w.ticket(0)}, "x")
	require.Equal(t, 200, a.status, a.body)
	p, err := w.AddEntry()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		req, err := http.NewRequest("POST", "http://"+p.Addresses.Callers+"/v1/requests/availability", strings.NewReader("x"))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := w.client.Do(req)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	}, 20*time.Second, 50*time.Millisecond, "a late starter gets the configuration over links")
}

func TestEntryCutFromItsAgentsRefusesAndComesBack(t *testing.T) {
	w := startDeployment(t, func(o *local.Options) { o.Relayed = true })
	ctx := context.Background()
	w.Entries[0].Relay.Block(ctx, true)
	require.Eventually(t, func() bool {
		a := w.post("availability", map[string]string{"Request-Timeout": "500"}, "x")
		return a.problem.Type == "urn:turmericbarrow:problem:no_upstream" && a.problem.Ran == "no"
	}, 20*time.Second, 50*time.Millisecond)
	other := w.call(1, http.MethodPost, "/v1/requests/availability", nil, strings.NewReader("x"))
	require.Equal(t, 200, other.status, "the entry that is not cut serves on")
	w.Entries[0].Relay.Block(ctx, false)
	require.Eventually(t, func() bool { return w.post("availability", nil, "x").status == 200 }, 20*time.Second, 50*time.Millisecond)
}

func TestEntryStartsBehindTheLogsRetention(t *testing.T) {
	w := startDeployment(t, func(o *local.Options) {
		o.Retention = 6
		o.RetentionMS = 8000 // a snapshot each second
	})
	op := w.OperatorClient(0)
	defer op.Close()
	for i := range 10 {
		text := strings.Replace(string(w.contract), "queue: 600", fmt.Sprintf("queue: %d", 600+i), 1)
		config, err := op.Config(context.Background())
		require.NoError(t, err)
		v, err := op.Amend(context.Background(), contr.Amendment{Base: config.Documents[0].Version, Name: config.Documents[0].Name, Text: text})
		require.NoError(t, err)
		require.True(t, v.Accepted, v.Reason)
	}
	w.Entries[0].Stop() // what it knew is gone
	late, err := w.AddEntry()
	require.NoError(t, err)
	w.Entries = w.Entries[1:]
	require.Eventually(t, func() bool {
		c := w.OperatorClient(1)
		defer c.Close()
		st, err := c.State(context.Background())
		return err == nil && st.Grants.Initialized && st.Grants.HeldRanges > 0 && st.Self.Name == late.Name && st.ConfigVersion >= 10
	}, 30*time.Second, 100*time.Millisecond)
	a := w.call(1, http.MethodPost, "/v1/requests/assignment", map[string]string{"Idempotency-Key": w.ticket(1)}, strings.NewReader("x"))
	require.Equal(t, 200, a.status, a.body)
}

func TestEverybodyCutOffAndJoinedAgainStartsNothingTwice(t *testing.T) {
	starts := make(chan fakes.TaskStart, 100)
	w := startDeployment(t, func(o *local.Options) {
		o.Relayed = true
		for i := range o.Upstreams {
			o.Upstreams[i].ServiceTimesMS = map[string]float64{"availability": 10, "assignment": 1500}
			o.Upstreams[i].OnStart = func(s fakes.TaskStart) { starts <- s }
		}
	})
	ctx := context.Background()
	key := map[string]string{"Idempotency-Key": w.ticket(0)}
	first := make(chan answer, 1)
	go func() { first <- w.post("assignment", key, "x") }()
	started := <-starts
	for _, e := range w.Entries {
		e.Relay.Block(ctx, true)
	}
	require.Equal(t, "maybe", (<-first).problem.Ran)
	for _, e := range w.Entries {
		e.Relay.Block(ctx, false)
	}
	for i := range w.Entries {
		require.Eventually(t, func() bool {
			return w.call(i, http.MethodPost, "/v1/requests/availability", nil, strings.NewReader("x")).status == 200
		}, 30*time.Second, 50*time.Millisecond)
		again := w.call(i, http.MethodPost, "/v1/requests/assignment", key, strings.NewReader("x"))
		require.NotEqual(t, "no", again.problem.Ran, again.body)
	}
	for len(starts) > 0 {
		if s := <-starts; s.Kind == "assignment" {
			require.Fail(t, "started twice", "%v, then %v", started, s)
		}
	}
}
