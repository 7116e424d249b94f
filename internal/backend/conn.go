// Package backend pools an edge instance's connections to endpoints and tracks the health
// of endpoints. Endpoints authenticate the organisation of a connection, so a connection
// belongs to one organisation for its whole lifetime. Connections are few, so an idle one of
// another organisation is evicted when a new one is needed.
//
// Invariants:
//   - A connection serves one session at a time.
//   - A connection with an unread answer or an open transaction is never reused.
//   - A session's statements run with exactly the values and prepared statements of that
//     session.
package backend

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Conn is a connection to an endpoint. It must be used by one goroutine at a time.
type Conn interface {
	// Exchange sends all commands at once and returns an answer for each. After an
	// error the connection is unusable, and the outcome of the commands without an
	// answer is unknown.
	Exchange(ctx context.Context, commands []request.Command) ([]request.Answer, error)
	// Reusable reports whether an idle connection is still open and has no unread data.
	Reusable() bool
	Close()
}

// Dialer opens connections.
type Dialer interface {
	// Dial connects as the organisation. A *verdict.Error is a refusal by the endpoint;
	// any other error means that the endpoint was not reached.
	Dial(ctx context.Context, e catalog.Endpoint, organisation string) (Conn, error)
}

// PooledConn is a connection of a pool with its session state at the endpoint.
type PooledConn struct {
	Endpoint     catalog.Endpoint
	Organisation string

	conn          Conn
	pool          *pool
	values        map[string]string
	aliases       map[request.Prepared]string
	idleSince     time.Duration
	inTransaction bool
	broken        bool
	// occupies is true while the connection counts as occupying a slot of the endpoint.
	occupies bool
}

// Needs is the session state that a statement requires.
type Needs struct {
	Values map[string]string `json:",omitempty"`
	// Prepared is the prepared statement that the statement executes, if any.
	Prepared *request.Prepared `json:",omitempty"`
}

// Run brings the connection's session state in line with needs, sends the statement and returns
// its answer. sent is false only when the endpoint certainly has not received the statement, or
// cannot have run it.
func (pc *PooledConn) Run(ctx context.Context, needs Needs, command request.Command) (answer request.Answer, sent bool, err error) {
	if !pc.conn.Reusable() {
		pc.broken = true
		return answer, false, errClosed
	}
	// The endpoint runs what follows a failed SET or RESET, with the values of another session.
	if values := pc.alignValues(needs.Values); len(values) > 0 {
		answers, err := pc.exchange(ctx, values)
		if err == nil {
			err = setupError(answers)
		}
		if err != nil {
			pc.broken = true
			return answer, false, err
		}
	}
	var commands []request.Command
	if needs.Prepared != nil {
		command.Alias, commands = pc.alias(*needs.Prepared)
	}
	answers, err := pc.exchange(ctx, append(commands, command))
	if err != nil {
		pc.broken = true
		return answer, true, err
	}
	last := answers[len(answers)-1]
	if err := setupError(answers[:len(answers)-1]); err != nil {
		pc.broken = true
		// The name is new to the endpoint: it is unknown there unless the PREPARE has had its effect.
		if last.Err != nil && last.Err.Verdict == verdict.NotRun {
			return answer, false, err
		}
		return answer, true, errPrepareFailed
	}
	answer = last
	pc.inTransaction = answer.Transaction != request.Idle
	return answer, true, nil
}

var errPrepareFailed = errors.New("backend: the endpoint answered PREPARE with an error, and may have run the statement")

// exchange sends commands and records how the endpoint responds.
func (pc *PooledConn) exchange(ctx context.Context, commands []request.Command) ([]request.Answer, error) {
	done := pc.pool.health.startStatement(pc.Endpoint.ID)
	answers, err := pc.conn.Exchange(ctx, commands)
	done(err, slices.ContainsFunc(answers, CannotServe))
	return answers, err
}

// setupError returns a refusal if the endpoint has not carried out one of the commands before a
// statement.
func setupError(answers []request.Answer) error {
	for _, a := range answers {
		if a.Err != nil {
			return verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "the endpoint did not take over the session: %s", a.Err.Message).WithCause(a.Err)
		}
	}
	return nil
}

// CannotServe reports whether an answer is an error of an endpoint that cannot serve the
// statement, although another endpoint may.
func CannotServe(a request.Answer) bool {
	return a.Err != nil && (a.Err.Code == verdict.CodeStatementFailed || a.Err.Code == verdict.CodeCannotConnectNow)
}

// alignValues returns the commands that set the session's values on the connection. Values
// that the session lacks can only be cleared by resetting the connection.
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

// alias returns the name of a prepared statement on the connection, and the command that
// prepares it if it has not been prepared there.
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

// Release returns the connection to its pool. A connection that is broken or in a
// transaction is closed instead, which rolls the transaction back.
func (pc *PooledConn) Release() { pc.pool.release(pc) }

// Discard closes the connection and removes it from its pool.
func (pc *PooledConn) Discard() {
	pc.broken = true
	pc.Release()
}
