package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// outcome is the result of one attempt.
type outcome struct {
	// err is nil if the response is complete. A *verdict.Error is final.
	err     error
	verdict verdict.Verdict
	// started is true once the endpoint may have received the request.
	started bool
	// retryElsewhere is true if the endpoint has declined and another one is to be tried
	// without a delay.
	retryElsewhere bool
	// callerErr is the error of writing to the caller.
	callerErr error
}

// exchange is one request and its response on one connection.
type exchange struct {
	c        *caller
	ctx      context.Context
	rq       *request
	placed   placement
	conn     *endpoint.Conn
	steps    []step // of an extended-protocol batch
	nextStep int    // the step whose response is due next

	startPosition position.Position
	startRole     blackboard.Role
	// errorReported is true once the endpoint has reported an error.
	errorReported bool
	// declined is the error of an endpoint that did not run the request.
	declined *verdict.Error
	// mismatched is true once the endpoint has sent a message that does not belong to the
	// request.
	mismatched bool
	// connectionEnded is true once the endpoint has announced the end of the connection.
	connectionEnded bool
	// completed is true once a statement of a query string has completed.
	completed bool
	// commandTag is the latest command tag.
	commandTag string
	// released is true once the connection may serve another session.
	released bool
}

func (c *caller) newExchange(ctx context.Context, rq *request, placed placement) *exchange {
	return &exchange{c: c, ctx: ctx, rq: rq, placed: placed, conn: placed.lease.Conn}
}

// run sends the request and relays the response. After a panic, the connection is closed and
// the session ends, with an unknown outcome.
func (x *exchange) run() (result outcome) {
	var panicked error
	defer func() {
		if panicked != nil {
			if !x.released {
				x.conn.Abort(panicked)
			}
			result = outcome{err: panicked, verdict: verdict.MayHaveRun, started: true, callerErr: panicked}
		}
	}()
	defer event.Contain(x.c.server.cfg.Log, "endpoint connection", &panicked)
	return x.send()
}

func (x *exchange) send() outcome {
	ctx, span := x.c.startChildSpan(x.ctx, "endpoint")
	defer span.End()
	x.ctx = ctx
	x.conn.SetDeadline(x.deadline())
	if x.c.lease == nil {
		if err := x.conn.ApplySettings(x.c.state.EndpointSettings()); err != nil {
			return x.settingsRefused(err)
		}
	}
	if x.rq.statement.TaintsSession {
		x.conn.Taint()
	}
	encoded, readyCount := x.encode(x.c.scratch[:0])
	if len(encoded) <= maxScratchBytes {
		x.c.scratch = encoded
	}
	x.startPosition, x.startRole = x.conn.Position(), x.conn.Role()
	x.conn.SetDeadline(x.deadline())
	if started, err := x.conn.Send(encoded, readyCount); err != nil {
		return x.connectionFailed(err, started)
	}
	return x.relay()
}

// errBehind means that a replica had not replayed up to the floor.
var errBehind = errors.New("gateway: the replica is behind the floor")

// minReadAttemptTimeout is the minimum time that a read waits for a response before it
// is retried elsewhere.
const minReadAttemptTimeout = time.Second

// deadline returns the deadline of the exchange. A read that may be retried gets half
// of the remaining time, so that an unresponsive connection leaves time for another
// attempt.
func (x *exchange) deadline() time.Time {
	deadline, ok := x.ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	if x.c.lease != nil || x.rq.statement.Class != statement.Read || len(x.rq.failedEndpoints) > 0 {
		return deadline
	}
	now := time.Now()
	attemptDeadline := now.Add(max(minReadAttemptTimeout, deadline.Sub(now)/2))
	if attemptDeadline.Before(deadline) {
		return attemptDeadline
	}
	return deadline
}

// settingsRefused distinguishes a refused setting from a failed connection. The request
// itself was not sent.
func (x *exchange) settingsRefused(err error) outcome {
	if x.conn.Err() != nil {
		return outcome{err: err, verdict: verdict.NotRun}
	}
	final := verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "the endpoint refused the session's settings").WithCause(err)
	return outcome{err: final, verdict: verdict.NotRun}
}

// maxScratchBytes limits the buffer that is reused: a larger request may still be in
// transmission when the next one is encoded.
const maxScratchBytes = 4 * 1024

// encode encodes the request for this connection. readyCount is the number of
// ReadyForQuery messages in its response.
func (x *exchange) encode(encoded []byte) (_ []byte, readyCount int) {
	if x.rq.batch == nil {
		encoded, _ = (&pgproto3.Query{String: x.rq.sql}).Encode(encoded)
		return encoded, readyCount + 1
	}
	encoded, x.steps = x.rq.batch.encode(encoded, x.conn)
	if x.rq.synced {
		encoded, _ = (&pgproto3.Sync{}).Encode(encoded)
		return encoded, 1
	}
	encoded, _ = (&pgproto3.Flush{}).Encode(encoded)
	return encoded, 0
}

