package load

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

const floorParameter = "hornbeamlock.floor"

// Connection is a session's connection to the fleet.
type Connection interface {
	Exec(ctx context.Context, sql string, args ...any) (pgconn.CommandTag, error)
	QueryRow(ctx context.Context, sql string, args ...any) pgx.Row
	Close(ctx context.Context) error
	IsClosed() bool
	// Floor returns the last floor that the fleet reported, empty if none.
	Floor() string
}

// DialRequest describes the connection that a session needs.
type DialRequest struct {
	Organisation string
	Key          string
	Service      string
	// Instance increases with every reconnect; the instance is chosen modulo the
	// number of instances.
	Instance int
	Floor    string
}

// Dial opens a connection.
type Dial func(ctx context.Context, r DialRequest) (Connection, error)

// wireConnection is a connection over the PostgreSQL protocol.
type wireConnection struct {
	*pgx.Conn
}

// Floor implements Connection.
func (c wireConnection) Floor() string { return c.PgConn().ParameterStatus(floorParameter) }

// dialInstances returns a Dial that connects to the callers' addresses of instances.
func dialInstances(addresses []string) Dial {
	return func(ctx context.Context, r DialRequest) (Connection, error) {
		config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
			r.Organisation, r.Key, addresses[r.Instance%len(addresses)], r.Service))
		if err != nil {
			return nil, err
		}
		if r.Floor != "" {
			config.RuntimeParams[floorParameter] = r.Floor
		}
		ctx, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		conn, err := pgx.ConnectConfig(ctx, config)
		if err != nil {
			return nil, err
		}
		return wireConnection{conn}, nil
	}
}
