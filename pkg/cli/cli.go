// Package cli is the command line of turmericbarrow. Every flag can also be set as
// an environment variable: --log-url as TURMERICBARROW_LOG_URL.
package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// Version is set by the build.
var Version = "development"

// environmentPrefix begins the name of every environment variable.
const environmentPrefix = "TURMERICBARROW_"

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1
)

// app is what the commands share.
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
		fmt.Fprintf(errOut, "turmericbarrow: %v\n", err)
		return exitFailed
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
			return readEnvironment(c.Flags())
		},
	}
	c.PersistentFlags().StringVar(&a.level, "log-level", "info", "least level of logs: debug, info, warn or error")
	c.AddCommand(
		a.entryCommand(),
		a.agentCommand(),
		a.devCommand(),
		a.contractCommand(),
		a.retireCommands("upstream"),
		a.retireCommands("host"),
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

// readEnvironment sets every flag that the command line does not set from its
// environment variable.
func readEnvironment(flags *pflag.FlagSet) error {
	var failed error
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Changed || failed != nil {
			return
		}
		name := environmentName(f.Name)
		v, ok := os.LookupEnv(name)
		if !ok {
			return
		}
		if err := flags.Set(f.Name, v); err != nil {
			failed = errors.Annotatef(err, "%s for --%s", name, f.Name)
		}
	})
	return failed
}

func environmentName(flag string) string {
	return environmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// logger writes JSON lines to the error output, and takes over the standard
// logger's lines of libraries.
func (a *app) logger() (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(a.level)); err != nil {
		return nil, badFlag("log-level", a.level, "debug, info, warn or error")
	}
	l := slog.New(slog.NewJSONHandler(a.err, &slog.HandlerOptions{Level: level}))
	slog.SetDefault(l)
	return l, nil
}

// badFlag is the error for a setting that is not allowed.
func badFlag(name string, value any, allowed string) error {
	return errors.Errorf("--%s: %v is not allowed; want %s", name, value, allowed)
}

// untilSignal calls drain at the first SIGTERM or SIGINT and ends the context at
// the second. The function that it returns stops listening and waits for the task.
func untilSignal(ctx context.Context, drain func()) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer signal.Stop(signals)
		for _, act := range []func(){drain, cancel} {
			select {
			case <-signals:
				act()
			case <-ctx.Done():
				return
			}
		}
	}()
	return ctx, func() {
		cancel()
		<-done
	}
}
