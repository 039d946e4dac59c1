package roster

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

const renewalMS clock.Millis = 20_000

func TestRecordWithoutRenewalBecomesStale(t *testing.T) {
	l := NewListing()
	now := clock.Millis(0)
	for revision := int64(0); now <= staleMS+renewalMS; revision++ {
		live, stale := l.Update([]Record{{"renewed", revision}, {"gone", 0}}, now)
		if now <= staleMS {
			require.Equal(t, []string{"gone", "renewed"}, live)
		} else {
			require.Equal(t, []string{"renewed"}, live)
			require.Equal(t, []string{"gone"}, stale)
		}
		now += renewalMS
	}
}

// While the list can't be read, nobody may have been able to renew a record.
func TestTimeWithoutReadsMakesNoRecordStale(t *testing.T) {
	l := NewListing()
	l.Update([]Record{{"a", 1}}, 0)
	live, _ := l.Update([]Record{{"a", 1}}, 600_000)
	require.Equal(t, []string{"a"}, live)
}

func TestRenewedRecordIsLiveAgain(t *testing.T) {
	l := NewListing()
	for now := clock.Millis(0); now < 2*staleMS; now += renewalMS {
		l.Update([]Record{{"a", 1}}, now)
	}
	live, _ := l.Update([]Record{{"a", 2}}, 2*staleMS)
	require.Equal(t, []string{"a"}, live)
}
