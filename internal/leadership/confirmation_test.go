package leadership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// largeFleet starts instances in four failure domains.
func largeFleet(t *testing.T, perDomain int) *fleet {
	var names []string
	for _, domain := range []string{"a", "b", "c", "d"} {
		for n := range perDomain {
			names = append(names, fmt.Sprintf("%s%02d", domain, n))
		}
	}
	return newFleet(t, names...)
}

// TestConfirmationsDoNotGrowWithTheSquareOfTheFleet covers an outage of the store: every
// instance goes on using the primaries, and needs the confirmation of a majority for it
// several times a second.
func TestConfirmationsDoNotGrowWithTheSquareOfTheFleet(t *testing.T) {
	requests := make(map[int]float64)
	for _, perDomain := range []int{6, 24} {
		synctest.Test(t, func(t *testing.T) {
			f := largeFleet(t, perDomain)
			time.Sleep(3 * time.Second)
			f.set(func() { f.storeDown, f.epochRequests = true, 0 })
			time.Sleep(6 * time.Second)
			for name := range f.instances {
				require.Equal(t, "s1", f.primary(name), "the primary at %s", name)
			}
			f.set(func() { requests[perDomain] = float64(f.epochRequests) / float64(len(f.instances)) })
		})
	}
	t.Logf("requests for each instance in 6 s: %.0f of 24, %.0f of 96", requests[6], requests[24])
	require.Less(t, requests[24], 1.5*requests[6])
}

// TestRevocationIsSeenThroughAnotherMember covers an instance that has missed a revocation
// while the store is down: any majority includes a member that has not.
func TestRevocationIsSeenThroughAnotherMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := largeFleet(t, 6)
		time.Sleep(3 * time.Second)
		f.set(func() { f.storeDown = true })
		time.Sleep(2 * time.Second)
		require.Equal(t, "s1", f.primary("a00"))
		for name, i := range f.instances {
			if domainOf(name) != "a" {
				i.controller.Revoke(context.Background(), "db", 1)
			}
		}
		time.Sleep(RecordLifetime)
		for name := range f.instances {
			require.Empty(t, f.primary(name), "the primary at %s", name)
		}
	})
}

// TestMinorityIsNotConfirmed covers failure domains that are cut off together with less than
// half of the instances.
func TestMinorityIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := largeFleet(t, 6)
		time.Sleep(3 * time.Second)
		f.set(func() {
			f.storeDown = true
			for name := range f.instances {
				f.cut[name] = domainOf(name) > "b"
			}
			f.cut["b00"] = true
		})
		time.Sleep(RecordLifetime + confirmThreshold + time.Second)
		for name := range f.instances {
			require.Empty(t, f.primary(name), "the primary at %s", name)
		}
	})
}
