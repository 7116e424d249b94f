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
	// watchInterval spaces the pings of members.
	watchInterval = 2 * time.Second
	// pingTimeout bounds one ping.
	pingTimeout = 400 * time.Millisecond
	// retireAfter is how long a member is silent before it is retired: above the
	// restarts and cuts that end by themselves.
	retireAfter = 6 * time.Second
	// removeAfter is how long a retired member's row stays: until a copy of the rows
	// that does not show it retired has surely lapsed.
	removeAfter = leadership.MaxStoreOutage + leadership.RecordLifetime + 2*time.Second
)

// silence is since when a member, in one version of its row, is silent or retired.
type silence struct {
	version uint64
	since   time.Duration
}

// watchMembers retires members that are gone. The first member by name that is
// alive does so; each other one pings the first that answers.
func (i *Instance) watchMembers(ctx context.Context) error {
	silent := make(map[string]silence)
	for ctx.Err() == nil {
		pause(ctx, watchInterval)
		if !i.isListed() || !i.fleet.StoreServing() || !i.isFirst(ctx) {
			clear(silent)
			continue
		}
		i.retireSilent(ctx, silent)
	}
	return nil
}

// isFirst tells whether no member before this one answers.
func (i *Instance) isFirst(ctx context.Context) bool {
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
	return i.client.Call(ctx, m.Address, messagePing, nothing{}, &nothing{}) == nil
}

// retireSilent pings all members and moves those that are silent on: to retired,
// then to removed.
func (i *Instance) retireSilent(ctx context.Context, silent map[string]silence) {
	members := i.members.Get()
	alive := i.pingAll(ctx, members)
	now := i.cfg.Clock()
	majority := 2*(len(alive)+1) > len(members)
	for _, m := range members {
		if m.Name == i.cfg.Name {
			continue
		}
		known, ok := silent[m.Name]
		switch {
		case alive[m.Name] && !m.Retired:
			delete(silent, m.Name)
		case !ok || known.version != m.version:
			silent[m.Name] = silence{version: m.version, since: now}
		case m.Retired && now-known.since > removeAfter:
			i.writeMember(ctx, unchanged(m), platform.Write{Key: memberPrefix + m.Name, Delete: true})
		case !m.Retired && now-known.since > retireAfter && majority:
			retired := m
			retired.Retired = true
			if i.writeMember(ctx, unchanged(m), memberWrite(retired)) {
				event.EdgeRemoved.Emit(i.cfg.Log, zap.String("member", m.Name), zap.Duration("silent_for", now-known.since))
			}
		}
	}
}

// unchanged is the condition that a member's row is as it was read.
func unchanged(m member) []platform.Condition {
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
