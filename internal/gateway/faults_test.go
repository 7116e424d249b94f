package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/gateway"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// fault is a fault injected into the open connections.
type fault int32

const (
	_ fault = iota
	// connectionClosed: connections fail at the first use.
	connectionClosed
	// unresponsive: connections accept requests but never deliver a response.
	unresponsive
	// responseLost: the request runs, then the connection closes without a response.
	responseLost
	// responseTruncated: the connection closes in the middle of the response.
	responseTruncated
	// responseMismatched: the end of another response arrives first.
	responseMismatched
	// beginRepeated: the response to a BEGIN arrives again first.
	beginRepeated
	// closedAfterTag: the connection closes after the command tag.
	closedAfterTag
	// answerRepeated: the recorded answer arrives again first.
	answerRepeated
	// demotedAfterCommit: the server reports that it is a replica when it ends the response.
	demotedAfterCommit
)

type faultConn struct {
	*net.TCPConn
	fault atomic.Int32
	// last is the last answer; recorded is one that is repeated later.
	last, recorded atomic.Pointer[[]byte]
}

// Read applies the fault to the data from the server.
func (c *faultConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if err != nil {
			return n, err
		}
		switch fault(c.fault.Load()) {
		case 0:
			last := bytes.Clone(p[:n])
			c.last.Store(&last)
		case unresponsive:
			continue
		case responseLost:
			c.Close()
			return 0, io.EOF
		case responseTruncated:
			c.Close()
			return min(n, 10), nil
		case closedAfterTag:
			c.Close()
			return bytes.Index(p[:n], []byte("Z\x00\x00\x00\x05")), nil
		case demotedAfterCommit:
			ready := bytes.Index(p[:n], []byte("Z\x00\x00\x00\x05"))
			demotion, _ := (&pgproto3.ParameterStatus{Name: "in_hot_standby", Value: "on"}).Encode(nil)
			n = copy(p, slices.Concat(p[:ready], demotion, p[ready:n]))
		case responseMismatched:
			c.fault.Store(0)
			stray := []byte("Z\x00\x00\x00\x05I")
			n = copy(p, append(stray, p[:n]...))
		case answerRepeated:
			c.fault.Store(0)
			n = copy(p, slices.Concat(*c.recorded.Load(), p[:n]))
		case beginRepeated:
			c.fault.Store(0)
			stray, _ := (&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}).Encode(nil)
			n = copy(p, slices.Concat(stray, []byte("Z\x00\x00\x00\x05T"), p[:n]))
		}
		return n, nil
	}
}

// injectFault applies a fault to all open connections.
func (fx *fixture) injectFault(f fault) {
	fx.dials.each(func(c *faultConn) {
		c.fault.Store(int32(f))
		if f == connectionClosed {
			c.Close()
		}
	})
}

func (d *dialer) each(do func(c *faultConn)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, conn := range d.conns {
		do(conn.(*faultConn))
	}
}

func newFaultFixture(t *testing.T, o options) *fixture {
	fx := newFixture(t, o)
	fx.dials.mu.Lock()
	defer fx.dials.mu.Unlock()
	fx.dials.wrap = func(conn net.Conn) net.Conn { return &faultConn{TCPConn: conn.(*net.TCPConn)} }
	return fx
}

