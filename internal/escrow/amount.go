package escrow

import (
	"math"
	"time"
)

// RateUnits is the number of units that a rate limit is divided into.
const RateUnits int64 = 1 << 20

// Never is the wait returned when the tokens will not accrue at the present limit
// and units.
const Never = time.Duration(math.MaxInt64)

// Limit is a limit over all holders.
type Limit struct {
	// Units is the number of units that the limit is divided into.
	Units int64
	// Rate is the number of tokens per second that all units together accrue.
	Rate float64
	// Burst is the maximum number of tokens that all units together can hold.
	Burst float64
}

// RateOf returns the rate of a number of units, in tokens per second.
func (l Limit) RateOf(units int64) float64 { return l.proportion(l.Rate, units) }

// CapacityOf returns the maximum number of tokens that a number of units can hold.
func (l Limit) CapacityOf(units int64) float64 { return l.proportion(l.Burst, units) }

func (l Limit) proportion(total float64, units int64) float64 {
	if l.Units <= 0 || units <= 0 {
		return 0
	}
	return total * float64(units) / float64(l.Units)
}

// UnitsForRate returns the minimum number of units that have a rate, or all units
// if the rate exceeds that of the limit.
func (l Limit) UnitsForRate(rate float64) int64 { return l.unitsFor(rate, l.Rate) }

// UnitsForTokens returns the minimum number of units that can hold the tokens, or
// all units if the tokens exceed the burst.
func (l Limit) UnitsForTokens(tokens float64) int64 { return l.unitsFor(tokens, l.Burst) }

func (l Limit) unitsFor(amount, total float64) int64 {
	if amount <= 0 {
		return 0
	}
	if total <= amount {
		return l.Units
	}
	return min(l.Units, int64(math.Ceil(amount/total*float64(l.Units))))
}

// Amount is a number of units of a limit, with their accrued tokens.
type Amount struct {
	Units int64 `json:"units"`
	// Tokens is the number of accrued tokens, which can be spent at once.
	Tokens float64 `json:"tokens"`
}

// Plus returns the sum of both amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Units: a.Units + b.Units, Tokens: a.Tokens + b.Tokens}
}

// split removes up to a number of units from a, with a proportional number of
// tokens, and returns them.
func (a *Amount) split(units int64) Amount {
	units = max(0, min(units, a.Units))
	if units == 0 {
		return Amount{}
	}
	tokens := a.Tokens
	if units < a.Units {
		tokens = a.Tokens * float64(units) / float64(a.Units)
	}
	a.Units -= units
	a.Tokens -= tokens
	return Amount{Units: units, Tokens: tokens}
}
