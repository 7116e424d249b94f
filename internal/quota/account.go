package quota

import (
	"math"
	"time"
)

const (
	// borrowedHalfLife is the half-life of unused tokens at an instance without an
	// allocation, so that idle instances together hold almost none.
	borrowedHalfLife = 500 * time.Millisecond
	// minWait prevents waits that are rounded down to zero.
	minWait = time.Millisecond
	// reserveHorizon is the time for which a holder reserves tokens for its own demand
	// and for more urgent classes.
	reserveHorizon = 300 * time.Millisecond
	// borrowHorizon is the time for which a borrower requests tokens in advance.
	borrowHorizon = 250 * time.Millisecond
	// contentionRatio and contentionFloor are the demand at a holder, as a multiple of its
	// rate and in tokens per second, above which the limit is contended. Below the limit
	// few instances are asked for the tokens of one operation, under contention all are.
	contentionRatio = 3
	contentionFloor = 3
	// maxReserve is the bound of the tokens that a holder reserves for more urgent classes.
	// Instances ask all holders, so that a little at each is enough.
	maxReserve = 2.0
	// minDemand is the demand of a class, in tokens per second, for which its guaranteed
	// share is reserved.
	minDemand = 0.5
	// shortPeriod is the time for which nothing is borrowed ahead after a round that has
	// not found enough tokens: what is borrowed ahead decays at instances without an
	// allocation.
	shortPeriod = time.Second
	// noRefill is the time until the next token of a bucket that does not refill.
	noRefill = time.Hour
)

// account is the token bucket of one organisation.
type account struct {
	tokens            float64
	capacity          float64
	rate              float64 // tokens per second
	fleetRate         float64 // tokens per second of all holders together
	holders           []string
	withoutAllocation bool // this instance is not a holder and only borrows
	refilledAt        time.Duration
	demand            estimate // operations at this instance
	requested         estimate // tokens that other instances have requested
	refused           estimate // operations refused at this instance
	guarantees        guarantees
	queue             queue
	// shortUntil is the time until which nothing is borrowed ahead, since a round of
	// requests has not found enough tokens.
	shortUntil time.Duration
}

func (a *account) refill(now time.Duration) {
	elapsed := (now - a.refilledAt).Seconds()
	a.refilledAt = now
	if a.withoutAllocation && a.waiting() > 0 {
		return // waiting operations are about to spend the borrowed tokens
	}
	if a.withoutAllocation {
		a.tokens *= math.Exp2(-max(0, elapsed) / borrowedHalfLife.Seconds())
		return
	}
	if elapsed > 0 && a.tokens < a.capacity {
		a.tokens = min(a.capacity, a.tokens+a.rate*elapsed)
	}
}

func (a *account) waiting() int { return a.queue.upTo(classes - 1) }

// limitReserve returns the upper bound of the tokens that a class leaves to more urgent ones.
func (a *account) limitReserve(class int) float64 {
	return min(maxReserve, max(0, a.capacity-1)) * (1 - math.Exp2(-float64(class)))
}

// reserve returns the tokens that a class leaves to the others under contention: the recent
// demand of more urgent classes within reserveHorizon, less its own guaranteed share, and the
// guaranteed share of less urgent ones.
func (a *account) reserve(class int, now time.Duration) float64 {
	if a.withoutAllocation || !a.contended(now) {
		return 0
	}
	urgent := (a.demand.below(class) + a.requested.below(class)) * reserveHorizon.Seconds()
	reserved := max(0, min(a.limitReserve(class), urgent)-a.guarantees[class])
	for other := class + 1; other < classes; other++ {
		if a.guarantees[other] >= maxGuaranteed && a.demand.perSecond[other]+a.requested.perSecond[other] >= minDemand {
			reserved += maxGuaranteed
		}
	}
	return min(reserved, max(0, a.capacity-1))
}

// contended reports whether the demand at this holder is well above its rate.
func (a *account) contended(now time.Duration) bool {
	a.demand.decay(now)
	a.requested.decay(now)
	return a.demand.below(classes)+a.requested.below(classes) > contentionRatio*a.rate+contentionFloor
}

// usable returns the tokens that a class may use.
func (a *account) usable(class int, now time.Duration) float64 {
	return a.tokens - a.reserve(class, now)
}

// give subtracts tokens for a class.
func (a *account) give(class int, amount float64) {
	a.tokens -= amount
	a.guarantees.record(class, amount)
}

// grant gives tokens to the waiting operations in their order.
func (a *account) grant(now time.Duration) {
	for {
		w := a.queue.next(&a.guarantees)
		if w == nil || a.usable(w.class, now) < 1 {
			return
		}
		a.give(w.class, 1)
		a.queue.remove(w)
		close(w.granted)
	}
}

// refillWait returns the time until the bucket refills for ahead operations and one more
// of a class.
func (a *account) refillWait(class, ahead int, now time.Duration) time.Duration {
	if a.rate <= 0 {
		return noRefill
	}
	missing := float64(ahead) + 1 - a.usable(class, now)
	return minWait + time.Duration(max(0, missing)/a.rate*float64(time.Second))
}

// isIdle reports whether nothing waits and too little is demanded to borrow ahead.
func (a *account) isIdle() bool {
	return a.waiting() == 0 && (a.demand.below(classes)-a.rate)*borrowHorizon.Seconds() < 1
}

// shortfall returns the tokens to borrow.
func (a *account) shortfall(now time.Duration) Want {
	var want Want
	if a.isIdle() || a.waiting() == 0 && now < a.shortUntil {
		return want
	}
	a.refill(now)
	a.demand.decay(now)
	if a.waiting() == 0 && a.tokens >= 1 {
		return want
	}
	covered := 0.0
	for class, waiters := range a.queue {
		if len(waiters) == 0 {
			continue
		}
		available := min(float64(len(waiters)), max(0, a.usable(class, now)-covered))
		want[class] = float64(len(waiters)) - available
		covered += available
	}
	// The demand ahead is rounded down to whole operations: an instance without an
	// allocation would lose a fraction before its next operation.
	ahead := math.Floor((a.demand.below(classes) - a.rate) * borrowHorizon.Seconds())
	if now < a.shortUntil {
		return want
	}
	if ahead = min(ahead-max(0, a.tokens-covered), a.capacity); ahead > 0 {
		class := want.leastUrgent()
		if a.waiting() == 0 {
			class = Want(a.demand.perSecond).leastUrgent()
		}
		want[class] += ahead
	}
	return want
}

// lend subtracts spare tokens for another instance, up to want, and returns their number.
// The waiting operations and the demand of this instance that are at least as urgent have
// precedence.
func (a *account) lend(want Want, now time.Duration) float64 {
	a.refill(now)
	a.demand.decay(now)
	total := 0.0
	for class, amount := range want {
		if !(amount > 0) { // also excludes NaN
			continue
		}
		a.requested.add(class, min(amount, a.capacity), now)
		own := float64(a.queue.upTo(class)) + max(0, a.demand.below(class+1)-a.rate)*reserveHorizon.Seconds()
		spare := a.usable(class, now) - own
		if spare < amount && a.contended(now) {
			spare = completing(amount, spare)
		}
		if amount = min(amount, spare); amount > 0 {
			a.give(class, amount)
			total += amount
		}
	}
	return total
}

// completing returns the largest part of spare tokens that leaves a whole number of wanted
// tokens missing. Under contention a fraction would mostly be lost at a borrower whose
// operation is refused for want of the rest.
func completing(want, spare float64) float64 { return want - math.Ceil(want-spare) }
