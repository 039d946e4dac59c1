// Package report reads the files of the check commands with a bound, writes their reports and
// determines their exit codes.
package report

import (
	"encoding/json"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/turmericbarrow/turmericbarrow/internal/check"
	"github.com/turmericbarrow/turmericbarrow/internal/daemon"
)

// Formats of reports.
const (
	formatText = "text"
	formatJSON = "json"
)

// standardInput is the argument for the standard input, and its name in findings.
const (
	standardInput     = "-"
	standardInputName = "stdin"
)

// Options are the flags that the check commands share.
type Options struct {
	Strict bool
	Output string
}

// Add adds the flags to a command.
func (o *Options) Add(c *cobra.Command) {
	c.Flags().BoolVar(&o.Strict, "strict", false, "exit with 1 if there are warnings")
	c.Flags().StringVar(&o.Output, "output", formatText, "text or json")
}

// Check returns an error if a flag is not allowed.
func (o *Options) Check() error {
	if o.Output != formatText && o.Output != formatJSON {
		return daemon.BadFlag("output", o.Output, "text or json")
	}
	return nil
}

// Write writes a report. It returns the ExitStatus that the report calls for, or nil.
func (o *Options) Write(out io.Writer, r check.Report) error {
	if err := o.write(out, r); err != nil {
		return errors.Annotate(err, "write report")
	}
	switch {
	case r.Count(check.SeverityError) > 0:
		return ExitErrors
	case o.Strict && r.Count(check.SeverityWarning) > 0:
		return ExitWarnings
	}
	return nil
}

func (o *Options) write(out io.Writer, r check.Report) error {
	if o.Output == formatText {
		_, err := io.WriteString(out, r.Text())
		return err
	}
	if r.Findings == nil {
		r.Findings = []check.Finding{}
	}
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Name returns the name of a file in findings.
func Name(file string) string {
	if file == standardInput {
		return standardInputName
	}
	return file
}

// Read returns a file's content, or that of in if the file is "-". It reads at most one byte
// more than limit, so that the decoder of the content can refuse it as too long.
func Read(file string, in io.Reader, limit int) ([]byte, error) {
	if file == standardInput {
		return io.ReadAll(io.LimitReader(in, int64(limit)+1))
	}
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, int64(limit)+1))
}
