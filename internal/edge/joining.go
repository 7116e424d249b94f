package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
)

// A joining instance must not use allocations of the limits while others still divide them
// among fewer instances. It borrows tokens until the others acknowledge it. Of two instances
// that start at the same time, the later one to register reads the row of the earlier one,
// and its request for an acknowledgement makes the earlier one refresh its rows. In a large
// fleet the domain readers are asked, each for all instances that follow it.

const (
	// acknowledgementInterval is the interval between two rounds of requests.
	acknowledgementInterval = 100 * time.Millisecond
	// maxAcknowledgementWait is how long the acknowledgements of all others are required.
	// After that a majority including this instance suffices, so that a failed member that is
	// not yet retired does not block admission for long.
	maxAcknowledgementWait = 1500 * time.Millisecond
	// acknowledgementTimeout bounds one request.
	acknowledgementTimeout = 300 * time.Millisecond
	// maxDirectRequests is the number of members that are asked directly in one round. If more
	// have not acknowledged this instance, the domain readers are asked for them.
	maxDirectRequests = 12
	// directRequestDelay is the time after which the members for which no domain reader has
	// answered are asked directly as well.
	directRequestDelay = time.Second
)

// joining tracks which members have acknowledged this instance since it registered.
type joining struct {
	// begun receives a value after a registration.
	begun chan struct{}

	mu sync.Mutex
	// registeredAt is when this instance began to register; guarded by mu, like the fields below.
	registeredAt time.Duration
	// admitted is true once the instance takes part in the division of limits.
	admitted bool
	// acknowledgedBy holds the incarnation of each member that has acknowledged this
	// instance, by name; nil before the first registration.
	acknowledgedBy map[string]string
}

func newJoining() *joining { return &joining{begun: make(chan struct{}, 1)} }

// begin records a registration. An instance that is not joining, because its row is older
// than joiningPeriod, is admitted at once.
func (j *joining) begin(isJoining bool, now time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.registeredAt, j.admitted, j.acknowledgedBy = now, !isJoining, make(map[string]string)
	select {
	case j.begun <- struct{}{}:
	default:
	}
}

func (j *joining) isAdmitted() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.admitted
}

// shouldAsk reports whether the others have to be asked, and how long ago this instance
// registered. They are not asked before the rows have been read after the registration;
// asOf is the time of the latest read.
func (j *joining) shouldAsk(asOf, now time.Duration) (waited time.Duration, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return now - j.registeredAt, !j.admitted && j.acknowledgedBy != nil && asOf >= j.registeredAt
}

// recordAcknowledgement records that a member has acknowledged this instance.
func (j *joining) recordAcknowledgement(m member) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.acknowledgedBy[m.Name] = m.Incarnation
}

// unacknowledged returns the members that have not acknowledged this instance since they
// started.
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

// awaitAcknowledgements asks the others after each registration until they acknowledge this
// instance, which then takes its allocations of the limits.
func (i *Instance) awaitAcknowledgements(ctx context.Context) error {
	for ctx.Err() == nil {
		select {
		case <-i.joining.begun:
		case <-ctx.Done():
			return nil
		}
		for ctx.Err() == nil && !i.joining.isAdmitted() {
			i.requestAdmission(ctx)
			pause.For(ctx, acknowledgementInterval)
		}
	}
	return nil
}

// requestAdmission runs one round of requests and admits this instance if enough others have
// acknowledged it.
func (i *Instance) requestAdmission(ctx context.Context) {
	waited, shouldAsk := i.joining.shouldAsk(i.fleet.Snapshot().AsOf, i.cfg.Clock())
	if !shouldAsk || !i.isListed() {
		return
	}
	others := i.others()
	if len(i.joining.unacknowledged(others)) > maxDirectRequests {
		i.askDomainReaders(ctx, i.joining.unacknowledged(others))
	}
	if left := i.joining.unacknowledged(others); len(left) <= maxDirectRequests || waited >= directRequestDelay {
		i.requestAcknowledgements(ctx, left)
	}
	unacknowledged := len(i.joining.unacknowledged(others))
	if unacknowledged > 0 && (waited < maxAcknowledgementWait || 2*unacknowledged > len(others)) {
		return
	}
	i.joining.admit()
	i.divideLimits()
	event.InstanceAdmitted.Emit(i.cfg.Log, zap.Duration("waited", waited), zap.Int("unaware", unacknowledged))
}

// requestAcknowledgements asks members whether they list this instance, and records which do.
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

// handleAcknowledge reports to another instance whether this one counts it when it divides
// limits, and refreshes the fleet's rows if not.
func (i *Instance) handleAcknowledge(_ context.Context, m memberMessage) (boolResponse, error) {
	yes := slices.ContainsFunc(i.members.Get(), func(known member) bool {
		return known.Name == m.Name && known.Address == m.Address && !known.Retired
	})
	if !yes {
		i.fleet.Trigger()
	}
	return boolResponse{Yes: yes}, nil
}

// fleetHasAllocations reports whether any instance has allocations to admit requests by:
// this one, or a member that registered more than maxAcknowledgementWait before it.
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
