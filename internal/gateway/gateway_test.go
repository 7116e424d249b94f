package gateway_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

func TestAutocommitReadAndWrite(t *testing.T) {
	fx := newFixture(t, options{})
	conn := fx.connect("")
	exec(t, conn, "INSERT INTO passes (id, holder) VALUES ($1, $2)", 1, "Anna")
	fx.sample()
	require.Equal(t, 1, count(t, conn))
	require.NotEmpty(t, conn.PgConn().ParameterStatus("hornbeamlock.floor"))
	require.Positive(t, fx.counter("gateway_replica_reads_total"))
}

func TestTransaction(t *testing.T) {
	fx := newFixture(t, options{})
	conn := fx.connect("")
	ctx := context.Background()
	tx, err := conn.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO passes (id, holder) VALUES ($1, $2)", 1, "Anna")
	require.NoError(t, err)
	require.NoError(t, tx.Commit(ctx))
	tx, err = conn.Begin(ctx)
	require.NoError(t, err)
	_, err = tx.Exec(ctx, "INSERT INTO passes (id, holder) VALUES (2, 'Bert')")
	require.NoError(t, err)
	require.NoError(t, tx.Rollback(ctx))
	require.Equal(t, 1, count(t, conn))
}

func TestDriversDetectWritableServer(t *testing.T) {
	fx := newFixture(t, options{})
	for _, attributes := range []string{"read-write", "primary"} {
		exec(t, fx.connect("target_session_attrs="+attributes), "DELETE FROM passes")
	}
}

func TestLogin(t *testing.T) {
	fx := newFixture(t, options{})
	cases := []struct{ name, change, code string }{
		{"wrong secret", "password=hbl_k1_wrong", verdict.CodeInvalidPassword},
		{"unknown key", "password=hbl_k9_wrong", verdict.CodeInvalidPassword},
		{"no key at all", "password=x", verdict.CodeInvalidPassword},
		{"another organisation's key", "user=beta", verdict.CodeInvalidPassword},
		{"no such service", "dbname=other", verdict.CodeUnknownDatabase},
		{"malformed floor", "hornbeamlock.floor=1", verdict.CodeInvalidParameter},
		{"unknown parameter", "role=admin", verdict.CodeFeatureNotSupported},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := pgx.Connect(context.Background(), fx.dsn(c.change))
			requireRefusal(t, err, c.code, verdict.NotRun)
		})
	}
}
