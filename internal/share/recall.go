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
	// recallEvery is how often one holder is asked to hand back at most: about as
	// often as a holder looks at its own demand, so that what it no longer needs is
	// found at the next look.
	recallEvery = 60 * time.Millisecond
	// recallTimeout bounds the wait for a domain to hand back to the table.
	recallTimeout = 200 * time.Millisecond
	// recallFanOut is the most domains that are asked at once.
	recallFanOut = 3
	// pressTime is for how long a recall makes only the latest demand count.
	pressTime = 2 * time.Second
	// ceilingTime is for how long a part that handed back takes no more.
	ceilingTime = 250 * time.Millisecond
	// contestedStep is the part of its units that an allocator must have above
	// the asking one before it gives up units that it needs itself.
	contestedStep = 4
	// floorPart is the part of a limit that a failure domain keeps when others
	// need all of it.
	floorPart = 256
)

// recallHolders asks the holders of a part that have more than their target to
// hand back, and all that are in the way of others to tell their demand anew. The
// caller holds p.mu.
func (c *Controller) recallHolders(p *part, except string, all bool) {
	now := c.cfg.Clock()
	for _, e := range p.ledger.Entries {
		target := p.target(now, e.Holder)
		if e.Holder == except || !all && e.Units <= target || now-p.recalled[e.Holder] < recallEvery {
			continue
		}
		p.recalled[e.Holder] = now
		id, _ := parseMember(e.Holder)
		r := &peerv1.ShareRequest{
			Resource: p.resource, Recall: true, Want: &peerv1.ShareAmount{Units: min(target, e.Units)},
		}
		c.spawn(func(ctx context.Context) { _, _ = c.call(ctx, id, r) })
	}
}

// recallDomains asks the allocators that hold most beyond their demand to hand
// back to the table what they can spare, and has the table asked again if any did.
func (c *Controller) recallDomains(p *part, l escrow.Ledger, want, held int64) {
	own := c.session.holder()
	others := slices.DeleteFunc(slices.Clone(l.Entries), func(e escrow.Entry) bool {
		return e.Holder == own || e.Units == 0
	})
	slices.SortFunc(others, func(a, b escrow.Entry) int { return cmp.Compare(b.Units-b.Want, a.Units-a.Want) })
	for _, e := range others[:min(len(others), recallFanOut)] {
		id, _ := parseHolder(e.Holder)
		c.spawn(func(ctx context.Context) {
			grant, err := c.call(ctx, id, &peerv1.ShareRequest{
				Resource: p.resource, Recall: true,
				Want: &peerv1.ShareAmount{Units: want}, Held: &peerv1.ShareAmount{Units: held},
			})
			if err == nil && grant.GetGranted().GetUnits() > 0 {
				p.retry()
				c.kick()
			}
		})
	}
}

// retry lets the table be asked again at once.
func (p *part) retry() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.emptyUntil, p.stale = 0, true
}

// handleRecall hands back what this instance can spare: as a holder to its
// allocator, which asks without naming what it holds itself, or as an allocator
// to the table. The answer tells how many units went back to the table.
func (c *Controller) handleRecall(ctx context.Context, from string, r *peerv1.ShareRequest) *peerv1.ShareGrant {
	grant := &peerv1.ShareGrant{Sequence: r.GetSequence(), Granted: &peerv1.ShareAmount{}}
	if r.GetHeld() == nil {
		if a := c.account(r.GetResource()); a != nil {
			a.press(c.cfg.Clock(), from, r.GetWant().GetUnits())
			c.askSoon(a)
		}
		return grant
	}
	p := c.part(r.GetResource())
	if p == nil {
		return grant
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	grant.Granted.Units = c.handBack(ctx, p, r.GetHeld().GetUnits(), r.GetWant().GetUnits())
	return grant
}

// press notes that others are short, and what the allocator leaves to the holding.
func (a *Account) press(now time.Duration, allocator string, units int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pressedUntil = now + pressTime
	if h := a.holding(allocator); h != nil {
		h.ceiling = units
	}
}

// handBack lowers the part in favour of another that holds and wants as given,
// and waits until the table has got some of it back.
func (c *Controller) handBack(ctx context.Context, p *part, held, want int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tidy(c.cfg.Clock())
	before := p.recorded
	for first := true; p.recorded >= before && ctx.Err() == nil; first = false {
		now := c.cfg.Clock()
		if spare := p.spare(held, want); spare > 0 {
			p.ceiling, p.ceilingUntil = p.ledger.Units-spare, now+ceilingTime
			p.baseAfter = now + partIdle
			c.kick()
		}
		if first {
			c.recallHolders(p, "", true)
		}
		grown := p.growth()
		p.mu.Unlock()
		select {
		case <-grown:
		case <-ctx.Done():
		}
		p.mu.Lock()
	}
	return max(0, before-p.recorded)
}

// spare returns how many units the part gives up for another one: what it does
// not need, or, when both need more than there is, what makes them equally
// short. The caller holds mu.
func (p *part) spare(held, want int64) int64 {
	units := p.ledger.Units
	missing := want - held
	floor := min(p.base, p.limit.Units/floorPart)
	if unneeded := units - max(floor, p.ledger.TotalWant()); unneeded > 0 {
		return min(unneeded, missing)
	}
	excess := p.excess(held, want)
	if excess*contestedStep <= units {
		return 0
	}
	return min(excess, missing, units-min(units, floor))
}

// excess returns by how many units the part is above its portion of what it and
// the other hold together: in proportion to the demand for a rate, half of it for
// whole things. The caller holds mu.
func (p *part) excess(held, want int64) int64 {
	units := p.ledger.Units
	if p.limit.Rate <= 0 {
		return (units - held) / 2
	}
	own := p.demanded()
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
