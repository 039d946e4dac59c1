package report

import (
	"fmt"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

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
