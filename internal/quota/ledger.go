// Package quota enforces a rate and a burst for each organisation over all
// instances. The limit of an organisation is divided equally among the token buckets
// of a few instances, the holders of its allocations; in a small fleet every instance
// is a holder. Instances that run short borrow tokens from those with spare ones. The
// lender subtracts them before the borrower adds them, so that a lost message loses
// tokens and never creates any. Tokens that an instance without an allocation does
// not use soon are lost as well. No state is stored: an instance starts without
// tokens.
//
// Invariant: over any window, all instances together spend no more tokens than the
// limit and the Allowance permit in that window.
package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/rendezvous"
)

// Limit is the limit of an organisation over all instances.
type Limit struct {
	Rate  float64 // operations per second
	Burst float64 // operations
	// MaxHolders bounds the instances among which the limit is divided; 0 means maxHolders.
	MaxHolders int
}

func (l Limit) maxHolders() int {
	if l.MaxHolders > 0 {
		return min(l.MaxHolders, maxHolders)
	}
	return maxHolders
}

// Allowance describes by how much the operations in a window may exceed the limit.
type Allowance struct {
	Window    time.Duration
	Tolerance float64 // fraction of the limit by which it may be exceeded
	Slack     float64 // operations allowed in addition
}

const (
	// minCapacity lets every holder admit a single operation at once, and usualCapacity also
	// start on the next one, as far as the rate of a small limit leaves room for it.
	minCapacity   = 1.0
	usualCapacity = 1.5
	// maxHolders bounds the instances among which a limit is divided: enough for
	// several in each failure domain, and few enough that each allocation is more
	// than one operation.
	maxHolders = 12
	// allocatedToleranceShare is the fraction of tolerance and slack that is divided
	// with the limit, which compensates for buckets of the minimum capacity. The rest
	// is reserved for tokens in flight between buckets and for members that this
	// instance does not know yet.
	allocatedToleranceShare = 0.5
)

// Ledger holds the token buckets of one instance for all organisations.
type Ledger struct {
	mu        sync.Mutex
	allowance Allowance           // guarded by mu
	accounts  map[string]*account // guarded by mu
}

// NewLedger returns a ledger without accounts.
func NewLedger(a Allowance) *Ledger {
	return &Ledger{allowance: a, accounts: make(map[string]*account)}
}

// allocation returns the rate and capacity of the bucket of one of members instances.
// Where an equal fraction of the burst is below usualCapacity, the capacity is raised and the
// rate reduced, so that the sum over a window stays within the allowance. The capacity is
// raised only as far as all buckets together still refill at the rate of the limit, but to
// minCapacity at least.
func (a Allowance) allocation(l Limit, members int) (rate, capacity float64) {
	n := float64(max(1, members))
	seconds := a.Window.Seconds()
	allowed := l.Rate*seconds + l.Burst
	allowed += allocatedToleranceShare * (allowed*a.Tolerance + a.Slack)
	capacity = min(usualCapacity, max(minCapacity, (allowed-l.Rate*seconds)/n))
	capacity = max(capacity, l.Burst/n)
	rate = (allowed - n*capacity) / seconds / n
	return max(0, rate), capacity
}

// IsHolder reports whether an instance holds an allocation of the organisation's
// limit.
func (l *Ledger) IsHolder(organisation, instance string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[organisation]
	return ok && slices.Contains(a.holders, instance)
}

// SetAllowance changes the allowance. It takes effect with the next call to
// Configure.
func (l *Ledger) SetAllowance(a Allowance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowance = a
}

// Configure sets the limits and the instances among which they are divided. self is
// the name of this instance; if it is empty, this instance has no allocation and only
// borrows.
func (l *Ledger) Configure(limits map[string]Limit, self string, members []string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.accounts {
		if _, ok := limits[name]; !ok {
			delete(l.accounts, name)
		}
	}
	holders := rendezvous.NewWeigher("")
	for name, limit := range limits {
		holders.SetItem(name)
		a, ok := l.accounts[name]
		if !ok {
			a = &account{refilledAt: now}
			l.accounts[name] = a
		}
		a.refill(now)
		a.holders = holders.Lightest(members, limit.maxHolders())
		a.rate, a.capacity = l.allowance.allocation(limit, len(a.holders))
		a.fleetRate = a.rate * float64(len(a.holders))
		a.withoutAllocation = !slices.Contains(a.holders, self)
		if a.withoutAllocation {
			a.rate = 0
		}
		a.tokens = min(a.tokens, a.capacity)
	}
}

