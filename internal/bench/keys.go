package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
)

// submission is a non-idempotent request or job that is sent several times.
type submission struct {
	key string
	// payload is the payload of all its tasks. No other submission has the same.
	payload string
	job     bool
	tasks   int
	body    []byte
}

// sendResult is the outcome of sending a submission once.
type sendResult struct {
	submission *submission
	sentAt     time.Time
	response   response
	err        error
}

const (
	duplicatesDuration   = 8 * time.Second
	submissionsPerSecond = 40
	copies               = 3
	jobTasks             = 5
	maxSecondCopyDelay   = 300 * time.Millisecond
	maxThirdCopyDelay    = 2 * time.Second
	duplicatesTimeout    = 6 * time.Second
)

// duplicates checks for duplicate executions. It sends every submission three times through
// two entries, while an entry and an agent are killed and the log fails.
func duplicates(ctx context.Context, o Options) ([]Figure, error) {
	rec, localOptions := recordingOptions(o)
	var results []sendResult
	err := withDeployment(ctx, o, localOptions, func(d *local.Deployment, g *generator) error {
		entries := callerURLs(d)
		g.entries = func() []string { return entries }
		done := make(chan error, 1)
		go func() { done <- injectFaults(d) }()
		results = sendCopies(ctx, g, entries)
		return <-done
	})
	if err != nil {
		return nil, err
	}
	starts := rec.takeAll()
	answered := 0
	for _, r := range results {
		if r.err == nil && r.response.status == http.StatusOK {
			answered++
		}
	}
	o.progress(fmt.Sprintf("  %d copies sent, %d answered completely, %d starts", len(results), answered, len(starts)))
	return []Figure{
		atMost("starts_beyond_one", float64(extraStarts(starts)), 0),
		atMost("partial_answers", float64(countPartial(results)), 0),
		atMost("false_not_run", float64(falseNotRun(results, starts)), 0),
		unbounded("sendings", float64(len(results))),
		unbounded("answered_whole", float64(answered)),
	}, nil
}

// injectFaults makes the log lose replies, kills an entry, and then kills an agent while the
// log is down. The entry and the agent are replaced, but callers keep sending to the address
// of the killed entry.
func injectFaults(d *local.Deployment) error {
	time.Sleep(duplicatesDuration / 5)
	d.Log.SetFault(fakes.LogFault{LostReplies: 0.3, Delay: 50})
	time.Sleep(duplicatesDuration / 5)
	d.Entries[0].Stop()
	if _, err := d.AddEntry(); err != nil {
		return err
	}
	time.Sleep(duplicatesDuration / 5)
	d.Agents[2].Stop()
	d.Log.SetFault(fakes.LogFault{Down: true})
	if _, err := d.AddAgent(d.UpstreamSettings(2)); err != nil {
		return err
	}
	time.Sleep(duplicatesDuration / 5)
	d.Log.SetFault(fakes.LogFault{})
	return nil
}

// sendCopies sends several copies of each submission through the entries in turn, and returns
// the results of all copies. New submissions start at a constant rate.
func sendCopies(ctx context.Context, g *generator, entries []string) []sendResult {
	results := make(chan sendResult, maxInFlight)
	n := int(duplicatesDuration.Seconds() * submissionsPerSecond)
	began := time.Now()
	sent := 0
	for i := range n {
		time.Sleep(time.Until(began.Add(duplicatesDuration * time.Duration(i) / time.Duration(n))))
		sub := g.newSubmission(ctx, entries, i)
		for c := range copies {
			sent++
			go g.sendCopy(ctx, sub, entries[c%len(entries)], g.copyDelay(c), results)
		}
	}
	var out []sendResult
	for range sent {
		out = append(out, <-results)
	}
	return out
}

// copyDelay returns the delay of the copy of number c, which is random except for the first.
func (g *generator) copyDelay(c int) time.Duration {
	switch c {
	case 0:
		return 0
	case 1:
		return rand.N(maxSecondCopyDelay)
	default:
		return rand.N(maxThirdCopyDelay)
	}
}

