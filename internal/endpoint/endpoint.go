// Package endpoint implements a connection to a database server. It advances the
// server's row in the blackboard's Endpoints table by the positions in responses.
// Its invariant: a connection is clean only when every requested response has been
// read to its ReadyForQuery outside a transaction; only a clean connection may serve
// another session.
package endpoint

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Transaction states of ReadyForQuery.
const (
	StatusIdle              byte = 'I'
	StatusInTransaction     byte = 'T'
	StatusFailedTransaction byte = 'E'
)

// Parameters reported by the servers.
const (
	parameterStandby  = "in_hot_standby"
	parameterPosition = "group_position"
	parameterHistory  = "group_history"
)

// Config configures a connection.
type Config struct {
	Service  *configv1.Service
	Endpoint *configv1.Endpoint
	Board    *blackboard.Board
	Log      *zap.Logger
	// Dial opens the transport; the default is TCP with keep-alive.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ConnectTimeout bounds the opening of the connection; default 2 s.
	ConnectTimeout time.Duration
	// ResetTimeout bounds Reset; default 1 s.
	ResetTimeout time.Duration
}

// CheckAndSetDefaults validates the configuration.
func (c *Config) CheckAndSetDefaults() error {
	if c.Service == nil || c.Endpoint == nil || c.Board == nil {
		return trace.BadParameter("endpoint: Service, Endpoint and Board are required")
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Dial == nil {
		c.Dial = dial
	}
	if c.ConnectTimeout <= 0 {
		c.ConnectTimeout = 2 * time.Second
	}
	if c.ResetTimeout <= 0 {
		c.ResetTimeout = time.Second
	}
	return nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 10 * time.Second, Interval: 3 * time.Second, Count: 3,
	}}
	return dialer.DialContext(ctx, "tcp", address)
}

// Conn is a connection to a database server. It is used by one goroutine at a time;
// only HoldForCancel, Cancel and Close may be called by others.
type Conn struct {
	cfg    Config
	net    net.Conn
	wire   *pgproto3.Frontend
	peek   *peeker
	pid    uint32
	secret []byte
	usedAt time.Time

	status     byte
	pending    int  // requested responses whose ReadyForQuery has not arrived
	unsynced   bool // extended-protocol messages were sent without a Sync
	writeDone  chan error
	failure    error
	tainted    bool
	position   position.Position
	history    position.History
	role       blackboard.Role
	settings   string
	prepared   prepared
	parameters map[string]string

	cancelling sync.WaitGroup // cancel requests in flight
	cancelled  atomic.Bool    // a cancel request was announced since the last Reset
	closed     atomic.Bool
}

// Endpoint returns the endpoint's id.
func (c *Conn) Endpoint() string { return c.cfg.Endpoint.GetId() }

// Status returns the transaction state of the last ReadyForQuery.
func (c *Conn) Status() byte { return c.status }

// Pending returns the number of outstanding ReadyForQuery messages.
func (c *Conn) Pending() int { return c.pending }

// Position returns the last position that the server reported on this connection.
func (c *Conn) Position() position.Position { return c.position }

// Parameters returns the parameters reported by the server, except those of the group.
func (c *Conn) Parameters() map[string]string { return c.parameters }

// Role returns the role that the server reported last.
func (c *Conn) Role() blackboard.Role { return c.role }

// UsedAt returns the time of the last ReadyForQuery, or that of the connection's
// opening.
func (c *Conn) UsedAt() time.Time { return c.usedAt }

// Err returns why the connection can no longer be used; nil while it can.
func (c *Conn) Err() error {
	if c.failure == nil && c.closed.Load() {
		return net.ErrClosed
	}
	return c.failure
}

// Taint marks the server's session state as possibly changed by a statement, so that
// Reset discards it.
func (c *Conn) Taint() { c.tainted = true }

// IsClean reports whether another session may use the connection without Reset.
func (c *Conn) IsClean() bool {
	return c.Err() == nil && c.pending == 0 && !c.unsynced && !c.cancelled.Load() && c.status == StatusIdle && !c.tainted && c.writeDone == nil
}

// Close closes the connection at once. It may be called more than once.
func (c *Conn) Close() {
	if !c.closed.Swap(true) {
		c.net.Close()
	}
}

// Abort closes the connection and records why, for Err.
func (c *Conn) Abort(err error) { _ = c.fail(err) }

// fail marks the connection as unusable and closes it.
func (c *Conn) fail(err error) error {
	if c.failure == nil {
		c.failure = err
	}
	c.Close()
	return err
}

// recordParameter records a reported parameter and advances the endpoint's row. It
// reports whether the parameter is one of the group's.
func (c *Conn) recordParameter(m *pgproto3.ParameterStatus) bool {
	switch m.Name {
	case parameterPosition:
		if p, err := position.Parse(m.Value); err == nil {
			c.position = p
			c.advanceReplayed()
		}
	case parameterHistory:
		if h, err := ParseHistory(m.Value); err == nil {
			c.history = h
		}
	case parameterStandby:
		c.role = blackboard.RolePrimary
		if m.Value == "on" {
			c.role = blackboard.RoleReplica
		}
	default:
		c.parameters[m.Name] = m.Value
		return false
	}
	return true
}

// advanceReplayed advances the endpoint's replay position on the blackboard. It never
// lowers it within one history, and leaves rows of another history to the group
// controller.
func (c *Conn) advanceReplayed() {
	id := c.Endpoint()
	if row, ok := c.cfg.Board.Endpoints.Get(id); !ok || !row.Replayed.Less(c.position) {
		return
	}
	c.cfg.Board.Endpoints.Update(id, func(row blackboard.Endpoint, exists bool) (blackboard.Endpoint, bool) {
		if !exists || !row.Replayed.Less(c.position) || !row.History.Contains(c.position) {
			return row, false
		}
		row.Replayed = c.position
		return row, true
	})
}

// ParseHistory parses a history such as "1:0,2:57", a list of term and offset.
func ParseHistory(text string) (position.History, error) {
	var history position.History
	for start := 0; start < len(text); {
		end := start
		for end < len(text) && text[end] != ',' {
			end++
		}
		entry, err := parseTermStart(text[start:end])
		if err != nil {
			return nil, trace.Wrap(err)
		}
		history = append(history, entry)
		start = end + 1
	}
	return history, nil
}

func parseTermStart(text string) (position.TermStart, error) {
	for i := range len(text) {
		if text[i] != ':' {
			continue
		}
		term, termErr := strconv.ParseUint(text[:i], 10, 64)
		offset, offsetErr := strconv.ParseUint(text[i+1:], 10, 64)
		if termErr == nil && offsetErr == nil {
			return position.TermStart{Term: term, Offset: offset}, nil
		}
	}
	return position.TermStart{}, trace.BadParameter("history entry %q is malformed", text)
}
