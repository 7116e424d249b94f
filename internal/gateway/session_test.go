package gateway_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/gateway"
	"github.com/hornbeamlock/hornbeamlock/internal/grpcplatform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

func floorOf(conn *pgx.Conn) string { return conn.PgConn().ParameterStatus("hornbeamlock.floor") }

// lag delays the replicas' replay of new records.
func (fx *fixture) lag(d time.Duration) {
	for _, s := range fx.group.Servers() {
		s.SetReplayLag(d, d)
	}
}

// TestReadYourWritesAfterRoaming checks that a session sees its own writes after it has
// moved to another instance, with and without its token, while the replicas lag.
func TestReadYourWritesAfterRoaming(t *testing.T) {
	fx := newFixture(t, options{})
	other := newInstance(t, fx.group, options{})
	fx.lag(time.Hour)
	first := fx.connect("")
	exec(t, first, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	token := floorOf(first)
	require.NotEmpty(t, token)
	require.Equal(t, 1, count(t, first))
	require.Equal(t, 1, count(t, other.connect("hornbeamlock.floor="+token)))
	require.Zero(t, other.groups.indexes.Load())
	withoutToken := other.connect("")
	require.Equal(t, 1, count(t, withoutToken))
	require.Equal(t, 1, count(t, withoutToken))
	require.EqualValues(t, 1, other.groups.indexes.Load(), "the read index is requested once")
	for _, instance := range []*fixture{fx, other} {
		require.Zero(t, instance.counter("gateway_replica_reads_total"))
	}
	second := other.connect("hornbeamlock.floor=" + token)
	exec(t, second, "INSERT INTO passes (id, holder) VALUES (2, 'Bert')")
	require.Equal(t, 2, count(t, fx.connect("hornbeamlock.floor="+floorOf(second))))
}

// TestWrongReplicaPositionsAreVerified checks that reads are never older than the floor
// even if the blackboard holds wrong positions of the replicas.
func TestWrongReplicaPositionsAreVerified(t *testing.T) {
	cases := map[string]func(fx *fixture){
		"replicas expected to have caught up": func(*fixture) { time.Sleep(60 * time.Millisecond) },
		"replicas reported as caught up": func(fx *fixture) {
			for id, row := range fx.board.Endpoints.Snapshot() {
				row.Replayed.Offset += 1000
				fx.board.Endpoints.Put(id, row)
			}
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, options{})
			fx.lag(time.Hour)
			conn := fx.connect("")
			exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
			prepare(fx)
			require.Equal(t, 1, count(t, conn))
			require.Positive(t, fx.counter("gateway_reads_behind_total"))
		})
	}
}

func TestReplicaThatCaughtUpServes(t *testing.T) {
	fx := newFixture(t, options{})
	conn := fx.connect("")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	require.NoError(t, fx.group.AwaitReplicated(testTimeout))
	// The blackboard still holds the replicas' positions from before the write.
	require.Eventually(t, func() bool {
		require.Equal(t, 1, count(t, conn))
		return fx.counter("gateway_replica_reads_total") == 1
	}, testTimeout, time.Millisecond)
	require.Zero(t, fx.counter("gateway_reads_behind_total"))
}

