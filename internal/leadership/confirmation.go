package leadership

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/pause"
)

const (
	// confirmThreshold is the age of the copy from which the members are asked to
	// confirm it: a read or two of the store were missed.
	confirmThreshold = 1200 * time.Millisecond
	// confirmInterval is the time between requests: several within RecordLifetime.
	confirmInterval = 400 * time.Millisecond
	// calmConfirmInterval is the time after a confirmation until the next request, if the use of
	// primaries rests on confirmations: two more attempts fit into RecordLifetime.
	calmConfirmInterval = 500 * time.Millisecond
	// startupConfirmInterval is the time between requests before the first confirmation.
	startupConfirmInterval = 100 * time.Millisecond
	// confirmTimeout bounds one request.
	confirmTimeout = 300 * time.Millisecond
	// silenceThreshold is how long no other failure domain may answer such a request before
	// this one is suspected to be cut off: several round trips between busy instances.
	silenceThreshold = 100 * time.Millisecond
	// maxDirectConfirmations is the number of members up to which each is asked directly.
	maxDirectConfirmations = 12
)

// KnownEpochs returns the latest epoch of each service that this instance has read or
// revoked the primary for, and false if it cannot confirm anything. A restart loses the
// revoked epochs, so a recently started instance confirms only from rows that were read
// since its start.
func (v *PrimaryView) KnownEpochs() (map[string]uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.knownEpochs()
}

// knownEpochs is KnownEpochs for a caller that holds mu.
func (v *PrimaryView) knownEpochs() (map[string]uint64, bool) {
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
	v.endLapsedUses()
	for service, epoch := range epochs {
		if s := v.stateOf(service); !v.isForgotten(service, epoch) && epoch > v.records.services[service].Epoch && s.revokedEpoch < epoch {
			s.revokedEpoch = epoch
			s.drainDeadline = 0
		}
	}
	if 2*(answered+1) > v.records.members.Count {
		v.confirmedAt = max(v.confirmedAt, sent)
	}
}

// untilConfirmation returns the time until the members have to be asked for confirmation, 0
// if that is now. Instances that announce what they rely on always ask.
func (v *PrimaryView) untilConfirmation() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock()
	since, threshold := v.records.asOf, confirmThreshold
	if v.reliance.announced {
		since, threshold = v.confirmedAt, calmConfirmInterval
	}
	switch {
	case !v.records.loaded || !v.records.members.Listed || now-v.records.asOf >= MaxStoreOutage:
		return v.confirmPause()
	case since == 0 || now-since > threshold:
		return 0
	default:
		return threshold - (now - since) + time.Millisecond
	}
}

// confirmPause returns the least time between two requests. The caller holds mu.
func (v *PrimaryView) confirmPause() time.Duration {
	if v.reliance.announced && v.confirmedAt == 0 {
		return startupConfirmInterval
	}
	return confirmInterval
}

// minConfirmInterval returns the least time between two requests.
func (v *PrimaryView) minConfirmInterval() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmPause()
}

// confirmRecords asks the members for confirmation: regularly if this instance announces what
// it relies on, otherwise while the store does not serve it.
func (c *Controller) confirmRecords(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := c.cfg.PrimaryView.untilConfirmation()
		if wait == 0 {
			began := c.cfg.Clock()
			c.requestConfirmation(ctx)
			wait = max(0, c.cfg.PrimaryView.minConfirmInterval()-(c.cfg.Clock()-began))
		}
		pause.For(ctx, wait)
	}
	return nil
}

// requestConfirmation asks the members for the latest epochs: each of them in a small fleet,
// otherwise one member of each failure domain, which asks those of its domain.
func (c *Controller) requestConfirmation(ctx context.Context) {
	sent := c.cfg.Clock()
	members := c.cfg.Members()
	var remoteAnswered atomic.Bool
	if c.cfg.Silent != nil && slices.ContainsFunc(members, c.isRemote) {
		timer := time.AfterFunc(silenceThreshold, func() {
			if !remoteAnswered.Load() {
				c.cfg.Silent()
			}
		})
		defer timer.Stop()
	}
	answered := func(m Member) {
		if c.isRemote(m) {
			remoteAnswered.Store(true)
		}
	}
	var merged Attestation
	if len(members) <= maxDirectConfirmations {
		merged = c.collect(ctx, members, false, answered)
	} else {
		merged = c.collectFromDomains(ctx, members, answered)
	}
	c.cfg.PrimaryView.applyConfirmation(sent-merged.Age, len(merged.Members), merged.Epochs)
}

// isRemote reports whether a member is in another failure domain.
func (c *Controller) isRemote(m Member) bool { return m.FailureDomain != c.cfg.FailureDomain }
