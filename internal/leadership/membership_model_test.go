package leadership

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// testRemoveDelay is how long the row of a retired instance is kept at least.
	testRemoveDelay = MaxStoreOutage + RecordLifetime + 2*time.Second
	// lastAnswers is the longest time that an instance goes on to answer others once it has left.
	lastAnswers = 300 * time.Millisecond
	// maxModelMembers limits the instances that join.
	maxModelMembers = 24
)

// membershipModel is an expiryModel whose members change: they are retired, alive or not, return,
// are removed, join, leave, and start again at another address.
type membershipModel struct {
	*expiryModel
	retiredAt map[string]time.Duration
	joined    int
}

// change makes one random change.
func (m *membershipModel) change() {
	switch m.intN(9) {
	case 0, 1:
		m.retire(m.someMembers())
	case 2:
		m.remove()
	case 3:
		m.join()
	case 4:
		m.leave()
	case 5:
		name := m.restart()
		m.f.set(func() { m.f.joining[name] = m.f.clock() + testJoiningPeriod })
	case 6, 7, 8:
		m.swapCuts()
	}
}

// swapCuts cuts some members off until they are retired, and then others instead of them, just
// after a planned replacement has begun.
func (m *membershipModel) swapCuts() {
	m.heal()
	gone := m.someMembers()
	m.cutOff(gone)
	m.sleepUpTo(4 * time.Second)
	m.retire(gone)
	m.sleepUpTo(4 * time.Second)
	holder := m.beginReplacement()
	m.mu.Lock()
	clear(m.cut)
	clear(m.unseen)
	var next []string
	for _, at := range m.random.Perm(len(m.names)) {
		// A bare majority of those that are not retired.
		if name := m.names[at]; name != holder && !slices.Contains(gone, name) && len(next) <= (len(m.names)-len(gone))/2 {
			next = append(next, name)
		}
	}
	m.mu.Unlock()
	m.cutOff(next)
	m.sleepUpTo(4 * time.Second)
	m.f.set(func() { clear(m.f.draining) })
}

// beginReplacement waits until the replacement of a draining primary has begun, at most two seconds,
// and returns its holder.
func (m *membershipModel) beginReplacement() (holder string) {
	begun := make(chan string, 1)
	m.f.set(func() {
		for id, s := range m.f.servers {
			m.f.draining[id] = s.status.Primary
		}
		m.f.onCommit = func(w platform.Write) {
			select {
			case begun <- holderOf(w):
			default:
			}
		}
	})
	select {
	case holder = <-begun:
	case <-time.After(2 * time.Second):
	}
	m.f.set(func() { m.f.onCommit = nil })
	return holder
}

// cutOff cuts a group off from the store and all others, which do not reach the primary any more.
func (m *membershipModel) cutOff(group []string) {
	primary := m.orderedPrimary()
	m.mu.Lock()
	defer m.mu.Unlock()
	others := slices.DeleteFunc(append(slices.Clone(m.names), "store"), func(name string) bool { return slices.Contains(group, name) })
	m.cutPaths(group, others)
	m.cutPaths(others, group)
	m.primary = primary
	for _, name := range others {
		m.unseen[name] = true
	}
}

func (m *membershipModel) sleepUpTo(limit time.Duration) {
	time.Sleep(time.Duration(m.intN(int(limit.Milliseconds()))) * time.Millisecond)
}

// retire marks the rows of members as retired. Those that read it register again.
func (m *membershipModel) retire(names []string) {
	m.f.set(func() {
		for _, name := range names {
			m.f.retired[name], m.retiredAt[name] = true, m.f.clock()
		}
	})
}

func (m *membershipModel) someMembers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	inside, _ := m.split()
	return inside
}

// remove deletes the rows of members that have been retired for long.
func (m *membershipModel) remove() {
	m.f.set(func() {
		for name, at := range m.retiredAt {
			if m.f.retired[name] && m.f.clock()-at > testRemoveDelay {
				m.f.removed[name] = true
			}
		}
	})
}

func (m *membershipModel) join() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.names) >= maxModelMembers {
		return
	}
	m.joined++
	i := m.f.newInstance(fmt.Sprintf("%cnew%d", "abc"[m.random.IntN(3)], m.joined))
	m.f.set(func() { m.f.instances[i.name], m.f.joining[i.name] = i, m.f.clock()+testJoiningPeriod })
	m.names = append(m.names, i.name)
	i.start()
}

// leave deletes the rows of up to three instances, which serve nobody any more and end soon after.
func (m *membershipModel) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range min(1+m.random.IntN(3), len(m.names)-6) {
		i := m.f.instance(m.names[m.random.IntN(len(m.names))])
		m.names = slices.DeleteFunc(m.names, func(name string) bool { return name == i.name })
		m.endUses(i)
		m.f.set(func() { m.f.left[i.name] = true })
		time.AfterFunc(time.Duration(m.random.Int64N(int64(lastAnswers))), func() {
			i.stop()
			m.f.set(func() { m.f.cut[i.name] = true })
		})
	}
}

// TestNoUseOfAReplacedPrimaryWhileMembersChange plays the model for a range of seeds.
func TestNoUseOfAReplacedPrimaryWhileMembersChange(t *testing.T) {
	for seed := *modelFirst; seed < *modelFirst+*modelSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				m := &membershipModel{expiryModel: newExpiryModel(t, seed), retiredAt: make(map[string]time.Duration)}
				var changing sync.WaitGroup
				changing.Go(func() {
					for end := m.f.clock() + modelDuration; m.f.clock() < end; {
						time.Sleep(time.Duration(500+m.intN(3000)) * time.Millisecond)
						m.change()
					}
				})
				m.play()
				changing.Wait()
				m.heal()
				time.Sleep(15 * time.Second)
				require.Empty(t, m.failures[:min(len(m.failures), maxReported)])
				for _, name := range m.names {
					require.NotEmpty(t, m.f.primary(name), "the primary at %s", name)
				}
				require.NotEmpty(t, m.retiredAt)
			})
		})
	}
}
