package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// revision returns the revision of a commit in a generation of the store.
func revision(t *testing.T, generation, number uint64) platform.Revision {
	r, err := platform.NewRevision(generation, number)
	require.NoError(t, err)
	return r
}

// Guards against an endpoint that has left and is in use again because the store has returned
// from an older copy of itself, until its entry expires there.
func TestEndpointThatHasLeftStaysOutAfterStoreReturn(t *testing.T) {
	now := time.Second
	row := func(key string, generation, number uint64) follow.Row {
		return follow.Row{Key: key, Version: revision(t, generation, number)}
	}
	registry := &fakeRows{}
	i := newInstance(t, &fakeRows{}, registry, &fakeRows{}, func() time.Duration { return now })
	read := func(generation, number uint64, rows ...follow.Row) {
		registry.rows, registry.version = rows, revision(t, generation, number)
		now += 100 * time.Millisecond
		require.NoError(t, i.followers[registrySet].Refresh(t.Context()))
	}
	has := func(endpoint string) bool {
		_, ok := i.registry.Get().Endpoints[endpoint]
		return ok
	}
	read(0, 10, row("left", 0, 5), row("stays", 0, 6))
	read(0, 20, row("stays", 0, 6))
	now += missingGrace
	read(0, 20, row("stays", 0, 6))
	require.False(t, has("left"))

	read(1, 12, row("left", 1, 5), row("stays", 1, 6))
	require.False(t, has("left"), "the entry is of the copy")
	require.True(t, has("stays"))
	read(1, 13, row("left", 1, 13), row("stays", 1, 6))
	require.True(t, has("left"), "its endpoint has written it again")
}

// Guards against copies that differ at the same version of the store, since one of them still has
// rows of an earlier generation: the difference must be sent, but nothing to an instance that is
// ahead.
func TestRowsThatDifferAtTheSameVersionAreSent(t *testing.T) {
	registry := &fakeRows{rows: []follow.Row{{Key: "a", Version: revision(t, 1, 4)}}, version: revision(t, 1, 5)}
	i := newInstance(t, &fakeRows{}, registry, &fakeRows{}, nil)
	require.NoError(t, i.followers[registrySet].Refresh(t.Context()))
	for above, sent := range map[uint64]int{4: 1, 5: 1, 6: 0} {
		answer, err := i.handleRows(t.Context(), rowsRequest{Set: registrySet, AboveVersion: revision(t, 1, above), KnownFingerprint: "other"})
		require.NoError(t, err)
		require.Len(t, answer.Rows, sent, "above %d", above)
	}
}
