package contr_test

import (
	"flag"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/examples"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

// A fixed seed makes rapid generate the same cases on every run.
func init() { flag.Set("rapid.seed", "1") }

const validContract = `customer: c
tokens:
  - %s
share: 2
rate: {per_second: 10, burst: 20}
queue: 5
kinds:
  - name: check
    idempotent: true
    share: 1
    deadline_ms: 100
`

func contractText(share int, token string) string {
	return strings.Replace(fmt.Sprintf(validContract, strings.Repeat(token, 32)), "share: 2", fmt.Sprintf("share: %d", share), 1)
}

func TestExampleContractsAreValid(t *testing.T) {
	all, err := examples.Contracts()
	require.NoError(t, err)
	require.Len(t, all, 3)
	for _, c := range all {
		_, err := contr.Parse("sample", c)
		require.NoError(t, err)
	}
}

func TestErrorsNameFileLineAndField(t *testing.T) {
	base := contractText(2, "ab")
	for _, c := range []struct{ from, to, want string }{
		{"share: 2", "share: 0", "f:4: share: want above 0"},
		{"share: 2", "share: .nan", "f:4: share"},
		{"queue: 5", "queue: 0", "f:6: queue"},
		{"burst: 20", "burst: 0", "f:5: rate.burst"},
		{"queue: 5", "queue: 5\nfloor_slots: 9\nceiling_slots: 3", "f:7: floor_slots: is above ceiling_slots"},
		{"    share: 1", "    share: -1", "f:10: kinds[0].share"},
		{"idempotent: true", "idempotent: false\n    hedge: true", "f:10: kinds[0].hedge: needs idempotent"},
		{"deadline_ms: 100", "deadline_ms: 0", "f:11: kinds[0].deadline_ms"},
		{"customer: c", "customer: C!", "f:1: customer"},
		{"abab", "zzzz", "f:3: tokens[0]"},
		{"queue: 5", "queue: 5\nqueue_knob: 7", "queue_knob"},
		{"queue: 5", "queue: many", "6:8"},
	} {
		_, err := contr.Parse("f", []byte(strings.Replace(base, c.from, c.to, 1)))
		require.ErrorContains(t, err, c.want, c.to)
	}
}

// A contract of 64 KiB of opening brackets took 8 GB in each process that read it from the log.
func TestDeepNestingIsRefusedBeforeItIsDecoded(t *testing.T) {
	for _, text := range []string{strings.Repeat("[", 65_000), strings.Repeat("{a: ", 16_000), strings.Repeat("- ", 32_000), strings.Repeat("? ", 32_000)} {
		before, after := runtime.MemStats{}, runtime.MemStats{}
		runtime.ReadMemStats(&before)
		_, err := contr.Parse("f", []byte("customer: c\n"+text))
		runtime.ReadMemStats(&after)
		require.ErrorContains(t, err, "nested deeper than 32 levels")
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(64<<20))
	}
}

// Only the first of several wrong values used to be reported.
func TestParseAllReportsEveryWrongValue(t *testing.T) {
	text := strings.NewReplacer("share: 2", "share: 0", "queue: 5", "queue: 0").Replace(contractText(2, "ab"))
	_, errs := contr.ParseAll("f", []byte(text))
	require.Len(t, errs, 2)
	require.ErrorContains(t, errs[1], "f:6: queue: want 1 to 1000000")
	terms := &contr.Terms{Queues: []contr.Queue{{SlackMS: -1, Stretch: -1}}}
	require.Len(t, terms.CheckAll(), 3)
	require.EqualError(t, terms.Check(), "version: 0 is out of range; want 1 to 9007199254740991")
}

// The text was parsed again for the line of each error, 3 ms each for 400 of them.
func TestLinesOfManyErrorsAreFoundInOnePass(t *testing.T) {
	text := []byte("customer: c\ntokens:\n" + strings.Repeat("- a\n", 10_000))
	before, after := runtime.MemStats{}, runtime.MemStats{}
	runtime.ReadMemStats(&before)
	_, errs := contr.ParseAll("f", text)
	runtime.ReadMemStats(&after)
	require.Len(t, errs, 10_000+5)
	require.ErrorContains(t, errs[len(errs)-1], "f:10002: tokens[9999]: want a sha-256 hash in hex")
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(256<<20))
}

