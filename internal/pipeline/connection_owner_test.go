package pipeline

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// fakeOwner is the connection owner of the named endpoints. It answers like run, and notes
// what passes through it.
type fakeOwner struct {
	run       Exchange
	endpoints []string
	messages  []string
	// beginRefusal is the endpoint's refusal of the next begin of a transaction, if any.
	beginRefusal []request.Answer
	released     int
	discarded    int
}

func (o *fakeOwner) Run(ctx context.Context, _ *leadership.Use, needs backend.Needs, c request.Command) (request.Answer, bool, error) {
	o.messages = append(o.messages, c.ID)
	return o.run(ctx, needs, c)
}

func (o *fakeOwner) Begin(ctx context.Context, _ *leadership.Use, begin, first request.Command, needs backend.Needs) (Begun, error) {
	o.messages = append(o.messages, begin.ID+"+"+first.ID)
	if refusal := o.beginRefusal; len(refusal) > 0 {
		o.beginRefusal = nil
		return Begun{Refused: &refusal[0]}, nil
	}
	answer, sent, err := o.run(ctx, needs, first)
	return Begun{Conn: fakeOwnerConn{o}, First: answer, Sent: sent}, err
}

type fakeOwnerConn struct{ o *fakeOwner }

func (c fakeOwnerConn) Run(ctx context.Context, needs backend.Needs, command request.Command) (request.Answer, bool, error) {
	return c.o.Run(ctx, nil, needs, command)
}
func (c fakeOwnerConn) Release() { c.o.released++ }
func (c fakeOwnerConn) Discard() { c.o.discarded++ }

// ownElsewhere makes another instance the connection owner of the named endpoints.
func (f *fixture) ownElsewhere(run Exchange, endpoints ...string) *fakeOwner {
	o := &fakeOwner{run: run, endpoints: endpoints}
	f.cfg.ViaOwner = func(e catalog.Endpoint, _ string, _ backend.Turn) (OwnerPath, bool) {
		return o, slices.Contains(o.endpoints, e.ID)
	}
	return o
}

// runs returns an Exchange of an owner that runs each statement with the transaction state of
// its kind.
func runs(ctx context.Context, _ backend.Needs, c request.Command) (request.Answer, bool, error) {
	answer, err := served(ctx, c)
	if c.Kind != request.Commit && c.Kind != request.Rollback {
		answer.Transaction = request.Open
	}
	return answer, true, err
}

var beginStatement, commitStatement, rollbackStatement = request.Statement{ID: "begin", Kind: request.Begin, Text: "BEGIN"},
	request.Statement{ID: "commit", Kind: request.Commit, Text: "COMMIT"}, request.Statement{ID: "rollback", Kind: request.Rollback, Text: "ROLLBACK"}

// TestStatementsGoViaConnectionOwner checks that reads, writes and transactions run at the
// connection owner, each statement in one message, the begin together with the first one.
func TestStatementsGoViaConnectionOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		o := f.ownElsewhere(runs, "p", "r1", "r2")
		s := f.open("own")
		for _, st := range []request.Statement{
			readOf("read"), writeOf("write"), beginStatement, readOf("inside"), writeOf("more"), commitStatement, beginStatement, writeOf("w2"), rollbackStatement,
		} {
			require.Nil(t, s.Handle(t.Context(), st).Err, st.ID)
		}
		require.Nil(t, f.open("primary").Handle(t.Context(), readOf("primary")).Err)
		require.Equal(t, []string{"read", "write", "begin+inside", "more", "commit", "begin+w2", "rollback", "primary"}, o.messages)
		require.Zero(t, f.servers.count("p")+f.servers.count("r1")+f.servers.count("r2"))
		require.Equal(t, 2, o.released)
	})
}

// TestFaultsOfConnectionOwner covers the loss of a statement at each step: what the caller is
// told, and whether this instance sends the statement again over a connection of its own.
func TestFaultsOfConnectionOwner(t *testing.T) {
	const lostAnswer, notSent = true, false
	for _, c := range []struct {
		name       string
		statements []request.Statement // the last one is lost
		sent       bool
		verdict    verdict.Verdict
		again      int // statements at the primary over an own connection
	}{
		{"write not sent", []request.Statement{writeOf("1")}, notSent, verdict.Ran, 1},
		{"answer of a write lost", []request.Statement{writeOf("1")}, lostAnswer, verdict.MayHaveRun, 0},
		{"begin not sent", []request.Statement{beginStatement, writeOf("1")}, notSent, verdict.Ran, 2},
		{"answer of the first statement lost", []request.Statement{beginStatement, writeOf("1")}, lostAnswer, verdict.NotRun, 0},
		{"later statement not sent", []request.Statement{beginStatement, readOf("1"), writeOf("2")}, notSent, verdict.NotRun, 0},
		{"answer of a later statement lost", []request.Statement{beginStatement, readOf("1"), writeOf("2")}, lostAnswer, verdict.NotRun, 0},
		{"commit not sent", []request.Statement{beginStatement, writeOf("1"), commitStatement}, notSent, verdict.NotRun, 0},
		{"answer of the commit lost", []request.Statement{beginStatement, writeOf("1"), commitStatement}, lostAnswer, verdict.MayHaveRun, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				o := f.ownElsewhere(runs, "p")
				s := f.open("own")
				last := len(c.statements) - 1
				for _, st := range c.statements[:last] {
					require.Nil(t, s.Handle(t.Context(), st).Err)
				}
				o.run = func(context.Context, backend.Needs, request.Command) (request.Answer, bool, error) {
					return request.Answer{}, c.sent, errors.New("connection reset")
				}
				answer := s.Handle(t.Context(), c.statements[last])
				require.Equal(t, c.again, f.servers.count("p"))
				if c.verdict == verdict.Ran {
					require.Nil(t, answer.Err)
					return
				}
				require.Equal(t, c.verdict, answer.Err.Verdict)
				// The caller learns of the failure once and can go on.
				o.run = runs
				if s.InTransaction() {
					s.Handle(t.Context(), rollbackStatement)
				}
				require.Nil(t, s.Handle(t.Context(), writeOf("next")).Err)
			})
		})
	}
}

// TestBeginRefusedViaConnectionOwner checks that a transaction whose begin the endpoint refuses
// begins elsewhere.
func TestBeginRefusedViaConnectionOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		o := f.ownElsewhere(runs, "p")
		o.beginRefusal = []request.Answer{{Err: verdict.New(verdict.NotRun, verdict.CodeReadOnlyTransaction, "read only")}}
		s := f.open("primary")
		require.Nil(t, s.Handle(t.Context(), beginStatement).Err)
		require.Nil(t, s.Handle(t.Context(), writeOf("1")).Err)
		require.Equal(t, []string{"begin+1", "begin+1"}, o.messages)
		s.Close()
		require.Equal(t, 1, o.discarded)
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
