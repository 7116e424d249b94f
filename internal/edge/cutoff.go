package edge

import (
	"context"
	"time"
)

const (
	// cutOffCheckInterval is how often it is looked whether the own failure domain is cut off, and
	// while it is, whether it still is.
	cutOffCheckInterval = 250 * time.Millisecond
	// cutOffStoreTimeout bounds the read of the store that tells: a store fifty times slower
	// than usual answers within it.
	cutOffStoreTimeout = 300 * time.Millisecond
)

// watchCutOff notices soon that neither the store nor another failure domain answers, so
// that new callers are sent to other failure domains before what is known of primaries
// has become too old. Where the store answers, an instance goes on serving what it can.
func (i *Instance) watchCutOff(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, cutOffCheckInterval)
		i.checkCutOff(ctx)
	}
	return nil
}

func (i *Instance) checkCutOff(ctx context.Context) {
	othersUnreachable := i.admission.DomainCutOff()
	i.cutOff.Store(othersUnreachable && !i.storeReachable(ctx))
	if othersUnreachable {
		i.admission.ProbeOtherDomains(ctx)
	}
}

// storeReachable reads the store now.
func (i *Instance) storeReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cutOffStoreTimeout)
	defer cancel()
	return i.fleet.RefreshSince(ctx, i.cfg.Clock()) == nil
}
