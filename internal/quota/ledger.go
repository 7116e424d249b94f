// Package quota keeps organisations within their rate and burst over all
// instances. The limit of an organisation is divided among a few instances, its
// homes, as token buckets of equal parts; in a small fleet every instance is one.
// Instances that run short get tokens from those that have some to spare: the giver
// subtracts before the receiver adds, so a lost message loses tokens and never makes
// any, and what an instance that is no home does not use soon is lost as well.
// Nothing is kept: an instance that starts begins without tokens. Its invariant:
// over any window, all instances together hand out no more than the limit allows in
// that window.
package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limit is what an organisation may do over all instances.
type Limit struct {
	Rate  float64 // operations per second
	Burst float64 // operations
}

// Allowance describes how the sum over a window is judged.
type Allowance struct {
	Window    time.Duration
	Tolerance float64 // part of the limit by which it may be exceeded
	Slack     float64 // operations beside
}

const (
	// minCapacity lets every instance admit a single operation at once.
	minCapacity = 1.5
	// maxHolders is among how many instances a limit is divided: enough for several in
	// each failure domain, and few enough that each part is more than an operation.
	maxHolders = 12
	// borrowedHalfLife is how fast unused tokens are lost at an instance that is no
	// home, so that idle instances together hold next to nothing.
	borrowedHalfLife = 500 * time.Millisecond
	// minWait keeps rounding from making a wait of nothing.
	minWait = time.Millisecond
	// allocatedToleranceShare is the part of tolerance and slack that buckets of the least
	// capacity may use up; the rest is for tokens on their way between buckets
	// and for members that this instance has not heard of yet.
	allocatedToleranceShare = 0.5
	// demandHalfLife is how fast the estimate of an organisation's demand follows.
	demandHalfLife = 500 * time.Millisecond
	// reserveHorizon is the time for which a giver keeps what it needs itself.
	reserveHorizon = 300 * time.Millisecond
	// borrowHorizon is the time for which a receiver asks for what it needs.
	borrowHorizon = 250 * time.Millisecond
)

// Ledger is one instance's part of all limits.
type Ledger struct {
	mu        sync.Mutex
	allowance Allowance           // guarded by mu
	accounts  map[string]*account // guarded by mu
}

// account is one organisation's bucket.
type account struct {
	tokens            float64
	capacity          float64
	rate              float64 // tokens per second
	holders           []string
	withoutAllocation bool // this instance is no home
	refilledAt        time.Duration
	demand            float64 // operations per second, decaying
	demandUpdatedAt   time.Duration
	waiting           int
}

// NewLedger returns a ledger without accounts.
func NewLedger(a Allowance) *Ledger {
	return &Ledger{allowance: a, accounts: make(map[string]*account)}
}

// allocation returns the bucket of one of n instances. Where an equal part of the burst
// is less than an operation, the bucket is made larger and the rate smaller, so
// that a window's sum stays within what is allowed.
func (a Allowance) allocation(l Limit, members int) (rate, capacity float64) {
	n := float64(max(1, members))
	seconds := a.Window.Seconds()
	capacity = max(l.Burst/n, minCapacity)
	allowed := l.Rate*seconds + l.Burst
	allowed += allocatedToleranceShare * (allowed*a.Tolerance + a.Slack)
	rate = (allowed - n*capacity) / seconds / n
	return max(0, rate), capacity
}

// IsHolder tells whether an instance holds a part of the organisation's limit.
func (l *Ledger) IsHolder(organisation, instance string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[organisation]
	return ok && slices.Contains(a.holders, instance)
}

// holdersOf returns the instances among which the limit of an organisation is divided:
// the same ones wherever it is asked with the same members.
func holdersOf(organisation string, members []string) []string {
	if len(members) <= maxHolders {
		return members
	}
	ordered := slices.Clone(members)
	weight := func(member string) uint64 { return xxhash.Sum64String(organisation + "/" + member) }
	slices.SortFunc(ordered, func(a, b string) int { return cmp.Or(cmp.Compare(weight(a), weight(b)), cmp.Compare(a, b)) })
	return ordered[:maxHolders]
}

// SetAllowance changes how the sum over a window is judged. It takes effect with the
// next Configure.
func (l *Ledger) SetAllowance(a Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowance = a
}

