package backend

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The pattern: a failure domain was cut off, the cut has ended, and since then no caller
// has sent anything. Silence that no statement has renewed says nothing of the endpoint
// now; taken for news, it has all others probe at once, and primaries that are well be
// replaced (zanettin-planos-grown scale-2, 42 s).
func TestSilenceIsForgottenWithoutStatements(t *testing.T) {
	now := time.Hour
	h := NewHealth(func() time.Duration { return now })
	h.startStatement("s1")(errors.New("cut off"), false)
	now += time.Second
	require.Equal(t, time.Second, h.UnresponsiveFor("s1"))
	now += 10 * time.Second
	require.Zero(t, h.UnresponsiveFor("s1"))
}
