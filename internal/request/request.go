// Package request defines the statements of callers and the answers of endpoints,
// independently of any wire protocol. It performs no I/O.
package request

import (
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Kind is the kind of a statement.
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
	// Deallocate removes a prepared statement.
	Deallocate
	// Reset clears the values and prepared statements of a connection. It is sent only by
	// the proxy itself.
	Reset
)

var kindNames = [...]string{"", "begin", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate", "reset"}

// String returns the name for logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// IsSigned reports whether an endpoint signs its answers to statements of the kind.
func (k Kind) IsSigned() bool { return k == Read || k == Write || k == Execute || k == Commit }

// Statement is one statement of a caller.
type Statement struct {
	// ID is assigned by the caller; it is empty for statements of the proxy.
	ID   string `json:",omitzero"`
	Kind Kind   `json:",omitzero"`
	// Text is the statement as the caller wrote it.
	Text string `json:",omitzero"`
	// ReadOnly is true for the Begin of a read-only transaction.
	ReadOnly bool `json:",omitzero"`
	// Name is the name of a session value or of a prepared statement.
	Name string `json:",omitzero"`
	// Value is the new value for Set.
	Value string `json:",omitzero"`
	// Prepared is the content of the prepared statement, for Prepare and Execute.
	Prepared Prepared `json:",omitzero"`
	// Arguments are the arguments of Execute, without the blank before them. Only Text tells
	// empty arguments from none.
	Arguments string `json:",omitzero"`
}

// OnlyReads reports whether the statement reads and has no other effect. An Execute must be resolved first.
func (s Statement) OnlyReads() bool { return s.Kind == Read || s.Kind == Execute && !s.Prepared.Writes }

// Writes reports whether the statement writes and does not end a transaction. An Execute must be
// resolved first.
func (s Statement) Writes() bool { return s.Kind == Write || s.Kind == Execute && s.Prepared.Writes }

// Prepared is the content of a prepared statement.
type Prepared struct {
	Writes bool   `json:",omitzero"`
	Shape  string `json:",omitzero"`
}

// Command is a statement to be sent to an endpoint.
type Command struct {
	Statement
	// After is the position that the endpoint must have applied; zero means no requirement.
	After position.Position `json:",omitzero"`
	// Alias is the name of the prepared statement on the connection.
	Alias string `json:",omitzero"`
}

// Transaction is the transaction state after an answer.
type Transaction uint8

// The transaction states.
const (
	// Idle means that there is no transaction.
	Idle Transaction = iota
	// Open means that a transaction is open.
	Open
	// Failed means that the transaction has failed and must be ended.
	Failed
)

// Answer is an endpoint's answer to one command.
type Answer struct {
	Rows []string `json:",omitzero"`
	// BareRows are the indexes of the rows that have no field at all, in ascending order. In Rows
	// they are as empty as those with an empty field.
	BareRows []int `json:",omitzero"`
	// Signature is the endpoint's proof that it ran the statement.
	Signature string `json:",omitzero"`
	// Greeting is true for the answer to a login, which is no answer to a command.
	Greeting bool `json:",omitzero"`
	// Err is set instead of a signature.
	Err *verdict.Error `json:",omitzero"`
	// Transaction is the transaction state after the statement.
	Transaction Transaction `json:",omitzero"`
	// Position is the end of the endpoint's log, zero if the endpoint did not report it.
	Position position.Position `json:",omitzero"`
}
