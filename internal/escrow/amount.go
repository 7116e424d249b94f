package escrow

import (
	"math"
	"time"
)

// RateUnits is the number of units that a rate is cut into.
const RateUnits int64 = 1 << 20

// Never is the wait for something that will not come by itself.
const Never = time.Duration(math.MaxInt64)

// Limit is a whole limit.
type Limit struct {
	// Units is the number of units that the limit is cut into.
	Units int64
	// Rate is how many tokens all units together bring in a second.
	Rate float64
	// Burst is the most tokens that all units together save up.
	Burst float64
}

// RateOf returns the rate of a number of units, in tokens per second.
func (l Limit) RateOf(units int64) float64 { return l.proportion(l.Rate, units) }

// CapacityOf returns the most tokens that a number of units saves up.
func (l Limit) CapacityOf(units int64) float64 { return l.proportion(l.Burst, units) }

func (l Limit) proportion(total float64, units int64) float64 {
	if l.Units <= 0 || units <= 0 {
		return 0
	}
	return total * float64(units) / float64(l.Units)
}

// UnitsForRate returns the fewest units that bring a rate, at most all of them.
func (l Limit) UnitsForRate(rate float64) int64 { return l.unitsFor(rate, l.Rate) }

// UnitsForTokens returns the fewest units that can save up the tokens, at most
// all of them.
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

// Amount is part of a limit.
type Amount struct {
	// Units is how many units.
	Units int64 `json:"units"`
	// Tokens is what has been saved up with them and may be spent at once.
	Tokens float64 `json:"tokens"`
}

// Plus returns the sum.
func (a Amount) Plus(b Amount) Amount {
	return Amount{Units: a.Units + b.Units, Tokens: a.Tokens + b.Tokens}
}

// split takes units out of a, with their part of the tokens.
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
