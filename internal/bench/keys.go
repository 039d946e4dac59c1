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

// submission is one non-idempotent request or job that is sent several times.
type submission struct {
	key string
	// mark is the payload of its tasks, which no other submission has.
	mark  string
	job   bool
	tasks int
	body  []byte
}

// attempt is one sending of a submission.
type attempt struct {
	sub    *submission
	sentAt time.Time
	got    received
	failed error
}

const (
	doublesSpan    = 8 * time.Second
	submissionsPer = 40 // a second
	copies         = 3
	jobTasks       = 5
	maxSecondCopy  = 300 * time.Millisecond
	maxThirdCopy   = 2 * time.Second
	doublesTimeout = 6 * time.Second
)

// doubles sends every submission three times through two entries, while agents,
// entries and the log are cut mid-way.
func doubles(ctx context.Context, o Options) ([]Figure, error) {
	rec, lo := recorded(o)
	var attempts []attempt
	err := with(ctx, o, lo, func(s *local.Stack, g *generator) error {
		entries := callers(s)
		g.entries = func() []string { return entries }
		done := make(chan error, 1)
		go func() { done <- doublesFaults(s) }()
		attempts = sendCopies(ctx, g, entries)
		return <-done
	})
	if err != nil {
		return nil, err
	}
	starts := rec.taken()
	answered := 0
	for _, a := range attempts {
		if a.failed == nil && a.got.status == http.StatusOK {
			answered++
		}
	}
	o.progress(fmt.Sprintf("  %d sendings, %d answered whole, %d starts", len(attempts), answered, len(starts)))
	return []Figure{
		atMost("starts_beyond_one", float64(beyondOne(starts)), 0),
		atMost("partial_answers", float64(partial(attempts)), 0),
		atMost("false_not_run", float64(falseNotRun(attempts, starts)), 0),
		plain("sendings", float64(len(attempts))),
		plain("answered_whole", float64(answered)),
	}, nil
}

// doublesFaults kills an entry, an agent and the log in turn. The entry's place is
// taken by a new one; its address stays in the rotation of callers.
func doublesFaults(s *local.Stack) error {
	time.Sleep(doublesSpan / 5)
	s.Log.SetFault(fakes.LogFault{LostReplies: 0.3, Delay: 50})
	time.Sleep(doublesSpan / 5)
	s.Entries[0].Stop()
	if _, err := s.AddEntry(); err != nil {
		return err
	}
	time.Sleep(doublesSpan / 5)
	s.Agents[2].Stop()
	s.Log.SetFault(fakes.LogFault{Down: true})
	if _, err := s.AddAgent(s.UpstreamSettings(2)); err != nil {
		return err
	}
	time.Sleep(doublesSpan / 5)
	s.Log.SetFault(fakes.LogFault{})
	return nil
}

func sendCopies(ctx context.Context, g *generator, entries []string) []attempt {
	results := make(chan attempt, maxInFlight)
	n := int(doublesSpan.Seconds() * submissionsPer)
	began := time.Now()
	sent := 0
	for i := range n {
		time.Sleep(time.Until(began.Add(doublesSpan * time.Duration(i) / time.Duration(n))))
		sub := g.submission(ctx, entries, i)
		for c := range copies {
			sent++
			go g.sendCopy(ctx, sub, entries[c%len(entries)], g.copyDelay(c), results)
		}
	}
	var out []attempt
	for range sent {
		out = append(out, <-results)
	}
	return out
}

func (g *generator) copyDelay(c int) time.Duration {
	switch c {
	case 0:
		return 0
	case 1:
		return rand.N(maxSecondCopy)
	default:
		return rand.N(maxThirdCopy)
	}
}

// submission makes one under a ticket or, every other time, under a plain key.
func (g *generator) submission(ctx context.Context, entries []string, i int) *submission {
	s := &submission{key: uuid.Must(uuid.NewV7()).String(), tasks: 1, job: i%4 == 3}
	if i%2 == 0 {
		if t, err := ticket(ctx, g.client, entries[i/2%len(entries)], tokenOf(customerEvents)); err == nil {
			s.key = t
		}
	}
	s.mark = fmt.Sprint(i)
	s.body = []byte(s.mark)
	if s.job {
		s.tasks = jobTasks
		payloads := strings.TrimSuffix(strings.Repeat(fmt.Sprintf(`{"payload":%d},`, i), jobTasks), ",")
		s.body = []byte(fmt.Sprintf(`{"id":%q,"kind":"assign","tasks":[%s],"timeout_ms":5000}`, s.key, payloads))
	}
	return s
}

func (g *generator) sendCopy(ctx context.Context, s *submission, entry string, delay time.Duration, results chan<- attempt) {
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(ctx, doublesTimeout)
	defer cancel()
	a := attempt{sub: s, sentAt: time.Now()}
	h := http.Header{}
	url := entry + "/v1/jobs"
	if !s.job {
		h.Set("Idempotency-Key", s.key)
		h.Set("Request-Timeout", "5000")
		url = entry + "/v1/requests/assign"
	}
	a.got, a.failed = send(ctx, g.client, http.MethodPost, url, tokenOf(customerEvents), h, s.body)
	results <- a
}

