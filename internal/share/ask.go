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
	// slack is by how much of it a holding must exceed the need before the rest
	// is handed back.
	slack = 4
	// askPause is the shortest time between requests for which callers wait.
	askPause = 15 * time.Millisecond
	// borrowLeast and borrowMost bound the pause between two times that other
	// failure domains are asked to help out: a few round trips, and few messages for
	// an organisation that stays beyond its limit.
	borrowLeast = 20 * time.Millisecond
	borrowMost  = 2 * time.Second
	// suspectTime is for how long an allocator that did not answer is passed over.
	suspectTime = 3 * time.Second
)

// renew asks the allocator in charge of an account's limit for what the demand
// calls for, and hands back what other allocators granted before. Only one renew
// of an account runs at a time.
func (c *Controller) renew(ctx context.Context, a *Account) {
	now := c.cfg.Clock()
	want := a.prepare(now, c.leastUnits(a.resource))
	primary := c.allocatorOf(a.resource)
	err := c.ask(ctx, a, primary, want)
	if err != nil && ctx.Err() == nil {
		c.suspect(primary)
		primary = c.allocatorOf(a.resource)
		err = c.ask(ctx, a, primary, want)
	}
	borrowed := c.borrow(ctx, a)
	for _, other := range a.others(primary) {
		if c.suspected(other) || other == borrowed {
			continue
		}
		rest := int64(0)
		if err != nil || !c.tableAnswers.Load() {
			// The allocator in charge could not get what the other one gave back.
			rest = a.rest(want, other)
		}
		_ = c.ask(ctx, a, other, rest)
	}
	a.conclude(c.cfg.Clock(), want, err, c.cfg.Random())
}

// borrow asks the allocators of other failure domains for a few units with their
// tokens, while callers wait and the own domain has no token. They go back at a
// later renewal. It returns the allocator that helped, or an empty string.
func (c *Controller) borrow(ctx context.Context, a *Account) string {
	directory := c.directory.Load()
	others := slices.Clone(directory.domains[1:])
	if len(others) == 0 {
		return ""
	}
	if a.lacking(c.cfg.Clock()) == 0 || !a.mayBorrow(c.cfg.Clock()) {
		return ""
	}
	first := int(c.cfg.Random() * float64(len(others)))
	for n := range others {
		want := a.lacking(c.cfg.Clock())
		lender := directory.allocator(others[(first+n)%len(others)], a.resource)
		if lender == "" || c.suspected(lender) {
			continue
		}
		if err := c.ask(ctx, a, lender, want); err == nil && a.provided(c.cfg.Clock()) {
			a.borrowed(c.cfg.Clock(), true)
			return lender
		}
	}
	a.borrowed(c.cfg.Clock(), false)
	return ""
}

// mayBorrow tells whether it is time to ask other failure domains again.
func (a *Account) mayBorrow(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now >= a.borrowAfter
}

// borrowed sets when other failure domains may be asked again: soon when one
// helped, ever later while none has anything.
func (a *Account) borrowed(now time.Duration, helped bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if helped {
		a.borrowPause = 0
	}
	if a.demand.rising(now) {
		// What is wanted may be about to come back from where demand has left.
		a.borrowPause = 0
	}
	a.borrowPause = min(borrowMost, max(borrowLeast, 2*a.borrowPause))
	a.borrowAfter = now + a.borrowPause
}

// lacking returns the units whose burst holds the tokens that callers wait for;
// 0 when there is a token or nobody waits.
func (a *Account) lacking(now time.Duration) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit.Rate <= 0 || a.demand.missing == 0 || a.held(now).Tokens >= wholeToken {
		return 0
	}
	return min(a.limit.Units, a.limit.UnitsForTokens(wholeToken+a.demand.missing+a.demand.ahead(now)))
}

// provided tells whether there are tokens for those who wait and, while demand rises, for
// those who come before others can be asked again.
func (a *Account) provided(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held(now).Tokens >= wholeToken+a.demand.ahead(now)
}

// ask carries out one exchange with an allocator.
func (c *Controller) ask(ctx context.Context, a *Account, allocator string, want int64) error {
	sent := c.cfg.Clock()
	r := a.request(sent, allocator, want, c.sequence.Add(1))
	if r == nil {
		return nil
	}
	grant, err := c.call(ctx, allocator, r)
	if err != nil {
		a.unanswered(allocator)
		return trace.Wrap(err)
	}
	a.settle(c.cfg.Clock(), sent, allocator, r, grant)
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

// prepare brings the demand up to now and returns how many units are wanted.
func (a *Account) prepare(now time.Duration, least int64) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	a.demand.update(now)
	a.heldBefore = a.held(now).Units
	return a.want(now, least)
}

