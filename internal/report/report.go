// Package report reads the files of the check commands with a bound, writes their reports and
// determines their exit codes.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/turmericbarrow/turmericbarrow/internal/check"
	"github.com/turmericbarrow/turmericbarrow/internal/daemon"
)

// ExitStatus is the exit code of a command that ends without a message.
type ExitStatus int

// The exit codes of the check commands.
const (
	ExitWarnings ExitStatus = 1
	ExitErrors   ExitStatus = 2
)

// Error returns the exit code as text.
func (s ExitStatus) Error() string { return fmt.Sprintf("exit code %d", int(s)) }

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

// UsageError marks an error of a check command's flags, arguments or connections. Code 1
// stands for warnings, so these commands exit with ExitErrors on all errors.
type UsageError struct {
	Err error
}

// Error returns the error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Command makes the errors of a command's arguments, flags and environment UsageErrors, and those
// of its run unless they are an ExitStatus.
func Command(c *cobra.Command) *cobra.Command {
	args, run := c.Args, c.RunE
	c.PersistentPreRunE = func(c *cobra.Command, _ []string) error {
		return usage(daemon.SetFlagsFromEnvironment(c.Flags()))
	}
	c.Args = func(c *cobra.Command, a []string) error { return usage(args(c, a)) }
	c.RunE = func(c *cobra.Command, a []string) error { return usage(run(c, a)) }
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usage(err) })
	return c
}

func usage(err error) error {
	var status ExitStatus
	if err == nil || errors.As(err, &status) {
		return err
	}
	return &UsageError{Err: err}
}

// ExitCode returns the exit code of a command that ended with an error, and whether the error
// has to be printed. Errors that this package does not know have the code otherwise.
func ExitCode(err error, otherwise int) (code int, visible bool) {
	var status ExitStatus
	if errors.As(err, &status) {
		return int(status), false
	}
	var u *UsageError
	if errors.As(err, &u) {
		return int(ExitErrors), true
	}
	return otherwise, true
}

// WriteSettings writes the report on the settings of a process, and returns the ExitStatus that
// it calls for, or nil.
func WriteSettings(out io.Writer, process string, errs []error) error {
	o := Options{Output: formatText}
	return o.Write(out, settings(process, errs))
}

// settings returns the report on the settings of a process. Each error is a finding.
func settings(process string, errs []error) check.Report {
	r := check.Report{}
	for _, err := range errs {
		var flag *daemon.FlagError
		if errors.As(err, &flag) {
			r.Add(check.SettingError(process, "--"+flag.Name, fmt.Sprintf("%v is not allowed", flag.Value), flag.Allowed))
			continue
		}
		r.Add(check.SettingError(process, "", err.Error(), "a value that the process can use"))
	}
	return r
}
