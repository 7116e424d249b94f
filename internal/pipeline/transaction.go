package pipeline

import (
	"context"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// transaction is a session's open transaction. It reaches an endpoint only with
// its first statement, so that a caller that rests before it holds nothing.
type transaction struct {
	begin request.Statement
	route catalog.Route
	// organisation holds the key that the transaction began under.
	organisation string
	// link is the connection of the transaction, nil before the first statement.
	link *backend.PooledConn
	// epoch is that of the primary's use; atPrimary is false at a replica.
	epoch     uint64
	atPrimary bool
	wrote     bool
	failed    bool
}

// failTransaction rolls back; the caller has yet to end the transaction.
func (s *Session) failTransaction() {
	if s.tx == nil {
		return
	}
	s.tx.failed = true
	s.dropLink()
}

// dropLink closes the transaction's connection, which rolls back.
func (s *Session) dropLink() {
	if s.tx.link != nil {
		s.tx.link.Discard()
		s.tx.link = nil
	}
}

// endTransaction forgets the transaction and gives its connection back.
func (s *Session) endTransaction() {
	if s.tx.link != nil {
		s.tx.link.Release()
	}
	s.tx = nil
}

func aborted(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeSerializationFailure, format, args...).WithRetryAfter(retryHint)
}

// beginLocally opens the transaction without an endpoint.
func (e *execution) beginLocally(ctx context.Context, route catalog.Route, organisation string) error {
	if err := e.admit(ctx, organisation); err != nil {
		return err
	}
	e.s.tx = &transaction{begin: e.st, route: route, organisation: organisation}
	return nil
}

// rollback ends the transaction without effect.
func (e *execution) rollback(ctx context.Context) {
	tx := e.s.tx
	if tx.link == nil {
		if !tx.failed && organisationCounts(tx.organisation) {
			e.s.p.cfg.Admission.Refund(tx.organisation)
		}
		e.s.tx = nil
		return
	}
	answer, _, err := tx.link.Run(ctx, e.needs(), request.Command{Statement: e.st})
	if err != nil || answer.Err != nil {
		e.s.dropLink()
		e.s.tx = nil
		return
	}
	e.s.endTransaction()
}

// inTransaction runs a statement on the transaction's connection.
func (e *execution) inTransaction(ctx context.Context) (request.Answer, error) {
	tx := e.s.tx
	ctx, cancel := context.WithTimeout(ctx, timeoutOf(tx.route))
	defer cancel()
	if tx.link == nil {
		if err := e.attach(ctx); err != nil {
			e.s.failTransaction()
			return request.Answer{}, err
		}
	}
	answer, err := e.pinned(ctx)
	if err != nil {
		return answer, err
	}
	if answer.Transaction == request.Failed {
		tx.failed = true
	}
	return answer, nil
}

// pinned runs one statement of the transaction. What fails before a COMMIT was
// sent is rolled back with the connection.
func (e *execution) pinned(ctx context.Context) (request.Answer, error) {
	s, tx := e.s, e.s.tx
	e.endpoint = tx.link.Endpoint.ID
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
	answer, sent, err := tx.link.Run(ctx, e.needs(), request.Command{Statement: e.st})
	switch {
	case err == nil:
		if tx.atPrimary && valid() {
			s.p.fresh.add(tx.route.Service, sentAt, answer.Position)
		}
		return e.settlePinned(answer, valid)
	case sent && e.st.Kind == request.Commit:
		s.dropLink()
		s.tx = nil
		return answer, unknown("the connection failed before the outcome of the commit was told").WithCause(err)
	default:
		s.failTransaction()
		return answer, aborted("the connection of the transaction failed").WithCause(err)
	}
}

// settlePinned draws the conclusions from a complete answer.
func (e *execution) settlePinned(answer request.Answer, valid func() bool) (request.Answer, error) {
	s, tx := e.s, e.s.tx
	if answer.Err == nil && !reads(e.st) && e.st.Kind != request.Commit {
		tx.wrote = true
	}
	if e.st.Kind != request.Commit {
		if answer.Transaction == request.Idle {
			// The endpoint has ended the transaction.
			s.failTransaction()
		}
		return answer, nil
	}
	wrote := tx.wrote
	if answer.Transaction != request.Idle {
		s.dropLink()
	}
	s.endTransaction()
	if committed := answer.Err == nil && wrote; committed {
		if !valid() {
			return answer, unknown("the primary was replaced while the commit was under way")
		}
		s.floor = s.floor.Max(answer.Position)
	}
	return answer, nil
}

// attach finds an endpoint for the transaction and begins it there.
func (e *execution) attach(ctx context.Context) error {
	tx := e.s.tx
	begin := tx.begin
	if begin.ReadOnly && tx.route.Consistency != catalog.PrimaryReads {
		return e.placeRead(ctx, tx.route, tx.organisation, e.beginAt)
	}
	return e.placePrimary(ctx, tx.route, tx.organisation, e.beginAt)
}

// beginAt begins the transaction on a connection.
func (e *execution) beginAt(ctx context.Context, at attempt) outcome {
	tx := e.s.tx
	answer, _, err := at.run(ctx, backend.Needs{Values: e.s.values}, request.Command{Statement: tx.begin, After: at.after})
	switch {
	case err != nil:
		// A transaction that has begun without a statement keeps nothing, and none of
		// its statements has reached the endpoint.
		return outcome{err: err, harmless: true}
	case answer.Err != nil:
		return outcome{refused: answer.Err, harmless: true}
	}
	tx.link, tx.atPrimary, tx.epoch = at.link, at.use != nil, at.epoch()
	return outcome{answer: answer, keep: true}
}

// organisationCounts tells whether there is a limit to count against.
func organisationCounts(organisation string) bool { return organisation != publicUser }
