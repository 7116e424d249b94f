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
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// execution is one statement on its way.
type execution struct {
	s     *Session
	st    request.Statement
	began time.Duration

	// For the journal.
	route        catalog.Route
	organisation string
	endpoint     string
	attempts     int
	busy         int // endpoints that were busy
	queued       time.Duration
	admitted     bool
	// reached is the outcome of the latest attempt after which an endpoint may have
	// run the statement; nil while surely none has.
	reached *verdict.Error
}

// attempt is a place where a statement may run now.
type attempt struct {
	// run sends a statement there; link is the own connection, nil when run uses that
	// of another instance.
	run   Exchange
	link  *backend.PooledConn
	after position.Position
	use   *leadership.Use // nil at a replica
}

func (a attempt) epoch() uint64 {
	if a.use == nil {
		return 0
	}
	return a.use.Epoch
}

// outcome is what became of one attempt.
type outcome struct {
	answer request.Answer
	// refused is the endpoint's own error.
	refused *verdict.Error
	// err means that no complete answer came.
	err error
	// sent is false when the endpoint has surely not seen the statement.
	sent bool
	// harmless is true when the statement keeps nothing, whatever became of it.
	harmless bool
	// keep is true when the connection stays with the transaction.
	keep bool
}

func unknown(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeCompletionUnknown, format, args...)
}

func malformed(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeSyntaxError, format, args...)
}

func timeoutOf(r catalog.Route) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return defaultTimeout
}

// run answers the statement.
func (e *execution) run(ctx context.Context) (request.Answer, error) {
	s := e.s
	var err error
	if e.st, err = s.resolve(e.st); err != nil {
		return request.Answer{}, err
	}
	route, organisation, err := s.identify()
	if s.tx != nil {
		e.route, e.organisation = s.tx.route, s.tx.organisation
		return e.runInside(ctx, organisation, err)
	}
	e.route, e.organisation = route, organisation
	if err != nil {
		return request.Answer{}, err
	}
	switch e.st.Kind {
	case request.Set, request.Prepare, request.Deallocate:
		s.local(e.st)
		return request.Answer{}, nil
	case request.Begin:
		return request.Answer{}, e.beginLocally(ctx, route, organisation)
	case request.Commit, request.Rollback:
		return request.Answer{}, malformed("there is no transaction")
	}
	if err := e.admit(ctx, organisation); err != nil {
		return request.Answer{}, err
	}
	return e.single(ctx)
}

// runInside answers a statement of a transaction. The key may have been withdrawn
// since it began.
func (e *execution) runInside(ctx context.Context, organisation string, invalid error) (request.Answer, error) {
	s, tx := e.s, e.s.tx
	if invalid != nil && verdict.As(invalid, verdict.NotRun).Code == verdict.CodeInvalidPassword || invalid == nil && organisation != tx.organisation {
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
		return request.Answer{}, aborted("the transaction had failed and was rolled back")
	case tx.failed:
		return request.Answer{}, malformed("the transaction has failed and has to be ended")
	case e.st.Kind == request.Begin:
		return request.Answer{}, malformed("a transaction is open")
	case e.st.Kind == request.Set || e.st.Kind == request.Prepare || e.st.Kind == request.Deallocate:
		s.local(e.st)
		return request.Answer{}, nil
	}
	return e.inTransaction(ctx)
}

// admit counts the operation against its organisation's limit.
func (e *execution) admit(ctx context.Context, organisation string) error {
	if !organisationCounts(organisation) {
		return nil
	}
	began := e.s.p.cfg.Clock()
	err := e.s.p.cfg.Admission.Admit(ctx, organisation, admissionPatience)
	e.admitted = err == nil
	e.s.p.journal.waits.Record("limit", e.s.p.cfg.Clock()-began)
	return err
}

