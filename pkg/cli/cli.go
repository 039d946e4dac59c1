// Package cli implements the turmericbarrow command line. Every flag can also be set by an
// environment variable, such as TURMERICBARROW_LOG_URL for --log-url.
package cli

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/spf13/cobra"

	"github.com/turmericbarrow/turmericbarrow/internal/daemon"
	"github.com/turmericbarrow/turmericbarrow/internal/report"
)

// Version is the version of the program, which the build sets.
var Version = "development"

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1
)

// app holds the output streams and the flag that all commands share.
type app struct {
	out   io.Writer
	err   io.Writer
	level string
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	a := &app{out: out, err: errOut}
	root := a.root()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		code, visible := report.ExitCode(err, exitFailed)
		if visible {
			fmt.Fprintf(errOut, "turmericbarrow: %v\n", err)
		}
		return code
	}
	return exitOK
}

func (a *app) root() *cobra.Command {
	c := &cobra.Command{
		Use:           "turmericbarrow",
		Short:         "A dispatcher for sub-second tasks, driven by contracts",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error {
			return daemon.SetFlagsFromEnvironment(c.Flags())
		},
	}
	c.PersistentFlags().StringVar(&a.level, "log-level", "info", "minimum level of log lines: debug, info, warn or error")
	c.AddCommand(
		a.entryCommand(),
		a.agentCommand(),
		a.devCommand(),
		a.contractCommand(),
		a.checkCommand(),
		a.retireCommands("upstream"),
		a.retireCommands("host"),
		a.zoneCommand(),
		a.statusCommand(),
		a.dumpCommand(),
		a.explainCommand(),
		a.measureCommand(),
		a.keysCommand(),
		a.versionCommand(),
	)
	return c
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  turmericbarrow version",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(a.out, Version)
			return err
		},
	}
}

func (a *app) logger() (*slog.Logger, error) {
	return daemon.NewLogger(a.level, a.err)
}

// badFlag returns the error for an invalid flag value.
func badFlag(name string, value any, allowed string) error {
	return daemon.BadFlag(name, value, allowed)
}
