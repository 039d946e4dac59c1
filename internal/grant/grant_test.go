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

func (sm *simulation) newProcess() *process {
	sm.next++
	return &process{incarnation: fmt.Sprintf("inc%d", sm.next), ledger: grant.NewLedger(), started: map[string]bool{}}
}

func (sm *simulation) page(from int64, n int) logsvc.Page {
	p := logsvc.Page{First: int64(sm.firstOffset), Next: max(from, int64(sm.firstOffset))}
	for i := int(p.Next); i < len(sm.records) && len(p.Records) < n; i++ {
		p.Records = append(p.Records, logsvc.Record{Offset: int64(i)})
		p.Next = int64(i) + 1
	}
	return p
}

// write appends a record to the log, either immediately or as an append in flight.
func (sm *simulation) write(t *rapid.T, r record) {
	if rapid.Bool().Draw(t, "immediately") {
		sm.records = append(sm.records, r)
		return
	}
	sm.inFlight = append(sm.inFlight, r)
}

func (sm *simulation) covers(r logsvc.Record) (int64, bool) {
	s := sm.records[r.Offset].snapshot
	if s == nil {
		return 0, false
	}
	return s.Covers, true
}

func (sm *simulation) read(p *process, n int) {
	step := p.replay.Add(sm.page(p.replay.Next, n), sm.covers)
	if step.RecordsLost {
		p.ledger.Initialized = false
	}
	if step.FromStart {
		p.ledger.InitializeFromStart()
	}
	if step.Restore != nil {
		p.ledger.Restore(*sm.records[step.Restore.Offset].snapshot, p.replay.RequiredOffset()+1)
	}
	for _, r := range step.Apply {
		if rec := sm.records[r.Offset]; rec.snapshot == nil {
			p.ledger.Apply(r.Offset, rec.incarnation, rec.claims)
		}
	}
}

// submit lets a process start the key or refuse it permanently, if the ledger permits
// either. It checks that a key starts at most once and that a refused key never starts.
func (sm *simulation) submit(t *rapid.T, p *process, r grant.Range, at clock.Millis) {
	key := fmt.Sprintf("%d@%d", r, at)
	ownership, owner := p.ledger.Owner(r, at)
	switch {
	case ownership == grant.OwnershipHeld && owner == p.incarnation && !p.started[key]:
		p.started[key] = true
		sm.starts[key]++
		require.LessOrEqual(t, sm.starts[key], 1, "key %s started twice", key)
		require.False(t, sm.refused[key], "key %s started after it was refused permanently", key)
	case ownership == grant.OwnershipGap:
		sm.refused[key] = true
		require.Zero(t, sm.starts[key], "key %s was refused after it had started", key)
	}
}

func TestLedgerStartsNoKeyTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sm := &simulation{starts: map[string]int{}, refused: map[string]bool{}, now: 100_000, ranges: []grant.Range{3, 7}}
		sm.processes = []*process{sm.newProcess(), sm.newProcess(), sm.newProcess()}
		t.Repeat(map[string]func(*rapid.T){
			"read":        func(t *rapid.T) { sm.read(sm.pick(t), rapid.IntRange(1, 4).Draw(t, "records")) },
			"claim":       sm.claim,
			"snapshot":    sm.snapshot,
			"late append": sm.appendLate,
			"lose append": sm.loseAppend,
			"age out":     sm.ageOut,
			"crash":       sm.crash,
			"submit":      sm.submitAll,
			"forget": func(t *rapid.T) {
				sm.pick(t).ledger.Forget(sm.now - clock.Millis(rapid.IntRange(0, 20).Draw(t, "window")))
			},
		})
	})
}

func (sm *simulation) pick(t *rapid.T) *process {
	return sm.processes[rapid.IntRange(0, len(sm.processes)-1).Draw(t, "process")]
}

func (sm *simulation) claim(t *rapid.T) {
	p := sm.pick(t)
	if !p.ledger.Initialized {
		t.Skip("not initialized")
	}
	sm.now += clock.Millis(rapid.IntRange(0, 3).Draw(t, "tick"))
	rs := sm.ranges[:rapid.IntRange(1, 2).Draw(t, "ranges")]
	claims := p.ledger.Propose(rs, sm.now, sm.now+clock.Millis(rapid.IntRange(1, 6).Draw(t, "duration")))
	sm.write(t, record{incarnation: p.incarnation, claims: claims})
}

func (sm *simulation) snapshot(t *rapid.T) {
	p := sm.pick(t)
	if !p.ledger.Initialized || p.ledger.Applied < 0 {
		t.Skip("not initialized")
	}
	s := p.ledger.Snapshot()
	s.Ends = append([]clock.Millis(nil), s.Ends...)
	s.KnownFrom = append([]clock.Millis(nil), s.KnownFrom...)
	sm.write(t, record{snapshot: &s})
}

func (sm *simulation) appendLate(t *rapid.T) {
	if len(sm.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	i := rapid.IntRange(0, len(sm.inFlight)-1).Draw(t, "append")
	sm.records = append(sm.records, sm.inFlight[i])
	sm.inFlight = append(sm.inFlight[:i:i], sm.inFlight[i+1:]...)
}

func (sm *simulation) loseAppend(t *rapid.T) {
	if len(sm.inFlight) == 0 {
		t.Skip("nothing in flight")
	}
	sm.inFlight = sm.inFlight[1:]
}

// ageOut removes the oldest record from the log. It does so rarely: if records aged out
// faster than snapshots are written, no process could claim ranges any more.
func (sm *simulation) ageOut(t *rapid.T) {
	if sm.firstOffset < len(sm.records) && rapid.IntRange(0, 3).Draw(t, "age out") == 0 {
		sm.firstOffset++
	}
}

func (sm *simulation) crash(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "crashes") > 0 {
		t.Skip("stays up")
	}
	sm.processes[rapid.IntRange(0, len(sm.processes)-1).Draw(t, "process")] = sm.newProcess()
}

func (sm *simulation) submitAll(t *rapid.T) {
	p := sm.pick(t)
	for at := sm.now - 8; at <= sm.now+8; at++ {
		sm.submit(t, p, sm.ranges[0], at)
		sm.submit(t, p, sm.ranges[1], at)
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
