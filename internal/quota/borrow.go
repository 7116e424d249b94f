package quota

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// requestTimeout bounds a request to another instance: several round trips
	// between failure domains.
	requestTimeout = 100 * time.Millisecond
	// minHedgeDelay and maxHedgeDelay bound the time without a response after which the
	// next instance is also asked, hedgeRoundTrips usual round trips: small fractions of
	// the time that operations wait.
	minHedgeDelay   = 5 * time.Millisecond
	maxHedgeDelay   = 20 * time.Millisecond
	hedgeRoundTrips = 2
	// settleDelay is the time for which the end of a round waits for the responses that
	// are still missing while there are too few tokens.
	settleDelay = 10 * time.Millisecond
	// maxRequestsPerRound bounds the requests of one round in a large fleet. Requests
	// to unresponsive instances do not count.
	maxRequestsPerRound = 12
	// maxProbes bounds the instances of other failure domains that are probed at
	// once: one of them may have failed, but several are unlikely to have.
	maxProbes = 6
)

// Isolated reports whether most other instances do not respond to this one, so that
// callers are better served elsewhere.
func (a *Admission) Isolated() bool { return a.lenders.isolated(a.cfg.Clock()) }

// DomainCutOff reports whether this instance gets no responses from other failure
// domains.
func (a *Admission) DomainCutOff() bool { return a.lenders.domainCutOff(a.cfg.Clock()) }

// Unresponsive returns a channel that receives a value when an instance has not responded:
// DomainCutOff changes only then, and with time.
func (a *Admission) Unresponsive() <-chan struct{} { return a.unresponsive }

// ProbeOtherDomains sends empty token requests to some instances of other failure
// domains, so that DomainCutOff has recent responses even while no tokens are needed.
func (a *Admission) ProbeOtherDomains(ctx context.Context) {
	others := slices.DeleteFunc(sameDomainFirst(a.cfg.Peers()), func(p Peer) bool { return p.SameDomain })
	var pending sync.WaitGroup
	for _, p := range others[:min(len(others), maxProbes)] {
		pending.Go(func() { a.requestTokens(ctx, p, nil) })
	}
	pending.Wait()
}

// Run borrows tokens from other instances whenever operations wait for them, until
// ctx ends.
func (a *Admission) Run(ctx context.Context) error {
	for {
		var retry <-chan time.Time
		if retryDelay := a.borrow(ctx); retryDelay > 0 {
			retry = time.After(retryDelay)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-a.borrowTrigger:
		case <-retry:
		}
	}
}

// borrow runs one round: it requests tokens from one instance after another until no
// organisation outside backoff is short of tokens. It returns the time until the next
// round, or 0 if none is needed before the next trigger.
func (a *Admission) borrow(ctx context.Context) time.Duration {
	began := a.cfg.Clock()
	requested := a.cfg.Ledger.Shortfalls(began)
	retryDelay := a.lenders.skipBackedOff(requested, began)
	if len(requested) == 0 {
		return retryDelay
	}
	complete := a.askHolders(ctx)
	now := a.cfg.Clock()
	unmet := a.cfg.Ledger.Shortfalls(now)
	a.lenders.recordRound(requested, unmet, complete, now)
	a.cfg.Ledger.recordShort(unmet, now)
	a.roundEnded.Set(struct{}{})
	return a.lenders.skipBackedOff(unmet, now)
}

// askHolders requests tokens from one instance after another for all organisations that are
// short of them, also for those that become so meanwhile. It reports whether all that it
// had to ask have responded.
func (a *Admission) askHolders(ctx context.Context) bool {
	var pending []<-chan struct{}
	requests := 0
	for _, p := range sameDomainFirst(a.cfg.Peers()) {
		now := a.cfg.Clock()
		wants := a.cfg.Ledger.Shortfalls(now)
		a.lenders.skipBackedOff(wants, now)
		maps.DeleteFunc(wants, func(organisation string, _ Want) bool {
			return !a.cfg.Ledger.IsHolder(organisation, p.Name)
		})
		unresponsive, inBackoff := a.lenders.unresponsive(p.Name, now)
		if len(wants) == 0 || inBackoff {
			continue
		}
		if ctx.Err() != nil || requests == maxRequestsPerRound {
			return false
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.requestTokens(ctx, p, wants)
		}()
		if unresponsive {
			continue // does not delay the round again
		}
		requests++
		if !waitDone(done, a.lenders.hedgeDelay(p, now)) {
			pending = append(pending, done)
		}
	}
	return len(a.cfg.Ledger.Shortfalls(a.cfg.Clock())) == 0 || waitAll(pending, settleDelay)
}

// requestTokens requests tokens from an instance and credits those that it lends.
func (a *Admission) requestTokens(ctx context.Context, p Peer, wants map[string]Want) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	requestedAt := a.cfg.Clock()
	lent, err := a.cfg.RequestTokens(ctx, p, wants)
	a.lenders.recordResponse(p, err == nil, requestedAt, a.cfg.Clock())
	if err != nil {
		select {
		case a.unresponsive <- struct{}{}:
		default:
		}
		a.cfg.Log.Debug("token request to an instance failed", zap.String("member", p.Name), zap.Error(err))
		return
	}
	if len(lent) > 0 {
		a.cfg.Ledger.Credit(lent, a.cfg.Clock())
	}
}

// waitDone waits up to d for done to be closed, and reports whether it is.
func waitDone(done <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// waitAll waits up to d for all channels to be closed, and reports whether they are.
func waitAll(pending []<-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for _, done := range pending {
		select {
		case <-done:
		case <-timer.C:
			return !slices.ContainsFunc(pending, func(done <-chan struct{}) bool { return !isClosed(done) })
		}
	}
	return true
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// sameDomainFirst returns the instances in the order of one round: shuffled, so that
// none is always first, with those of the same failure domain before the others.
func sameDomainFirst(peers []Peer) []Peer {
	ordered := slices.Clone(peers)
	rand.Shuffle(len(ordered), func(i, j int) { ordered[i], ordered[j] = ordered[j], ordered[i] })
	slices.SortStableFunc(ordered, func(a, b Peer) int {
		switch {
		case a.SameDomain == b.SameDomain:
			return 0
		case a.SameDomain:
			return -1
		default:
			return 1
		}
	})
	return ordered
}