// TestConnectionFaults checks, for each fault and each kind of statement, which result
// the caller receives, that it is true, and that the session continues.
func TestConnectionFaults(t *testing.T) {
	insert := "INSERT INTO passes (id, holder) VALUES (7, 'Anna') ON CONFLICT DO NOTHING"
	read := "SELECT count(*) FROM passes"
	statements := []struct {
		name string
		// prepare runs before the fault, sql during it.
		prepare []string
		sql     string
	}{
		{"read", []string{read}, read},
		{"write", []string{"DELETE FROM passes"}, insert},
		{"idempotent write", []string{"DELETE FROM passes", "SET hornbeamlock.idempotent = on"}, insert},
		{"statement in a transaction", []string{"BEGIN", insert}, "UPDATE passes SET holder = 'Bert'"},
		{"commit", []string{"BEGIN", insert}, "COMMIT"},
	}
	notRun, mayHaveRun := verdict.NotRun, verdict.MayHaveRun
	type expectation struct {
		code    string // empty for success
		verdict verdict.Verdict
	}
	ok := expectation{}
	expectations := map[fault][]expectation{
		connectionClosed: {ok, ok, ok, {verdict.CodeSerializationFailure, notRun}, {verdict.CodeSerializationFailure, notRun}},
		unresponsive: {
			ok,
			{verdict.CodeCompletionUnknown, mayHaveRun},
			{verdict.CodeCompletionUnknown, mayHaveRun},
			{verdict.CodeQueryCanceled, notRun},
			{verdict.CodeCompletionUnknown, mayHaveRun},
		},
		responseLost: {
			ok,
			{verdict.CodeCompletionUnknown, mayHaveRun},
			ok,
			{verdict.CodeSerializationFailure, notRun},
			{verdict.CodeCompletionUnknown, mayHaveRun},
		},
		responseMismatched: {
			ok,
			{verdict.CodeCompletionUnknown, mayHaveRun},
			ok,
			{verdict.CodeSerializationFailure, notRun},
			{verdict.CodeCompletionUnknown, mayHaveRun},
		},
		closedAfterTag: {
			ok,
			{verdict.CodeCompletionUnknown, mayHaveRun},
			ok,
			{verdict.CodeSerializationFailure, notRun},
			{verdict.CodeCompletionUnknown, mayHaveRun},
		},
		responseTruncated: {
			ok,
			{verdict.CodeCompletionUnknown, mayHaveRun},
			ok,
			{verdict.CodeSerializationFailure, notRun},
			{verdict.CodeCompletionUnknown, mayHaveRun},
		},
	}
	expectations[beginRepeated] = expectations[responseMismatched]
	for f, expected := range expectations {
		for i, s := range statements {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				fx := newFaultFixture(t, options{})
				// The statement is the first use of its connection after the fault: the proxy has
				// logged in at the endpoint before.
				conn := fx.connect("hornbeamlock.timeout=2500ms default_query_exec_mode=simple_protocol")
				for _, sql := range s.prepare {
					exec(t, conn, sql)
				}
				fx.sample()
				fx.injectFault(f)
				tag, err := conn.Exec(context.Background(), s.sql)
				if want := expected[i]; want.code == "" {
					require.NoError(t, err)
				} else {
					requireRefusal(t, err, want.code, want.verdict)
					require.Empty(t, tag.String(), "a statement with an unknown outcome returned its command tag")
				}
				if s.prepare[0] == "BEGIN" {
					exec(t, conn, "ROLLBACK")
				}
				requireVerdictHolds(t, fx, s.name, err)
				exec(t, conn, "INSERT INTO passes (id, holder) VALUES (8, 'Cleo')")
			})
		}
	}
}

