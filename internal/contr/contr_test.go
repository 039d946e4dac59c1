package contr_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/examples"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

// The same cases on every run.
func init() { flag.Set("rapid.seed", "1") }

const good = `customer: c
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

func text(share int, token string) string {
	return strings.Replace(fmt.Sprintf(good, strings.Repeat(token, 32)), "share: 2", fmt.Sprintf("share: %d", share), 1)
}

func TestSamplesAreValid(t *testing.T) {
	all, err := examples.Contracts()
	require.NoError(t, err)
	require.Len(t, all, 3)
	for _, c := range all {
		_, err := contr.Parse("sample", c)
		require.NoError(t, err)
	}
}

func TestFaultsNameFileLineAndField(t *testing.T) {
	base := text(2, "ab")
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

func TestRacingAmendmentsHaveOneWinner(t *testing.T) {
	b := contr.NewConfig()
	require.True(t, b.Amend(3, contr.Amendment{Author: "ana", Base: contr.NoVersion, Name: "contract/c", Text: text(1, "ab")}).Accepted)
	v := b.Amend(4, contr.Amendment{Author: "bor", Base: contr.NoVersion, Name: "contract/c", Text: text(2, "ab")})
	require.False(t, v.Accepted)
	require.Contains(t, v.Reason, "version 3 is in force, written by ana")
	require.False(t, b.Amend(5, contr.Amendment{Base: contr.NoVersion, Name: "contract/d", Text: strings.Replace(text(1, "ab"), "customer: c", "customer: d", 1)}).Accepted,
		"a token belongs to one customer")
	require.False(t, b.Amend(6, contr.Amendment{Base: 3, Name: "contract/c", Text: "nonsense"}).Accepted)
	require.True(t, b.Amend(7, contr.Amendment{Base: 3, Name: "contract/c", Deleted: true}).Accepted)
	require.False(t, b.Amend(8, contr.Amendment{Base: contr.NoVersion, Name: "contract/c", Text: text(1, "ab")}).Accepted, "a stale amendment can't revive it")
	require.True(t, b.Amend(9, contr.Amendment{Base: contr.NoVersion, Name: "upstream/minion-1", Text: "old"}).Accepted)
	require.True(t, b.Retired(contr.PrefixUpstream, "minion-1"))
}

// TestReadersAgree lets one book read the whole log, others start from snapshots or
// follow peers, and compares them.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, late, agent := contr.NewConfig(), contr.NewConfig(), contr.NewConfig()
		offset := int64(0)
		lateFrom := rapid.Int64Range(0, 20).Draw(t, "late from")
		for range rapid.IntRange(1, 40).Draw(t, "records") {
			offset += rapid.Int64Range(1, 3).Draw(t, "gap")
			customer := rapid.SampledFrom([]string{"c", "d"}).Draw(t, "customer")
			a := contr.Amendment{Name: "contract/" + customer, Base: rapid.SampledFrom([]int64{contr.NoVersion, whole.DocumentVersion("contract/" + customer)}).Draw(t, "base"),
				Text: strings.Replace(text(int(offset), map[string]string{"c": "ab", "d": "cd"}[customer]), "customer: c", "customer: "+customer, 1), Deleted: rapid.Bool().Draw(t, "deleted")}
			if offset > lateFrom && late.Applied == contr.NoVersion {
				late.Restore(whole.Applied, whole.Version, whole.SortedDocuments())
			}
			v := whole.Amend(offset, a)
			if offset > lateFrom {
				require.Equal(t, v.Accepted, late.Amend(offset, a).Accepted)
				require.Equal(t, whole.Version, late.Version)
				require.Equal(t, whole.SortedDocuments(), late.SortedDocuments())
			}
			require.False(t, whole.Amend(offset, a).Accepted, "a record that comes twice changes nothing")
			before := agent.Version
			if rapid.Bool().Draw(t, "agent hears") {
				agent.Advance(whole.Version, whole.ChangedSince(agent.Version))
				require.Equal(t, whole.SortedDocuments(), agent.SortedDocuments())
			}
			require.GreaterOrEqual(t, agent.Version, before)
			if late.Applied >= 0 {
				require.False(t, late.Restore(0, 0, nil), "a stale snapshot changes nothing")
			}
		}
	})
}

func TestAmendmentThatAPeerToldOfFirstKeepsItsVerdict(t *testing.T) {
	whole, follower := contr.NewConfig(), contr.NewConfig()
	won := contr.Amendment{Author: "ana", Base: contr.NoVersion, Name: "contract/c", Text: text(1, "ab")}
	lost := contr.Amendment{Author: "bor", Base: contr.NoVersion, Name: "contract/c", Text: text(2, "ab")}
	require.True(t, whole.Amend(3, won).Accepted)
	require.False(t, whole.Amend(4, lost).Accepted)
	require.True(t, whole.Amend(5, contr.Amendment{Base: contr.NoVersion, Name: "upstream/minion-1"}).Accepted)
	follower.Advance(whole.Version, whole.SortedDocuments())

	v, known := follower.KnownVerdict(3, won)
	require.True(t, known)
	require.True(t, v.Accepted)
	v, known = follower.KnownVerdict(4, lost)
	require.True(t, known)
	require.False(t, v.Accepted)
	require.NotEmpty(t, v.Reason)

	require.True(t, whole.Amend(6, contr.Amendment{Base: 3, Name: "contract/c", Text: text(3, "ab")}).Accepted)
	follower.Advance(whole.Version, whole.ChangedSince(follower.Version))
	_, known = follower.KnownVerdict(3, won)
	require.False(t, known, "a later amendment hides the outcome")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(text(1, "ab")))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := contr.Parse("fuzz", data)
		if err == nil {
			require.Positive(t, c.Share)
			require.NotEmpty(t, c.Kinds)
		}
	})
}

func TestDifference(t *testing.T) {
	require.Equal(t, []string{"  a", "- b", "+ c", "  d"}, contr.DiffLines("a\nb\nd\n", "a\nc\nd\n"))
}
