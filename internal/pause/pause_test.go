package pause

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFor guards against a wait that reports its end although the context had ended.
func TestFor(t *testing.T) {
	ended, end := context.WithCancel(t.Context())
	end()
	for range 100 {
		require.False(t, For(ended, 0))
	}
	require.False(t, For(ended, time.Hour))
	require.True(t, For(t.Context(), -time.Second))
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		require.True(t, For(t.Context(), time.Hour))
		require.Equal(t, time.Hour, time.Since(began))
	})
}

// TestNoWaitByManyAtOnce guards against an end of the process in the race detector: in a
// bubble of synctest, goroutines that each receive from a timer that is already due share the
// detector's state of the bubble's timers.
func TestNoWaitByManyAtOnce(t *testing.T) {
	const goroutines, waits = 8, 20_000
	synctest.Test(t, func(t *testing.T) {
		var group sync.WaitGroup
		for range goroutines {
			group.Go(func() {
				for range waits {
					For(t.Context(), 0)
				}
			})
		}
		group.Wait()
	})
}