func TestConcurrentAmendmentsHaveOneWinner(t *testing.T) {
	config := contr.NewConfig()
	require.True(t, config.Amend(3, contr.Amendment{Author: "ana", Base: contr.NoVersion, Name: "contract/c", Text: contractText(1, "ab")}).Accepted)
	v := config.Amend(4, contr.Amendment{Author: "bor", Base: contr.NoVersion, Name: "contract/c", Text: contractText(2, "ab")})
	require.False(t, v.Accepted)
	require.Contains(t, v.Reason, "version 3 is in force, written by ana")
	require.False(t, config.Amend(5, contr.Amendment{Base: contr.NoVersion, Name: "contract/d", Text: strings.Replace(contractText(1, "ab"), "customer: c", "customer: d", 1)}).Accepted,
		"a token belongs to one customer")
	require.False(t, config.Amend(6, contr.Amendment{Base: 3, Name: "contract/c", Text: "nonsense"}).Accepted)
	require.True(t, config.Amend(7, contr.Amendment{Base: 3, Name: "contract/c", Deleted: true}).Accepted)
	require.False(t, config.Amend(8, contr.Amendment{Base: contr.NoVersion, Name: "contract/c", Text: contractText(1, "ab")}).Accepted, "a stale amendment can't restore a deleted document")
	require.True(t, config.Amend(9, contr.Amendment{Base: contr.NoVersion, Name: "upstream/minion-1", Text: "old"}).Accepted)
	require.True(t, config.Retired(contr.PrefixUpstream, "minion-1"))
}

// TestReadersAgree checks that a configuration that reads the whole log, one that starts from
// a snapshot and one that receives changes from a peer hold the same documents.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fullReader, snapshotReader, follower := contr.NewConfig(), contr.NewConfig(), contr.NewConfig()
		offset := int64(0)
		snapshotFrom := rapid.Int64Range(0, 20).Draw(t, "snapshot from")
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			offset += rapid.Int64Range(1, 3).Draw(t, "gap")
			customer := rapid.SampledFrom([]string{"c", "d"}).Draw(t, "customer")
			a := contr.Amendment{Name: "contract/" + customer, Base: rapid.SampledFrom([]int64{contr.NoVersion, fullReader.DocumentVersion("contract/" + customer)}).Draw(t, "base"),
				Text: strings.Replace(contractText(int(offset), map[string]string{"c": "ab", "d": "cd"}[customer]), "customer: c", "customer: "+customer, 1), Deleted: rapid.Bool().Draw(t, "deleted")}
			if offset > snapshotFrom && snapshotReader.Applied == contr.NoVersion {
				snapshotReader.Restore(fullReader.Applied, fullReader.Version, fullReader.SortedDocuments())
			}
			v := fullReader.Amend(offset, a)
			if offset > snapshotFrom {
				require.Equal(t, v.Accepted, snapshotReader.Amend(offset, a).Accepted)
				require.Equal(t, fullReader.Version, snapshotReader.Version)
				require.Equal(t, fullReader.SortedDocuments(), snapshotReader.SortedDocuments())
			}
			require.False(t, fullReader.Amend(offset, a).Accepted, "a record read twice changes nothing")
			before := follower.Version
			if rapid.Bool().Draw(t, "follower receives") {
				follower.Advance(fullReader.Version, fullReader.ChangedSince(follower.Version))
				require.Equal(t, fullReader.SortedDocuments(), follower.SortedDocuments())
			}
			require.GreaterOrEqual(t, follower.Version, before)
			if snapshotReader.Applied >= 0 {
				require.False(t, snapshotReader.Restore(0, 0, nil), "a stale snapshot changes nothing")
			}
		}
	})
}

func TestAmendmentReceivedFromPeerFirstKeepsItsVerdict(t *testing.T) {
	fullReader, follower := contr.NewConfig(), contr.NewConfig()
	accepted := contr.Amendment{Author: "ana", Base: contr.NoVersion, Name: "contract/c", Text: contractText(1, "ab")}
	rejected := contr.Amendment{Author: "bor", Base: contr.NoVersion, Name: "contract/c", Text: contractText(2, "ab")}
	require.True(t, fullReader.Amend(3, accepted).Accepted)
	require.False(t, fullReader.Amend(4, rejected).Accepted)
	require.True(t, fullReader.Amend(5, contr.Amendment{Base: contr.NoVersion, Name: "upstream/minion-1"}).Accepted)
	follower.Advance(fullReader.Version, fullReader.SortedDocuments())

	v, known := follower.KnownVerdict(3, accepted)
	require.True(t, known)
	require.True(t, v.Accepted)
	v, known = follower.KnownVerdict(4, rejected)
	require.True(t, known)
	require.False(t, v.Accepted)
	require.NotEmpty(t, v.Reason)

	require.True(t, fullReader.Amend(6, contr.Amendment{Base: 3, Name: "contract/c", Text: contractText(3, "ab")}).Accepted)
	follower.Advance(fullReader.Version, fullReader.ChangedSince(follower.Version))
	_, known = follower.KnownVerdict(3, accepted)
	require.False(t, known, "a later amendment hides the outcome")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(contractText(1, "ab")))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := contr.Parse("fuzz", data)
		if err == nil {
			require.Positive(t, c.Share)
			require.NotEmpty(t, c.Kinds)
		}
	})
}

func TestDiffLines(t *testing.T) {
	require.Equal(t, []string{"  a", "- b", "+ c", "  d"}, contr.DiffLines("a\nb\nd\n", "a\nc\nd\n"))
}
