package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/turmericbarrow/turmericbarrow/internal/audit"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/entry"
	"github.com/turmericbarrow/turmericbarrow/internal/joblog"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
)

// The values of --format.
const (
	formatText = "text"
	formatJSON = "json"
)

func checkFormat(format string) error {
	if format != formatText && format != formatJSON {
		return badFlag("format", format, "text or json")
	}
	return nil
}

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// fetchState fetches the state of the entry that the flags name.
func fetchState(ctx context.Context, o *operatorFlags) (entry.State, error) {
	client, err := o.client()
	if err != nil {
		return entry.State{}, err
	}
	defer client.Close()
	return client.State(ctx)
}

func (a *app) statusCommand() *cobra.Command {
	o := &operatorFlags{}
	c := &cobra.Command{
		Use: "status", Short: "Show an entry, its peers and the configuration in force in each",
		Example: "  turmericbarrow status --operators-url http://10.0.0.1:7200", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := fetchState(c.Context(), o)
			if err != nil {
				return err
			}
			return a.printStatus(s)
		},
	}
	o.add(c.Flags())
	return c
}

func (a *app) printStatus(s entry.State) error {
	t := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "entry\t%s (%s, zone %s)\n", s.Self.Name, s.Phase, s.Self.Location.Zone)
	fmt.Fprintf(t, "log readable\tconfiguration %t, grants %t\n", s.Log.ConfigReadable, s.Log.GrantsReadable)
	fmt.Fprintf(t, "key ranges held\t%d\n", s.Grants.HeldRanges)
	fmt.Fprintf(t, "certificate ends\t%s\n", s.CertificateExpiry.Format(time.RFC3339))
	fmt.Fprintf(t, "waiting\t%d\n", s.QueuedTasks)
	if len(s.DrainedZones) > 0 {
		fmt.Fprintf(t, "drained zones\t%s (%d upstreams)\n", strings.Join(s.DrainedZones, ", "), s.DrainedUpstreams)
	}
	fmt.Fprintln(t, "\nPROCESS\tCONFIGURATION")
	var names []string
	for n := range s.ConfigVersions {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(t, "%s\t%d\n", n, s.ConfigVersions[n])
	}
	return t.Flush()
}

func (a *app) dumpCommand() *cobra.Command {
	o := &operatorFlags{}
	c := &cobra.Command{
		Use: "dump", Short: "Print an entry's whole state as JSON",
		Example: "  turmericbarrow dump --operators-url http://10.0.0.1:7200", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := fetchState(c.Context(), o)
			if err != nil {
				return err
			}
			return a.printJSON(s)
		},
	}
	o.add(c.Flags())
	return c
}

// retireCommands returns the commands that list and retire upstreams or hosts. The
// resource is "upstream" or "host".
func (a *app) retireCommands(resource string) *cobra.Command {
	o := &operatorFlags{}
	c := &cobra.Command{Use: resource, Short: "List and retire " + resource + "s"}
	list := &cobra.Command{
		Use: "list", Short: "List the " + resource + "s that an entry knows",
		Example: "  turmericbarrow " + resource + " list", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := fetchState(c.Context(), o)
			if err != nil {
				return err
			}
			if resource == "host" {
				return a.printHosts(s)
			}
			return a.printUpstreams(s.Upstreams)
		},
	}
	var reason string
	var back bool
	retire := &cobra.Command{
		Use: "retire NAME", Short: "Stop new work for a " + resource + " until it is taken back",
		Example: "  turmericbarrow " + resource + " retire minion-3 --reason 'rack 7 is moved'", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return a.setRetired(c.Context(), o, resource+"/"+args[0], reason, back)
		},
	}
	retire.Flags().StringVar(&reason, "reason", "retired", "why, for the history")
	retire.Flags().BoolVar(&back, "back", false, "take it back into service instead")
	o.add(list.Flags())
	o.add(retire.Flags())
	c.AddCommand(list, retire)
	return c
}

// setRetired retires the named upstream or host, or takes it back into service.
func (a *app) setRetired(ctx context.Context, o *operatorFlags, name, reason string, back bool) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	defer client.Close()
	config, err := client.Config(ctx)
	if err != nil {
		return err
	}
	return a.amend(ctx, client, contr.Amendment{
		Author:  o.author,
		Base:    findDocument(config, name).Version,
		Name:    name,
		Text:    reason,
		Deleted: back,
	})
}

func (a *app) printHosts(s entry.State) error {
	t := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "HOST\tROLE\tREGION\tZONE\tINCARNATION")
	hosts := s.Agents
	for _, m := range s.Entries {
		hosts = append(hosts, m.Host)
	}
	for _, h := range hosts {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", h.Name, h.Role, h.Location.Region, h.Location.Zone, h.Incarnation)
	}
	return t.Flush()
}

func (a *app) printUpstreams(us []route.Upstream) error {
	t := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "UPSTREAM\tSLOTS\tIN FLIGHT\tWINDOW\tHEALTH\tREASON")
	for _, u := range us {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%s\t%s\n", u.Name, u.Slots, u.InFlight, u.Window, u.Health, u.Reason)
	}
	return t.Flush()
}

