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

// codeIdleTransaction ends a caller that leaves its transaction open.
const codeIdleTransaction = "25P03"

// codeLimitExceeded refuses a request that is too large.
const codeLimitExceeded = "54000"

// maxLoginBytes bounds the messages of a caller that is not logged in.
const maxLoginBytes = 10_000

// caller is one connection from an application. Its goroutine owns all fields
// but those that say otherwise.
type caller struct {
	server    *Server
	id        uint32
	secret    []byte
	transport net.Conn // as accepted; others may set deadlines and close it
	conn      net.Conn // transport, or TLS over it
	encrypted bool
	wire      *pgproto3.Backend
	responses responses
	identity  atomic.Pointer[identity] // nil until logged in

	// spawn runs work beside the caller's goroutine.
	spawn func(func() error)

	state         *session.State
	reportedFloor string
	batch         batch
	// scratch is reused for encoding requests.
	scratch []byte
	// skipUntilSync drops extended messages until Sync, after an error.
	skipUntilSync bool

	// lease is the connection of the running transaction, or nil.
	lease     *pool.Lease
	atReplica bool
	// awaitingSync is true while lease is held only until the Sync of a batch.
	awaitingSync bool
	// term is the term of the primary that runs the transaction.
	term uint64
	// registeredAtPrimary is true while the statement stands in the server's uses.
	registeredAtPrimary bool
	// inFailedTransaction is true when the proxy has ended the transaction and the caller has
	// not yet done so.
	inFailedTransaction bool

	interrupted      atomic.Bool
	mu               sync.Mutex
	runningStatement *runningStatement // guarded by mu; the statement under way
	aborted          bool              // guarded by mu; no statement may start
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

// serveMessage handles one message. It reports false at the end of the session.
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

// armReadDeadline sets the deadline for the next message. An interruption before it is found
// by endReason, one after it ends the reading.
func (c *caller) armReadDeadline() {
	switch {
	case c.lease != nil:
		_ = c.transport.SetReadDeadline(time.Now().Add(c.server.cfg.IdleTransactionTimeout))
	case c.interrupted.Swap(false):
		_ = c.transport.SetReadDeadline(time.Time{})
	}
}

// interrupt makes the caller's goroutine look whether the session has to end.
func (c *caller) interrupt() {
	c.interrupted.Store(true)
	_ = c.transport.SetReadDeadline(time.Unix(1, 0))
}

// endReason returns why the session must end here, or nil. Draining ends it only
// outside a transaction.
func (c *caller) endReason() *verdict.Error {
	if reason := c.server.revocationReason(c.identity.Load()); reason != nil {
		return reason
	}
	if c.server.isDraining() && c.lease == nil && !c.inFailedTransaction && c.batch.empty() && !c.skipUntilSync {
		return verdict.New(verdict.NotRun, verdict.CodeAdminShutdown, "this instance is shutting down")
	}
	return nil
}

// handleReceiveError judges a failed reading: an interruption or the end.
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
		c.fatal(verdict.New(verdict.NotRun, codeLimitExceeded, "the message is larger than %d bytes", c.server.cfg.MaxRequestBytes))
	}
	return false
}

// dispatch handles a message. An error ends the session without a word.
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
		// What is left of a COPY that failed.
		return nil
	case *pgproto3.Terminate:
		return errSessionEnded
	default:
		c.fatal(verdict.New(verdict.NotRun, verdict.CodeProtocolViolation, "unsupported message %T", message))
		return errSessionEnded
	}
}

// status is the transaction state that the caller is told.
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

// addReadyForQuery ends an answer.
func (c *caller) addReadyForQuery() { c.responses.add(&pgproto3.ReadyForQuery{TxStatus: c.status()}) }

// endSession ends a session that was let in.
func (c *caller) endSession(reason *verdict.Error) {
	identity := c.identity.Load()
	event.CallerEnded.Emit(c.server.cfg.Log, zap.String("key_id", identity.keyID),
		zap.String("service", identity.service), zap.String("reason", reason.Message))
	c.fatal(reason)
}

// fatal tells the caller why its connection ends.
func (c *caller) fatal(err error) {
	if errors.Is(err, errSessionEnded) {
		return
	}
	reported := verdict.As(err, verdict.NotRun)
	c.server.metrics.refused.Add(reported.Verdict.String(), 1)
	c.responses.add(errorResponse(reported, severityFatal))
	_ = c.responses.flush()
}

// refuseConnection turns a caller away before it has said who it is.
func (c *caller) refuseConnection(reason *verdict.Error) {
	defer c.transport.Close()
	_ = c.transport.SetDeadline(time.Now().Add(c.server.cfg.StartupTimeout))
	if _, err := c.startupMessage(); err == nil {
		c.fatal(reason)
	}
}

// close ends the connection and rolls back an open transaction.
func (c *caller) close() {
	c.releaseLease()
	c.transport.Close()
}

// abort closes the connection at once, from another goroutine.
func (c *caller) abort() {
	c.transport.Close()
	c.mu.Lock()
	c.aborted = true
	c.mu.Unlock()
	c.cancelStatement()
}

// releaseLease gives the connection of the transaction back.
func (c *caller) releaseLease() {
	if c.lease == nil {
		return
	}
	c.detach()
	c.lease.Release()
	c.lease = nil
}

// failTransaction rolls the running transaction back; the caller has to end it.
func (c *caller) failTransaction() {
	if c.lease == nil {
		return
	}
	implicitTransaction := c.implicitTransaction()
	c.releaseLease()
	c.state.EndTransaction(false)
	c.inFailedTransaction = !implicitTransaction
}

// implicitTransaction tells whether the connection is held only because a batch has not
// come to its Sync.
func (c *caller) implicitTransaction() bool {
	return c.lease != nil && c.awaitingSync
}
