package edge

import (
	"context"
	"time"
)

const (
	// cutLook is how often it is looked whether the own failure domain is cut off, and
	// while it is, whether it still is.
	cutLook = 250 * time.Millisecond
	// cutStoreTimeout bounds the read of the store that tells: a store fifty times slower
	// than usual answers within it.
	cutStoreTimeout = 300 * time.Millisecond
)

// watchCut notices soon that neither the store nor another failure domain answers, so
// that new callers are sent to other failure domains before what is known of primaries
// has become too old. Where the store answers, an instance goes on serving what it can.
func (i *Instance) watchCut(ctx context.Context) error {
	for ctx.Err() == nil {
		pause(ctx, cutLook)
		i.lookForCut(ctx)
	}
	return nil
}

func (i *Instance) lookForCut(ctx context.Context) {
	severed := i.admission.DomainCutOff()
	i.cutOff.Store(severed && !i.storeAnswers(ctx))
	if severed {
		i.admission.ProbeOtherDomains(ctx)
	}
}

// storeAnswers reads the store now.
func (i *Instance) storeAnswers(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cutStoreTimeout)
	defer cancel()
	return i.fleet.RefreshSince(ctx, i.cfg.Clock()) == nil
}
