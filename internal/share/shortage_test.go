package share

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

// TestNewDemandWaitsForNoEarlierShortage covers demand that moves to another failure domain
// while the instance that it leaves is unresponsive for a moment, so that the first recall
// brings nothing. The domain's allocator was refused units many times before: for its base
// alone, which nobody waits for, or for demand that has ended since. It asks again within the
// time that statements wait for a token, not after the delay that those requests had reached.
func TestNewDemandWaitsForNoEarlierShortage(t *testing.T) {
	const rate, burst = 200.0, 100.0
	cases := []struct {
		name string
		load float64 // at each of both domains before, in statements per second
	}{{"base alone", 1}, {"demand that ended", rate}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, testView(1, &configv1.Organisation{Name: "one", Rate: rate, Burst: burst}), nil)
				nodes := f.startAll(2, 2)
				time.Sleep(10 * time.Second)
				endOwn, endOther := f.driveAt(nodes[0], c.load), f.driveAt(nodes[1], c.load)
				time.Sleep(20 * time.Second)
				endOwn()
				endOther()
				endOther = f.driveAt(nodes[1], 0.95*rate)
				time.Sleep(20 * time.Second)
				endOther()
				nodes[1].pause()
				endOwn = f.driveAt(nodes[0], 0.95*rate)
				time.Sleep(400 * time.Millisecond)
				nodes[1].resume()
				time.Sleep(800 * time.Millisecond)
				alloc := nodes[0].controller.allocation(RateResource("one"))
				alloc.mu.Lock()
				units := alloc.ledger.Units
				alloc.mu.Unlock()
				endOwn()
				f.shutdownAll()
				f.requireWithinLimit("one", rate, burst)
				require.Greater(t, units, alloc.limit.Units/2, "units of the domain that demand moved to")
			})
		})
	}
}

// driveAt offers load at one instance until the function that it returns is called.
func (f *fleet) driveAt(n *node, perSecond float64) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	f.drive(ctx, "one", perSecond, func() *node { return n })
	return cancel
}

// TestContestedConnectionsAreSharedEvenly covers two failure domains that want more connections
// to an endpoint than it has: the one with more gives up half of the difference, however little
// that is, since nothing else would change the division.
func TestContestedConnectionsAreSharedEvenly(t *testing.T) {
	for _, c := range []struct{ units, held, spare int64 }{{9, 2, 3}, {6, 4, 1}, {5, 4, 0}, {4, 4, 0}, {2, 9, 0}} {
		alloc := newAllocation(ConnectionResource("e"), escrow.Limit{Units: 20})
		alloc.ledger = escrow.Ledger{Units: c.units, Entries: []escrow.Entry{{Holder: "h/1", Units: c.units, Want: 20}}}
		require.Equal(t, c.spare, max(0, alloc.spare(c.held, 20)), "%+v", c)
	}
}
