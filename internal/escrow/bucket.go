package escrow

import (
	"math"
	"time"
)

// Bucket is a token bucket whose units, and so whose rate and capacity, change.
// Times are readings of one clock that never goes back. The zero value holds
// nothing. A Bucket is not safe for concurrent use.
type Bucket struct {
	limit        Limit
	amount       Amount
	accruedUntil time.Duration
}

// SetLimit changes the limit that the units are part of. Tokens beyond the new
// capacity are lost.
func (b *Bucket) SetLimit(now time.Duration, l Limit) {
	b.accrue(now)
	b.limit = l
	b.capTokens()
}

// Amount returns what the bucket holds at now.
func (b *Bucket) Amount(now time.Duration) Amount {
	b.accrue(now)
	return b.amount
}

// Rate returns how many tokens a second come in.
func (b *Bucket) Rate() float64 { return b.limit.RateOf(b.amount.Units) }

// Take spends n tokens at now, or none when there are fewer. Then wait is the
// time until there will be n, or Never.
func (b *Bucket) Take(now time.Duration, n float64) (wait time.Duration, ok bool) {
	if wait := b.Wait(now, n); wait > 0 {
		return wait, false
	}
	b.amount.Tokens -= n
	return 0, true
}

// Wait returns the time until there will be n tokens: 0 when there are now, and
// Never when there will not be.
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

// Split takes units out, with their part of the tokens. What it returns may be
// given to another holder; the bucket no longer has it.
func (b *Bucket) Split(now time.Duration, units int64) Amount {
	b.accrue(now)
	return b.amount.split(units)
}

// Absorb adds what another holder has given up before.
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
