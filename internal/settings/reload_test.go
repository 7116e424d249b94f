package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestChanges holds that what is said to take effect does, and nothing else.
func TestChanges(t *testing.T) {
	before := DefaultEdge()
	after := before
	after.Callers.MaxConnections = 7
	after.Callers.Listen = "127.0.0.1:1"
	after.Peers.Seeds = []string{"127.0.0.1:2"}
	after.Quota.Window = time.Minute
	after.Drain.Grace = time.Hour
	after.Log.Level = "debug"
	after.Instance.FailureDomain = "b"
	live, restart := Changes(&before, &after)
	require.Equal(t, []string{"callers.max_connections", "drain.grace", "log.level", "peers.seeds", "quota.window"}, live)
	require.Equal(t, []string{"callers.listen", "instance.failure_domain"}, restart)

	merged := WithReloadable(&before, &after)
	live, restart = Changes(merged, &after)
	require.Empty(t, live)
	require.Equal(t, []string{"callers.listen", "instance.failure_domain"}, restart)
}