// connectionFailed returns the outcome of a failed connection.
func (x *exchange) connectionFailed(err error, started bool) outcome {
	result := outcome{err: err, started: started, verdict: verdict.MayHaveRun}
	if !started {
		result.verdict = verdict.NotRun
	}
	return result
}

// relay forwards the response to the caller until it is complete.
func (x *exchange) relay() outcome {
	x.answerLocalSteps()
	for {
		if !x.rq.synced && (x.errorReported || x.nextStep == len(x.steps)) {
			return x.finishAtFlush()
		}
		message, err := x.conn.Receive()
		if err != nil {
			return x.incompleteOutcome(err)
		}
		if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
			if x.isComplete() && x.hasEvidence(ready.TxStatus) {
				return x.finish(ready.TxStatus)
			}
			x.mismatched = true
		} else if err := x.message(message); err != nil {
			return outcome{callerErr: err, started: true}
		}
		if x.mismatched {
			x.conn.Abort(errMismatched)
			return x.connectionFailed(errMismatched, true)
		}
		if x.connectionEnded {
			x.conn.Abort(errEndpointEnded)
			return x.incompleteOutcome(errEndpointEnded)
		}
		if x.placed.verify && len(x.c.responses.buffer) > maxVerifiedBytes {
			return x.behindOutcome()
		}
	}
}

// errMismatched means that a connection delivered a response to another request.
var errMismatched = errors.New("gateway: the endpoint's answer does not match the request")

// isComplete reports whether the response may end: after an error, or once everything
// requested has a response.
func (x *exchange) isComplete() bool {
	if x.errorReported || x.isDeclined() {
		return true
	}
	if x.rq.batch == nil {
		return x.completed
	}
	return x.nextStep == len(x.steps)
}

// incompleteOutcome returns the outcome of an incomplete response. Outside a
// transaction the outcome is known if the endpoint has already reported an error,
// unless that error announced the end of the connection.
func (x *exchange) incompleteOutcome(err error) outcome {
	if settled := x.errorReported && !x.isDeclined() && x.c.lease == nil; !settled {
		return x.connectionFailed(err, true)
	}
	x.c.addReadyForQuery()
	return outcome{callerErr: x.c.responses.flush(), started: true}
}

// message relays one message other than ReadyForQuery.
func (x *exchange) message(message pgproto3.BackendMessage) error {
	responses := &x.c.responses
	if x.isDeclined() {
		return nil
	}
	switch m := message.(type) {
	case *pgproto3.ErrorResponse:
		return x.relayError(m)
	case *pgproto3.CopyInResponse:
		responses.add(m)
		return x.copyIn()
	case *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.EmptyQueryResponse:
		x.completed = true
	case *pgproto3.CommandComplete:
		x.completed = true
		x.commandTag = string(m.CommandTag)
		if x.rq.batch == nil && !isTagOf(x.rq.statement.Class, x.commandTag) {
			x.mismatched = true
			return nil
		}
		switch {
		case x.placed.replica || x.rq.isRead():
		case x.commandTag == commitTag:
			responses.holdCommit()
		default:
			responses.hold()
		}
	}
	if !x.matchStep(message) {
		responses.add(message)
	}
	x.answerLocalSteps()
	return x.flushIfLarge()
}

// flushIfLarge sends a large buffer. The statement timeout restarts each time the
// caller has taken a part of the response.
func (x *exchange) flushIfLarge() error {
	if len(x.c.responses.buffer) < flushThresholdBytes || x.placed.verify {
		return nil
	}
	err := x.c.responses.flushIfLarge()
	x.conn.SetDeadline(time.Now().Add(x.c.server.cfg.StatementTimeout))
	return err
}

// relayError forwards an error of the endpoint, unless the request can be retried at
// another endpoint or the connection ends with the error.
func (x *exchange) relayError(m *pgproto3.ErrorResponse) error {
	cause := verdict.New(verdict.NotRun, m.Code, "%s", m.Message)
	switch {
	case isFatal(m):
		x.connectionEnded = true
		return nil
	case m.Code == verdict.CodeReadOnlyTransaction && x.canRetryElsewhere():
		x.declined = cause
		return nil
	}
	x.errorReported = true
	if x.rq.batch != nil && isStalePlan(m.Code) {
		// The connection's prepared statements are outdated; its next user prepares them
		// again.
		x.conn.Taint()
	}
	x.c.responses.add(m)
	return nil
}

// isStalePlan reports whether an error may be due to statements prepared on the
// connection for earlier sessions.
func isStalePlan(code string) bool {
	return code == verdict.CodeFeatureNotSupported || code == verdict.CodeUndefinedPreparedStmt || code == verdict.CodeDuplicatePreparedStmt
}

// errEndpointEnded means that the endpoint announced the end of the connection.
var errEndpointEnded = errors.New("gateway: the endpoint ended the connection")

// canRetryElsewhere reports whether a request that a read-only server declined may be
// retried at another server.
func (x *exchange) canRetryElsewhere() bool {
	if x.rq.statement.Class == statement.Begin && x.rq.statement.ReadOnly {
		return false
	}
	return x.c.lease == nil && !x.c.responses.sent && x.rq.synced && !x.rq.commits
}
