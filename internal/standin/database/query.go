package database

import (
	"context"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
)

// rowsPerFlush is the number of rows after which the send buffer is flushed.
const rowsPerFlush = 256

// execution is an executed statement: its result, if it has one, and its command tag.
type execution struct {
	result *result
	tag    string
	// release frees the slot; close calls it when the result has been read or is
	// discarded.
	release func()
}

// close discards the remaining rows and frees the slot.
func (e *execution) close() {
	if e.result != nil && e.result.remaining != nil {
		e.result.remaining.close()
		e.result.remaining = nil
	}
	if e.release != nil {
		e.release()
		e.release = nil
	}
}

// simpleQuery runs the statements of one Query message. Several statements form an
// implicit transaction unless they contain transaction commands or one is open.
func (s *session) simpleQuery(ctx context.Context, text string) {
	ctx, done := s.interruptible(ctx)
	defer done()
	statements := splitStatements(text)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return
	}
	if len(statements) > 1 && s.txn.status == statusIdle {
		s.txn = transaction{status: statusInBlock, implicit: true}
	}
	for _, statement := range statements {
		if err := s.simpleStatement(ctx, rewrite(statement)); err != nil {
			s.fail(err)
			s.endImplicitTransaction()
			return
		}
	}
	if s.txn.implicit {
		if _, err := s.commit(ctx); err != nil {
			s.fail(err)
		}
	}
}

func (s *session) simpleStatement(ctx context.Context, st statementText) error {
	if st.keyword == "COPY" {
		return s.copy(ctx, st)
	}
	e, err := s.execute(ctx, st, nil)
	if err != nil {
		return err
	}
	defer e.close()
	if e.result != nil && len(e.result.columns) > 0 {
		s.backend.Send(rowDescription(e.result.columns, e.result.types, nil))
	}
	_, err = s.sendRows(ctx, e, e.types(), nil, 0)
	return err
}

func (e *execution) types() []uint32 {
	if e.result == nil {
		return nil
	}
	return e.result.types
}

// execute runs one statement; COPY and unsupported statements fail.
func (s *session) execute(ctx context.Context, st statementText, arguments []*standinv1.Value) (*execution, error) {
	switch st.keyword {
	case "BEGIN", "START", "COMMIT", "END", "ROLLBACK", "ABORT", "SAVEPOINT", "RELEASE":
		if s.txn.status == statusFailed && (st.keyword == "SAVEPOINT" || st.keyword == "RELEASE") {
			return nil, errTransactionAborted
		}
		tag, err := s.transactionCommand(ctx, st)
		return &execution{tag: tag}, err
	}
	if s.txn.status == statusFailed {
		return nil, errTransactionAborted
	}
	switch st.keyword {
	case "SET", "SHOW", "RESET", "DISCARD", "DEALLOCATE":
		return s.settingCommand(st)
	case "COPY", "PREPARE", "EXECUTE", "DECLARE", "FETCH", "LISTEN", "NOTIFY", "LOCK", "PRAGMA", "ATTACH", "DETACH", "VACUUM":
		return nil, errUnsupported
	}
	return s.executeData(ctx, st, arguments)
}

func (s *session) executeData(ctx context.Context, st statementText, arguments []*standinv1.Value) (*execution, error) {
	release, err := s.server.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	if err := pgSleep(ctx, st.sql, arguments); err != nil {
		release()
		return nil, err
	}
	res, err := s.dataStatement(ctx, st, arguments)
	if err != nil {
		release()
		return nil, err
	}
	return &execution{result: res, tag: commandTag(st, res), release: release}, nil
}

// commandTag returns the command tag; for a read, sendRows appends the number of
// rows.
func commandTag(st statementText, res *result) string {
	if !res.write {
		return "SELECT "
	}
	rowsAffected := strconv.FormatInt(res.rowsAffected, 10)
	switch st.keyword {
	case "INSERT", "REPLACE":
		return "INSERT 0 " + rowsAffected
	case "UPDATE", "DELETE":
		return st.keyword + " " + rowsAffected
	case "WITH":
		return "UPDATE " + rowsAffected
	case "CREATE", "DROP", "ALTER":
		return st.keyword + " TABLE"
	}
	return st.keyword
}

// sendRows sends up to limit rows of a result (0 means all), and the command tag
// when the result ends. It reports whether rows may remain.
func (s *session) sendRows(ctx context.Context, e *execution, types []uint32, formats []int16, limit int) (suspended bool, err error) {
	sent := 0
	for e.result != nil && len(e.result.columns) > 0 {
		row, err := e.result.nextRow(ctx)
		if err != nil {
			return false, err
		}
		if row == nil {
			break
		}
		data, err := encodeRow(row, types, formats)
		if err != nil {
			return false, err
		}
		s.backend.Send(data)
		sent++
		if sent%rowsPerFlush == 0 {
			if err := s.backend.Flush(); err != nil {
				return false, err
			}
		}
		if sent == limit {
			s.backend.Send(&pgproto3.PortalSuspended{})
			return true, nil
		}
	}
	tag := e.tag
	if e.result != nil && !e.result.write {
		tag += strconv.Itoa(sent)
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return false, nil
}

// nextRow returns the next row, or nil at the end.
func (r *result) nextRow(ctx context.Context) ([]any, error) {
	if len(r.rows) == 0 && r.remaining != nil {
		rows, err := r.remaining.next(ctx)
		if err != nil {
			return nil, err
		}
		if r.rows = rows; len(rows) == 0 {
			r.remaining = nil
		}
	}
	if len(r.rows) == 0 {
		return nil, nil
	}
	row := r.rows[0]
	r.rows = r.rows[1:]
	return row, nil
}
