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
	// recallInterval is how often one holder is asked to hand back at most: about as
	// often as a holder looks at its own demand, so that what it no longer needs is
	// found at the next look.
	recallInterval = 60 * time.Millisecond
	// recallTimeout bounds the wait for a domain to hand back to the table.
	recallTimeout = 200 * time.Millisecond
	// maxRecalledDomains is the most domains that are asked at once.
	maxRecalledDomains = 3
	// shortageDuration is for how long a recall makes only the latest demand count.
	shortageDuration = 2 * time.Second
	// ceilingDuration is for how long a part that handed back takes no more.
	ceilingDuration = 250 * time.Millisecond
	// contestedDivisor is the part of its units that an allocator must have above
	// the asking one before it gives up units that it needs itself.
	contestedDivisor = 4
	// minKeptDivisor is the part of a limit that a failure domain keeps when others
	// need all of it.
	minKeptDivisor = 256
)

// recallHolders asks the holders of a part that have more than their target to
// hand back, and all that are in the way of others to tell their demand anew. The
// caller holds alloc.mu.
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

// recallDomains asks the allocators that hold most beyond their demand to hand
// back to the table what they can spare, and has the table asked again if any did.
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

// resetBackoff lets the table be asked again at once.
func (alloc *allocation) resetBackoff() {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.backoffUntil, alloc.stale = 0, true
}

// handleRecall hands back what this instance can spare: as a holder to its
// allocator, which asks without naming what it holds itself, or as an allocator
// to the table. The answer tells how many units went back to the table.
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

// recordShortage notes that others are short, and what the allocator leaves to the holding.
func (a *Account) recordShortage(now time.Duration, allocator string, units int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shortageUntil = now + shortageDuration
	if h := a.holding(allocator); h != nil {
		h.ceiling = units
	}
}

// returnUnits lowers the part in favour of another that holds and wants as given,
// and waits until the table has got some of it back.
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

// spare returns how many units the part gives up for another one: what it does
// not need, or, when both need more than there is, what makes them equally
// short. The caller holds mu.
func (alloc *allocation) spare(held, want int64) int64 {
	units := alloc.ledger.Units
	missing := want - held
	minKept := min(alloc.base, alloc.limit.Units/minKeptDivisor)
	if unneeded := units - max(minKept, alloc.ledger.Wanted()); unneeded > 0 {
		return min(unneeded, missing)
	}
	excess := alloc.excess(held, want)
	if excess*contestedDivisor <= units {
		return 0
	}
	return min(excess, missing, units-min(units, minKept))
}

// excess returns by how many units the part is above its portion of what it and
// the other hold together: in proportion to the demand for a rate, half of it for
// whole things. The caller holds mu.
func (alloc *allocation) excess(held, want int64) int64 {
	units := alloc.ledger.Units
	if alloc.limit.Rate <= 0 {
		return (units - held) / 2
	}
	own := alloc.unitsDemanded()
	portion := float64(units+held) * float64(own) / float64(own+want)
	return units - int64(portion)
}

// parseMember returns the instance and the incarnation of an entry's holder.
func parseMember(holder string) (id, incarnation string) {
	cut := strings.LastIndexByte(holder, '/')
	if cut < 0 {
		return holder, ""
	}
	return holder[:cut], holder[cut+1:]
}
