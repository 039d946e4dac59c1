package cli

import (
	"context"
	"io"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/turmericbarrow/turmericbarrow/internal/check"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/daemon"
	"github.com/turmericbarrow/turmericbarrow/internal/entry"
	"github.com/turmericbarrow/turmericbarrow/internal/report"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
)

// checkFlags are the flags of the check command.
type checkFlags struct {
	report.Options
	operators   operatorFlags
	against     []string
	inForce     bool
	slots       int
	maxJobTasks int
}

const checkExample = `  turmericbarrow check examples/lusofala/*.yaml
  turmericbarrow check events.yaml --in-force --operators-url http://10.0.0.1:7200
  turmericbarrow check - --against events.yaml --strict --output json < new.yaml`

func (a *app) checkCommand() *cobra.Command {
	f := &checkFlags{}
	c := &cobra.Command{
		Use:     "check FILE...",
		Short:   "Check contracts before they are sent, and show what they change",
		Example: checkExample,
		Args:    cobra.MinimumNArgs(1),
		RunE:    func(c *cobra.Command, files []string) error { return a.check(c.Context(), c.InOrStdin(), f, files) },
	}
	f.Add(c)
	f.operators.add(c.Flags())
	c.Flags().StringSliceVar(&f.against, "against", nil, "files of contracts to compare with")
	c.Flags().BoolVar(&f.inForce, "in-force", false, "compare with the contracts in force, and use the upstreams in service")
	c.Flags().IntVar(&f.slots, "slots", 0, "slots of all upstreams; 0 if unknown, or those in service with --in-force")
	c.Flags().IntVar(&f.maxJobTasks, "max-job-tasks", defaultMaxJobTasks, "as set for the entries; 0 if unknown")
	return report.Command(c)
}

// check checks the contracts in the given files.
func (a *app) check(ctx context.Context, in io.Reader, f *checkFlags, files []string) error {
	if err := f.Check(); err != nil {
		return err
	}
	if f.inForce && len(f.against) > 0 {
		return badFlag("against", f.against, "only one of --against and --in-force")
	}
	r := check.Report{}
	input := check.ContractsInput{
		Files:       readFiles(files, in, &r),
		BaseVersion: contr.NoVersion,
		Facts:       check.Facts{Slots: f.slots, MaxJobTasks: f.maxJobTasks},
	}
	switch {
	case f.inForce:
		if err := f.setInForce(ctx, &input); err != nil {
			return err
		}
	case len(f.against) > 0:
		setBase(readFiles(f.against, in, &r), &input, &r)
	}
	r.Merge(check.Contracts(input))
	r.Sort()
	return f.Write(a.out, r)
}

// readFiles reads files of contracts and reports those that can't be read.
func readFiles(names []string, in io.Reader, r *check.Report) []check.File {
	var files []check.File
	for _, name := range names {
		text, err := report.Read(name, in, contr.MaxTextBytes)
		if err != nil {
			r.Add(check.FileError(report.Name(name), err))
			continue
		}
		files = append(files, check.File{Name: report.Name(name), Text: text})
	}
	return files
}

// setBase makes the contracts of files the ones to compare with, and reports those that the
// system would reject.
func setBase(files []check.File, input *check.ContractsInput, r *check.Report) {
	base := contr.NewConfig()
	for _, file := range files {
		c, errs := contr.ParseAll(file.Name, file.Text)
		if len(errs) > 0 {
			r.Add(check.ContractErrors(file.Name, errs)...)
			continue
		}
		name := contr.PrefixContract + c.Customer
		v := base.Amend(base.Applied+1, contr.Amendment{Author: file.Name, Base: contr.NoVersion, Name: name, Text: string(file.Text)})
		if !v.Accepted {
			r.Add(check.AmendmentError(file, v.Reason, "files of which each could be in force"))
		}
	}
	input.Base, input.BaseVersion, input.Compare = base.SortedDocuments(), base.Version, true
}

// setInForce sets the configuration in force, and the facts that an entry knows of its
// upstreams.
func (f *checkFlags) setInForce(ctx context.Context, input *check.ContractsInput) error {
	client, err := f.operators.client()
	if err != nil {
		return err
	}
	defer client.Close()
	config, err := client.Config(ctx)
	if err != nil {
		return errors.Annotate(err, "read the configuration in force")
	}
	state, err := client.State(ctx)
	if err != nil {
		return errors.Annotate(err, "read the upstreams in service")
	}
	setConfig(config, input)
	setUpstreams(state.Upstreams, &input.Facts)
	return nil
}

// setConfig makes the contracts in force the ones to compare with.
func setConfig(config entry.ConfigResponse, input *check.ContractsInput) {
	input.Base, input.BaseVersion, input.Compare = config.Documents, config.Version, true
}

// setUpstreams derives facts from the upstreams that an entry is linked to. An entry without any
// does not know which kinds are served. Slots that the operator gave are kept.
func setUpstreams(upstreams []route.Upstream, facts *check.Facts) {
	if len(upstreams) == 0 {
		return
	}
	slots := 0
	facts.Kinds, facts.ServiceMS = map[string]bool{}, map[string]float64{}
	for _, u := range upstreams {
		slots += u.Slots
		for kind, serves := range u.Kinds {
			facts.Kinds[kind] = facts.Kinds[kind] || serves
		}
		for kind, e := range u.ServiceTime {
			if best, known := facts.ServiceMS[kind]; e.Count > 0 && (!known || e.MeanMS < best) {
				facts.ServiceMS[kind] = e.MeanMS
			}
		}
	}
	if facts.Slots == 0 {
		facts.Slots = slots
	}
}

// checkSettings reports the errors of a process's settings, and of its certificate and key.
func (a *app) checkSettings(process string, problems []error, h hostFlags) error {
	errs := settingErrors(problems)
	_, err := daemon.ParseLevel(a.level)
	errs.add(err)
	errs.add(h.credentialProblems()...)
	return report.WriteSettings(a.out, process, errs)
}
