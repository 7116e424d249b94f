package database

import (
	"errors"
	"strings"

	"zombiezen.com/go/sqlite"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// SQLSTATE codes that only database servers report; package verdict has the others.
const (
	codeUniqueViolation   = "23505"
	codeNotNullViolation  = "23502"
	codeCheckViolation    = "23514"
	codeIntegrity         = "23000"
	codeUndefinedTable    = "42P01"
	codeUndefinedColumn   = "42703"
	codeDuplicateTable    = "42P07"
	codeSyntaxError       = "42601"
	codeUndefinedFunction = "42883"
	codeUndefinedPortal   = "34000"
	codeBadTextEncoding   = "22P02"
	codeProgramLimit      = "54000"
	codeInvalidSavepoint  = "3B001"
)

// sqlError is an error as the server reports it to its clients.
type sqlError struct {
	code    string
	message string
	// fatal closes the connection after the error is sent.
	fatal bool
}

// Error implements error.
func (e *sqlError) Error() string { return e.message + " (SQLSTATE " + e.code + ")" }

func newSQLError(code, message string) *sqlError { return &sqlError{code: code, message: message} }

var (
	errReadOnly         = newSQLError(verdict.CodeReadOnlyTransaction, "cannot execute a write in a read-only transaction")
	errShutdown         = &sqlError{code: verdict.CodeAdminShutdown, message: "terminating connection due to administrator command", fatal: true}
	errCancelled        = newSQLError(verdict.CodeQueryCanceled, "canceling statement due to user request")
	errConcurrentUpdate = newSQLError(verdict.CodeSerializationFailure, "a concurrent update changed what the transaction had written")
	errRecoveryConflict = newSQLError(verdict.CodeSerializationFailure, "canceling statement due to conflict with recovery")
	errUnsupported      = newSQLError(verdict.CodeFeatureNotSupported, "statement is not supported")
	errResultTooLarge   = newSQLError(codeProgramLimit, "result of a statement after writes in its transaction is too large")
)

// asSQLError converts any error to one with the SQLSTATE code that a server would
// report.
func asSQLError(err error) *sqlError {
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		return sqlErr
	}
	return newSQLError(codeOf(err), strings.TrimPrefix(err.Error(), "sqlite: "))
}

func codeOf(err error) string {
	switch sqlite.ErrCode(err) {
	case sqlite.ResultConstraintUnique, sqlite.ResultConstraintPrimaryKey, sqlite.ResultConstraintRowID:
		return codeUniqueViolation
	case sqlite.ResultConstraintNotNull:
		return codeNotNullViolation
	case sqlite.ResultConstraintCheck:
		return codeCheckViolation
	case sqlite.ResultAuth:
		return verdict.CodeFeatureNotSupported
	case sqlite.ResultAbortRollback, sqlite.ResultAbort:
		return verdict.CodeSerializationFailure
	}
	if sqlite.ErrCode(err).ToPrimary() == sqlite.ResultConstraint {
		return codeIntegrity
	}
	return codeOfText(err.Error())
}

func codeOfText(text string) string {
	for _, mapping := range []struct{ part, code string }{
		{"no such table", codeUndefinedTable},
		{"no such column", codeUndefinedColumn},
		{"has no column", codeUndefinedColumn},
		{"no such function", codeUndefinedFunction},
		{"already exists", codeDuplicateTable},
		{"syntax error", codeSyntaxError},
		{"incomplete input", codeSyntaxError},
		{"unrecognized token", codeSyntaxError}, //nolint:misspell // the library's spelling
	} {
		if strings.Contains(text, mapping.part) {
			return mapping.code
		}
	}
	return verdict.CodeInternal
}
