package leadership

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
)

const (
	// confirmThreshold is the age of the copy from which the members are asked to
	// confirm it: a read or two of the store were missed.
	confirmThreshold = 1200 * time.Millisecond
	// confirmInterval is the time between requests: several within RecordLifetime.
	confirmInterval = 400 * time.Millisecond
	// confirmTimeout bounds one request.
	confirmTimeout = 300 * time.Millisecond
)

// KnownEpochs returns the latest epoch of each service that this instance has read or
// revoked the primary for, and false if it cannot confirm anything. A restart loses the
// revoked epochs, so a recently started instance confirms only from rows that were read
// since its start.
func (v *PrimaryView) KnownEpochs() (map[string]uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	knowsAllRevocations := v.clock()-v.startedAt > MaxStoreOutage+leaseExpiryMargin
	if !v.records.loaded || !knowsAllRevocations && v.records.asOf < v.startedAt {
		return nil, false
	}
	epochs := make(map[string]uint64)
	for service, r := range v.records.services {
		epochs[service] = r.Epoch
	}
	for service, s := range v.services {
		epochs[service] = max(epochs[service], s.revokedEpoch)
	}
	return epochs, true
}

// applyConfirmation merges the latest epochs known to the members that answered a request
// sent at sent. An epoch above the cached one revokes the primary at once. If they are a
// majority together with this instance, the record is confirmed as of sent.
func (v *PrimaryView) applyConfirmation(sent time.Duration, answered int, epochs map[string]uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for service, epoch := range epochs {
		if s := v.stateOf(service); epoch > v.records.services[service].Epoch && s.revokedEpoch < epoch {
			s.revokedEpoch = epoch
			s.drainDeadline = 0
		}
	}
	if 2*(answered+1) > v.records.members.Count {
		v.confirmedAt = max(v.confirmedAt, sent)
	}
}

// needsConfirmation reports whether the members have to be asked for confirmation.
func (v *PrimaryView) needsConfirmation() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	age := v.clock() - v.records.asOf
	return v.records.loaded && v.records.members.Listed && age > confirmThreshold && age < MaxStoreOutage
}

// confirmRecords asks the members for confirmation, at confirmInterval, while the store
// does not serve this instance.
func (c *Controller) confirmRecords(ctx context.Context) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if c.cfg.PrimaryView.needsConfirmation() {
			c.requestConfirmation(ctx)
		}
	}
}

func (c *Controller) requestConfirmation(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := c.cfg.Clock()
	epochs := make(map[string]uint64)
	responses := blackboard.NewTable[string, map[string]uint64]()
	answered := 0
	for yes := range c.requestAll(ctx, c.cfg.Members(), func(ctx context.Context, m Member) (bool, error) {
		known, err := c.cfg.Peers.KnownEpochs(ctx, m)
		if err == nil {
			responses.Put(m.Name, known)
		}
		return true, err
	}) {
		if yes {
			answered++
		}
	}
	for _, known := range responses.Snapshot() {
		for service, epoch := range known {
			epochs[service] = max(epochs[service], epoch)
		}
	}
	c.cfg.PrimaryView.applyConfirmation(sent, answered, epochs)
}
