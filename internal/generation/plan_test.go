package generation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Guards against a restoration that undoes what the store still has, because the copy from which
// it returned is newer than what any instance remembers.
func TestNewerStoredRowsAreKept(t *testing.T) {
	at := func(generation, number uint64) platform.Revision {
		r, err := platform.NewRevision(generation, number)
		require.NoError(t, err)
		return r
	}
	remembered := Memory{Version: at(0, 50), Rows: []follow.Row{
		{Key: "changed", Value: []byte("old"), Version: at(0, 10)}, {Key: "lost", Version: at(0, 45)},
	}}
	stored := []follow.Row{
		{Key: "changed", Value: []byte("new"), Version: at(1, 60)}, {Key: "registered", Version: at(1, 55)}, {Key: "removed", Version: at(1, 20)},
	}
	wanted := newerRows(remembered, stored)
	require.Equal(t, []follow.Row{stored[0], remembered.Rows[1], stored[1]}, wanted)
	require.Equal(t, []platform.Write{{Key: "lost"}, {Key: "removed", Delete: true}}, difference(stored, wanted))
}
