package escrow

import (
	"math"
	"time"
)

// Bucket is a token bucket with a variable number of units, which determine its
// rate and capacity. Times are readings of one monotonic clock. The zero value is
// an empty bucket. A Bucket is not safe for concurrent use.
type Bucket struct {
	limit        Limit
	amount       Amount
	accruedUntil time.Duration
}

// SetLimit changes the limit that the units belong to. Tokens beyond the new
// capacity are discarded.
func (b *Bucket) SetLimit(now time.Duration, l Limit) {
	b.accrue(now)
	b.limit = l
	b.capTokens()
}

// Amount returns the units and tokens in the bucket at now.
func (b *Bucket) Amount(now time.Duration) Amount {
	b.accrue(now)
	return b.amount
}

// Rate returns the refill rate in tokens per second.
func (b *Bucket) Rate() float64 { return b.limit.RateOf(b.amount.Units) }

// Take spends n tokens at now. If the bucket has fewer, it spends none and returns
// false with the time until it will have n, or Never.
func (b *Bucket) Take(now time.Duration, n float64) (wait time.Duration, ok bool) {
	if wait := b.Wait(now, n); wait > 0 {
		return wait, false
	}
	b.amount.Tokens -= n
	return 0, true
}

// TakeUpTo spends the bucket's tokens at now, at most n, and returns how many it spent.
func (b *Bucket) TakeUpTo(now time.Duration, n float64) float64 {
	b.accrue(now)
	spent := max(0, min(n, b.amount.Tokens))
	b.amount.Tokens -= spent
	return spent
}

// Growing returns the refill rate in tokens per second, or 0 while the bucket is full.
func (b *Bucket) Growing(now time.Duration) float64 {
	b.accrue(now)
	if b.amount.Tokens >= b.limit.CapacityOf(b.amount.Units) {
		return 0
	}
	return b.Rate()
}

// Wait returns the time until the bucket will have n tokens: 0 if it has them now,
// and Never if they exceed its capacity or its rate is 0.
func (b *Bucket) Wait(now time.Duration, n float64) time.Duration {
	b.accrue(now)
	if b.amount.Tokens >= n {
		return 0
	}
	rate := b.Rate()
	if rate <= 0 || n > b.limit.CapacityOf(b.amount.Units) {
		return Never
	}
	seconds := (n - b.amount.Tokens) / rate
	return time.Duration(math.Ceil(seconds*float64(time.Second))) + 1
}

// Split removes up to a number of units, with a proportional number of tokens. The
// returned amount can be transferred to another holder.
func (b *Bucket) Split(now time.Duration, units int64) Amount {
	b.accrue(now)
	return b.amount.split(units)
}

// Absorb adds an amount that another holder has already given up. Tokens beyond
// the new capacity are discarded.
func (b *Bucket) Absorb(now time.Duration, a Amount) {
	b.accrue(now)
	b.amount = b.amount.Plus(a)
	b.capTokens()
}

func (b *Bucket) accrue(now time.Duration) {
	if now <= b.accruedUntil {
		return
	}
	b.amount.Tokens += b.Rate() * (now - b.accruedUntil).Seconds()
	b.accruedUntil = now
	b.capTokens()
}

func (b *Bucket) capTokens() {
	b.amount.Tokens = min(b.amount.Tokens, b.limit.CapacityOf(b.amount.Units))
}
