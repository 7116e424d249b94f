package edge

import (
	"net"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/pipeline"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// TestEvacuationAtOwner checks that an owner takes no new work for an evacuated endpoint, also
// if that is evacuated while a connection to it is opened, and that a transaction which is open
// there runs on for the grace.
func TestEvacuationAtOwner(t *testing.T) {
	f := newTransactionFixture(t)
	begun, err := f.begin(statementOf(request.Write, "W1"))
	require.NoError(t, err)
	f.evacuateAtOwner(f.owner.cfg.Clock())
	_, err = f.run(begun.Conn, statementOf(request.Write, "W2"))
	require.NoError(t, err, "within the grace")
	before, _ := f.server.history()
	declined := func(path pipeline.OwnerPath) {
		_, sent, err := path.Run(f.context(), f.use, backend.Needs{}, statementOf(request.Write, "W3"))
		require.Error(t, err)
		require.False(t, sent)
		begun, err := path.Begin(f.context(), f.use, statementOf(request.Begin, "BEGIN"), statementOf(request.Write, "W4"), backend.Needs{})
		require.Error(t, err)
		require.False(t, begun.Sent)
	}
	path := f.path()
	declined(path)
	require.NotNil(t, f.owner.admitForOther(f.context(), f.endpoint, true), "evacuated meanwhile")
	ran, _ := f.server.history()
	require.Equal(t, before, ran)
}

// TestWarmupAtOwner checks that each statement at an owner takes a token of an endpoint that
// warms up, and that nothing is sent without one.
func TestWarmupAtOwner(t *testing.T) {
	f := newTransactionFixture(t)
	f.endpoint.WarmUntil = f.owner.cfg.Clock() + time.Hour
	f.owner.registry.Set(catalog.NewRegistry([]catalog.Endpoint{f.endpoint}))
	c := *f.owner.configuration.Get()
	c.Services = map[string]catalog.Service{"db": {Name: "db", MaxConnections: 7, WarmupRate: 0.001}}
	f.owner.configuration.Set(&c)
	f.owner.warmup.ledger.Configure(map[string]quota.Limit{f.endpoint.ID: {Rate: 0.001, Burst: 100}}, "b1", []string{"b1"}, f.owner.cfg.Clock())
	give := func(tokens float64) {
		f.owner.warmup.ledger.Credit(map[string]float64{f.endpoint.ID: tokens}, f.owner.cfg.Clock())
	}
	answer, _, err := f.path().Run(f.context(), f.use, backend.Needs{}, statementOf(request.Write, "W1"))
	require.NoError(t, err)
	require.Equal(t, verdict.NotRun, answer.Err.Verdict)
	begun, err := f.begin(statementOf(request.Write, "W1"))
	require.NoError(t, err)
	require.Equal(t, verdict.CodeTooManyConnections, begun.Refused.Err.Code)
	ran, _ := f.server.history()
	require.Empty(t, ran)

	give(3)
	_, _, err = f.path().Run(f.context(), f.use, backend.Needs{}, statementOf(request.Write, "W1"))
	require.NoError(t, err)
	begun, err = f.begin(statementOf(request.Write, "W2")) // takes two
	require.NoError(t, err)
	require.NotNil(t, begun.Conn)
	before, _ := f.server.history()
	sent, err := f.run(begun.Conn, statementOf(request.Commit, "COMMIT"))
	require.Error(t, err)
	require.False(t, sent)
	f.requireRolledBack()
	ran, _ = f.server.history()
	require.Equal(t, before, ran)
	_, ok := f.requester.viaOwner(f.endpoint, "shop", backend.Turn{Priority: 1, Transaction: true})
	require.True(t, ok, "the refusal shows no failure of the owner")
}

// TestTransactionsAtOwnerArePinned runs two transactions at the same time, and a third one
// after them, which reuses a connection.
func TestTransactionsAtOwnerArePinned(t *testing.T) {
	f := newTransactionFixture(t)
	one, err := f.begin(statementOf(request.Read, "R1"))
	require.NoError(t, err)
	two, err := f.begin(statementOf(request.Write, "\xffW2"))
	require.NoError(t, err)
	for _, step := range []struct {
		conn    pipeline.TransactionConn
		command request.Command
	}{
		{one.Conn, statementOf(request.Write, "\xffé")}, {two.Conn, statementOf(request.Rollback, "ROLLBACK2")}, {one.Conn, statementOf(request.Commit, "COMMIT1")},
	} {
		_, err := f.run(step.conn, step.command)
		require.NoError(t, err)
	}
	one.Conn.Release()
	two.Conn.Release()
	_, err = f.begin(statementOf(request.Read, "R3"))
	require.NoError(t, err)
	ran, closed := f.server.history()
	require.Equal(t, []string{"1:", "1:BEGIN", "1:R1", "2:", "2:BEGIN", "2:\xffW2", "1:\xffé", "2:ROLLBACK2", "1:COMMIT1", "1:BEGIN", "1:R3"}, ran)
	require.Empty(t, closed)
	require.Equal(t, 1, f.owner.transactions.count())
	require.Equal(t, int64(6), sum(peerRequests(f.requester)), "one message for each statement")
}

// TestTransactionsAtTheOwnerOfAQuietEndpoint guards against skipping a connection owner that is well, since nobody
// has committed a write between two transactions on one of its connections.
func TestTransactionsAtTheOwnerOfAQuietEndpoint(t *testing.T) {
	f := newTransactionFixture(t)
	f.server.quiet = true
	for range 2 {
		begun, err := f.begin(statementOf(request.Read, "R"))
		_, ok := f.requester.viaOwner(f.endpoint, "shop", backend.Turn{Priority: 1, Transaction: true})
		require.True(t, ok, "the owner is skipped: %v", err)
		require.NoError(t, err)
		_, err = f.run(begun.Conn, statementOf(request.Commit, "COMMIT"))
		require.NoError(t, err)
		begun.Conn.Release()
	}
}

// TestTransactionsLeaveConnectionsForStatements checks that idle transactions do not hold all
// of the owner's connections: further ones begin over own connections, and statements still
// run at the owner.
func TestTransactionsLeaveConnectionsForStatements(t *testing.T) {
	f := newTransactionFixture(t)
	for range 4 { // of the owner's five connections
		_, err := f.begin(statementOf(request.Read, "R"))
		require.NoError(t, err)
	}
	begun, err := f.begin(statementOf(request.Read, "R"))
	require.Error(t, err)
	require.False(t, begun.Sent)
	_, _, err = f.path().Run(f.context(), f.use, backend.Needs{}, statementOf(request.Write, "W"))
	require.NoError(t, err)
}

// TestFaultsInTransactionAtOwner covers the faults between the first and the second statement
// of a transaction. In each case the second is not run and the transaction is rolled back.
func TestFaultsInTransactionAtOwner(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   func(f *transactionFixture, conn pipeline.TransactionConn)
		skipped bool // whether the owner gets no new work from the requester
	}{
		{"epoch revoked at the owner", func(f *transactionFixture, _ pipeline.TransactionConn) {
			f.owner.primaryView.Revoke(f.t.Context(), "db", 1)
		}, false},
		{"owner restarted at the same address", func(f *transactionFixture, _ pipeline.TransactionConn) {
			lost := f.owner.transactions
			f.owner.transactions = newOwnedTransactions()
			lost.discardOf(func(string) bool { return true })
		}, false},
		{"owner killed", func(f *transactionFixture, _ pipeline.TransactionConn) {
			f.ownerFixture.server.CloseClientConnections()
			f.ownerFixture.server.Close()
			f.requester.client.CloseIdle()
			f.owner.transactions.discardOf(func(string) bool { return true })
		}, true},
		{"requester no longer a member", func(f *transactionFixture, _ pipeline.TransactionConn) {
			before := f.owner.members.Get()
			f.owner.members.Set(before[1:])
			f.owner.discardTransactionsOfLeft(before)
		}, false},
		{"statement delivered twice", func(f *transactionFixture, conn pipeline.TransactionConn) {
			c := conn.(*ownerConn)
			_, err := f.run(c, statementOf(request.Write, "ONCE"))
			require.NoError(f.t, err)
			c.sequence--
		}, false},
		{"failure domain evacuated", func(f *transactionFixture, _ pipeline.TransactionConn) {
			f.evacuateAtOwner(f.owner.cfg.Clock() - f.owner.transactionGrace())
		}, false},
		{"caller gone", func(_ *transactionFixture, conn pipeline.TransactionConn) { conn.Discard() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTransactionFixture(t)
			begun, err := f.begin(statementOf(request.Write, "W1"))
			require.NoError(t, err)
			c.fault(f, begun.Conn)
			if c.name == "caller gone" {
				f.requireRolledBack()
			}
			sent, err := f.run(begun.Conn, statementOf(request.Write, "ONCE"))
			require.Error(t, err)
			require.False(t, sent)
			f.requireRolledBack()
			ran, _ := f.server.history()
			require.LessOrEqual(t, len(ran), 4, "a statement ran again: %v", ran)
			_, ok := f.requester.viaOwner(f.endpoint, "shop", backend.Turn{Priority: 1, Transaction: true})
			require.Equal(t, c.skipped, !ok)
		})
	}
}

