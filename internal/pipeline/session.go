package pipeline

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// publicUser is who endpoints are told is connected on routes open to all.
const publicUser = "-"

// Session is one caller's. One goroutine uses it.
type Session struct {
	p        *Pipeline
	database string
	key      catalog.KeyHash

	values   map[string]string
	prepared map[string]request.Prepared
	// floor is the position of the session's latest acknowledged commit.
	floor position.Position
	tx    *transaction
}

// Open begins a session. The error is a NotRun verdict.
func (p *Pipeline) Open(database string, key catalog.KeyHash) (*Session, error) {
	s := &Session{p: p, database: database, key: key}
	if _, _, err := s.identify(); err != nil {
		return nil, err
	}
	return s, nil
}

// identify returns the session's route and organisation by the configuration in
// force.
func (s *Session) identify() (catalog.Route, string, error) {
	c := s.p.cfg.Configuration()
	route, ok := c.Routes[s.database]
	if !ok {
		return route, "", verdict.New(verdict.NotRun, verdict.CodeUnknownDatabase, "there is no database %q", s.database)
	}
	if owner, ok := c.KeyOwner(s.key); ok {
		return route, owner, nil
	}
	if route.Public {
		return route, publicUser, nil
	}
	return route, "", verdict.New(verdict.NotRun, verdict.CodeInvalidPassword, "the key is not valid")
}

// InTransaction tells whether the session has an open or failed transaction.
func (s *Session) InTransaction() bool { return s.tx != nil }

// TransactionIdleTimeout is how long the open transaction may rest; 0 means no bound.
func (s *Session) TransactionIdleTimeout() time.Duration {
	if s.tx == nil || s.tx.link == nil {
		return 0
	}
	return s.p.cfg.Configuration().TransactionIdle
}

// Expire rolls back the transaction of a caller that has rested for too long. It
// is told with its next statement.
func (s *Session) Expire() { s.failTransaction() }

// Close ends the session and rolls back.
func (s *Session) Close() {
	if s.tx != nil && s.tx.link != nil {
		s.tx.link.Discard()
	}
	s.tx = nil
}

// Handle runs one statement and returns the answer for the caller. Transaction is
// the caller's state after it.
func (s *Session) Handle(ctx context.Context, st request.Statement) request.Answer {
	e := &execution{s: s, st: st, began: s.p.cfg.Clock()}
	answer, err := e.run(ctx)
	if err != nil {
		answer.Err = s.sendElsewhere(verdict.As(err, verdict.MayHaveRun))
		answer.Rows, answer.Signature = nil, ""
	}
	answer.Transaction = s.State()
	e.report(answer)
	return answer
}

// sendElsewhere marks a refusal for want of tokens, connections or a primary at an
// instance that is cut off from most of the others: they have what it lacks.
func (s *Session) sendElsewhere(refused *verdict.Error) *verdict.Error {
	switch refused.Code {
	case verdict.CodeConfigurationLimit, verdict.CodeCannotConnectNow, verdict.CodeTooManyConnections:
		if refused.Verdict == verdict.NotRun && s.p.cfg.Admission.Isolated() {
			return refused.WithElsewhere(elsewhereHint)
		}
	}
	return refused
}

// State is the transaction state that the caller is told.
func (s *Session) State() request.Transaction {
	switch {
	case s.tx == nil:
		return request.Idle
	case s.tx.failed:
		return request.Failed
	default:
		return request.Open
	}
}

// local answers the statements that need no endpoint.
func (s *Session) local(st request.Statement) {
	switch st.Kind {
	case request.Set:
		if s.values == nil {
			s.values = make(map[string]string)
		}
		s.values[st.Name] = st.Value
	case request.Prepare:
		if s.prepared == nil {
			s.prepared = make(map[string]request.Prepared)
		}
		s.prepared[st.Name] = st.Prepared
	case request.Deallocate:
		delete(s.prepared, st.Name)
	}
}

// resolve fills in what a prepared statement does.
func (s *Session) resolve(st request.Statement) (request.Statement, error) {
	if st.Kind != request.Execute {
		return st, nil
	}
	prepared, ok := s.prepared[st.Name]
	if !ok {
		return st, verdict.New(verdict.NotRun, verdict.CodeUndefinedPreparedStmt, "there is no prepared statement %q", st.Name)
	}
	st.Prepared = prepared
	return st, nil
}

// reads tells whether a resolved statement has no effect.
func reads(st request.Statement) bool {
	return st.Kind == request.Read || st.Kind == request.Execute && !st.Prepared.Writes
}
