package pipeline

import (
	"context"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// transaction is a session's open or failed transaction. It is begun at an endpoint only
// with its first statement, so that a caller that is idle before it occupies no connection.
type transaction struct {
	begin request.Statement
	route catalog.Route
	// organisation owned the key when the transaction began.
	organisation string
	// conn is the connection of the transaction, nil before the first statement and after
	// a failure. endpoint is where it leads; viaOwner is true if it is one of the endpoint's
	// connection owner.
	conn     TransactionConn
	endpoint catalog.Endpoint
	viaOwner bool
	// first is the answer to the first statement, until it is applied, if the connection
	// owner has run it with the begin.
	first *request.Answer
	// epoch is the primary's epoch at the begin, 0 at a replica; atPrimary is false at a
	// replica.
	epoch     uint64
	atPrimary bool
	wrote     bool
	failed    bool
	// uncertain is true if a statement may have run outside the transaction.
	uncertain bool
}

// failTransaction rolls the transaction back and marks it as failed until the caller ends
// it.
func (s *Session) failTransaction() {
	if s.tx == nil {
		return
	}
	s.tx.failed = true
	s.discardConn()
}

// discardConn closes the transaction's connection, which rolls back.
func (s *Session) discardConn() {
	if s.tx.conn != nil {
		s.tx.conn.Discard()
		s.tx.conn = nil
	}
}

// endTransaction removes the transaction from the session and releases its connection.
func (s *Session) endTransaction() {
	if s.tx.conn != nil {
		s.tx.conn.Release()
	}
	s.tx = nil
}

func aborted(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeSerializationFailure, format, args...).WithRetryAfter(defaultRetryAfter)
}

// deferBegin opens the transaction in the session only; the first statement begins it at
// an endpoint.
func (e *execution) deferBegin(ctx context.Context, route catalog.Route, organisation string) error {
	if err := e.admit(ctx, organisation); err != nil {
		return err
	}
	e.s.tx = &transaction{begin: e.st, route: route, organisation: organisation}
	return nil
}

// rollback rolls the transaction back and ends it. One that ends before its first statement
// has its token refunded.
func (e *execution) rollback(ctx context.Context) {
	tx := e.s.tx
	if err := e.checkTransaction(ctx); err != nil {
		e.s.tx = nil
		return
	}
	if tx.conn == nil {
		if !tx.failed && hasLimit(tx.organisation) {
			e.s.p.cfg.Admission.Refund(tx.organisation)
		}
		e.s.tx = nil
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statementTimeout(tx.route))
	defer cancel()
	answer, _, err := tx.conn.Run(ctx, e.needs(), request.Command{Statement: e.st})
	if err != nil || answer.Err != nil {
		e.s.discardConn()
		e.s.tx = nil
		return
	}
	e.s.endTransaction()
}

// runInTransaction runs a statement of the transaction, after beginning the transaction at
// an endpoint if this is its first statement.
func (e *execution) runInTransaction(ctx context.Context) (request.Answer, error) {
	tx := e.s.tx
	ctx, cancel := context.WithTimeout(ctx, statementTimeout(tx.route))
	defer cancel()
	if tx.conn == nil {
		if err := e.placeTransaction(ctx); err != nil {
			e.s.failTransaction()
			return request.Answer{}, err
		}
	}
	answer, err := e.runOrTakeFirst(ctx)
	if err != nil {
		return answer, err
	}
	if answer.Transaction == request.Failed {
		tx.failed = true
	}
	return answer, nil
}

// runOrTakeFirst runs one statement of the transaction, unless the connection owner has run
// it with the begin.
func (e *execution) runOrTakeFirst(ctx context.Context) (request.Answer, error) {
	first := e.s.tx.first
	if first == nil {
		return e.runOnTransactionConn(ctx)
	}
	e.s.tx.first = nil
	return e.applyTransactionAnswer(*first, func() bool { return true }) // nothing is written before the first statement
}

