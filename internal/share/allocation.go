package share

import (
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// allocationShrinkDelay is how long less than half of an allocation must be needed
// before the rest is returned to the table without a recall.
const allocationShrinkDelay = 30 * time.Second

// unusedShrinkDelay is the same for an allocation without base and demand, such as
// that of an instance that is no longer the allocator.
const unusedShrinkDelay = 2 * time.Second

// extraDivisor sets how much of a rate is leased beyond the demand: 1/extraDivisor
// of the demand.
const extraDivisor = 4

// reserveDivisor sets how much of a rate an allocator keeps in reserve for holders
// that are short for a moment: 1/reserveDivisor of its allocation, unless the demand
// exceeds the allocation by that fraction or more.
const reserveDivisor = 4

// wholeToken is one token with a margin for rounding.
const wholeToken = 1.001

// allocation is what this instance leased of one limit from the table, and how it
// is divided among the holders.
type allocation struct {
	resource string

	mu    sync.Mutex
	limit escrow.Limit // guarded by mu
	// ledger divides the allocation among the holders; guarded by mu
	ledger escrow.Ledger
	// base is how many units the allocation should have even without demand;
	// guarded by mu
	base int64
	// ceiling bounds the allocation until ceilingUntil, on a recall by another
	// allocator; guarded by mu
	ceiling      int64
	ceilingUntil time.Duration
	// baseSuspendedUntil is when the base applies again after a recall; guarded by
	// mu
	baseSuspendedUntil time.Duration
	// stale is true when the row is known to have changed; guarded by mu
	stale bool
	// draining is true while everything that becomes free is returned to the table;
	// guarded by mu
	draining bool
	// surplusSince is when the need fell below half of the allocation; 0 if it has
	// not; guarded by mu
	surplusSince time.Duration
	// tokensToReturn counts the tokens taken out of the ledger whose return the
	// table has not confirmed; guarded by mu
	tokensToReturn float64
	// pending lists the operations with unknown outcome, of which at most one took
	// effect; guarded by mu
	pending []operation
	// recorded is how many units the table records for the allocation; guarded by
	// mu
	recorded int64
	// dirty requests an operation even if nothing changed here; guarded by mu
	dirty bool
	// demandShortage and baseShortage say when the table is asked again after it had too
	// few units: for what holders want, and for the base alone; guarded by mu
	demandShortage, baseShortage shortage
	// unreadableUntil is when the row is read again after it could not be decoded; guarded by mu
	unreadableUntil time.Duration
	freedCh         chan struct{} // guarded by mu; closed when units become free
	// recalled is the time of the last recall, by holder; guarded by mu
	recalled map[string]time.Duration

	// cached is the row as last read, and missing how many units the row lacked at
	// the last attempt. Only the rowUpdater uses them.
	cached  *cachedRow
	missing int64
}

// shortage is the state of the retries of a request for units that the table lacked.
type shortage struct {
	retryAt      time.Duration
	unsuccessful int // consecutive unsuccessful requests
}

// record counts an unsuccessful request and delays the next one.
func (s *shortage) record(now time.Duration, random float64) {
	s.unsuccessful++
	s.retryAt = now + backoff(s.unsuccessful, maxTableBackoff, random)
}

// operation is one request to the limit's ledger in the table.
type operation struct {
	sequence uint64
	returned float64 // tokens
}

// cachedRow is a cached copy of a row of the table.
type cachedRow struct {
	revision platform.Revision
	readAt   time.Duration
	row      row
}

func newAllocation(resource string, limit escrow.Limit) *allocation {
	return &allocation{resource: resource, limit: limit, recalled: make(map[string]time.Duration)}
}

// reset drops everything, when the session that it was leased under has ended.
func (alloc *allocation) reset() {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.ledger = escrow.Ledger{}
	alloc.tokensToReturn, alloc.pending, alloc.recorded = 0, nil, 0
	alloc.cached, alloc.missing = nil, 0
	alloc.demandShortage, alloc.baseShortage = shortage{}, shortage{}
	alloc.ceilingUntil, alloc.unreadableUntil, alloc.surplusSince, alloc.baseSuspendedUntil = 0, 0, 0, 0
	alloc.notify()
}

// setLimit applies a changed limit.
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

// advance accrues tokens in the ledger and reclaims expired holdings, as of now.
// The caller holds mu.
func (alloc *allocation) advance(now time.Duration) {
	alloc.ledger.Accrue(alloc.limit, now, now)
	if alloc.ledger.Reclaim(func(e escrow.Entry) bool { return e.ExpiredBy < now }) > 0 {
		alloc.notify()
	}
}

// unitsDemanded returns how many units the holders want, at most the limit. The
// caller holds mu.
func (alloc *allocation) unitsDemanded() int64 {
	return min(alloc.limit.Units, alloc.ledger.TotalWant())
}

// need returns how many units the allocation should have: its base, or more if its
// holders reported more demand. The caller holds mu.
func (alloc *allocation) need(now time.Duration) int64 {
	need := alloc.ledger.TotalWant()
	if alloc.limit.Rate > 0 {
		need += need / extraDivisor
	}
	if now >= alloc.baseSuspendedUntil {
		need = max(need, alloc.base)
	}
	return min(alloc.limit.Units, need)
}

// goal returns how many units the allocation should have now: it grows at once when
// more are needed, and shrinks only after a delay. The caller holds mu.
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

// target returns how many units of the allocation a holder should have, within the
// allocation's goal. The caller holds mu.
func (alloc *allocation) target(now time.Duration, holder string) int64 {
	total := min(alloc.ledger.Units, alloc.goal(now))
	if alloc.limit.Rate <= 0 {
		return alloc.ledger.MaxMinAllocation(holder, total)
	}
	if wanted := alloc.ledger.TotalWant(); wanted < total+total/reserveDivisor {
		total -= total / reserveDivisor
	}
	target := alloc.ledger.ProportionalAllocation(holder, total)
	if target > 0 {
		// With fewer units a holder could never save up a whole token.
		return max(target, alloc.limit.UnitsForTokens(wholeToken))
	}
	return target
}

// due reports whether the row has to be updated now. The caller holds mu.
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
	return now >= max(alloc.unreadableUntil, alloc.currentShortage().retryAt)
}

// currentShortage returns the state of the retries for what is missing now. The caller holds
// mu.
func (alloc *allocation) currentShortage() *shortage {
	if alloc.demandMissing() {
		return &alloc.demandShortage
	}
	return &alloc.baseShortage
}

// demandMissing reports whether the holders want more than the allocation has. The caller
// holds mu.
func (alloc *allocation) demandMissing() bool { return alloc.ledger.TotalWant() > alloc.ledger.Units }

// shrinkDelay returns how long a low need must last before the allocation shrinks.
// The caller holds mu.
func (alloc *allocation) shrinkDelay() time.Duration {
	if alloc.base == 0 && alloc.ledger.TotalWant() == 0 {
		return unusedShrinkDelay
	}
	return allocationShrinkDelay
}

// notify signals that units may have become free. The caller holds mu.
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
