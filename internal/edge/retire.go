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
	// memberCheckInterval spaces the pings of members.
	memberCheckInterval = 2 * time.Second
	// pingTimeout bounds one ping.
	pingTimeout = 400 * time.Millisecond
	// retireThreshold is how long a member is unresponsive before it is retired: above the
	// restarts and cuts that end by themselves.
	retireThreshold = 6 * time.Second
	// removeDelay is how long a retired member's row stays: until a copy of the rows
	// that does not show it retired has surely lapsed.
	removeDelay = leadership.MaxStoreOutage + leadership.RecordLifetime + 2*time.Second
)

// memberObservation is since when a member, in one version of its row, is silent or retired.
type memberObservation struct {
	version   uint64
	firstSeen time.Duration
}

// watchMembers retires members that are gone. The first member by name that is
// alive does so; each other one pings the first that answers.
func (i *Instance) watchMembers(ctx context.Context) error {
	unresponsive := make(map[string]memberObservation)
	for ctx.Err() == nil {
		sleep(ctx, memberCheckInterval)
		if !i.isListed() || !i.fleet.Serving() || !i.isMonitor(ctx) {
			clear(unresponsive)
			continue
		}
		i.retireUnresponsive(ctx, unresponsive)
	}
	return nil
}

// isMonitor tells whether no member before this one answers.
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

func (i *Instance) ping(ctx context.Context, m member) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	return i.client.Call(ctx, m.Address, messagePing, empty{}, &empty{}) == nil
}

// retireUnresponsive pings all members and moves those that are silent on: to retired,
// then to removed.
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

// ifUnchanged is the condition that a member's row is as it was read.
func ifUnchanged(m member) []platform.Condition {
	return []platform.Condition{{Key: memberPrefix + m.Name, Revision: m.version}}
}

// pingAll returns the members that answer.
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
