package gateway_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"database/sql"
	"errors"
	"fmt"
	"math"
	"math/big"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/stdlib"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/gateway"
	"github.com/hornbeamlock/hornbeamlock/internal/pool"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

func TestQueryModes(t *testing.T) {
	fx := newFixture(t, options{})
	for _, mode := range []pgx.QueryExecMode{
		pgx.QueryExecModeCacheStatement, pgx.QueryExecModeCacheDescribe, pgx.QueryExecModeDescribeExec,
		pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
	} {
		t.Run(mode.String(), func(t *testing.T) {
			conn := fx.connect("")
			for i := range 4 {
				exec(t, conn, "INSERT INTO passes (id, holder) VALUES ($1, $2)", mode, int64(100*int(mode)+i), "Anna")
				fx.sample()
				var holder string
				row := conn.QueryRow(context.Background(), "SELECT holder FROM passes WHERE id = $1", mode, int64(100*int(mode)+i))
				require.NoError(t, row.Scan(&holder))
				require.Equal(t, "Anna", holder)
			}
		})
	}
}

func TestPreparedStatementsByName(t *testing.T) {
	fx := newFixture(t, options{units: 2})
	ctx := context.Background()
	first, second := fx.connect(""), fx.connect("")
	for _, conn := range []*pgx.Conn{first, second} {
		_, err := conn.Prepare(ctx, "find", "SELECT count(*) FROM passes WHERE id > $1")
		require.NoError(t, err)
	}
	_, err := second.PgConn().Prepare(ctx, "find", "SELECT 2", nil)
	requireRefusal(t, err, verdict.CodeDuplicatePreparedStmt, verdict.NotRun)
	exec(t, first, "DEALLOCATE find")
	require.Error(t, first.PgConn().ExecPrepared(ctx, "find", [][]byte{[]byte("0")}, nil, nil).Read().Err)
	_, err = first.PgConn().Prepare(ctx, "find", "SELECT 7", nil)
	require.NoError(t, err)
	result := first.PgConn().ExecPrepared(ctx, "find", nil, nil, nil).Read()
	require.NoError(t, result.Err)
	require.Equal(t, "7", string(result.Rows[0][0]))
	var n int
	require.NoError(t, second.QueryRow(ctx, "find", 0).Scan(&n))
	require.Zero(t, n)
}

func TestDatabaseSQL(t *testing.T) {
	fx := newFixture(t, options{})
	config, err := pgx.ParseConfig(fx.dsn(""))
	require.NoError(t, err)
	db := stdlib.OpenDB(*config)
	defer db.Close()
	db.SetMaxOpenConns(3)
	statement, err := db.Prepare("INSERT INTO passes (id, holder) VALUES ($1, $2)")
	require.NoError(t, err)
	for i := range 5 {
		_, err := statement.Exec(i, "Anna")
		require.NoError(t, err)
	}
	tx, err := db.BeginTx(context.Background(), &sql.TxOptions{ReadOnly: true})
	require.NoError(t, err)
	_, err = tx.Exec("DELETE FROM passes")
	require.Error(t, err)
	require.NoError(t, tx.Rollback())
	require.NoError(t, statement.Close())
}

func TestCopy(t *testing.T) {
	// On a busy machine, 5000 rows take longer than the default statement timeout.
	fx := newFixture(t, options{gateway: func(c *gateway.Config) { c.StatementTimeout = time.Minute }})
	conn := fx.connect("")
	ctx := context.Background()
	const rows = 5000
	var in, out bytes.Buffer
	for i := range rows {
		fmt.Fprintf(&in, "%d\t%s\n", i, strings.Repeat("x", 50))
	}
	want := in.String()
	tag, err := conn.PgConn().CopyFrom(ctx, &in, "COPY passes (id, holder) FROM STDIN")
	require.NoError(t, err)
	require.EqualValues(t, rows, tag.RowsAffected())
	require.Equal(t, rows, count(t, conn))
	_, err = conn.PgConn().CopyTo(ctx, &out, "COPY passes TO STDOUT")
	require.NoError(t, err)
	require.Equal(t, want, out.String())
	_, err = conn.PgConn().CopyFrom(ctx, strings.NewReader("not\ta\trow\n"), "COPY passes FROM STDIN")
	require.Error(t, err)
	require.Equal(t, rows, count(t, conn))
}