// want returns how many units the demand calls for. The caller holds mu.
func (a *Account) want(now time.Duration, least int64) int64 {
	if a.limit.Rate <= 0 {
		want := a.demand.wantUnits(now, least)
		if !a.demand.reported {
			// Nobody tells what is in use, so all of it may be.
			want = max(want, a.held(now).Units)
		}
		return min(a.limit.Units, want)
	}
	want := a.demand.wantRate(now, a.limit, now < a.pressedUntil)
	return min(a.limit.Units, want)
}

// others lists the allocators besides the one in charge that granted something.
func (a *Account) others(primary string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []string
	for _, h := range a.holdings {
		if h.allocator != primary && !h.orphaned {
			ids = append(ids, h.allocator)
		}
	}
	return ids
}

// rest returns how much of the want the other holdings leave open.
func (a *Account) rest(want int64, except string) int64 {
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

// request makes the next request to an allocator. What is handed back leaves the
// bucket here. It returns nil when there is nothing to hold and nothing to ask.
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
	h.sequence, h.asking = sequence, true
	held := h.bucket.Amount(now)
	keep := a.keep(h, held.Units, want)
	r := &peerv1.ShareRequest{Resource: a.resource, Sequence: sequence, Held: message(held), Need: want}
	if keep < held.Units {
		returned := h.bucket.Split(now, held.Units-keep)
		r.Give = true
		r.Want = message(escrow.Amount{Units: keep, Tokens: held.Tokens - returned.Tokens})
		return r
	}
	r.Want = &peerv1.ShareAmount{Units: want, Tokens: a.demand.short(held, a.limit)}
	return r
}

// keep decides how much of a holding is kept. The caller holds mu.
func (a *Account) keep(h *holding, held, want int64) int64 {
	keep := held
	if a.excess(held, want) {
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

// excess tells whether so much more is held than wanted that it is handed back:
// any whole unit, but a rate only when it is worth a message. The caller holds mu.
func (a *Account) excess(held, want int64) bool {
	if a.limit.Rate <= 0 || want == 0 {
		return want < held
	}
	return want < held-held/slack
}

// heldElsewhere sums the units of the other holdings. The caller holds mu.
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

// holding returns what an allocator granted. The caller holds mu.
func (a *Account) holding(allocator string) *holding {
	i := slices.IndexFunc(a.holdings, func(h *holding) bool { return h.allocator == allocator && !h.orphaned })
	if i < 0 {
		return nil
	}
	return a.holdings[i]
}

// settle takes over an allocator's answer to a request that was sent at sent.
func (a *Account) settle(now, sent time.Duration, allocator string, r *peerv1.ShareRequest, g *peerv1.ShareGrant) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holding(allocator)
	if h == nil || h.sequence != r.GetSequence() || g.GetSequence() != h.sequence {
		return
	}
	h.asking = false
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
	a.topped = g.GetGranted().GetTokens() >= 1
	a.notify()
}

// unanswered notes that a request got no answer.
func (a *Account) unanswered(allocator string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h := a.holding(allocator); h != nil {
		h.asking = false
	}
}

// conclude ends a renewal: it sets when to ask next, and for how long requests
// that find too little are refused at once.
func (a *Account) conclude(now time.Duration, want int64, err error, random float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asking = false
	a.nextAsk = now + askEvery + time.Duration(random*float64(askEvery))
	a.expire(now)
	a.dropEmpty(now, want)
	held := a.held(now).Units
	switch {
	case err == nil && (held >= want || held > a.heldBefore || a.topped || a.demand.missing == 0):
		a.emptyCount, a.emptyUntil = 0, now+askPause
	case a.demand.rising(now):
		// Where demand has left, it takes some time to notice: callers wait for that.
		a.emptyCount = min(a.emptyCount+1, emptyLast-1)
		a.emptyUntil = now + backoff(1, backoffLast, random)
	default:
		a.emptyCount++
		a.emptyUntil = now + backoff(a.emptyCount, backoffLast, random)
	}
	a.demand.missing = 0
	a.notify()
}

// dropEmpty forgets holdings without units that nothing is wanted from. The
// caller holds mu.
func (a *Account) dropEmpty(now time.Duration, want int64) {
	a.holdings = slices.DeleteFunc(a.holdings, func(h *holding) bool {
		return want == 0 && h.bucket.Amount(now).Units == 0
	})
}

func message(a escrow.Amount) *peerv1.ShareAmount {
	return &peerv1.ShareAmount{Units: a.Units, Tokens: a.Tokens}
}
