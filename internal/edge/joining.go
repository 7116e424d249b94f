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
	// acknowledgementInterval spaces the questions whether the others know this instance.
	acknowledgementInterval = 100 * time.Millisecond
	// maxAcknowledgementWait is how long all others are waited for; after that a majority is
	// enough, so that one that is gone but not yet retired holds up nothing for long.
	maxAcknowledgementWait = 1500 * time.Millisecond
	// acknowledgementTimeout bounds one question.
	acknowledgementTimeout = 300 * time.Millisecond
)

// joining is whether the others know this instance.
type joining struct {
	mu sync.Mutex
	// since is when this instance registered as a newcomer; guarded by mu, as below.
	since time.Duration
	// admitted is true once the others know it.
	admitted bool
	// acknowledgedBy are those that do, by the incarnation of the row that they were asked by.
	acknowledgedBy map[string]string
}

// begin notes a registration. One in place of an earlier row makes no newcomer.
func (j *joining) begin(isJoining bool, now time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.since, j.admitted, j.acknowledgedBy = now, !isJoining, make(map[string]string)
}

func (j *joining) isAdmitted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.admitted
}

// shouldAsk tells whether it is time to ask the others, and for how long this instance has
// been a newcomer.
func (j *joining) shouldAsk(asOf, now time.Duration) (waited time.Duration, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return now - j.since, !j.admitted && j.acknowledgedBy != nil && asOf >= j.since
}

// recordAcknowledgement notes that a member knows this instance.
func (j *joining) recordAcknowledgement(m member) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.acknowledgedBy[m.Name] = m.Incarnation
}

// unacknowledged returns the members that have not said that they know this instance.
func (j *joining) unacknowledged(members []member) []member {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(members), func(m member) bool {
		incarnation, ok := j.acknowledgedBy[m.Name]
		return ok && incarnation == m.Incarnation
	})
}

func (j *joining) admit() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.admitted = true
}

// awaitAcknowledgements asks the others until they know this instance, which then takes its parts
// of the limits.
func (i *Instance) awaitAcknowledgements(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, acknowledgementInterval)
		waited, shouldAsk := i.joining.shouldAsk(i.fleet.Snapshot().AsOf, i.cfg.Clock())
		if !shouldAsk || !i.isListed() {
			continue
		}
		others := i.others()
		i.requestAcknowledgements(ctx, i.joining.unacknowledged(others))
		unacknowledged := len(i.joining.unacknowledged(others))
		if unacknowledged > 0 && (waited < maxAcknowledgementWait || 2*unacknowledged > len(others)) {
			continue
		}
		i.joining.admit()
		i.divideLimits()
		event.LimitsTaken.Emit(i.cfg.Log, zap.Duration("waited", waited), zap.Int("unaware", unacknowledged))
	}
	return nil
}

// requestAcknowledgements asks members whether they know this instance.
func (i *Instance) requestAcknowledgements(ctx context.Context, members []member) {
	var pending sync.WaitGroup
	for _, m := range members {
		pending.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, acknowledgementTimeout)
			defer cancel()
			var response boolResponse
			err := i.client.Call(ctx, m.Address, messageAcknowledge, memberMessage{Name: i.cfg.Name, Address: i.cfg.PeerAddress}, &response)
			if err == nil && response.Yes {
				i.joining.recordAcknowledgement(m)
			}
		})
	}
	pending.Wait()
}

// handleAcknowledge tells another instance whether this one divides limits with it among the
// members, and looks for it if not.
func (i *Instance) handleAcknowledge(_ context.Context, m memberMessage) (boolResponse, error) {
	yes := slices.ContainsFunc(i.members.Get(), func(known member) bool {
		return known.Name == m.Name && known.Address == m.Address && !known.Retired
	})
	if !yes {
		i.fleet.Trigger()
	}
	return boolResponse{Yes: yes}, nil
}

// fleetHasAllocations tells whether there are parts of limits in the fleet to admit by: this
// instance's own, or those of a member that registered well before it.
func (i *Instance) fleetHasAllocations() bool {
	if i.joining.isAdmitted() {
		return true
	}
	members := i.members.Get()
	self := slices.IndexFunc(members, func(m member) bool { return m.Name == i.cfg.Name })
	return self >= 0 && slices.ContainsFunc(members, func(m member) bool {
		return !m.Retired && m.RegisteredMs < members[self].RegisteredMs-maxAcknowledgementWait.Milliseconds()
	})
}
