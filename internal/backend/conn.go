// Package backend keeps an edge instance's connections to endpoints. Endpoints
// know who is connected, so a connection belongs to one organisation for its
// whole life; connections are few, so an idle one of another organisation gives
// way. Its invariants: a connection serves one session at a time; one with an
// unread answer or an open transaction is never handed on; a session's statements
// meet exactly the values and prepared statements of that session.
package backend

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Conn is a connection to an endpoint. One goroutine uses it at a time.
type Conn interface {
	// Exchange sends all commands at once and returns an answer for each. After an
	// error the connection is of no more use, and what became of the commands
	// without an answer is unknown.
	Exchange(ctx context.Context, commands []request.Command) ([]request.Answer, error)
	// Reusable tells whether an idle connection is still open, with nothing unread.
	Reusable() bool
	Close()
}

// Dialer opens connections.
type Dialer interface {
	// Dial connects as the organisation. A *verdict.Error is the endpoint's own
	// refusal; any other error means that it was not reached.
	Dial(ctx context.Context, e catalog.Endpoint, organisation string) (Conn, error)
}

// PooledConn is a connection with what is known of its state at the endpoint.
type PooledConn struct {
	Endpoint     catalog.Endpoint
	Organisation string

	conn          Conn
	pool          *pool
	values        map[string]string
	aliases       map[request.Prepared]string
	idleSince     time.Duration
	inTransaction bool // in a transaction
	broken        bool
}

// Needs is the session's state that a statement rests on.
type Needs struct {
	Values map[string]string
	// Prepared is the prepared statement that the statement executes, if any.
	Prepared *request.Prepared
}

// Run gives the connection what the statement needs, sends it and returns its
// answer. Sent is false when the endpoint has surely not seen the statement.
func (pc *PooledConn) Run(ctx context.Context, needs Needs, command request.Command) (answer request.Answer, sent bool, err error) {
	if !pc.conn.Reusable() {
		pc.broken = true
		return answer, false, errClosed
	}
	commands := pc.alignValues(needs.Values)
	if needs.Prepared != nil {
		var prepare []request.Command
		command.Alias, prepare = pc.alias(*needs.Prepared)
		commands = append(commands, prepare...)
	}
	done := pc.pool.health.startStatement(pc.Endpoint.ID)
	answers, err := pc.conn.Exchange(ctx, append(commands, command))
	if err != nil {
		done(err, false)
		pc.broken = true
		return answer, true, err
	}
	done(nil, slices.ContainsFunc(answers, CannotServe))
	for _, a := range answers[:len(answers)-1] {
		if a.Err != nil {
			pc.broken = true
			return answer, true, a.Err
		}
	}
	answer = answers[len(answers)-1]
	pc.inTransaction = answer.Transaction != request.Idle
	return answer, true, nil
}

// CannotServe tells whether an answer says that the endpoint fails statements which
// another one may serve.
func CannotServe(a request.Answer) bool {
	return a.Err != nil && (a.Err.Code == verdict.CodeStatementFailed || a.Err.Code == verdict.CodeCannotConnectNow)
}

// alignValues returns the commands that give the connection the session's values.
func (pc *PooledConn) alignValues(values map[string]string) []request.Command {
	var commands []request.Command
	for name := range pc.values {
		if _, wanted := values[name]; !wanted {
			commands = append(commands, request.Command{Statement: request.Statement{Kind: request.Reset}})
			pc.values, pc.aliases = nil, nil
			break
		}
	}
	for name, value := range values {
		if have, ok := pc.values[name]; ok && have == value {
			continue
		}
		commands = append(commands, request.Command{Statement: request.Statement{Kind: request.Set, Name: name, Value: value}})
		if pc.values == nil {
			pc.values = make(map[string]string)
		}
		pc.values[name] = value
	}
	return commands
}

// alias returns the name of a prepared statement on the connection, and the
// command that prepares it if it is new there.
func (pc *PooledConn) alias(p request.Prepared) (string, []request.Command) {
	if alias, ok := pc.aliases[p]; ok {
		return alias, nil
	}
	if pc.aliases == nil {
		pc.aliases = make(map[request.Prepared]string)
	}
	alias := "h" + strconv.Itoa(len(pc.aliases)+1)
	pc.aliases[p] = alias
	return alias, []request.Command{{Statement: request.Statement{Kind: request.Prepare, Prepared: p}, Alias: alias}}
}

// Broken tells whether the connection is of no more use.
func (pc *PooledConn) Broken() bool { return pc.broken }

// Release gives the connection back. One that is broken or in a transaction is
// closed, which rolls back.
func (pc *PooledConn) Release() { pc.pool.release(pc) }

// Discard closes the connection.
func (pc *PooledConn) Discard() {
	pc.broken = true
	pc.Release()
}
