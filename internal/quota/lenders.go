package quota

import (
	"maps"
	"sync"
	"time"
)

const (
	// initialBackoff and maxBackoff bound the exponential backoff between rounds for
	// an organisation for which no instance had enough spare tokens: an organisation
	// above its limit must not cause requests without end.
	initialBackoff = 40 * time.Millisecond
	maxBackoff     = 640 * time.Millisecond
	// unresponsiveBackoff is the time for which an instance that did not respond is
	// skipped.
	unresponsiveBackoff = time.Second
	// roundTripWeight is the number of round trips that the moving average follows.
	roundTripWeight = 8
	// minUnresponsive is the minimum number of unresponsive instances for this one to
	// count as isolated, or cut off from other failure domains: fewer may have failed
	// themselves.
	minUnresponsive = 3
)

// lenders tracks which instances respond to token requests, and the backoff of the
// organisations for which none had enough tokens.
type lenders struct {
	mu sync.Mutex
	// status has the instances that were asked, by name; guarded by mu.
	status map[string]lenderStatus
	// backoffs is by organisation; guarded by mu.
	backoffs map[string]backoff
	// roundTrips has the moving average of the round trips to instances of the same and of
	// other failure domains; guarded by mu.
	roundTrips [2]time.Duration
}

// lenderStatus is the outcome of the last request to an instance.
type lenderStatus struct {
	sameDomain   bool
	requestedAt  time.Duration
	unresponsive bool
	// backoffUntil is the time until which an unresponsive instance is skipped.
	backoffUntil time.Duration
}

// backoff is the state of the exponential backoff of an organisation.
type backoff struct {
	until, delay time.Duration
	// class is the most urgent class that is in backoff, with all that are less urgent.
	class int
	// exhausted is true if all holders that respond had too few tokens, and not for the
	// first time.
	exhausted bool
}

func newLenders() lenders {
	return lenders{status: make(map[string]lenderStatus), backoffs: make(map[string]backoff)}
}

// unresponsive reports whether an instance did not respond to the last request, and
// whether it is still to be skipped.
func (l *lenders) unresponsive(name string, now time.Duration) (unresponsive, inBackoff bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := l.status[name]
	return status.unresponsive, now < status.backoffUntil
}

// recordResponse records whether an instance has responded.
func (l *lenders) recordResponse(p Peer, ok bool, requestedAt, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if average := l.roundTrip(p); ok && *average == 0 {
		*average = now - requestedAt
	} else if ok {
		*average += (now - requestedAt - *average) / roundTripWeight
	}
	status := lenderStatus{sameDomain: p.SameDomain, requestedAt: now, unresponsive: !ok}
	if !ok {
		status.backoffUntil = now + unresponsiveBackoff
	}
	l.status[p.Name] = status
}

// roundTrip returns the average of the round trips to instances in the failure domain of p.
func (l *lenders) roundTrip(p Peer) *time.Duration {
	if p.SameDomain {
		return &l.roundTrips[0]
	}
	return &l.roundTrips[1]
}

// hedgeDelay returns the time without a response from an instance after which the next one is
// also asked: the shortest while several do not respond, since more are likely not to.
func (l *lenders) hedgeDelay(p Peer, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, unresponsive := l.recent(now); unresponsive >= minUnresponsive {
		return minHedgeDelay
	}
	return min(max(minHedgeDelay, hedgeRoundTrips**l.roundTrip(p)), maxHedgeDelay)
}

// recent returns the number of instances that were asked recently, and how many of them did not
// respond. l.mu must be held.
func (l *lenders) recent(now time.Duration) (requested, unresponsive int) {
	for _, status := range l.status {
		if now-status.requestedAt > 2*unresponsiveBackoff {
			continue
		}
		requested++
		if status.unresponsive {
			unresponsive++
		}
	}
	return requested, unresponsive
}

// isolated reports whether most of the instances that were asked recently, and at
// least minUnresponsive of them, did not respond.
func (l *lenders) isolated(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	requested, unresponsive := l.recent(now)
	return unresponsive >= minUnresponsive && 2*unresponsive > requested
}

// domainCutOff reports whether at least minUnresponsive instances of other failure
// domains were asked recently without a response, and none has responded since.
func (l *lenders) domainCutOff(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	var respondedAt time.Duration
	for _, status := range l.status {
		if !status.sameDomain && !status.unresponsive {
			respondedAt = max(respondedAt, status.requestedAt)
		}
	}
	unresponsive := 0
	for _, status := range l.status {
		recent := now-status.requestedAt <= 2*unresponsiveBackoff && status.requestedAt >= respondedAt
		if !status.sameDomain && status.unresponsive && recent {
			unresponsive++
		}
	}
	return unresponsive >= minUnresponsive
}

// skipBackedOff removes the classes in backoff from wants. It returns the time until the
// first of these backoffs ends, or 0 if there is none.
func (l *lenders) skipBackedOff(wants map[string]Want, now time.Duration) (retryDelay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(wants, func(organisation string, want Want) bool {
		b := l.backoffs[organisation]
		remaining := b.until - now
		if remaining <= 0 || want.leastUrgent() < b.class {
			return false
		}
		if retryDelay == 0 || remaining < retryDelay {
			retryDelay = remaining
		}
		for class := b.class; class < classes; class++ {
			want[class] = 0
		}
		wants[organisation] = want
		return want.Total() == 0
	})
	return retryDelay
}

// recordRound records the end of a round: the backoff of the requested organisations that
// are still in unmet is doubled, and that of the others is reset. complete is true if all
// holders that respond were asked and have responded.
func (l *lenders) recordRound(requested, unmet map[string]Want, complete bool, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for organisation, want := range requested {
		before := l.backoffs[organisation]
		class, short := firstUnmet(want, unmet[organisation])
		switch {
		case short:
			delay := initialBackoff
			if now < before.until+maxBackoff {
				delay = min(max(delay, 2*before.delay), maxBackoff)
			}
			l.backoffs[organisation] = backoff{until: now + delay, delay: delay, class: class, exhausted: complete && delay > initialBackoff}
		case now >= before.until || want.leastUrgent() >= before.class:
			delete(l.backoffs, organisation)
		}
	}
}

// firstUnmet returns the most urgent class that was requested and is still short of tokens.
func firstUnmet(requested, unmet Want) (class int, short bool) {
	for class := range classes {
		if requested[class] > 0 && unmet[class] > 0 {
			return class, true
		}
	}
	return 0, false
}

// evidence fills in what is known about the tokens of other instances for an operation.
func (l *lenders) evidence(f *forecast, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.backoffs[f.request.Organisation]
	if ok && now < b.until && classOf(f.request.Priority) >= b.class {
		f.exhausted, f.nextRound = b.exhausted, b.until-now
	}
}
