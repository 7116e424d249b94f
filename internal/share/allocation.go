package share

import (
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

// allocationShrinkDelay is how long much less than a part must be needed before the rest goes
// back to the table unasked.
const allocationShrinkDelay = 30 * time.Second

// strayShrinkDelay is the same for a part of an instance that is not the allocator.
const strayShrinkDelay = 2 * time.Second

// extraDivisor is the part of the demand that is leased on top of it.
const extraDivisor = 4

// poolDivisor is the part of a rate that an allocator keeps to help out those that
// are short for a moment, unless much more is wanted than there is.
const poolDivisor = 4

// wholeToken is one token with room for rounding.
const wholeToken = 1.001

// allocation is what this instance leased of one limit from the table, and how it
// divided that among the instances that ask it.
type allocation struct {
	resource string

	mu    sync.Mutex
	limit escrow.Limit // guarded by mu
	// ledger divides the part; guarded by mu
	ledger escrow.Ledger
	// base is how many units the part should have even without demand; guarded
	// by mu
	base int64
	// ceiling bounds the part until ceilingUntil, since others need more;
	// guarded by mu
	ceiling      int64
	ceilingUntil time.Duration
	// baseSuspendedUntil is when the base counts again after others needed it; guarded by
	// mu
	baseSuspendedUntil time.Duration
	// stale is true when the row is known to have changed; guarded by mu
	stale bool
	// draining is true when all that is free goes back; guarded by mu
	draining bool
	// surplusSince is since when much less than the part is needed; guarded by mu
	surplusSince time.Duration
	// tokensToReturn is the tokens that were taken out of the ledger and that the
	// table is not known to have got; guarded by mu
	tokensToReturn float64
	// pending are the operations whose outcome is unknown, of which at most one
	// took effect; guarded by mu
	pending []operation
	// recorded is how many units the table has on record; guarded by mu
	recorded int64
	// dirty asks for an operation even if nothing changed here; guarded by mu
	dirty bool
	// backoffUntil is until when the table is known to have no more; guarded by mu
	backoffUntil time.Duration
	unsuccessful int // guarded by mu
	// onlyBaseMissing is true when only the base was missing then; guarded by mu
	onlyBaseMissing bool
	freedCh         chan struct{} // guarded by mu; closed when units become free
	// recalled is when each holder was last asked to hand back; guarded by mu
	recalled map[string]time.Duration

	// cached is the row as last seen, missing how many units the row could not
	// give at the last attempt. Only the worker uses them.
	cached  *cachedRow
	missing int64
}

// operation is one request to the table's ledger of a limit.
type operation struct {
	sequence uint64
	returned float64
}

// cachedRow is a row of the table as last seen.
type cachedRow struct {
	revision uint64
	readAt   time.Duration
	row      row
}

func newAllocation(resource string, limit escrow.Limit) *allocation {
	return &allocation{resource: resource, limit: limit, recalled: make(map[string]time.Duration)}
}

// reset drops everything: the session that it was leased in has ended.
func (alloc *allocation) reset() {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.ledger = escrow.Ledger{}
	alloc.tokensToReturn, alloc.pending, alloc.recorded = 0, nil, 0
	alloc.cached, alloc.missing = nil, 0
	alloc.ceilingUntil, alloc.backoffUntil, alloc.unsuccessful, alloc.surplusSince, alloc.baseSuspendedUntil = 0, 0, 0, 0, 0
	alloc.notify()
}

// setLimit takes over a changed limit.
func (alloc *allocation) setLimit(now time.Duration, l escrow.Limit) {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	if alloc.limit == l {
		return
	}
	alloc.ledger.Accrue(alloc.limit, now, now)
	alloc.dirty = alloc.dirty || alloc.limit.Units != l.Units
	alloc.limit = l
	alloc.ledger.Accrue(l, now, now)
}

// advance brings the ledger up to now. The caller holds mu.
func (alloc *allocation) advance(now time.Duration) {
	alloc.ledger.Accrue(alloc.limit, now, now)
	if alloc.ledger.Reclaim(func(e escrow.Entry) bool { return e.Until < now }) > 0 {
		alloc.notify()
	}
}

// unitsDemanded returns how many units the holders need. The caller holds mu.
func (alloc *allocation) unitsDemanded() int64 { return min(alloc.limit.Units, alloc.ledger.Wanted()) }

// need returns how many units the part should have: its base, or more for the
// demand that its holders told. The caller holds mu.
func (alloc *allocation) need(now time.Duration) int64 {
	need := alloc.ledger.Wanted()
	if alloc.limit.Rate > 0 {
		need += need / extraDivisor
	}
	if now >= alloc.baseSuspendedUntil {
		need = max(need, alloc.base)
	}
	return min(alloc.limit.Units, need)
}

// goal returns how many units the part should have now: more at once when they
// are needed, fewer only after a while. The caller holds mu.
func (alloc *allocation) goal(now time.Duration) int64 {
	if alloc.draining {
		return 0
	}
	need := alloc.need(now)
	goal := need
	switch {
	case need >= alloc.ledger.Units/2:
		alloc.surplusSince = 0
		goal = max(need, alloc.ledger.Units)
	case alloc.surplusSince == 0:
		alloc.surplusSince = max(now, 1)
		goal = alloc.ledger.Units
	case now-alloc.surplusSince < alloc.shrinkDelay():
		goal = alloc.ledger.Units
	}
	if now < alloc.ceilingUntil {
		goal = min(goal, alloc.ceiling)
	}
	return goal
}

// target returns how many units a holder should have of the part, within the
// part's goal. The caller holds mu.
func (alloc *allocation) target(now time.Duration, holder string) int64 {
	total := min(alloc.ledger.Units, alloc.goal(now))
	if alloc.limit.Rate <= 0 {
		return alloc.ledger.Target(holder, total)
	}
	if wanted := alloc.ledger.Wanted(); wanted < total+total/poolDivisor {
		total -= total / poolDivisor
	}
	target := alloc.ledger.Portion(holder, total)
	if target > 0 {
		// Fewer units than this could never save up a whole token.
		return max(target, alloc.limit.UnitsForTokens(wholeToken))
	}
	return target
}

// due tells whether the table has to be asked at now. The caller holds mu.
func (alloc *allocation) due(now time.Duration) bool {
	if alloc.dirty || alloc.recorded != alloc.ledger.Units || len(alloc.pending) > 0 {
		return true
	}
	goal := alloc.goal(now)
	if goal < alloc.ledger.Units {
		return alloc.ledger.Free.Units > 0
	}
	if goal <= alloc.ledger.Units {
		return false
	}
	return now >= alloc.backoffUntil || alloc.onlyBaseMissing && alloc.ledger.Wanted() > alloc.ledger.Units
}

// shrinkDelay is how long little need is waited out before the part shrinks. The
// caller holds mu.
func (alloc *allocation) shrinkDelay() time.Duration {
	if alloc.base == 0 && alloc.ledger.Wanted() == 0 {
		return strayShrinkDelay
	}
	return allocationShrinkDelay
}

// notify tells those who wait that units may have become free. The caller holds mu.
func (alloc *allocation) notify() {
	if alloc.freedCh != nil {
		close(alloc.freedCh)
		alloc.freedCh = nil
	}
}

// freed returns a channel that is closed when units may have become free. The
// caller holds mu.
func (alloc *allocation) freed() <-chan struct{} {
	if alloc.freedCh == nil {
		alloc.freedCh = make(chan struct{})
	}
	return alloc.freedCh
}