// Configure sets the limits and the instances among which they are divided, of
// which this one is self. An empty self has no part: it only borrows.
func (l *Ledger) Configure(limits map[string]Limit, self string, members []string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.accounts {
		if _, ok := limits[name]; !ok {
			delete(l.accounts, name)
		}
	}
	for name, limit := range limits {
		a, ok := l.accounts[name]
		if !ok {
			a = &account{refilledAt: now, demandUpdatedAt: now}
			l.accounts[name] = a
		}
		a.refill(now)
		a.holders = holdersOf(name, members)
		a.rate, a.capacity = l.allowance.allocation(limit, len(a.holders))
		a.withoutAllocation = !slices.Contains(a.holders, self)
		if a.withoutAllocation {
			a.rate = 0
		}
		a.tokens = min(a.tokens, a.capacity)
	}
}

func (a *account) refill(now time.Duration) {
	elapsed := (now - a.refilledAt).Seconds()
	a.refilledAt = now
	if a.withoutAllocation && a.waiting > 0 {
		return // what has been borrowed is about to be spent
	}
	if a.withoutAllocation {
		a.tokens *= math.Exp2(-max(0, elapsed) / borrowedHalfLife.Seconds())
		return
	}
	if elapsed > 0 && a.tokens < a.capacity {
		a.tokens = min(a.capacity, a.tokens+a.rate*elapsed)
	}
}

func (a *account) decayDemand(now time.Duration) {
	elapsed := now - a.demandUpdatedAt
	a.demandUpdatedAt = now
	if elapsed > 0 {
		a.demand *= math.Exp2(-elapsed.Seconds() / demandHalfLife.Seconds())
	}
}

// recordDemand counts one operation into the estimate.
func (a *account) recordDemand(now time.Duration) {
	a.decayDemand(now)
	a.demand += math.Ln2 / demandHalfLife.Seconds()
}

// Spend spends a token. Without one it returns false, and how long until the
// bucket itself has one.
func (l *Ledger) Spend(organisation string, firstAttempt bool, now time.Duration) (ok bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, configured := l.accounts[organisation]
	if !configured {
		return false, l.allowance.Window
	}
	a.refill(now)
	if firstAttempt {
		a.recordDemand(now)
	}
	if a.tokens >= 1 {
		a.tokens--
		return true, 0
	}
	if a.rate <= 0 {
		return false, borrowedHalfLife
	}
	return false, minWait + time.Duration((1-a.tokens)/a.rate*float64(time.Second))
}

// Refund gives back the token of an operation that reached no endpoint.
func (l *Ledger) Refund(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[organisation]; ok {
		a.tokens = min(a.capacity, a.tokens+1)
	}
}

// AddWaiting changes how many operations wait for a token.
func (l *Ledger) AddWaiting(organisation string, delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[organisation]; ok {
		a.waiting += delta
	}
}

// Shortfalls returns what to ask other instances for, by organisation.
func (l *Ledger) Shortfalls(now time.Duration) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	wants := make(map[string]float64)
	for name, a := range l.accounts {
		a.refill(now)
		a.decayDemand(now)
		// Parts of operations are not asked for: an instance with few has lost them
		// before the next one.
		need := float64(a.waiting) + max(0, math.Floor((a.demand-a.rate)*borrowHorizon.Seconds())) - a.tokens
		if need > 0 && (a.waiting > 0 || a.tokens < 1) {
			wants[name] = min(need, a.capacity+float64(a.waiting))
		}
	}
	return wants
}

// Lend hands out what this instance can spare of what another one wants.
func (l *Ledger) Lend(wants map[string]float64, now time.Duration) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	given := make(map[string]float64)
	for name, want := range wants {
		a, ok := l.accounts[name]
		if !ok || want <= 0 || math.IsNaN(want) {
			continue
		}
		a.refill(now)
		a.decayDemand(now)
		spare := a.tokens - float64(a.waiting) - max(0, a.demand-a.rate)*reserveHorizon.Seconds()
		if amount := min(want, spare); amount > 0 {
			a.tokens -= amount
			given[name] = amount
		}
	}
	return given
}

// Credit takes in what another instance has given. What does not fit is lost.
func (l *Ledger) Credit(given map[string]float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, amount := range given {
		a, ok := l.accounts[name]
		if !ok || amount <= 0 || math.IsNaN(amount) {
			continue
		}
		a.refill(now)
		a.tokens = min(a.capacity+float64(a.waiting), a.tokens+amount)
	}
}
