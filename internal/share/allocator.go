package share

import (
	"context"
	"errors"
	"fmt"
	"time"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

// freeUnitsTimeout is how long an allocator waits for units to become free before it
// grants fewer than requested.
const freeUnitsTimeout = 10 * time.Millisecond

// HandleShareRequest handles a share request of another instance, or of this one.
// The requester counts the lease of the grant from before it sent the request.
func (c *Controller) HandleShareRequest(ctx context.Context, from string, r *peerv1.ShareRequest) *peerv1.ShareGrant {
	if r.GetRecall() {
		return c.handleRecall(ctx, from, r)
	}
	alloc := c.allocation(r.GetResource())
	left := c.session.left(c.cfg.Clock())
	if alloc == nil || left == 0 {
		return &peerv1.ShareGrant{Sequence: r.GetSequence(), Unknown: r.GetHeld().GetUnits() > 0}
	}
	length := min(left, c.cfg.HoldingLease)
	request := c.escrowRequest(from, r, length)
	missingTokens := 0.0
	if !r.GetGive() {
		missingTokens = r.GetWant().GetTokens()
	}
	granted, err := c.processRequest(ctx, alloc, request, missingTokens)
	if err != nil {
		return &peerv1.ShareGrant{Sequence: r.GetSequence(), Unknown: errors.Is(err, escrow.ErrUnknownHolding)}
	}
	return &peerv1.ShareGrant{
		Granted:  &peerv1.ShareAmount{Units: granted.Units, Tokens: granted.Tokens},
		LeaseMs:  length.Milliseconds(),
		Sequence: r.GetSequence(),
	}
}

// escrowRequest converts a message to a request to the ledger.
func (c *Controller) escrowRequest(from string, r *peerv1.ShareRequest, length time.Duration) escrow.Request {
	request := escrow.Request{
		Holder:    fmt.Sprintf("%s/%d", from, r.GetIncarnation()),
		Sequence:  r.GetSequence(),
		Held:      r.GetHeld().GetUnits(),
		Want:      r.GetNeed(),
		ExpiredBy: c.cfg.Clock() + length + expiryMargin(length),
	}
	if r.GetGive() {
		request.Held = r.GetWant().GetUnits()
		request.Returned = r.GetHeld().GetTokens() - r.GetWant().GetTokens()
	}
	return request
}

// processRequest applies one holder's request to the allocation; missingTokens is
// how many tokens the holder is short of. It returns the units that the holder
// should have from now on and the tokens to add.
func (c *Controller) processRequest(ctx context.Context, alloc *allocation, r escrow.Request, missingTokens float64) (escrow.Amount, error) {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	now := c.cfg.Clock()
	alloc.advance(now)
	if err := alloc.ledger.Settle(alloc.limit, r); err != nil {
		return escrow.Amount{}, err
	}
	if !alloc.demandMissing() {
		// Demand that comes later is another shortage, which waits for no earlier one.
		alloc.demandShortage = shortage{}
	}
	alloc.notify()
	target := alloc.target(now, r.Holder)
	if target < r.Held {
		return escrow.Amount{Units: target}, nil
	}
	moved := alloc.ledger.Grant(alloc.limit, r.Holder, target-r.Held)
	moved.Tokens += alloc.ledger.TakeTokens(missingTokens - moved.Tokens)
	if alloc.due(now) {
		c.trigger()
	}
	if r.Held+moved.Units < r.Want && moved.Tokens < max(missingTokens, 1) {
		moved = moved.Plus(c.awaitFreeUnits(ctx, alloc, r, r.Want-r.Held-moved.Units))
	}
	return escrow.Amount{Units: r.Held + moved.Units, Tokens: moved.Tokens}, nil
}

// awaitFreeUnits waits up to freeUnitsTimeout for units to become free, in the domain
// or from the table, and grants the first that do. The caller holds alloc.mu, which is
// released while waiting.
func (c *Controller) awaitFreeUnits(ctx context.Context, alloc *allocation, r escrow.Request, missing int64) escrow.Amount {
	ctx, cancel := context.WithTimeout(ctx, freeUnitsTimeout)
	defer cancel()
	c.recallHolders(alloc, r.Holder, true)
	for {
		freedCh := alloc.freed()
		alloc.mu.Unlock()
		select {
		case <-freedCh:
		case <-ctx.Done():
		}
		alloc.mu.Lock()
		now := c.cfg.Clock()
		alloc.advance(now)
		entry := alloc.ledger.Entry(r.Holder)
		if entry.Sequence != r.Sequence || ctx.Err() != nil || c.session.left(now) == 0 {
			return escrow.Amount{}
		}
		wanted := min(missing, alloc.target(now, r.Holder)-entry.Units)
		if moved := alloc.ledger.Grant(alloc.limit, r.Holder, wanted); moved.Units > 0 {
			return moved
		}
	}
}

// allocation returns this instance's allocation of a limit, or nil if there is no
// such limit.
func (c *Controller) allocation(resource string) *allocation {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.allocations[resource]
}
