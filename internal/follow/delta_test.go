package follow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// changingStore is a store whose rows a test changes.
type changingStore struct {
	rows    map[string]Row
	version platform.Revision
}

func (s *changingStore) Read(context.Context) ([]Row, platform.Revision, error) {
	var rows []Row
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, s.version, nil
}

// change puts or removes one of ten rows.
func (s *changingStore) change(random *rand.Rand) {
	key := fmt.Sprintf("row-%d", random.IntN(10))
	s.version++
	if _, ok := s.rows[key]; ok && random.IntN(2) == 0 {
		delete(s.rows, key)
		return
	}
	s.rows[key] = Row{Key: key, Value: []byte{byte(s.version)}, Version: s.version}
}

func newFollower(t *testing.T, source Source) *Follower {
	f, err := New(Config{Set: "rows", Source: source, Apply: func(Snapshot) {}})
	require.NoError(t, err)
	return f
}

// TestDeltasLeadToTheSameRows applies deltas between copies that are taken at random, among
// rows that are put, replaced and removed.
func TestDeltasLeadToTheSameRows(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := &changingStore{rows: make(map[string]Row)}
		f := newFollower(t, store)
		require.NoError(t, f.Refresh(t.Context()))
		known := f.Snapshot()
		for range 200 {
			for range random.IntN(4) {
				store.change(random)
			}
			require.NoError(t, f.Refresh(t.Context()))
			if random.IntN(3) > 0 {
				continue
			}
			s, delta, ok := f.DeltaSince(known.Version)
			require.True(t, ok)
			known = Snapshot{Rows: delta.Apply(known.Rows), Version: s.Version, AsOf: s.AsOf}
			if len(s.Rows) == 0 {
				require.Empty(t, known.Rows)
				continue
			}
			require.Equal(t, s.Rows, known.Rows, "seed %d, version %d", seed, s.Version)
			require.Equal(t, s.Fingerprint(), known.Fingerprint())
		}
	}
}

// TestDeltaNeedsTheWholeHistory checks that there is no delta from a version whose removals
// are not all known: before the first copy, or too long ago.
func TestDeltaNeedsTheWholeHistory(t *testing.T) {
	store := &changingStore{rows: make(map[string]Row), version: 7}
	f := newFollower(t, store)
	_, _, ok := f.DeltaSince(0)
	require.False(t, ok, "before the first copy")
	require.NoError(t, f.Refresh(t.Context()))
	_, _, ok = f.DeltaSince(6)
	require.False(t, ok, "from before the first copy")
	_, _, ok = f.DeltaSince(8)
	require.False(t, ok, "from a newer version")
	for range maxRemovals + 1 {
		store.version++
		store.rows["a"] = Row{Key: "a", Version: store.version}
		require.NoError(t, f.Refresh(t.Context()))
		store.version++
		delete(store.rows, "a")
		require.NoError(t, f.Refresh(t.Context()))
	}
	_, _, ok = f.DeltaSince(7)
	require.False(t, ok, "a removal was forgotten")
	_, delta, ok := f.DeltaSince(store.version - 1)
	require.True(t, ok)
	require.Equal(t, []string{"a"}, delta.Removed)
}
