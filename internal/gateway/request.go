package gateway

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// request is one request of a caller: a query string, or an extended-protocol batch up
// to Sync or Flush.
type request struct {
	statement statement.Statement
	sql       string
	batch     *batch // nil for a query string
	// synced is true if the response ends with ReadyForQuery.
	synced bool
	// admissions is the number of statements that count against the organisation's rate.
	admissions int
	// commits is true if the statements include a COMMIT.
	commits bool
	// executes is true if an extended-protocol batch executes a statement.
	executes bool
	arrived  time.Time

	failedEndpoints  []string      // endpoints at which the request has failed
	waitedForReplica time.Duration // time spent waiting for replicas
	declinedTerm     uint64        // term whose primary has declined the request
	// mayHaveRun is true once the outcome of an attempt is unknown.
	mayHaveRun bool
}

func newQuery(sql string) *request {
	return newRequest(&request{statement: statement.Classify(sql), sql: sql, synced: true})
}

// newRequest sets the fields that are derived from the statement.
func newRequest(rq *request) *request {
	rq.arrived = time.Now()
	rq.commits = rq.commits || rq.statement.Class == statement.Commit
	if class := rq.statement.Class; rq.batch == nil && (class == statement.Read || class == statement.Write) {
		rq.admissions = 1
	}
	return rq
}

// isRead reports whether a replica may serve the request.
func (rq *request) isRead() bool {
	switch rq.statement.Class {
	case statement.Read, statement.EndpointSet, statement.EndpointReset:
		return true
	case statement.Begin:
		return rq.statement.ReadOnly
	default:
		return false
	}
}

// needsNoFloor reports whether the response shows no data.
func (rq *request) needsNoFloor() bool {
	return rq.statement.Class == statement.EndpointSet || rq.statement.Class == statement.EndpointReset
}

// handle responds to one request. An error ends the session.
func (c *caller) handle(ctx context.Context, rq *request) error {
	c.responses.begin()
	if err := c.precheck(rq); err != nil {
		return c.reject(rq, err)
	}
	if c.inFailedTransaction || rq.statement.HandledByProxy() || rq.statement.Class == statement.Empty {
		return c.answerLocally(rq)
	}
	return c.execute(ctx, rq)
}

// precheck refuses requests that must not run at all.
func (c *caller) precheck(rq *request) *verdict.Error {
	class := rq.statement.Class
	ending := class == statement.Commit || class == statement.Rollback
	switch {
	case class == statement.Refused:
		return unsupportedFeature(rq.statement.Name)
	case c.inFailedTransaction && !ending:
		return verdict.New(verdict.NotRun, verdict.CodeInFailedTransaction,
			"the transaction was rolled back; statements are ignored until it is ended")
	case ending && (c.lease != nil || c.inFailedTransaction):
		// An admitted transaction may be ended even after the serving lease has expired.
		return nil
	default:
		return c.server.servingLeaseError()
	}
}

// reject responds to a request with an error of the proxy's own. A running transaction
// fails as a result.
func (c *caller) reject(rq *request, reason *verdict.Error) error {
	c.failTransaction()
	return c.answerError(rq, reason)
}

// answerError completes the response to a request with an error. If the request is a
// write that may have run, its effects may appear later, so the floor becomes unknown.
func (c *caller) answerError(rq *request, reason *verdict.Error) error {
	if reason.Verdict == verdict.MayHaveRun && !rq.isRead() {
		c.state.Floor.MarkUnknown()
		c.reportFloor()
	}
	c.server.metrics.refused.Add(reason.Verdict.String(), 1)
	c.responses.discardHeld()
	c.responses.add(errorResponse(reason, severityError))
	if rq.synced {
		c.addReadyForQuery()
	} else {
		c.skipUntilSync = true
	}
	return c.responses.flush()
}

