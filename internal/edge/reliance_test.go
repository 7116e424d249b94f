package edge

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// announced returns what an instance's row tells: whether only confirmations extend its use of
// primaries.
func (f *memoryFleet) announced(i *Instance) bool {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	row := f.store.rows[memberPrefix+i.cfg.Name]
	m := member{version: row.Revision}
	require.NoError(f.t, json.Unmarshal(row.Value, &m))
	return m.announcesConfirmedOnly()
}

// TestMinorityAnnouncesThatItReliesOnTheStore covers a failure domain that is cut off from the
// others but not from the store: its instances go on, with an announcement that makes
// replacements wait for what they may have read, and take it back after the cut.
func TestMinorityAnnouncesThatItReliesOnTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12)
		defer f.close()
		time.Sleep(10 * time.Second)
		for _, i := range f.instances {
			require.True(t, f.announced(i), i.cfg.Name)
		}
		f.cutOffExceptStore("a")
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			for _, i := range f.instances {
				require.Less(t, i.primaryView.Staleness(), leadership.RecordLifetime, i.cfg.Name)
			}
		}
		for _, i := range f.instances {
			require.Equal(t, i.cfg.FailureDomain != "a", f.announced(i), i.cfg.Name)
		}
		f.heal()
		time.Sleep(8 * time.Second)
		for _, i := range f.instances {
			require.True(t, f.announced(i), i.cfg.Name)
		}
	})
}

// TestAnnouncementIsVoidInAnotherGeneration covers a store that returns from an older copy, with
// the row from before the announcement was withdrawn.
func TestAnnouncementIsVoidInAnotherGeneration(t *testing.T) {
	m := member{Name: "edge-1", ConfirmedOnly: confirmedOnlyIn(3)}
	row := follow.Row{Key: memberPrefix + m.Name, Value: memberWrite(m).Value, Version: 7}
	require.True(t, toLeadership(decodeMembers([]follow.Row{row}, nil, zap.NewNop()))[0].ConfirmedOnly)
	later, err := platform.NewRevision(1, 5)
	require.NoError(t, err)
	row.Version = later
	require.False(t, toLeadership(decodeMembers([]follow.Row{row}, nil, zap.NewNop()))[0].ConfirmedOnly)
}

// TestStartBesideAMinority covers an instance that starts while the others cannot confirm its
// records, as after a restart of all beside a partition. The row of its earlier process announced
// that only confirmations extend its use of primaries: copies of the store do so from the moment
// on when its own row tells, and not before, since a replacement would not wait for that.
func TestStartBesideAMinority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 12)
		defer f.close()
		time.Sleep(10 * time.Second)
		f.cutOffExceptStore("a")
		first := f.instances[0]
		require.True(t, f.announced(first))
		f.store.setRefusing(true)
		restarted := f.restart(first)
		time.Sleep(2 * time.Second)
		require.True(t, f.announced(restarted))
		require.GreaterOrEqual(t, restarted.primaryView.Staleness(), leadership.RecordLifetime)
		f.store.setRefusing(false)
		time.Sleep(registerRetryInterval + 100*time.Millisecond)
		require.False(t, f.announced(restarted))
		require.Less(t, restarted.primaryView.Staleness(), leadership.RecordLifetime)
		f.heal()
		time.Sleep(8 * time.Second)
		require.True(t, f.announced(restarted))
	})
}
