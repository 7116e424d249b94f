package pipeline

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// attemptFunc makes one attempt at a statement.
type attemptFunc func(ctx context.Context, at attempt) outcome

// placeRead runs a read-only statement or transaction begin at a replica that is recent
// enough or at the primary, and retries elsewhere while time and attempts are left.
func (e *execution) placeRead(ctx context.Context, r catalog.Route, organisation string, run attemptFunc) error {
	var tried []string
	var last error
	for e.attempts < maxAttempts && ctx.Err() == nil {
		list := e.s.planRead(r, organisation, tried).candidates()
		if len(list) == 0 {
			if len(tried) == 0 || last == nil {
				return e.placePrimary(ctx, r, organisation, run)
			}
			tried = nil
			if !pause.For(ctx, retryBackoff) {
				break
			}
			continue
		}
		final, err := e.tryRead(ctx, r, organisation, list[0], run)
		if final {
			return err
		}
		last = err
		tried = append(tried, list[0].endpoint.ID)
	}
	return e.noEndpointErr(last)
}

// tryRead makes one attempt at the candidate and reports whether its result is final.
func (e *execution) tryRead(ctx context.Context, r catalog.Route, organisation string, c candidate, run attemptFunc) (final bool, err error) {
	at := attempt{minPosition: c.minPosition}
	if c.primary {
		use, err := e.s.p.cfg.PrimaryView.Acquire(r.Service)
		if err != nil || use.Endpoint != c.endpoint.ID {
			if err == nil {
				use.Release()
			}
			return false, err
		}
		defer use.Release()
		at.use = use
	}
	result, err := e.try(ctx, r, organisation, c.endpoint, at, run)
	if err != nil {
		return false, err
	}
	if result.verdictErr != nil && result.verdictErr.Code == verdict.CodeBehind {
		e.s.p.fresh.noteBehind(c.endpoint.ID, c.minPosition, e.s.p.cfg.Clock())
		return false, result.verdictErr
	}
	return e.classify(result)
}

// placePrimary runs a statement or transaction begin at the primary. While the primary is
// being replaced, it waits for the new one.
func (e *execution) placePrimary(ctx context.Context, r catalog.Route, organisation string, run attemptFunc) error {
	cfg := &e.s.p.cfg
	var last error
	for e.attempts < maxAttempts && ctx.Err() == nil {
		changed := cfg.PrimaryView.Changed()
		use, err := cfg.PrimaryView.Acquire(r.Service)
		if err != nil {
			last = err
			if leadership.IsStale(err) || cfg.PrimaryView.ReplacingFor(r.Service) > maxReplacementWait {
				break
			}
			e.awaitChange(ctx, changed)
			continue
		}
		final, err := e.tryPrimary(ctx, r, organisation, use, run)
		last = err
		switch {
		case final:
			return err
		case errors.Is(err, errPrimaryUnresponsive):
			if cfg.Health.UnresponsiveFor(use.Endpoint) > unresponsiveThreshold {
				return e.noEndpointErr(err)
			}
		case errors.Is(err, errPrimaryNotRegistered):
		case isRefusal(err) && verdict.As(err, verdict.NotRun).Code == verdict.CodeTooManyConnections:
			return err
		default:
			cfg.Refresh()
		}
		// Other statements probe the endpoint meanwhile; waiting here occupies no connection and no
		// use of the primary.
		pause.For(ctx, retryBackoff)
	}
	return e.noEndpointErr(last)
}

// tryPrimary makes one attempt at the primary under the use, which it releases, and reports
// whether its result is final.
func (e *execution) tryPrimary(ctx context.Context, r catalog.Route, organisation string, use *leadership.Use, run attemptFunc) (final bool, err error) {
	defer use.Release()
	cfg := &e.s.p.cfg
	endpoint, ok := cfg.Registry().Endpoints[use.Endpoint]
	if !ok {
		return false, errPrimaryNotRegistered
	}
	if err := e.checkEndpoint(r, organisation, endpoint); err != nil {
		return true, err
	}
	if _, viaOwner := e.s.viaOwner(organisation, endpoint, e.s.turn(r, e.startedAt)); !viaOwner && !cfg.Health.Usable(use.Endpoint) {
		return false, errPrimaryUnresponsive
	}
	result, err := e.try(ctx, r, organisation, endpoint, attempt{use: use}, run)
	if err != nil {
		return false, err
	}
	if final, err := e.classify(result); final {
		return true, err
	}
	return false, result.failure()
}

// maxReplacementWait limits how long after the start of a primary's replacement statements
// wait for it to finish. Most replacements finish within this time; one that takes longer is
// waiting for unreachable instances, so statements fail at once.
const maxReplacementWait = 3 * time.Second