// newSubmission returns the submission of number i. Its key is a ticket if i is even and
// an entry issues one, otherwise a plain key. Every fourth submission is a job.
func (g *generator) newSubmission(ctx context.Context, entries []string, i int) *submission {
	s := &submission{key: uuid.Must(uuid.NewV7()).String(), tasks: 1, job: i%4 == 3}
	if i%2 == 0 {
		if t, err := fetchTicket(ctx, g.client, entries[i/2%len(entries)], tokenOf(customerEvents)); err == nil {
			s.key = t
		}
	}
	s.payload = fmt.Sprint(i)
	s.body = []byte(s.payload)
	if s.job {
		s.tasks = jobTasks
		payloads := strings.TrimSuffix(strings.Repeat(fmt.Sprintf(`{"payload":%d},`, i), jobTasks), ",")
		s.body = []byte(fmt.Sprintf(`{"id":%q,"kind":"assign","tasks":[%s],"timeout_ms":5000}`, s.key, payloads))
	}
	return s
}

func (g *generator) sendCopy(ctx context.Context, s *submission, entry string, delay time.Duration, results chan<- sendResult) {
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(ctx, duplicatesTimeout)
	defer cancel()
	r := sendResult{submission: s, sentAt: time.Now()}
	h := http.Header{}
	url := entry + "/v1/jobs"
	if !s.job {
		h.Set("Idempotency-Key", s.key)
		h.Set("Request-Timeout", "5000")
		url = entry + "/v1/requests/assign"
	}
	r.response, r.err = send(ctx, g.client, http.MethodPost, url, tokenOf(customerEvents), h, s.body)
	results <- r
}

// extraStarts counts, for each non-idempotent task, the starts after the first. It identifies
// tasks by payload and not by the key that the upstream received, because a second start
// under another key is a duplicate execution too. Idempotent kinds are not counted, as they
// may be hedged and retried.
func extraStarts(starts []timedStart) int {
	seen := map[string]int{}
	extra := 0
	for _, s := range starts {
		if s.Kind != "assign" {
			continue
		}
		task := fmt.Sprintf("%s/%d", s.Payload, s.Index)
		seen[task]++
		if seen[task] > 1 {
			extra++
		}
	}
	return extra
}

// countPartial counts successful answers that are incomplete, and those that differ from the
// previous answer for the same key.
func countPartial(results []sendResult) int {
	n := 0
	lastBody := map[string]string{}
	for _, r := range results {
		if r.err != nil || r.response.status != http.StatusOK {
			continue
		}
		if !isComplete(r) {
			n++
		}
		if previous, ok := lastBody[r.submission.key]; ok && previous != string(r.response.body) {
			n++
		}
		lastBody[r.submission.key] = string(r.response.body)
	}
	return n
}

// isComplete reports whether a successful answer holds the results of all tasks.
func isComplete(r sendResult) bool {
	if !r.submission.job {
		return json.Valid(r.response.body)
	}
	var out struct {
		State   string            `json:"state"`
		Results []json.RawMessage `json:"results"`
	}
	return json.Unmarshal(r.response.body, &out) == nil && out.State == "complete" && len(out.Results) == r.submission.tasks
}

// falseNotRun counts refusals that wrongly state that nothing has run: the submission had
// started before the refused copy was sent, or it started although all its copies were
// refused this way, for which the last of these refusals counts. A refusal that meets both
// conditions counts twice.
func falseNotRun(results []sendResult, starts []timedStart) int {
	firstStart := map[string]time.Time{}
	for _, s := range starts {
		if at, ok := firstStart[s.Payload]; !ok || s.at.Before(at) {
			firstStart[s.Payload] = s.at
		}
	}
	refusals := map[string]int{}
	n := 0
	for _, r := range results {
		if r.err != nil || r.response.ran != "no" {
			continue
		}
		refusals[r.submission.key]++
		at, started := firstStart[r.submission.payload]
		if started && at.Before(r.sentAt) {
			n++
		}
		if started && refusals[r.submission.key] == copies {
			n++
		}
	}
	return n
}

