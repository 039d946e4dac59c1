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
	"github.com/turmericbarrow/turmericbarrow/internal/logsvc"
	"github.com/turmericbarrow/turmericbarrow/internal/reply"
)

// A fixed seed makes every run check the same cases.
func init() { flag.Set("rapid.seed", "1") }

func TestParseKey(t *testing.T) {
	now := clock.New().Now()
	k, err := grant.ParseKey(uuid.Must(uuid.NewV7()).String())
	require.NoError(t, err)
	require.InDelta(t, float64(now), float64(k.Time), 2000)
	require.Empty(t, k.Incarnation)

	k, err = grant.ParseKey(grant.NewTicket("abc", 1234567))
	require.NoError(t, err)
	require.Equal(t, "abc", k.Incarnation)
	require.Equal(t, clock.Millis(1234567), k.Time)

	for _, malformed := range []string{"", "x", uuid.NewString(), "t1.a.b", "t1..x.y", "t1.a.-5.y", "t1.a.!.y"} {
		_, err := grant.ParseKey(malformed)
		require.ErrorIs(t, err, grant.ErrMalformedKey, malformed)
	}
}

// record is a record of the simulated log, with either claims or a snapshot.
type record struct {
	incarnation string
	claims      []grant.Claim
	snapshot    *grant.Snapshot
}

// process is an entry that reads the log at its own pace.
type process struct {
	incarnation string
	ledger      *grant.Ledger
	replay      logsvc.Replay
	started     map[string]bool
}

// simulation applies the events of the model in model/grant.inc to the real ledger and
// replay.
type simulation struct {
	records     []record
	firstOffset int
	inFlight    []record
	processes   []*process
	next        int
	starts      map[string]int
	refused     map[string]bool
	now         clock.Millis
	ranges      []grant.Range
}

func (sim *simulation) newProcess() *process {
	sim.next++
	return &process{incarnation: fmt.Sprintf("inc%d", sim.next), ledger: grant.NewLedger(), started: map[string]bool{}}
}

func (sim *simulation) page(from int64, n int) logsvc.Page {
	p := logsvc.Page{First: int64(sim.firstOffset), Next: max(from, int64(sim.firstOffset))}
	for i := int(p.Next); i < len(sim.records) && len(p.Records) < n; i++ {
		p.Records = append(p.Records, logsvc.Record{Offset: int64(i)})
		p.Next = int64(i) + 1
	}
	return p
}

// write appends a record to the log, either immediately or as an append in flight.
func (sim *simulation) write(t *rapid.T, r record) {
	if rapid.Bool().Draw(t, "immediately") {
		sim.records = append(sim.records, r)
		return
	}
	sim.inFlight = append(sim.inFlight, r)
}

func (sim *simulation) covers(r logsvc.Record) (int64, bool) {
	s := sim.records[r.Offset].snapshot
	if s == nil {
		return 0, false
	}
	return s.Covers, true
}

func (sim *simulation) read(p *process, n int) {
	step := p.replay.Add(sim.page(p.replay.Next, n), sim.covers)
	if step.RecordsLost {
		p.ledger.Initialized = false
	}
	if step.FromStart {
		p.ledger.InitializeFromStart()
	}
	if step.Restore != nil {
		p.ledger.Restore(*sim.records[step.Restore.Offset].snapshot, p.replay.RequiredOffset()+1)
	}
	for _, r := range step.Apply {
		if rec := sim.records[r.Offset]; rec.snapshot == nil {
			p.ledger.Apply(r.Offset, rec.incarnation, rec.claims)
		}
	}
}

// submit lets a process start the key or refuse it permanently, if the ledger permits
// either. It checks that a key starts at most once and that a refused key never starts.
func (sim *simulation) submit(t *rapid.T, p *process, r grant.Range, at clock.Millis) {
	key := fmt.Sprintf("%d@%d", r, at)
	ownership, owner := p.ledger.Owner(r, at)
	switch {
	case ownership == grant.OwnershipHeld && owner == p.incarnation && !p.started[key]:
		p.started[key] = true
		sim.starts[key]++
		require.LessOrEqual(t, sim.starts[key], 1, "key %s started twice", key)
		require.False(t, sim.refused[key], "key %s started after it was refused permanently", key)
	case ownership == grant.OwnershipGap:
		sim.refused[key] = true
		require.Zero(t, sim.starts[key], "key %s was refused after it had started", key)
	}
}

func TestLedgerStartsNoKeyTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{starts: map[string]int{}, refused: map[string]bool{}, now: 100_000, ranges: []grant.Range{3, 7}}
		sim.processes = []*process{sim.newProcess(), sim.newProcess(), sim.newProcess()}
		t.Repeat(map[string]func(*rapid.T){
			"read":        func(t *rapid.T) { sim.read(sim.pick(t), rapid.IntRange(1, 4).Draw(t, "records")) },
			"claim":       sim.claim,
			"snapshot":    sim.snapshot,
			"late append": sim.appendLate,
			"lose append": sim.loseAppend,
			"age out":     sim.ageOut,
			"crash":       sim.crash,
			"submit":      sim.submitAll,
			"forget": func(t *rapid.T) {
				sim.pick(t).ledger.Forget(sim.now - clock.Millis(rapid.IntRange(0, 20).Draw(t, "window")))
			},
		})
	})
}

func (sim *simulation) pick(t *rapid.T) *process {
	return sim.processes[rapid.IntRange(0, len(sim.processes)-1).Draw(t, "process")]
}

func (sim *simulation) claim(t *rapid.T) {
	p := sim.pick(t)
	if !p.ledger.Initialized {
		t.Skip("not initialized")
	}
	sim.now += clock.Millis(rapid.IntRange(0, 3).Draw(t, "tick"))
	rs := sim.ranges[:rapid.IntRange(1, 2).Draw(t, "ranges")]
	claims := p.ledger.Propose(rs, sim.now, sim.now+clock.Millis(rapid.IntRange(1, 6).Draw(t, "lease")))
	sim.write(t, record{incarnation: p.incarnation, claims: claims})
}

func (sim *simulation) snapshot(t *rapid.T) {
	p := sim.pick(t)
	if !p.ledger.Initialized || p.ledger.Applied < 0 {
		t.Skip("not initialized")
	}
	s := p.ledger.Snapshot()
	s.Ends = append([]clock.Millis(nil), s.Ends...)
	s.KnownFrom = append([]clock.Millis(nil), s.KnownFrom...)
	sim.write(t, record{snapshot: &s})
}

func (sim *simulation) appendLate(t *rapid.T) {
	if len(sim.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(t, "append")
	sim.records = append(sim.records, sim.inFlight[i])
	sim.inFlight = append(sim.inFlight[:i:i], sim.inFlight[i+1:]...)
}

func (sim *simulation) loseAppend(t *rapid.T) {
	if len(sim.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	sim.inFlight = sim.inFlight[1:]
}

// ageOut removes the oldest record from the log. It does so rarely: if records aged out
// faster than snapshots are written, no process could claim ranges any more.
func (sim *simulation) ageOut(t *rapid.T) {
	if sim.firstOffset < len(sim.records) && rapid.IntRange(0, 3).Draw(t, "age out") == 0 {
		sim.firstOffset++
	}
}

func (sim *simulation) crash(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "crashes") > 0 {
		t.Skip("stays up")
	}
	sim.processes[rapid.IntRange(0, len(sim.processes)-1).Draw(t, "process")] = sim.newProcess()
}

func (sim *simulation) submitAll(t *rapid.T) {
	p := sim.pick(t)
	for at := sim.now - 8; at <= sim.now+8; at++ {
		sim.submit(t, p, sim.ranges[0], at)
		sim.submit(t, p, sim.ranges[1], at)
	}
}

func TestTableKeepsKeysAboveFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := grant.NewTable(grant.TableLimits{Window: 50, MaxKeys: 8, MaxAnswerBytes: 30})
		added := map[string]clock.Millis{}
		floor := clock.Millis(0)
		for i := range 100 {
			now := clock.Millis(1000 + i)
			at := now - clock.Millis(rapid.IntRange(0, 60).Draw(t, "age"))
			id := grant.SubmissionID{Customer: "c", Key: fmt.Sprint(i)}
			if !table.TooOld(at) {
				table.Add(id, at, 1)
				added[id.Key] = at
				table.Finish(id, reply.Answer{Results: []reply.Result{{Body: make([]byte, rapid.IntRange(0, 10).Draw(t, "size"))}}})
			}
			table.Expire(now)
			require.GreaterOrEqual(t, table.Floor, floor)
			floor = table.Floor
			require.LessOrEqual(t, table.Len(), 8)
			require.LessOrEqual(t, table.AnswerBytes, 30)
			for key, at := range added {
				if !table.TooOld(at) {
					require.NotNil(t, table.Get(grant.SubmissionID{Customer: "c", Key: key}), "key %s with time %d was removed above the floor %d", key, at, table.Floor)
				}
			}
		}
	})
}

func TestRemovingIncarnationMovesOnlyItsRanges(t *testing.T) {
	incarnations := []string{"a", "b", "c", "d"}
	moved := 0
	for r := grant.Range(0); r < grant.RangeCount; r++ {
		oldHolder, newHolder := grant.Preferred(r, incarnations), grant.Preferred(r, incarnations[:3])
		if oldHolder != newHolder {
			require.Equal(t, "d", oldHolder)
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
