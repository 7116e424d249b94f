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
	// recallEvery is how often one holder is asked to hand back at most.
	recallEvery = 100 * time.Millisecond
	// recallTimeout bounds the wait for a domain to hand back to the table.
	recallTimeout = 200 * time.Millisecond
	// recallFanOut is the most domains that are asked at once.
	recallFanOut = 3
	// ceilingTime is for how long a part that handed back takes no more.
	ceilingTime = 2 * time.Second
	// contestedStep is the part of its units that an allocator must have above
	// the asking one before it gives up units that it needs itself.
	contestedStep = 20
	// floorPart is the part of a limit that a failure domain keeps when others
	// need all of it.
	floorPart = 256
)

// recallHolders asks the holders of a part that have more than their target to
// hand back. The caller holds p.mu.
func (c *Controller) recallHolders(p *part, except string) {
	now := c.cfg.Clock()
	for _, e := range p.ledger.Entries {
		if e.Holder == except || e.Units <= p.target(now, e.Holder) || now-p.recalled[e.Holder] < recallEvery {
			continue
		}
		p.recalled[e.Holder] = now
		id, _ := parseMember(e.Holder)
		c.spawn(func(ctx context.Context) {
			_, _ = c.call(ctx, id, &peerv1.ShareRequest{Resource: p.resource, Recall: true})
		})
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
// allocator, as an allocator to the table. The answer tells how many units went
// back to the table.
func (c *Controller) handleRecall(ctx context.Context, r *peerv1.ShareRequest) *peerv1.ShareGrant {
	if a := c.account(r.GetResource()); a != nil {
		c.askSoon(a)
	}
	grant := &peerv1.ShareGrant{Sequence: r.GetSequence(), Granted: &peerv1.ShareAmount{}}
	p := c.part(r.GetResource())
	if p == nil || r.GetWant().GetUnits() <= r.GetHeld().GetUnits() {
		return grant
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	grant.Granted.Units = c.handBack(ctx, p, r.GetHeld().GetUnits(), r.GetWant().GetUnits())
	return grant
}

// handBack lowers the part in favour of another that holds and wants as given,
// and waits until the table has got some of it back.
func (c *Controller) handBack(ctx context.Context, p *part, held, want int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.cfg.Clock()
	p.tidy(now)
	before := p.recorded
	spare := p.spare(held, want)
	if spare <= 0 {
		return 0
	}
	p.ceiling, p.ceilingUntil = p.ledger.Units-spare, now+ceilingTime
	p.baseAfter = now + partIdle
	c.recallHolders(p, "")
	c.kick()
	for p.recorded >= before && ctx.Err() == nil {
		grown := p.growth()
		p.mu.Unlock()
		select {
		case <-grown:
			c.kick()
		case <-ctx.Done():
		}
		p.mu.Lock()
	}
	return max(0, before-p.recorded)
}

// spare returns how many units the part gives up for another one: what it does
// not need, or, when both need more than there is, half of the difference. The
// caller holds mu.
func (p *part) spare(held, want int64) int64 {
	units := p.ledger.Units
	missing := want - held
	floor := min(p.base, p.limit.Units/floorPart)
	if unneeded := units - max(floor, p.ledger.Wanted()); unneeded > 0 {
		return min(unneeded, missing)
	}
	difference := units - held
	if difference*contestedStep <= units {
		return 0
	}
	return min(difference/2, missing, units-min(units, floor))
}

// parseMember returns the instance and the incarnation of an entry's holder.
func parseMember(holder string) (id, incarnation string) {
	cut := strings.LastIndexByte(holder, '/')
	if cut < 0 {
		return holder, ""
	}
	return holder[:cut], holder[cut+1:]
}
