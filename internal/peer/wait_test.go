package peer

import "time"

// Waiting on conditions in tests: the limit only ends a test that hangs.
const (
	eventuallyTimeout  = 30 * time.Second
	eventuallyInterval = 20 * time.Millisecond
)