// TestRepeatedAnswerWithTheTagIsNoEvidence guards against the answer to an earlier statement with the
// same command tag that is taken for a success: the transaction state or the position differs.
func TestRepeatedAnswerWithTheTagIsNoEvidence(t *testing.T) {
	insert := func(id string) string { return "INSERT INTO passes (id, holder) VALUES (" + id + ", 'Anna')" }
	for name, c := range map[string]struct {
		statements []string
		repeated   int  // the statement whose answer arrives again for the last one
		extended   bool // the statements are batches of the extended protocol
		verdict    verdict.Verdict
	}{
		"write":                           {[]string{insert("1"), insert("2")}, 0, false, verdict.MayHaveRun},
		"write of the extended protocol":  {[]string{insert("1"), insert("2")}, 0, true, verdict.MayHaveRun},
		"transaction in a batch":          {[]string{"BEGIN; " + insert("1") + "; COMMIT", "BEGIN; " + insert("2") + "; COMMIT"}, 0, true, verdict.MayHaveRun},
		"write, from before another":      {[]string{insert("1"), insert("2"), insert("3")}, 0, false, verdict.MayHaveRun},
		"write, after one of no rows":     {[]string{"DELETE FROM passes", "DELETE FROM passes", insert("2")}, 1, false, verdict.MayHaveRun},
		"commit":                          {[]string{"BEGIN", insert("1"), "COMMIT", "BEGIN", insert("2"), "COMMIT"}, 2, false, verdict.MayHaveRun},
		"write in a transaction":          {[]string{insert("1"), "BEGIN", insert("2")}, 0, false, verdict.NotRun},
		"read in a transaction":           {[]string{"SELECT 1", "BEGIN", "SELECT count(*) FROM passes"}, 0, false, verdict.NotRun},
		"write after that of transaction": {[]string{"BEGIN", insert("1"), "ROLLBACK", insert("2")}, 1, false, verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFaultFixture(t, options{units: 1, database: database.Config{Servers: []database.ServerConfig{{Endpoint: service + "/1"}}}})
			conn := fx.connect("default_query_exec_mode=simple_protocol")
			run := func(sql string) error {
				if !c.extended {
					_, err := conn.Exec(context.Background(), sql)
					return err
				}
				var batch pgconn.Batch
				for statement := range strings.SplitSeq(sql, "; ") {
					batch.ExecParams(statement, nil, nil, nil, nil)
				}
				_, err := conn.PgConn().ExecBatch(context.Background(), &batch).ReadAll()
				return err
			}
			last := len(c.statements) - 1
			for n, sql := range c.statements[:last] {
				require.NoError(t, run(sql))
				if n == c.repeated {
					fx.dials.each(func(conn *faultConn) { conn.recorded.Store(conn.last.Load()) })
				}
			}
			fx.injectFault(answerRepeated)
			err := run(c.statements[last])
			require.Error(t, err)
			require.Equal(t, c.verdict == verdict.NotRun, reportedNotRun(err), "%v", err)
			other := fx.connect("default_query_exec_mode=simple_protocol")
			exec(t, other, insert("4"))
			require.Positive(t, count(t, other), "answered over another connection")
		})
	}
}

// requireVerdictHolds compares the reported result with the stored rows.
func requireVerdictHolds(t *testing.T, fx *fixture, name string, err error) {
	t.Helper()
	other := fx.connect("default_query_exec_mode=simple_protocol")
	n := count(t, other)
	switch {
	case name == "read":
		require.Zero(t, n)
	case name == "statement in a transaction":
		require.Zero(t, n, "a rolled back transaction is still visible")
	case err == nil:
		require.Equal(t, 1, n, "an acknowledged write is lost")
	case reportedNotRun(err):
		require.Zero(t, n, "a statement reported as not run has run")
	}
}

func reportedNotRun(err error) bool {
	var reported *pgconn.PgError
	return errors.As(err, &reported) && reported.Detail == "verdict: not run"
}

func TestServerRestartsBetweenStatements(t *testing.T) {
	fx := newFixture(t, options{})
	conn := fx.connect("")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	fx.group.Primary().Stop()
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (2, 'Bert')")
		done <- err
	}()
	require.Eventually(t, func() bool { _, reported := fx.groups.failures.Load(fx.primary()); return reported }, testTimeout, time.Millisecond)
	require.NoError(t, fx.group.Server(fx.primary()).Restart())
	require.NoError(t, <-done)
	require.Equal(t, 2, count(t, conn))
}

