package database

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"zombiezen.com/go/sqlite"
	"zombiezen.com/go/sqlite/ext/generateseries"
	"zombiezen.com/go/sqlite/sqlitex"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

const (
	// chunkBytes is how much of a result is read before the lock is released.
	chunkBytes = 256 << 10
	// maxBufferedBytes limits results that cannot be streamed, and the data of a
	// COPY FROM.
	maxBufferedBytes = 64 << 20
)

// store holds the data of one server, as of an offset in its log.
type store struct {
	// positionOf returns the log position of an offset. It is called with mu held.
	positionOf func(offset uint64) position.Position
	// inRecovery is the value of pg_is_in_recovery(). It is called with mu held.
	inRecovery func() bool

	mu              sync.Mutex
	conn            *sqlite.Conn         // guarded by mu
	applied         uint64               // guarded by mu; offset of the last applied record
	cursors         map[*cursor]struct{} // guarded by mu; open cursors
	preparedIsWrite bool                 // guarded by mu; whether the last prepared statement writes
	tables          map[string]struct{}  // guarded by mu; if not nil, collects the tables that a statement uses
}

// result is a statement's result: its first rows, and a cursor if more may remain.
type result struct {
	columns   []string
	types     []uint32
	rows      [][]any
	remaining *cursor
	// rowsAffected is the number of rows that a write changed.
	rowsAffected int64
	write        bool
	logPosition  position.Position
}

// recordIn stores the result's number of changed rows and digest in the statement;
// replay compares them when it runs the statement again.
func (r *result) recordIn(st *standinv1.Statement) {
	st.Rows, st.Digest = r.rowsAffected, digestOf(r.rows)
}

// digestOf returns a hash of the rows, or 0 if there are none.
func digestOf(rows [][]any) uint64 {
	if len(rows) == 0 {
		return 0
	}
	hash := xxhash.New()
	for _, row := range rows {
		_, _ = hash.Write(encodeCopyRow(row))
	}
	return hash.Sum64()
}

func newStore(positionOf func(uint64) position.Position, inRecovery func() bool) (*store, error) {
	s := &store{positionOf: positionOf, inRecovery: inRecovery, cursors: make(map[*cursor]struct{})}
	return s, trace.Wrap(s.reopen())
}

