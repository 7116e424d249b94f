package share

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

const (
	// surplusDivisor sets how far a holding of a rate must exceed the need before
	// the rest is returned: by more than 1/surplusDivisor of the holding.
	surplusDivisor = 4
	// callerRenewalInterval is the shortest interval between requests while callers
	// wait.
	callerRenewalInterval = 15 * time.Millisecond
	// initialBorrowBackoff and maxBorrowBackoff bound the delay between two rounds
	// of borrowing from other failure domains: a few round trips at first, and few
	// messages for an organisation that stays beyond its limit.
	initialBorrowBackoff = 20 * time.Millisecond
	maxBorrowBackoff     = 2 * time.Second
	// suspectTTL is how long an allocator that did not respond is skipped.
	suspectTTL = 3 * time.Second
)

// renewAccount requests from the current allocator of an account's limit what the
// demand calls for, and returns what other allocators granted before. Only one
// renewal of an account runs at a time.
func (c *Controller) renewAccount(ctx context.Context, a *Account) {
	now := c.cfg.Clock()
	want := a.updateDemand(now, c.minUnits(a.resource))
	allocator := c.allocatorOf(a.resource)
	err := c.requestUnits(ctx, a, allocator, want)
	if err != nil && ctx.Err() == nil {
		c.suspect(allocator)
		allocator = c.allocatorOf(a.resource)
		err = c.requestUnits(ctx, a, allocator, want)
	}
	lender := c.borrow(ctx, a)
	for _, other := range a.otherAllocators(allocator) {
		if c.suspected(other) || other == lender {
			continue
		}
		remaining := int64(0)
		if err != nil || !c.tableAvailable.Load() {
			// The current allocator could not get the units that would be returned
			// to the other one.
			remaining = a.remaining(want, other)
		}
		_ = c.requestUnits(ctx, a, other, remaining)
	}
	a.finishRenewal(c.cfg.Clock(), want, err, c.cfg.Random())
}

// borrow requests a few units with their tokens from the allocators of other
// failure domains, while callers wait and the own domain has no token. A later
// renewal returns them. It returns the allocator that supplied them, or an empty
// string.
func (c *Controller) borrow(ctx context.Context, a *Account) string {
	directory := c.directory.Load()
	others := slices.Clone(directory.domains[1:])
	if len(others) == 0 {
		return ""
	}
	if a.missingUnits(c.cfg.Clock()) == 0 || !a.mayBorrow(c.cfg.Clock()) {
		return ""
	}
	first := int(c.cfg.Random() * float64(len(others)))
	for n := range others {
		want := a.missingUnits(c.cfg.Clock())
		lender := directory.allocator(others[(first+n)%len(others)], a.resource)
		if lender == "" || c.suspected(lender) {
			continue
		}
		if err := c.requestUnits(ctx, a, lender, want); err == nil && a.hasEnoughTokens(c.cfg.Clock()) {
			a.scheduleBorrow(c.cfg.Clock(), true)
			return lender
		}
	}
	a.scheduleBorrow(c.cfg.Clock(), false)
	return ""
}

// mayBorrow reports whether other failure domains may be asked again.
func (a *Account) mayBorrow(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now >= a.nextBorrow
}

// scheduleBorrow sets when other failure domains may be asked again: soon if one
// supplied units, with increasing delay while none has any.
func (a *Account) scheduleBorrow(now time.Duration, supplied bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if supplied {
		a.borrowBackoff = 0
	}
	if a.demand.rising(now) {
		// Units may soon become free at the instances that demand has moved away from.
		a.borrowBackoff = 0
	}
	a.borrowBackoff = min(maxBorrowBackoff, max(initialBorrowBackoff, 2*a.borrowBackoff))
	a.nextBorrow = now + a.borrowBackoff
}

// missingUnits returns the number of units whose burst holds the tokens that
// callers wait for; 0 when there is a token or nobody waits.
func (a *Account) missingUnits(now time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit.Rate <= 0 || a.demand.missing == 0 || a.held(now).Tokens >= wholeToken {
		return 0
	}
	return min(a.limit.Units, a.limit.UnitsForTokens(wholeToken+a.demand.missing+a.demand.tokensAhead(now)))
}

// hasEnoughTokens reports whether there are tokens for the callers that wait and,
// while demand rises, for those that arrive before other failure domains can be
// asked again.
func (a *Account) hasEnoughTokens(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held(now).Tokens >= wholeToken+a.demand.tokensAhead(now)
}

