package database

import (
	"context"
	"regexp"
	"strings"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Transaction states as ReadyForQuery reports them.
const (
	statusIdle    byte = 'I'
	statusInBlock byte = 'T'
	statusFailed  byte = 'E'
)

// transaction is a session's open transaction, if its status is not idle.
type transaction struct {
	status byte
	// implicit is true for a transaction around several statements without BEGIN; it
	// ends with their Query message, Sync or COPY.
	implicit bool
	readOnly bool
	// writes are the statements to run again at COMMIT. They include SELECT ... FOR
	// UPDATE, to detect that other transactions changed the rows it returned.
	writes     []*standinv1.Statement
	savepoints []savepoint
}

type savepoint struct {
	name   string
	writes int
}

var savepointPattern = regexp.MustCompile(`(?i)^(?:savepoint|release(?:\s+savepoint)?|rollback(?:\s+(?:work|transaction))?\s+to(?:\s+savepoint)?)\s+(\w+)$`)

// transactionCommand runs a statement that begins or ends a transaction or handles a
// savepoint. It returns the command tag.
func (s *session) transactionCommand(ctx context.Context, st statementText) (string, error) {
	switch st.keyword {
	case "BEGIN", "START":
		return s.begin(st), nil
	case "COMMIT", "END":
		return s.commit(ctx)
	case "SAVEPOINT":
		return "SAVEPOINT", s.setSavepoint(st.sql)
	case "RELEASE":
		return "RELEASE", s.releaseSavepoint(st.sql)
	}
	if savepointPattern.MatchString(st.sql) {
		return "ROLLBACK", s.rollbackTo(st.sql)
	}
	s.txn = transaction{status: statusIdle}
	return "ROLLBACK", nil
}

func (s *session) begin(st statementText) string {
	if s.txn.status == statusIdle || s.txn.implicit {
		s.txn.status, s.txn.implicit = statusInBlock, false
		s.txn.readOnly = strings.Contains(strings.ToUpper(st.sql), "READ ONLY")
	}
	return "BEGIN"
}

func (s *session) commit(ctx context.Context) (string, error) {
	txn := s.txn
	s.txn = transaction{status: statusIdle}
	if txn.status == statusFailed {
		return "ROLLBACK", nil
	}
	if len(txn.writes) == 0 {
		return "COMMIT", nil
	}
	release, err := s.server.acquireSlot(ctx)
	if err != nil {
		return "", err
	}
	defer release()
	p, err := s.server.commit(txn.writes)
	if err != nil {
		return "", err
	}
	s.logPosition = p
	return "COMMIT", nil
}

// endImplicitTransaction discards the session's transaction if it is implicit.
func (s *session) endImplicitTransaction() {
	if s.txn.implicit {
		s.txn = transaction{status: statusIdle}
	}
}

func (s *session) setSavepoint(sql string) error {
	if s.txn.status == statusIdle {
		return newSQLError("25P01", "SAVEPOINT can only be used in transaction blocks")
	}
	name := savepointName(sql)
	s.txn.savepoints = append(s.txn.savepoints, savepoint{name: name, writes: len(s.txn.writes)})
	return nil
}

func (s *session) releaseSavepoint(sql string) error {
	index, err := s.findSavepoint(sql)
	if err != nil {
		return err
	}
	s.txn.savepoints = s.txn.savepoints[:index]
	return nil
}

func (s *session) rollbackTo(sql string) error {
	index, err := s.findSavepoint(sql)
	if err != nil {
		return err
	}
	s.txn.writes = s.txn.writes[:s.txn.savepoints[index].writes]
	s.txn.savepoints = s.txn.savepoints[:index+1]
	s.txn.status = statusInBlock
	return nil
}

func (s *session) findSavepoint(sql string) (int, error) {
	name := savepointName(sql)
	for i := len(s.txn.savepoints) - 1; i >= 0; i-- {
		if s.txn.savepoints[i].name == name {
			return i, nil
		}
	}
	return 0, newSQLError(codeInvalidSavepoint, "savepoint does not exist")
}

func savepointName(sql string) string {
	match := savepointPattern.FindStringSubmatch(sql)
	if match == nil {
		return ""
	}
	return strings.ToLower(match[1])
}

// dataStatement runs a statement on the data: outside a transaction it reads or
// commits at once; inside one it runs after the transaction's earlier writes and, if
// it writes or locks, joins them.
func (s *session) dataStatement(ctx context.Context, text statementText, arguments []*standinv1.Value) (*result, error) {
	st := &standinv1.Statement{Sql: text.sql, Arguments: arguments}
	readOnly := s.txn.readOnly || !s.server.IsPrimary()
	if text.locks && readOnly {
		return nil, errReadOnly
	}
	locks := text.locks && s.txn.status != statusIdle
	if len(s.txn.writes) == 0 && !locks {
		res, err := s.server.store.read(ctx, st, readOnly)
		if err == nil {
			s.logPosition = res.logPosition
		}
		if err != errIsWrite { //nolint:errorlint // a sentinel that is never wrapped
			return res, err
		}
		if s.txn.status == statusIdle {
			return s.autocommit(ctx, st)
		}
	}
	res, err := s.server.store.dryRun(ctx, s.txn.writes, st, readOnly)
	if err != nil {
		return nil, err
	}
	if res.write || locks {
		res.recordIn(st)
		s.txn.writes = append(s.txn.writes, st)
	}
	return res, nil
}

func (s *session) autocommit(ctx context.Context, st *standinv1.Statement) (*result, error) {
	res, err := s.server.autocommit(ctx, st)
	if err == nil {
		s.logPosition = res.logPosition
	}
	return res, err
}

// errTransactionAborted is the error of statements in a failed transaction.
var errTransactionAborted = newSQLError(verdict.CodeInFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