func TestBoundedStaleness(t *testing.T) {
	fx := newFixture(t, options{})
	fx.lag(time.Hour)
	reader, writer := fx.connect("hornbeamlock.max_staleness=50ms"), fx.connect("")
	require.Zero(t, count(t, reader))
	exec(t, writer, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	written := time.Now()
	// Reads may be stale by up to 50 ms.
	for {
		requestedAt := time.Now()
		if count(t, reader) == 1 {
			break
		}
		require.Less(t, requestedAt.Sub(written), 50*time.Millisecond)
	}
	fresh := fx.connect("hornbeamlock.max_staleness=0")
	exec(t, writer, "INSERT INTO passes (id, holder) VALUES (2, 'Bert')")
	require.Equal(t, 2, count(t, fresh))
}

func TestBoundedReadsUseReplicas(t *testing.T) {
	fx := newFixture(t, options{})
	conn := fx.connect("hornbeamlock.max_staleness=1h")
	for range 20 {
		require.Zero(t, count(t, conn))
	}
	require.Positive(t, fx.counter("gateway_replica_reads_total"))
	require.LessOrEqual(t, fx.groups.indexes.Load(), int64(2))
}

// failOver makes the second server the primary of term 2. Later records of the old
// primary are lost, because the other servers promise term 2 before.
func (fx *fixture) failOver(beforePromotion func()) {
	fx.t.Helper()
	adapter, err := grpcplatform.New(grpcplatform.Config{Address: "127.0.0.1:1"})
	require.NoError(fx.t, err)
	defer adapter.Close()
	servers := fx.group.Servers()
	ctx := context.Background()
	// A promotion takes the most advanced server; here it is always the second.
	require.Eventually(fx.t, func() bool {
		return !servers[1].Status().Durable.Less(servers[0].Status().Durable)
	}, testTimeout, time.Millisecond)
	for _, s := range servers[1:] {
		granted, _, err := adapter.Platform().Groups.GroupServer(s.ControlAddress()).Prepare(ctx, 2, "test")
		require.NoError(fx.t, err)
		require.True(fx.t, granted)
	}
	beforePromotion()
	granted, _, err := adapter.Platform().Groups.GroupServer(servers[1].ControlAddress()).
		Promote(ctx, 2, "test", []string{servers[0].ControlAddress(), servers[2].ControlAddress()})
	require.NoError(fx.t, err)
	require.True(fx.t, granted)
	require.Eventually(fx.t, func() bool {
		for _, s := range servers[fx.pausedServers:] {
			if status := s.Status(); status.PromisedTerm != 2 || status.Primary != (s == servers[1]) || !status.Serving {
				return false
			}
		}
		return true
	}, testTimeout, time.Millisecond)
}

// TestFailover checks that a write accepted only by the replaced primary is not
// acknowledged, that floors from before the failover are kept, and that writes reach
// the new primary although the blackboard still names the old one.
func TestFailover(t *testing.T) {
	fx := newFixture(t, options{})
	conn, unconfirmed := fx.connect(""), fx.connect("hornbeamlock.timeout=300ms")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, 'kept')")
	fx.failOver(func() {
		_, err := unconfirmed.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (2, 'lost')")
		requireRefusal(t, err, verdict.CodeCompletionUnknown, verdict.MayHaveRun)
	})
	// A write that is sent before the session has ended may have run.
	require.Eventually(t, func() bool { return fx.group.Servers()[0].ClientSessions() == 0 }, testTimeout, time.Millisecond)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (3, 'new')")
		written <- err
	}()
	require.Eventually(t, func() bool { return fx.counter("gateway_retries_total") > 0 || len(written) > 0 }, testTimeout, time.Millisecond)
	fx.sample()
	require.NoError(t, <-written)
	require.Positive(t, fx.counter("gateway_retries_total"))
	require.Equal(t, 2, count(t, conn))
	require.Equal(t, 2, count(t, unconfirmed))
}

// TestDemotionEndsSessions checks that a demoted primary ends its sessions: an open
// transaction is reported as rolled back, whether or not the instance knows of the new
// primary, and no idle connection of the old one serves another statement.
func TestDemotionEndsSessions(t *testing.T) {
	for name, known := range map[string]bool{"new primary known": true, "new primary not known": false} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, options{})
			conn, idle := fx.connect(""), fx.connect("")
			exec(t, idle, "INSERT INTO passes (id, holder) VALUES (1, 'kept')")
			exec(t, conn, "BEGIN")
			exec(t, conn, "INSERT INTO passes (id, holder) VALUES (2, 'rolled back')")
			fx.failOver(func() {})
			// A COMMIT that is sent before the session has ended may have run.
			require.Eventually(t, func() bool { return fx.group.Servers()[0].ClientSessions() == 0 }, testTimeout, time.Millisecond)
			if known {
				fx.sample()
			}
			_, err := conn.Exec(context.Background(), "COMMIT")
			requireRefusal(t, err, verdict.CodeSerializationFailure, verdict.NotRun)
			fx.sample()
			exec(t, idle, "INSERT INTO passes (id, holder) VALUES (3, 'new')")
			require.Equal(t, 2, count(t, idle))
		})
	}
}

// TestSupersededFloor checks that a session whose token refers to lost records gets an
// error and never an older read.
func TestSupersededFloor(t *testing.T) {
	fx := newFixture(t, options{})
	exec(t, fx.connect(""), "INSERT INTO passes (id, holder) VALUES (1, 'kept')")
	fx.failOver(func() {})
	fx.sample()
	lost := position.Position{Term: 1, Offset: fx.group.Primary().Status().Durable.Offset + 1}
	conn := fx.connect("hornbeamlock.floor=" + lost.String())
	for _, sql := range []string{"SELECT count(*) FROM passes", "INSERT INTO passes (id, holder) VALUES (2, 'new')", "BEGIN"} {
		_, err := conn.Exec(context.Background(), sql)
		require.Contains(t, requireRefusal(t, err, verdict.CodeObjectNotInState, verdict.NotRun).Message, lost.String())
	}
	exec(t, conn, "RESET hornbeamlock.floor")
	require.Equal(t, 1, count(t, conn))
}

