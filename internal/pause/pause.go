// Package pause holds the wait that ends with a context.
package pause

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ends first, or has ended before.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
