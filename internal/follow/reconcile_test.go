package follow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

func TestReconciler(t *testing.T) {
	at := func(generation, number uint64) platform.Revision {
		r, err := platform.NewRevision(generation, number)
		require.NoError(t, err)
		return r
	}
	known := Snapshot{Version: at(0, 90), Rows: []Row{
		{Key: "kept", Version: at(0, 80)}, {Key: "lost", Version: at(0, 85)}, {Key: "old", Version: at(0, 10)},
	}}
	returned := Snapshot{Version: at(1, 60), Rows: []Row{
		{Key: "kept", Version: at(1, 50)}, {Key: "old", Version: at(1, 20)}, {Key: "removed", Version: at(1, 30)},
	}}
	now := time.Second
	r := &Reconciler{Clock: func() time.Duration { return now }, Period: time.Second, KeepMissing: true}
	first := r.Rows(known, returned)
	require.Equal(t, []Row{known.Rows[0], known.Rows[1], returned.Rows[1]}, first)

	current := Snapshot{Version: returned.Version, Rows: first}
	rewritten := Snapshot{Version: at(1, 62), Rows: []Row{
		{Key: "kept", Version: at(1, 61)}, {Key: "old", Version: at(1, 20)}, {Key: "removed", Version: at(1, 62)},
	}}
	require.Equal(t, []Row{rewritten.Rows[0], known.Rows[1], rewritten.Rows[1], rewritten.Rows[2]}, r.Rows(current, rewritten))

	now += time.Second
	require.Equal(t, returned.Rows, r.Rows(current, returned), "after the period the store's rows are used")
}
