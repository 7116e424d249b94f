package edge

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/rendezvous"
)

const (
	// memberCheckInterval is the interval between two rounds of pings.
	memberCheckInterval = 2 * time.Second
	// maxMonitors is the number of members that check in each round whether they are the
	// first one alive; the others do so once in seldomRounds.
	maxMonitors  = 6
	seldomRounds = 5
	// pingTimeout bounds one ping.
	pingTimeout = 400 * time.Millisecond
	// retireThreshold is the time without a response after which a member is retired:
	// longer than restarts and network failures that end by themselves.
	retireThreshold = 6 * time.Second
	// removeDelay is how long the row of a retired member is kept: until every copy of the
	// rows that does not show it as retired has expired.
	removeDelay = leadership.MaxStoreOutage + leadership.RecordLifetime + 2*time.Second
)

// memberObservation records when a member was first seen unresponsive or retired, with the
// version of its row at that time.
type memberObservation struct {
	version   platform.Revision
	firstSeen time.Duration
}

// watchMembers retires members that have failed. The first member in the monitors' order that
// is alive does so for all. The next few check in each round that one before them answers, and
// all others seldom, in case those have failed together.
func (i *Instance) watchMembers(ctx context.Context) error {
	unresponsive := make(map[string]memberObservation)
	isMonitor := false
	for round := 0; ctx.Err() == nil; round++ {
		pause.For(ctx, memberCheckInterval)
		if !i.isListed() || !i.fleet.StoreServing() {
			isMonitor = false
			clear(unresponsive)
			continue
		}
		before := i.membersBefore()
		if !isMonitor && len(before) >= maxMonitors && round%seldomRounds != 0 {
			continue
		}
		if isMonitor = !i.anyAnswers(ctx, before); !isMonitor {
			clear(unresponsive)
			continue
		}
		i.retireUnresponsive(ctx, unresponsive)
	}
	return nil
}

// membersBefore returns the members before this one in the order of the monitors: by a hash of
// the name, because names begin with the failure domain, whose instances may fail together.
func (i *Instance) membersBefore() []member {
	own := monitorWeight(i.cfg.Name)
	before := slices.DeleteFunc(i.others(), func(m member) bool { return monitorWeight(m.Name) >= own })
	slices.SortFunc(before, func(a, b member) int { return cmp.Compare(monitorWeight(a.Name), monitorWeight(b.Name)) })
	return before
}

func monitorWeight(name string) uint64 { return rendezvous.NewWeigher("monitor").Weight(name) }

// anyAnswers reports whether any of the members answers. It pings them in their order.
func (i *Instance) anyAnswers(ctx context.Context, members []member) bool {
	return slices.ContainsFunc(members, func(m member) bool { return i.ping(ctx, m) })
}

// ping reports whether a member answers.
func (i *Instance) ping(ctx context.Context, m member) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return i.client.Call(ctx, m.Address, messagePing, empty{}, &empty{}) == nil
}

// retireUnresponsive pings all members. It retires those that have been unresponsive for
// too long, if a majority answers, and later removes the rows of retired ones.
func (i *Instance) retireUnresponsive(ctx context.Context, unresponsive map[string]memberObservation) {
	members := i.members.Get()
	alive := i.pingAll(ctx, members)
	now := i.cfg.Clock()
	majority := 2*(len(alive)+1) > len(members)
	for _, m := range members {
		if m.Name == i.cfg.Name {
			continue
		}
		seen, ok := unresponsive[m.Name]
		switch {
		case alive[m.Name] && !m.Retired:
			delete(unresponsive, m.Name)
		case !ok || seen.version != m.version:
			unresponsive[m.Name] = memberObservation{version: m.version, firstSeen: now}
		case m.Retired && now-seen.firstSeen > removeDelay:
			i.writeMember(ctx, ifUnchanged(m), platform.Write{Key: memberPrefix + m.Name, Delete: true})
		case !m.Retired && now-seen.firstSeen > retireThreshold && majority:
			retired := m
			retired.Retired = true
			if i.writeMember(ctx, ifUnchanged(m), memberWrite(retired)) {
				event.EdgeRemoved.Emit(i.cfg.Log, zap.String("member", m.Name), zap.Duration("silent_for", now-seen.firstSeen))
			}
		}
	}
}

// ifUnchanged returns the condition that a member's row is still at the version that was read.
func ifUnchanged(m member) []platform.Condition {
	return []platform.Condition{{Key: memberPrefix + m.Name, Revision: m.version}}
}

// pingAll pings the members concurrently, and returns the names of those that answer.
func (i *Instance) pingAll(ctx context.Context, members []member) map[string]bool {
	var mu sync.Mutex
	var pending sync.WaitGroup
	alive := make(map[string]bool)
	for _, m := range members {
		if m.Name == i.cfg.Name {
			continue
		}
		pending.Go(func() {
			if i.ping(ctx, m) {
				mu.Lock()
				defer mu.Unlock()
				alive[m.Name] = true
			}
		})
	}
	pending.Wait()
	return alive
}