// TestAnswerLostByOwner checks that a statement without a response counts as sent, and that the owner
// rolls its transaction back. It guards against a promise that nothing is kept of a write, which the
// endpoint has run outside the transaction, as only the owner knows.
func TestAnswerLostByOwner(t *testing.T) {
	for lost, kind := range map[string]request.Kind{"first read": request.Read, "first write": request.Write, "later write": request.Write} {
		t.Run(lost, func(t *testing.T) {
			f := newTransactionFixture(t)
			f.server.outside = lost
			f.server.before = func(c request.Command) {
				if c.Text == lost {
					time.Sleep(700 * time.Millisecond) // beyond the requester's deadline
				}
			}
			statement := statementOf(kind, lost)
			if lost == "later write" {
				statement.Text = "W1"
			}
			begun, err := f.begin(statement)
			answer := begun.First
			if lost == "later write" {
				require.NoError(t, err)
				answer, begun.Sent, err = begun.Conn.Run(f.context(), backend.Needs{Values: map[string]string{"colour": "red"}}, statementOf(kind, lost))
			}
			require.True(t, begun.Sent)
			if kind == request.Read {
				require.Error(t, err)
			} else {
				require.NoError(t, err)
				require.NotNil(t, answer.Err)
				require.Equal(t, verdict.MayHaveRun, answer.Err.Verdict)
				begun.Conn.Discard()
			}
			_, ok := f.requester.viaOwner(f.endpoint, "shop", backend.Turn{Priority: 1, Transaction: true})
			require.True(t, ok, "an owner that waits for its endpoint is skipped")
			f.requireRolledBack()
		})
	}
}

