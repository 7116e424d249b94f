package leadership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// TestDrainingReplicaWithConfirmedCommits guards against the loss of commits that only a draining
// replica has confirmed when the primary crashes.
func TestDrainingReplicaWithConfirmedCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(1070 * time.Millisecond)
		f.set(func() { f.syncReplicas, f.draining["s2"], f.servers["s1"].down = 1, true, true })
		time.Sleep(1100 * time.Millisecond)
		require.Len(t, f.ordered(), 1)
		require.Equal(t, "s2", f.ordered()[0].Endpoint, "a replica without an acknowledged commit was promoted")
		f.set(func() {
			f.servers["s2"].status.Received = position.Position{Term: 2, Offset: 10}
			f.servers["s3"].status = ServerStatus{Term: 2, Received: position.Position{Term: 2, Offset: 10}}
		})
		time.Sleep(4 * time.Second)
		require.Len(t, f.ordered(), 2)
		require.Equal(t, "s3", f.primary("b"), "the draining primary was not replaced")
	})
}