// reopen replaces the database by an empty one. Callers must hold mu, or be the only
// user of s.
func (s *store) reopen() error {
	s.closeCursors()
	if s.conn != nil {
		_ = s.closeConn()
	}
	handles.Lock()
	defer handles.Unlock()
	conn, err := sqlite.OpenConn(":memory:", sqlite.OpenReadWrite, sqlite.OpenCreate, sqlite.OpenMemory)
	if err != nil {
		return trace.Wrap(err)
	}
	s.conn, s.applied = conn, 0
	if err := s.registerFunctions(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(conn.SetAuthorizer(sqlite.AuthorizeFunc(s.authorize)))
}

// handles serialises the opening and closing of databases. The library keys authorizers by the
// address of a database and removes that of a closed one after the address may be in use
// again.
var handles sync.Mutex

func (s *store) closeConn() error {
	handles.Lock()
	defer handles.Unlock()
	return s.conn.Close()
}

func (s *store) registerFunctions() error {
	if err := generateseries.Register(s.conn); err != nil {
		return trace.Wrap(err)
	}
	scalars := map[string]func() sqlite.Value{
		"pg_is_in_recovery": func() sqlite.Value { return boolValue(s.inRecovery()) },
		"version":           func() sqlite.Value { return sqlite.TextValue("PostgreSQL 17.0 (stand-in)") },
		"current_database":  func() sqlite.Value { return sqlite.TextValue("standin") },
		"pg_sleep":          func() sqlite.Value { return sqlite.TextValue("") },
	}
	for name, value := range scalars {
		err := s.conn.CreateFunction(name, &sqlite.FunctionImpl{
			NArgs: -1,
			Scalar: func(sqlite.Context, []sqlite.Value) (sqlite.Value, error) {
				return value(), nil
			},
		})
		if err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func boolValue(b bool) sqlite.Value {
	if b {
		return sqlite.IntegerValue(1)
	}
	return sqlite.IntegerValue(0)
}

// close frees the database.
func (s *store) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeCursors()
	_ = s.closeConn()
}

// authorize records whether a statement writes, and denies actions that cannot be
// replicated by running the statement again.
func (s *store) authorize(action sqlite.Action) sqlite.AuthResult {
	if s.tables != nil && action.Table() != "" {
		s.tables[action.Table()] = struct{}{}
	}
	switch action.Type() {
	case sqlite.OpSelect, sqlite.OpRead, sqlite.OpFunction, sqlite.OpRecursive,
		sqlite.OpTransaction, sqlite.OpSavepoint:
		return sqlite.AuthResultOK
	case sqlite.OpPragma:
		if action.Pragma() == "table_info" {
			return sqlite.AuthResultOK
		}
		return sqlite.AuthResultDeny
	case sqlite.OpAttach, sqlite.OpDetach, sqlite.OpCreateTempTable:
		return sqlite.AuthResultDeny
	default:
		s.preparedIsWrite = true
		return sqlite.AuthResultOK
	}
}

// prepare compiles one statement and reports whether it writes. Callers must hold
// mu.
func (s *store) prepare(sql string) (*sqlite.Stmt, bool, error) {
	s.preparedIsWrite = false
	stmt, _, err := s.conn.PrepareTransient(sql)
	if err != nil {
		return nil, false, err
	}
	if s.preparedIsWrite && isNonDeterministic(sql) {
		_ = stmt.Finalize() //nolint:misspell // the library's spelling
		return nil, false, errUnsupported
	}
	return stmt, s.preparedIsWrite, nil
}

// read executes a statement that must not write, and streams its result. For a
// write it returns errReadOnly if readOnly is set, and errIsWrite otherwise.
func (s *store) read(ctx context.Context, st *standinv1.Statement, readOnly bool) (*result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.execute(ctx, st, options{readOnly: readOnly, refuseWrite: true, stream: true})
}

// dryRun executes a statement after its transaction's earlier writes, then rolls all
// of them back.
func (s *store) dryRun(ctx context.Context, prior []*standinv1.Statement, st *standinv1.Statement, readOnly bool) (*result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var res *result
	err := s.runAndRollBack(prior, func() error {
		var err error
		res, err = s.execute(ctx, st, options{readOnly: readOnly})
		return err
	})
	return res, err
}

// runAndRollBack runs the prior writes and f in a transaction, then rolls it back,
// also if there are no prior writes. Callers must hold mu.
func (s *store) runAndRollBack(prior []*standinv1.Statement, f func() error) error {
	if err := s.exec("BEGIN"); err != nil {
		return err
	}
	err := s.replay(prior, false)
	if err == nil {
		err = f()
	}
	if rollbackErr := s.exec("ROLLBACK"); err == nil {
		err = rollbackErr
	}
	return err
}

// commit runs a transaction's writes and commits them if appendLog, which appends
// them to the log, succeeds.
func (s *store) commit(writes []*standinv1.Statement, appendLog func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transact(func() error { return s.replay(writes, true) }, appendLog)
}

// autocommit runs a single write as a transaction.
func (s *store) autocommit(ctx context.Context, st *standinv1.Statement, appendLog func() error) (*result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var res *result
	err := s.transact(func() error {
		var err error
		res, err = s.execute(ctx, st, options{})
		if err == nil {
			res.recordIn(st)
		}
		return err
	}, appendLog)
	return res, err
}

func (s *store) transact(work, appendLog func() error) error {
	if err := s.exec("BEGIN"); err != nil {
		return err
	}
	err := work()
	if err == nil {
		err = appendLog()
	}
	if err != nil {
		_ = s.exec("ROLLBACK")
		return err
	}
	if err := s.exec("COMMIT"); err != nil {
		return err
	}
	s.applied++
	return nil
}

// replay runs writes again. With check, a statement that changes a different number
// of rows or returns different rows than the first time is a conflict (40001).
// Callers must hold mu.
func (s *store) replay(writes []*standinv1.Statement, check bool) error {
	for _, st := range writes {
		res, err := s.execute(context.Background(), st, options{})
		if err != nil {
			return err
		}
		if check && (res.rowsAffected != st.GetRows() || digestOf(res.rows) != st.GetDigest()) {
			return errConcurrentUpdate
		}
	}
	return nil
}

// apply runs the next record of the log. If that fails while cursors are open, it
// closes them and tries again. Callers must hold mu.
func (s *store) apply(record *standinv1.Record) error {
	work := func() error { return s.replay(record.GetStatements(), false) }
	skipLog := func() error { return nil }
	err := s.transact(work, skipLog)
	if err != nil && len(s.cursors) > 0 {
		s.closeCursors()
		err = s.transact(work, skipLog)
	}
	return trace.Wrap(err)
}

// rebuild replaces the data by that of the given first records of the log. Callers
// must hold mu.
func (s *store) rebuild(records []*standinv1.Record) error {
	if err := s.reopen(); err != nil {
		return trace.Wrap(err)
	}
	for _, record := range records {
		if err := s.apply(record); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (s *store) exec(sql string) error {
	return sqlitex.ExecuteTransient(s.conn, sql, nil)
}

func (s *store) closeCursors() {
	for c := range s.cursors {
		c.finish()
	}
}

var nonDeterministicParts = []string{"random(", "randomblob(", "current_timestamp", "current_time", "current_date", "'now'"}

// isNonDeterministic reports whether a write could have a different result on a
// replica.
func isNonDeterministic(sql string) bool {
	lower := strings.ToLower(sql)
	return slices.ContainsFunc(nonDeterministicParts, func(part string) bool { return strings.Contains(lower, part) })
}