// Guards against a promise that nothing is kept, for a COMMIT that was delivered twice and whose
// first copy has committed.
func TestCommitDeliveredTwice(t *testing.T) {
	f := newTransactionFixture(t)
	begun, err := f.begin(statementOf(request.Write, "W1"))
	require.NoError(t, err)
	c := begun.Conn.(*ownerConn)
	again := *c
	sent, err := f.run(c, statementOf(request.Commit, "COMMIT"))
	require.NoError(t, err)
	require.True(t, sent)
	sent, err = f.run(&again, statementOf(request.Commit, "COMMIT"))
	require.Error(t, err)
	require.True(t, sent, "the first copy was sent")
	require.Equal(t, 1, len(f.owner.transactions.commits))
	require.Eventually(t, func() bool {
		f.owner.transactions.mu.Lock()
		defer f.owner.transactions.mu.Unlock()
		return len(f.owner.transactions.commits) == 0
	}, 5*time.Second, 10*time.Millisecond, "forgotten once nobody waits for the reply")
}

// TestSilentOwnerIsSkipped covers owners without a response to a statement: one that accepts
// connections but does not respond to the check either is skipped, one that does is not, since
// its endpoint is slow and own connections would only take those of the owner.
func TestSilentOwnerIsSkipped(t *testing.T) {
	f := newTransactionFixture(t)
	owner := f.requester.owners.Get()[f.endpoint.ID]
	f.requester.checkSilentOwner(owner, f.endpoint.ID)
	time.Sleep(ownerSilence + 2*ownerCheckTimeout)
	_, ok := f.requester.viaOwner(f.endpoint, "shop", backend.Turn{Priority: 1, Transaction: true})
	require.True(t, ok, "an owner that responds to the check is skipped")

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	owner.Address = listener.Addr().String()
	f.requester.checkSilentOwner(owner, f.endpoint.ID).Reset(0)
	require.Eventually(t, func() bool {
		_, ok := f.requester.viaOwner(f.endpoint, "shop", backend.Turn{Priority: 1, Transaction: true})
		return !ok
	}, 10*time.Second, time.Millisecond)
}

// TestPrimaryChecksAtOwner covers records of the primary that differ between the requester and
// the owner before a single write, and a revocation while it runs.
func TestPrimaryChecksAtOwner(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *transactionFixture)
		sent   bool
	}{
		{"revoked before", func(f *transactionFixture) { f.owner.primaryView.Revoke(f.t.Context(), "db", 1) }, false},
		{"record too old", func(f *transactionFixture) {
			f.owner.primaryView.Apply(follow.Snapshot{}, leadership.Membership{})
		}, false},
		{"other epoch", func(f *transactionFixture) { f.use.Epoch = 7 }, false},
		{"revoked meanwhile", func(f *transactionFixture) {
			f.server.before = func(request.Command) { f.owner.primaryView.Revoke(f.t.Context(), "db", 1) }
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newTransactionFixture(t)
			c.change(f)
			_, sent, err := f.path().Run(f.context(), f.use, backend.Needs{}, statementOf(request.Write, "W1"))
			require.Error(t, err)
			require.Equal(t, c.sent, sent)
			ran, _ := f.server.history()
			require.Equal(t, c.sent, len(ran) == 1)
			_, ok := f.requester.viaOwner(f.endpoint, "shop", backend.Turn{Priority: 1})
			require.True(t, ok, "the owner has not failed")
		})
	}
}

