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
	// chunkBytes is how much of a result is read under one hold of the lock.
	chunkBytes = 256 << 10
	// maxBufferedBytes bounds a result that cannot be streamed.
	maxBufferedBytes = 64 << 20
)

// store is the data of one server as of a place in its log.
type store struct {
	// positionOf names the place of an offset. It is called with mu held.
	positionOf func(offset uint64) position.Position
	// inRecovery answers pg_is_in_recovery(). It is called with mu held.
	inRecovery func() bool

	mu              sync.Mutex
	conn            *sqlite.Conn         // guarded by mu
	applied         uint64               // guarded by mu; offset of the last record that was run
	cursors         map[*cursor]struct{} // guarded by mu; results that are still being read
	preparedIsWrite bool                 // guarded by mu; whether the statement prepared last writes
	tables          map[string]struct{}  // guarded by mu; collects the tables of a statement, unless nil
}

// result is what a statement gave: its first rows, and a cursor when there are more.
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

// recordIn keeps what the statement did, to be compared when it is run again.
func (r *result) recordIn(st *standinv1.Statement) {
	st.Rows, st.Digest = r.rowsAffected, digestOf(r.rows)
}

// digestOf hashes rows; it is 0 for none.
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

// reopen begins with an empty database. Callers hold mu, or own s alone.
func (s *store) reopen() error {
	s.closeCursors()
	if s.conn != nil {
		_ = s.conn.Close()
	}
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
	_ = s.conn.Close()
}

// authorize notes whether a statement writes, and refuses what cannot be
// replicated by running it again.
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

// prepare compiles one statement and tells whether it writes. Callers hold mu.
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

// read executes a statement that must not write, and streams its result. It
// returns errIsWrite, or errReadOnly, for a write.
func (s *store) read(ctx context.Context, st *standinv1.Statement, readOnly bool) (*result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.execute(ctx, st, options{readOnly: readOnly, refuseWrite: true, stream: true})
}

// dryRun executes a statement as its transaction sees it, after the transaction's
// earlier writes, and leaves nothing changed.
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

// runAndRollBack runs f after the prior writes and undoes everything. Without prior
// writes f still runs inside a transaction that is undone. Callers hold mu.
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

// commit runs a transaction's writes and makes them lasting if admit, which
// appends them to the log, agrees.
func (s *store) commit(writes []*standinv1.Statement, appendLog func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transact(func() error { return s.replay(writes, true) }, appendLog)
}

// autocommit runs a single write as a transaction of its own.
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

// replay runs writes again. With check, a statement that changes another number
// of rows than at first, or returns others, is a conflict (40001). Callers hold mu.
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

// apply runs the next record of the log at a replica.
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

// rebuild begins anew from the first records of the log. Callers hold mu.
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

// isNonDeterministic tells whether a write would give another result at a replica.
func isNonDeterministic(sql string) bool {
	lower := strings.ToLower(sql)
	return slices.ContainsFunc(nonDeterministicParts, func(part string) bool { return strings.Contains(lower, part) })
}