// requestUnits sends one request to an allocator and applies its response.
func (c *Controller) requestUnits(ctx context.Context, a *Account, allocator string, want int64) error {
	sent := c.cfg.Clock()
	r := a.request(sent, allocator, want, c.sequence.Add(1))
	if r == nil {
		return nil
	}
	grant, err := c.call(ctx, allocator, r)
	if err != nil {
		a.requestFailed(allocator)
		return trace.Wrap(err)
	}
	a.applyGrant(c.cfg.Clock(), sent, allocator, r, grant)
	if grant.GetLeaseMs() <= 0 && !grant.GetUnknown() {
		return trace.LimitExceeded("share: instance %s cannot grant", allocator)
	}
	return nil
}

// call sends a share request to an instance, which may be this one.
func (c *Controller) call(ctx context.Context, id string, r *peerv1.ShareRequest) (*peerv1.ShareGrant, error) {
	r.Incarnation = c.cfg.Self.Incarnation
	if id == c.cfg.Self.ID {
		return c.HandleShareRequest(ctx, id, r), nil
	}
	member, ok := c.directory.Load().members[id]
	if !ok || c.cfg.Peers == nil {
		return nil, trace.NotFound("share: instance %s is not known", id)
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	c.messages.Add(1)
	response, err := c.cfg.Peers.Call(ctx, member.PeerAddress, &peerv1.Request{
		From: c.cfg.Self.ID, Kind: &peerv1.Request_ShareRequest{ShareRequest: r},
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	grant := response.GetShareGrant()
	if response.GetError() != "" || grant == nil {
		return nil, trace.Errorf("share: instance %s refused: %s", id, response.GetError())
	}
	return grant, nil
}

// updateDemand updates the demand estimate and returns how many units are wanted.
func (a *Account) updateDemand(now time.Duration, minimum int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	a.demand.update(now)
	a.unitsBeforeRenewal, a.tokensReceived = a.held(now).Units, false
	return a.want(now, minimum)
}

// want returns how many units the demand calls for, with at least minimum of whole
// units. The caller holds mu.
func (a *Account) want(now time.Duration, minimum int64) int64 {
	if a.limit.Rate <= 0 {
		want := a.demand.wantUnits(now, minimum)
		if !a.demand.reported {
			// Nobody has reported how many units are in use, so all may be.
			want = max(want, a.held(now).Units)
		}
		return min(a.limit.Units, want)
	}
	want := a.demand.wantRate(now, a.limit, now < a.shortageUntil)
	return min(a.limit.Units, want)
}

// otherAllocators lists the allocators of the holdings, without except and without
// those that no longer know their holding.
func (a *Account) otherAllocators(except string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []string
	for _, h := range a.holdings {
		if h.allocator != except && !h.orphaned {
			ids = append(ids, h.allocator)
		}
	}
	return ids
}

// remaining returns how many of the wanted units the other holdings do not cover.
func (a *Account) remaining(want int64, except string) int64 {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, h := range a.holdings {
		if h.allocator != except && h.lease.Valid(now) {
			want -= h.bucket.Amount(now).Units
		}
	}
	return max(0, want)
}

// request builds the next request to an allocator. Units to be returned leave the
// bucket here. It returns nil when there is neither a holding nor anything wanted.
func (a *Account) request(now time.Duration, allocator string, want int64, sequence uint64) *peerv1.ShareRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holding(allocator)
	if h == nil {
		if want == 0 {
			return nil
		}
		h = &holding{allocator: allocator, ceiling: -1}
		h.bucket.SetLimit(now, a.limit)
		a.holdings = append(a.holdings, h)
	}
	h.sequence, h.requestInFlight = sequence, true
	held := h.bucket.Amount(now)
	keep := a.keep(h, held.Units, want)
	r := &peerv1.ShareRequest{Resource: a.resource, Sequence: sequence, Held: shareAmount(held), Need: want}
	if keep < held.Units {
		returned := h.bucket.Split(now, held.Units-keep)
		r.Give = true
		r.Want = shareAmount(escrow.Amount{Units: keep, Tokens: held.Tokens - returned.Tokens})
		return r
	}
	r.Want = &peerv1.ShareAmount{Units: want, Tokens: a.demand.missingTokens(held, a.limit)}
	return r
}

// keep returns how many units of a holding to keep. The caller holds mu.
func (a *Account) keep(h *holding, held, want int64) int64 {
	keep := held
	if a.shouldReturnSurplus(held, want) {
		keep = want
	}
	if h.ceiling >= 0 {
		keep = min(keep, h.ceiling)
	}
	if a.limit.Rate > 0 || !a.demand.reported {
		return keep
	}
	return min(held, max(keep, a.demand.used-a.heldElsewhere(h)))
}

// shouldReturnSurplus reports whether what is held beyond the want is enough to be
// returned: any whole unit, but a rate only if it is worth a message. The caller holds
// mu.
func (a *Account) shouldReturnSurplus(held, want int64) bool {
	if a.limit.Rate <= 0 || want == 0 {
		return want < held
	}
	return want < held-held/surplusDivisor
}

// heldElsewhere returns the sum of the units of the other holdings. The caller
// holds mu.
func (a *Account) heldElsewhere(except *holding) int64 {
	now := a.clock()
	var sum int64
	for _, h := range a.holdings {
		if h != except && h.lease.Valid(now) {
			sum += h.bucket.Amount(now).Units
		}
	}
	return sum
}

// holding returns the holding from an allocator, or nil. The caller holds mu.
func (a *Account) holding(allocator string) *holding {
	i := slices.IndexFunc(a.holdings, func(h *holding) bool { return h.allocator == allocator && !h.orphaned })
	if i < 0 {
		return nil
	}
	return a.holdings[i]
}

// applyGrant applies an allocator's response to a request that was sent at the time
// sent.
func (a *Account) applyGrant(now, sent time.Duration, allocator string, r *peerv1.ShareRequest, g *peerv1.ShareGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holding(allocator)
	if h == nil || h.sequence != r.GetSequence() || g.GetSequence() != h.sequence {
		return
	}
	h.requestInFlight = false
	if g.GetUnknown() {
		h.orphaned = true
		return
	}
	length := time.Duration(g.GetLeaseMs()) * time.Millisecond
	if length <= 0 {
		return
	}
	h.lease = h.lease.Later(lease.StartingAt(sent, length))
	held := h.bucket.Amount(now).Units
	h.ceiling = -1
	granted := g.GetGranted().GetUnits()
	h.bucket.Absorb(now, escrow.Amount{Units: max(0, granted-held), Tokens: g.GetGranted().GetTokens()})
	if granted < held {
		h.ceiling = granted
	}
	if g.GetGranted().GetTokens() >= 1 {
		a.tokensReceived = true
	}
	a.notify()
}

// requestFailed records that a request got no response.
func (a *Account) requestFailed(allocator string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.holding(allocator); h != nil {
		h.requestInFlight = false
	}
}

// finishRenewal ends a renewal: it sets the time of the next one, and the time
// until which unmet demand causes no further request.
func (a *Account) finishRenewal(now time.Duration, want int64, err error, random float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renewing = false
	a.nextRenewal = now + renewalInterval + time.Duration(random*float64(renewalInterval))
	a.expire(now)
	a.dropEmpty(now, want)
	held := a.held(now).Units
	switch {
	case err == nil && (held >= want || held > a.unitsBeforeRenewal || a.tokensReceived || a.demand.missing == 0):
		a.unsuccessful, a.backoffUntil = 0, now+callerRenewalInterval
	case a.demand.rising(now):
		// The instances that demand has moved away from take some time to notice;
		// callers wait for that.
		a.unsuccessful = min(a.unsuccessful+1, maxUnsuccessfulRequests-1)
		a.backoffUntil = now + backoff(1, maxBackoff, random)
	default:
		a.unsuccessful++
		a.backoffUntil = now + backoff(a.unsuccessful, maxBackoff, random)
	}
	a.demand.missing = 0
	a.notify()
}

// dropEmpty removes holdings without units when nothing is wanted. The caller holds
// mu.
func (a *Account) dropEmpty(now time.Duration, want int64) {
	a.holdings = slices.DeleteFunc(a.holdings, func(h *holding) bool {
		return want == 0 && h.bucket.Amount(now).Units == 0
	})
}

func shareAmount(a escrow.Amount) *peerv1.ShareAmount {
	return &peerv1.ShareAmount{Units: a.Units, Tokens: a.Tokens}
}
