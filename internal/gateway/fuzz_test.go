package gateway_test

import (
	"context"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/gateway"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/pool"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// noPools is a stub pool without connections.
type noPools struct{}

func (noPools) Acquire(context.Context, pool.Request) (*pool.Lease, error) {
	return nil, verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "none")
}

func (noPools) InFlight(string) int { return 0 }

// FuzzCaller sends arbitrary bytes after a login. The gateway must neither panic nor
// hang and has to respond with well-formed messages.
func FuzzCaller(f *testing.F) {
	encode := func(messages ...pgproto3.FrontendMessage) (encoded []byte) {
		for _, m := range messages {
			encoded, _ = m.Encode(encoded)
		}
		return encoded
	}
	f.Add(encode(&pgproto3.Query{String: "SET hornbeamlock.floor = '1/2'"}, &pgproto3.Query{String: "SELECT 1"}))
	f.Add(encode(&pgproto3.Parse{Name: "a", Query: "SHOW hornbeamlock.floor"}, &pgproto3.Bind{PreparedStatement: "a"},
		&pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Execute{}, &pgproto3.Close{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}))
	f.Add(encode(&pgproto3.Bind{PreparedStatement: "b"}, &pgproto3.Flush{}, &pgproto3.Sync{}, &pgproto3.CopyData{}, &pgproto3.Terminate{}))
	dial := openServer(f)
	f.Fuzz(func(t *testing.T, input []byte) {
		conn, err := dial()
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		go func() {
			_, _ = conn.Write(encode(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "anybody", "database": service}}))
			_, _ = conn.Write(input)
			_, _ = conn.Write(encode(&pgproto3.Terminate{}))
			conn.(interface{ CloseWrite() error }).CloseWrite()
		}()
		front := pgproto3.NewFrontend(conn, conn)
		for {
			if _, err := front.Receive(); err != nil {
				require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
				require.NotContains(t, err.Error(), "unknown message")
				return
			}
		}
	})
}

// openServer starts a server with an open service that has no endpoints, and returns a
// function that connects to it.
func openServer(f *testing.F) func() (net.Conn, error) {
	board := blackboard.NewBoard()
	board.Configuration.Set(fleetconfig.Compile(&configv1.Configuration{Services: []*configv1.Service{{Name: service, OpenToAll: true}}}))
	board.Lease.Set(blackboard.ServingLease{Lease: lease.StartingAt(time.Hour, time.Hour)})
	server, err := gateway.New(gateway.Config{
		Board: board, Groups: &groups{board: board}, Pools: noPools{}, Admission: &admission{},
		Clock: func() time.Duration { return time.Hour }, StatementTimeout: time.Millisecond,
	})
	require.NoError(f, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f, err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	f.Cleanup(func() {
		cancel()
		require.NoError(f, <-served)
	})
	return func() (net.Conn, error) { return net.Dial("tcp", listener.Addr().String()) }
}
