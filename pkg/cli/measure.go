package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/turmericbarrow/turmericbarrow/internal/bench"
)

// measureFlags are the flags of the measure command.
type measureFlags struct {
	scenario string
	seed     uint64
	seeds    int
	seconds  int
	outage   int
	format   string
}

func (a *app) measureCommand() *cobra.Command {
	f := &measureFlags{}
	c := &cobra.Command{
		Use:     "measure",
		Short:   "Measure scenarios on loopback; exits with an error when a bound does not hold",
		Example: "  turmericbarrow measure --scenario flood_low --seed 1 --format json\n  turmericbarrow measure --scenario doubles --seeds 20",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return a.measure(c.Context(), f) },
	}
	c.Flags().StringVar(&f.scenario, "scenario", bench.All, "all (every scenario except capacity), or one of "+strings.Join(bench.Names(), ", "))
	c.Flags().Uint64Var(&f.seed, "seed", 1, "first seed")
	c.Flags().IntVar(&f.seeds, "seeds", 1, "number of seeds")
	c.Flags().IntVar(&f.seconds, "seconds", 8, "length of each load phase")
	c.Flags().IntVar(&f.outage, "outage", 60, "length of the log's outage in log_down, in seconds")
	c.Flags().StringVar(&f.format, "format", formatJSON, "json lines, or text for a table")
	return c
}

func (a *app) measure(ctx context.Context, f *measureFlags) error {
	if err := f.check(); err != nil {
		return err
	}
	o := bench.Options{Seconds: f.seconds, OutageSeconds: f.outage,
		Log: slog.New(slog.NewJSONHandler(io.Discard, nil))}
	if isTerminal(a.err) {
		o.Progress = func(step string) { fmt.Fprintln(a.err, step) }
	}
	var all []bench.Figure
	for i := range f.seeds {
		o.Seed = f.seed + uint64(i)
		figures, err := bench.Run(ctx, f.scenario, o)
		if err != nil {
			return err
		}
		if f.format == formatJSON {
			a.printJSONLines(figures)
		}
		all = append(all, figures...)
	}
	if f.format == formatText {
		a.printFigures(all)
	}
	return boundsError(all)
}

func (f *measureFlags) check() error {
	switch {
	case f.seeds < 1 || f.seeds > 1000:
		return badFlag("seeds", f.seeds, "1 to 1000")
	case f.seconds < 1 || f.seconds > 600:
		return badFlag("seconds", f.seconds, "1 to 600")
	case f.outage < 1 || f.outage > 3600:
		return badFlag("outage", f.outage, "1 to 3600")
	}
	return checkFormat(f.format)
}

// isTerminal reports whether w is a character device, such as a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (a *app) printJSONLines(figures []bench.Figure) {
	e := json.NewEncoder(a.out)
	for _, f := range figures {
		e.Encode(f)
	}
}

func (a *app) printFigures(figures []bench.Figure) {
	t := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "SCENARIO\tMEASURE\tVALUE\tBASELINE\tBOUND\tHOLDS\tSEED")
	for _, f := range figures {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%s\t%s\t%t\t%d\n", f.Scenario, f.Measure, f.Value, formatOptional(f.Baseline), formatOptional(f.Bound), f.Holds, f.Seed)
	}
	t.Flush()
}

// formatOptional formats a value that may be absent, such as a baseline or bound.
func formatOptional(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.3f", *v)
}

// boundsError returns an error that names the figures outside their bounds, if any.
func boundsError(figures []bench.Figure) error {
	var names []string
	for _, f := range figures {
		if !f.Holds {
			names = append(names, fmt.Sprintf("%s/%s (seed %d)", f.Scenario, f.Measure, f.Seed))
		}
	}
	if len(names) > 0 {
		return errors.Errorf("bounds that do not hold: %s", strings.Join(names, ", "))
	}
	return nil
}
