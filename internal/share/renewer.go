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
	// renewalsPerLease is how often a session is renewed within its lease.
	renewalsPerLease = 3
	// maxFailureBackoff bounds the pause after a failed call of the table.
	maxFailureBackoff = 5 * time.Second
	// scanInterval is how often the worker looks for due allocations without a kick.
	scanInterval = 250 * time.Millisecond
	// releaseTimeout bounds the handing back at the end.
	releaseTimeout = 2 * time.Second
)

// renewer is the loop that keeps the session and works for the allocations.
type renewer struct {
	*rowUpdater
	nextRenewal  time.Duration
	tableRetryAt time.Duration
	failures     int
	sessionBegun bool
}

// runRenewer keeps the session and leases allocations until ctx ends.
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
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	r.release(last)
	return nil
}

// step renews the session when it is due and serves the allocations that are.
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

// abandonSession gives up everything that hung on the session, and its row, which nobody
// needs to wait for any more.
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

// tableFailed backs off from the table.
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

// release hands back what is free at the end of the instance's life. What other
// instances still hold returns when their leases have lapsed, for which the
// session stays that long.
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
		_, _ = r.session.renew(ctx, r.cfg.PartLease)
		return
	}
	key, revision := r.session.reset()
	_, _ = r.store.commit(ctx,
		[]platform.Condition{{Key: key, Revision: revision}}, []platform.Write{{Key: key, Delete: true}})
}

// returnHoldings returns what this instance uses to the allocators.
func (r *renewer) returnHoldings(ctx context.Context) {
	for _, a := range r.activeAccounts() {
		for _, allocator := range a.otherAllocators("") {
			_ = r.requestUnits(ctx, a, allocator, 0)
		}
		a.clear()
	}
}

// drain has the part hand back to the table whatever is or becomes free. It
// reports whether instances still hold some of it.
func (alloc *allocation) drain(now time.Duration) bool {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.advance(now)
	alloc.draining = true
	return alloc.ledger.Free.Units < alloc.ledger.Units
}

// stopDraining undoes wind: the limit is in use again.
func (alloc *allocation) stopDraining() {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.draining = false
}

// hasNoRecord tells whether the table has nothing of the part on record.
func (alloc *allocation) hasNoRecord() bool {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	return alloc.recorded == 0 && len(alloc.pending) == 0
}

// dueAllocations lists the allocations for which the table has to be asked.
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
