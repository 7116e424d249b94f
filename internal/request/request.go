// Package request holds the statements of callers and the answers of endpoints
// in a form that no wire protocol has a part in. It performs no I/O.
package request

import (
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Kind is what a statement does.
type Kind uint8

// The kinds.
const (
	Begin Kind = iota + 1
	Commit
	Rollback
	Read
	Write
	// Set changes a value of the session.
	Set
	// Prepare names a statement for Execute.
	Prepare
	// Execute runs a prepared statement.
	Execute
	// Deallocate forgets a prepared statement.
	Deallocate
	// Reset clears the values and prepared statements of a connection; only
	// the proxy itself sends it.
	Reset
)

var kindNames = [...]string{"", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate", "reset"}

// String returns the name for logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Statement is one statement of a caller.
type Statement struct {
	// ID is the caller's own; empty for statements of the proxy.
	ID   string
	Kind Kind
	// Text is the statement as the caller wrote it.
	Text string
	// ReadOnly is true for a Begin that takes no writes.
	ReadOnly bool
	// Name is that of a value, or of a prepared statement.
	Name string
	// Value is what Set sets.
	Value string
	// Prepared is what Prepare names.
	Prepared Prepared
	// Arguments are those of Execute.
	Arguments string
}

// Prepared is the content of a prepared statement.
type Prepared struct {
	Writes bool
	Shape  string
}

// Command is a statement on its way to an endpoint.
type Command struct {
	Statement
	// After is the position that the endpoint must have applied; zero means any.
	After position.Position
	// Alias is the name of the prepared statement on the connection.
	Alias string
}

// Transaction is the transaction state after an answer.
type Transaction uint8

// The transaction states.
const (
	// Idle means that there is no transaction.
	Idle Transaction = iota
	// Open means that statements belong to a transaction.
	Open
	// Failed means that the transaction can only be ended.
	Failed
)

// Answer is what an endpoint answered to one command.
type Answer struct {
	Rows []string
	// Signature is the endpoint's proof that it ran the statement.
	Signature string
	// Err is set instead of a signature.
	Err *verdict.Error
	// Transaction is the state after the statement.
	Transaction Transaction
	// Position is the end of the endpoint's log, zero if it did not tell.
	Position position.Position
}
