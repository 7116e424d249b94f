package edge

import (
	"context"
	"time"
)

const (
	// cutOffCheckInterval is the interval of the checks whether this failure domain is cut
	// off from the store and the other failure domains.
	cutOffCheckInterval = 250 * time.Millisecond
	// cutOffStoreTimeout bounds the read of the store in such a check. A store fifty times
	// slower than usual answers within it.
	cutOffStoreTimeout = 300 * time.Millisecond
	// storeFailureProbeInterval is the minimum interval between the probes of other failure
	// domains while the store fails.
	storeFailureProbeInterval = time.Second
)

// watchCutOff detects that neither the store nor another failure domain answers, so that
// new callers go to other failure domains before the records of primaries expire. While
// the store answers, the instance continues to serve what it can.
func (i *Instance) watchCutOff(ctx context.Context) error {
	for ctx.Err() == nil {
		if !i.cutOff.Load() {
			select {
			case <-i.admission.Unresponsive():
			case <-i.outage.Failed():
				i.probeWhileStoreFails(ctx)
			case <-ctx.Done():
				return nil
			}
		}
		i.checkCutOff(ctx)
		sleep(ctx, cutOffCheckInterval)
	}
	return nil
}

// probeWhileStoreFails probes instances of other failure domains, at most once per
// storeFailureProbeInterval: a cut that separates this failure domain from the store may
// separate it from them as well, and without requests to them that would go unnoticed.
func (i *Instance) probeWhileStoreFails(ctx context.Context) {
	now := i.cfg.Clock()
	if i.outage.Failing() && (i.probedAt == 0 || now-i.probedAt >= storeFailureProbeInterval) {
		i.probedAt = now
		i.admission.ProbeOtherDomains(ctx)
	}
}

// checkCutOff updates cutOff. It reads the store only when no other failure domain answers
// and the last read did not fail, and then probes those domains again.
func (i *Instance) checkCutOff(ctx context.Context) {
	othersUnreachable := i.admission.DomainCutOff()
	i.cutOff.Store(othersUnreachable && (!i.fleet.StoreServing() || !i.storeReachable(ctx)))
	if othersUnreachable {
		i.admission.ProbeOtherDomains(ctx)
	}
}

// storeReachable reads the fleet's rows from the store, and reports whether that succeeded.
func (i *Instance) storeReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cutOffStoreTimeout)
	defer cancel()
	return i.fleet.RefreshSince(ctx, i.cfg.Clock()) == nil
}
