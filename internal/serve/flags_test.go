package serve_test

import (
	"testing"

	"github.com/spf13/pflag"
	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/admit"
	"github.com/turmericbarrow/turmericbarrow/internal/serve"
)

// Guards against limits that are not checked, and against a process that does not start because
// its host's limits are unusual.
func TestClientFlags(t *testing.T) {
	for _, c := range []struct {
		args    []string
		problem string
		want    func(s *admit.Settings)
	}{
		{args: nil, want: func(*admit.Settings) {}},
		{args: []string{"--max-client-mb=20", "--max-connections=100", "--body-timeout-ms=2000"}, want: func(s *admit.Settings) {
			s.Bytes, s.Connections, s.BodyTimeout = 20<<20, 100, 2000
		}},
		{args: []string{"--memory-mb=144.0", "--max-descriptors=3075"}, want: func(*admit.Settings) {}},
		{args: []string{"--memory-mb=144", "--max-descriptors=1073741816"}, want: func(*admit.Settings) {}},
		{args: []string{"--memory-mb=1"}, problem: "--memory-mb"},
		{args: []string{"--max-header-lines=-1"}, problem: "--max-header-lines"},
	} {
		flags := serve.ClientFlags{}
		set := pflag.NewFlagSet("", pflag.ContinueOnError)
		flags.Add(set)
		require.NoError(t, set.Parse(c.args))
		got, err := flags.Settings()
		if c.problem != "" {
			require.ErrorContains(t, err, c.problem)
			continue
		}
		require.NoError(t, err)
		want := admit.Defaults(admit.SmallestMemoryMB, admit.SmallestDescriptors)
		c.want(&want)
		require.Equal(t, want, got, c.args)
	}
}
