package peer

import "time"

// Timeout and polling interval of require.Eventually; the timeout only ends a test
// that hangs.
const (
	eventuallyTimeout  = 30 * time.Second
	eventuallyInterval = 20 * time.Millisecond
)
