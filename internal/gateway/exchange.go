package gateway

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/routing"
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
	// ended is true once the endpoint has announced the connection's end.
	ended bool
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
		if err := x.conn.Apply(x.c.state.EndpointSettings()); err != nil {
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
	encoded, x.steps = x.rq.batch.encode(encoded, x.conn, x.c.state)
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
			return x.end(ready.TxStatus)
		}
		if err := x.message(message); err != nil {
			return outcome{callerGone: err, started: true}
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
	case *pgproto3.CommandComplete:
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
	if x.rq.batch != nil {
		// What was prepared may be outdated; the next user starts afresh.
		x.conn.Taint()
	}
	x.c.answers.add(m)
	return nil
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

// end finishes an answer at its ReadyForQuery.
func (x *exchange) end(status byte) outcome {
	if x.isDeclined() {
		return x.declinedOutcome()
	}
	if x.isBehind() {
		return x.behindOutcome()
	}
	inTransaction := x.c.lease != nil
	x.note(inTransaction, status)
	x.keepOrRelease(status)
	if err := x.acknowledge(status); err != nil {
		x.c.answers.takeBackHeld()
		x.c.failTransaction()
		x.c.failed = false
		return outcome{callerGone: x.c.answerError(x.rq, err), started: true}
	}
	x.c.answers.lift()
	x.c.tellFloor()
	x.c.ready()
	err := x.c.answers.flush()
	x.c.answers.shrink()
	return outcome{callerGone: err, started: true}
}

// maxVerified is the largest answer that is kept back until the replica has told
// its position; a larger one is asked for elsewhere.
const maxVerified = 256 * 1024 // bytes

// isBehind tells whether a replica has answered from before the floor. The
// position that a server tells is one that the statement has seen. An answer that
// has partly left came from a replica that was known to be there.
func (x *exchange) isBehind() bool {
	if !x.placed.replica || x.c.lease != nil || x.c.answers.sent || !x.rq.synced {
		return false
	}
	behind := x.conn.Position().Less(x.placed.lowest)
	if x.placed.verify {
		x.c.server.metrics.readsVerified.Add(1)
		x.c.server.catchUps.Update(x.placed.endpoint, func(c routing.CatchUp, _ bool) (routing.CatchUp, bool) {
			return c.Observe(x.placed.age, !behind), true
		})
	}
	return behind
}

// behindOutcome is the outcome of a read at a replica that is not there yet.
func (x *exchange) behindOutcome() outcome {
	x.c.server.metrics.readsBehind.Add(1)
	return outcome{err: errBehind, verdict: verdict.NotRun, started: true, elsewhere: true}
}

func (x *exchange) isDeclined() bool { return x.declined != nil }

// declinedOutcome has the request repeated at the primary, or at the next one.
func (x *exchange) declinedOutcome() outcome {
	if x.placed.replica {
		// It was no read after all.
		x.rq.statement.Class, x.rq.statement.TaintsSession = statement.Write, true
	} else {
		x.rq.notTerm = x.placed.term
	}
	return outcome{err: errDeclined{x.declined}, verdict: verdict.NotRun, started: true, elsewhere: true}
}

// errDeclined wraps the error of a server that did not run a request, so that it
// is not taken for a final one.
type errDeclined struct{ cause error }

// Error implements error.
func (e errDeclined) Error() string { return "the endpoint declined: " + e.cause.Error() }

// note remembers what the statement has changed in the session.
func (x *exchange) note(inTransaction bool, status byte) {
	if x.failed {
		return
	}
	st := x.rq.statement
	switch st.Class {
	case statement.EndpointSet:
		x.c.state.SetEndpoint(st.Name, st.Value, inTransaction)
	case statement.EndpointReset:
		x.c.state.ResetEndpoint(st.Name)
	case statement.Commit, statement.Rollback:
		x.c.state.EndTransaction(strings.HasPrefix(x.tag, "COMMIT"))
		return
	default:
		if status == endpoint.StatusIdle && inTransaction {
			x.c.state.EndTransaction(x.rq.commits)
		}
		return
	}
	if inTransaction || status != endpoint.StatusIdle {
		x.conn.Taint()
		return
	}
	x.conn.NoteSettings(x.c.state.EndpointSettings())
}

// keepOrRelease keeps the connection while a transaction is open and gives it
// back as soon as there is none, before the commit is confirmed.
func (x *exchange) keepOrRelease(status byte) {
	x.c.countPlacement(x.rq, x.placed.replica)
	if status != endpoint.StatusIdle {
		x.c.lease, x.c.atReplica, x.c.term = x.placed.lease, x.placed.replica, x.placed.term
		return
	}
	x.c.detach()
	x.placed.lease.Release()
	x.c.lease = nil
}

// acknowledge raises the floor. A commit counts only once it is confirmed.
func (x *exchange) acknowledge(status byte) *verdict.Error {
	after := x.conn.Position()
	service := x.c.identity.Load().service
	if !x.mayHaveCommitted(status) || after == x.before {
		if x.placed.replica && status == endpoint.StatusIdle && !x.rq.needsNoFloor() {
			x.c.state.Floor.See(after, time.Now())
		}
		return nil
	}
	ctx, span := x.c.startHop(x.ctx, "confirm")
	defer span.End()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.confirmTime())
	defer cancel()
	err := x.c.server.cfg.Groups.Confirm(ctx, service, after)
	if err != nil {
		x.c.server.metrics.unconfirmed.Add(1)
		event.CommitUnconfirmed.Emit(x.c.server.cfg.Log, zap.String("service", service),
			zap.Stringer("position", after), zap.Error(err))
		return verdict.New(verdict.MayHaveRun, verdict.CodeCompletionUnknown,
			"the commit could not be confirmed by a majority of the group").WithCause(err)
	}
	x.c.state.Floor.Commit(after, time.Now())
	return nil
}

// minConfirm is the shortest time that a commit may take to be confirmed, also
// when the statement's own time is over.
const minConfirm = time.Second

func (x *exchange) confirmTime() time.Duration {
	deadline, ok := x.ctx.Deadline()
	if !ok {
		return minConfirm
	}
	return max(minConfirm, time.Until(deadline))
}

// mayHaveCommitted tells whether a transaction that may have written has ended
// well.
func (x *exchange) mayHaveCommitted(status byte) bool {
	if x.placed.replica || x.conn.Role() == blackboard.RoleReplica {
		return false
	}
	if x.rq.commits {
		return !x.failed || x.rq.batch != nil
	}
	return status == endpoint.StatusIdle && !x.failed && !x.rq.read() && x.rq.statement.Class != statement.Rollback
}

// endUnsynced ends the answer to a batch that a Flush has cut off from its Sync.
func (x *exchange) endUnsynced() outcome {
	x.c.lease, x.c.atReplica, x.c.term = x.placed.lease, x.placed.replica, x.placed.term
	if x.failed {
		x.c.skipping = true
	}
	return outcome{callerGone: x.c.answers.flush(), started: true}
}
