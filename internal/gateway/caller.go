package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/pool"
	"github.com/hornbeamlock/hornbeamlock/internal/session"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// codeIdleTransaction is reported to a caller whose transaction was idle for too long.
const codeIdleTransaction = "25P03"

// codeTooLarge is reported for a request that is too large.
const codeTooLarge = "54000"

// maxLoginBytes limits the messages of a caller that has not logged in yet.
const maxLoginBytes = 10_000

// caller is one connection from an application. Its goroutine owns all fields except
// those marked otherwise.
type caller struct {
	server    *Server
	id        uint32
	secret    []byte
	transport net.Conn // as accepted; other goroutines may set its deadlines and close it
	conn      net.Conn // transport, or TLS over it
	encrypted bool
	wire      *pgproto3.Backend
	responses responses
	identity  atomic.Pointer[identity] // nil until logged in

	// spawn runs a function in another goroutine, which Serve waits for.
	spawn func(func() error)

	state         *session.State
	reportedFloor string
	batch         batch
	// scratch is a buffer reused for encoding requests.
	scratch []byte
	// skipUntilSync discards extended-protocol messages until Sync, after an error.
	skipUntilSync bool

	// lease holds the connection of the running transaction, or nil.
	lease     *pool.Lease
	atReplica bool
	// awaitingSync is true while lease is held only until the Sync of a batch.
	awaitingSync bool
	// wrote is true if the running transaction may have written.
	wrote bool
	// term is the term of the primary that runs the transaction.
	term uint64
	// registeredAtPrimary is true while the server's primaryCallers contain the statement.
	registeredAtPrimary bool
	// inFailedTransaction is true after the proxy has ended the transaction and until the
	// caller ends it.
	inFailedTransaction bool

	interrupted      atomic.Bool
	mu               sync.Mutex
	runningStatement *runningStatement // guarded by mu; the statement in flight
	aborted          bool              // guarded by mu; no further statement may start
}

func newCaller(s *Server, transport net.Conn) *caller {
	c := &caller{server: s, transport: transport, state: session.New()}
	c.setTransport(transport)
	return c
}

func (c *caller) setTransport(conn net.Conn) {
	c.conn = conn
	c.wire = pgproto3.NewBackend(conn, conn)
	c.wire.SetMaxBodyLen(maxLoginBytes)
	c.responses = responses{conn: conn, timeout: c.server.cfg.WriteTimeout, held: nothingHeld}
}

// serve runs the whole session.
func (c *caller) serve(ctx context.Context) {
	if err := c.startup(); err != nil {
		c.fatal(err)
		return
	}
	for c.serveMessage(ctx) {
	}
}

// serveMessage handles one message. It returns false at the end of the session.
func (c *caller) serveMessage(ctx context.Context) bool {
	c.armReadDeadline()
	if reason := c.endReason(); reason != nil {
		c.endSession(reason)
		return false
	}
	message, err := c.wire.Receive()
	if err != nil {
		return c.handleReceiveError(err)
	}
	return c.dispatch(ctx, message) == nil
}

// armReadDeadline sets the read deadline for the next message. endReason handles an
// interruption that came before this call; a later one ends the read.
func (c *caller) armReadDeadline() {
	switch {
	case c.lease != nil:
		_ = c.transport.SetReadDeadline(time.Now().Add(c.server.cfg.IdleTransactionTimeout))
	case c.interrupted.Swap(false):
		_ = c.transport.SetReadDeadline(time.Time{})
	}
}

// interrupt makes the caller's goroutine check whether the session has to end.
func (c *caller) interrupt() {
	c.interrupted.Store(true)
	_ = c.transport.SetReadDeadline(time.Unix(1, 0))
}

// endReason returns why the session must end now, or nil. Draining ends it only outside
// a transaction.
func (c *caller) endReason() *verdict.Error {
	if reason := c.server.revocationReason(c.identity.Load()); reason != nil {
		return reason
	}
	if c.server.isDraining() && c.lease == nil && !c.inFailedTransaction && c.batch.empty() && !c.skipUntilSync {
		return verdict.New(verdict.NotRun, verdict.CodeAdminShutdown, "this instance is shutting down")
	}
	return nil
}

