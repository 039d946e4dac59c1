// Package daemon contains the start and shutdown tasks that all processes of the system share:
// setting flags from the environment, creating the logger and handling signals.
package daemon

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
	"github.com/spf13/pflag"
)

// EnvironmentPrefix is the prefix of the names of all environment variables.
const EnvironmentPrefix = "TURMERICBARROW_"

// SetFlagsFromEnvironment sets each flag that is not set on the command line from its
// environment variable, if that exists.
func SetFlagsFromEnvironment(flags *pflag.FlagSet) error {
	var firstErr error
	flags.VisitAll(func(f *pflag.Flag) {
		if f.Changed || firstErr != nil {
			return
		}
		name := EnvironmentVariable(f.Name)
		v, ok := os.LookupEnv(name)
		if !ok {
			return
		}
		if err := flags.Set(f.Name, v); err != nil {
			firstErr = errors.Annotatef(err, "%s for --%s", name, f.Name)
		}
	})
	return firstErr
}

// EnvironmentVariable returns the name of the environment variable of a flag.
func EnvironmentVariable(flag string) string {
	return EnvironmentPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// NewLogger returns a logger that writes JSON lines to out, and makes it the default logger so
// that it also receives the log lines of libraries.
func NewLogger(level string, out io.Writer) (*slog.Logger, error) {
	minLevel, err := ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: minLevel}))
	slog.SetDefault(log)
	return log, nil
}

// ParseLevel returns the level of log lines that the flag log-level names.
func ParseLevel(level string) (slog.Level, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return l, BadFlag("log-level", level, "debug, info, warn or error")
	}
	return l, nil
}

// FlagError reports a flag whose value is not allowed.
type FlagError struct {
	Name  string
	Value any
	// Allowed says which values are allowed.
	Allowed string
}

// Error returns the flag, its value and the allowed values.
func (e *FlagError) Error() string {
	return fmt.Sprintf("--%s: %v is not allowed; want %s", e.Name, e.Value, e.Allowed)
}

// BadFlag returns the error for a flag whose value is not allowed.
func BadFlag(name string, value any, allowed string) error {
	return &FlagError{Name: name, Value: value, Allowed: allowed}
}

// OnReload calls reload at each SIGHUP until the returned function is called.
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

// ShutdownOnSignal calls drain at the first SIGTERM or SIGINT and cancels the returned context
// at the second. The returned function cancels the context, stops the signal handling and
// waits for its goroutine to end.
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

// IgnoreCanceled returns nil if err is due to a canceled context, and err otherwise.
func IgnoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
