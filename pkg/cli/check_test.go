package cli_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/check"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/fakes"
	"github.com/turmericbarrow/turmericbarrow/internal/local"
	"github.com/turmericbarrow/turmericbarrow/internal/opapi"
)

var update = flag.Bool("update", false, "write the golden file of the wrong contracts")

// wrongContracts is the table of testdata/wrong_contracts.yaml.
type wrongContracts struct {
	Base  string          `yaml:"base"`
	Cases []wrongContract `yaml:"cases"`
}

// wrongContract is one case. The file describes its fields.
type wrongContract struct {
	Name   string      `yaml:"name"`
	Edits  [][2]string `yaml:"edits"`
	Second [][2]string `yaml:"second"`
	Says   []string    `yaml:"says"`
	Sent   string      `yaml:"sent"`
	Effect string      `yaml:"effect"`
	Job    *probe      `yaml:"job"`
}

// probe is a job that shows what the system does with a contract.
type probe struct {
	Token  string `yaml:"token"`
	Kind   string `yaml:"kind"`
	Tasks  int    `yaml:"tasks"`
	Answer string `yaml:"answer"`
}

// submit submits the job and returns the status and the type of the problem.
func (p *probe) submit(t *testing.T, callers string) string {
	t.Helper()
	tasks := strings.TrimSuffix(strings.Repeat(`{"payload":1},`, p.Tasks), ",")
	body := fmt.Sprintf(`{"id":%q,"kind":%q,"tasks":[%s],"timeout_ms":1000}`, uuid.Must(uuid.NewV7()), p.Kind, tasks)
	req, err := http.NewRequest(http.MethodPost, "http://"+callers+"/v1/jobs", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+p.Token)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	problem := struct {
		Type string `json:"type"`
	}{}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&problem))
	return fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimPrefix(problem.Type, "urn:turmericbarrow:problem:"))
}

func edit(text string, edits [][2]string) string {
	for _, e := range edits {
		text = strings.ReplaceAll(text, e[0], e[1])
	}
	return text
}

// texts returns the contracts of a case.
func (w wrongContract) texts(base string) []string {
	out := []string{edit(base, w.Edits)}
	if w.Second != nil {
		out = append(out, edit(base, w.Second))
	}
	return out
}

// customerOf returns the customer that a text, which may be invalid, names in its first line.
func customerOf(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return strings.TrimPrefix(line, "customer: ")
}

// send sends contracts as amendments made from the version in force before the first. It returns
// the reason of the last refusal, or "". It submits the job of the case, if there is one, and
// deletes the contracts again.
func send(t *testing.T, d *local.Deployment, client *opapi.Client, w wrongContract, texts []string) string {
	t.Helper()
	reason := ""
	accepted := map[string]int64{}
	bases := versions(t, client)
	for _, text := range texts {
		name := contr.PrefixContract + customerOf(text)
		base, exists := bases[name]
		if !exists {
			base = contr.NoVersion
		}
		v, err := client.Amend(context.Background(), contr.Amendment{Author: "test", Base: base, Name: name, Text: text})
		require.NoError(t, err)
		if v.Accepted {
			accepted[name] = v.Offset
		} else {
			reason = v.Reason
		}
	}
	if w.Job != nil {
		require.Equal(t, w.Job.Answer, w.Job.submit(t, d.Entries[0].Addresses.Callers), w.Name)
	}
	for name, offset := range accepted {
		v, err := client.Amend(context.Background(), contr.Amendment{Author: "test", Base: offset, Name: name, Deleted: true})
		require.NoError(t, err)
		require.True(t, v.Accepted, v.Reason)
	}
	return reason
}

func versions(t *testing.T, client *opapi.Client) map[string]int64 {
	t.Helper()
	config, err := client.Config(context.Background())
	require.NoError(t, err)
	out := map[string]int64{}
	for _, d := range config.Documents {
		out[d.Name] = d.Version
	}
	return out
}