func TestBatchAndPipeline(t *testing.T) {
	fx := newFixture(t, options{})
	conn := fx.connect("")
	ctx := context.Background()
	batch := &pgx.Batch{}
	for i := range 50 {
		batch.Queue("INSERT INTO passes (id, holder) VALUES ($1, $2)", i, "Anna")
	}
	batch.Queue("SELECT count(*) FROM passes")
	results := conn.SendBatch(ctx, batch)
	for range 50 {
		_, err := results.Exec()
		require.NoError(t, err)
	}
	var n int
	require.NoError(t, results.QueryRow().Scan(&n))
	require.Equal(t, 50, n)
	require.NoError(t, results.Close())
	require.EqualValues(t, 51, fx.admission.admitted.Load())

	pipeline := conn.PgConn().StartPipeline(ctx)
	pipeline.SendQueryParams("INSERT INTO passes (id, holder) VALUES (1000, 'Bert')", nil, nil, nil, nil)
	pipeline.SendFlushRequest()
	require.NoError(t, pipeline.Flush())
	first, err := pipeline.GetResults()
	require.NoError(t, err)
	_, err = first.(*pgconn.ResultReader).Close()
	require.NoError(t, err)
	pipeline.SendQueryParams("SELECT no_such_column FROM passes", nil, nil, nil, nil)
	require.NoError(t, pipeline.Sync())
	for err = nil; err == nil; {
		var got any
		if got, err = pipeline.GetResults(); err == nil && got != nil {
			if reader, ok := got.(*pgconn.ResultReader); ok {
				_, err = reader.Close()
			}
		}
	}
	require.ErrorContains(t, err, "no_such_column")
	require.NoError(t, pipeline.Close())
	count(t, conn)
}

func TestCancelRunningStatement(t *testing.T) {
	fx := newFixture(t, options{units: 1})
	for _, sql := range []string{"SELECT pg_sleep(30)", "INSERT INTO passes (id, holder) SELECT 7, pg_sleep(30)"} {
		conn := fx.connect("")
		done := make(chan error, 1)
		go func() {
			_, err := conn.Exec(context.Background(), sql)
			done <- err
		}()
		// The cancel request is repeated until the statement is running.
		for waiting := true; waiting; {
			require.NoError(t, conn.PgConn().CancelRequest(context.Background()))
			select {
			case err := <-done:
				var reported *pgconn.PgError
				require.ErrorAs(t, err, &reported)
				require.Equal(t, verdict.CodeQueryCanceled, reported.Code)
				waiting = false
			case <-time.After(20 * time.Millisecond):
			}
		}
		require.Zero(t, count(t, conn))
	}
}

// TestRepeatedCancelIsForwarded covers a cancel request that has no effect at the
// endpoint: the caller's next request has to be forwarded as well.
func TestRepeatedCancelIsForwarded(t *testing.T) {
	var lost atomic.Int64
	fx := newFixture(t, options{units: 1, pool: func(c *pool.Config) {
		dial := c.Dial
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			if lost.Add(-1) == 0 {
				return nil, errors.New("the cancel request is lost")
			}
			return dial(ctx, address)
		}
	}})
	conn := fx.connect("")
	require.Zero(t, count(t, conn))
	done := make(chan error, 1)
	go func() {
		_, err := conn.Exec(context.Background(), "SELECT pg_sleep(30)")
		done <- err
	}()
	fx.awaitInFlight(1)
	time.Sleep(200 * time.Millisecond) // long enough for it to run at the endpoint
	lost.Store(1)
	require.NoError(t, conn.PgConn().CancelRequest(context.Background()))
	require.Eventually(t, func() bool { return lost.Load() <= 0 }, testTimeout, time.Millisecond)
	var reported *pgconn.PgError
	require.Eventually(t, func() bool {
		require.NoError(t, conn.PgConn().CancelRequest(context.Background()))
		select {
		case err := <-done:
			return errors.As(err, &reported)
		case <-time.After(20 * time.Millisecond):
			return false
		}
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, verdict.CodeQueryCanceled, reported.Code)
}

