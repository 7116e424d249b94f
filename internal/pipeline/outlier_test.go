package pipeline

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// everyNth returns a behaviour that answers every nth statement with other and serves the
// rest.
func everyNth(n int, other behaviour) behaviour {
	count := 0
	return func(ctx context.Context, command request.Command) (request.Answer, error) {
		count++
		if count%n == 0 {
			return other(ctx, command)
		}
		return served(ctx, command)
	}
}

// TestEndpointThatFailsPartOfItsWork covers a server that fails or refuses part of its
// statements while it looks healthy otherwise. Every read must succeed, and most must be
// placed elsewhere at the first attempt.
func TestEndpointThatFailsPartOfItsWork(t *testing.T) {
	for _, c := range []struct {
		name string
		err  *verdict.Error
	}{
		{"fails", verdict.New(verdict.Ran, verdict.CodeStatementFailed, "failed")},
		{"busy", verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "busy")},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				s := f.open("own")
				f.servers.answers["r1"] = everyNth(2, refuses(c.err))
				for n := range 100 {
					f.refreshPrimary()
					answer := s.Handle(t.Context(), readOf(strconv.Itoa(n)))
					require.Nil(t, answer.Err)
					time.Sleep(10 * time.Millisecond)
				}
				require.Less(t, f.servers.count("r1"), 30, "half of the statements fail there")
				require.Positive(t, f.servers.count("r1"), "the replica in the same failure domain is preferred")
			})
		})
	}
}

// TestEndpointThatHasRecoveredGetsWorkAgain checks that an endpoint which has failed and
// recovered is preferred again.
func TestEndpointThatHasRecoveredGetsWorkAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.open("own")
		f.servers.answers["r1"] = refuses(verdict.New(verdict.Ran, verdict.CodeStatementFailed, "failed"))
		read := func(count int) {
			for n := range count {
				f.refreshPrimary()
				require.Nil(t, s.Handle(t.Context(), readOf(strconv.Itoa(n))).Err)
				time.Sleep(10 * time.Millisecond)
			}
		}
		read(30)
		delete(f.servers.answers, "r1")
		time.Sleep(10 * time.Second)
		before := f.servers.count("r1")
		read(20)
		require.Greater(t, f.servers.count("r1")-before, 10, "the replica in the same failure domain is preferred again")
	})
}

// TestBusyPrimaryIsTriedAgain covers a primary that refuses statements as busy: a write that
// certainly has not run is retried, up to maxBusyRefusals times.
func TestBusyPrimaryIsTriedAgain(t *testing.T) {
	busy := refuses(verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "busy"))
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.open("own")
		turn := 0
		f.servers.answers["p"] = func(ctx context.Context, command request.Command) (request.Answer, error) {
			turn++
			if turn == 1 {
				return busy(ctx, command)
			}
			return served(ctx, command)
		}
		require.Nil(t, s.Handle(t.Context(), writeOf("1")).Err)
		require.Equal(t, 2, turn)
		f.servers.answers["p"] = busy
		answer := s.Handle(t.Context(), writeOf("2"))
		require.Equal(t, verdict.NotRun, answer.Err.Verdict)
		require.Equal(t, 2+maxBusyRefusals, f.servers.count("p"))
	})
}
