package database

import (
	"regexp"
	"strings"

	"zombiezen.com/go/sqlite"
	"zombiezen.com/go/sqlite/sqlitex"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
)

// description holds the columns of a statement's result; without columns there is
// no result.
type description struct {
	columns []string
	types   []uint32
}

var aggregatePattern = regexp.MustCompile(`(?i)^(?:max|min|sum)\(\s*(?:\w+\.)?(\w+)\s*\)$`)

// describe infers the columns of a statement's result after its transaction's
// earlier writes: it runs a read with NULL parameters up to the first row, and uses
// the declared types of the named columns where that gives no type.
func (s *store) describe(prior []*standinv1.Statement, sql string) (*description, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var d *description
	err := s.runAndRollBack(prior, func() error {
		var err error
		d, err = s.describeStatement(sql)
		return err
	})
	return d, err
}

func (s *store) describeStatement(sql string) (*description, error) {
	s.tables = make(map[string]struct{})
	stmt, write, err := s.prepare(sql)
	tables := s.tables
	s.tables = nil
	if err != nil {
		return nil, err
	}
	defer stmt.Finalize() //nolint:errcheck,misspell // the statement is discarded
	d := &description{types: make([]uint32, stmt.ColumnCount())}
	for i := range stmt.ColumnCount() {
		d.columns = append(d.columns, stmt.ColumnName(i))
	}
	if !write && len(d.columns) > 0 {
		if more, err := stmt.Step(); err == nil && more {
			row, _ := readRow(stmt)
			d.types = typesOf(len(row), [][]any{row})
		}
	}
	for i, name := range d.columns {
		if d.types[i] == 0 {
			d.types[i] = s.declaredType(tables, name)
		}
	}
	return d, nil
}

// declaredType returns the type of a column as declared in the tables that the
// statement uses, or text if none declares it.
func (s *store) declaredType(tables map[string]struct{}, column string) uint32 {
	if inner := aggregatePattern.FindStringSubmatch(column); inner != nil {
		column = inner[1]
	}
	oid := uint32(oidText)
	for table := range tables {
		_ = sqlitex.ExecuteTransient(s.conn, `SELECT type FROM pragma_table_info(?1) WHERE name = ?2`, &sqlitex.ExecOptions{
			Args: []any{table, column},
			ResultFunc: func(stmt *sqlite.Stmt) error {
				oid = oidOfDeclaration(stmt.ColumnText(0))
				return nil
			},
		})
	}
	return oid
}

// oidOfDeclaration maps a declared type by its substrings, similar to SQLite's
// rules of column affinity.
func oidOfDeclaration(declared string) uint32 {
	declared = strings.ToUpper(declared)
	for _, mapping := range []struct {
		part string
		oid  uint32
	}{
		{"INT", oidInt8},
		{"BOOL", oidInt8},
		{"REAL", oidFloat8},
		{"FLOA", oidFloat8},
		{"DOUBLE", oidFloat8},
		{"BLOB", oidBytea},
		{"BYTEA", oidBytea},
	} {
		if strings.Contains(declared, mapping.part) {
			return mapping.oid
		}
	}
	return oidText
}