// Bound and parameters of the log outage.
const (
	outageBefore     = 2 * time.Second
	outageAfter      = 9 * time.Second
	boundKept        = 0.99
	plainKeyInterval = 200 * time.Millisecond
)

// logDown takes the log down for some time. Idempotent requests and those with tickets must
// continue. Requests with plain keys must be refused with a statement whether anything has run,
// so that they can be sent again.
func logDown(ctx context.Context, o Options) ([]Figure, error) {
	rec, localOptions := recordingOptions(o)
	var figures []Figure
	err := withDeployment(ctx, o, localOptions, func(d *local.Deployment, g *generator) error {
		g.run(ctx, warmUp, mixedSources(faultLoad))
		before := g.run(ctx, time.Duration(o.Seconds)*time.Second, mixedSources(faultLoad))
		outage := time.Duration(o.OutageSeconds) * time.Second
		plainResults := make(chan plainResult, 1)
		go func() { plainResults <- sendPlainKeys(ctx, g, callerURLs(d), outage+outageAfter) }()
		during, err := runWithDisruption(ctx, g, outage, mixedSources(faultLoad), func() error {
			d.Log.SetFault(fakes.LogFault{Down: true})
			return nil
		})
		if err != nil {
			return err
		}
		d.Log.SetFault(fakes.LogFault{})
		p := <-plainResults
		o.progress("  " + summarizeOutcomes(during))
		o.progress(fmt.Sprintf("  plain keys: %+v", p))
		figures = []Figure{
			atLeast("kept", fraction(during, anySample, sample.withinDeadline)/fraction(before, anySample, sample.withinDeadline), boundKept),
			atMost("plain_keys_unclear", float64(p.unclear), 0),
			atMost("plain_keys_unsettled", float64(p.unsettled), 0),
			atMost("starts_beyond_one", float64(extraStarts(rec.takeAll())), 0),
			unbounded("plain_keys_refused_in_outage", float64(p.refused)),
			unbounded("plain_keys_answered", float64(p.answered)),
		}
		return nil
	})
	return figures, err
}

// plainResult counts the outcomes of non-idempotent requests with plain keys. A request
// counts as refused if at least one of its copies met a problem that a later copy may resolve,
// as unclear if a copy received no response or no statement whether anything has run, and as
// unsettled if it had no final answer when the time was up. The progress output prints the
// counts under the names of the fields.
type plainResult struct {
	sent, answered, refused, unclear, unsettled int
}

// sendPlainKeys sends a request with a new plain key every plainKeyInterval, and retries
// each until it is answered or permanently refused.
func sendPlainKeys(ctx context.Context, g *generator, entries []string, duration time.Duration) plainResult {
	out := plainResult{}
	results := make(chan plainResult, maxInFlight)
	until := time.Now().Add(duration)
	for time.Now().Before(until.Add(-outageAfter / 2)) {
		out.sent++
		go g.resolvePlainKey(ctx, entries, until, results)
		time.Sleep(plainKeyInterval)
	}
	for range out.sent {
		r := <-results
		out.answered += r.answered
		out.refused += r.refused
		out.unclear += r.unclear
		out.unsettled += r.unsettled
	}
	return out
}

// resolvePlainKey sends a request with one plain key until its outcome is final or unclear,
// or the time is up.
func (g *generator) resolvePlainKey(ctx context.Context, entries []string, until time.Time, results chan<- plainResult) {
	out := plainResult{}
	defer func() { results <- out }()
	s := &submission{key: uuid.Must(uuid.NewV7()).String(), tasks: 1}
	s.body = []byte(s.key)
	responses := make(chan sendResult, 1)
	for i := 0; time.Now().Before(until); i++ {
		go g.sendCopy(ctx, s, entries[i%len(entries)], 0, responses)
		r := <-responses
		switch {
		case r.err != nil:
			out.unclear++
			return
		case r.response.status == http.StatusOK:
			out.answered++
			return
		case r.response.ran == "":
			out.unclear++
			return
		case r.response.problem == "no_grant" && r.response.ran == "no", r.response.problem == "key_too_old":
			return // permanently refused
		}
		out.refused = 1
		time.Sleep(plainKeyInterval)
	}
	out.unsettled++
}