// single runs a statement outside a transaction.
func (e *execution) single(ctx context.Context) (request.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(e.route))
	defer cancel()
	var answer request.Answer
	run := func(ctx context.Context, at attempt) outcome {
		result := e.runAt(ctx, at)
		answer = result.answer
		return result
	}
	var err error
	if reads(e.st) && e.route.Consistency != catalog.PrimaryReads {
		err = e.placeRead(ctx, e.route, e.organisation, run)
	} else {
		err = e.placePrimary(ctx, e.route, e.organisation, run)
	}
	if err == nil || verdict.Of(err) != verdict.NotRun {
		return answer, err
	}
	if e.reached != nil {
		// No later refusal makes it a statement that has not run.
		return answer, e.reached.WithRetryAfter(verdict.As(err, verdict.NotRun).RetryAfter)
	}
	if e.admitted {
		e.s.p.cfg.Admission.Refund(e.organisation)
	}
	return answer, err
}

// needs is what the statement needs of a connection.
func (e *execution) needs() backend.Needs {
	needs := backend.Needs{Values: e.s.values}
	if e.st.Kind == request.Execute {
		needs.Prepared = &e.st.Prepared
	}
	return needs
}

// runAt runs the statement on a connection, outside a transaction.
func (e *execution) runAt(ctx context.Context, at attempt) outcome {
	harmless := reads(e.st)
	if at.use != nil && !at.use.Valid() {
		return outcome{err: errUncertain, harmless: true}
	}
	sentAt := e.s.p.cfg.Clock()
	answer, sent, err := at.run(ctx, e.needs(), request.Command{Statement: e.st, After: at.after})
	switch {
	case err != nil:
		return outcome{err: err, sent: sent, harmless: harmless}
	case answer.Err != nil:
		return outcome{refused: answer.Err, harmless: harmless}
	case at.use == nil:
		return outcome{answer: answer}
	case at.use.Valid():
		e.s.p.fresh.add(e.route.Service, sentAt, answer.Position)
	case !harmless:
		return outcome{refused: unknown("the primary was replaced while the write was under way")}
	}
	if !harmless {
		e.s.floor = e.s.floor.Max(answer.Position)
	}
	return outcome{answer: answer}
}

var errUncertain = errors.New("pipeline: the primary is no longer certain")

// report counts the request and writes its line where something went wrong.
func (e *execution) report(answer request.Answer) {
	j := e.s.p.journal
	label := e.st.Kind.String()
	waited := e.s.p.cfg.Clock() - e.began
	fields := func(more ...zap.Field) []zap.Field {
		return append([]zap.Field{
			zap.String("request", e.st.ID), zap.String("organisation", e.organisation), zap.String("database", e.s.database),
			zap.String("service", e.route.Service), zap.String("statement", label), zap.Duration("waited", waited),
		}, more...)
	}
	if e.queued > 0 {
		j.waits.Record("connection", e.queued)
	}
	if answer.Err == nil {
		j.latency.Record(label, waited)
	}
	switch {
	case answer.Err == nil && e.route.TargetLatency > 0 && waited > e.route.TargetLatency:
		j.outcomes.Add(label+".late", 1)
		j.line(event.RequestLate, fields(zap.String("endpoint", e.endpoint), zap.Duration("queued", e.queued), zap.Int("attempts", e.attempts))...)
	case answer.Err == nil:
		j.outcomes.Add(label+".answered", 1)
	case answer.Err.Verdict == verdict.NotRun:
		j.outcomes.Add(label+".refused", 1)
		j.line(event.RequestRefused, fields(zap.String("cause", answer.Err.Error()), zap.Bool("elsewhere", answer.Err.Elsewhere), zap.Duration("evidence_age", e.s.p.cfg.PrimaryView.Staleness()))...)
	default:
		j.outcomes.Add(label+".unknown", 1)
		j.line(event.RequestUnknown, fields(zap.String("endpoint", e.endpoint), zap.String("cause", answer.Err.Error()),
			zap.Duration("evidence_age", e.s.p.cfg.PrimaryView.Staleness()))...)
	}
}
