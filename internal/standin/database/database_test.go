package database_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const waitLimit = 20 * time.Second

func startGroup(t *testing.T, cfg database.Config) *database.Group {
	t.Helper()
	if cfg.Schema == nil {
		cfg.Schema = []string{"CREATE TABLE passes (id INTEGER PRIMARY KEY, holder TEXT NOT NULL, uses BIGINT NOT NULL DEFAULT 0)"}
	}
	group, err := database.StartGroup(cfg)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	return group
}

func connect(t *testing.T, group *database.Group, server *database.Server) *pgx.Conn {
	t.Helper()
	host, port, err := net.SplitHostPort(server.Address())
	require.NoError(t, err)
	conn, err := pgx.Connect(t.Context(), "host="+host+" port="+port+" user="+group.Username()+
		" password="+group.Password()+" dbname=x sslmode=disable")
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := conn.Exec(t.Context(), sql, args...)
	require.NoError(t, err)
}

func count(t *testing.T, conn *pgx.Conn) (n int64) {
	t.Helper()
	require.NoError(t, conn.QueryRow(t.Context(), "SELECT count(*) FROM passes").Scan(&n))
	return n
}

func requireCode(t *testing.T, err error, code string) {
	t.Helper()
	var reported *pgconn.PgError
	require.ErrorAs(t, err, &reported)
	require.Equal(t, code, reported.Code, reported.Message)
}

func parameter(t *testing.T, conn *pgx.Conn, name string) string {
	t.Helper()
	return conn.PgConn().ParameterStatus(name)
}

func groupPosition(t *testing.T, conn *pgx.Conn) position.Position {
	t.Helper()
	p, err := position.Parse(parameter(t, conn, "group_position"))
	require.NoError(t, err)
	return p
}

func TestQueryModesAgree(t *testing.T) {
	group := startGroup(t, database.Config{})
	conn := connect(t, group, group.Primary())
	modes := []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	}
	for i, mode := range modes {
		var id, uses int64
		var holder string
		err := conn.QueryRow(t.Context(),
			"INSERT INTO passes (id, holder, uses) VALUES ($1, $2, $3) RETURNING id", mode, i, "Änne O'Hara", 3).Scan(&id)
		require.NoError(t, err, mode)
		require.EqualValues(t, i, id)
		err = conn.QueryRow(t.Context(), "SELECT holder, uses FROM passes WHERE id = $1::int", mode, i).Scan(&holder, &uses)
		require.NoError(t, err, mode)
		require.Equal(t, "Änne O'Hara", holder)
		require.EqualValues(t, 3, uses)
		tag, err := conn.Exec(t.Context(), "UPDATE passes SET uses = uses + 1 WHERE id = $1", mode, i)
		require.NoError(t, err)
		require.EqualValues(t, 1, tag.RowsAffected())
		err = conn.QueryRow(t.Context(), "SELECT holder FROM passes WHERE id = $1", mode, -1).Scan(&holder)
		require.ErrorIs(t, err, pgx.ErrNoRows)
	}
	require.EqualValues(t, len(modes), count(t, conn))
}

func TestTransactionsAreIsolated(t *testing.T) {
	group := startGroup(t, database.Config{})
	writer, reader := connect(t, group, group.Primary()), connect(t, group, group.Primary())
	before := groupPosition(t, reader)
	exec(t, writer, "BEGIN")
	exec(t, writer, "INSERT INTO passes (id, holder) VALUES (1, 'a')")
	exec(t, writer, "SAVEPOINT s")
	exec(t, writer, "INSERT INTO passes (id, holder) VALUES (2, 'b')")
	require.EqualValues(t, 2, count(t, writer))
	require.EqualValues(t, 0, count(t, reader))
	exec(t, writer, "ROLLBACK TO SAVEPOINT s")
	require.EqualValues(t, 1, count(t, writer))
	exec(t, writer, "COMMIT")
	require.Equal(t, before.Offset+1, groupPosition(t, writer).Offset)
	require.EqualValues(t, 1, count(t, reader))
	require.Equal(t, groupPosition(t, writer), groupPosition(t, reader))

	exec(t, writer, "BEGIN")
	_, err := writer.Exec(t.Context(), "INSERT INTO passes (id, holder) VALUES (1, 'again')")
	requireCode(t, err, "23505")
	_, err = writer.Exec(t.Context(), "SELECT 1")
	requireCode(t, err, "25P02")
	exec(t, writer, "ROLLBACK")
	require.EqualValues(t, 1, count(t, writer))
}

