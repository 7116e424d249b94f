package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// outcome is what became of one attempt.
type outcome struct {
	// err is nil when the answer is complete. A *verdict.Error is final.
	err     error
	verdict verdict.Verdict
	// started is true once the endpoint may have seen the request.
	started bool
	// elsewhere is true when the endpoint has declined and another one is due at
	// once.
	elsewhere bool
	// callerGone is the error of writing to the caller.
	callerGone error
}

// exchange is one request and its answer over one connection.
type exchange struct {
	c      *caller
	ctx    context.Context
	rq     *request
	placed placement
	conn   *endpoint.Conn
	steps  []step // of an extended batch
	at     int    // the step that is being answered

	before position.Position
	// failed is true once the endpoint has reported an error.
	failed bool
	// declined is the error of an endpoint that did not run the request.
	declined *verdict.Error
	// crossed is true once the endpoint has sent what does not answer the request.
	crossed bool
	// ended is true once the endpoint has announced the connection's end.
	ended bool
	// completed is true once a statement of a query string has been answered.
	completed bool
	// tag is the last command tag.
	tag string
}

func (c *caller) newExchange(ctx context.Context, rq *request, placed placement) *exchange {
	return &exchange{c: c, ctx: ctx, rq: rq, placed: placed, conn: placed.lease.Conn}
}

// run sends the request and relays the answer.
func (x *exchange) run() outcome {
	ctx, span := x.c.startHop(x.ctx, "endpoint")
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
	encoded, answers := x.encode(x.c.scratch[:0])
	if len(encoded) <= maxScratch {
		x.c.scratch = encoded
	}
	x.before = x.conn.Position()
	x.conn.SetDeadline(x.deadline())
	if started, err := x.conn.Send(encoded, answers); err != nil {
		return x.lost(err, started)
	}
	return x.relay()
}

// errBehind means that a replica had not replayed up to the floor.
var errBehind = errors.New("gateway: the replica is behind the floor")

// minStall is the shortest time that a read may go without an answer before it
// is repeated elsewhere.
const minStall = time.Second

// deadline bounds the exchange. A read that may be repeated gets half of the time
// that is left, so that a silent connection leaves time for another.
func (x *exchange) deadline() time.Time {
	deadline, ok := x.ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	if x.c.lease != nil || x.rq.statement.Class != statement.Read || len(x.rq.failed) > 0 {
		return deadline
	}
	now := time.Now()
	stall := now.Add(max(minStall, deadline.Sub(now)/2))
	if stall.Before(deadline) {
		return stall
	}
	return deadline
}

// settingsRefused tells a refused setting from a failed connection. The request
// itself was not sent.
func (x *exchange) settingsRefused(err error) outcome {
	if x.conn.Err() != nil {
		return outcome{err: err, verdict: verdict.NotRun}
	}
	final := verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "the endpoint refused the session's settings").WithCause(err)
	return outcome{err: final, verdict: verdict.NotRun}
}

// maxScratch is the largest buffer that is reused: a larger request may still be
// on its way when the next one is encoded.
const maxScratch = 4 * 1024 // bytes

// encode builds the messages for this connection.
func (x *exchange) encode(encoded []byte) (_ []byte, answers int) {
	if x.rq.batch == nil {
		encoded, _ = (&pgproto3.Query{String: x.rq.sql}).Encode(encoded)
		return encoded, answers + 1
	}
	encoded, x.steps = x.rq.batch.encode(encoded, x.conn)
	if x.rq.synced {
		encoded, _ = (&pgproto3.Sync{}).Encode(encoded)
		return encoded, 1
	}
	encoded, _ = (&pgproto3.Flush{}).Encode(encoded)
	return encoded, 0
}

// lost is the outcome of a failed connection.
func (x *exchange) lost(err error, started bool) outcome {
	result := outcome{err: err, started: started, verdict: verdict.MayHaveRun}
	if !started {
		result.verdict = verdict.NotRun
	}
	return result
}

