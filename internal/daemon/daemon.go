// Package daemon holds what every process of the system does at its start and end:
// settings from the environment, the logger, signals.
package daemon

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/juju/errors"
	"github.com/spf13/pflag"
)

// EnvironmentPrefix begins the name of every environment variable.
const EnvironmentPrefix = "TURMERICBARROW_"

// SetFlagsFromEnvironment sets every flag that the command line does not set from its
// environment variable.
func SetFlagsFromEnvironment(flags *pflag.FlagSet) error {
	var failed error
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Changed || failed != nil {
			return
		}
		name := EnvironmentVariable(f.Name)
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

// EnvironmentVariable returns the environment variable of a flag.
func EnvironmentVariable(flag string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// NewLogger writes JSON lines to out, and takes over the standard logger's lines of
// libraries.
func NewLogger(level string, out io.Writer) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, BadFlag("log-level", level, "debug, info, warn or error")
	}
	log := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: l}))
	slog.SetDefault(log)
	return log, nil
}

// BadFlag is the error for a setting that is not allowed.
func BadFlag(name string, value any, allowed string) error {
	return errors.Errorf("--%s: %v is not allowed; want %s", name, value, allowed)
}

// OnReload calls reload at each SIGHUP until the function that it returns is called.
func OnReload(reload func()) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-signals:
				reload()
			case <-stop:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(stop)
		<-done
	}
}

// ShutdownOnSignal calls drain at the first SIGTERM or SIGINT and ends the context at
// the second. The function that it returns stops listening and waits for the task.
func ShutdownOnSignal(ctx context.Context, drain func()) (context.Context, func()) {
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

// IgnoreCanceled takes an end that was asked for as no error.
func IgnoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