func TestConcurrentUpdatesAreNotLost(t *testing.T) {
	group := startGroup(t, database.Config{})
	first, second := connect(t, group, group.Primary()), connect(t, group, group.Primary())
	exec(t, first, "INSERT INTO passes (id, holder) VALUES (1, 'a')")
	for _, conn := range []*pgx.Conn{first, second} {
		exec(t, conn, "BEGIN")
		exec(t, conn, "UPDATE passes SET uses = uses + 1 WHERE id = 1 AND uses = 0")
	}
	exec(t, first, "COMMIT")
	_, err := second.Exec(t.Context(), "COMMIT")
	requireCode(t, err, "40001")
}

func TestReplicaLagsAndRefusesWrites(t *testing.T) {
	group := startGroup(t, database.Config{})
	replica := group.Servers()[1]
	primary, reader := connect(t, group, group.Primary()), connect(t, group, replica)
	require.Equal(t, "on", parameter(t, reader, "in_hot_standby"))
	require.Equal(t, "off", parameter(t, primary, "in_hot_standby"))
	require.Equal(t, "1:0", parameter(t, reader, "group_history"))
	_, err := reader.Exec(t.Context(), "INSERT INTO passes (id, holder) VALUES (1, 'a')")
	requireCode(t, err, "25006")
	_, err = reader.Exec(t.Context(), "SELECT * FROM passes FOR UPDATE")
	requireCode(t, err, "25006")

	replica.SetReplayLag(time.Hour, time.Hour)
	exec(t, primary, "INSERT INTO passes (id, holder) VALUES (1, 'a')")
	want := groupPosition(t, primary)
	require.Eventually(t, func() bool { return replica.Status().Durable == want }, waitLimit, time.Millisecond)
	require.EqualValues(t, 0, count(t, reader))
	require.True(t, groupPosition(t, reader).Less(want))
	replica.SetReplayLag(0, 0)
	require.NoError(t, group.AwaitReplicated(waitLimit))
	require.EqualValues(t, 1, count(t, reader))
	require.Equal(t, want, groupPosition(t, reader))
}

func TestRefusedConnections(t *testing.T) {
	group := startGroup(t, database.Config{MaxConnections: 1})
	host, port, err := net.SplitHostPort(group.Primary().Address())
	require.NoError(t, err)
	dsn := "sslmode=disable host=" + host + " port=" + port + " user=" + group.Username()
	_, err = pgconn.Connect(t.Context(), dsn+" password=wrong")
	requireCode(t, err, "28P01")
	connect(t, group, group.Primary())
	_, err = pgconn.Connect(t.Context(), dsn+" password="+group.Password())
	requireCode(t, err, "53300")
}

// canceller returns a function that sends a cancel request for conn's statement. It
// may be called while conn is in use.
func canceller(t *testing.T, server *database.Server, conn *pgx.Conn) func() {
	t.Helper()
	request := pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: conn.PgConn().SecretKey()}
	message, err := request.Encode(nil)
	require.NoError(t, err)
	return func() {
		raw, err := net.Dial("tcp", server.Address())
		require.NoError(t, err)
		defer raw.Close()
		_, err = raw.Write(message)
		require.NoError(t, err)
		_, _ = io.ReadAll(raw)
	}
}

func TestCancelInterruptsSleep(t *testing.T) {
	group := startGroup(t, database.Config{})
	conn := connect(t, group, group.Primary())
	cancel := canceller(t, group.Primary(), conn)
	result := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(3600)")
		result <- err
	}()
	require.Eventually(t, func() bool {
		cancel()
		select {
		case err := <-result:
			requireCode(t, err, "57014")
			return true
		default:
			return false
		}
	}, waitLimit, 10*time.Millisecond)
	require.EqualValues(t, 0, count(t, conn))
}

func TestLargeResultIsStreamed(t *testing.T) {
	group := startGroup(t, database.Config{})
	conn := connect(t, group, group.Primary())
	writer := connect(t, group, group.Primary())
	const rows = 200_000
	result, err := conn.Query(t.Context(), "SELECT value, 'some text to fill the row' FROM generate_series(1, $1)", rows)
	require.NoError(t, err)
	require.True(t, result.Next())
	exec(t, writer, "INSERT INTO passes (id, holder) VALUES (1, 'while the result is open')")
	seen := 1
	for result.Next() {
		seen++
	}
	require.NoError(t, result.Err())
	require.Equal(t, rows, seen)
}

