package gateway

import (
	"context"
	"crypto/subtle"
	"errors"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
)

// errCancelled is the cause of a context that a cancel request ended.
var errCancelled = errors.New("gateway: cancelled on request")

// running is the statement under way.
type running struct {
	// stop ends its waiting.
	stop context.CancelCauseFunc
	// conn is where it runs; nil while it waits.
	conn *endpoint.Conn
	// cancelled is true once a cancel request came; it is not repeated then.
	cancelled bool
}

// start notes that a statement is under way, and returns its context and what
// ends it.
func (c *caller) start(ctx context.Context) (context.Context, func()) {
	ctx, stop := context.WithCancelCause(ctx)
	c.mu.Lock()
	c.running = &running{stop: stop}
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		c.running = nil
		c.mu.Unlock()
		stop(nil)
	}
}

// attach notes where the statement runs. It reports false when the statement has
// been cancelled meanwhile.
func (c *caller) attach(conn *endpoint.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		return true
	}
	if c.running.cancelled {
		return false
	}
	c.running.conn = conn
	return true
}

// detach must come before a connection is given back, so that a cancel request
// never reaches whoever uses it next.
func (c *caller) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil {
		c.running.conn = nil
	}
}

// wasCancelled tells whether a cancel request came for the statement.
func (c *caller) wasCancelled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running != nil && c.running.cancelled
}

// cancelStatement ends the statement under way: at the endpoint if it runs there,
// else by ending its waiting.
func (c *caller) cancelStatement() {
	c.mu.Lock()
	r := c.running
	if r == nil || r.cancelled {
		c.mu.Unlock()
		return
	}
	r.cancelled = true
	conn := r.conn
	if conn == nil {
		r.stop(errCancelled)
		c.mu.Unlock()
		return
	}
	conn.HoldForCancel()
	c.mu.Unlock()
	_ = conn.Cancel(context.Background())
}

// cancel handles a cancel request, which comes over a connection of its own.
func (s *Server) cancel(id uint32, secret []byte) {
	c := s.callers.get(id)
	if c == nil || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return
	}
	c.cancelStatement()
}
