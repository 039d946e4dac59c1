package check_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/check"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

// The operators' page must list each rule with its reason, and no other.
func TestOperatorsPageListsTheRules(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATORS.md")
	require.NoError(t, err)
	_, section, found := strings.Cut(string(page), "| rule | what happens |\n|---|---|\n")
	require.True(t, found)
	table, _, _ := strings.Cut(section, "\n\n")
	var want []string
	for _, r := range check.Rules() {
		want = append(want, "| `"+r.Name+"` | "+r.Reason+" |")
	}
	require.Equal(t, strings.Join(want, "\n"), table)
}

func termsFindings(t *contr.Terms) []string {
	r := check.Terms(check.TermsInput{File: "f", Terms: t})
	var out []string
	for _, f := range r.Findings {
		out = append(out, f.Rule+" "+f.Field)
	}
	return out
}

// The rules that the tables of wrong configurations do not reach, and what they must not warn of.
func TestRulesOnTerms(t *testing.T) {
	queue := contr.Queue{Name: "a", Host: "h", Prefix: "/a/", Fleet: "f", MaxAttempts: 1, Stretch: 1}
	other := queue
	other.Name, other.Prefix = "b", "/a/x/"
	terms := &contr.Terms{Version: 1, Queues: []contr.Queue{queue, other}, Fleets: []contr.Fleet{{Name: "f"}}}
	require.Empty(t, termsFindings(terms), "a longer prefix that no id begins with takes no jobs")
	terms.Queues[1].Prefix = "/a/0123456789abcdef0"
	require.Empty(t, termsFindings(terms), "ids have 16 digits")
	terms.Queues[1].Prefix = "/a/0123456789abcdef"
	terms.Queues[1].Name = "a"
	terms.Queues[1].Stretch = 0.5
	terms.Fleets = append(terms.Fleets, contr.Fleet{Name: "f"})
	require.Equal(t, []string{"queue_part_hidden queues[0].prefix", "queue_twice queues[1].name", "fleet_twice fleets[1].name", "stretch_below_one queues[1].stretch"}, termsFindings(terms))
}

func TestDeadlineBelowTheServiceTimeInForce(t *testing.T) {
	text, err := os.ReadFile("../../examples/lusofala/events.yaml")
	require.NoError(t, err)
	in := check.ContractsInput{Files: []check.File{{Name: "f", Text: text}}, BaseVersion: contr.NoVersion,
		Facts: check.Facts{ServiceMS: map[string]float64{"availability": 2100, "relay": 900}}}
	r := check.Contracts(in)
	require.Len(t, r.Findings, 1)
	require.Equal(t, "kinds[0].deadline_ms: 2000 ms is below the mean service time at the fastest upstream, 2100 ms",
		r.Findings[0].Field+": "+r.Findings[0].Problem)
}

// A configuration of very many wrong queues must not make a report of any size.
func TestReportIsBounded(t *testing.T) {
	terms := &contr.Terms{Version: 1, Queues: make([]contr.Queue, 5000)}
	r := check.Terms(check.TermsInput{File: "f", Terms: terms})
	require.Len(t, r.Findings, 1000)
	require.Equal(t, 3*5000+2*4999, len(r.Findings)+r.Omitted)
	require.Contains(t, r.Text(), "more\n0 errors, ")
}

func TestLinesOfFields(t *testing.T) {
	text := "{\"a\": [\n {\"b\": 1,\n  \"c\": {\"d\": [[[[\n 1]]]]}},\n 5], \"e\":\n 7}"
	require.Equal(t, map[string]int{"a": 1, "a[0]": 2, "a[0].b": 2, "a[0].c.d": 3, "a[1]": 5, "e": 5},
		check.Lines([]byte(text), []string{"a", "a[0]", "a[0].b", "a[0].c.d", "a[1]", "e", "missing"}))
}

// Each field used to get a copy of the path, however long: gigabytes for one long name.
func TestFieldsBelowALongNameAreNotReported(t *testing.T) {
	text := `{"` + strings.Repeat("x", 1<<20) + `":{"a":{"b":1}` + strings.Repeat(`,"a":[2]`, 10_000) + `},"c":3}`
	paths := 0
	check.WalkFields([]byte(text), func(string, string, int) { paths++ })
	require.Equal(t, 2, paths)
}

func TestMisspeltNames(t *testing.T) {
	known := []string{"max-attempts", "host", "name"}
	for name, want := range map[string]string{"max-attempt": "max-attempts", "maxattempt": "max-attempts", "hots": "", "hosts": "host", "kind": "", "naame": "name", "": ""} {
		require.Equal(t, want, check.Misspelt(name, known), name)
	}
}
