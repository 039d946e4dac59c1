package limit_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/limit"
)

// A fixed seed makes every run check the same cases.
func init() { flag.Set("rapid.seed", "1") }

func TestAdmissionsStayWithinRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &contr.Contract{Customer: "c", Rate: contr.Rate{
			PerSecond: rapid.Float64Range(1, 1000).Draw(t, "rate"), Burst: rapid.Float64Range(1, 100).Draw(t, "burst")}}
		l := limit.New()
		l.SetContract(c, 0)
		now, admitted := clock.Millis(0), 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 50).Draw(t, "gap"))
			n := rapid.IntRange(1, 20).Draw(t, "n")
			remote := rapid.IntRange(0, 3).Draw(t, "remote")
			l.TakeRemote("c", remote, now)
			admitted += remote
			ok, wait := l.Take("c", n, now)
			if !ok {
				require.Equal(t, float64(n) > c.Rate.Burst, wait < 0)
				continue
			}
			admitted += n
			require.LessOrEqual(t, float64(admitted-remote), c.Rate.Burst+c.Rate.PerSecond*float64(now)/1000+float64(3*200)+1e-6)
		}
	})
}

func TestRemoteTasksUseTokens(t *testing.T) {
	l := limit.New()
	l.SetContract(&contr.Contract{Customer: "c", Rate: contr.Rate{PerSecond: 10, Burst: 10}}, 0)
	l.TakeRemote("c", 8, 0)
	ok, wait := l.Take("c", 3, 0)
	require.False(t, ok)
	require.Equal(t, clock.Millis(100), wait)
	ok, _ = l.Take("c", 3, 100)
	require.True(t, ok)
}
