package share

import "time"

const (
	// initialBackoff and maxBackoff bound the delay after an unsuccessful request.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	// initialConflictBackoff is the maximum delay after the first commit that failed
	// on its conditions.
	initialConflictBackoff = 4 * time.Millisecond
	// maxTableBackoff bounds the delay between unsuccessful requests to the table
	// for one limit.
	maxTableBackoff = 5 * time.Second
)

// backoff returns the delay after the n-th consecutive unsuccessful request,
// counted from 1: it doubles each time up to maxDelay, with jitter over its upper
// half.
func backoff(n int, maxDelay time.Duration, random float64) time.Duration {
	delay := initialBackoff << min(max(n-1, 0), 20)
	delay = min(delay, maxDelay)
	return delay/2 + time.Duration(random*float64(delay/2))
}

// conflictBackoff returns the delay after a commit that failed because other
// instances wrote the same rows, by the number of earlier such attempts.
func conflictBackoff(attempt int, random float64) time.Duration {
	return time.Duration(random * float64(initialConflictBackoff<<min(attempt, 6)))
}
