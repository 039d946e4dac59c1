package grant_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/plog"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// The same cases on every run.
func init() { flag.Set("rapid.seed", "1") }

func TestKeys(t *testing.T) {
	now := clock.New().Now()
	k, err := grant.ParseKey(uuid.Must(uuid.NewV7()).String())
	require.NoError(t, err)
	require.InDelta(t, float64(now), float64(k.Time), 2000)
	require.Empty(t, k.Incarnation)

	k, err = grant.ParseKey(grant.NewTicket("abc", 1234567))
	require.NoError(t, err)
	require.Equal(t, "abc", k.Incarnation)
	require.Equal(t, clock.Millis(1234567), k.Time)

	for _, bad := range []string{"", "x", uuid.NewString(), "t1.a.b", "t1..x.y", "t1.a.-5.y", "t1.a.!.y"} {
		_, err := grant.ParseKey(bad)
		require.ErrorIs(t, err, grant.ErrMalformedKey, bad)
	}
}

// record is a record of the simulated log: a claim or a snapshot.
type record struct {
	incarnation string
	claims      []grant.Claim
	snapshot    *grant.Snapshot
}

// process is one entry that reads the log at its own pace.
type process struct {
	incarnation string
	ledger      *grant.Ledger
	replay      plog.Replay
	started     map[string]bool
}

// world drives the real ledger and replay through the events of model/grant.pml.
type world struct {
	records   []record
	first     int
	inFlight  []record
	processes []*process
	next      int
	starts    map[string]int
	saidNo    map[string]bool
	now       clock.Millis
	ranges    []grant.Range
}

func (w *world) spawn() *process {
	w.next++
	return &process{incarnation: fmt.Sprintf("inc%d", w.next), ledger: grant.NewLedger(), started: map[string]bool{}}
}

func (w *world) page(from int64, n int) plog.Page {
	p := plog.Page{First: int64(w.first), Next: max(from, int64(w.first))}
	for i := int(p.Next); i < len(w.records) && len(p.Records) < n; i++ {
		p.Records = append(p.Records, plog.Record{Offset: int64(i)})
		p.Next = int64(i) + 1
	}
	return p
}

// write puts a record on the log at once, or on its way.
func (w *world) write(t *rapid.T, r record) {
	if rapid.Bool().Draw(t, "at once") {
		w.records = append(w.records, r)
		return
	}
	w.inFlight = append(w.inFlight, r)
}

func (w *world) covers(r plog.Record) (int64, bool) {
	s := w.records[r.Offset].snapshot
	if s == nil {
		return 0, false
	}
	return s.Covers, true
}

func (w *world) read(p *process, n int) {
	step := p.replay.Add(w.page(p.replay.Next, n), w.covers)
	if step.Lost {
		p.ledger.Initialized = false
	}
	if step.Begin {
		p.ledger.InitializeFromStart()
	}
	if step.Restore != nil {
		p.ledger.Restore(*w.records[step.Restore.Offset].snapshot, p.replay.Need()+1)
	}
	for _, r := range step.Apply {
		if rec := w.records[r.Offset]; rec.snapshot == nil {
			p.ledger.Apply(r.Offset, rec.incarnation, rec.claims)
		}
	}
}

// submit lets a process start a key or say that it never runs, where it may.
func (w *world) submit(t *rapid.T, p *process, r grant.Range, at clock.Millis) {
	key := fmt.Sprintf("%d@%d", r, at)
	standing, owner := p.ledger.Owner(r, at)
	switch {
	case standing == grant.OwnershipHeld && owner == p.incarnation && !p.started[key]:
		p.started[key] = true
		w.starts[key]++
		require.LessOrEqual(t, w.starts[key], 1, "key %s started twice", key)
		require.False(t, w.saidNo[key], "key %s started after it was refused for good", key)
	case standing == grant.OwnershipGap:
		w.saidNo[key] = true
		require.Zero(t, w.starts[key], "key %s had started", key)
	}
}

func TestLedgerAgainstTheModelsEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{starts: map[string]int{}, saidNo: map[string]bool{}, now: 100_000, ranges: []grant.Range{3, 7}}
		w.processes = []*process{w.spawn(), w.spawn(), w.spawn()}
		t.Repeat(map[string]func(*rapid.T){
			"read":     func(t *rapid.T) { w.read(w.pick(t), rapid.IntRange(1, 4).Draw(t, "records")) },
			"claim":    w.claim,
			"snapshot": w.snapshot,
			"land":     w.land,
			"lose":     w.lose,
			"age":      w.age,
			"crash":    w.crash,
			"submit":   w.submitAll,
			"forget": func(t *rapid.T) {
				w.pick(t).ledger.Forget(w.now - clock.Millis(rapid.IntRange(0, 20).Draw(t, "window")))
			},
		})
	})
}

