package zone

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// current is the set of a process that receives sets in any order.
type current struct{ Drains }

func (c *current) receive(d Drains) {
	if d.NewerThan(c.Drains) {
		c.Drains = d
	}
}

// Guards against a process that goes back to an older set, also if the sets arrive late or twice.
func TestLateCopiesOfOlderSetsChangeNothing(t *testing.T) {
	sets := []Drains{NewDrains(3, []string{"a"}), NewDrains(5, []string{"a", "b"}), NewDrains(9, nil)}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 0, 2, 1}, {2, 0, 2, 1}, {0, 2, 1, 0}} {
		c := &current{}
		for _, i := range order {
			c.receive(sets[i])
		}
		require.Equal(t, sets[2], c.Drains, order)
	}
	c := &current{}
	c.receive(sets[1])
	c.receive(NewDrains(5, nil))
	require.Equal(t, sets[1], c.Drains, "another set of the same revision")
}

func TestZonesAreDrainedIndependently(t *testing.T) {
	d := NewDrains(1, []string{"b", "a", "b"})
	require.Equal(t, []string{"a", "b"}, d.Zones)
	resumed := d.With("a", false)
	require.False(t, resumed.Contains("a"))
	require.True(t, resumed.Contains("b"))
	require.True(t, d.Contains("a"), "a set that was passed on does not change")
	again := resumed.With("a", true)
	require.Equal(t, d, again)
	require.False(t, slices.Contains(resumed.Zones, "a"))
	require.False(t, d.Contains(""), "a process without a zone")
}

func TestInvalidNamesAndFurtherDrainsOfAFullSetAreIgnored(t *testing.T) {
	d := NewDrains(1, []string{"", strings.Repeat("z", 256), strings.Repeat("z", 255)})
	require.Len(t, d.Zones, 1)
	for i := range 2 * maxDrained {
		d = d.With(fmt.Sprint(i), true)
	}
	require.Len(t, d.Zones, maxDrained)
	require.False(t, d.With("0", false).Contains("0"))
}
