package database

import (
	"context"
	"strconv"
	"strings"

	"zombiezen.com/go/sqlite"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
)

// options control how a statement is executed.
type options struct {
	// readOnly rejects writes with errReadOnly.
	readOnly bool
	// refuseWrite rejects writes with errIsWrite before they run.
	refuseWrite bool
	// stream returns the first chunk of rows and a cursor for the remaining ones.
	stream bool
}

// errIsWrite makes the caller of execute run the statement as a write.
var errIsWrite = newSQLError("XX000", "statement writes")

// cursor reads the remaining rows of a result. It steps its statement under store.mu.
type cursor struct {
	store *store
	sql   string
	stmt  *sqlite.Stmt // guarded by store.mu; nil once finished
	done  bool         // guarded by store.mu; true after the last row
}

// execute runs one statement. Callers must hold mu.
func (s *store) execute(ctx context.Context, st *standinv1.Statement, o options) (*result, error) {
	stmt, write, err := s.prepare(st.GetSql())
	if err != nil {
		return nil, err
	}
	c := &cursor{store: s, sql: st.GetSql(), stmt: stmt}
	s.cursors[c] = struct{}{}
	switch {
	case write && o.readOnly:
		err = errReadOnly
	case write && o.refuseWrite:
		err = errIsWrite
	default:
		err = bindArguments(stmt, st.GetArguments())
	}
	if err != nil {
		c.finish()
		return nil, err
	}
	return c.begin(ctx, write, o)
}

func (c *cursor) begin(ctx context.Context, write bool, o options) (*result, error) {
	res := &result{write: write, logPosition: c.store.positionOf(c.store.applied)}
	for i := range c.stmt.ColumnCount() {
		res.columns = append(res.columns, c.stmt.ColumnName(i))
	}
	limit := maxBufferedBytes
	if o.stream {
		limit = chunkBytes
	}
	rows, done, err := c.step(ctx, limit)
	if err != nil {
		return nil, err
	}
	res.rows, res.types = rows, typesOf(len(res.columns), rows)
	if write && changesRows(c.sql) {
		res.rowsAffected = int64(c.store.conn.Changes())
	}
	if done {
		return res, nil
	}
	if !o.stream {
		c.finish()
		return nil, errResultTooLarge
	}
	res.remaining = c
	return res, nil
}

// next returns the next chunk of rows, or none at the end.
func (c *cursor) next(ctx context.Context) ([][]any, error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if c.done {
		return nil, nil
	}
	if c.stmt == nil {
		return nil, errRecoveryConflict
	}
	rows, _, err := c.step(ctx, chunkBytes)
	return rows, err
}

// step reads rows until their size reaches limit bytes; done reports whether it
// finished the statement. Callers must hold store.mu.
func (c *cursor) step(ctx context.Context, limit int) (rows [][]any, done bool, err error) {
	for size := 0; size < limit; {
		if ctx.Err() != nil {
			c.finish()
			return nil, true, errCancelled
		}
		more, err := c.stmt.Step()
		if err != nil || !more {
			c.done = err == nil
			c.finish()
			return rows, true, err
		}
		row, bytes := readRow(c.stmt)
		rows = append(rows, row)
		size += bytes
	}
	return rows, false, nil
}

// finish frees the statement. Callers must hold store.mu.
func (c *cursor) finish() {
	if c.stmt == nil {
		return
	}
	delete(c.store.cursors, c)
	_ = c.stmt.Finalize() //nolint:misspell // the library's spelling
	c.stmt = nil
}

// close discards the remaining rows.
func (c *cursor) close() {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.finish()
}

func readRow(stmt *sqlite.Stmt) (row []any, bytes int) {
	row = make([]any, stmt.ColumnCount())
	for i := range row {
		switch stmt.ColumnType(i) {
		case sqlite.TypeInteger:
			row[i] = stmt.ColumnInt64(i)
		case sqlite.TypeFloat:
			row[i] = stmt.ColumnFloat(i)
		case sqlite.TypeText:
			row[i] = stmt.ColumnText(i)
		case sqlite.TypeBlob:
			blob := make([]byte, stmt.ColumnLen(i))
			stmt.ColumnBytes(i, blob)
			row[i] = blob
		}
		bytes += stmt.ColumnLen(i) + valueOverheadBytes
	}
	return row, bytes
}

// valueOverheadBytes is the memory that a value takes in addition to its content.
const valueOverheadBytes = 24

// bindArguments binds the parameters $1, $2 and so on.
func bindArguments(stmt *sqlite.Stmt, arguments []*standinv1.Value) error {
	for i := 1; i <= stmt.BindParamCount(); i++ {
		number := parameterNumber(stmt.BindParamName(i))
		if number < 1 || number > len(arguments) {
			return newSQLError("08P01", "no value for parameter "+stmt.BindParamName(i))
		}
		switch v := arguments[number-1].GetKind().(type) {
		case *standinv1.Value_Integer:
			stmt.BindInt64(i, v.Integer)
		case *standinv1.Value_Real:
			stmt.BindFloat(i, v.Real)
		case *standinv1.Value_Text:
			stmt.BindText(i, v.Text)
		case *standinv1.Value_Blob:
			stmt.BindBytes(i, v.Blob)
		default:
			stmt.BindNull(i)
		}
	}
	return nil
}

// parameterNumber parses a name like "$3"; it returns 0 for any other name.
func parameterNumber(name string) int {
	number, err := strconv.Atoi(strings.TrimPrefix(name, "$"))
	if err != nil {
		return 0
	}
	return number
}
