package edge

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// memberCheckInterval is the interval between two rounds of pings.
	memberCheckInterval = 2 * time.Second
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
	version   uint64
	firstSeen time.Duration
}

// watchMembers retires members that have failed. The first member by name that is alive
// does so for all; each of the others only checks that a member before it answers.
func (i *Instance) watchMembers(ctx context.Context) error {
	unresponsive := make(map[string]memberObservation)
	for ctx.Err() == nil {
		sleep(ctx, memberCheckInterval)
		if !i.isListed() || !i.fleet.StoreServing() || !i.isMonitor(ctx) {
			clear(unresponsive)
			continue
		}
		i.retireUnresponsive(ctx, unresponsive)
	}
	return nil
}

// isMonitor reports whether no member before this one, ordered by name, answers.
func (i *Instance) isMonitor(ctx context.Context) bool {
	for _, m := range i.others() {
		if m.Name > i.cfg.Name {
			return true
		}
		if i.ping(ctx, m) {
			return false
		}
	}
	return true
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
