package pipeline

import (
	"context"
	"errors"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// runner runs a statement at a place.
type runner func(ctx context.Context, at attempt) outcome

// placeRead runs something that only reads, at a replica that is recent enough or
// at the primary, and tries elsewhere as long as that may help.
func (e *execution) placeRead(ctx context.Context, r catalog.Route, organisation string, run runner) error {
	var tried []string
	var last error
	for e.attempts < maxAttempts && ctx.Err() == nil {
		list := e.s.planRead(r, organisation, tried).candidates()
		if len(list) == 0 {
			if len(tried) == 0 || last == nil {
				return e.placePrimary(ctx, r, organisation, run)
			}
			tried = nil
			if !e.pause(ctx, retryPause) {
				break
			}
			continue
		}
		settled, err := e.tryRead(ctx, r, organisation, list[0], run)
		if settled {
			return err
		}
		last = err
		tried = append(tried, list[0].endpoint.ID)
	}
	return e.outOfTime(last)
}

// tryRead makes one attempt. It reports whether its result is final.
func (e *execution) tryRead(ctx context.Context, r catalog.Route, organisation string, c candidate, run runner) (settled bool, err error) {
	at := attempt{after: c.after}
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
	if result.refused != nil && result.refused.Code == verdict.CodeBehind {
		e.s.p.fresh.noteBehind(c.endpoint.ID, c.after, e.s.p.cfg.Clock())
		return false, result.refused
	}
	return e.judge(result)
}

// placePrimary runs something at the primary, waiting for one while it is being
// replaced.
func (e *execution) placePrimary(ctx context.Context, r catalog.Route, organisation string, run runner) error {
	cfg := &e.s.p.cfg
	var last error
	for e.attempts < maxAttempts && ctx.Err() == nil {
		changed := cfg.PrimaryView.Changed()
		use, err := cfg.PrimaryView.Acquire(r.Service)
		if err != nil {
			last = err
			if leadership.IsStale(err) || cfg.PrimaryView.ReplacingFor(r.Service) > movingPatience {
				break
			}
			e.awaitChange(ctx, changed)
			continue
		}
		endpoint, ok := cfg.Registry().Endpoints[use.Endpoint]
		if !ok {
			use.Release()
			last = errNotRegistered
			e.pause(ctx, retryPause)
			continue
		}
		if _, borrows := e.borrow(r, organisation, endpoint); !borrows && !cfg.Health.Usable(use.Endpoint) {
			// Others try it: a statement that waits for its turn there holds nothing.
			use.Release()
			last = errSilent
			if silent := cfg.Health.UnresponsiveFor(use.Endpoint); silent > silencePatience {
				break
			}
			e.pause(ctx, retryPause)
			continue
		}
		result, err := e.try(ctx, r, organisation, endpoint, attempt{use: use}, run)
		use.Release()
		if err == nil {
			if settled, err := e.judge(result); settled {
				return err
			}
			err = result.failure()
		}
		last = err
		if isRefusal(err) && verdict.As(err, verdict.NotRun).Code == verdict.CodeTooManyConnections {
			return err
		}
		cfg.Refresh()
		e.pause(ctx, retryPause)
	}
	return e.outOfTime(last)
}

// movingPatience is how long after the beginning of a primary's replacement
// statements wait for its end. Most end within it; one that does not waits for
// instances that cannot be reached, and callers are told at once.
const movingPatience = 3 * time.Second

// silencePatience is how long the primary may be silent before statements for it
// are refused at once: another instance may reach it, and the caller's next attempt
// goes to another one.
const silencePatience = 250 * time.Millisecond

var errSilent = errors.New("pipeline: the primary does not answer this instance")

var errNotRegistered = errors.New("pipeline: the primary is not registered")

// try acquires a connection and runs the statement there. The error means that
// nothing was sent.
func (e *execution) try(ctx context.Context, r catalog.Route, organisation string, endpoint catalog.Endpoint, at attempt, run runner) (outcome, error) {
	e.attempts++
	e.endpoint = endpoint.ID
	e.s.p.journal.placed(e, at)
	cfg := &e.s.p.cfg
	if borrowed, ok := e.borrow(r, organisation, endpoint); ok {
		at.run = borrowed
		if result := e.runBorrowed(ctx, at, run); result.err == nil || result.sent {
			return result, nil
		}
	}
	queued := cfg.Clock()
	link, err := cfg.Pools.Acquire(ctx, endpoint, organisation, r.Priority)
	e.queued += cfg.Clock() - queued
	if err != nil {
		return outcome{}, err
	}
	if at.use == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, attemptTime(ctx))
		defer cancel()
	}
	at.run, at.link = link.Run, link
	result := run(ctx, at)
	if !result.keep {
		link.Release()
	}
	return result, nil
}

// borrow returns a way to the endpoint over a connection of another instance. Only
// reads outside transactions take it: what another instance keeps back or loses is
// sent again, and no outcome becomes unknown by it.
func (e *execution) borrow(r catalog.Route, organisation string, endpoint catalog.Endpoint) (Exchange, bool) {
	if e.s.tx != nil || !reads(e.st) {
		return nil, false
	}
	return e.s.p.cfg.ReadViaOwner(endpoint, organisation, r.Priority)
}

// runBorrowed makes an attempt over a connection of another instance.
func (e *execution) runBorrowed(ctx context.Context, at attempt, run runner) outcome {
	ctx, cancel := context.WithTimeout(ctx, attemptTime(ctx))
	defer cancel()
	e.s.p.journal.borrowed(e)
	return run(ctx, at)
}

// attemptTime is how long one attempt of a read may take, so that a silent
// connection leaves time for another.
func attemptTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return leastReadAttempt
	}
	left := time.Until(deadline)
	return max(min(left, leastReadAttempt), left/2)
}

// failure is the error of an outcome.
func (o outcome) failure() error {
	if o.refused != nil {
		return o.refused
	}
	return o.err
}

// judge tells whether an outcome is final, and the error for the caller then.
func (e *execution) judge(o outcome) (settled bool, err error) {
	switch {
	case o.refused == nil && o.err == nil:
		return true, nil
	case o.err != nil && o.sent:
		e.reached = unknown("the connection failed before the outcome was told").WithCause(o.err)
		return !o.harmless, e.reached
	case o.err != nil:
		return false, o.err
	}
	switch o.refused.Code {
	case verdict.CodeReadOnlyTransaction, verdict.CodeMisrouted, verdict.CodeBehind, verdict.CodeTooManyConnections, verdict.CodeUndefinedPreparedStmt:
		return false, o.refused
	case verdict.CodeCannotConnectNow:
		e.busy++
		return e.busy == maxBusy, o.refused
	case verdict.CodeStatementFailed:
		e.reached = o.refused
		return !o.harmless, o.refused
	default:
		return true, o.refused
	}
}

func isRefusal(err error) bool {
	var refused *verdict.Error
	return errors.As(err, &refused)
}

// outOfTime is the error for a statement that has not run in the time it had.
func (e *execution) outOfTime(last error) error {
	var refused *verdict.Error
	if errors.As(last, &refused) && refused.Code != verdict.CodeBehind && refused.Code != verdict.CodeUndefinedPreparedStmt {
		return refused
	}
	return verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "no endpoint could serve the statement in time").
		WithRetryAfter(retryHint).WithCause(last)
}

func (e *execution) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// maxLook is the longest time between two looks for a primary: evidence can grow
// old without any event.
const maxLook = 250 * time.Millisecond

func (e *execution) awaitChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(maxLook)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