// unresponsiveThreshold is how long the primary may be unresponsive before statements for
// it are refused at once. Another instance may still reach it, and the caller's next attempt
// goes to another instance.
const unresponsiveThreshold = 250 * time.Millisecond

var errPrimaryUnresponsive = errors.New("pipeline: the primary does not answer this instance")

var errPrimaryNotRegistered = errors.New("pipeline: the primary is not registered")

// try makes one attempt at the endpoint: over a connection of its connection owner where
// that is allowed, otherwise over one of this instance. A non-nil error means that nothing
// was sent.
func (e *execution) try(ctx context.Context, r catalog.Route, organisation string, endpoint catalog.Endpoint, at attempt, run attemptFunc) (outcome, error) {
	e.attempts++
	e.endpoint, at.endpoint = endpoint.ID, endpoint
	e.s.p.requestLog.countAttempt(e, at)
	cfg := &e.s.p.cfg
	turn := e.s.turn(r, e.startedAt)
	turn.Movable = at.use == nil
	if path, ok := e.s.viaOwner(organisation, endpoint, turn); ok {
		at.run, at.owner = exchangeOf(path, at.use), path
		if result := e.runViaOwner(ctx, at, run); result.err == nil || result.sent {
			return result, nil
		}
		at.owner = nil
	}
	queued := cfg.Clock()
	conn, err := cfg.Pools.Acquire(ctx, endpoint, organisation, turn)
	e.queued += cfg.Clock() - queued
	if err != nil {
		return outcome{}, err
	}
	kept := false
	defer func() {
		if !kept {
			conn.Release()
		}
	}()
	if err := e.checkConnected(ctx, r, organisation, endpoint, at); err != nil {
		return outcome{}, err
	}
	if at.use == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout(ctx))
		defer cancel()
	}
	at.run, at.conn = conn.Run, conn
	result := run(ctx, at)
	kept = result.keepConn
	return result, nil
}

// runViaOwner makes an attempt over a connection of the connection owner. A read that gets
// no answer can be sent again, so that it leaves time for that.
func (e *execution) runViaOwner(ctx context.Context, at attempt, run attemptFunc) outcome {
	if e.s.tx == nil && e.st.OnlyReads() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTimeout(ctx))
		defer cancel()
	}
	e.s.p.requestLog.countViaOwner(e)
	return run(ctx, at)
}

// attemptTimeout returns the time limit of one attempt at a read, which leaves time for
// another attempt when the connection is unresponsive.
func attemptTimeout(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return minReadAttemptTimeout
	}
	remaining := time.Until(deadline)
	return max(min(remaining, minReadAttemptTimeout), remaining/2)
}

// failure returns the error of an outcome.
func (o outcome) failure() error {
	if o.verdictErr != nil {
		return o.verdictErr
	}
	return o.err
}

// classify reports whether an outcome is final, and returns its error. A final outcome is
// returned to the caller; any other may be retried.
func (e *execution) classify(o outcome) (final bool, err error) {
	switch {
	case o.verdictErr == nil && o.err == nil:
		return true, nil
	case o.err != nil && o.sent:
		e.mayHaveRunErr = outcomeUnknown("the connection failed before the outcome was told").WithCause(o.err)
		return !o.noEffect, e.mayHaveRunErr
	case o.err != nil:
		return false, o.err
	}
	switch o.verdictErr.Code {
	case verdict.CodeReadOnlyTransaction, verdict.CodeMisrouted, verdict.CodeBehind, verdict.CodeTooManyConnections, verdict.CodeUndefinedPreparedStmt:
		return false, o.verdictErr
	case verdict.CodeCannotConnectNow:
		e.busyRefusals++
		return e.busyRefusals == maxBusyRefusals, o.verdictErr
	case verdict.CodeStatementFailed:
		e.mayHaveRunErr = o.verdictErr
		return !o.noEffect, o.verdictErr
	default:
		return true, o.verdictErr
	}
}

func isRefusal(err error) bool {
	var refused *verdict.Error
	return errors.As(err, &refused)
}

// noEndpointErr returns the error for a statement that no endpoint has run because time or
// attempts ran out or the primary is unavailable. last is the error of the last attempt.
func (e *execution) noEndpointErr(last error) error {
	var refused *verdict.Error
	if errors.As(last, &refused) && refused.Code != verdict.CodeBehind && refused.Code != verdict.CodeUndefinedPreparedStmt {
		return refused
	}
	return verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "no endpoint could serve the statement in time").
		WithRetryAfter(defaultRetryAfter).WithCause(last)
}

// maxPollInterval is the longest time between two checks for a primary. The primary record
// can become stale without any notification.
const maxPollInterval = 250 * time.Millisecond

func (e *execution) awaitChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(maxPollInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
