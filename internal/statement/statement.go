// Package statement tells what kind of statement a caller sent, from a small
// conservative reading of its tokens: whatever it does not know is a write. It
// reads and writes nothing on the blackboard. Its invariant: a statement classed
// as Read has no effect that outlives it, so that it may run on a replica and may
// be repeated.
package statement

// Class is the kind of a statement.
type Class uint8

// The classes. The zero value is Write, so that an unset class is never repeated.
const (
	// Write may change data, or its effect is unknown.
	Write Class = iota
	// Read only returns data.
	Read
	// Begin opens a transaction.
	Begin
	// Commit ends a transaction and keeps its effects.
	Commit
	// Rollback ends a transaction and drops its effects.
	Rollback
	// InTransaction has meaning only within a transaction: savepoints, SET LOCAL,
	// SET TRANSACTION, cursors.
	InTransaction
	// ProxySet sets one of the proxy's own settings.
	ProxySet
	// ProxyShow shows one of the proxy's own settings.
	ProxyShow
	// ProxyReset sets one of the proxy's own settings back.
	ProxyReset
	// EndpointSet sets a session setting that is replayed on each connection.
	EndpointSet
	// EndpointReset sets one such setting back, or all when Name is empty.
	EndpointReset
	// Deallocate drops one prepared statement, or all when Name is empty.
	Deallocate
	// DiscardAll resets the whole session.
	DiscardAll
	// Refused is not supported; Name says what.
	Refused
	// Empty has no statement at all.
	Empty
)

// ProxyPrefix begins the names of the proxy's own settings.
const ProxyPrefix = "hornbeamlock."

// Statement is what is known of one query string.
type Statement struct {
	Class Class
	// Name is the setting, prepared statement or unsupported feature concerned.
	Name string
	// Value is the value of a setting: unquoted for proxy settings, as written
	// for endpoint settings.
	Value string
	// ReadOnly marks a Begin of a READ ONLY transaction.
	ReadOnly bool
	// TaintsSession is true when the statement may leave session state behind,
	// so that its connection must be reset before another session uses it.
	TaintsSession bool
	// Traceparent is the W3C trace context of a comment; empty when there is none.
	Traceparent string
}

// Local tells whether the proxy answers the statement itself.
func (s Statement) Local() bool {
	switch s.Class {
	case ProxySet, ProxyShow, ProxyReset, Deallocate, DiscardAll, EndpointReset:
		return true
	default:
		return false
	}
}

// Classify reads a query string, which may hold several statements.
func Classify(sql string) Statement {
	tokens, traceparent, ok := scan(sql)
	result := Statement{Class: Write, TaintsSession: true}
	if ok {
		result = combine(splitStatements(tokens))
	}
	result.Traceparent = traceparent
	return result
}

// splitStatements cuts the tokens at semicolons and drops empty statements.
func splitStatements(tokens []token) [][]token {
	var all [][]token
	start := 0
	for i := 0; i <= len(tokens); i++ {
		if i < len(tokens) && !tokens[i].is(";") {
			continue
		}
		if i > start {
			all = append(all, tokens[start:i])
		}
		start = i + 1
	}
	return all
}

// combine classes a string of several statements: reads stay a read, reads and
// writes are a write, and anything else must stand alone.
func combine(statements [][]token) Statement {
	if len(statements) == 0 {
		return Statement{Class: Empty}
	}
	if len(statements) == 1 {
		return classifyOne(statements[0])
	}
	whole := Statement{Class: Read}
	for _, tokens := range statements {
		one := classifyOne(tokens)
		switch one.Class {
		case Refused:
			return one
		case Read:
		case Write:
			whole.Class = Write
			whole.TaintsSession = whole.TaintsSession || one.TaintsSession
		default:
			return Statement{Class: Refused, Name: "transaction control or settings beside other statements in one query string"}
		}
	}
	return whole
}