// The check must report each wrong contract at its line, and call it an error exactly if the
// system refuses it.
func TestCheckAgreesWithTheSystemOnWrongContracts(t *testing.T) {
	data, err := os.ReadFile("testdata/wrong_contracts.yaml")
	require.NoError(t, err)
	table := wrongContracts{}
	require.NoError(t, yaml.Unmarshal(data, &table))
	d := startSystem(t)
	client := d.OperatorClient(0)
	code, out, _ := run("check", "../../examples/lusofala/events.yaml", "--in-force", "--operators-url", client.URL)
	require.Contains(t, out, "no difference\n")
	require.Equal(t, 0, code, out)
	golden, err := filepath.Abs("testdata/wrong_contracts.golden")
	require.NoError(t, err)
	t.Chdir(t.TempDir())
	var shown strings.Builder
	for _, w := range append([]wrongContract{{Name: "none_wrong", Sent: "accepted"}}, table.Cases...) {
		files := []string{}
		for i, text := range w.texts(table.Base) {
			files = append(files, fmt.Sprintf("%d.yaml", i+1))
			require.NoError(t, os.WriteFile(files[i], []byte(text), 0o600))
		}
		r, code, text := runCheck(t, append(files, "--in-force", "--operators-url", client.URL)...)
		require.Equal(t, w.Says, says(r), "%s\n%s", w.Name, text)
		reason := send(t, d, client, w, w.texts(table.Base))
		require.Equal(t, code == 2, reason != "", "%s: %s", w.Name, reason)
		if want, refused := strings.CutPrefix(w.Sent, "refused: "); refused {
			require.Contains(t, reason, want, w.Name)
		} else {
			require.Empty(t, reason, w.Name)
		}
		fmt.Fprintf(&shown, "%s\n  check:  %s\n  system: %s\n", w.Name, findingLines(text), outcome(reason, w))
	}
	if *update {
		require.NoError(t, os.WriteFile(golden, []byte(shown.String()), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), shown.String())
}

func startSystem(t *testing.T) *local.Deployment {
	t.Helper()
	events, err := os.ReadFile("../../examples/lusofala/events.yaml")
	require.NoError(t, err)
	services := map[string]float64{"availability": 10, "assignment": 20}
	d, err := local.Start(t.Context(), local.Options{Entries: 1, Contracts: [][]byte{events}, Upstreams: []fakes.UpstreamSettings{
		{Name: "minion-1", Slots: 8, Connections: 60, Speed: 1, ServiceTimesMS: services, HoldMS: 60_000},
		{Name: "minion-2", Slots: 8, Connections: 60, Speed: 1, ServiceTimesMS: services, HoldMS: 60_000},
	}}, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

// runCheck runs the check command twice, for JSON and for text.
func runCheck(t *testing.T, args ...string) (check.Report, int, string) {
	t.Helper()
	code, out, errOut := run(append([]string{"check", "--output", "json"}, args...)...)
	r := check.Report{}
	require.NoError(t, json.Unmarshal([]byte(out), &r), errOut)
	textCode, text, _ := run(append([]string{"check"}, args...)...)
	require.Equal(t, code, textCode)
	return r, code, text
}

func says(r check.Report) []string {
	var out []string
	for _, f := range r.Findings {
		out = append(out, fmt.Sprintf("%s %s %d %s", f.Severity, f.Rule, f.Line, f.Field))
	}
	return out
}

// findingLines returns the lines of a report's text before the differences.
func findingLines(text string) string {
	var lines []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, "error: ") || strings.Contains(line, "warning: ") {
			lines = append(lines, withoutVersions(strings.TrimSpace(line)))
		}
	}
	return strings.Join(lines, "\n          ")
}

func outcome(reason string, w wrongContract) string {
	switch {
	case reason == "" && w.Job != nil:
		return fmt.Sprintf("accepted; %s: a job of %d tasks is answered %s", w.Effect, w.Job.Tasks, w.Job.Answer)
	case reason == "":
		return strings.TrimSpace("accepted; " + w.Effect)
	}
	reason, _, _ = strings.Cut(reason, "\n") // without the decoder's excerpt of the text
	return "refused: " + withoutVersions(reason)
}

var versionPattern = regexp.MustCompile(`version [0-9]+`)

// withoutVersions replaces versions, which are offsets in a log that has other records too.
func withoutVersions(text string) string {
	return versionPattern.ReplaceAllString(text, "version N")
}

// Scripts rely on the exit codes: 1 only for warnings with --strict, 2 for every error.
func TestCheckExitCodesAndDifferences(t *testing.T) {
	events := "../../examples/lusofala/events.yaml"
	text, err := os.ReadFile(events)
	require.NoError(t, err)
	changed := filepath.Join(t.TempDir(), "changed.yaml")
	require.NoError(t, os.WriteFile(changed, []byte(strings.NewReplacer("share: 4\nfloor", "share: 9\nfloor", "queue: 600", "queue: 200", "- name: relay", "- name: delay").Replace(string(text))), 0o600))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{events}, 0, "0 errors, 0 warnings"},
		{[]string{events, "--against", events}, 0, "no difference"},
		{[]string{changed}, 0, "queue: 200 is below the widest job that entries take, 310 tasks; want 310 or more [queue_below_job]"},
		{[]string{changed, "--strict"}, 1, "0 errors, 1 warning"},
		{[]string{changed, "--max-job-tasks", "0", "--strict", "--against", events}, 0,
			"goes away: customer lusofala-events: kinds[relay]\ntightens: customer lusofala-events: queue 600 -> 200\n" +
				"loosens: customer lusofala-events: share 4 -> 9\nis added: customer lusofala-events: kinds[delay]\n"},
		{[]string{changed, "--against", events, "--against", events}, 2, "events.yaml:4: error: customer: made from version -1, but version 0 is in force"},
		{[]string{events, "--against", "missing.yaml"}, 2, "missing.yaml: error: open missing.yaml"},
		{[]string{events, "--output", "xml"}, 2, "--output: xml is not allowed"},
		{[]string{events, "--in-force", "--operators-url", "http://127.0.0.1:1"}, 2, "read the configuration in force"},
		{[]string{"--nonsense"}, 2, "unknown flag"},
		{nil, 2, "requires at least 1 arg"},
	} {
		code, out, errOut := run(append([]string{"check"}, c.args...)...)
		require.Equal(t, c.code, code, "%v\n%s%s", c.args, out, errOut)
		require.Contains(t, out+errOut, c.want, c.args)
	}
}