// TestUnconfirmedCommit checks that no commit is acknowledged without the group's
// confirmation, on any path.
func TestUnconfirmedCommit(t *testing.T) {
	fx := newFixture(t, options{})
	fx.groups.confirm = func(ctx context.Context, _ position.Position) error { return context.DeadlineExceeded }
	for name, sql := range map[string][]string{
		"autocommit":                      {"INSERT INTO passes (id, holder) VALUES (1, 'Anna')"},
		"transaction":                     {"BEGIN", "INSERT INTO passes (id, holder) VALUES (2, 'Bert')", "COMMIT"},
		"several statements in one query": {"INSERT INTO passes (id, holder) VALUES (3, 'C'); INSERT INTO passes (id, holder) VALUES (4, 'D')"},
	} {
		t.Run(name, func(t *testing.T) {
			conn := fx.connect("default_query_exec_mode=simple_protocol")
			for _, before := range sql[:len(sql)-1] {
				exec(t, conn, before)
			}
			tag, err := conn.Exec(context.Background(), sql[len(sql)-1])
			requireRefusal(t, err, verdict.CodeCompletionUnknown, verdict.MayHaveRun)
			require.Empty(t, tag.String())
			require.EqualValues(t, 'I', conn.PgConn().TxStatus())
			require.Empty(t, conn.PgConn().ParameterStatus("hornbeamlock.floor"))
		})
	}
	t.Run("extended", func(t *testing.T) {
		conn := fx.connect("")
		_, err := conn.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES ($1, 'E')", 5)
		requireRefusal(t, err, verdict.CodeCompletionUnknown, verdict.MayHaveRun)
	})
	t.Run("copy", func(t *testing.T) {
		conn := fx.connect("")
		_, err := conn.PgConn().CopyFrom(context.Background(), strings.NewReader("6\tF\n"), "COPY passes FROM STDIN")
		requireRefusal(t, err, verdict.CodeCompletionUnknown, verdict.MayHaveRun)
	})
}

// TestCommitAtAPrimaryDemotedMeanwhile checks that a commit is confirmed also if its
// primary was demoted after the commit and reports that at the end of the response.
func TestCommitAtAPrimaryDemotedMeanwhile(t *testing.T) {
	for name, sql := range map[string][]string{
		"autocommit":  {"BEGIN", "ROLLBACK", "INSERT INTO passes (id, holder) VALUES (1, 'Anna')"},
		"transaction": {"BEGIN", "INSERT INTO passes (id, holder) VALUES (2, 'Bert')", "COMMIT"},
	} {
		t.Run(name, func(t *testing.T) {
			fx := newFaultFixture(t, options{})
			fx.groups.confirm = func(context.Context, position.Position) error { return context.DeadlineExceeded }
			conn := fx.connect("default_query_exec_mode=simple_protocol")
			require.Zero(t, count(t, conn))
			for _, before := range sql[:len(sql)-1] {
				exec(t, conn, before)
			}
			fx.injectFault(demotedAfterCommit)
			tag, err := conn.Exec(context.Background(), sql[len(sql)-1])
			requireRefusal(t, err, verdict.CodeCompletionUnknown, verdict.MayHaveRun)
			require.Empty(t, tag.String())
		})
	}
}

// TestPanicEndsOneSession checks that a panic while a request is served ends that session
// only, without a leak of its connection, and is logged.
func TestPanicEndsOneSession(t *testing.T) {
	core, lines := observer.New(zap.ErrorLevel)
	fx := newFixture(t, options{units: 1, gateway: func(cfg *gateway.Config) { cfg.Log = zap.New(core) }})
	conn, other := fx.connect(""), fx.connect("")
	for range 3 {
		var panicking atomic.Bool
		panicking.Store(true)
		fx.groups.confirm = func(context.Context, position.Position) error {
			if panicking.Swap(false) {
				panic("unexpected")
			}
			return nil
		}
		_, err := conn.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
		require.Error(t, err)
		require.True(t, conn.IsClosed())
		exec(t, other, "DELETE FROM passes")
		conn = fx.connect("")
	}
	require.Equal(t, 3, lines.FilterMessage(event.PanicContained.Text).Len())
}

