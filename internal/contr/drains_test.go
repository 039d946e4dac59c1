package contr_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
)

func TestZoneIsDrainedUntilItsDocumentIsDeleted(t *testing.T) {
	config, agent := contr.NewConfig(), contr.NewConfig()
	drain := contr.Amendment{Author: "ana", Base: contr.NoVersion, Name: "zone/a", Text: "power"}
	require.True(t, config.Amend(3, drain).Accepted)
	require.Equal(t, []string{"a"}, config.Drains.Zones)
	v := config.Amend(4, contr.Amendment{Author: "bor", Base: contr.NoVersion, Name: "zone/a", Text: "network"})
	require.False(t, v.Accepted, "of two operators one succeeds")
	require.Contains(t, v.Reason, "version 3 is in force, written by ana")
	require.False(t, config.Amend(5, contr.Amendment{Base: 2, Name: "zone/a", Deleted: true}).Accepted, "a stale amendment can't end a drain")
	require.True(t, config.Amend(6, contr.Amendment{Base: contr.NoVersion, Name: "zone/A b", Text: "any name that a host may have"}).Accepted)
	agent.Advance(config.Version, config.ChangedSince(agent.Version))
	require.Equal(t, config.Drains, agent.Drains)

	require.True(t, config.Amend(7, contr.Amendment{Base: 3, Name: "zone/a", Deleted: true}).Accepted)
	require.False(t, config.Amend(8, drain).Accepted, "a stale amendment can't drain the zone again")
	require.Equal(t, []string{"A b"}, config.Drains.Zones)
	restored := contr.NewConfig()
	require.True(t, restored.Restore(8, config.Version, config.SortedDocuments()))
	require.Equal(t, config.Drains, restored.Drains, "a reader that starts from a snapshot")
	agent.Advance(config.Version, config.ChangedSince(agent.Version))
	require.Equal(t, config.Drains, agent.Drains)
}

func TestDrainOfAnInvalidZoneIsRejected(t *testing.T) {
	config := contr.NewConfig()
	for i, zone := range []string{"", strings.Repeat("z", 256)} {
		require.False(t, config.Amend(int64(i), contr.Amendment{Base: contr.NoVersion, Name: "zone/" + zone}).Accepted)
	}
}
