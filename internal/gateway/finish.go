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
	if x.rq.admitted == 0 && !x.placed.verify {
		// It has read nothing, so that the position told may be an earlier one.
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
	x.conn.RecordSettings(x.c.state.EndpointSettings())
}

// keepOrRelease keeps the connection while a transaction is open and gives it
// back as soon as there is none, before the commit is confirmed.
func (x *exchange) keepOrRelease(status byte) {
	x.c.countPlacement(x.rq, x.placed.replica)
	x.c.unsynced = false
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
		if status == endpoint.StatusIdle && !x.rq.needsNoFloor() {
			x.c.state.Floor.See(after, x.placed.replica, time.Now())
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
	x.c.unsynced = x.conn.Status() == endpoint.StatusIdle
	x.c.lease, x.c.atReplica, x.c.term = x.placed.lease, x.placed.replica, x.placed.term
	if x.failed {
		x.c.skipping = true
	}
	return outcome{callerGone: x.c.answers.flush(), started: true}
}