// TestConnectionIsCleanForNextSession checks that an open transaction or a setting of
// one session does not reach the next session on the same connection.
func TestConnectionIsCleanForNextSession(t *testing.T) {
	cases := map[string]func(conn *pgx.Conn){
		"open transaction": func(conn *pgx.Conn) { conn.PgConn().Conn().Close() },
		"failed transaction": func(conn *pgx.Conn) {
			_, err := conn.Exec(context.Background(), "SELECT no_such_column FROM passes")
			require.Error(t, err)
			conn.PgConn().Conn().Close()
		},
		"setting in a transaction": func(conn *pgx.Conn) {
			exec(t, conn, "SET work_mem = '9MB'")
			conn.PgConn().Conn().Close()
		},
		"response in flight": func(conn *pgx.Conn) {
			conn.PgConn().Frontend().SendQuery(&pgproto3.Query{String: "SELECT pg_sleep(0.05)"})
			require.NoError(t, conn.PgConn().Frontend().Flush())
			conn.PgConn().Conn().Close()
		},
	}
	for name, leave := range cases {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t, options{units: 1})
			conn := fx.connect("")
			exec(t, conn, "BEGIN")
			exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
			leave(conn)
			next := fx.connect("default_query_exec_mode=simple_protocol")
			exec(t, next, "INSERT INTO passes (id, holder) VALUES (1, 'Bert')")
			_, err := next.Exec(context.Background(), "BEGIN; SHOW work_mem")
			require.Error(t, err)
			exec(t, next, "BEGIN")
			_, err = next.Exec(context.Background(), "SHOW work_mem")
			require.ErrorContains(t, err, "no such configuration parameter")
			exec(t, next, "ROLLBACK")
			require.Equal(t, 1, count(t, next))
			require.EqualValues(t, 1, fx.pools.OpenConnections()[fx.primary()])
		})
	}
}

// TestTimedOutRetryMayHaveRun checks that a statement whose first attempt may have run
// is never reported as not run, even if its second attempt certainly did not run.
func TestTimedOutRetryMayHaveRun(t *testing.T) {
	fx := newFaultFixture(t, options{})
	conn := fx.connect("hornbeamlock.timeout=1s hornbeamlock.idempotent=on default_query_exec_mode=simple_protocol")
	exec(t, conn, "DELETE FROM passes")
	fx.injectFault(responseLost)
	fx.admission.onRetry = func() {
		row, _ := fx.board.Groups.Get(service)
		row.Electing = true
		fx.board.Groups.Put(service, row)
	}
	_, err := conn.Exec(context.Background(), "INSERT INTO passes (id, holder) VALUES (7, 'Anna') ON CONFLICT DO NOTHING")
	requireRefusal(t, err, verdict.CodeCompletionUnknown, verdict.MayHaveRun)
}

// TestFailedPrepareCanBeRepeated checks that a statement whose Parse failed can be
// prepared again under the same name.
func TestFailedPrepareCanBeRepeated(t *testing.T) {
	fx := newFaultFixture(t, options{})
	conn := fx.connect("hornbeamlock.timeout=300ms")
	exec(t, conn, "DELETE FROM passes")
	const insert = "INSERT INTO passes (id, holder) VALUES ($1, 'Anna')"
	fx.injectFault(unresponsive)
	_, err := conn.PgConn().Prepare(context.Background(), "add", insert, nil)
	require.Error(t, err)
	_, err = conn.PgConn().Prepare(context.Background(), "add", insert, nil)
	require.NoError(t, err)
}

// TestReadOnlyTransactionAtAReplica checks that a replica known to have reached the
// floor serves a whole read-only transaction.
func TestReadOnlyTransactionAtAReplica(t *testing.T) {
	fx := newFixture(t, options{})
	conn := fx.connect("")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	require.NoError(t, fx.group.AwaitReplicated(testTimeout))
	fx.sample()
	exec(t, conn, "BEGIN READ ONLY")
	require.Equal(t, 1, count(t, conn))
	_, err := conn.Exec(context.Background(), "DELETE FROM passes")
	require.Error(t, err)
	exec(t, conn, "ROLLBACK")
	require.Zero(t, fx.pools.InFlight(fx.primary()))
	require.Zero(t, fx.counter("gateway_primary_reads_total"))
}
