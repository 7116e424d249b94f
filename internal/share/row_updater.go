package share

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// maxBatchSize is the maximum number of limits that one commit changes.
	maxBatchSize = 64
	// maxBatchAttempts is the maximum number of commits of a batch, while other
	// instances write the same rows, before it is halved.
	maxBatchAttempts = 6
	// rowRereadInterval is the shortest interval between reads of a row with too few
	// free units.
	rowRereadInterval = 500 * time.Millisecond
)

// rowUpdater applies operations to the ledgers in the table, many in one commit.
// Only one goroutine uses it.
type rowUpdater struct {
	*Controller
	ended     map[string]bool          // sessions that have certainly ended, by holder
	checkedAt map[string]time.Duration // time of the last check of a session, by holder
	sequence  uint64
}

// rowChange is one limit's row as a batch will write it.
type rowChange struct {
	allocation *allocation
	next       row
	op         operation
	granted    escrow.Amount
}

// updateRows updates the rows of the given allocations.
func (u *rowUpdater) updateRows(ctx context.Context, allocations []*allocation) error {
	for batch := range slices.Chunk(allocations, maxBatchSize) {
		if err := u.updateBatch(ctx, batch); err != nil {
			return trace.Wrap(err)
		}
		for _, alloc := range batch {
			u.handleShortage(alloc)
		}
	}
	return nil
}

// updateBatch tries one commit for all allocations, several times and then in
// halves while other instances write the same rows.
func (u *rowUpdater) updateBatch(ctx context.Context, allocations []*allocation) error {
	for attempt := range maxBatchAttempts {
		if err := u.loadRows(ctx, allocations); err != nil {
			return trace.Wrap(err)
		}
		changes := u.prepareAll(ctx, allocations)
		if len(changes) == 0 {
			return nil
		}
		applied, err := u.commit(ctx, changes)
		if err != nil {
			return trace.Wrap(err)
		}
		if applied {
			return nil
		}
		u.conflicts.Add(1)
		if !pause.For(ctx, conflictBackoff(attempt, u.cfg.Random())) {
			return trace.Wrap(ctx.Err())
		}
	}
	if len(allocations) == 1 {
		return nil
	}
	half := len(allocations) / 2
	if err := u.updateBatch(ctx, allocations[:half]); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(u.updateBatch(ctx, allocations[half:]))
}

// loadRows reads the rows that are not cached or are outdated.
func (u *rowUpdater) loadRows(ctx context.Context, allocations []*allocation) error {
	var missing []*allocation
	var keys []string
	for _, alloc := range allocations {
		if u.outdated(alloc) {
			missing = append(missing, alloc)
			keys = append(keys, rowKey(alloc.resource))
		}
	}
	if len(missing) == 0 {
		return nil
	}
	rows, err := u.store.get(ctx, keys...)
	if err != nil {
		return trace.Wrap(err)
	}
	for i, alloc := range missing {
		if i < len(rows) {
			u.applyRow(alloc, rows[i])
		}
	}
	return nil
}

// outdated reports whether an allocation's row has to be read: it is not cached,
// has changed, or had too few free units when it was last read.
func (u *rowUpdater) outdated(alloc *allocation) bool {
	now := u.cfg.Clock()
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	if alloc.cached == nil || alloc.stale {
		return true
	}
	missing := alloc.goal(now) - alloc.ledger.Units
	return missing > alloc.cached.row.Ledger.Free.Units && now-alloc.cached.readAt > rowRereadInterval
}

