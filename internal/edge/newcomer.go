package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// An instance that others do not know yet must not take parts of limits, which the
// others still divide among fewer. It borrows until they know it. Of two that start at
// the same time the later one to register reads of the earlier one, and has it look.

const (
	// newcomerLook spaces the questions whether the others know this instance.
	newcomerLook = 100 * time.Millisecond
	// newcomerLongest is how long all others are waited for; after that a majority is
	// enough, so that one that is gone but not yet retired holds up nothing for long.
	newcomerLongest = 1500 * time.Millisecond
	// knowsTimeout bounds one question.
	knowsTimeout = 300 * time.Millisecond
)

// newcomer is whether the others know this instance.
type newcomer struct {
	mu sync.Mutex
	// since is when this instance registered as a newcomer; guarded by mu, as below.
	since time.Duration
	// established is true once the others know it.
	established bool
	// knownBy are those that do, by the incarnation of the row that they were asked by.
	knownBy map[string]string
}

// begin notes a registration. One in place of an earlier row makes no newcomer.
func (n *newcomer) begin(isNew bool, now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.since, n.established, n.knownBy = now, !isNew, make(map[string]string)
}

func (n *newcomer) isEstablished() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.established
}

// due tells whether it is time to ask the others, and for how long this instance has
// been a newcomer.
func (n *newcomer) due(asOf, now time.Duration) (waited time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now - n.since, !n.established && n.knownBy != nil && asOf >= n.since
}

// note notes that a member knows this instance.
func (n *newcomer) note(m member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.knownBy[m.Name] = m.Incarnation
}

// unaware returns the members that have not said that they know this instance.
func (n *newcomer) unaware(members []member) []member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(members), func(m member) bool {
		incarnation, ok := n.knownBy[m.Name]
		return ok && incarnation == m.Incarnation
	})
}

func (n *newcomer) establish() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.established = true
}

// settleIn asks the others until they know this instance, which then takes its parts
// of the limits.
func (i *Instance) settleIn(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, newcomerLook)
		waited, due := i.newcomer.due(i.fleet.Snapshot().AsOf, i.cfg.Clock())
		if !due || !i.isListed() {
			continue
		}
		others := i.others()
		i.askAware(ctx, i.newcomer.unaware(others))
		unaware := len(i.newcomer.unaware(others))
		if unaware > 0 && (waited < newcomerLongest || 2*unaware > len(others)) {
			continue
		}
		i.newcomer.establish()
		i.divideLimits()
		event.LimitsTaken.Emit(i.cfg.Log, zap.Duration("waited", waited), zap.Int("unaware", unaware))
	}
	return nil
}

// askAware asks members whether they know this instance.
func (i *Instance) askAware(ctx context.Context, members []member) {
	var pending sync.WaitGroup
	for _, m := range members {
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, knowsTimeout)
			defer cancel()
			var answer yesNo
			err := i.client.Call(ctx, m.Address, messageKnows, memberMessage{Name: i.cfg.Name, Address: i.cfg.PeerAddress}, &answer)
			if err == nil && answer.Yes {
				i.newcomer.note(m)
			}
		})
	}
	pending.Wait()
}

// knows tells another instance whether this one divides limits with it among the
// members, and looks for it if not.
func (i *Instance) knows(_ context.Context, m memberMessage) (yesNo, error) {
	yes := slices.ContainsFunc(i.members.Get(), func(known member) bool {
		return known.Name == m.Name && known.Address == m.Address && !known.Retired
	})
	if !yes {
		i.fleet.Trigger()
	}
	return yesNo{Yes: yes}, nil
}

// mayAdmit tells whether there are parts of limits in the fleet to admit by: this
// instance's own, or those of a member that registered well before it.
func (i *Instance) mayAdmit() bool {
	if i.newcomer.isEstablished() {
		return true
	}
	members := i.members.Get()
	self := slices.IndexFunc(members, func(m member) bool { return m.Name == i.cfg.Name })
	return self >= 0 && slices.ContainsFunc(members, func(m member) bool {
		return !m.Retired && m.RegisteredMs < members[self].RegisteredMs-newcomerLongest.Milliseconds()
	})
}
