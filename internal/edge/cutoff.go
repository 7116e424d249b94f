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
	// off from the other failure domains.
	cutOffCheckInterval = 250 * time.Millisecond
	// cutOffStoreInterval is the interval of the reads of the store while it is cut off.
	cutOffStoreInterval = time.Second
	// cutOffStoreTimeout bounds the read of the store in such a check. A store fifty times
	// slower than usual answers within it.
	cutOffStoreTimeout = 250 * time.Millisecond
	// cutOffNoticeTimeout bounds the notices of the cut to the instances of the own domain.
	cutOffNoticeTimeout = 300 * time.Millisecond
	// silenceCheckInterval is the interval of the checks by an instance that no other failure
	// domain answers, while the store does. When that fails, the next read tells.
	silenceCheckInterval = 2 * time.Second
	// storeFailureProbeInterval is the minimum interval between the probes of other failure
	// domains while the store fails.
	storeFailureProbeInterval = time.Second
)

// watchCutOff detects that neither the store nor another failure domain answers, so that
// new callers go to other failure domains before the records of primaries expire. While
// the store answers, the instance continues to serve what it can.
func (i *Instance) watchCutOff(ctx context.Context) error {
	for ctx.Err() == nil {
		if i.cutOff.Load() {
			i.awaitReturn(ctx)
			continue
		}
		select {
		case <-i.admission.Unresponsive():
			if i.admission.DomainCutOff() { // otherwise the next failed request counts at once
				i.checkSilence(ctx)
			}
		case <-i.outage.Failed():
			i.probeWhileStoreFails(ctx)
			if i.admission.DomainCutOff() {
				i.checkAndNotice(ctx)
			}
		case <-i.remoteSilence:
			i.checkSilence(ctx)
		case <-i.cutOffNoticed:
			i.checkNotice(ctx)
		case <-ctx.Done():
		}
	}
	return nil
}

// awaitReturn waits until another failure domain answers again, and until the store may be read
// again.
func (i *Instance) awaitReturn(ctx context.Context) {
	for wait := cutOffStoreInterval; wait > 0 && i.admission.DomainCutOff(); wait -= cutOffCheckInterval {
		if !pause.For(ctx, cutOffCheckInterval) {
			return
		}
		i.admission.ProbeOtherDomains(ctx)
	}
	if !i.admission.DomainCutOff() {
		i.cutOff.Store(false)
		return
	}
	i.checkCutOff(ctx)
}

// checkSilence is checkAndNotice after requests that no other failure domain answered. While the
// store serves this instance, that happens at most once per silenceCheckInterval.
func (i *Instance) checkSilence(ctx context.Context) {
	if i.cfg.Clock() < i.silenceCheckAt {
		return
	}
	i.checkAndNotice(ctx)
	if !i.cutOff.Load() {
		i.silenceCheckAt = i.cfg.Clock() + silenceCheckInterval
	}
}

// checkAndNotice checks whether this failure domain is cut off, and tells the other instances of
// the domain if so.
func (i *Instance) checkAndNotice(ctx context.Context) {
	if i.checkCutOff(ctx); i.cutOff.Load() {
		i.noticeCutOff(ctx)
	}
	pause.For(ctx, cutOffCheckInterval)
}

// checkNotice follows the notice of another instance of this failure domain, which has found no
// answer of the store, if no other domain answers this instance either. The store is read after that.
func (i *Instance) checkNotice(ctx context.Context) {
	if i.admission.ProbeOtherDomains(ctx); i.admission.DomainCutOff() {
		i.cutOff.Store(true)
		i.checkCutOff(ctx)
	}
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

// checkCutOff updates cutOff: it probes other failure domains and meanwhile reads the store,
// unless the last read failed.
func (i *Instance) checkCutOff(ctx context.Context) {
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
	i.signalUnlessCutOff(i.cutOffNoticed)
	return empty{}, nil
}

// recordRemoteSilence makes watchCutOff check whether this failure domain is cut off, unless that
// is known.
func (i *Instance) recordRemoteSilence() { i.signalUnlessCutOff(i.remoteSilence) }

func (i *Instance) signalUnlessCutOff(signal chan<- struct{}) {
	if i.cutOff.Load() {
		return
	}
	select {
	case signal <- struct{}{}:
	default:
	}
}

// storeReachable reads the fleet's rows from the store, and reports whether that succeeded.
func (i *Instance) storeReachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, cutOffStoreTimeout)
	defer cancel()
	return i.fleet.RefreshSince(ctx, i.cfg.Clock()) == nil
}