func (a *app) explainCommand() *cobra.Command {
	o := &operatorFlags{}
	var format, customer string
	var since time.Duration
	var logs []string
	c := &cobra.Command{
		Use: "explain [REQUEST-ID]", Short: "Explain why a request waited, was refused or failed, and which tasks were served before it",
		Example: "  turmericbarrow explain 0199a3c2-... --operators-url http://10.0.0.1:7200,http://10.0.0.2:7200\n  turmericbarrow explain --customer lusofala-events --since 10s\n  turmericbarrow explain --log entry-1.log,agent-1.log 5c56075ca8946e59",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return a.explainFromLogs(c.InOrStdin(), logs, args, format)
			}
			return a.explain(c.Context(), o, args, customer, since, format)
		},
	}
	o.add(c.Flags())
	c.Flags().StringVar(&format, "format", formatText, "text or json")
	c.Flags().StringVar(&customer, "customer", "", "explain this customer's latest requests")
	c.Flags().DurationVar(&since, "since", 10*time.Second, "how far back, with --customer")
	c.Flags().StringSliceVar(&logs, "log", nil, "log files of processes to read instead of querying entries; - for standard input")
	return c
}

// explainFromLogs explains a job or request from log files. It works without running
// processes.
func (a *app) explainFromLogs(in io.Reader, logs, args []string, format string) error {
	if len(args) != 1 {
		return errors.New("explain --log: want one id of a job or request")
	}
	if err := checkFormat(format); err != nil {
		return err
	}
	var lines []joblog.Line
	for _, name := range logs {
		more, err := readLog(in, name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	s, err := joblog.Explain(lines, args[0])
	if err != nil {
		return err
	}
	if format == formatJSON {
		return a.printJSON(s)
	}
	fmt.Fprintf(a.out, "job %s request %s\n%s\n", s.Job, s.Request, s.Cause)
	for _, r := range s.Runs {
		fmt.Fprintln(a.out, r)
	}
	_, err = fmt.Fprintf(a.out, "  %s\n", strings.Join(s.Lines, "\n  "))
	return err
}

// readLog reads the named log file, or standard input if the name is "-".
func readLog(in io.Reader, name string) ([]joblog.Line, error) {
	if name == "-" {
		return joblog.Read("stdin", in)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Annotatef(err, "--log")
	}
	defer f.Close()
	return joblog.Read(filepath.Base(name), f)
}

func (a *app) explain(ctx context.Context, o *operatorFlags, args []string, customer string, since time.Duration, format string) error {
	if err := checkFormat(format); err != nil {
		return err
	}
	if (len(args) == 1) == (customer != "") {
		return badFlag("customer", customer, "either a request id or --customer")
	}
	xs, err := fetchExplanations(ctx, o, args, customer, since)
	if err != nil {
		return err
	}
	if format == formatJSON {
		return a.printJSON(xs)
	}
	for _, x := range xs {
		a.printExplanation(x)
	}
	return nil
}

// fetchExplanations queries all entries, since only the entry that decided a request, usually
// the one that held its key, has a record of it. A failed query is an error only if no entry returned an
// explanation. A malformed URL is always an error.
func fetchExplanations(ctx context.Context, o *operatorFlags, args []string, customer string, since time.Duration) ([]audit.Explanation, error) {
	var all []audit.Explanation
	var lastErr error
	for _, url := range strings.Split(o.url, ",") {
		single := *o
		single.url = url
		client, err := single.client()
		if err != nil {
			return nil, err
		}
		var xs []audit.Explanation
		if customer != "" {
			xs, err = client.ExplainCustomer(ctx, customer, millis(since))
		} else {
			xs, err = client.Explain(ctx, args[0])
		}
		client.Close()
		if err != nil {
			lastErr = err
		}
		all = append(all, xs...)
	}
	if len(all) > 0 {
		lastErr = nil
	}
	return all, lastErr
}

func (a *app) printExplanation(x audit.Explanation) {
	r := x.Record
	fmt.Fprintf(a.out, "request %s of %s, kind %s\n", r.Request, r.Customer, r.Kind)
	fmt.Fprintf(a.out, "  arrived %s, ended %d ms later\n", r.ArrivedAt.Time().UTC().Format(time.RFC3339Nano), r.EndedAt-r.ArrivedAt)
	switch {
	case r.Problem != nil && r.Problem.Line != "":
		fmt.Fprintf(a.out, "  refused by line %s of contract version %d: %s (ran: %s)\n", r.Problem.Line, r.Problem.Version, r.Problem.Detail, r.Problem.Ran)
	case r.Problem != nil:
		fmt.Fprintf(a.out, "  %s: %s (ran: %s)\n", r.Problem.Type, r.Problem.Detail, r.Problem.Ran)
	default:
		fmt.Fprintf(a.out, "  waited %d ms\n", r.WaitedMS)
	}
	if len(r.Upstreams) > 0 {
		fmt.Fprintf(a.out, "  sent to %s\n", strings.Join(r.Upstreams, ", "))
	}
	for _, p := range r.PassedOver {
		fmt.Fprintf(a.out, "  passed over %s\n", p)
	}
	for _, h := range x.Ahead {
		fmt.Fprintf(a.out, "  ahead of it: %d tasks of %s %s by line %s of contract version %d\n", h.Tasks, h.Customer, h.Kind, h.Rule, h.Version)
	}
	if x.Truncated {
		fmt.Fprintln(a.out, "  older dispatches are no longer remembered")
	}
}
