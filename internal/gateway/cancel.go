package gateway

import (
	"context"
	"crypto/subtle"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
)

// runningStatement is the statement under way.
type runningStatement struct {
	// cancel ends its waiting.
	cancel context.CancelFunc
	// conn is where it runs; nil while it waits.
	conn *endpoint.Conn
	// cancelPoolWait ends the waiting for a connection to the primary; may be nil.
	cancelPoolWait context.CancelFunc
	// cancelled is true once a cancel request came: the statement is not tried again.
	cancelled bool
}

// beginStatement notes that a statement is under way and returns its context. That is no
// child of the server's, since its lock would be shared by all statements: cut
// ends the statement instead.
func (c *caller) beginStatement(ctx context.Context, deadline time.Time) context.Context {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningStatement = &runningStatement{cancel: cancel}
	if c.aborted {
		cancel()
	}
	return ctx
}

// endStatement notes that no statement is under way.
func (c *caller) endStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningStatement.cancel()
	c.runningStatement = nil
}

// attach notes where the statement runs. It reports false when the statement has
// been cancelled meanwhile.
func (c *caller) attach(conn *endpoint.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningStatement == nil {
		return true
	}
	if c.runningStatement.cancelled {
		return false
	}
	c.runningStatement.conn = conn
	return true
}

// detach must come before a connection is given back, so that a cancel request
// never reaches whoever uses it next.
func (c *caller) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningStatement != nil {
		c.runningStatement.conn = nil
	}
}

// wasCancelled tells whether the statement was cancelled, and whether that was
// because the instance cuts its callers.
func (c *caller) wasCancelled() (cancelled, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runningStatement != nil && c.runningStatement.cancelled, c.aborted
}

func (c *caller) isCancelled() bool {
	cancelled, _ := c.wasCancelled()
	return cancelled
}

// cancelStatement ends the statement under way: at the endpoint if it runs there,
// else by ending its waiting. Each request is passed on: one that reaches the endpoint
// before the statement has begun there, or not at all, has no effect.
func (c *caller) cancelStatement() {
	c.mu.Lock()
	r := c.runningStatement
	if r == nil {
		c.mu.Unlock()
		return
	}
	r.cancelled = true
	conn := r.conn
	if conn == nil {
		r.cancel()
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
