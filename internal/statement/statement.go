// Package statement classifies the SQL statements that callers send. It looks at
// tokens only and is conservative: a statement that it does not recognise is a
// write. It reads and writes nothing on the blackboard.
//
// Invariant: a statement classified as Read has no effect that outlives it, so
// that it may run on a replica and may be retried.
package statement

// Class is the kind of a statement.
type Class uint8

// The classes. The zero value is Write, so that an unset class is never retried.
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
	// InTransaction is meaningful only within a transaction: savepoints, SET LOCAL,
	// SET TRANSACTION, cursors.
	InTransaction
	// ProxySet sets one of the proxy's own settings.
	ProxySet
	// ProxyShow shows one of the proxy's own settings.
	ProxyShow
	// ProxyReset resets one of the proxy's own settings to its default.
	ProxyReset
	// EndpointSet sets a session setting that is replayed on each connection.
	EndpointSet
	// EndpointReset resets one such setting to its default, or all when Name is empty.
	EndpointReset
	// Deallocate drops one prepared statement, or all when Name is empty.
	Deallocate
	// DiscardAll resets the whole session.
	DiscardAll
	// Refused is not supported; Name is the unsupported feature.
	Refused
	// Empty contains no statement.
	Empty
)

// ProxySettingPrefix is the prefix of the proxy's own settings.
const ProxySettingPrefix = "hornbeamlock."

// Statement is the classification of one query string.
type Statement struct {
	Class Class
	// Name is the affected setting or prepared statement, or the unsupported feature.
	Name string
	// Value is the value of a setting: unquoted for proxy settings, as written
	// for endpoint settings.
	Value string
	// ReadOnly marks a Begin of a READ ONLY transaction.
	ReadOnly bool
	// TaintsSession is true when the statement may leave session state behind,
	// so that its connection must be reset before another session uses it.
	TaintsSession bool
	// Traceparent is the W3C trace context from a comment; empty when there is none.
	Traceparent string
}

// HandledByProxy reports whether the proxy handles the statement itself.
func (s Statement) HandledByProxy() bool {
	switch s.Class {
	case ProxySet, ProxyShow, ProxyReset, Deallocate, DiscardAll, EndpointReset:
		return true
	default:
		return false
	}
}

// Classify classifies a query string, which may contain several statements. A
// string that cannot be tokenised is a write.
func Classify(sql string) Statement {
	tokens, traceparent, ok := scan(sql)
	result := Statement{Class: Write, TaintsSession: true}
	if ok {
		result = combine(splitStatements(tokens))
	}
	result.Traceparent = traceparent
	return result
}

// splitStatements splits the tokens at semicolons and drops empty statements.
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

// combine classifies a string of several statements: reads alone are a read, and
// reads and writes together are a write. Statements of any other class are accepted
// only on their own.
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
