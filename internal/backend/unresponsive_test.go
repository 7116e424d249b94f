package backend

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSilenceIsForgottenWithoutStatements guards against stale failures. A failure domain was
// partitioned, the partition has healed, and no statement has been sent since. The old failure
// says nothing about the endpoint's present state; if it is still reported, all other
// instances probe the endpoint at once, and healthy primaries are replaced.
func TestSilenceIsForgottenWithoutStatements(t *testing.T) {
	now := time.Hour
	h := NewHealth(func() time.Duration { return now })
	h.startStatement("s1")(errors.New("cut off"), false)
	now += time.Second
	require.Equal(t, time.Second, h.UnresponsiveFor("s1"))
	now += 10 * time.Second
	require.Zero(t, h.UnresponsiveFor("s1"))
}