// applyRow caches a row as it is in the table now, and applies the outcome of an
// operation whose response was lost.
func (u *rowUpdater) applyRow(alloc *allocation, stored platform.Row) {
	version := u.cfg.Board.Configuration.Get().Version
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	decoded, err := decodeRow(stored.Value, alloc.limit.Units, version)
	if err != nil {
		event.ShareRowUnreadable.Emit(u.cfg.Log, resourceField(alloc.resource), errorField(err))
		alloc.cached, alloc.dirty = nil, false
		alloc.unreadableUntil = u.cfg.Clock() + maxTableBackoff
		return
	}
	alloc.cached, alloc.stale = &cachedRow{revision: stored.Revision, readAt: u.cfg.Clock(), row: decoded}, false
	entry := decoded.Ledger.Entry(u.session.holder())
	for _, op := range alloc.pending {
		if op.sequence == entry.Sequence {
			alloc.applyOutcome(op, entry.LastGrant)
			return
		}
	}
}

// applyOutcome applies the outcome of an operation that took effect. The caller
// holds mu.
func (alloc *allocation) applyOutcome(op operation, granted escrow.Amount) {
	alloc.pending, alloc.dirty = nil, false
	alloc.tokensToReturn = max(0, alloc.tokensToReturn-op.returned)
	alloc.ledger.Absorb(granted)
	alloc.recorded = alloc.ledger.Units
	if alloc.recorded <= alloc.ceiling {
		alloc.ceilingUntil = 0
	}
	if granted.Units > 0 {
		alloc.demandShortage, alloc.baseShortage = shortage{}, shortage{}
	}
	alloc.notify()
}

// prepareAll computes the changes of a batch, and looks for ended sessions where
// there is a shortage.
func (u *rowUpdater) prepareAll(ctx context.Context, allocations []*allocation) []rowChange {
	var changes []rowChange
	for _, alloc := range allocations {
		if alloc.cached == nil {
			continue
		}
		u.findEnded(ctx, alloc)
		if c, write := u.prepare(alloc); write {
			changes = append(changes, c)
		}
	}
	return changes
}

// prepare computes one row's change. What the instance gives up leaves its own
// ledger here, before the table can grant it to others.
func (u *rowUpdater) prepare(alloc *allocation) (rowChange, bool) {
	now, clock := u.cfg.Clock(), u.store.lastReading()
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.advance(now)
	next := alloc.cached.row
	next.Ledger.Entries = slices.Clone(next.Ledger.Entries)
	next.Ledger.Accrue(alloc.limit, clock.earliest(now), clock.latest(now))
	reclaimed := next.Ledger.Reclaim(func(e escrow.Entry) bool { return u.ended[e.Holder] })
	resized := u.resize(alloc, &next)
	goal := alloc.goal(now)
	if next.Ledger.Free.Units < 0 {
		goal = min(goal, alloc.fairShare(next.Ledger, u.session.holder()))
	}
	alloc.tokensToReturn += alloc.ledger.Withdraw(alloc.ledger.Units - goal).Tokens
	u.sequence++
	holder := u.session.holder()
	err := next.Ledger.Settle(alloc.limit, escrow.Request{
		Holder: holder, Sequence: u.sequence, Held: alloc.ledger.Units, Returned: alloc.tokensToReturn, Want: alloc.unitsDemanded(),
	})
	if err != nil {
		u.sessionRemoved.Store(true)
		return rowChange{}, false
	}
	granted := next.Ledger.Grant(alloc.limit, holder, min(goal-alloc.ledger.Units, alloc.unitsAvailable(next.Ledger, holder)))
	alloc.missing = goal - alloc.ledger.Units - granted.Units
	moved := alloc.recorded != alloc.ledger.Units || granted.Units > 0 || reclaimed > 0 || resized ||
		alloc.missing > 0 && wantChanged(alloc.cached.row.Ledger.Entry(holder).Want, alloc.unitsDemanded())
	if !moved && len(alloc.pending) == 0 {
		alloc.dirty = false
		return rowChange{}, false
	}
	op := operation{sequence: u.sequence, returned: alloc.tokensToReturn}
	return rowChange{allocation: alloc, next: next, op: op, granted: granted}, true
}

// resize applies a later configuration's number of units to the row. The caller
// holds alloc.mu.
func (u *rowUpdater) resize(alloc *allocation, next *row) bool {
	version := u.cfg.Board.Configuration.Get().Version
	if version <= next.Version || next.Ledger.Units == alloc.limit.Units {
		return false
	}
	next.Version = version
	next.Ledger.Resize(alloc.limit.Units)
	return true
}

