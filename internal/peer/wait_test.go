package peer

import "time"

// Waiting on conditions in tests: the limit only ends a test that hangs.
const (
	waitLimit = 30 * time.Second
	waitStep  = 20 * time.Millisecond
)
