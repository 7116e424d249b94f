package share

import (
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

// emptyLast is after how many fruitless requests in a row callers no longer wait
// for the next one.
const emptyLast = 3

// Account is what this instance holds of one limit. It is the Spender in the
// blackboard's table Shares; its methods may be called from any goroutine.
type Account struct {
	resource string
	clock    lease.Clock

	mu       sync.Mutex
	limit    escrow.Limit // guarded by mu
	holdings []*holding   // guarded by mu; the allocator in charge comes first
	demand   demand       // guarded by mu
	asking   bool         // guarded by mu; a request for more is under way
	// emptyUntil is until when the allocator has nothing more; guarded by mu
	emptyUntil time.Duration
	nextAsk    time.Duration // guarded by mu; the tick asks no earlier
	emptyCount int           // guarded by mu; fruitless requests in a row
	// heldBefore is how many units were held before the last request; guarded by mu
	heldBefore int64
	// topped is true when the last answer brought tokens; guarded by mu
	topped bool
	// borrowAfter is when other failure domains may be asked again, and
	// borrowPause the pause before it; guarded by mu
	borrowAfter, borrowPause time.Duration
	// pressedUntil is until when others are short of units; guarded by mu
	pressedUntil time.Duration
	changed      chan struct{} // guarded by mu; nil while nobody waits
}

// holding is what one allocator granted.
type holding struct {
	allocator string // instance id
	bucket    escrow.Bucket
	lease     lease.Lease
	sequence  uint64
	// ceiling is what the allocator wants the holding cut to; -1 for none.
	ceiling int64
	// orphaned is true when the allocator no longer knows the holding, which then
	// only lapses.
	orphaned bool
	// asking is true while a request is under way; the holding is then kept even
	// without a valid lease.
	asking bool
}

func newAccount(resource string, limit escrow.Limit, clock lease.Clock) *Account {
	return &Account{resource: resource, clock: clock, limit: limit}
}

// Take implements blackboard.Spender. The time given is not used: leases and
// tokens go by the clock that counts pauses.
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

// TakeReported is Take for demand that was told before as unmet.
func (a *Account) TakeReported(n float64) (wait time.Duration, ok bool) {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.take(now, n)
}

// take spends from the first holding that has enough. The caller holds mu.
func (a *Account) take(now time.Duration, n float64) (wait time.Duration, ok bool) {
	wait = escrow.Never
	for _, h := range a.holdings {
		if !h.lease.Valid(now) {
			continue
		}
		needed, taken := h.bucket.Take(now, n)
		if taken {
			a.demand.lastUse = now
			return 0, true
		}
		wait = min(wait, needed)
	}
	return wait, false
}

// Wait returns how long until the instance will have brought n tokens one by
// one, if its part stays as it is.
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

// Units implements blackboard.Spender. Units that the allocator wants back no
// longer count, so that their user can do without them.
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

// Changed returns a channel that is closed when the instance gets more, or
// learns that there is no more. Call it before Take, so that nothing is missed.
func (a *Account) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}

// CanGrow tells whether the instance may still get more on demand: false once the
// allocator has had nothing for a few times. After is the time until it will be
// asked again.
func (a *Account) CanGrow() (after time.Duration, more bool) {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.asking || now >= a.emptyUntil {
		return 0, true
	}
	return a.emptyUntil - now, a.emptyCount < emptyLast
}

// held sums the holdings whose lease is valid. The caller holds mu.
func (a *Account) held(now time.Duration) escrow.Amount {
	var sum escrow.Amount
	for _, h := range a.holdings {
		if h.lease.Valid(now) {
			sum = sum.Plus(h.bucket.Amount(now))
		}
	}
	return sum
}

// expire drops holdings whose lease has lapsed, but for those being renewed. The caller holds mu.
func (a *Account) expire(now time.Duration) {
	kept := a.holdings[:0]
	for _, h := range a.holdings {
		if h.lease.Valid(now) || h.asking {
			kept = append(kept, h)
		}
	}
	clear(a.holdings[len(kept):])
	a.holdings = kept
}

// clear drops all holdings: the right to them is in doubt.
func (a *Account) clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holdings = nil
	a.emptyUntil, a.emptyCount = 0, 0
}

// setLimit takes over a changed limit.
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

// notify wakes those who wait for more. The caller holds mu.
func (a *Account) notify() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}
