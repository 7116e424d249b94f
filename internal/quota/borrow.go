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
	// requestTimeout bounds a question to another instance: several round trips
	// between failure domains.
	requestTimeout = 100 * time.Millisecond
	// hedgeDelay is after how long without an answer the next instance is asked as well:
	// two slow round trips between failure domains, and a small part of the time
	// that operations wait.
	hedgeDelay = 5 * time.Millisecond
	// maxRequestsPerRound bounds the instances asked in one round of a large fleet.
	maxRequestsPerRound = 12
	// initialBackoff and longestPause space the rounds for an organisation for which
	// nobody had tokens to spare, doubling in between: one beyond its limit must not
	// make instances ask without end.
	initialBackoff = 40 * time.Millisecond
	maxBackoff     = 640 * time.Millisecond
	// unresponsiveBackoff is how long an instance that did not answer is passed over.
	unresponsiveBackoff = time.Second
	// minUnresponsive is how many silent instances make this one isolated at least: fewer
	// may have died.
	minUnresponsive = 3
	// maxProbes is how many instances of other failure domains are asked at once whether
	// they answer: one of them may have died, several hardly.
	maxProbes = 6
)

// lenders is what is known of the other instances as givers of tokens, and of the
// organisations for which none had any.
type lenders struct {
	mu sync.Mutex
	// status are the instances that were asked; guarded by mu.
	status map[string]lenderStatus
	// backoffs are those of organisations; guarded by mu.
	backoffs map[string]backoff
}

// lenderStatus is what is known of one instance.
type lenderStatus struct {
	sameDomain   bool
	requestedAt  time.Duration
	unresponsive bool
	// backoffUntil is until when a silent one is passed over.
	backoffUntil time.Duration
}

// backoff is the time until the next round for an organisation.
type backoff struct {
	until, delay time.Duration
}

func newLenders() lenders {
	return lenders{status: make(map[string]lenderStatus), backoffs: make(map[string]backoff)}
}

// unresponsive tells whether an instance did not answer when it was last asked, and whether
// it is too early to ask it again.
func (l *lenders) unresponsive(name string, now time.Duration) (unresponsive, inBackoff bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := l.status[name]
	return status.unresponsive, now < status.backoffUntil
}

// recordResponse notes whether an instance has answered.
func (l *lenders) recordResponse(p Peer, ok bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := lenderStatus{sameDomain: p.SameDomain, requestedAt: now, unresponsive: !ok}
	if !ok {
		status.backoffUntil = now + unresponsiveBackoff
	}
	l.status[p.Name] = status
}

// isolated tells whether most of the instances that were asked lately were silent.
func (l *lenders) isolated(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	requested, unresponsive := 0, 0
	for _, status := range l.status {
		if now-status.requestedAt > 2*unresponsiveBackoff {
			continue
		}
		requested++
		if status.unresponsive {
			unresponsive++
		}
	}
	return unresponsive >= minUnresponsive && 2*unresponsive > requested
}

// domainCutOff tells whether of the instances of other failure domains that were asked lately
// none has answered.
func (l *lenders) domainCutOff(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	unresponsive := 0
	for _, status := range l.status {
		switch {
		case status.sameDomain || now-status.requestedAt > 2*unresponsiveBackoff:
		case !status.unresponsive:
			return false
		default:
			unresponsive++
		}
	}
	return unresponsive >= minUnresponsive
}

// skipBackedOff takes the organisations out of wants whose pause is not over, and returns how
// long the first of them still has to wait, 0 if there is none.
func (l *lenders) skipBackedOff(wants map[string]float64, now time.Duration) (retryDelay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(wants, func(organisation string, _ float64) bool {
		remaining := l.backoffs[organisation].until - now
		if remaining > 0 && (retryDelay == 0 || remaining < retryDelay) {
			retryDelay = remaining
		}
		return remaining > 0
	})
	return retryDelay
}

// recordRound notes the end of a round: the organisations in asked whose wants are still
// there get a longer pause, the others none.
func (l *lenders) recordRound(requested, unmet map[string]float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for organisation := range requested {
		if _, short := unmet[organisation]; !short {
			delete(l.backoffs, organisation)
			continue
		}
		delay := min(max(initialBackoff, 2*l.backoffs[organisation].delay), maxBackoff)
		l.backoffs[organisation] = backoff{until: now + delay, delay: delay}
	}
}

// Isolated tells whether this instance gets no answers from most of the others, so that
// callers are served better elsewhere.
func (a *Admission) Isolated() bool { return a.lenders.isolated(a.cfg.Clock()) }

// DomainCutOff tells whether this instance gets no answer from other failure domains.
func (a *Admission) DomainCutOff() bool { return a.lenders.domainCutOff(a.cfg.Clock()) }

// ProbeOtherDomains asks some instances of other failure domains for nothing, so that Severed goes by
// new answers also while no tokens are wanted.
func (a *Admission) ProbeOtherDomains(ctx context.Context) {
	others := slices.DeleteFunc(sameDomainFirst(a.cfg.Peers()), func(p Peer) bool { return p.SameDomain })
	var pending sync.WaitGroup
	for _, p := range others[:min(len(others), maxProbes)] {
		pending.Go(func() { a.requestTokens(ctx, p, nil) })
	}
	pending.Wait()
}

// Run borrows tokens from other instances whenever operations wait for some.
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

// borrow asks one instance after the other until nothing is wanted any more that may
// be asked for now. It returns after how long to try again, 0 for not before something
// else is wanted.
func (a *Admission) borrow(ctx context.Context) time.Duration {
	now := a.cfg.Clock()
	shortfalls := a.cfg.Ledger.Shortfalls(now)
	retryDelay := a.lenders.skipBackedOff(shortfalls, now)
	if len(shortfalls) == 0 {
		return retryDelay
	}
	requests := 0
	for _, p := range sameDomainFirst(a.cfg.Peers()) {
		if ctx.Err() != nil || requests == maxRequestsPerRound {
			break
		}
		wants := a.cfg.Ledger.Shortfalls(a.cfg.Clock())
		maps.DeleteFunc(wants, func(organisation string, _ float64) bool {
			_, inRound := shortfalls[organisation]
			return !inRound || !a.cfg.Ledger.IsHolder(organisation, p.Name)
		})
		unresponsive, inBackoff := a.lenders.unresponsive(p.Name, a.cfg.Clock())
		if len(wants) == 0 || inBackoff {
			continue
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			a.requestTokens(ctx, p, wants)
		}()
		if unresponsive {
			continue // the others are not kept waiting for it again
		}
		requests++
		waitDone(done, hedgeDelay)
	}
	now = a.cfg.Clock()
	unmet := a.cfg.Ledger.Shortfalls(now)
	a.lenders.recordRound(shortfalls, unmet, now)
	return a.lenders.skipBackedOff(unmet, now)
}

// requestTokens asks an instance for tokens.
func (a *Admission) requestTokens(ctx context.Context, p Peer, wants map[string]float64) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	given, err := a.cfg.RequestTokens(ctx, p, wants)
	a.lenders.recordResponse(p, err == nil, a.cfg.Clock())
	if err != nil {
		a.cfg.Log.Debug("no tokens from an instance", zap.String("member", p.Name), zap.Error(err))
		return
	}
	if len(given) > 0 {
		a.cfg.Ledger.Credit(given, a.cfg.Clock())
		a.credited.Set(struct{}{})
	}
}

// waitDone waits until done is closed, for d at most.
func waitDone(done <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// sameDomainFirst returns the instances to ask in one round: shuffled, so that none is
// always asked first, and those of the own failure domain before the others.
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