// handleReceiveError handles a failed read: an interruption, an idle transaction, a
// message over the size limit or the end of the connection. It returns false at the end
// of the session.
func (c *caller) handleReceiveError(err error) bool {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		if c.lease != nil && !c.interrupted.Load() {
			c.fatal(verdict.New(verdict.NotRun, codeIdleTransaction, "the transaction was idle for too long and was rolled back"))
			return false
		}
		c.interrupted.Store(true)
		return true
	case errors.As(err, &tooLong):
		c.fatal(verdict.New(verdict.NotRun, codeTooLarge, "the message is larger than %d bytes", c.server.cfg.MaxRequestBytes))
	}
	return false
}

// dispatch handles a message. An error ends the session; nothing more is sent to the
// caller.
func (c *caller) dispatch(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Query:
		return c.handle(ctx, newQuery(m.String))
	case *pgproto3.Sync:
		return c.runBatch(ctx, true)
	case *pgproto3.Flush:
		return c.runBatch(ctx, false)
	case *pgproto3.Parse, *pgproto3.Bind, *pgproto3.Describe, *pgproto3.Execute, *pgproto3.Close:
		c.collect(message)
		return nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// Remaining messages of a COPY that has failed.
		return nil
	case *pgproto3.Terminate:
		return errSessionEnded
	default:
		c.fatal(verdict.New(verdict.NotRun, verdict.CodeProtocolViolation, "unsupported message %T", message))
		return errSessionEnded
	}
}

// status returns the transaction status reported to the caller.
func (c *caller) status() byte {
	switch {
	case c.inFailedTransaction:
		return 'E'
	case c.lease != nil:
		return c.lease.Conn.Status()
	default:
		return 'I'
	}
}

// addReadyForQuery completes a response.
func (c *caller) addReadyForQuery() { c.responses.add(&pgproto3.ReadyForQuery{TxStatus: c.status()}) }

// endSession ends the session of a logged-in caller and reports the reason.
func (c *caller) endSession(reason *verdict.Error) {
	identity := c.identity.Load()
	event.CallerEnded.Emit(c.server.cfg.Log, zap.String("key_id", identity.keyID),
		zap.String("service", identity.service), zap.String("reason", reason.Message))
	c.fatal(reason)
}

// fatal reports to the caller why its connection ends.
func (c *caller) fatal(err error) {
	if errors.Is(err, errSessionEnded) {
		return
	}
	reported := verdict.As(err, verdict.NotRun)
	c.server.metrics.refused.Add(reported.Verdict.String(), 1)
	c.responses.add(errorResponse(reported, severityFatal))
	_ = c.responses.flush()
}

// refuseConnection rejects a caller before it has authenticated.
func (c *caller) refuseConnection(reason *verdict.Error) {
	defer c.transport.Close()
	_ = c.transport.SetDeadline(time.Now().Add(c.server.cfg.StartupTimeout))
	if _, err := c.startupMessage(); err == nil {
		c.fatal(reason)
	}
}

// close closes the connection and rolls back an open transaction.
func (c *caller) close() {
	c.releaseLease()
	c.transport.Close()
}

// abort closes the connection immediately; it is called from other goroutines.
func (c *caller) abort() {
	c.transport.Close()
	c.mu.Lock()
	c.aborted = true
	c.mu.Unlock()
	c.cancelStatement()
}

// releaseLease returns the transaction's connection to the pool.
func (c *caller) releaseLease() {
	if c.lease == nil {
		return
	}
	c.detach()
	c.lease.Release()
	c.lease = nil
}

// failTransaction rolls back the running transaction; the caller still has to end it.
func (c *caller) failTransaction() {
	if c.lease == nil {
		return
	}
	implicitTransaction := c.implicitTransaction()
	c.releaseLease()
	c.state.EndTransaction(false)
	c.inFailedTransaction = !implicitTransaction
}

// implicitTransaction reports whether the connection is held only until the Sync of a
// batch.
func (c *caller) implicitTransaction() bool {
	return c.lease != nil && c.awaitingSync
}
