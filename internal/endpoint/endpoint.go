// Package endpoint is one connection to a database server. It raises the server's
// row of the blackboard's Endpoints table from the positions that answers bring.
// Its invariant: a connection is clean only when every answer asked for has been
// read to its ReadyForQuery outside a transaction; only a clean connection may
// serve another session.
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

// Parameters that the servers report.
const (
	parameterStandby  = "in_hot_standby"
	parameterPosition = "group_position"
	parameterHistory  = "group_history"
)

// Config describes a connection.
type Config struct {
	Service  *configv1.Service
	Endpoint *configv1.Endpoint
	Board    *blackboard.Board
	Log      *zap.Logger
	// Dial opens the transport; default is TCP with keep-alive.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ConnectTimeout bounds the opening of the connection; default 2 s.
	ConnectTimeout time.Duration
	// ResetTimeout bounds the cleaning of a connection; default 1 s.
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

// Conn is a connection. One goroutine uses it at a time; only Cancel, Interrupt
// and Close may be called by others.
type Conn struct {
	cfg      Config
	net      net.Conn
	wire     *pgproto3.Frontend
	peek     *peeker
	pid      uint32
	secret   []byte
	openedAt time.Time
	usedAt   time.Time

	status     byte
	pending    int  // answers asked for whose ReadyForQuery has not come
	unsynced   bool // extended messages were sent without a Sync
	writing    chan error
	broken     error
	tainted    bool
	position   position.Position
	history    position.History
	role       blackboard.Role
	settings   string
	prepared   prepared
	parameters map[string]string

	cancelling sync.WaitGroup // cancel requests under way
	cancelled  atomic.Bool    // one was sent since the last Restore
	closed     atomic.Bool
}

// Endpoint returns the id of the server.
func (c *Conn) Endpoint() string { return c.cfg.Endpoint.GetId() }

// Status is the transaction state at the last ReadyForQuery.
func (c *Conn) Status() byte { return c.status }

// Pending tells how many ReadyForQuery messages are still to come.
func (c *Conn) Pending() int { return c.pending }

// Position is the last position that the server told on this connection.
func (c *Conn) Position() position.Position { return c.position }

// Parameters are the parameters that the server reported, but for the group's.
func (c *Conn) Parameters() map[string]string { return c.parameters }

// Role is the role that the server told last.
func (c *Conn) Role() blackboard.Role { return c.role }

// UsedAt is when an answer last came.
func (c *Conn) UsedAt() time.Time { return c.usedAt }

// OpenedAt is when the connection was opened.
func (c *Conn) OpenedAt() time.Time { return c.openedAt }

// Err is why the connection can no longer be used; nil while it can.
func (c *Conn) Err() error {
	if c.broken == nil && c.closed.Load() {
		return net.ErrClosed
	}
	return c.broken
}

// Taint marks the session at the server as possibly changed by the statement.
func (c *Conn) Taint() { c.tainted = true }

// IsClean tells whether another session may use the connection as it is.
func (c *Conn) IsClean() bool {
	return c.Err() == nil && c.pending == 0 && !c.unsynced && !c.cancelled.Load() && c.status == StatusIdle && !c.tainted && c.writing == nil
}

// Close closes the connection at once. It may be called more than once.
func (c *Conn) Close() {
	if !c.closed.Swap(true) {
		c.net.Close()
	}
}

// Abort closes the connection and says why it can no longer be used.
func (c *Conn) Abort(err error) { _ = c.fail(err) }

// fail marks the connection as unusable and closes it.
func (c *Conn) fail(err error) error {
	if c.broken == nil {
		c.broken = err
	}
	c.Close()
	return err
}

// noteParameter keeps a reported parameter and raises the endpoint's row. It
// reports whether the parameter is one of the group's.
func (c *Conn) noteParameter(m *pgproto3.ParameterStatus) bool {
	switch m.Name {
	case parameterPosition:
		if p, err := position.Parse(m.Value); err == nil {
			c.position = p
			c.raise()
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

// raise lifts the endpoint's replay position. It never lowers it within one
// history, and leaves rows of another history to the group controller.
func (c *Conn) raise() {
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

// ParseHistory reads the form "1:0,2:57".
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
