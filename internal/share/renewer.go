package share

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// renewalsPerLease is how many times a session is renewed within its lease.
	renewalsPerLease = 3
	// maxFailureBackoff bounds the delay after a failed call to the table.
	maxFailureBackoff = 5 * time.Second
	// scanInterval is how often the renewer looks for due allocations without a
	// trigger.
	scanInterval = 250 * time.Millisecond
	// releaseTimeout bounds the return of holdings and allocations when the
	// controller stops.
	releaseTimeout = 2 * time.Second
)

// renewer renews the session and updates the rows of the allocations that are due.
type renewer struct {
	*rowUpdater
	nextRenewal  time.Duration
	tableRetryAt time.Duration
	failures     int
	sessionBegun bool
}

// runRenewer runs the renewer until ctx ends, then releases what the instance has.
func (c *Controller) runRenewer(ctx context.Context) error {
	r := &renewer{rowUpdater: &rowUpdater{
		Controller: c, ended: make(map[string]bool), checkedAt: make(map[string]time.Duration),
	}}
	for ctx.Err() == nil {
		r.step(ctx)
		timer := time.NewTimer(scanInterval)
		select {
		case <-c.triggered:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	r.release(releaseCtx)
	return nil
}

// step renews the session and updates the allocations' rows, whichever are due.
func (r *renewer) step(ctx context.Context) {
	now := r.cfg.Clock()
	if r.session.lost(now) || r.sessionRemoved.Swap(false) {
		r.abandonSession(ctx)
	}
	if now >= r.nextRenewal {
		r.renew(ctx)
	}
	if r.session.left(r.cfg.Clock()) == 0 || r.cfg.Clock() < r.tableRetryAt {
		return
	}
	allocations := r.dueAllocations()
	if len(allocations) == 0 {
		return
	}
	if err := r.updateRows(ctx, allocations); err != nil {
		r.tableFailed(ctx, err)
		return
	}
	r.tableSucceeded()
}

// abandonSession drops everything that depends on the session, and deletes its row,
// so that other instances need not wait for its expiry.
func (r *renewer) abandonSession(ctx context.Context) {
	event.ShareSessionLost.Emit(r.cfg.Log, holderField(r.session.holder()))
	for _, alloc := range r.allAllocations() {
		alloc.reset()
	}
	key, revision := r.session.reset()
	r.sessionBegun, r.nextRenewal = false, 0
	_, _ = r.store.commit(ctx,
		[]platform.Condition{{Key: key, Revision: revision}}, []platform.Write{{Key: key, Delete: true}})
}

func (r *renewer) renew(ctx context.Context) {
	if r.session.serving != nil && !r.session.serving().Valid(r.cfg.Clock()) {
		return
	}
	outcome, err := r.session.renew(ctx, r.cfg.SessionLease)
	switch {
	case err != nil:
		r.tableFailed(ctx, err)
		r.nextRenewal = r.tableRetryAt
	case outcome == sessionRowRemoved:
		r.sessionRemoved.Store(true)
		r.trigger()
	case outcome == renewalConflicted:
		r.nextRenewal = 0
		r.trigger()
	default:
		r.tableSucceeded()
		interval := float64(r.cfg.SessionLease) / renewalsPerLease
		r.nextRenewal = r.cfg.Clock() + time.Duration(interval*(0.75+r.cfg.Random()/2))
		if !r.sessionBegun {
			r.sessionBegun = true
			event.ShareSessionBegun.Emit(r.cfg.Log, holderField(r.session.holder()))
		}
	}
}

// tableFailed records a failed call to the table and backs off.
func (r *renewer) tableFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if r.failures == 0 {
		event.ShareTableFailing.Emit(r.cfg.Log, errorField(err),
			zap.Duration("lease_left", r.session.left(r.cfg.Clock())))
	}
	r.failures++
	r.tableAvailable.Store(false)
	r.tableRetryAt = r.cfg.Clock() + backoff(r.failures+2, maxFailureBackoff, r.cfg.Random())
}

func (r *renewer) tableSucceeded() {
	if r.failures > 0 {
		event.ShareTableBack.Emit(r.cfg.Log)
	}
	r.failures, r.tableRetryAt = 0, 0
	r.tableAvailable.Store(true)
}

// release returns what is free when the controller stops. What other instances
// still hold becomes free when their leases have expired; the session is kept that
// long.
func (r *renewer) release(ctx context.Context) {
	if r.session.left(r.cfg.Clock()) == 0 {
		return
	}
	r.returnHoldings(ctx)
	allocations := r.allAllocations()
	held := false
	for _, alloc := range allocations {
		held = alloc.drain(r.cfg.Clock()) || held
	}
	allocations = slices.DeleteFunc(allocations, func(alloc *allocation) bool { return alloc.hasNoRecord() })
	if r.updateRows(ctx, allocations) != nil {
		return
	}
	if held {
		_, _ = r.session.renew(ctx, r.cfg.HoldingLease)
		return
	}
	key, revision := r.session.reset()
	_, _ = r.store.commit(ctx,
		[]platform.Condition{{Key: key, Revision: revision}}, []platform.Write{{Key: key, Delete: true}})
}

// returnHoldings returns this instance's holdings to their allocators.
func (r *renewer) returnHoldings(ctx context.Context) {
	for _, a := range r.activeAccounts() {
		for _, allocator := range a.otherAllocators("") {
			_ = r.requestUnits(ctx, a, allocator, 0)
		}
		a.clear()
	}
}

// drain makes the allocation return to the table whatever is or becomes free. It
// reports whether instances still hold some of it.
func (alloc *allocation) drain(now time.Duration) bool {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.advance(now)
	alloc.draining = true
	return alloc.ledger.Free.Units < alloc.ledger.Units
}

// stopDraining reverts drain, when the limit is in use again.
func (alloc *allocation) stopDraining() {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.draining = false
}

// hasNoRecord reports whether the table records nothing for the allocation.
func (alloc *allocation) hasNoRecord() bool {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	return alloc.recorded == 0 && len(alloc.pending) == 0
}

// dueAllocations lists the allocations whose rows have to be updated.
func (r *renewer) dueAllocations() []*allocation {
	now := r.cfg.Clock()
	return slices.DeleteFunc(r.allAllocations(), func(alloc *allocation) bool {
		alloc.mu.Lock()
		defer alloc.mu.Unlock()
		alloc.advance(now)
		return !alloc.due(now)
	})
}

func (c *Controller) allAllocations() []*allocation {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := make([]*allocation, 0, len(c.allocations))
	for _, alloc := range c.allocations {
		all = append(all, alloc)
	}
	return all
}

func holderField(holder string) zap.Field { return zap.String("holder", holder) }

func resourceField(resource string) zap.Field { return zap.String("resource", resource) }

func errorField(err error) zap.Field { return zap.String("error", err.Error()) }