// beyondOne counts starts of a non-idempotent task after its first, whatever key the
// upstream was told: a start under another key would be the fault itself. Idempotent
// kinds may be hedged and tried again.
func beyondOne(starts []timedStart) int {
	seen := map[string]int{}
	beyond := 0
	for _, s := range starts {
		if s.Kind != "assign" {
			continue
		}
		task := fmt.Sprintf("%s/%d", s.Payload, s.Index)
		seen[task]++
		if seen[task] > 1 {
			beyond++
		}
	}
	return beyond
}

// partial counts answers that are not whole, and answers under one key that differ.
func partial(attempts []attempt) int {
	n := 0
	first := map[string]string{}
	for _, a := range attempts {
		if a.failed != nil || a.got.status != http.StatusOK {
			continue
		}
		if !whole(a) {
			n++
		}
		if before, ok := first[a.sub.key]; ok && before != string(a.got.body) {
			n++
		}
		first[a.sub.key] = string(a.got.body)
	}
	return n
}

func whole(a attempt) bool {
	if !a.sub.job {
		return json.Valid(a.got.body)
	}
	var out struct {
		State   string            `json:"state"`
		Results []json.RawMessage `json:"results"`
	}
	return json.Unmarshal(a.got.body, &out) == nil && out.State == "complete" && len(out.Results) == a.sub.tasks
}

// falseNotRun counts refusals that said "not run" of a key that had started before
// the refused sending, or that started though every sending was refused so.
func falseNotRun(attempts []attempt, starts []timedStart) int {
	began := map[string]time.Time{}
	for _, s := range starts {
		if at, ok := began[s.Payload]; !ok || s.at.Before(at) {
			began[s.Payload] = s.at
		}
	}
	refused := map[string]int{}
	n := 0
	for _, a := range attempts {
		if a.failed != nil || a.got.ran != "no" {
			continue
		}
		refused[a.sub.key]++
		at, started := began[a.sub.mark]
		if started && at.Before(a.sentAt) {
			n++
		}
		if started && refused[a.sub.key] == copies {
			n++
		}
	}
	return n
}

// The shapes of an outage of the log.
const (
	outageBefore = 2 * time.Second
	outageAfter  = 9 * time.Second
	boundKept    = 0.99
	retryPlain   = 200 * time.Millisecond
)

// logDown takes the log away for a while: idempotent and ticketed work goes on, and
// plain keys are refused clearly and can be sent again.
func logDown(ctx context.Context, o Options) ([]Figure, error) {
	rec, lo := recorded(o)
	var figures []Figure
	err := with(ctx, o, lo, func(s *local.Stack, g *generator) error {
		g.run(ctx, warmUp, mixed(faultLoad))
		before := g.run(ctx, time.Duration(o.Seconds)*time.Second, mixed(faultLoad))
		outage := time.Duration(o.OutageSeconds) * time.Second
		plains := make(chan plainResult, 1)
		go func() { plains <- plainKeys(ctx, g, callers(s), outage+outageAfter) }()
		during, err := loaded(ctx, g, outage, mixed(faultLoad), func() error {
			s.Log.SetFault(fakes.LogFault{Down: true})
			return nil
		})
		if err != nil {
			return err
		}
		s.Log.SetFault(fakes.LogFault{})
		p := <-plains
		o.progress("  " + outcomes(during))
		o.progress(fmt.Sprintf("  plain keys: %+v", p))
		figures = []Figure{
			atLeast("kept", part(during, everything, sample.inDeadline)/part(before, everything, sample.inDeadline), boundKept),
			atMost("plain_keys_unclear", float64(p.unclear), 0),
			atMost("plain_keys_unsettled", float64(p.unsettled), 0),
			atMost("starts_beyond_one", float64(beyondOne(rec.taken())), 0),
			plain("plain_keys_refused_in_outage", float64(p.refused)),
			plain("plain_keys_answered", float64(p.answered)),
		}
		return nil
	})
	return figures, err
}

// plainResult is what became of non-idempotent requests under plain keys.
type plainResult struct {
	sent, answered, refused, unclear, unsettled int
}

// plainKeys sends one request under a plain key every now and then, and each again
// until it is answered or refused for good.
func plainKeys(ctx context.Context, g *generator, entries []string, span time.Duration) plainResult {
	out := plainResult{}
	results := make(chan plainResult, maxInFlight)
	until := time.Now().Add(span)
	for time.Now().Before(until.Add(-outageAfter / 2)) {
		out.sent++
		go g.settle(ctx, entries, until, results)
		time.Sleep(retryPlain)
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

// settle sends one key until its end is clear or the time is over.
func (g *generator) settle(ctx context.Context, entries []string, until time.Time, results chan<- plainResult) {
	out := plainResult{}
	defer func() { results <- out }()
	s := &submission{key: uuid.Must(uuid.NewV7()).String(), tasks: 1}
	s.body = []byte(s.key)
	answers := make(chan attempt, 1)
	for i := 0; time.Now().Before(until); i++ {
		go g.sendCopy(ctx, s, entries[i%len(entries)], 0, answers)
		a := <-answers
		switch {
		case a.failed != nil:
			out.unclear++
			return
		case a.got.status == http.StatusOK:
			out.answered++
			return
		case a.got.ran == "":
			out.unclear++
			return
		case a.got.problem == "no_grant" && a.got.ran == "no", a.got.problem == "key_too_old":
			return // refused for good
		}
		out.refused = 1
		time.Sleep(retryPlain)
	}
	out.unsettled++
}
