package edge

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestMembersAreRetiredAfterTheMonitorsHaveFailed covers machines that are removed for good at
// the same time, the first ones in the order of the monitors among them.
func TestMembersAreRetiredAfterTheMonitorsHaveFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 2*maxMonitors+2)
		defer f.close()
		time.Sleep(10 * time.Second)
		byRank := slices.Clone(f.instances)
		slices.SortFunc(byRank, func(a, b *Instance) int { return len(a.membersBefore()) - len(b.membersBefore()) })
		for _, i := range byRank[:maxMonitors] {
			f.stopOne[i.cfg.Name]()
		}
		time.Sleep(seldomRounds*memberCheckInterval + retireThreshold + 3*memberCheckInterval)
		for _, i := range byRank[maxMonitors:] {
			for _, failed := range byRank[:maxMonitors] {
				at := slices.IndexFunc(i.members.Get(), func(m member) bool { return m.Name == failed.cfg.Name })
				require.True(t, at < 0 || i.members.Get()[at].Retired, "%s at %s", failed.cfg.Name, i.cfg.Name)
			}
		}
	})
}
