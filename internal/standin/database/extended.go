package database

import (
	"bytes"
	"context"
	"regexp"
	"slices"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// preparedStatement is the result of a Parse message.
type preparedStatement struct {
	text statementText
	// parameterTypes are type OIDs; 0 means unspecified.
	parameterTypes []uint32
	// described is nil if the store doesn't run the statement, or if it was parsed
	// in a failed transaction.
	described *description
}

// portal is the result of a Bind message.
type portal struct {
	statement *preparedStatement
	arguments []*standinv1.Value
	formats   []int16
	// execution is nil until the first Execute message.
	execution *execution
}

var parameterPattern = regexp.MustCompile(`\$(\d+)`)

// runQueue runs the queued messages. Several Execute messages in the queue form an
// implicit transaction unless a transaction is open.
func (s *session) runQueue(ctx context.Context) {
	queue := s.queue
	s.queue = nil
	if s.txn.status == statusIdle && countExecutes(queue) > 1 {
		s.txn = transaction{status: statusInBlock, implicit: true}
	}
	for _, message := range queue {
		if err := s.handleExtended(ctx, message); err != nil {
			s.fail(err)
			s.skipUntilSync = true
			return
		}
	}
}

// endPipeline commits the implicit transaction at a Sync, unless it has failed.
func (s *session) endPipeline(ctx context.Context) {
	s.skipUntilSync = false
	if s.txn.implicit && s.txn.status == statusInBlock {
		if _, err := s.commit(ctx); err != nil {
			s.fail(err)
		}
	}
	s.endImplicitTransaction()
}

func countExecutes(queue []pgproto3.FrontendMessage) int {
	count := 0
	for _, message := range queue {
		if _, ok := message.(*pgproto3.Execute); ok {
			count++
		}
	}
	return count
}

// cloneMessage copies a message, as the receive buffer is reused.
func cloneMessage(message pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch m := message.(type) {
	case *pgproto3.Parse:
		clone := *m
		clone.ParameterOIDs = slices.Clone(m.ParameterOIDs)
		return &clone
	case *pgproto3.Bind:
		clone := *m
		clone.Parameters = make([][]byte, len(m.Parameters))
		for i, parameter := range m.Parameters {
			clone.Parameters[i] = bytes.Clone(parameter)
		}
		clone.ParameterFormatCodes = slices.Clone(m.ParameterFormatCodes)
		clone.ResultFormatCodes = slices.Clone(m.ResultFormatCodes)
		return &clone
	case *pgproto3.Describe:
		clone := *m
		return &clone
	case *pgproto3.Execute:
		clone := *m
		return &clone
	case *pgproto3.Close:
		clone := *m
		return &clone
	}
	return message
}

// handleExtended handles one message of the extended query protocol.
func (s *session) handleExtended(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return s.handleParse(m)
	case *pgproto3.Bind:
		return s.handleBind(m)
	case *pgproto3.Describe:
		return s.handleDescribe(m)
	case *pgproto3.Execute:
		return s.executePortal(ctx, m)
	case *pgproto3.Close:
		return s.handleClose(m)
	}
	return newSQLError(verdict.CodeProtocolViolation, "unexpected message")
}

func (s *session) handleParse(m *pgproto3.Parse) error {
	if _, exists := s.prepared[m.Name]; exists && m.Name != "" {
		return newSQLError(verdict.CodeDuplicatePreparedStmt, "prepared statement "+strconv.Quote(m.Name)+" already exists")
	}
	if len(splitStatements(m.Query)) > 1 {
		return newSQLError(codeSyntaxError, "cannot insert multiple commands into a prepared statement")
	}
	statement := &preparedStatement{text: rewrite(m.Query), parameterTypes: slices.Clone(m.ParameterOIDs)}
	for _, match := range parameterPattern.FindAllStringSubmatch(statement.text.sql, -1) {
		number, _ := strconv.Atoi(match[1])
		for len(statement.parameterTypes) < number {
			statement.parameterTypes = append(statement.parameterTypes, 0)
		}
	}
	if statement.text.isDataStatement() && s.txn.status != statusFailed {
		described, err := s.server.store.describe(s.txn.writes, statement.text.sql)
		if err != nil {
			return err
		}
		statement.described = described
	}
	s.prepared[m.Name] = statement
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// isDataStatement reports whether the store runs the statement.
func (t statementText) isDataStatement() bool {
	switch t.keyword {
	case "", "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE",
		"SET", "SHOW", "RESET", "DISCARD", "DEALLOCATE", "COPY", "PREPARE", "EXECUTE", "DECLARE",
		"FETCH", "LISTEN", "NOTIFY", "LOCK", "PRAGMA", "ATTACH", "DETACH", "VACUUM":
		return false
	}
	return true
}

func (s *session) handleBind(m *pgproto3.Bind) error {
	statement, ok := s.prepared[m.PreparedStatement]
	if !ok {
		return newSQLError(verdict.CodeUndefinedPreparedStmt, "prepared statement "+strconv.Quote(m.PreparedStatement)+" does not exist")
	}
	if len(m.Parameters) != len(statement.parameterTypes) {
		return newSQLError(verdict.CodeProtocolViolation, "bind message supplies another number of parameters than the statement has")
	}
	p := &portal{statement: statement, formats: slices.Clone(m.ResultFormatCodes)}
	for i, data := range m.Parameters {
		value, err := decodeArgument(data, statement.parameterTypes[i], formatAt(m.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		p.arguments = append(p.arguments, value)
	}
	s.closePortal(m.DestinationPortal)
	s.portals[m.DestinationPortal] = p
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) handleDescribe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		p, ok := s.portals[m.Name]
		if !ok {
			return newSQLError(codeUndefinedPortal, "portal does not exist")
		}
		s.sendDescription(p.statement, p.formats)
		return nil
	}
	statement, ok := s.prepared[m.Name]
	if !ok {
		return newSQLError(verdict.CodeUndefinedPreparedStmt, "prepared statement does not exist")
	}
	s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: statement.parameterTypes})
	s.sendDescription(statement, nil)
	return nil
}

func (s *session) sendDescription(statement *preparedStatement, formats []int16) {
	d := statement.described
	if statement.text.keyword == "SHOW" {
		d = &description{columns: []string{"setting"}, types: []uint32{oidText}}
	}
	if d == nil || len(d.columns) == 0 {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	s.backend.Send(rowDescription(d.columns, d.types, formats))
}

func (s *session) executePortal(ctx context.Context, m *pgproto3.Execute) error {
	p, ok := s.portals[m.Portal]
	if !ok {
		return newSQLError(codeUndefinedPortal, "portal does not exist")
	}
	if p.statement.text.sql == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	ctx, done := s.interruptible(ctx)
	defer done()
	if p.execution == nil {
		e, err := s.execute(ctx, p.statement.text, p.arguments)
		if err != nil {
			return err
		}
		p.execution = e
	}
	types := p.execution.types()
	if p.statement.described != nil {
		types = p.statement.described.types
	}
	suspended, err := s.sendRows(ctx, p.execution, types, p.formats, int(m.MaxRows))
	if !suspended {
		p.execution.close()
	}
	return err
}

func (s *session) handleClose(m *pgproto3.Close) error {
	if m.ObjectType == 'P' {
		s.closePortal(m.Name)
	} else {
		delete(s.prepared, m.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
	return nil
}

func (s *session) closePortal(name string) {
	if p, ok := s.portals[name]; ok && p.execution != nil {
		p.execution.close()
	}
	delete(s.portals, name)
}

func (s *session) closePortals() {
	for name := range s.portals {
		s.closePortal(name)
	}
}
