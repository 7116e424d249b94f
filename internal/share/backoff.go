package share

import "time"

const (
	// backoffFirst and backoffLast bound the pause after a fruitless request.
	backoffFirst = 50 * time.Millisecond
	backoffLast  = 500 * time.Millisecond
	// conflictFirst is the longest pause after the first failed condition.
	conflictFirst = 4 * time.Millisecond
	// tableBackoffLast bounds the pause between fruitless requests to the table
	// for one limit.
	tableBackoffLast = 5 * time.Second
)

// backoff returns the pause after the n-th fruitless request in a row, from 1,
// doubled each time and spread over half of it.
func backoff(n int, last time.Duration, random float64) time.Duration {
	pause := backoffFirst << min(max(n-1, 0), 20)
	pause = min(pause, last)
	return pause/2 + time.Duration(random*float64(pause/2))
}

// conflictPause returns the pause after a commit that failed since others wrote
// the same rows, by the number of such attempts before.
func conflictPause(attempt int, random float64) time.Duration {
	return time.Duration(random * float64(conflictFirst<<min(attempt, 6)))
}
