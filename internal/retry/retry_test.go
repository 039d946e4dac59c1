package retry_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/internal/retry"
)

// A fixed seed makes every run check the same cases.
func init() { flag.Set("rapid.seed", "1") }

func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.New()
		percent := rapid.Float64Range(0, 100).Draw(t, "percent")
		firstAttempts, retries := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				firstAttempts++
				b.Earn("c", percent)
				continue
			}
			if b.Spend("c") {
				retries++
			}
			if percent == 0 {
				require.Zero(t, retries)
			}
			require.LessOrEqual(t, float64(retries), 64+float64(firstAttempts)*percent/100+1e-6)
		}
	})
}
