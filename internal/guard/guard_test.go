package guard

import (
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

func TestPanicIsReturnedAsError(t *testing.T) {
	var table map[string]int
	err := Run("handle frame", func() { table["x"] = 1 })
	require.ErrorContains(t, err, "handle frame: panic: assignment to entry in nil map")
	require.ErrorContains(t, err, "guard_test.go", "the error names the line at fault")
}

func TestErrorIsPassedThrough(t *testing.T) {
	cause := errors.New("refused")
	require.Equal(t, cause, Call("step", func() error { return cause }))
	require.NoError(t, Run("step", func() {}))
}
