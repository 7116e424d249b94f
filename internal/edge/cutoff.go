package edge

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/pause"
)

const (
	// cutOffCheckInterval is the interval of the checks whether this failure domain is cut
	// off from the store and the other failure domains.
	cutOffCheckInterval = 250 * time.Millisecond
	// cutOffStoreTimeout bounds the read of the store in such a check. A store fifty times
	// slower than usual answers within it.
	cutOffStoreTimeout = 300 * time.Millisecond
	// cutOffNoticeTimeout bounds the notices of the cut to the instances of the own domain.
	cutOffNoticeTimeout = 300 * time.Millisecond
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
			case <-i.cutOffNoticed:
				i.admission.ProbeOtherDomains(ctx)
			case <-ctx.Done():
				return nil
			}
		}
		before := i.cutOff.Load()
		if !before && !i.admission.DomainCutOff() {
			continue // the next failed request counts at once
		}
		i.checkCutOff(ctx)
		if !before && i.cutOff.Load() {
			i.noticeCutOff(ctx)
		}
		pause.For(ctx, cutOffCheckInterval)
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

// checkCutOff updates cutOff. Only when no other failure domain answers, it reads the store,
// unless the last read failed, and probes those domains again.
func (i *Instance) checkCutOff(ctx context.Context) {
	if !i.admission.DomainCutOff() {
		i.cutOff.Store(false)
		return
	}
	probed := make(chan struct{})
	go func() {
		defer close(probed)
		i.admission.ProbeOtherDomains(ctx)
	}()
	storeFails := !i.fleet.StoreServing() || !i.storeReachable(ctx)
	<-probed
	i.cutOff.Store(storeFails && i.admission.DomainCutOff())
}

// noticeCutOff makes the other instances of this failure domain check at once whether they are
// cut off as well. The platform sends callers to other failure domains only once all of them
// are not ready.
func (i *Instance) noticeCutOff(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cutOffNoticeTimeout)
	defer cancel()
	var pending sync.WaitGroup
	for _, m := range i.others() {
		if m.FailureDomain != i.cfg.FailureDomain {
			continue
		}
		pending.Go(func() {
			if err := i.client.Call(ctx, m.Address, messageCutOff, empty{}, &empty{}); err != nil {
				i.cfg.Log.Debug("notice of a cut was not confirmed", zap.String("member", m.Name), zap.Error(err))
			}
		})
	}
	pending.Wait()
}

// handleCutOff handles a notice of noticeCutOff. An instance that knows of the cut ignores it.
func (i *Instance) handleCutOff(context.Context, empty) (empty, error) {
	i.suspectCutOff()
	return empty{}, nil
}

// suspectCutOff makes watchCutOff check whether this failure domain is cut off, unless that is
// known.
func (i *Instance) suspectCutOff() {
	if i.cutOff.Load() {
		return
	}
	select {
	case i.cutOffNoticed <- struct{}{}:
	default:
	}
}

// storeReachable reads the fleet's rows from the store, and reports whether that succeeded.
func (i *Instance) storeReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cutOffStoreTimeout)
	defer cancel()
	return i.fleet.RefreshSince(ctx, i.cfg.Clock()) == nil
}
