package gateway_test

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/gateway"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

func withdraw(c *configv1.Configuration) { c.Keys = nil }

// awaitShutdown waits until the server closes the caller's connection and returns its
// last error.
func awaitShutdown(t *testing.T, conn *pgx.Conn) *pgconn.PgError {
	t.Helper()
	require.NoError(t, conn.PgConn().Conn().SetReadDeadline(time.Now().Add(testTimeout)))
	_, err := conn.PgConn().ReceiveMessage(context.Background())
	return requireRefusal(t, err, verdict.CodeAdminShutdown, verdict.NotRun)
}

func TestWithdrawnKey(t *testing.T) {
	insert := "INSERT INTO passes (id, holder) VALUES (1, 'Anna')"
	t.Run("idle", func(t *testing.T) {
		fx := newFixture(t, options{})
		conn := fx.connect("")
		exec(t, conn, insert)
		fx.configure(withdraw)
		require.Contains(t, awaitShutdown(t, conn).Message, "withdrawn")
		_, err := pgx.Connect(context.Background(), fx.dsn(""))
		requireRefusal(t, err, verdict.CodeInvalidPassword, verdict.NotRun)
	})
	t.Run("in a transaction", func(t *testing.T) {
		fx := newFixture(t, options{})
		conn := fx.connect("")
		exec(t, conn, "BEGIN")
		exec(t, conn, insert)
		fx.configure(withdraw)
		awaitShutdown(t, conn)
		fx.configure(func(*configv1.Configuration) {})
		require.Zero(t, count(t, fx.connect("")))
	})
	t.Run("statement in flight", func(t *testing.T) {
		fx := newFixture(t, options{gateway: func(c *gateway.Config) { c.KeyWithdrawalGracePeriod = 20 * time.Millisecond }})
		conn := fx.connect("")
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(context.Background(), "SELECT pg_sleep(60)")
			done <- err
		}()
		fx.awaitInFlight(1)
		fx.configure(withdraw)
		require.Error(t, <-done)
		fx.awaitCallers(0)
	})
	t.Run("no longer open to all", func(t *testing.T) {
		fx := newFixture(t, options{})
		fx.configure(func(c *configv1.Configuration) { c.Services[0].OpenToAll = true })
		conn := fx.connect("user=anybody password=''")
		exec(t, conn, insert)
		fx.configure(func(*configv1.Configuration) {})
		awaitShutdown(t, conn)
	})
}

func TestExpiredLease(t *testing.T) {
	fx := newFixture(t, options{})
	idle, inTransaction := fx.connect(""), fx.connect("")
	exec(t, inTransaction, "BEGIN")
	exec(t, inTransaction, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	failing := fx.connect("")
	exec(t, failing, "BEGIN")
	fx.now.Store(int64(3 * time.Hour))
	_, err := idle.Exec(context.Background(), "SELECT 1")
	require.Equal(t, "retry after 1000 ms", requireRefusal(t, err, verdict.CodeCannotConnectNow, verdict.NotRun).Hint)
	_, err = failing.Exec(context.Background(), "SELECT 1")
	requireRefusal(t, err, verdict.CodeCannotConnectNow, verdict.NotRun)
	tag, err := failing.Exec(context.Background(), "COMMIT")
	require.NoError(t, err)
	require.Equal(t, "ROLLBACK", tag.String())
	exec(t, inTransaction, "COMMIT")
	_, err = pgx.Connect(context.Background(), fx.dsn(""))
	requireRefusal(t, err, verdict.CodeCannotConnectNow, verdict.NotRun)
	fx.now.Store(int64(time.Hour))
	require.Equal(t, 1, count(t, idle))
}

// TestLeaseExpiresWhileAStatementWaits guards against a statement that is sent by a
// configuration that may no longer be in force, because it waited for a primary until
// after the lease had expired.
func TestLeaseExpiresWhileAStatementWaits(t *testing.T) {
	fx := newFixture(t, options{})
	row, _ := fx.board.Groups.Get(service)
	fx.board.Groups.Put(service, blackboard.Group{Service: service, Term: row.Term, History: row.History, Electing: true})
	conn := fx.connect("")
	answered := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (1, 'Anna')", pgx.QueryExecModeSimpleProtocol)
		answered <- err
	}()
	require.Eventually(t, func() bool { return fx.gauge("gateway_waiting_for_primary") == 1 }, testTimeout, time.Millisecond)
	fx.now.Store(int64(3 * time.Hour))
	fx.board.Groups.Put(service, row)
	requireRefusal(t, <-answered, verdict.CodeCannotConnectNow, verdict.NotRun)
	fx.now.Store(int64(time.Hour))
	require.Zero(t, count(t, conn))
}

// TestLeaseExpiresWhileTheKeyIsAwaited guards against an instance that judges a key by a
// configuration that may no longer be in force, because its lease expired after it had
// asked for the key.
func TestLeaseExpiresWhileTheKeyIsAwaited(t *testing.T) {
	for name, sent := range map[string]string{"a key that is not known here": "hbl_k2_secret", "a key that is": key} {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, options{})
			conn, err := net.Dial("tcp", fx.address)
			require.NoError(t, err)
			defer conn.Close()
			require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			front := pgproto3.NewFrontend(conn, conn)
			front.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "alpha", "database": service}})
			require.NoError(t, front.Flush())
			answer, err := front.Receive()
			require.NoError(t, err)
			require.IsType(t, &pgproto3.AuthenticationCleartextPassword{}, answer)
			fx.now.Store(int64(3 * time.Hour))
			front.Send(&pgproto3.PasswordMessage{Password: sent})
			require.NoError(t, front.Flush())
			answer, err = front.Receive()
			require.NoError(t, err)
			require.IsType(t, &pgproto3.ErrorResponse{}, answer)
			require.Equal(t, verdict.CodeCannotConnectNow, answer.(*pgproto3.ErrorResponse).Code)
			require.Equal(t, "verdict: not run", answer.(*pgproto3.ErrorResponse).Detail)
		})
	}
}