// Spend spends a token for an operation that has just arrived. It returns false if there is
// none for the operation's class, or if operations that are at least as urgent wait.
func (l *Ledger) Spend(organisation string, priority int, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[organisation]
	if !ok {
		return false
	}
	class := classOf(priority)
	a.refill(now)
	a.demand.add(class, 1, now)
	if a.waiting() > 0 {
		a.grant(now)
	}
	if a.queue.upTo(class) > 0 || a.usable(class, now) < 1 {
		return false
	}
	a.give(class, 1)
	return true
}

// Refund returns the token of an operation that reached no endpoint.
func (l *Ledger) Refund(organisation string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[organisation]; ok {
		a.refill(now)
		a.tokens = max(a.tokens, min(a.capacity, a.tokens+1))
		a.grant(now)
	}
}

// enqueue adds a waiting operation.
func (l *Ledger) enqueue(organisation string, class int, now time.Duration) *waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &waiter{class: class, since: now, granted: make(chan struct{})}
	if a, ok := l.accounts[organisation]; ok {
		a.queue.push(w)
	}
	return w
}

// poll gives refilled tokens to the waiting operations. It reports whether w has one.
func (l *Ledger) poll(organisation string, w *waiter, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[organisation]; ok {
		a.refill(now)
		a.grant(now)
	}
	return w.isGranted()
}

// withdraw removes a waiting operation. It reports whether w has got a token before.
func (l *Ledger) withdraw(organisation string, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a, ok := l.accounts[organisation]; ok {
		a.queue.remove(w)
	}
	return w.isGranted()
}

// refillWait returns the time until the bucket of this instance has a token for an operation.
func (l *Ledger) refillWait(r Request, w *waiter, now time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[r.Organisation]
	if !ok {
		return noRefill
	}
	a.refill(now)
	return a.refillWait(classOf(r.Priority), a.queue.ahead(w, classOf(r.Priority)), now)
}

// recordRefusal counts a refusal. It returns the backlog of the organisation at one of
// instances, and the tokens that are reserved for more urgent classes.
func (l *Ledger) recordRefusal(r Request, instances int, now time.Duration) (b backlog, reserved float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok := l.accounts[r.Organisation]
	if !ok {
		return backlog{}, 0
	}
	class := classOf(r.Priority)
	a.refused.add(class, 1, now)
	b = backlog{
		refused: a.refused.below(class+1) * demandHalfLife.Seconds() / math.Ln2,
		rate:    max(a.rate, a.fleetRate/float64(instances)),
	}
	return b, min(a.tokens, a.reserve(class, now))
}

// Shortfalls returns the tokens to borrow from other instances, by organisation.
func (l *Ledger) Shortfalls(now time.Duration) map[string]Want {
	l.mu.Lock()
	defer l.mu.Unlock()
	wants := make(map[string]Want)
	for name, a := range l.accounts {
		if want := a.shortfall(now); want.Total() > 0 {
			wants[name] = want
		}
	}
	return wants
}

// recordShort records that a round has not found enough tokens for organisations.
func (l *Ledger) recordShort(unmet map[string]Want, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range unmet {
		if a, ok := l.accounts[name]; ok {
			a.shortUntil = now + shortPeriod
		}
	}
}

// Lend subtracts the spare tokens of this instance, up to the wants of another one,
// and returns them for transfer.
func (l *Ledger) Lend(wants map[string]Want, now time.Duration) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	lent := make(map[string]float64)
	for name, want := range wants {
		if a, ok := l.accounts[name]; ok {
			if amount := a.lend(want, now); amount > 0 {
				lent[name] = amount
			}
		}
	}
	return lent
}

// Credit adds the tokens that another instance has lent, and gives them to the waiting
// operations. Tokens beyond the capacity and the waiting operations are lost.
func (l *Ledger) Credit(lent map[string]float64, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, amount := range lent {
		a, ok := l.accounts[name]
		if !ok || amount <= 0 || math.IsNaN(amount) {
			continue
		}
		a.refill(now)
		a.tokens = min(a.capacity+float64(a.waiting()), a.tokens+amount)
		a.grant(now)
	}
}
