package gateway_test

import (
	"context"
	"net"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"
)

// Statements sent directly to the stand-in and through the gateway; the difference is
// the gateway's overhead.
var benchmarked = []struct {
	name, sql string
	args      []any
}{
	{"prepared read", "SELECT holder FROM passes WHERE id = $1", []any{1}},
	{"simple read", "SELECT holder FROM passes WHERE id = 1", nil},
	{"prepared write", "UPDATE passes SET holder = 'Bert' WHERE id = $1", []any{1}},
}

func BenchmarkDirect(b *testing.B) {
	fx := newFixture(b, options{})
	exec(b, fx.connect(""), "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	host, port, err := net.SplitHostPort(fx.group.Primary().Address())
	require.NoError(b, err)
	dsn := "host=" + host + " port=" + port + " user=" + fx.group.Username() + " password=" + fx.group.Password() + " dbname=x sslmode=disable"
	for _, s := range benchmarked {
		b.Run(s.name, func(b *testing.B) { benchmark(b, dsn, s.sql, s.args) })
	}
}

func BenchmarkGateway(b *testing.B) {
	fx := newFixture(b, options{units: 16})
	exec(b, fx.connect(""), "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	require.NoError(b, fx.group.AwaitReplicated(testTimeout))
	fx.sample()
	for _, s := range benchmarked {
		b.Run(s.name, func(b *testing.B) { benchmark(b, fx.dsn(""), s.sql, s.args) })
	}
}

// BenchmarkGatewayParallel runs many callers at once, for the mutex profile.
func BenchmarkGatewayParallel(b *testing.B) {
	fx := newFixture(b, options{units: 16})
	exec(b, fx.connect(""), "INSERT INTO passes (id, holder) VALUES (1, 'Anna')")
	require.NoError(b, fx.group.AwaitReplicated(testTimeout))
	fx.sample()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		conn, err := pgx.Connect(context.Background(), fx.dsn(""))
		if err != nil {
			b.Error(err)
			return
		}
		defer conn.Close(context.Background())
		for pb.Next() {
			if _, err := conn.Exec(context.Background(), benchmarked[0].sql, benchmarked[0].args...); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

func benchmark(b *testing.B, dsn, sql string, args []any) {
	conn, err := pgx.Connect(context.Background(), dsn)
	require.NoError(b, err)
	defer conn.Close(context.Background())
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Exec(context.Background(), sql, args...); err != nil {
			b.Fatal(err)
		}
	}
}
