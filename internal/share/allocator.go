package share

import (
	"context"
	"errors"
	"fmt"
	"time"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

// gatherTimeout is how long an allocator waits for units to become free before
// it answers with fewer than asked for.
const gatherTimeout = 10 * time.Millisecond

// HandleShareRequest answers a request of another instance, or of this one. The
// answer's lease counts from before the request was sent.
func (c *Controller) HandleShareRequest(ctx context.Context, from string, r *peerv1.ShareRequest) *peerv1.ShareGrant {
	if r.GetRecall() {
		return c.handleRecall(ctx, from, r)
	}
	p := c.part(r.GetResource())
	left := c.session.left(c.cfg.Clock())
	if p == nil || left == 0 {
		return &peerv1.ShareGrant{Sequence: r.GetSequence(), Unknown: r.GetHeld().GetUnits() > 0}
	}
	length := min(left, c.cfg.HoldingLease)
	request := c.escrowRequest(from, r, length)
	short := 0.0
	if !r.GetGive() {
		short = r.GetWant().GetTokens()
	}
	granted, err := c.settle(ctx, p, request, short)
	if err != nil {
		return &peerv1.ShareGrant{Sequence: r.GetSequence(), Unknown: errors.Is(err, escrow.ErrUnknownHolding)}
	}
	return &peerv1.ShareGrant{
		Granted:  &peerv1.ShareAmount{Units: granted.Units, Tokens: granted.Tokens},
		LeaseMs:  length.Milliseconds(),
		Sequence: r.GetSequence(),
	}
}

// escrowRequest turns a message into an operation on the ledger.
func (c *Controller) escrowRequest(from string, r *peerv1.ShareRequest, length time.Duration) escrow.Request {
	request := escrow.Request{
		Holder:    fmt.Sprintf("%s/%d", from, r.GetIncarnation()),
		Sequence:  r.GetSequence(),
		Held:      r.GetHeld().GetUnits(),
		Want:      r.GetNeed(),
		ExpiredBy: c.cfg.Clock() + length + margin(length),
	}
	if r.GetGive() {
		request.Held = r.GetWant().GetUnits()
		request.Returned = r.GetHeld().GetTokens() - r.GetWant().GetTokens()
	}
	return request
}

// settle carries out one request of a holder that is short of tokens. It returns
// the units that the holder should have from now on and the tokens to add.
func (c *Controller) settle(ctx context.Context, p *part, r escrow.Request, short float64) (escrow.Amount, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.cfg.Clock()
	p.tidy(now)
	if err := p.ledger.Settle(p.limit, r); err != nil {
		return escrow.Amount{}, err
	}
	p.wake()
	target := p.target(now, r.Holder)
	if target < r.Held {
		return escrow.Amount{Units: target}, nil
	}
	moved := p.ledger.Grant(p.limit, r.Holder, target-r.Held)
	moved.Tokens += p.ledger.TakeTokens(short - moved.Tokens)
	if p.due(now) {
		c.kick()
	}
	if r.Held+moved.Units < r.Want && moved.Tokens < max(short, 1) {
		moved = moved.Plus(c.gather(ctx, p, r, r.Want-r.Held-moved.Units))
	}
	return escrow.Amount{Units: r.Held + moved.Units, Tokens: moved.Tokens}, nil
}

// gather waits a short time for units to become free, in the domain or from the
// table, and takes the first that do. The caller holds p.mu, which is given up
// while waiting.
func (c *Controller) gather(ctx context.Context, p *part, r escrow.Request, missing int64) escrow.Amount {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	c.recallHolders(p, r.Holder, true)
	for {
		grown := p.growth()
		p.mu.Unlock()
		select {
		case <-grown:
		case <-ctx.Done():
		}
		p.mu.Lock()
		now := c.cfg.Clock()
		p.tidy(now)
		entry := p.ledger.Entry(r.Holder)
		if entry.Sequence != r.Sequence || ctx.Err() != nil || c.session.left(now) == 0 {
			return escrow.Amount{}
		}
		wanted := min(missing, p.target(now, r.Holder)-entry.Units)
		if moved := p.ledger.Grant(p.limit, r.Holder, wanted); moved.Units > 0 {
			return moved
		}
	}
}

// part returns what this instance leased of a limit, or nil when there is no
// such limit.
func (c *Controller) part(resource string) *part {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.parts[resource]
}