// execute runs a request at an endpoint, within its deadline.
func (c *caller) execute(ctx context.Context, rq *request) error {
	timeout := c.state.Options.Timeout
	if timeout <= 0 {
		timeout = c.server.cfg.StatementTimeout
	}
	ctx = c.beginStatement(ctx, rq.arrived.Add(timeout))
	defer c.endStatement()
	defer c.unregisterFromPrimary()
	ctx, span := c.startStatementSpan(ctx, rq)
	defer span.End()
	c.server.cfg.Groups.Touch(c.identity.Load().service)
	if err := c.admit(ctx, rq); err != nil {
		return c.reject(rq, verdict.As(err, verdict.NotRun))
	}
	if c.lease != nil {
		return c.executeInTransaction(ctx, rq)
	}
	return c.executeWithRetries(ctx, rq)
}

// admit takes the request's statements from the organisation's rate: each statement
// that accesses data counts as one, also within a transaction. Ending a transaction is
// never refused.
func (c *caller) admit(ctx context.Context, rq *request) error {
	organisation := c.identity.Load().organisation
	if organisation == "" || rq.admissions == 0 {
		return nil
	}
	ctx, span := c.startChildSpan(ctx, "admission")
	defer span.End()
	for range rq.admissions {
		if err := c.server.cfg.Admission.Admit(ctx, organisation); err != nil {
			return err
		}
	}
	return nil
}

// executeInTransaction sends the request on the transaction's connection.
func (c *caller) executeInTransaction(ctx context.Context, rq *request) error {
	if !c.attach(c.lease.Conn) {
		return c.reject(rq, c.contextEndReason(ctx))
	}
	defer c.detach()
	if !c.atReplica {
		if c.server.primaryTerm(c.identity.Load().service) > c.term {
			return c.transactionLost(ctx, rq, outcome{err: errPrimaryReplaced})
		}
		c.registerAtPrimary(c.term)
	}
	result := c.newExchange(ctx, rq, placement{lease: c.lease, replica: c.atReplica, term: c.term}).run()
	if result.callerErr != nil {
		return result.callerErr
	}
	if result.err == nil {
		return nil
	}
	return c.transactionLost(ctx, rq, result)
}

// transactionLost reports the outcome of a transaction whose connection has failed.
// Unless a COMMIT was sent, the endpoint can only have rolled it back.
func (c *caller) transactionLost(ctx context.Context, rq *request, result outcome) error {
	implicitTransaction := c.implicitTransaction()
	c.releaseLease()
	c.state.EndTransaction(false)
	if rq.commits || implicitTransaction && rq.synced {
		if result.started {
			return c.answerError(rq, completionUnknown(result.err))
		}
		return c.answerError(rq, rolledBack(result.err))
	}
	c.inFailedTransaction = !implicitTransaction
	if rq.statement.Class == statement.Rollback {
		return c.answerLocally(rq)
	}
	if timedOut(ctx, result.err) {
		return c.answerError(rq, c.contextEndReason(ctx).WithCause(result.err))
	}
	return c.answerError(rq, rolledBack(result.err))
}

func rolledBack(cause error) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeSerializationFailure,
		"the endpoint's connection failed and the transaction was rolled back; repeat the whole transaction").WithCause(cause)
}

func completionUnknown(cause error) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeCompletionUnknown,
		"the outcome of the statement is unknown").WithCause(cause)
}

// contextEndReason returns why a context has ended: a cancel request, a deadline or the
// shutdown of the instance.
func (c *caller) contextEndReason(ctx context.Context) *verdict.Error {
	cancelled, shutdown := c.wasCancelled()
	if cancelled && !shutdown {
		return verdict.New(verdict.NotRun, verdict.CodeQueryCanceled, "cancelled on request")
	}
	if shutdown {
		return verdict.New(verdict.NotRun, verdict.CodeAdminShutdown, "this instance is shutting down")
	}
	return verdict.New(verdict.NotRun, verdict.CodeQueryCanceled, "the statement could not run in time")
}

// timedOut reports whether the statement's time is up. The connection's deadline may
// pass just before the context's.
func timedOut(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
}