func TestStopEndsConnections(t *testing.T) {
	group := startGroup(t, database.Config{})
	conn := connect(t, group, group.Primary())
	group.Primary().Stop()
	_, err := conn.Exec(t.Context(), "SELECT 1")
	var reported *pgconn.PgError
	if errors.As(err, &reported) {
		require.Equal(t, "57P01", reported.Code)
	}
	require.Error(t, err)
	require.True(t, conn.IsClosed())
}

func TestLockedReadIsCheckedAtCommit(t *testing.T) {
	group := startGroup(t, database.Config{})
	first, second := connect(t, group, group.Primary()), connect(t, group, group.Primary())
	exec(t, first, "INSERT INTO passes (id, holder) VALUES (1, 'a')")
	exec(t, second, "BEGIN")
	exec(t, second, "SELECT uses FROM passes WHERE id = 1 FOR UPDATE")
	exec(t, first, "UPDATE passes SET uses = 5 WHERE id = 1")
	exec(t, second, "INSERT INTO passes (id, holder) VALUES (2, 'b')")
	_, err := second.Exec(t.Context(), "COMMIT")
	requireCode(t, err, "40001")
	require.EqualValues(t, 1, count(t, second))
}

func TestCopyInAndOut(t *testing.T) {
	group := startGroup(t, database.Config{})
	conn := connect(t, group, group.Primary())
	text := "1\ttab\\tand\\\\slash\t0\n2\tline\\nbreak\t7\n"
	tag, err := conn.PgConn().CopyFrom(t.Context(), strings.NewReader(text), "COPY passes (id, holder, uses) FROM STDIN")
	require.NoError(t, err)
	require.EqualValues(t, 2, tag.RowsAffected())
	var out strings.Builder
	_, err = conn.PgConn().CopyTo(t.Context(), &out, "COPY (SELECT * FROM passes ORDER BY id) TO STDOUT")
	require.NoError(t, err)
	require.Equal(t, text, out.String())

	_, err = conn.PgConn().CopyFrom(t.Context(), strings.NewReader("3\tc\t0\n1\tagain\t0\n"), "COPY passes FROM STDIN")
	requireCode(t, err, "23505")
	require.EqualValues(t, 2, count(t, conn))
	_, err = connect(t, group, group.Servers()[1]).PgConn().CopyFrom(t.Context(), strings.NewReader(text), "COPY passes FROM STDIN")
	requireCode(t, err, "25006")
}

func TestSeveralStatementsAreOneTransaction(t *testing.T) {
	group := startGroup(t, database.Config{})
	conn := connect(t, group, group.Primary())
	_, err := conn.PgConn().Exec(t.Context(), "INSERT INTO passes (id, holder) VALUES (1, 'a;b'); INSERT INTO none VALUES (1)").ReadAll()
	requireCode(t, err, "42P01")
	require.EqualValues(t, 0, count(t, conn))
	_, err = conn.PgConn().Exec(t.Context(), "INSERT INTO passes (id, holder) VALUES (1, 'a;b'); -- done;\n SELECT 1").ReadAll()
	require.NoError(t, err)
	require.EqualValues(t, 1, count(t, conn))
}

func TestPipelineIsOneTransaction(t *testing.T) {
	group := startGroup(t, database.Config{})
	conn := connect(t, group, group.Primary())
	insert := "INSERT INTO passes (id, holder) VALUES ($1, 'x')"
	batch := &pgx.Batch{}
	batch.Queue(insert, 1)
	batch.Queue(insert, 1)
	requireCode(t, conn.SendBatch(t.Context(), batch).Close(), "23505")
	require.EqualValues(t, 0, count(t, conn))
	before := groupPosition(t, conn)
	batch = &pgx.Batch{}
	batch.Queue(insert, 1)
	batch.Queue(insert, 2)
	require.NoError(t, conn.SendBatch(t.Context(), batch).Close())
	require.EqualValues(t, 2, count(t, conn))
	require.Equal(t, before.Offset+1, groupPosition(t, conn).Offset)
}

