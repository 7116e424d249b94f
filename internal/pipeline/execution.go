package pipeline

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// execution is the processing of one statement.
type execution struct {
	s         *Session
	st        request.Statement
	startedAt time.Duration

	// Progress of the statement, also for the request log.
	route        catalog.Route
	organisation string
	endpoint     string
	attempts     int
	busyRefusals int           // refusals by busy endpoints; compared with maxBusyRefusals
	queued       time.Duration // time spent waiting for connections
	admitted     bool          // a token was taken for the statement
	// mayHaveRunErr is the error of the latest attempt in which an endpoint may have run
	// the statement. It is nil while certainly none has.
	mayHaveRunErr *verdict.Error
}

// attempt describes where and under which conditions a statement is sent.
type attempt struct {
	// run sends the statement. conn is this instance's connection; owner is set instead when
	// run uses a connection of the endpoint's connection owner.
	run         Exchange
	conn        *backend.PooledConn
	owner       OwnerPath
	endpoint    catalog.Endpoint
	minPosition position.Position
	use         *leadership.Use // nil at a replica
}

func (a attempt) epoch() uint64 {
	if a.use == nil {
		return 0
	}
	return a.use.Epoch
}

// outcome is the result of one attempt.
type outcome struct {
	answer request.Answer
	// verdictErr is the endpoint's own error, or the unknown outcome of a write whose
	// primary was replaced meanwhile.
	verdictErr *verdict.Error
	// err is set when no complete answer was received.
	err error
	// sent is false only when the endpoint certainly has not received the statement.
	sent bool
	// noEffect is true when the attempt leaves no effect, whether or not it ran.
	noEffect bool
	// keepConn is true when the transaction keeps the connection.
	keepConn bool
}

func outcomeUnknown(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeCompletionUnknown, format, args...)
}

func syntaxError(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeSyntaxError, format, args...)
}

func statementTimeout(r catalog.Route) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return defaultTimeout
}

// run processes the statement and returns its answer.
func (e *execution) run(ctx context.Context) (request.Answer, error) {
	s := e.s
	var err error
	if e.st, err = s.resolvePrepared(e.st); err != nil {
		return request.Answer{}, err
	}
	route, organisation, err := s.identify()
	if s.tx != nil {
		e.route, e.organisation = s.tx.route, s.tx.organisation
		return e.handleInTransaction(ctx, organisation, err)
	}
	e.route, e.organisation = route, organisation
	if err != nil {
		return request.Answer{}, err
	}
	switch e.st.Kind {
	case request.Set, request.Prepare, request.Deallocate:
		s.applyLocally(e.st)
		return request.Answer{}, nil
	case request.Begin:
		return request.Answer{}, e.deferBegin(ctx, route, organisation)
	case request.Commit, request.Rollback:
		return request.Answer{}, syntaxError("there is no transaction")
	}
	if err := e.admit(ctx, organisation); err != nil {
		return request.Answer{}, err
	}
	return e.runAutocommit(ctx)
}

// handleInTransaction processes a statement of an open or failed transaction. identifyErr
// is the result of identifying the session again, since its key may have been withdrawn
// after the transaction began.
func (e *execution) handleInTransaction(ctx context.Context, organisation string, identifyErr error) (request.Answer, error) {
	s, tx := e.s, e.s.tx
	if identifyErr != nil && verdict.As(identifyErr, verdict.NotRun).Code == verdict.CodeInvalidPassword || identifyErr == nil && organisation != tx.organisation {
		s.failTransaction()
		s.tx = nil
		return request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeInvalidPassword, "the key is no longer valid")
	}
	switch {
	case e.st.Kind == request.Rollback:
		e.rollback(ctx)
		return request.Answer{}, nil
	case tx.failed && e.st.Kind == request.Commit:
		s.endTransaction()
		if tx.uncertain {
			return request.Answer{}, outcomeUnknown("a statement may have run outside the transaction")
		}
		return request.Answer{}, aborted("the transaction had failed and was rolled back")
	case tx.failed:
		return request.Answer{}, syntaxError("the transaction has failed and has to be ended")
	case e.st.Kind == request.Begin:
		return request.Answer{}, syntaxError("a transaction is open")
	case e.st.Kind == request.Set || e.st.Kind == request.Prepare || e.st.Kind == request.Deallocate:
		s.applyLocally(e.st)
		return request.Answer{}, nil
	}
	return e.runInTransaction(ctx)
}

// admit takes a token of the organisation's rate limit.
func (e *execution) admit(ctx context.Context, organisation string) error {
	if !hasLimit(organisation) {
		return nil
	}
	startedAt := e.s.p.cfg.Clock()
	err := e.s.p.cfg.Admission.Admit(ctx, quota.Request{
		Organisation: organisation, Priority: e.route.Priority, TargetLatency: e.route.TargetLatency, Timeout: statementTimeout(e.route),
	})
	e.admitted = err == nil
	e.s.p.requestLog.waits.Record("limit", e.s.p.cfg.Clock()-startedAt)
	return err
}

