package routing

import "time"

// Limits of the catch-up estimate.
const (
	initialCatchUp = 50 * time.Millisecond
	minCatchUp     = time.Millisecond
	maxCatchUp     = 5 * time.Second
)

// A read that finds the replica behind costs a second statement; a read that goes to the
// primary unnecessarily costs the primary a statement. The two factors balance when about
// one attempt in twenty finds the replica behind.
const (
	catchUpGrowth = 1.5
	catchUpDecay  = 0.98
)

// CatchUp estimates the age that a position must have before a replica is expected to have
// applied it. The estimate is updated after each attempt. The zero value is the initial
// estimate.
type CatchUp struct {
	minAge time.Duration
}

// After returns the age from which an attempt at the replica is likely to succeed.
func (c CatchUp) After() time.Duration {
	if c.minAge == 0 {
		return initialCatchUp
	}
	return c.minAge
}

// Observe returns the estimate updated after an attempt at a position of the given age.
// caughtUp states whether the replica had applied the position.
func (c CatchUp) Observe(age time.Duration, caughtUp bool) CatchUp {
	next := time.Duration(float64(c.After()) * catchUpDecay)
	if !caughtUp {
		next = time.Duration(float64(max(c.After(), min(age, maxCatchUp))) * catchUpGrowth)
	}
	return CatchUp{minAge: min(max(next, minCatchUp), maxCatchUp)}
}
