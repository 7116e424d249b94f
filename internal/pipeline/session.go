package pipeline

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// publicUser is the organisation reported to endpoints for callers without a valid key on
// public routes.
const publicUser = "-"

// Session is the state of one caller's session. It must be used by one goroutine at a time.
type Session struct {
	p        *Pipeline
	database string
	key      catalog.KeyHash
	// identifiedBy is the version of the configuration that identify used last.
	identifiedBy uint64

	values   map[string]string
	prepared map[string]request.Prepared
	// floor is the position of the session's latest acknowledged write or commit.
	floor position.Position
	tx    *transaction
}

// Open begins a session. The error is a NotRun verdict.
func (p *Pipeline) Open(database string, key catalog.KeyHash) (*Session, error) {
	s := &Session{p: p, database: database, key: key}
	if _, _, err := s.identify(); err != nil {
		p.requestLog.writeLine(event.SessionRefused, zap.String("database", database), zap.String("cause", err.Error()), zap.Uint64("configuration", s.identifiedBy))
		return nil, err
	}
	return s, nil
}

// identify returns the session's route and organisation according to the current
// configuration.
func (s *Session) identify() (catalog.Route, string, error) {
	c := s.p.cfg.Configuration()
	s.identifiedBy = c.Version
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

// InTransaction reports whether the session has an open or failed transaction.
func (s *Session) InTransaction() bool { return s.tx != nil }

// StatementTimeout returns how long a statement may take that the caller sends next.
func (s *Session) StatementTimeout() time.Duration {
	if s.tx != nil {
		return statementTimeout(s.tx.route)
	}
	return statementTimeout(s.p.cfg.Configuration().Routes[s.database])
}

// TransactionIdleTimeout returns how long the transaction may stay idle, or 0 for no limit. A
// transaction that holds no connection has none.
func (s *Session) TransactionIdleTimeout() time.Duration {
	if s.tx == nil || s.tx.conn == nil {
		return 0
	}
	return s.p.cfg.Configuration().TransactionIdle
}

// Expire rolls back the transaction of a caller that was idle for too long. The caller
// receives the error with its next statement.
func (s *Session) Expire() { s.failTransaction() }

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() {
	if s.tx != nil && s.tx.conn != nil {
		s.tx.conn.Discard()
	}
	s.tx = nil
}

// Handle runs one statement and returns the answer for the caller. The answer's
// Transaction field is the session's transaction state after the statement.
func (s *Session) Handle(ctx context.Context, st request.Statement) request.Answer {
	e := &execution{s: s, st: st, startedAt: s.p.cfg.Clock()}
	answer, err := e.run(ctx)
	if err != nil {
		answer.Err = s.markElsewhere(verdict.As(err, verdict.MayHaveRun))
		answer.Rows, answer.Signature = nil, ""
	}
	answer.Transaction = s.State()
	e.report(answer)
	return answer
}

// markElsewhere marks a refusal for lack of tokens, connections or a primary when this
// instance is cut off from most of the others, which have what it lacks.
func (s *Session) markElsewhere(refused *verdict.Error) *verdict.Error {
	switch refused.Code {
	case verdict.CodeConfigurationLimit, verdict.CodeCannotConnectNow, verdict.CodeTooManyConnections:
		if refused.Verdict == verdict.NotRun && s.p.cfg.Admission.Isolated() {
			return refused.WithElsewhere(elsewhereRetryAfter)
		}
	}
	return refused
}

// State returns the session's transaction state as reported to the caller.
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

// applyLocally applies statements that change only the session and need no endpoint.
func (s *Session) applyLocally(st request.Statement) {
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

// resolvePrepared fills in the prepared statement that an Execute refers to.
func (s *Session) resolvePrepared(st request.Statement) (request.Statement, error) {
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