// TestDrainOfOwner checks that a leaving owner lets open transactions end, takes no new work,
// and that the next owner learns of it by the first statement that it gets.
func TestDrainOfOwner(t *testing.T) {
	f := newTransactionFixture(t)
	next := newInstance(t, &fakeRows{}, &fakeRows{}, &fakeRows{}, nil)
	next.cfg.Name, next.cfg.FailureDomain = "b2", "b"
	server := httptest.NewServer(next.Handler())
	t.Cleanup(server.Close)
	begun, err := f.begin(statementOf(request.Write, "W1"))
	require.NoError(t, err)
	// A second member of the endpoint's failure domain is ready to take over.
	members := append(f.requester.members.Get(), member{Name: "b2", FailureDomain: "b", Address: server.Listener.Addr().String(), Incarnation: next.incarnation})
	next.configuration.Set(f.owner.configuration.Get())
	next.registry.Set(f.owner.registry.Get())
	for _, i := range []*Instance{f.requester, f.owner, next} {
		i.members.Set(members)
		i.owners.Set(map[string]member{"s1": members[1]})
	}
	f.owner.Drain()
	require.True(t, f.owner.RunsForOthers())
	require.Equal(t, backend.OwnedElsewhere, f.owner.ownership(f.endpoint))
	_, sent, err := f.path().Run(f.context(), f.use, backend.Needs{}, statementOf(request.Write, "W2"))
	require.Error(t, err)
	require.False(t, sent)
	require.Equal(t, backend.OwnedElsewhere, next.ownership(f.endpoint))
	_, _, err = f.path().Run(f.context(), nil, backend.Needs{}, statementOf(request.Read, "R1"))
	require.Error(t, err, "its dialer fails")
	require.Equal(t, backend.OwnedHere, next.ownership(f.endpoint), "the next owner has learnt of it")
	_, err = f.run(begun.Conn, statementOf(request.Commit, "COMMIT1"))
	require.NoError(t, err)
	require.False(t, f.owner.RunsForOthers())
}

// TestIdleTransactionAtOwnerExpires checks that a transaction whose requester is lost is rolled
// back after the idle limit, counted from its latest statement.
func TestIdleTransactionAtOwnerExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwnedTransactions()
		step := &transactionStep{ID: "t", Requester: "r"}
		tx, declined := o.begin(readMessage{Transaction: step}, 2)
		require.Nil(t, declined)
		_, declined = o.begin(readMessage{Transaction: step}, 2)
		require.Equal(t, refusalUnknown, declined.Refusal, "the begin was delivered twice")
		o.settle(tx, true, time.Second)
		time.Sleep(900 * time.Millisecond)
		_, ok := o.take(&transactionStep{ID: "t", Requester: "other", Sequence: 1})
		require.False(t, ok, "another instance guesses the ID")
		tx, ok = o.take(&transactionStep{ID: "t", Requester: "r", Sequence: 1})
		require.True(t, ok)
		time.Sleep(900 * time.Millisecond)
		o.settle(tx, true, time.Second)
		require.Equal(t, 1, o.count())
		time.Sleep(1100 * time.Millisecond)
		require.Zero(t, o.count())
	})
}

// TestNoCostWithoutOwners checks that a deployment in which each instance has enough
// connections pays nothing for connection owners.
func TestNoCostWithoutOwners(t *testing.T) {
	f := newTransactionFixture(t)
	f.requester.owners.Set(nil)
	require.Zero(t, testing.AllocsPerRun(100, func() {
		if _, ok := f.requester.viaOwner(f.endpoint, "shop", backend.Turn{Priority: 1, Transaction: true}); ok {
			t.Error("there is no owner")
		}
	}))
}

// TestPanicAtOwnerRollsBack guards against a transaction that stays open at the endpoint after a panic
// that ended one request only.
func TestPanicAtOwnerRollsBack(t *testing.T) {
	f := newTransactionFixture(t)
	begun, err := f.begin(statementOf(request.Write, "W1"))
	require.NoError(t, err)
	f.server.before = func(request.Command) { panic("unexpected") }
	sent, err := f.run(begun.Conn, statementOf(request.Write, "W2"))
	require.NoError(t, err)
	require.True(t, sent)
	f.requireRolledBack()
}