// TestFloorOfALaterTermWaits checks that an instance that does not know of a promotion
// yet does not serve reads from the replaced primary.
func TestFloorOfALaterTermWaits(t *testing.T) {
	fx := newFixture(t, options{})
	fx.failOver(func() {})
	conn := fx.connect("hornbeamlock.timeout=100ms hornbeamlock.floor=2/" + strconv.FormatUint(fx.group.Primary().Status().Durable.Offset, 10))
	// A replica that proves to be in the later term may serve the read, the replaced
	// primary must not.
	_, _ = conn.Exec(context.Background(), "SELECT count(*) FROM passes")
	require.Zero(t, fx.counter("gateway_primary_reads_total"))
	_, err := conn.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	requireRefusal(t, err, verdict.CodeCannotConnectNow, verdict.NotRun)
	fx.sample()
	require.Zero(t, count(t, conn))
}

func TestWaitersForPrimaryAreBounded(t *testing.T) {
	fx := newFixture(t, options{gateway: func(c *gateway.Config) { c.MaxWaitingForPrimary = 1 }})
	row, _ := fx.board.Groups.Get(service)
	fx.board.Groups.Put(service, blackboard.Group{Service: service, Term: row.Term, History: row.History, Electing: true})
	waiting := make(chan error, 1)
	first, second := fx.connect(""), fx.connect("")
	go func() {
		_, err := first.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (1, 'Anna')", pgx.QueryExecModeSimpleProtocol)
		waiting <- err
	}()
	require.Eventually(t, func() bool { return fx.gauge("gateway_waiting_for_primary") == 1 }, testTimeout, time.Millisecond)
	_, err := second.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (2, 'Bert')")
	require.NotEmpty(t, requireRefusal(t, err, verdict.CodeCannotConnectNow, verdict.NotRun).Hint)
	fx.board.Groups.Put(service, row)
	require.NoError(t, <-waiting)
	require.Equal(t, 1, count(t, second))
}

// TestStatementsLeaveReplacedPrimary checks that no statement keeps waiting for an
// unresponsive primary once another is known, neither for a connection nor for a
// response.
func TestStatementsLeaveReplacedPrimary(t *testing.T) {
	fx := newFixture(t, options{units: 2})
	old := fx.group.Servers()[0]
	simple := "default_query_exec_mode=simple_protocol hornbeamlock.timeout=1h"
	inTransaction, inFlight, queued, reading := fx.connect(simple), fx.connect(simple), fx.connect(simple), fx.connect(simple)
	exec(t, inTransaction, "BEGIN")
	exec(t, inTransaction, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	exec(t, inFlight, "DELETE FROM passes")
	exec(t, reading, "DELETE FROM passes")
	// A majority has acknowledged the last write, but possibly without the second server,
	// and a paused primary sends it nothing.
	require.NoError(t, fx.group.AwaitReplicated(testTimeout))
	old.Pause()
	defer old.Resume()
	fx.pausedServers = 1
	fx.failOver(func() {})
	answers := make(chan error, 2)
	go func() {
		_, err := inFlight.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (2, 'Bert')")
		answers <- err
	}()
	fx.awaitInFlight(2)
	written := make(chan error, 1)
	go func() {
		_, err := queued.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (3, 'Cleo')")
		written <- err
	}()
	fx.awaitInFlight(3)
	fx.sample()
	require.NoError(t, <-written)
	requireRefusal(t, <-answers, verdict.CodeCompletionUnknown, verdict.MayHaveRun)
	_, err := inTransaction.Exec(context.Background(), "UPDATE passes SET holder = 'Dora'")
	requireRefusal(t, err, verdict.CodeSerializationFailure, verdict.NotRun)
	exec(t, inTransaction, "ROLLBACK")
	require.Equal(t, 1, count(t, reading))
}

// TestUnknownOutcomeMakesTheFloorUnknown checks that a session whose write may have run
// reads the primary's position before its next read. Otherwise the write could appear
// in one read and be missing from the next.
func TestUnknownOutcomeMakesTheFloorUnknown(t *testing.T) {
	fx := newFaultFixture(t, options{})
	fx.lag(time.Hour)
	conn := fx.connect("default_query_exec_mode=simple_protocol")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	fx.injectFault(responseLost)
	_, err := conn.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (2, 'Bert')")
	requireRefusal(t, err, verdict.CodeCompletionUnknown, verdict.MayHaveRun)
	for range 3 {
		require.Equal(t, 2, count(t, conn))
	}
	require.EqualValues(t, 1, fx.groups.indexes.Load())
	require.NotEmpty(t, floorOf(conn))
}
