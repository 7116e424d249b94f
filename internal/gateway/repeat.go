package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

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
	if !rq.mayHaveRun {
		return reason
	}
	if !rq.read() {
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
		rq.failed = append(rq.failed, placed.endpoint)
		c.forgetParsed(rq)
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
