package share

import (
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

// partIdle is how long much less than a part must be needed before the rest goes
// back to the table unasked.
const partIdle = 30 * time.Second

// strayIdle is the same for a part of an instance that is not the allocator.
const strayIdle = 2 * time.Second

// partExtra is the part of the demand that is leased on top of it.
const partExtra = 4

// poolPart is the part of a rate that an allocator keeps to help out those that
// are short for a moment, unless much more is wanted than there is.
const poolPart = 4

// wholeToken is one token with room for rounding.
const wholeToken = 1.001

// part is what this instance leased of one limit from the table, and how it
// divided that among the instances that ask it.
type part struct {
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
	// baseAfter is when the base counts again after others needed it; guarded by
	// mu
	baseAfter time.Duration
	// stale is true when the row is known to have changed; guarded by mu
	stale bool
	// winding is true when all that is free goes back; guarded by mu
	winding bool
	// lowSince is since when much less than the part is needed; guarded by mu
	lowSince time.Duration
	// returning is the tokens that were taken out of the ledger and that the
	// table is not known to have got; guarded by mu
	returning float64
	// pending are the operations whose outcome is unknown, of which at most one
	// took effect; guarded by mu
	pending []operation
	// recorded is how many units the table has on record; guarded by mu
	recorded int64
	// dirty asks for an operation even if nothing changed here; guarded by mu
	dirty bool
	// emptyUntil is until when the table is known to have no more; guarded by mu
	emptyUntil time.Duration
	emptyCount int // guarded by mu
	// emptyBase is true when only the base was missing then; guarded by mu
	emptyBase bool
	grown     chan struct{} // guarded by mu; closed when units become free
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
	seen     time.Duration
	row      row
}

func newPart(resource string, limit escrow.Limit) *part {
	return &part{resource: resource, limit: limit, recalled: make(map[string]time.Duration)}
}

// reset drops everything: the session that it was leased in has ended.
func (p *part) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger = escrow.Ledger{}
	p.returning, p.pending, p.recorded = 0, nil, 0
	p.cached, p.missing = nil, 0
	p.ceilingUntil, p.emptyUntil, p.emptyCount, p.lowSince, p.baseAfter = 0, 0, 0, 0, 0
	p.wake()
}

// setLimit takes over a changed limit.
func (p *part) setLimit(now time.Duration, l escrow.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.limit == l {
		return
	}
	p.ledger.Accrue(p.limit, now, now)
	p.dirty = p.dirty || p.limit.Units != l.Units
	p.limit = l
	p.ledger.Accrue(l, now, now)
}

// tidy brings the ledger up to now. The caller holds mu.
func (p *part) tidy(now time.Duration) {
	p.ledger.Accrue(p.limit, now, now)
	if p.ledger.Reclaim(func(e escrow.Entry) bool { return e.ExpiredBy < now }) > 0 {
		p.wake()
	}
}

// demanded returns how many units the holders need. The caller holds mu.
func (p *part) demanded() int64 { return min(p.limit.Units, p.ledger.TotalWant()) }

// need returns how many units the part should have: its base, or more for the
// demand that its holders told. The caller holds mu.
func (p *part) need(now time.Duration) int64 {
	need := p.ledger.TotalWant()
	if p.limit.Rate > 0 {
		need += need / partExtra
	}
	if now >= p.baseAfter {
		need = max(need, p.base)
	}
	return min(p.limit.Units, need)
}

// goal returns how many units the part should have now: more at once when they
// are needed, fewer only after a while. The caller holds mu.
func (p *part) goal(now time.Duration) int64 {
	if p.winding {
		return 0
	}
	need := p.need(now)
	goal := need
	switch {
	case need >= p.ledger.Units/2:
		p.lowSince = 0
		goal = max(need, p.ledger.Units)
	case p.lowSince == 0:
		p.lowSince = max(now, 1)
		goal = p.ledger.Units
	case now-p.lowSince < p.idleTime():
		goal = p.ledger.Units
	}
	if now < p.ceilingUntil {
		goal = min(goal, p.ceiling)
	}
	return goal
}

// target returns how many units a holder should have of the part, within the
// part's goal. The caller holds mu.
func (p *part) target(now time.Duration, holder string) int64 {
	total := min(p.ledger.Units, p.goal(now))
	if p.limit.Rate <= 0 {
		return p.ledger.MaxMinAllocation(holder, total)
	}
	if wanted := p.ledger.TotalWant(); wanted < total+total/poolPart {
		total -= total / poolPart
	}
	target := p.ledger.ProportionalAllocation(holder, total)
	if target > 0 {
		// Fewer units than this could never save up a whole token.
		return max(target, p.limit.UnitsForTokens(wholeToken))
	}
	return target
}

// due tells whether the table has to be asked at now. The caller holds mu.
func (p *part) due(now time.Duration) bool {
	if p.dirty || p.recorded != p.ledger.Units || len(p.pending) > 0 {
		return true
	}
	goal := p.goal(now)
	if goal < p.ledger.Units {
		return p.ledger.Free.Units > 0
	}
	if goal <= p.ledger.Units {
		return false
	}
	return now >= p.emptyUntil || p.emptyBase && p.ledger.TotalWant() > p.ledger.Units
}

// idleTime is how long little need is waited out before the part shrinks. The
// caller holds mu.
func (p *part) idleTime() time.Duration {
	if p.base == 0 && p.ledger.TotalWant() == 0 {
		return strayIdle
	}
	return partIdle
}

// wake tells those who wait that units may have become free. The caller holds mu.
func (p *part) wake() {
	if p.grown != nil {
		close(p.grown)
		p.grown = nil
	}
}

// growth returns a channel that is closed when units may have become free. The
// caller holds mu.
func (p *part) growth() <-chan struct{} {
	if p.grown == nil {
		p.grown = make(chan struct{})
	}
	return p.grown
}