// TestDrain checks that draining interrupts neither statements nor transactions.
func TestDrain(t *testing.T) {
	fx := newFixture(t, options{})
	idle, inTransaction, busy := fx.connect(""), fx.connect(""), fx.connect("")
	exec(t, inTransaction, "BEGIN")
	exec(t, inTransaction, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	answered := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "INSERT INTO passes (id, holder) SELECT 2, 'B' || coalesce(pg_sleep(0.3), '')")
		answered <- err
	}()
	fx.awaitInFlight(2)
	drained := make(chan error, 1)
	go func() { drained <- fx.server.Drain(context.Background()) }()
	awaitShutdown(t, idle)
	_, err := pgx.Connect(context.Background(), fx.dsn(""))
	requireRefusal(t, err, verdict.CodeAdminShutdown, verdict.NotRun)
	exec(t, inTransaction, "UPDATE passes SET holder = 'Anna B.'")
	select {
	case err := <-drained:
		t.Fatal("drained while a transaction was open", err)
	default:
	}
	exec(t, inTransaction, "COMMIT")
	awaitShutdown(t, inTransaction)
	require.NoError(t, <-answered)
	require.NoError(t, <-drained)
}

func TestDrainIsBounded(t *testing.T) {
	fx := newFixture(t, options{})
	exec(t, fx.connect(""), "BEGIN")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorContains(t, fx.server.Drain(ctx), "1 callers")
	require.NoError(t, fx.server.Abort(context.Background()))
	require.Zero(t, fx.gauge("gateway_callers"))
	fx.awaitInFlight(0)
}

func TestLeavingEndpointReceivesNoNewStatements(t *testing.T) {
	fx := newFixture(t, options{})
	conn, inTransaction := fx.connect(""), fx.connect("")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	for range 10 {
		fx.sample()
		count(t, conn)
	}
	exec(t, inTransaction, "BEGIN READ ONLY")
	primary := fx.primary()
	fx.configure(func(c *configv1.Configuration) {
		for _, e := range c.Services[0].Endpoints {
			e.Leaving = e.Id != primary
		}
	})
	before := fx.counter("gateway_replica_reads_total")
	for range 10 {
		count(t, conn)
	}
	require.Equal(t, before, fx.counter("gateway_replica_reads_total"))
	require.Equal(t, 1, count(t, inTransaction), "an open transaction continues")
	exec(t, inTransaction, "COMMIT")
	require.Eventually(t, func() bool {
		open := fx.pools.OpenConnections()
		delete(open, primary)
		for _, n := range open {
			if n != 0 {
				return false
			}
		}
		return true
	}, testTimeout, time.Millisecond)
}

func TestAdmissionRefusal(t *testing.T) {
	fx := newFixture(t, options{})
	conn := fx.connect("")
	exec(t, conn, "BEGIN")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	fx.admission.refuse.Store(true)
	_, err := conn.Exec(context.Background(), "UPDATE passes SET holder = 'Bert'")
	require.Equal(t, "retry after 1000 ms", requireRefusal(t, err, verdict.CodeConfigurationLimit, verdict.NotRun).Hint)
	tag, err := conn.Exec(context.Background(), "COMMIT")
	require.NoError(t, err)
	require.Equal(t, "ROLLBACK", tag.String())
	fx.admission.refuse.Store(false)
	require.Zero(t, count(t, conn))
}

// recordingConn records the bytes sent to an endpoint.
type recordingConn struct {
	*net.TCPConn
	record func([]byte)
}

// Write records the data and sends it.
func (c *recordingConn) Write(p []byte) (int, error) {
	c.record(p)
	return c.TCPConn.Write(p)
}

// lockedBuffer is a log that several goroutines can write.
type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

// Write appends to the log.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// TestKeyIsNotDisclosed searches every byte sent to endpoints and to the log for the
// key or parts of it.
func TestKeyIsNotDisclosed(t *testing.T) {
	var received, logged lockedBuffer
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(&logged), zapcore.DebugLevel))
	fx := newFixture(t, options{gateway: func(c *gateway.Config) { c.Log = log }})
	fx.dials.mu.Lock()
	fx.dials.wrap = func(conn net.Conn) net.Conn {
		return &recordingConn{TCPConn: conn.(*net.TCPConn), record: func(p []byte) { _, _ = received.Write(p) }}
	}
	fx.dials.mu.Unlock()
	conn := fx.connect("")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES ($1, 'Anna')", 1)
	_, err := pgx.Connect(context.Background(), fx.dsn("password=hbl_k1_anothersecret"))
	require.Error(t, err)
	fx.configure(withdraw)
	awaitShutdown(t, conn)
	fx.awaitCallers(0)
	received.mu.Lock()
	defer received.mu.Unlock()
	logged.mu.Lock()
	defer logged.mu.Unlock()
	require.Contains(t, received.String(), "INSERT INTO passes")
	require.Contains(t, logged.String(), "caller.refused")
	for _, secret := range []string{"secretsecret", "anothersecret", "hbl_"} {
		require.NotContains(t, received.String(), secret)
		require.NotContains(t, logged.String(), secret)
	}
}
