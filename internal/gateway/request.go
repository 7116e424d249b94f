package gateway

import (
	"context"
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// request is what a caller asks for in one go: a query string, or an extended
// batch up to Sync or Flush.
type request struct {
	statement statement.Statement
	sql       string
	batch     *batch // nil for a query string
	// synced is true when the answer ends with ReadyForQuery.
	synced bool
	// admitted is how many statements count against the organisation's rate.
	admitted int
	// commits is true when a COMMIT is among the statements.
	commits bool
	// executes is true when an extended batch runs anything.
	executes bool
	arrived  time.Time

	failed  []string      // endpoints where it has failed
	waited  time.Duration // for replicas
	notTerm uint64        // term whose primary has refused it
	// mayHaveRun is true once an attempt has left the outcome open.
	mayHaveRun bool
}

func newQuery(sql string) *request {
	return newRequest(&request{statement: statement.Classify(sql), sql: sql, synced: true})
}

// newRequest fills in what follows from the statement.
func newRequest(rq *request) *request {
	rq.arrived = time.Now()
	rq.commits = rq.commits || rq.statement.Class == statement.Commit
	if class := rq.statement.Class; rq.batch == nil && (class == statement.Read || class == statement.Write) {
		rq.admitted = 1
	}
	return rq
}

// read tells whether a replica may answer.
func (rq *request) read() bool {
	switch rq.statement.Class {
	case statement.Read, statement.EndpointSet, statement.EndpointReset:
		return true
	case statement.Begin:
		return rq.statement.ReadOnly
	default:
		return false
	}
}

// needsNoFloor tells whether the answer shows no data.
func (rq *request) needsNoFloor() bool {
	return rq.statement.Class == statement.EndpointSet || rq.statement.Class == statement.EndpointReset
}

// handle answers one request. An error ends the session.
func (c *caller) handle(ctx context.Context, rq *request) error {
	c.answers.begin()
	if err := c.precheck(rq); err != nil {
		return c.reject(rq, err)
	}
	if c.failed || rq.statement.Local() || rq.statement.Class == statement.Empty {
		return c.answerLocally(rq)
	}
	return c.execute(ctx, rq)
}

// precheck refuses what must not run at all.
func (c *caller) precheck(rq *request) *verdict.Error {
	class := rq.statement.Class
	ending := class == statement.Commit || class == statement.Rollback
	switch {
	case class == statement.Refused:
		return refusedFeature(rq.statement.Name)
	case c.failed && !ending:
		return verdict.New(verdict.NotRun, verdict.CodeInFailedTransaction,
			"the transaction was rolled back; statements are ignored until it is ended")
	case ending && (c.lease != nil || c.failed):
		// The end of a transaction that was admitted is let through even when the
		// serving lease has lapsed meanwhile.
		return nil
	default:
		return c.server.lapsed()
	}
}

// reject answers a request with an error of the proxy's own. A running
// transaction fails by it.
func (c *caller) reject(rq *request, reason *verdict.Error) error {
	c.failTransaction()
	return c.answerError(rq, reason)
}

// answerError ends the answer to a request with an error.
func (c *caller) answerError(rq *request, reason *verdict.Error) error {
	c.server.metrics.refused.Add(reason.Verdict.String(), 1)
	c.answers.add(errorResponse(reason, severityError))
	if rq.synced {
		c.ready()
	} else {
		c.skipping = true
	}
	return c.answers.flush()
}

// execute runs a request at an endpoint, within its deadline.
func (c *caller) execute(ctx context.Context, rq *request) error {
	timeout := c.state.Options.Timeout
	if timeout <= 0 {
		timeout = c.server.cfg.StatementTimeout
	}
	ctx = c.start(ctx, rq.arrived.Add(timeout))
	defer c.finish()
	defer c.leavePrimary()
	ctx, span := c.startSpan(ctx, rq)
	defer span.End()
	c.server.cfg.Groups.Touch(c.identity.Load().service)
	if err := c.admit(ctx, rq); err != nil {
		return c.reject(rq, verdict.As(err, verdict.NotRun))
	}
	if c.lease != nil {
		return c.executeInTransaction(ctx, rq)
	}
	return c.executePlaced(ctx, rq)
}

// admit spends the organisation's rate: one for each statement that touches data,
// within transactions as well. Ending a transaction is never refused.
func (c *caller) admit(ctx context.Context, rq *request) error {
	organisation := c.identity.Load().organisation
	if organisation == "" || rq.admitted == 0 {
		return nil
	}
	ctx, span := c.startHop(ctx, "admission")
	defer span.End()
	for range rq.admitted {
		if err := c.server.cfg.Admission.Admit(ctx, organisation); err != nil {
			return err
		}
	}
	return nil
}

// executeInTransaction sends the request to the transaction's own connection.
func (c *caller) executeInTransaction(ctx context.Context, rq *request) error {
	if !c.attach(c.lease.Conn) {
		return c.reject(rq, c.interruption(ctx))
	}
	defer c.detach()
	if !c.atReplica {
		if c.server.termOf(c.identity.Load().service) > c.term {
			return c.transactionLost(ctx, rq, outcome{err: errRerouted})
		}
		c.usePrimary(c.term)
	}
	result := c.newExchange(ctx, rq, placement{lease: c.lease, replica: c.atReplica, term: c.term}).run()
	if result.callerGone != nil {
		return result.callerGone
	}
	if result.err == nil {
		return nil
	}
	return c.transactionLost(ctx, rq, result)
}

// transactionLost tells what became of a transaction whose connection has failed.
// Without a COMMIT sent, the endpoint can only have rolled it back.
func (c *caller) transactionLost(ctx context.Context, rq *request, result outcome) error {
	implicit := c.implicit()
	c.releaseLease()
	c.state.EndTransaction(false)
	if rq.commits || implicit && rq.synced {
		if result.started {
			return c.answerError(rq, completionUnknown(result.err))
		}
		return c.answerError(rq, rolledBack(result.err))
	}
	c.failed = !implicit
	if rq.statement.Class == statement.Rollback {
		return c.answerLocally(rq)
	}
	if timedOut(ctx, result.err) {
		return c.answerError(rq, c.interruption(ctx).WithCause(result.err))
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

// interruption says why a context has ended: by a cancel request, a deadline or
// the end of the instance.
func (c *caller) interruption(ctx context.Context) *verdict.Error {
	cancelled, cut := c.wasCancelled()
	if cancelled && !cut {
		return verdict.New(verdict.NotRun, verdict.CodeQueryCanceled, "cancelled on request")
	}
	if cut {
		return verdict.New(verdict.NotRun, verdict.CodeAdminShutdown, "this instance is shutting down")
	}
	return verdict.New(verdict.NotRun, verdict.CodeQueryCanceled, "the statement could not run in time")
}

// timedOut tells whether the time for a statement is over. The connection's
// deadline may fire just before the context's.
func timedOut(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// Pauses between two attempts.
const (
	firstPause = 5 * time.Millisecond
	maxPause   = 200 * time.Millisecond
)

// executePlaced places a request that begins outside a transaction, and repeats
// it as far as its verdicts allow.
func (c *caller) executePlaced(ctx context.Context, rq *request) error {
	pause := firstPause
	for {
		placed, err := c.place(ctx, rq)
		if err != nil {
			return c.answerError(rq, rq.truthful(verdict.As(err, verdict.NotRun)))
		}
		result := c.attempt(ctx, rq, placed)
		if result.callerGone != nil {
			return result.callerGone
		}
		if result.err == nil {
			return nil
		}
		if reason := c.whyNotRepeat(ctx, rq, placed, result); reason != nil {
			return c.answerError(rq, rq.truthful(reason))
		}
		event.StatementRepeated.Emit(c.server.cfg.Log, zap.String("endpoint", placed.endpoint),
			zap.Stringer("verdict", result.verdict), zap.Error(result.err))
		c.server.metrics.retries.Add(1)
		c.answers.takeBack()
		if !result.elsewhere && !sleep(ctx, pause) {
			return c.answerError(rq, rq.truthful(c.interruption(ctx)))
		}
		pause = min(2*pause, maxPause)
	}
}

// truthful corrects the verdict of an error by the attempts before it.
func (rq *request) truthful(reason *verdict.Error) *verdict.Error {
	if !rq.mayHaveRun || reason.Verdict != verdict.NotRun {
		return reason
	}
	corrected := *reason
	corrected.Verdict = verdict.MayHaveRun
	return &corrected
}

// attempt runs a request once.
func (c *caller) attempt(ctx context.Context, rq *request, placed placement) outcome {
	if !c.attach(placed.lease.Conn) {
		placed.lease.Release()
		return outcome{err: context.Canceled, verdict: verdict.NotRun}
	}
	result := c.newExchange(ctx, rq, placed).run()
	if c.lease != placed.lease {
		c.detach()
		placed.lease.Release()
	}
	if result.err != nil {
		rq.mayHaveRun = rq.mayHaveRun || result.verdict == verdict.MayHaveRun
		rq.failed = append(rq.failed, placed.endpoint)
	}
	return result
}

// whyNotRepeat returns the error for the caller, or nil when the request is to be
// repeated.
func (c *caller) whyNotRepeat(ctx context.Context, rq *request, placed placement, result outcome) *verdict.Error {
	repeatable := result.verdict == verdict.NotRun ||
		(rq.statement.Class == statement.Read || c.state.Options.Idempotent) && !rq.commits
	if !repeatable {
		return completionUnknown(result.err)
	}
	var final *verdict.Error
	if errors.As(result.err, &final) {
		return final
	}
	if timedOut(ctx, result.err) && !rq.hasTimeLeft(ctx) || c.isCancelled() {
		reason := c.interruption(ctx)
		reason.Verdict = result.verdict
		return reason.WithCause(result.err)
	}
	failure := verdict.New(result.verdict, verdict.CodeConnectionFailure, "the endpoint's connection failed").WithCause(result.err)
	if c.answers.sent || !rq.synced {
		return failure
	}
	if result.started && !result.elsewhere && !c.server.cfg.Admission.AllowRetry(c.identity.Load().organisation) {
		return failure.WithRetryAfter(time.Second)
	}
	return nil
}

// hasTimeLeft tells whether another attempt can still be made: a read that gets no
// answer is given up before the statement's own deadline.
func (rq *request) hasTimeLeft(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || time.Until(deadline) > maxPause/4)
}

// sleep waits for d. It reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