// runAutocommit runs a statement outside a transaction.
func (e *execution) runAutocommit(ctx context.Context) (request.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout(e.route))
	defer cancel()
	var answer request.Answer
	run := func(ctx context.Context, at attempt) outcome {
		result := e.runAttempt(ctx, at)
		answer = result.answer
		return result
	}
	var err error
	if e.st.OnlyReads() && e.route.Consistency != catalog.PrimaryReads {
		err = e.placeRead(ctx, e.route, e.organisation, run)
	} else {
		err = e.placePrimary(ctx, e.route, e.organisation, run)
	}
	if err == nil || verdict.Of(err) != verdict.NotRun {
		return answer, err
	}
	if e.mayHaveRunErr != nil {
		// An earlier attempt may have run the statement, so a later refusal must not be
		// reported as NotRun.
		return answer, e.mayHaveRunErr.WithRetryAfter(verdict.As(err, verdict.NotRun).RetryAfter)
	}
	if e.admitted {
		e.s.p.cfg.Admission.Refund(e.organisation)
	}
	return answer, err
}

// needs returns the session state that the statement requires of a connection.
func (e *execution) needs() backend.Needs {
	needs := backend.Needs{Values: e.s.values}
	if e.st.Kind == request.Execute {
		needs.Prepared = &e.st.Prepared
	}
	return needs
}

// runAttempt makes one attempt at a statement outside a transaction.
func (e *execution) runAttempt(ctx context.Context, at attempt) outcome {
	noEffect := e.st.OnlyReads()
	if at.use != nil && !at.use.Valid() {
		return outcome{err: errPrimaryUncertain, noEffect: true}
	}
	sentAt := e.s.p.cfg.Clock()
	answer, sent, err := at.run(ctx, e.needs(), request.Command{Statement: e.st, After: at.minPosition})
	switch {
	case err != nil:
		return outcome{err: err, sent: sent, noEffect: noEffect}
	case answer.Err != nil:
		return outcome{verdictErr: answer.Err, noEffect: noEffect}
	case at.use == nil:
		return outcome{answer: answer}
	case at.use.Valid():
		e.s.p.fresh.add(e.route.Service, sentAt, answer.Position)
	case !noEffect:
		return outcome{verdictErr: outcomeUnknown("the primary was replaced while the write was under way")}
	}
	if !noEffect {
		e.s.floor = e.s.floor.Max(answer.Position)
	}
	return outcome{answer: answer}
}

var errPrimaryUncertain = errors.New("pipeline: the primary is no longer certain")

// report counts the request and logs it when it was late or failed.
func (e *execution) report(answer request.Answer) {
	l := e.s.p.requestLog
	label := e.st.Kind.String()
	elapsed := e.s.p.cfg.Clock() - e.startedAt
	fields := func(more ...zap.Field) []zap.Field {
		return append([]zap.Field{
			zap.String("request", e.st.ID), zap.String("organisation", e.organisation), zap.String("database", e.s.database),
			zap.String("service", e.route.Service), zap.String("statement", label), zap.Duration("waited", elapsed),
			zap.Uint64("configuration", e.s.identifiedBy),
		}, more...)
	}
	if e.queued > 0 {
		l.waits.Record("connection", e.queued)
	}
	if answer.Err == nil {
		l.latency.Record(label, elapsed)
	}
	switch {
	case answer.Err == nil && e.route.TargetLatency > 0 && elapsed > e.route.TargetLatency:
		l.outcomes.Add(label+".late", 1)
		l.writeLine(event.RequestLate, fields(zap.String("endpoint", e.endpoint), zap.Duration("queued", e.queued), zap.Int("attempts", e.attempts))...)
	case answer.Err == nil:
		l.outcomes.Add(label+".answered", 1)
	case answer.Err.Verdict == verdict.NotRun:
		l.outcomes.Add(label+".refused", 1)
		l.writeLine(event.RequestRefused, fields(zap.String("cause", answer.Err.Error()), zap.Bool("elsewhere", answer.Err.Elsewhere), zap.Duration("evidence_age", e.s.p.cfg.PrimaryView.Staleness()))...)
	default:
		l.outcomes.Add(label+".unknown", 1)
		l.writeLine(event.RequestUnknown, fields(zap.String("endpoint", e.endpoint), zap.String("cause", answer.Err.Error()),
			zap.Duration("evidence_age", e.s.p.cfg.PrimaryView.Staleness()))...)
	}
}
