package leadership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/generation"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

func replicaSetRow(t *testing.T, generation, number uint64, set replicaSet) follow.Row {
	revision, err := platform.NewRevision(generation, number)
	require.NoError(t, err)
	write := encodeRow(replicaSetPrefix+"db", set)
	return follow.Row{Key: write.Key, Value: write.Value, Version: revision}
}

// TestRestoredReplicaSetIsIncomplete guards against the use of a replica set that a store has returned
// with from an older copy, when hardly any instance remembers what was recorded since.
func TestRestoredReplicaSetIsIncomplete(t *testing.T) {
	set := replicaSet{Runs: []ServerRun{{ID: "s1", Primary: true}, {ID: "s2", StartedAt: 5}}, Confirming: 1}
	for _, certain := range []bool{true, false} {
		rows, err := PlanRestoration(generation.Restoration{
			Generation: 1, Certain: certain, Stored: []follow.Row{replicaSetRow(t, 0, 3, set)},
			Remembered: generation.Memory{Rows: []follow.Row{replicaSetRow(t, 0, 3, set)}},
		}, catalog.NewRegistry(nil))
		require.NoError(t, err)
		row, ok := follow.FindRow(rows, replicaSetPrefix+"db")
		require.True(t, ok)
		restored, err := decodeReplicaSet(row.Value, row.Version)
		require.NoError(t, err)
		require.Equal(t, set.Runs, restored.Runs)
		require.Equal(t, certain, restored.Confirming > 0)
	}
}

// TestReplicaSetOfAnOlderCopy guards against forgetting a replica that was recorded after the copy from
// which the store has returned.
func TestReplicaSetOfAnOlderCopy(t *testing.T) {
	s := &serviceReplicas{service: "db", lowered: noLowered, unrecorded: make(map[incarnation]catalog.Endpoint)}
	apply := func(generation, number uint64, set replicaSet) {
		row := replicaSetRow(t, generation, number, set)
		stored, err := decodeReplicaSet(row.Value, row.Version)
		require.NoError(t, err)
		s.applyStored(stored)
	}
	apply(0, 7, replicaSet{Runs: []ServerRun{{ID: "s1"}, {ID: "s2"}}, Confirming: 1})
	apply(0, 6, replicaSet{Runs: []ServerRun{{ID: "s1"}}, Confirming: 1})
	require.Contains(t, s.departed(), incarnation{id: "s2"}, "an older copy of the row was applied")
	apply(1, 2, replicaSet{Runs: []ServerRun{{ID: "s1"}}, Confirming: 1})
	require.Contains(t, s.departed(), incarnation{id: "s2"})
	require.True(t, s.needsRecording())
	apply(1, 3, replicaSet{Runs: []ServerRun{{ID: "s1"}, {ID: "s2"}}, Confirming: 1})
	require.False(t, s.needsRecording())
	apply(1, 4, replicaSet{Runs: []ServerRun{{ID: "s1"}}, Confirming: 1})
	require.NotContains(t, s.departed(), incarnation{id: "s2"}, "a replica that another instance has settled is waited for")
}

// TestUnreadableReplicaSet guards against a promotion by a row that cannot be decoded.
func TestUnreadableReplicaSet(t *testing.T) {
	decoded, unreadable, err := decodeRecords(follow.Snapshot{Rows: []follow.Row{{Key: replicaSetPrefix + "db", Value: []byte("{"), Version: 3}}})
	require.NoError(t, err)
	require.Equal(t, []string{replicaSetPrefix + "db"}, unreadable)
	require.Zero(t, decoded.replicaSets["db"].Confirming)
}
