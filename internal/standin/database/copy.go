package database

import (
	"context"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

var (
	copyInPattern  = regexp.MustCompile(`(?is)^copy\s+([\w."]+)\s*(\([^)]*\))?\s+from\s+stdin\s*$`)
	copyOutPattern = regexp.MustCompile(`(?is)^copy\s+(?:([\w."]+)\s*(?:\(([^)]*)\))?|\((.+)\))\s+to\s+stdout\s*$`)
)

const copyNull = `\N`

// copy runs COPY in text format.
func (s *session) copy(ctx context.Context, st statementText) error {
	if s.txn.status == statusFailed {
		return errTransactionAborted
	}
	if match := copyInPattern.FindStringSubmatch(st.sql); match != nil {
		return s.copyIn(ctx, match[1], match[2])
	}
	if match := copyOutPattern.FindStringSubmatch(st.sql); match != nil {
		return s.copyOut(ctx, copySource(match))
	}
	return errUnsupported
}

func copySource(match []string) string {
	if match[3] != "" {
		return match[3]
	}
	columns := match[2]
	if columns == "" {
		columns = "*"
	}
	return "SELECT " + columns + " FROM " + match[1]
}

// copyIn inserts the rows that the client sends, as one transaction.
func (s *session) copyIn(ctx context.Context, table, columns string) error {
	if s.txn.readOnly || !s.server.IsPrimary() {
		return errReadOnly
	}
	width, err := s.copyColumnCount(table, columns)
	if err != nil {
		return err
	}
	s.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, width)})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	data, err := s.receiveCopy()
	if err != nil {
		return err
	}
	ownTransaction := s.txn.status == statusIdle
	if ownTransaction {
		s.txn = transaction{status: statusInBlock, implicit: true}
	}
	rows, err := s.insertCopyRows(ctx, table, columns, width, data)
	if ownTransaction {
		if err == nil {
			_, err = s.commit(ctx)
		}
		s.endImplicitTransaction()
	}
	if err == nil {
		s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY " + strconv.Itoa(rows))})
	}
	return err
}

func (s *session) copyColumnCount(table, columns string) (int, error) {
	if columns != "" {
		return strings.Count(columns, ",") + 1, nil
	}
	described, err := s.server.store.describe(s.txn.writes, "SELECT * FROM "+table)
	if err != nil {
		return 0, err
	}
	return len(described.columns), nil
}

// receiveCopy reads the client's data until CopyDone.
func (s *session) receiveCopy() (string, error) {
	var data strings.Builder
	for {
		message, err := s.backend.Receive()
		if err != nil {
			return "", err
		}
		switch m := message.(type) {
		case *pgproto3.CopyData:
			if data.Len()+len(m.Data) > maxBufferedBytes {
				return "", errResultTooLarge
			}
			data.Write(m.Data)
		case *pgproto3.CopyDone:
			return data.String(), nil
		case *pgproto3.CopyFail:
			return "", newSQLError(verdict.CodeQueryCanceled, "COPY from stdin failed: "+m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return "", newSQLError(verdict.CodeProtocolViolation, "unexpected message during COPY")
		}
	}
}

// insertCopyRows adds one INSERT per row to the transaction, after a dry run that
// checks all of them.
func (s *session) insertCopyRows(ctx context.Context, table, columns string, width int, data string) (int, error) {
	sql := "INSERT INTO " + table + columns + " VALUES (" + placeholders(width) + ")"
	var writes []*standinv1.Statement
	for line := range strings.Lines(data) {
		line = strings.TrimSuffix(line, "\n")
		if line == `\.` {
			break
		}
		fields := strings.Split(line, "\t")
		if len(fields) != width {
			return 0, newSQLError("22P04", "row has another number of columns than the table")
		}
		st := &standinv1.Statement{Sql: sql, Rows: 1}
		for _, field := range fields {
			st.Arguments = append(st.Arguments, decodeCopyField(field))
		}
		writes = append(writes, st)
	}
	all := append(s.txn.writes[:len(s.txn.writes):len(s.txn.writes)], writes...)
	if _, err := s.server.store.dryRun(ctx, all, &standinv1.Statement{Sql: "SELECT 1"}, false); err != nil {
		return 0, err
	}
	s.txn.writes = all
	return len(writes), nil
}

func placeholders(width int) string {
	numbers := make([]string, width)
	for i := range numbers {
		numbers[i] = "$" + strconv.Itoa(i+1)
	}
	return strings.Join(numbers, ", ")
}

var (
	copyUnescaper = strings.NewReplacer(`\\`, `\`, `\t`, "\t", `\n`, "\n", `\r`, "\r")
	copyEscaper   = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)
)

func decodeCopyField(field string) *standinv1.Value {
	if field == copyNull {
		return &standinv1.Value{}
	}
	return inferValue(copyUnescaper.Replace(field))
}

// copyOut sends the rows of a query.
func (s *session) copyOut(ctx context.Context, sql string) error {
	e, err := s.executeData(ctx, rewrite(sql), nil)
	if err != nil {
		return err
	}
	defer e.close()
	s.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(e.result.columns))})
	rows := 0
	for ; ; rows++ {
		row, err := e.result.nextRow(ctx)
		if err != nil {
			return err
		}
		if row == nil {
			break
		}
		s.backend.Send(&pgproto3.CopyData{Data: encodeCopyRow(row)})
		if rows%rowsPerFlush == 0 {
			if err := s.backend.Flush(); err != nil {
				return err
			}
		}
	}
	s.backend.Send(&pgproto3.CopyDone{})
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY " + strconv.Itoa(rows))})
	return nil
}

func encodeCopyRow(row []any) []byte {
	fields := make([]string, len(row))
	for i, value := range row {
		fields[i] = copyNull
		if value != nil {
			fields[i] = copyEscaper.Replace(string(encodeText(value)))
		}
	}
	return []byte(strings.Join(fields, "\t") + "\n")
}
