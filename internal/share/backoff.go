package share

import "time"

const (
	// initialBackoff and backoffLast bound the pause after a fruitless request.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// initialConflictBackoff is the longest pause after the first failed condition.
	initialConflictBackoff = 4 * time.Millisecond
	// maxTableBackoff bounds the pause between fruitless requests to the table
	// for one limit.
	maxTableBackoff = 5 * time.Second
)

// backoff returns the pause after the n-th fruitless request in a row, from 1,
// doubled each time and spread over half of it.
func backoff(n int, longest time.Duration, random float64) time.Duration {
	delay := initialBackoff << min(max(n-1, 0), 20)
	delay = min(delay, longest)
	return delay/2 + time.Duration(random*float64(delay/2))
}

// conflictBackoff returns the pause after a commit that failed since others wrote
// the same rows, by the number of such attempts before.
func conflictBackoff(attempt int, random float64) time.Duration {
	return time.Duration(random * float64(initialConflictBackoff<<min(attempt, 6)))
}