func (w *world) pick(t *rapid.T) *process {
	return w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")]
}

func (w *world) claim(t *rapid.T) {
	p := w.pick(t)
	if !p.ledger.Initialized {
		t.Skip("not based")
	}
	w.now += clock.Millis(rapid.IntRange(0, 3).Draw(t, "tick"))
	rs := w.ranges[:rapid.IntRange(1, 2).Draw(t, "ranges")]
	claims := p.ledger.Propose(rs, w.now, w.now+clock.Millis(rapid.IntRange(1, 6).Draw(t, "horizon")))
	w.write(t, record{incarnation: p.incarnation, claims: claims})
}

func (w *world) snapshot(t *rapid.T) {
	p := w.pick(t)
	if !p.ledger.Initialized || p.ledger.Applied < 0 {
		t.Skip("not based")
	}
	s := p.ledger.Snapshot()
	s.Ends = append([]clock.Millis(nil), s.Ends...)
	s.KnownFrom = append([]clock.Millis(nil), s.KnownFrom...)
	w.write(t, record{snapshot: &s})
}

func (w *world) land(t *rapid.T) {
	if len(w.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "append")
	w.records = append(w.records, w.inFlight[i])
	w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
}

func (w *world) lose(t *rapid.T) {
	if len(w.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	w.inFlight = w.inFlight[1:]
}

// age lets the oldest record go. A log that ages faster than snapshots come leaves
// nobody who may claim.
func (w *world) age(t *rapid.T) {
	if w.first < len(w.records) && rapid.IntRange(0, 3).Draw(t, "ages") == 0 {
		w.first++
	}
}

func (w *world) crash(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "crashes") > 0 {
		t.Skip("stays up")
	}
	w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(t, "process")] = w.spawn()
}

func (w *world) submitAll(t *rapid.T) {
	p := w.pick(t)
	for at := w.now - 8; at <= w.now+8; at++ {
		w.submit(t, p, w.ranges[0], at)
		w.submit(t, p, w.ranges[1], at)
	}
}

func TestTableNeverForgetsAboveItsFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := grant.NewTable(grant.TableLimits{Window: 50, MaxKeys: 8, MaxAnswerBytes: 30})
		known := map[string]clock.Millis{}
		floor := clock.Millis(0)
		for i := range 100 {
			now := clock.Millis(1000 + i)
			at := now - clock.Millis(rapid.IntRange(0, 60).Draw(t, "age"))
			id := grant.SubmissionID{Customer: "c", Key: fmt.Sprint(i)}
			if !table.TooOld(at) {
				table.Add(id, at, 1)
				known[id.Key] = at
				table.Finish(id, reply.Answer{Results: []reply.Result{{Body: make([]byte, rapid.IntRange(0, 10).Draw(t, "size"))}}})
			}
			table.Expire(now)
			require.GreaterOrEqual(t, table.Floor, floor)
			floor = table.Floor
			require.LessOrEqual(t, table.Len(), 8)
			require.LessOrEqual(t, table.AnswerBytes, 30)
			for key, at := range known {
				if !table.TooOld(at) {
					require.NotNil(t, table.Get(grant.SubmissionID{Customer: "c", Key: key}), "key %s of %d, floor %d", key, at, table.Floor)
				}
			}
		}
	})
}

func TestPreferredMovesFewRanges(t *testing.T) {
	before := []string{"a", "b", "c", "d"}
	moved := 0
	for r := grant.Range(0); r < grant.RangeCount; r++ {
		was, is := grant.Preferred(r, before), grant.Preferred(r, before[:3])
		if was != is {
			require.Equal(t, "d", was)
			moved++
		}
	}
	require.InDelta(t, grant.RangeCount/4, moved, grant.RangeCount/8)
}

func FuzzParseKey(f *testing.F) {
	f.Add(uuid.Must(uuid.NewV7()).String())
	f.Add(grant.NewTicket("abc", 5))
	f.Fuzz(func(t *testing.T, text string) {
		k, err := grant.ParseKey(text)
		if err == nil {
			require.NotEmpty(t, k.Text)
			require.GreaterOrEqual(t, k.Time, clock.Millis(0))
		}
	})
}
