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

// lend makes other instances keep the connections of the endpoints that are named.
func (r *rig) lend(run Exchange, endpoints ...string) {
	r.cfg.ReadViaOwner = func(e catalog.Endpoint, _ string, _ int) (Exchange, bool) {
		for _, id := range endpoints {
			if e.ID == id {
				return run, true
			}
		}
		return nil, false
	}
}

// TestOnlyReadsAreBorrowed holds that writes and transactions use own connections: the
// loss of another instance must not make their outcome unknown.
func TestOnlyReadsAreBorrowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		var borrowed []string
		r.lend(func(ctx context.Context, _ backend.Needs, c request.Command) (request.Answer, bool, error) {
			borrowed = append(borrowed, c.ID)
			answer, err := served(ctx, c)
			return answer, true, err
		}, "p", "r1", "r2")
		s := r.open("own")
		require.Nil(t, s.Handle(t.Context(), readOf("read")).Err)
		require.Nil(t, s.Handle(t.Context(), writeOf("write")).Err)
		require.Nil(t, s.Handle(t.Context(), request.Statement{ID: "begin", Kind: request.Begin, Text: "BEGIN"}).Err)
		r.servers.answers["p"] = inTransaction
		require.Nil(t, s.Handle(t.Context(), readOf("inside")).Err)
		require.Nil(t, r.open("primary").Handle(t.Context(), readOf("primary")).Err)
		require.Equal(t, []string{"read", "primary"}, borrowed)
		require.Equal(t, 3, r.servers.count("p"), "the write, the begin and the read inside")
	})
}

// TestReadThatAnotherInstanceLoses holds that a read which the other instance did not
// send goes out over an own connection at once, and one whose answer is lost elsewhere.
func TestReadThatAnotherInstanceLoses(t *testing.T) {
	lost := errors.New("connection reset")
	for _, sent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			r.lend(func(context.Context, backend.Needs, request.Command) (request.Answer, bool, error) {
				return request.Answer{}, sent, lost
			}, "r1")
			s := r.open("own")
			r.fresh.add("db", r.clock(), oneCommit)
			require.Nil(t, s.Handle(t.Context(), readOf("1")).Err)
			if sent {
				require.Equal(t, 1, r.servers.count("r2"))
				return
			}
			require.Equal(t, 1, r.servers.count("r1"))
		})
	}
}