func TestSlotsBoundConcurrentStatements(t *testing.T) {
	group := startGroup(t, database.Config{Slots: 1})
	sleeper, waiter := connect(t, group, group.Primary()), connect(t, group, group.Primary())
	cancel := canceller(t, group.Primary(), sleeper)
	slept := make(chan error, 1)
	go func() {
		_, err := sleeper.Exec(context.Background(), "SELECT pg_sleep(3600)")
		slept <- err
	}()
	require.Eventually(t, func() bool { return group.Primary().BusySlots() == 1 }, waitLimit, time.Millisecond)
	answered := make(chan error, 1)
	go func() {
		_, err := waiter.Exec(context.Background(), "SELECT 1")
		answered <- err
	}()
	select {
	case err := <-answered:
		t.Fatalf("answered without a slot: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	cancel()
	require.Error(t, <-slept)
	require.NoError(t, <-answered)
}

func TestPauseAndUnresponsiveConnections(t *testing.T) {
	group := startGroup(t, database.Config{})
	primary := group.Primary()
	conn := connect(t, group, primary)
	primary.Pause()
	answered := make(chan error, 1)
	go func() { answered <- conn.Ping(t.Context()) }()
	select {
	case err := <-answered:
		t.Fatalf("a paused server answered: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	primary.Resume()
	require.NoError(t, <-answered)

	primary.BlackholeConnections()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, conn.Ping(ctx), context.DeadlineExceeded)
	require.NoError(t, connect(t, group, primary).Ping(t.Context()))
}

func BenchmarkServer(b *testing.B) {
	group, err := database.StartGroup(database.Config{Schema: []string{"CREATE TABLE passes (id INTEGER PRIMARY KEY, holder TEXT, uses INT)"}})
	require.NoError(b, err)
	defer group.Close()
	host, port, _ := net.SplitHostPort(group.Primary().Address())
	conn, err := pgx.Connect(b.Context(), "host="+host+" port="+port+" user="+group.Username()+" password="+group.Password()+" sslmode=disable")
	require.NoError(b, err)
	defer conn.Close(b.Context())
	b.Run("insert", func(b *testing.B) {
		for b.Loop() {
			_, err := conn.Exec(b.Context(), "INSERT INTO passes (holder, uses) VALUES ($1, 0)", "holder")
			require.NoError(b, err)
		}
	})
	b.Run("select", func(b *testing.B) {
		for b.Loop() {
			_, err := conn.Exec(b.Context(), "SELECT holder, uses FROM passes WHERE id = $1", 1)
			require.NoError(b, err)
		}
	})
}

// Guards against a stand-in that hides a changed text: a value keeps all its bytes, and DEALLOCATE drops
// the named statement only.
func TestSettingsAndNamesAreKeptAsWritten(t *testing.T) {
	group := startGroup(t, database.Config{})
	conn := connect(t, group, group.Primary())
	for written, want := range map[string]string{
		"'a'": "a", "' a\r '": " a\r ", "'''a'''": "'a'", "''": "", "''''": "'", "'it''s'": "it's", "'a', 'b'": "'a', 'b'", "a, \"B\"": `a, "B"`,
		"'\xff;'": "\xff;", "\u00a0a\u00a0": "\u00a0a\u00a0", "1 ": "1", "\"'\"": "\"'\"",
	} {
		var value string
		_, err := conn.Exec(t.Context(), "SET search_path TO "+written, pgx.QueryExecModeSimpleProtocol)
		require.NoError(t, err, written)
		require.NoError(t, conn.QueryRow(t.Context(), "SHOW search_path", pgx.QueryExecModeSimpleProtocol).Scan(&value))
		require.Equal(t, want, value, written)
	}
	names := []string{"q", "Q", "É", "é", `a"b`, "prepare", "all"}
	for n, name := range []string{"Q", `"Q"`, "É", `PREPARE "é"`, `"a""b"`, "prepare", `"all"`} {
		for _, name := range names {
			_, err := conn.PgConn().Prepare(t.Context(), name, "SELECT 1", nil)
			require.NoError(t, err, name)
		}
		exec(t, conn, "DEALLOCATE "+name, pgx.QueryExecModeSimpleProtocol)
		for m, other := range names {
			err := conn.PgConn().ExecPrepared(t.Context(), other, nil, nil, nil).Read().Err
			require.Equal(t, m == n, err != nil, "%s after DEALLOCATE %s", other, name)
		}
		exec(t, conn, "DEALLOCATE ALL", pgx.QueryExecModeSimpleProtocol)
	}
}
