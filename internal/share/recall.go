package share

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

const (
	// recallInterval is the shortest interval between recalls to one holder: about
	// the interval at which a holder estimates its own demand, so that the next
	// recall finds what it no longer needs.
	recallInterval = 60 * time.Millisecond
	// recallTimeout bounds the wait for a domain to return units to the table.
	recallTimeout = 200 * time.Millisecond
	// maxRecalledDomains is the maximum number of domains that are recalled at once.
	maxRecalledDomains = 3
	// shortageDuration is how long after a recall a holder keeps nothing for demand
	// that has stopped.
	shortageDuration = 2 * time.Second
	// ceilingDuration bounds how long a recall lowers an allocation; the ceiling
	// ends earlier once the table has recorded the return.
	ceilingDuration = 250 * time.Millisecond
	// contestedDivisor sets when an allocator gives up units of a rate that it needs itself:
	// when its excess over its fair share is more than 1/contestedDivisor of its
	// units. Estimates of demand differ by as much; whole units need no tolerance.
	contestedDivisor = 3
	// minKeptDivisor sets what a failure domain keeps when others need all of a
	// limit: 1/minKeptDivisor of the limit, at most its base.
	minKeptDivisor = 256
)

// recallHolders asks holders to return units: those with more than their target,
// or, if all is set, every holder, which then reports its demand anew. The caller
// holds alloc.mu.
func (c *Controller) recallHolders(alloc *allocation, except string, all bool) {
	now := c.cfg.Clock()
	for _, e := range alloc.ledger.Entries {
		target := alloc.target(now, e.Holder)
		if e.Holder == except || !all && e.Units <= target || now-alloc.recalled[e.Holder] < recallInterval {
			continue
		}
		alloc.recalled[e.Holder] = now
		id, _ := parseMember(e.Holder)
		r := &peerv1.ShareRequest{
			Resource: alloc.resource, Recall: true, Want: &peerv1.ShareAmount{Units: min(target, e.Units)},
		}
		c.spawn(func(ctx context.Context) { _, _ = c.call(ctx, id, r) })
	}
}

// recallDomains asks the allocators with the most units beyond their demand to
// return to the table what they can spare. If any did, the table is asked again at
// once.
func (c *Controller) recallDomains(alloc *allocation, l escrow.Ledger, want, held int64) {
	own := c.session.holder()
	others := slices.DeleteFunc(slices.Clone(l.Entries), func(e escrow.Entry) bool {
		return e.Holder == own || e.Units == 0
	})
	slices.SortFunc(others, func(a, b escrow.Entry) int { return cmp.Compare(b.Units-b.Want, a.Units-a.Want) })
	for _, e := range others[:min(len(others), maxRecalledDomains)] {
		id, _ := parseHolder(e.Holder)
		c.spawn(func(ctx context.Context) {
			grant, err := c.call(ctx, id, &peerv1.ShareRequest{
				Resource: alloc.resource, Recall: true,
				Want: &peerv1.ShareAmount{Units: want}, Held: &peerv1.ShareAmount{Units: held},
			})
			if err == nil && grant.GetGranted().GetUnits() > 0 {
				alloc.resetBackoff()
				c.trigger()
			}
		})
	}
}

// resetBackoff makes the next step read the row and ask the table again.
func (alloc *allocation) resetBackoff() {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.demandShortage.retryAt, alloc.baseShortage.retryAt, alloc.stale = 0, 0, true
}

// handleRecall returns what this instance can spare: on a recall without Held, from
// its allocator, as a holder to that allocator; on one with Held, from another
// allocator, as an allocator to the table. The response states how many units were
// returned to the table.
func (c *Controller) handleRecall(ctx context.Context, from string, r *peerv1.ShareRequest) *peerv1.ShareGrant {
	grant := &peerv1.ShareGrant{Sequence: r.GetSequence(), Granted: &peerv1.ShareAmount{}}
	if r.GetHeld() == nil {
		if a := c.account(r.GetResource()); a != nil {
			a.recordShortage(c.cfg.Clock(), from, r.GetWant().GetUnits())
			c.startRenewal(a)
		}
		return grant
	}
	alloc := c.allocation(r.GetResource())
	if alloc == nil {
		return grant
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	grant.Granted.Units = c.returnUnits(ctx, alloc, r.GetHeld().GetUnits(), r.GetWant().GetUnits())
	return grant
}

// recordShortage records that others are short, and how many units the allocator
// leaves to the holding.
func (a *Account) recordShortage(now time.Duration, allocator string, units int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shortageUntil = now + shortageDuration
	if h := a.holding(allocator); h != nil {
		h.ceiling = units
	}
}

// returnUnits lowers the allocation in favour of another one that has held units
// and wants want, and waits until some units have been returned to the table. It
// returns their number.
func (c *Controller) returnUnits(ctx context.Context, alloc *allocation, held, want int64) int64 {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.advance(c.cfg.Clock())
	before := alloc.recorded
	for first := true; alloc.recorded >= before && ctx.Err() == nil; first = false {
		now := c.cfg.Clock()
		if spare := alloc.spare(held, want); spare > 0 {
			alloc.ceiling, alloc.ceilingUntil = alloc.ledger.Units-spare, now+ceilingDuration
			alloc.baseSuspendedUntil = now + allocationShrinkDelay
			c.trigger()
		}
		if first {
			c.recallHolders(alloc, "", true)
		}
		freedCh := alloc.freed()
		alloc.mu.Unlock()
		select {
		case <-freedCh:
		case <-ctx.Done():
		}
		alloc.mu.Lock()
	}
	return max(0, before-alloc.recorded)
}

// spare returns how many units the allocation gives up for another one: what it
// does not need or, when both need more than there is, what makes them equally
// short. The caller holds mu.
func (alloc *allocation) spare(held, want int64) int64 {
	units := alloc.ledger.Units
	missing := want - held
	minKept := min(alloc.base, alloc.limit.Units/minKeptDivisor)
	if unneeded := units - max(minKept, alloc.ledger.TotalWant()); unneeded > 0 {
		return min(unneeded, missing)
	}
	excess := alloc.excess(held, want)
	if alloc.limit.Rate > 0 && excess*contestedDivisor <= units {
		return 0
	}
	return min(excess, missing, units-min(units, minKept))
}

// excess returns by how many units the allocation is above its fair share of what
// it and the other one hold together: in proportion to the demand for a rate, half
// for whole units. The caller holds mu.
func (alloc *allocation) excess(held, want int64) int64 {
	units := alloc.ledger.Units
	if alloc.limit.Rate <= 0 {
		return (units - held) / 2
	}
	own := alloc.unitsDemanded()
	proportional := float64(units+held) * float64(own) / float64(own+want)
	return units - int64(proportional)
}

// parseMember returns the instance and the incarnation of a holder in an
// allocation's ledger.
func parseMember(holder string) (id, incarnation string) {
	cut := strings.LastIndexByte(holder, '/')
	if cut < 0 {
		return holder, ""
	}
	return holder[:cut], holder[cut+1:]
}
