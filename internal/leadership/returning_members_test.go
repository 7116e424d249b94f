package leadership

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// partition loses the messages between its groups. Who is in none is in that of the store.
type partition struct {
	mu     sync.Mutex
	groups map[string]int
}

func (p *partition) set(group int, names ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.groups == nil {
		p.groups = make(map[string]int)
	}
	for _, name := range names {
		p.groups[name] = group
	}
}

func (p *partition) delay(context.Context) {}
func (p *partition) lost(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.groups[from] != p.groups[to]
}
func (p *partition) reaches(string, string) bool { return true }

// requireUnusedBeforeOrder waits for the order of a promotion, and checks that the instances have
// stopped to use the old primary leaseExpiryMargin before.
func requireUnusedBeforeOrder(t *testing.T, f *fleet, instances ...string) {
	t.Helper()
	lastUse := make(map[string]time.Time)
	for began := time.Now(); len(f.ordered()) == 0; time.Sleep(time.Millisecond) {
		require.Less(t, time.Since(began), 2*MaxStoreOutage)
		for _, name := range instances {
			if f.primary(name) != "" {
				lastUse[name] = time.Now()
			}
		}
	}
	for _, name := range instances {
		require.GreaterOrEqual(t, time.Since(lastUse[name]), leaseExpiryMargin-2*time.Millisecond, "the last use by %s", name)
	}
}

// Guards against a primary that is replaced while it is in use: three retired members that answer
// again are not in the copies of the rows by which the three that are cut off are a majority.
func TestReturningMembersDoNotMakeAMajority(t *testing.T) {
	for name, announces := range map[string]bool{"confirmed only": true, "copies of the store": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				returning, others := []string{"b1", "b2", "b3"}, []string{"a1", "a2", "a3", "a4", "a5"}
				f := newFleet(t)
				links := &partition{}
				f.announces, f.endpointDomain, f.faults = announces, "a", links
				for _, name := range slices.Concat(returning, others) {
					f.instances[name] = f.newInstance(name)
				}
				for i := range maps.Values(f.instances) {
					i.start()
				}
				time.Sleep(4 * time.Second)
				links.set(1, returning...)
				time.Sleep(7 * time.Second)
				f.set(func() {
					for _, name := range returning {
						f.retired[name] = true
					}
				})
				time.Sleep(2 * time.Second)
				// A planned replacement begins; three of the five that are left are cut off.
				var cutOff []string
				var begin sync.Once
				begun := make(chan struct{})
				f.set(func() {
					f.draining["s1"] = true
					f.onCommit = func(w platform.Write) {
						begin.Do(func() {
							cutOff = slices.DeleteFunc(slices.Clone(others), func(name string) bool { return name == holderOf(w) })[:3]
							links.set(2, cutOff...)
							close(begun)
						})
					}
				})
				<-begun
				// Those that return revoke the primary before they have registered again.
				time.Sleep(50 * time.Millisecond)
				links.set(0, returning...)
				requireUnusedBeforeOrder(t, f, cutOff...)
			})
		})
	}
}

// holderOf returns the instance that has begun a replacement.
func holderOf(w platform.Write) string {
	var fence fenceState
	if json.Unmarshal(w.Value, &fence) != nil {
		return ""
	}
	return fence.Holder
}