// Only the first wrong setting used to be reported, by a process that then had to be started.
func TestCheckOfSettings(t *testing.T) {
	code, out, _ := run("entry", "--check", "--name", "e", "--max-keys", "1", "--linger", "1h", "--log-url", "http://127.0.0.1:1")
	require.Equal(t, 2, code)
	for _, want := range []string{"entry: error: --region", "--max-keys: 1 is not allowed; want 1000 or more", "--linger: 1h0m0s", "--certificate"} {
		require.Contains(t, out, want)
	}
	dir := t.TempDir()
	code, out, _ = run(append([]string{"agent", "--check", "--entries", "127.0.0.1:1"}, keyFlags(t, dir, "minion-1", "agent")...)...)
	require.Zero(t, code, out)
	require.Equal(t, "0 errors, 0 warnings\n", out)
	code, out, _ = run(append([]string{"agent", "--check", "--entries", "127.0.0.1:1"}, append(keyFlags(t, dir, "minion-2", "agent"), "--key", "nonsense")...)...)
	require.Equal(t, 2, code)
	require.Contains(t, out, "agent: error: --key")
}

// Files of any size and depth must give one clear error in bounded memory.
func TestCheckOfUnreadableInputs(t *testing.T) {
	t.Chdir(t.TempDir())
	big, err := os.Create("big.yaml")
	require.NoError(t, err)
	require.NoError(t, big.Truncate(100<<20))
	require.NoError(t, big.Close())
	require.NoError(t, os.WriteFile("garbage.yaml", []byte("\x00\xff\xfe: [}"), 0o600))
	require.NoError(t, os.WriteFile("deep.yaml", []byte(strings.Repeat("[", 60_000)), 0o600))
	for file, want := range map[string]string{
		"big.yaml":     "over the limit of 65536 bytes",
		"garbage.yaml": "error: ",
		"deep.yaml":    "nested deeper than 32 levels",
		"missing.yaml": "no such file",
		".":            "is a directory",
	} {
		before, after := runtime.MemStats{}, runtime.MemStats{}
		runtime.ReadMemStats(&before)
		code, out, _ := run("check", file)
		runtime.ReadMemStats(&after)
		require.Equal(t, 2, code, file)
		require.Contains(t, out, want)
		require.Contains(t, out, "1 error, 0 warnings")
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(64<<20), file)
	}
}
