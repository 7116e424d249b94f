package gateway

import (
	"context"
	"crypto/subtle"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
)

// runningStatement is the statement in flight.
type runningStatement struct {
	// cancel ends the statement's context.
	cancel context.CancelFunc
	// conn is the connection that runs the statement; nil while it waits.
	conn *endpoint.Conn
	// cancelPoolWait ends the wait for a connection to the primary; may be nil.
	cancelPoolWait context.CancelFunc
	// cancelled is true once the statement is cancelled; it is not retried then.
	cancelled bool
}

// beginStatement registers a statement in flight and returns its context. The context
// is not a child of the server's, because all statements would contend for the parent's
// lock; abort ends the statement instead.
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

// endStatement unregisters the statement in flight.
func (c *caller) endStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runningStatement.cancel()
	c.runningStatement = nil
}

// attach records the connection that runs the statement. It returns false if the
// statement has been cancelled meanwhile.
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

// detach must be called before the connection is released, so that a cancel request
// never reaches the connection's next user.
func (c *caller) detach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runningStatement != nil {
		c.runningStatement.conn = nil
	}
}

// wasCancelled reports whether the statement was cancelled, and whether the caller's
// connection was aborted because the instance stops serving.
func (c *caller) wasCancelled() (cancelled, shutdown bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runningStatement != nil && c.runningStatement.cancelled, c.aborted
}

func (c *caller) isCancelled() bool {
	cancelled, _ := c.wasCancelled()
	return cancelled
}

// cancelStatement cancels the statement in flight: at the endpoint if it runs there,
// otherwise by ending its context. Every request is forwarded, because one that reaches
// the endpoint before the statement has started there, or is lost, has no effect.
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

// cancel handles a cancel request, which arrives on a connection of its own.
func (s *Server) cancel(id uint32, secret []byte) {
	c := s.callers.get(id)
	if c == nil || subtle.ConstantTimeCompare(c.secret, secret) != 1 {
		return
	}
	c.cancelStatement()
}
