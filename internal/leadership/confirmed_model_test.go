package leadership

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

var (
	confirmedFirst = flag.Uint64("confirmed-first", 1, "first seed of the model of confirmed commits")
	confirmedSeeds = flag.Uint64("confirmed-seeds", 16, "number of seeds of the model of confirmed commits")
)

const (
	confirmedDuration = 60 * time.Second
	confirmedStep     = 10 * time.Millisecond
)

// confirmedModel plays random faults to the servers of a service whose replicas confirm commits:
// crashes, restarts with an empty log, replicas that are deaf, busy, draining, cut off from the
// instances or without an entry, orders without effect. Instances restart with an empty memory. Its primary commits all the time, and a commit is acknowledged
// once enough replicas have received it while the primary may be used.
type confirmedModel struct {
	f      *fleet
	random *rand.Rand
	// restarts draws which instances restart, and when.
	restarts *rand.Rand
	primary  string
	deaf     map[string]time.Duration // when a replica receives the log again
	acked    position.Position        // the last acknowledged commit
	checked  int                      // orders that were checked
	writes   uint64
}

// step plays one step; the caller holds f.mu.
func (m *confirmedModel) step(usable bool) {
	now := m.f.clock()
	p := m.f.servers[m.primary]
	if !p.down && p.status.Primary {
		m.writes++
		p.status.Received = at(p.status.Term, m.writes)
		m.replicate(p, now)
		if received := m.received(p); usable && len(received) >= m.f.syncReplicas {
			m.acked = m.acked.Max(received[m.f.syncReplicas-1])
		}
	}
	for id, until := range m.deaf {
		if now >= until {
			delete(m.deaf, id)
			m.f.servers[id].busy = false
		}
	}
	if m.random.IntN(40) == 0 {
		m.disturb(now)
	}
	if m.restarts.IntN(150) == 0 {
		m.restart()
	}
}

// replicate sends the log to replicas, of which some are a commit behind.
func (m *confirmedModel) replicate(p *server, now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(m.f.servers)) {
		s := m.f.servers[id]
		if s == p || s.down || now < m.deaf[id] && !s.busy || m.random.IntN(3) == 0 {
			continue
		}
		s.status = ServerStatus{Term: p.status.Term, Received: p.status.Received}
	}
}

// restart restarts one instance or all, which forget what they have seen. A server counts once a
// running instance has recorded it.
func (m *confirmedModel) restart() {
	names := slices.Sorted(maps.Keys(m.f.instances))
	if one := m.restarts.IntN(2 * len(names)); one < len(names) {
		names = names[one : one+1]
	} else if !m.recorded() {
		return
	}
	for _, name := range names {
		m.f.instances[name].stop()
		m.f.instances[name] = m.f.newInstance(name)
		m.f.instances[name].start()
	}
}

// recorded reports whether the stored replica set includes all registered servers.
func (m *confirmedModel) recorded() bool {
	row := m.f.rows[replicaSetPrefix+"db"]
	set, err := decodeReplicaSet(row.Value, row.Revision)
	require.NoError(m.f.t, err)
	stored := set.endpoints("db")
	for id, s := range m.f.servers {
		if _, ok := stored[incarnation{id: id, startedAt: s.startedAt}]; !ok && !m.f.unregistered[id] {
			return false
		}
	}
	return true
}

// received returns the ends of the replicas' logs in the primary's term, longest first.
func (m *confirmedModel) received(p *server) []position.Position {
	var ends []position.Position
	for _, s := range m.f.servers {
		if s != p && !s.down && s.status.Term == p.status.Term {
			ends = append(ends, s.status.Received)
		}
	}
	slices.SortFunc(ends, func(a, b position.Position) int { return b.Compare(a) })
	return ends
}

// disturb changes the state of one server.
func (m *confirmedModel) disturb(now time.Duration) {
	ids := slices.Sorted(maps.Keys(m.f.servers))
	id := ids[m.random.IntN(len(ids))]
	s := m.f.servers[id]
	switch m.random.IntN(9) {
	case 0, 1:
		m.f.servers[m.primary].down = true
	case 2:
		if s.down { // a crashed server returns with its log, and registers
			s.down, s.status.Primary, m.f.unregistered[id] = false, s.status.Primary && id == m.primary, false
		}
	case 3:
		if id != m.primary && !s.status.Primary { // and so does one that has restarted, without
			s.down, s.startedAt, s.status = false, s.startedAt+1, ServerStatus{Term: s.status.Term}
			m.f.draining[id], m.f.unregistered[id] = false, false
		}
	case 4:
		m.deaf[id] = now + time.Duration(m.random.IntN(4000))*time.Millisecond
	case 5:
		s.busy, m.deaf[id] = true, now+time.Duration(m.random.IntN(4000))*time.Millisecond
	case 6:
		m.f.draining[id] = !m.f.draining[id]
	case 7:
		m.f.unregistered[id] = !m.f.unregistered[id] && id != m.primary
	case 8:
		m.f.lostOrders = 1
	}
}

// observe follows the orders that have been issued, and reports one that loses a commit.
func (m *confirmedModel) observe() error {
	for ; m.checked < len(m.f.orders); m.checked++ {
		target := m.f.orders[m.checked].Endpoint
		if end := m.f.servers[target].status.Received; target != m.primary && end.Less(m.acked) {
			return fmt.Errorf("%s was promoted with its log up to %s, acknowledged up to %s", target, end, m.acked)
		}
		if m.f.servers[target].status.Primary { // otherwise the order had no effect
			m.f.servers[m.primary].status.Primary = target == m.primary
			m.primary = target
		}
	}
	return nil
}

// TestConfirmedCommitsUnderFaults guards against every way to promote a server that lacks a commit
// which replicas have confirmed.
func TestConfirmedCommitsUnderFaults(t *testing.T) {
	promotions := 0
	for seed := *confirmedFirst; seed < *confirmedFirst+*confirmedSeeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			m := &confirmedModel{f: newFleet(t), random: rand.New(rand.NewPCG(seed, 43)), restarts: rand.New(rand.NewPCG(seed, 44)), primary: "s1", deaf: make(map[string]time.Duration), writes: 9}
			for n := range seed % 3 {
				m.f.servers[fmt.Sprintf("s%d", 4+n)] = &server{status: m.f.servers["s2"].status}
			}
			m.f.confirmCommits(1 + int(seed%2))
			for _, name := range []string{"a", "b", "c"} {
				m.f.instances[name] = m.f.newInstance(name)
			}
			for _, i := range m.f.instances {
				i.start()
			}
			time.Sleep(1070 * time.Millisecond)
			for range confirmedDuration / confirmedStep {
				usable := slices.ContainsFunc([]string{"a", "b", "c"}, func(name string) bool { return m.f.primary(name) == m.primary })
				var err error
				m.f.set(func() {
					if err = m.observe(); err == nil {
						m.step(usable)
					}
				})
				require.NoError(t, err, "seed %d", seed)
				time.Sleep(confirmedStep)
			}
			promotions += m.checked
		})
	}
	require.Greater(t, promotions, int(*confirmedSeeds), "hardly any primary was replaced")
}