// runOnTransactionConn runs one statement on the transaction's connection. When the
// connection fails before a COMMIT was sent, the endpoint rolls the transaction back.
func (e *execution) runOnTransactionConn(ctx context.Context) (request.Answer, error) {
	s, tx := e.s, e.s.tx
	e.endpoint = tx.endpoint.ID
	if err := e.checkTransaction(ctx); err != nil {
		return request.Answer{}, err
	}
	valid := func() bool { return true }
	if tx.atPrimary {
		use, err := s.p.cfg.PrimaryView.Acquire(tx.route.Service)
		if err != nil || use.Epoch != tx.epoch {
			if err == nil {
				use.Release()
			}
			s.failTransaction()
			return request.Answer{}, aborted("the primary of the transaction is no longer certain")
		}
		defer use.Release()
		valid = use.Valid
	}
	if !valid() {
		s.failTransaction()
		return request.Answer{}, aborted("the primary of the transaction is no longer certain")
	}
	sentAt := s.p.cfg.Clock()
	answer, sent, err := tx.conn.Run(ctx, e.needs(), request.Command{Statement: e.st})
	switch {
	case err == nil:
		if tx.atPrimary && valid() {
			s.p.fresh.add(tx.route.Service, sentAt, answer.Position)
		}
		return e.applyTransactionAnswer(answer, valid)
	case sent && e.st.Kind == request.Commit:
		s.discardConn()
		s.tx = nil
		return answer, outcomeUnknown("the connection failed before the outcome of the commit was told").WithCause(err)
	default:
		s.failTransaction()
		return answer, aborted("the connection of the transaction failed").WithCause(err)
	}
}

// applyTransactionAnswer updates the transaction and the session's floor after a complete
// answer.
func (e *execution) applyTransactionAnswer(answer request.Answer, valid func() bool) (request.Answer, error) {
	s, tx := e.s, e.s.tx
	if answer.Err == nil && !e.st.OnlyReads() && e.st.Kind != request.Commit {
		tx.wrote = true
	}
	if e.st.Kind != request.Commit {
		tx.uncertain = answer.Err != nil && answer.Err.Code == verdict.CodeCompletionUnknown
		if answer.Transaction == request.Idle {
			// The endpoint has ended the transaction on its own.
			s.failTransaction()
		}
		return answer, nil
	}
	wrote := tx.wrote
	if answer.Transaction != request.Idle {
		s.discardConn()
	}
	s.endTransaction()
	if committed := answer.Err == nil && wrote; committed {
		if !valid() {
			return answer, outcomeUnknown("the primary was replaced while the commit was under way")
		}
		s.floor = s.floor.Max(answer.Position)
	}
	return answer, nil
}

// placeTransaction chooses an endpoint for the transaction and begins it there.
func (e *execution) placeTransaction(ctx context.Context) error {
	tx := e.s.tx
	begin := tx.begin
	if begin.ReadOnly && tx.route.Consistency != catalog.PrimaryReads {
		return e.placeRead(ctx, tx.route, tx.organisation, e.sendBegin)
	}
	return e.placePrimary(ctx, tx.route, tx.organisation, e.sendBegin)
}

// sendBegin begins the transaction on the attempt's connection.
func (e *execution) sendBegin(ctx context.Context, at attempt) outcome {
	if at.owner != nil {
		return e.beginViaOwner(ctx, at)
	}
	tx := e.s.tx
	answer, _, err := at.run(ctx, backend.Needs{Values: e.s.values}, request.Command{Statement: tx.begin, After: at.minPosition})
	switch {
	case err != nil:
		// A transaction that has begun but run no statement leaves no effect. sent stays
		// false because none of the caller's statements has reached the endpoint.
		return outcome{err: err, noEffect: true}
	case answer.Err != nil:
		return outcome{verdictErr: answer.Err, noEffect: true}
	}
	tx.pin(at.conn, at)
	return outcome{answer: answer, keepConn: true}
}

// pin binds the transaction to a connection to the attempt's endpoint, on which it has begun.
func (tx *transaction) pin(conn TransactionConn, at attempt) {
	tx.conn, tx.endpoint, tx.viaOwner = conn, at.endpoint, at.owner != nil
	tx.atPrimary, tx.epoch = at.use != nil, at.epoch()
}

// hasLimit reports whether operations of the organisation are rate-limited.
func hasLimit(organisation string) bool { return organisation != publicUser }
