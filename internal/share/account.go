package share

import (
	"math"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

// maxUnsuccessfulRequests is the number of consecutive unsuccessful requests after
// which callers no longer wait for the next one.
const maxUnsuccessfulRequests = 3

// Account holds this instance's units and tokens of one limit. It is the Spender in
// the blackboard's table Shares; its methods may be called from any goroutine.
type Account struct {
	resource string
	clock    lease.Clock

	mu       sync.Mutex
	limit    escrow.Limit // guarded by mu
	holdings []*holding   // guarded by mu
	demand   demand       // guarded by mu
	renewing bool         // guarded by mu; a renewal is in flight
	// backoffUntil is the earliest time at which unmet demand causes another
	// request; guarded by mu
	backoffUntil time.Duration
	nextRenewal  time.Duration // guarded by mu; the earliest time of the next renewal by the tick
	unsuccessful int           // guarded by mu; consecutive unsuccessful requests
	// unitsBeforeRenewal is how many units were held before the last renewal;
	// guarded by mu
	unitsBeforeRenewal int64
	// tokensReceived is true when a response of the last renewal brought tokens; guarded by mu
	tokensReceived bool
	// nextBorrow is the earliest time at which other failure domains are asked
	// again, and borrowBackoff the current delay between two such attempts; guarded
	// by mu
	nextBorrow, borrowBackoff time.Duration
	// shortageUntil is the time until which other instances count as short of
	// units; guarded by mu
	shortageUntil time.Duration
	changed       chan struct{} // guarded by mu; nil while nobody waits
}

// holding is what one allocator granted to this instance.
type holding struct {
	allocator string // instance id
	bucket    escrow.Bucket
	lease     lease.Lease
	sequence  uint64
	// ceiling is the number of units to which the allocator wants the holding
	// reduced; -1 for none.
	ceiling int64
	// orphaned is true when the allocator no longer knows the holding, which then
	// stays unchanged until its lease expires.
	orphaned bool
	// requestInFlight is true while a request to the allocator is in flight; the
	// holding is then kept even without a valid lease.
	requestInFlight bool
}

func newAccount(resource string, limit escrow.Limit, clock lease.Clock) *Account {
	return &Account{resource: resource, clock: clock, limit: limit}
}

// Take implements blackboard.Spender. It ignores the time given: leases and tokens
// use the account's clock, which keeps running while the machine is suspended.
func (a *Account) Take(_ time.Time, n float64) (wait time.Duration, ok bool) {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	wait, ok = a.take(now, n)
	if ok {
		a.demand.admitted += n
		a.demand.arrived += n
	}
	return wait, ok
}

// TakeReported is Take for demand that was already reported as unmet.
func (a *Account) TakeReported(n float64) (wait time.Duration, ok bool) {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.take(now, n)
}

// take spends n tokens of the valid holdings together: allocators may each have granted less
// than a whole token. It prefers one holding that has enough. Otherwise it returns the
// minimum wait. The caller holds mu.
func (a *Account) take(now time.Duration, n float64) (wait time.Duration, ok bool) {
	var tokens, growing float64
	for _, h := range a.holdings {
		if !h.lease.Valid(now) {
			continue
		}
		if _, taken := h.bucket.Take(now, n); taken {
			a.demand.lastUse = now
			return 0, true
		}
		tokens += h.bucket.Amount(now).Tokens
		growing += h.bucket.Growing(now)
	}
	switch {
	case tokens >= n:
		a.takeTogether(now, n)
		a.demand.lastUse = now
		return 0, true
	case growing <= 0:
		return escrow.Never, false
	}
	return time.Duration(math.Ceil((n-tokens)/growing*float64(time.Second))) + 1, false
}

// takeTogether spends n tokens of several holdings, which have as many. The caller holds mu.
func (a *Account) takeTogether(now time.Duration, n float64) {
	for _, h := range a.holdings {
		if h.lease.Valid(now) {
			n -= h.bucket.TakeUpTo(now, n)
		}
	}
}

// Wait returns how long until the instance has earned n tokens, if its holdings
// stay as they are.
func (a *Account) Wait(n float64) time.Duration {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	held := a.held(now)
	rate := a.limit.RateOf(held.Units)
	switch {
	case held.Tokens >= n:
		return 0
	case rate <= 0 || a.limit.CapacityOf(held.Units) < 1:
		return escrow.Never
	}
	return time.Duration((n - held.Tokens) / rate * float64(time.Second))
}

// Units implements blackboard.Spender. Units that the allocator has recalled no
// longer count, so that their user can release them.
func (a *Account) Units(_ time.Time) int {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	var sum int64
	for _, h := range a.holdings {
		if !h.lease.Valid(now) {
			continue
		}
		units := h.bucket.Amount(now).Units
		if h.ceiling >= 0 {
			units = min(units, h.ceiling)
		}
		sum += units
	}
	return int(sum)
}

// Rate returns the rate that the instance may use now, in tokens per second.
func (a *Account) Rate() float64 {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit.RateOf(a.held(now).Units)
}

// Limit returns the whole limit.
func (a *Account) Limit() escrow.Limit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}

// Changed returns a channel that is closed when the instance receives more, or
// learns that there is no more. Call it before Take, or a change in between is
// missed.
func (a *Account) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

// CanGrow reports whether the instance may still receive more on demand: false once
// several consecutive requests were unsuccessful. After is the time until the next
// request.
func (a *Account) CanGrow() (after time.Duration, more bool) {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.renewing || now >= a.backoffUntil {
		return 0, true
	}
	return a.backoffUntil - now, a.unsuccessful < maxUnsuccessfulRequests
}

// held returns the sum of the holdings with a valid lease. The caller holds mu.
func (a *Account) held(now time.Duration) escrow.Amount {
	var sum escrow.Amount
	for _, h := range a.holdings {
		if h.lease.Valid(now) {
			sum = sum.Plus(h.bucket.Amount(now))
		}
	}
	return sum
}

// expire drops holdings whose lease has expired, except those with a request in
// flight. The caller holds mu.
func (a *Account) expire(now time.Duration) {
	kept := a.holdings[:0]
	for _, h := range a.holdings {
		if h.lease.Valid(now) || h.requestInFlight {
			kept = append(kept, h)
		}
	}
	clear(a.holdings[len(kept):])
	a.holdings = kept
}

// clear drops all holdings, when the limit is removed or the controller stops.
func (a *Account) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holdings = nil
	a.backoffUntil, a.unsuccessful = 0, 0
}

// setLimit applies a changed limit.
func (a *Account) setLimit(l escrow.Limit) {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit == l {
		return
	}
	a.limit = l
	for _, h := range a.holdings {
		h.bucket.SetLimit(now, l)
	}
}

// notify closes the channel that Changed returned. The caller holds mu.
func (a *Account) notify() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}
