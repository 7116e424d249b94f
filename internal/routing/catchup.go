package routing

import "time"

// Bounds of a catch-up time.
const (
	initialCatchUp = 50 * time.Millisecond
	minCatchUp     = time.Millisecond
	maxCatchUp     = 5 * time.Second
)

// A read that finds a replica behind costs a second statement, one that goes to
// the primary without need costs the primary a statement. The two factors meet
// where about one attempt in twenty finds the replica behind.
const (
	catchUpGrowth = 1.5
	catchUpDecay  = 0.98
)

// CatchUp is how old a position has to be before a replica is expected to show
// it. It learns from attempts. The zero value has seen none.
type CatchUp struct {
	minAge time.Duration
}

// After returns the age from which an attempt is worth while.
func (c CatchUp) After() time.Duration {
	if c.minAge == 0 {
		return initialCatchUp
	}
	return c.minAge
}

// Observe returns the estimate after an attempt at a position of that age, which
// found the replica there or behind.
func (c CatchUp) Observe(age time.Duration, caughtUp bool) CatchUp {
	next := time.Duration(float64(c.After()) * catchUpDecay)
	if !caughtUp {
		next = time.Duration(float64(max(c.After(), min(age, maxCatchUp))) * catchUpGrowth)
	}
	return CatchUp{minAge: min(max(next, minCatchUp), maxCatchUp)}
}
