package retry_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/internal/retry"
)

// The same cases on every run.
func init() { flag.Set("rapid.seed", "1") }

func TestBudgetNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.New()
		percent := rapid.Float64Range(0, 100).Draw(t, "percent")
		first, second := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				first++
				b.Earn("c", percent)
				continue
			}
			if b.Spend("c") {
				second++
			}
			if percent == 0 {
				require.Zero(t, second)
			}
			require.LessOrEqual(t, float64(second), 64+float64(first)*percent/100+1e-6)
		}
	})
}
