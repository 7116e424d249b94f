package pipeline

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
)

// ownElsewhere makes another instance the connection owner of the named endpoints.
func (f *fixture) ownElsewhere(run Exchange, endpoints ...string) {
	f.cfg.ReadViaOwner = func(e catalog.Endpoint, _ string, _ int) (Exchange, bool) {
		for _, id := range endpoints {
			if e.ID == id {
				return run, true
			}
		}
		return nil, false
	}
}

// TestOnlyReadsGoViaConnectionOwner checks that writes and transactions use connections of
// this instance: the loss of another instance must not make their outcome unknown.
func TestOnlyReadsGoViaConnectionOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		var viaOwner []string
		f.ownElsewhere(func(ctx context.Context, _ backend.Needs, c request.Command) (request.Answer, bool, error) {
			viaOwner = append(viaOwner, c.ID)
			answer, err := served(ctx, c)
			return answer, true, err
		}, "p", "r1", "r2")
		s := f.open("own")
		require.Nil(t, s.Handle(t.Context(), readOf("read")).Err)
		require.Nil(t, s.Handle(t.Context(), writeOf("write")).Err)
		require.Nil(t, s.Handle(t.Context(), request.Statement{ID: "begin", Kind: request.Begin, Text: "BEGIN"}).Err)
		f.servers.answers["p"] = inTransaction
		require.Nil(t, s.Handle(t.Context(), readOf("inside")).Err)
		require.Nil(t, f.open("primary").Handle(t.Context(), readOf("primary")).Err)
		require.Equal(t, []string{"read", "primary"}, viaOwner)
		require.Equal(t, 3, f.servers.count("p"), "the write, the begin and the read in the transaction")
	})
}

// TestReadLostByConnectionOwner checks the retry of a read that fails at the connection
// owner: at the same endpoint over an own connection if the owner did not send it, at
// another endpoint if its answer was lost.
func TestReadLostByConnectionOwner(t *testing.T) {
	lost := errors.New("connection reset")
	for _, sent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t)
			f.ownElsewhere(func(context.Context, backend.Needs, request.Command) (request.Answer, bool, error) {
				return request.Answer{}, sent, lost
			}, "r1")
			s := f.open("own")
			f.fresh.add("db", f.clock(), oneCommit)
			require.Nil(t, s.Handle(t.Context(), readOf("1")).Err)
			if sent {
				require.Equal(t, 1, f.servers.count("r2"))
				return
			}
			require.Equal(t, 1, f.servers.count("r1"))
		})
	}
}