func TestSettings(t *testing.T) {
	fx := newFixture(t, options{units: 1})
	a := fx.connect("options='-c work_mem=1MB -c hornbeamlock.timeout=5s'")
	b := fx.connect("")
	show := func(conn *pgx.Conn, name string) (value string) {
		require.NoError(t, conn.QueryRow(context.Background(), "SHOW "+name, pgx.QueryExecModeSimpleProtocol).Scan(&value))
		return value
	}
	require.Equal(t, "1MB", show(a, "work_mem"))
	_, err := b.Exec(context.Background(), "SHOW work_mem")
	require.Error(t, err, "a setting of one session is visible in another")
	require.Equal(t, "5s", show(a, "hornbeamlock.timeout"))
	exec(t, a, "SET work_mem = '2MB'")
	require.Equal(t, "2MB", show(a, "work_mem"))
	exec(t, a, "BEGIN")
	exec(t, a, "SET work_mem = '3MB'")
	exec(t, a, "ROLLBACK")
	require.Equal(t, "2MB", show(a, "work_mem"))
	exec(t, a, "SET hornbeamlock.max_staleness = '2s'")
	require.Equal(t, "2s", show(a, "hornbeamlock.max_staleness"))
	exec(t, a, "DISCARD ALL")
	require.Equal(t, "0s", show(a, "hornbeamlock.timeout"))
	_, err = a.Exec(context.Background(), "SET hornbeamlock.floor = 'x'")
	require.Contains(t, requireRefusal(t, err, verdict.CodeInvalidParameter, verdict.NotRun).Message, "hornbeamlock.floor")
	_, err = a.Exec(context.Background(), "LISTEN gates")
	requireRefusal(t, err, verdict.CodeFeatureNotSupported, verdict.NotRun)
}

func TestTLS(t *testing.T) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	require.NoError(t, err)
	fx := newFixture(t, options{gateway: func(c *gateway.Config) {
		c.TLS = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: private}}}
	}})
	conn := fx.connect("sslmode=require")
	require.Zero(t, count(t, conn))
}

// TestLargeResultIsStreamed checks that a result far larger than all buffers passes
// through the process without much memory growth.
func TestLargeResultIsStreamed(t *testing.T) {
	fx := newFixture(t, options{})
	conn := fx.connect("")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES (1, '"+strings.Repeat("x", 1000)+"')")
	const rows = 50_000 // of 1 kB
	query := "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < 50000) SELECT holder FROM passes, n"
	before := liveHeap()
	reader := conn.PgConn().Exec(context.Background(), query)
	seen, peak := 0, uint64(0)
	for reader.NextResult() {
		for reader.ResultReader().NextRow() {
			if seen++; seen%5_000 == 0 {
				peak = max(peak, liveHeap())
			}
		}
	}
	require.NoError(t, reader.Close())
	require.Equal(t, rows, seen)
	require.Less(t, peak, before+8<<20)
}

// liveHeap returns the size of the heap that survives a collection. The stand-in, in the same
// process, goes on allocating until the sockets to the waiting client are full, so the least of
// several samples is taken. What is held for the client is part of each of them.
func liveHeap() uint64 {
	least := uint64(math.MaxUint64)
	for range 10 {
		time.Sleep(2 * time.Millisecond)
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		least = min(least, stats.HeapAlloc)
	}
	return least
}