// relay passes the answer on until it is complete.
func (x *exchange) relay() outcome {
	x.answerKnownSteps()
	for {
		if !x.rq.synced && (x.failed || x.at == len(x.steps)) {
			return x.endUnsynced()
		}
		message, err := x.conn.Receive()
		if err != nil {
			return x.cut(err)
		}
		if ready, ok := message.(*pgproto3.ReadyForQuery); ok {
			if x.isWhole() {
				return x.end(ready.TxStatus)
			}
			x.crossed = true
		} else if err := x.message(message); err != nil {
			return outcome{callerGone: err, started: true}
		}
		if x.crossed {
			x.conn.Abort(errCrossed)
			return x.lost(errCrossed, true)
		}
		if x.ended {
			x.conn.Abort(errEndpointEnded)
			return x.cut(errEndpointEnded)
		}
		if x.placed.verify && len(x.c.answers.buffer) > maxVerified {
			return x.behindOutcome()
		}
	}
}

// errCrossed means that a connection carried an answer to something else.
var errCrossed = errors.New("gateway: the endpoint's answer does not match the request")

// isWhole tells whether the answer may end: with an error, or with all that was
// asked for answered.
func (x *exchange) isWhole() bool {
	if x.failed || x.isDeclined() {
		return true
	}
	if x.rq.batch == nil {
		return x.completed
	}
	return x.at == len(x.steps)
}

// cut is the outcome of an answer that broke off. One whose error response has
// come is settled, unless it is the connection's own end.
func (x *exchange) cut(err error) outcome {
	if settled := x.failed && !x.isDeclined() && x.c.lease == nil; !settled {
		return x.lost(err, true)
	}
	x.c.ready()
	return outcome{callerGone: x.c.answers.flush(), started: true}
}

// message relays one message other than ReadyForQuery.
func (x *exchange) message(message pgproto3.BackendMessage) error {
	answers := &x.c.answers
	if x.isDeclined() {
		return nil
	}
	switch m := message.(type) {
	case *pgproto3.ErrorResponse:
		return x.errorResponse(m)
	case *pgproto3.CopyInResponse:
		answers.add(m)
		return x.copyIn()
	case *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.EmptyQueryResponse:
		x.completed = true
	case *pgproto3.CommandComplete:
		x.completed = true
		x.tag = string(m.CommandTag)
		if !x.placed.replica && !x.rq.read() {
			answers.hold()
		}
	}
	if !x.answersStep(message) {
		answers.add(message)
	}
	x.answerKnownSteps()
	return x.spill()
}

// spill sends what has gathered. Once the caller has taken a piece, the time for
// the rest starts afresh.
func (x *exchange) spill() error {
	if len(x.c.answers.buffer) < spillBytes || x.placed.verify {
		return nil
	}
	err := x.c.answers.spill()
	x.conn.SetDeadline(time.Now().Add(x.c.server.cfg.StatementTimeout))
	return err
}

// errorResponse relays an error of the endpoint, unless the request can be
// repeated at another one or the connection ends with it.
func (x *exchange) errorResponse(m *pgproto3.ErrorResponse) error {
	cause := verdict.New(verdict.NotRun, m.Code, "%s", m.Message)
	switch {
	case isFatal(m):
		x.ended = true
		return nil
	case m.Code == verdict.CodeReadOnlyTransaction && x.mayDecline():
		x.declined = cause
		return nil
	}
	x.failed = true
	if x.rq.batch != nil && isStalePlan(m.Code) {
		// The connection's prepared statements are outdated; the next user starts
		// afresh.
		x.conn.Taint()
	}
	x.c.answers.add(m)
	return nil
}

// isStalePlan tells the errors that come from what a connection has prepared for
// earlier sessions.
func isStalePlan(code string) bool {
	return code == verdict.CodeFeatureNotSupported || code == verdict.CodeUndefinedPreparedStmt || code == verdict.CodeDuplicatePreparedStmt
}

// errEndpointEnded means that the endpoint announced the end of the connection.
var errEndpointEnded = errors.New("gateway: the endpoint ended the connection")

// mayDecline tells whether a refusal by a server that takes no writes can be
// mended by another server.
func (x *exchange) mayDecline() bool {
	if x.rq.statement.Class == statement.Begin && x.rq.statement.ReadOnly {
		return false
	}
	return x.c.lease == nil && !x.c.answers.sent && x.rq.synced && !x.rq.commits
}