// fairShare returns how many units a holder may keep of a limit that became too
// small for all: up to an equal level. The caller holds mu.
func (alloc *allocation) fairShare(l escrow.Ledger, holder string) int64 {
	held := make([]int64, 0, len(l.Entries))
	for _, e := range l.Entries {
		if e.Holder != holder {
			held = append(held, e.Units)
		}
	}
	return escrow.MaxMinLevel(l.Units, append(held, alloc.ledger.Units))
}

// handleShortage backs off from a row that has too few units. If the units are missing
// for demand and not only for the base, it recalls units from other allocators.
func (u *rowUpdater) handleShortage(alloc *allocation) {
	if alloc.missing <= 0 || alloc.cached == nil {
		return
	}
	alloc.mu.Lock()
	alloc.currentShortage().record(u.cfg.Clock(), u.cfg.Random())
	want, held, demanded := alloc.ledger.TotalWant(), alloc.ledger.Units, alloc.demandMissing()
	alloc.mu.Unlock()
	if demanded {
		u.recallDomains(alloc, alloc.cached.row.Ledger, want, held)
	}
	alloc.missing = 0
}

// unitsAvailable returns how many units the allocation may take from a row: for
// demand any number, but for its base only what no other failure domain is waiting
// for. The caller holds mu.
func (alloc *allocation) unitsAvailable(l escrow.Ledger, holder string) int64 {
	unclaimed := l.Free.Units
	for _, e := range l.Entries {
		if e.Holder != holder {
			unclaimed -= max(0, e.Want-e.Units)
		}
	}
	return max(unclaimed, alloc.ledger.TotalWant()-alloc.ledger.Units)
}

// wantChanged reports whether a want differs enough from the recorded one to be
// written to the table.
func wantChanged(recorded, want int64) bool {
	return want > recorded+recorded/growthDivisor || want < recorded-recorded/surplusDivisor
}

// commit writes the changes. It reports false when a row had changed in the
// meantime; the rows as they are now have then been applied.
func (u *rowUpdater) commit(ctx context.Context, changes []rowChange) (bool, error) {
	conditions := make([]platform.Condition, len(changes))
	writes := make([]platform.Write, len(changes))
	for i, c := range changes {
		value, err := encode(c.next)
		if err != nil {
			return false, trace.Wrap(err)
		}
		key := rowKey(c.allocation.resource)
		conditions[i] = platform.Condition{Key: key, Revision: c.allocation.cached.revision}
		writes[i] = platform.Write{Key: key, Value: value}
	}
	result, err := u.store.commit(ctx, conditions, writes)
	if err != nil {
		u.recordUncertain(changes)
		return false, trace.Wrap(err)
	}
	if !result.Applied {
		u.applyConflict(changes, result.Current)
		return false, nil
	}
	for _, c := range changes {
		c.allocation.mu.Lock()
		c.allocation.cached = &cachedRow{revision: result.Revision, readAt: u.cfg.Clock(), row: c.next}
		c.allocation.applyOutcome(c.op, c.granted)
		c.allocation.mu.Unlock()
	}
	return true, nil
}

// recordUncertain records operations whose response was lost.
func (u *rowUpdater) recordUncertain(changes []rowChange) {
	for _, c := range changes {
		c.allocation.mu.Lock()
		c.allocation.pending = append(c.allocation.pending, c.op)
		c.allocation.cached = nil
		c.allocation.mu.Unlock()
	}
}

// applyConflict applies the current rows after a batch failed on its conditions.
func (u *rowUpdater) applyConflict(changes []rowChange, current []platform.Row) {
	for _, stored := range current {
		for _, c := range changes {
			if rowKey(c.allocation.resource) == stored.Key {
				u.applyRow(c.allocation, stored)
			}
		}
	}
}
