package pipeline

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTransactionsAtAQuietPrimary guards against transactions that are slow or refused at a primary that is
// well, and against counting it as failing, since nobody has committed a write since the earlier
// transactions on its idle connections.
func TestTransactionsAtAQuietPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers = 13
		f := newFixture(t)
		sessions := make([]*Session, callers)
		for n := range sessions {
			sessions[n] = f.open("primary")
			require.Nil(t, sessions[n].Handle(t.Context(), beginStatement).Err)
			require.Nil(t, sessions[n].Handle(t.Context(), readOf("1")).Err)
		}
		for _, s := range sessions {
			require.Nil(t, s.Handle(t.Context(), commitStatement).Err)
		}
		require.Nil(t, sessions[0].Handle(t.Context(), beginStatement).Err)
		sentAt := time.Now()
		answer := sessions[0].Handle(t.Context(), readOf("2"))
		took := time.Since(sentAt)
		t.Logf("answered after %v, failure rate %v", took, f.cfg.Health.Load("p").FailureRate)
		require.Nil(t, answer.Err)
		require.Less(t, took, 100*time.Millisecond)
		require.Less(t, f.cfg.Health.Load("p").FailureRate, 0.2)
	})
}
