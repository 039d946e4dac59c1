package cli

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/entry"
	"github.com/turmericbarrow/turmericbarrow/internal/opapi"
)

// operatorFlags hold the address of the operators' listener that a command connects to,
// and the operator's credentials.
type operatorFlags struct {
	url    string
	token  string
	author string
}

func (o *operatorFlags) add(f *pflag.FlagSet) {
	f.StringVar(&o.url, "operators-url", "http://127.0.0.1:7200", "base URL of an entry's operators' listener")
	f.StringVar(&o.token, "operator-token", "", "operator token")
	f.StringVar(&o.author, "author", currentUser(), "name recorded as the author of amendments")
}

func currentUser() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func (o *operatorFlags) client() (*opapi.Client, error) {
	if err := checkURL("operators-url", o.url); err != nil {
		return nil, err
	}
	return opapi.New(o.url, o.token), nil
}

func (a *app) contractCommand() *cobra.Command {
	o := &operatorFlags{}
	c := &cobra.Command{Use: "contract", Short: "Check, compare and amend contracts"}
	validate := &cobra.Command{
		Use: "validate FILE...", Short: "Check contract files without a running system",
		Example: "  turmericbarrow contract validate examples/lusofala/*.yaml", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error { return a.validate(files) },
	}
	plan := &cobra.Command{
		Use: "plan FILE...", Short: "Show what applying contract files would change",
		Example: "  turmericbarrow contract plan examples/lusofala/*.yaml", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error { return a.plan(c.Context(), o, files) },
	}
	apply := &cobra.Command{
		Use: "apply FILE...", Short: "Put contract files in force",
		Example: "  turmericbarrow contract apply examples/lusofala/events.yaml", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error { return a.apply(c.Context(), o, files) },
	}
	get := &cobra.Command{
		Use: "get [CUSTOMER]", Short: "Print contracts in force",
		Example: "  turmericbarrow contract get lusofala-events", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return a.get(c.Context(), o, args) },
	}
	history := &cobra.Command{
		Use: "history", Short: "Print the latest amendments and what became of them",
		Example: "  turmericbarrow contract history", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return a.history(c.Context(), o) },
	}
	for _, sub := range []*cobra.Command{plan, apply, get, history} {
		o.add(sub.Flags())
	}
	c.AddCommand(validate, plan, apply, get, history)
	return c
}

// readContracts reads and parses all files. Commands call it before they send anything,
// so that an invalid file prevents the whole command.
func readContracts(files []string) ([]contr.Amendment, error) {
	var out []contr.Amendment
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Annotate(err, "read contract")
		}
		c, err := contr.Parse(f, text)
		if err != nil {
			return nil, err
		}
		out = append(out, contr.Amendment{Name: contr.PrefixContract + c.Customer, Text: string(text)})
	}
	return out, nil
}

func (a *app) validate(files []string) error {
	amendments, err := readContracts(files)
	if err != nil {
		return err
	}
	for i := range amendments {
		fmt.Fprintf(a.out, "%s: valid\n", files[i])
	}
	return nil
}

// loadForComparison reads the contract files and fetches the configuration in force. The
// caller must close the returned client if there is no error. If the fetch fails, the client
// is returned with the error and need not be closed, since the command then ends.
func loadForComparison(ctx context.Context, o *operatorFlags, files []string) ([]contr.Amendment, entry.ConfigResponse, *opapi.Client, error) {
	amendments, err := readContracts(files)
	if err != nil {
		return nil, entry.ConfigResponse{}, nil, err
	}
	client, err := o.client()
	if err != nil {
		return nil, entry.ConfigResponse{}, nil, err
	}
	config, err := client.Config(ctx)
	return amendments, config, client, err
}

func (a *app) plan(ctx context.Context, o *operatorFlags, files []string) error {
	amendments, config, client, err := loadForComparison(ctx, o, files)
	if err != nil {
		return err
	}
	defer client.Close()
	for _, am := range amendments {
		before := findDocument(config, am.Name)
		a.printDiff(am, before)
	}
	return nil
}

func (a *app) printDiff(am contr.Amendment, before contr.Document) {
	if a.printIfUnchanged(am, before) {
		return
	}
	fmt.Fprintf(a.out, "%s: from version %d\n", am.Name, before.Version)
	for _, line := range contr.DiffLines(before.Text, am.Text) {
		fmt.Fprintln(a.out, line)
	}
}

// printIfUnchanged reports whether the amendment would leave the document in force
// unchanged, and prints a line if so.
func (a *app) printIfUnchanged(am contr.Amendment, before contr.Document) bool {
	if before.Text != am.Text || before.Deleted {
		return false
	}
	fmt.Fprintf(a.out, "%s: no change (version %d)\n", am.Name, before.Version)
	return true
}

// findDocument returns the named document, or an empty one with contr.NoVersion if there
// is none.
func findDocument(config entry.ConfigResponse, name string) contr.Document {
	for _, d := range config.Documents {
		if d.Name == name {
			return d
		}
	}
	return contr.Document{Name: name, Version: contr.NoVersion}
}

func (a *app) apply(ctx context.Context, o *operatorFlags, files []string) error {
	amendments, config, client, err := loadForComparison(ctx, o, files)
	if err != nil {
		return err
	}
	defer client.Close()
	for _, am := range amendments {
		before := findDocument(config, am.Name)
		if a.printIfUnchanged(am, before) {
			continue
		}
		am.Author = o.author
		am.Base = before.Version
		if err := a.amend(ctx, client, am); err != nil {
			return err
		}
	}
	return nil
}

// amend submits one amendment and returns an error if the system refuses it.
func (a *app) amend(ctx context.Context, client *opapi.Client, am contr.Amendment) error {
	v, err := client.Amend(ctx, am)
	if err != nil {
		return err
	}
	if !v.Accepted {
		return errors.Errorf("%s: refused: %s", am.Name, v.Reason)
	}
	fmt.Fprintf(a.out, "%s: accepted as version %d\n", am.Name, v.Offset)
	return nil
}

// fetchConfig fetches the configuration in force from the entry that the flags name.
func fetchConfig(ctx context.Context, o *operatorFlags) (entry.ConfigResponse, error) {
	client, err := o.client()
	if err != nil {
		return entry.ConfigResponse{}, err
	}
	defer client.Close()
	return client.Config(ctx)
}

func (a *app) get(ctx context.Context, o *operatorFlags, args []string) error {
	config, err := fetchConfig(ctx, o)
	if err != nil {
		return err
	}
	found := false
	for _, d := range config.Documents {
		customer, isContract := d.Customer()
		if !isContract || d.Deleted || (len(args) == 1 && args[0] != customer) {
			continue
		}
		found = true
		fmt.Fprintf(a.out, "# version %d\n%s\n", d.Version, strings.TrimSpace(d.Text))
	}
	if !found && len(args) == 1 {
		return errors.Errorf("no contract of %s is in force", args[0])
	}
	return nil
}

func (a *app) history(ctx context.Context, o *operatorFlags) error {
	config, err := fetchConfig(ctx, o)
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "VERSION\tDOCUMENT\tAUTHOR\tBASE\tOUTCOME")
	for _, v := range config.History {
		outcome := "accepted"
		if !v.Accepted {
			outcome = "refused: " + v.Reason
		}
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%s\n", v.Offset, v.Amendment.Name, v.Amendment.Author, v.Amendment.Base, outcome)
	}
	return t.Flush()
}
