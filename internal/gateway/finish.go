package gateway

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/routing"
	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// finish completes a response at its ReadyForQuery.
func (x *exchange) finish(status byte) outcome {
	if x.isDeclined() {
		return x.declinedOutcome()
	}
	if x.isBehind() {
		return x.behindOutcome()
	}
	inTransaction := x.c.lease != nil
	x.recordSessionChanges(inTransaction, status)
	x.keepOrRelease(status)
	if err := x.advanceFloor(status); err != nil {
		x.c.responses.discardHeld()
		x.c.failTransaction()
		x.c.inFailedTransaction = false
		return outcome{callerErr: x.c.answerError(x.rq, err), started: true}
	}
	x.c.responses.releaseHeld()
	x.c.reportFloor()
	x.c.addReadyForQuery()
	err := x.c.responses.flush()
	x.c.responses.shrink()
	return outcome{callerErr: err, started: true}
}

// maxVerifiedBytes limits the response that is buffered until the replica has reported
// its position; a larger one is requested from another endpoint.
const maxVerifiedBytes = 256 * 1024

// isBehind reports whether a replica has answered from a position before the floor. The
// position that a server reports is one that the statement has seen. If part of the
// response was already sent, the replica was known to have reached the floor.
func (x *exchange) isBehind() bool {
	if !x.placed.replica || x.c.lease != nil || x.c.responses.sent || !x.rq.synced {
		return false
	}
	if x.rq.admissions == 0 && !x.placed.verify {
		// No data was read, so the reported position may be older than the replica's.
		return false
	}
	behind := x.conn.Position().Less(x.placed.minPosition)
	if x.placed.verify {
		x.c.server.metrics.readsVerified.Add(1)
		x.c.server.catchUps.Update(x.placed.endpoint, func(c routing.CatchUp, _ bool) (routing.CatchUp, bool) {
			return c.Observe(x.placed.minPositionAge, !behind), true
		})
	}
	return behind
}

// behindOutcome returns the outcome of a read at a replica that is behind the floor.
func (x *exchange) behindOutcome() outcome {
	x.c.server.metrics.readsBehind.Add(1)
	return outcome{err: errBehind, verdict: verdict.NotRun, started: true, retryElsewhere: true}
}

func (x *exchange) isDeclined() bool { return x.declined != nil }

// declinedOutcome has the request retried at the primary, or at the next primary.
func (x *exchange) declinedOutcome() outcome {
	if x.placed.replica {
		// The statement writes although it was classified as a read.
		x.rq.statement.Class, x.rq.statement.TaintsSession = statement.Write, true
	} else {
		x.rq.declinedTerm = x.placed.term
	}
	return outcome{err: errDeclined{x.declined}, verdict: verdict.NotRun, started: true, retryElsewhere: true}
}

// errDeclined wraps the error of a server that did not run a request, so that it is not
// treated as final.
type errDeclined struct{ cause error }

// Error implements error.
func (e errDeclined) Error() string { return "the endpoint declined: " + e.cause.Error() }

// recordSessionChanges records the statement's changes to the session.
func (x *exchange) recordSessionChanges(inTransaction bool, status byte) {
	if x.errorReported {
		return
	}
	st := x.rq.statement
	switch st.Class {
	case statement.EndpointSet:
		x.c.state.SetEndpointSetting(st.Name, st.Value, inTransaction)
	case statement.EndpointReset:
		x.c.state.ResetEndpointSetting(st.Name)
	case statement.Commit, statement.Rollback:
		x.c.state.EndTransaction(strings.HasPrefix(x.commandTag, "COMMIT"))
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
	x.conn.RecordSettings(x.c.state.EndpointSettings())
}

// keepOrRelease keeps the connection while a transaction is open. Otherwise it releases
// it at once, before the commit is confirmed.
func (x *exchange) keepOrRelease(status byte) {
	x.c.countPlacement(x.rq, x.placed.replica)
	x.c.awaitingSync = false
	x.c.wrote = status != endpoint.StatusIdle && (x.c.wrote || x.rq.statement.Class == statement.Write) && x.rq.statement.Class != statement.Begin
	if status != endpoint.StatusIdle {
		x.c.lease, x.c.atReplica, x.c.term = x.placed.lease, x.placed.replica, x.placed.term
		return
	}
	x.c.detach()
	x.released = true
	x.placed.lease.Release()
	x.c.lease = nil
}

// advanceFloor raises the floor to the position reached, after a possible commit only
// once the group has confirmed it.
func (x *exchange) advanceFloor(status byte) *verdict.Error {
	after := x.conn.Position()
	service := x.c.identity.Load().service
	if !x.mayHaveCommitted(status) || after == x.startPosition {
		if status == endpoint.StatusIdle && !x.rq.needsNoFloor() {
			x.c.state.Floor.ObserveRead(after, x.placed.replica, time.Now())
		}
		return nil
	}
	ctx, span := x.c.startChildSpan(x.ctx, "confirm")
	defer span.End()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), x.confirmTimeout())
	defer cancel()
	err := x.c.server.cfg.Groups.Confirm(ctx, service, after)
	if err != nil {
		x.c.server.metrics.unconfirmed.Add(1)
		event.CommitUnconfirmed.Emit(x.c.server.cfg.Log, zap.String("service", service),
			zap.Stringer("position", after), zap.Error(err))
		return verdict.New(verdict.MayHaveRun, verdict.CodeCompletionUnknown,
			"the commit could not be confirmed by a majority of the group").WithCause(err)
	}
	x.c.state.Floor.RaiseWritten(after, time.Now())
	return nil
}

// minConfirmTimeout is the minimum time allowed for confirming a commit, even after the
// statement's own deadline.
const minConfirmTimeout = time.Second

func (x *exchange) confirmTimeout() time.Duration {
	deadline, ok := x.ctx.Deadline()
	if !ok {
		return minConfirmTimeout
	}
	return max(minConfirmTimeout, time.Until(deadline))
}

// mayHaveCommitted reports whether a transaction that may have written has ended
// without an error.
func (x *exchange) mayHaveCommitted(status byte) bool {
	if x.placed.replica || x.wasReplicaThroughout() {
		return false
	}
	if x.rq.commits {
		return !x.errorReported || x.rq.batch != nil
	}
	return status == endpoint.StatusIdle && !x.errorReported && !x.rq.isRead() && x.rq.statement.Class != statement.Rollback
}

// wasReplicaThroughout reports whether the server was a replica during the whole exchange.
// Its role at the end does not suffice: a primary may have committed before its demotion. A
// server that was promoted and demoted in between commits in a later term.
func (x *exchange) wasReplicaThroughout() bool {
	return x.startRole == blackboard.RoleReplica && x.conn.Role() == blackboard.RoleReplica &&
		x.conn.Position().Term == x.startPosition.Term
}

// finishAtFlush ends the response to a batch at a Flush, before its Sync.
func (x *exchange) finishAtFlush() outcome {
	x.c.awaitingSync = x.conn.Status() == endpoint.StatusIdle
	x.c.lease, x.c.atReplica, x.c.term = x.placed.lease, x.placed.replica, x.placed.term
	if x.errorReported {
		x.c.skipUntilSync = true
	}
	return outcome{callerErr: x.c.responses.flush(), started: true}
}
