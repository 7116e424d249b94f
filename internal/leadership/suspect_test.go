package leadership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestBusyPrimaryIsProbedByFew covers a large fleet with a primary that leaves some
// statements unanswered for a while, because it is busy. If each instance probed it, the
// probes would occupy the slots that it has left.
func TestBusyPrimaryIsProbedByFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for n := range 40 {
			names = append(names, fmt.Sprintf("i%02d", n))
		}
		f := newFleet(t, names...)
		time.Sleep(2 * time.Second)
		f.set(func() { f.busy = "s1" })
		time.Sleep(time.Second)
		f.set(func() { f.busy = "" })
		time.Sleep(5 * time.Second)
		require.Empty(t, f.ordered())
		require.Equal(t, "s1", f.primary("i00"))
		f.mu.Lock()
		defer f.mu.Unlock()
		require.NotZero(t, f.reachRequests)
		// Each attempt of an instance begins with a probe of its own.
		require.LessOrEqual(t, f.reachRequests, f.ownProbes*maxFirstAsked, "requests to probe the primary")
	})
}

// TestDeadPrimaryIsReplacedInALargeFleet checks that all instances are asked before a primary
// is replaced, so that one that answers some of them is kept.
func TestDeadPrimaryIsReplacedInALargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		for n := range 40 {
			names = append(names, fmt.Sprintf("i%02d", n))
		}
		f := newFleet(t, names...)
		time.Sleep(2 * time.Second)
		f.set(func() { f.servers["s1"].down = true })
		time.Sleep(5 * time.Second)
		require.Len(t, f.ordered(), 1)
		require.Equal(t, "s2", f.primary("i00"))
		f.mu.Lock()
		defer f.mu.Unlock()
		require.GreaterOrEqual(t, f.reachRequests, len(names)-1)
	})
}
