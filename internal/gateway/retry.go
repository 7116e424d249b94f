package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Delay between two attempts.
const (
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 200 * time.Millisecond
)

// executeWithRetries places a request outside a transaction and retries it as far as
// the verdicts of its attempts allow.
func (c *caller) executeWithRetries(ctx context.Context, rq *request) error {
	backoff := initialBackoff
	for {
		placed, err := c.place(ctx, rq)
		if err != nil {
			return c.answerError(rq, rq.correctVerdict(verdict.As(err, verdict.NotRun)))
		}
		// The lease may have expired while the statement waited for its turn or a primary.
		if err := c.server.servingLeaseError(); err != nil {
			placed.lease.Release()
			return c.answerError(rq, rq.correctVerdict(err))
		}
		result := c.attempt(ctx, rq, placed)
		if result.callerErr != nil {
			return result.callerErr
		}
		if result.err == nil {
			return nil
		}
		if reason := c.finalError(ctx, rq, placed, result); reason != nil {
			return c.answerError(rq, rq.correctVerdict(reason))
		}
		event.StatementRepeated.Emit(c.server.cfg.Log, zap.String("endpoint", placed.endpoint),
			zap.Stringer("verdict", result.verdict), zap.Error(result.err))
		c.server.metrics.retries.Add(1)
		c.responses.discard()
		if !result.retryElsewhere && !pause.For(ctx, backoff) {
			return c.answerError(rq, rq.correctVerdict(c.contextEndReason(ctx)))
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// correctVerdict adjusts the verdict of an error to the outcomes of earlier attempts.
func (rq *request) correctVerdict(reason *verdict.Error) *verdict.Error {
	if !rq.mayHaveRun {
		return reason
	}
	if !rq.isRead() {
		return completionUnknown(reason)
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
		rq.failedEndpoints = append(rq.failedEndpoints, placed.endpoint)
		c.forgetPrepared(rq)
	}
	return result
}

// finalError returns the error for the caller, or nil if the request is to be retried.
func (c *caller) finalError(ctx context.Context, rq *request, placed placement, result outcome) *verdict.Error {
	retryable := result.verdict == verdict.NotRun ||
		(rq.statement.Class == statement.Read || c.state.Options.Idempotent) && !rq.commits
	if !retryable {
		return completionUnknown(result.err)
	}
	var final *verdict.Error
	if errors.As(result.err, &final) {
		return final
	}
	if timedOut(ctx, result.err) && !rq.hasTimeLeft(ctx) || c.isCancelled() {
		reason := c.contextEndReason(ctx)
		reason.Verdict = result.verdict
		return reason.WithCause(result.err)
	}
	failure := verdict.New(result.verdict, verdict.CodeConnectionFailure, "the endpoint's connection failed").WithCause(result.err)
	if c.responses.sent || !rq.synced {
		return failure
	}
	if result.started && !result.retryElsewhere && !c.server.cfg.Admission.AllowRetry(c.identity.Load().organisation) {
		return failure.WithRetryAfter(time.Second)
	}
	return nil
}

// hasTimeLeft reports whether there is time for another attempt: a read without a
// response is given up before the statement's own deadline.
func (rq *request) hasTimeLeft(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() == nil && (!ok || time.Until(deadline) > maxBackoff/4)
}
