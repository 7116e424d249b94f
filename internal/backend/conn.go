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
//   - An answer is delivered only with evidence that it belongs to the statement that was sent.
package backend

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Conn is a connection to an endpoint. It must be used by one goroutine at a time. Its String, if
// it has one, is its name in logs.
type Conn interface {
	// Exchange sends all commands at once and passes each answer that arrives to accept, until that
	// returns false. Answers need not belong to these commands. After an error the connection
	// is unusable, and the outcome of the commands without an answer is unknown.
	Exchange(ctx context.Context, commands []request.Command, accept func(request.Answer) (more bool)) error
	// Reusable reports whether an idle connection is still open and has no unread data.
	Reusable() bool
	Close()
}

// UnreadReporter is a Conn that can tell why it is not reusable.
type UnreadReporter interface {
	// Unread reports whether an idle connection has unread data, which nobody has asked for.
	Unread() bool
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

	conn    Conn
	pool    *pool
	values  map[string]string
	aliases map[request.Prepared]string
	// named counts the names of prepared statements. None is used twice, so that after a RESET
	// that had no effect no name stands for another statement.
	named         int
	answers       attribution
	logged        bool // an answer that was skipped or rejected
	idleSince     time.Duration
	inTransaction bool
	broken        bool
	unattributed  bool // an answer may not be that of its command
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
	if pc.broken || !pc.isQuiet() {
		pc.broken = true
		return answer, false, errClosed
	}
	if command.Kind == request.Begin {
		return pc.begin(ctx, needs.Values, command)
	}
	values := pc.alignValues(needs.Values)
	var prepare []request.Command
	if needs.Prepared != nil {
		command.Alias, prepare = pc.alias(*needs.Prepared)
	}
	if len(values) > 0 || !pc.inTransaction && pc.answers.isUncertain() {
		if err := pc.setUp(ctx, values, prepare); err != nil {
			pc.broken = true
			return answer, false, err
		}
		prepare = nil
	}
	answers, err := pc.exchange(ctx, append(prepare, command))
	if err != nil {
		return pc.withoutEvidence(command, err)
	}
	last := answers[len(answers)-1]
	if err := setupError(answers[:len(answers)-1]); err != nil {
		pc.broken = true
		// The name is new to the endpoint: it is unknown there unless the PREPARE has had its effect.
		if last.Err != nil && last.Err.Code == verdict.CodeUndefinedPreparedStmt {
			return answer, false, err
		}
		return pc.withoutEvidence(command, errPrepareFailed)
	}
	answer = last
	pc.inTransaction = answer.Transaction != request.Idle
	return answer, true, nil
}

// begin begins a transaction under the values. One without evidence has had no effect, since the end of the
// connection undoes it.
func (pc *PooledConn) begin(ctx context.Context, values map[string]string, command request.Command) (answer request.Answer, sent bool, err error) {
	answers, err := pc.exchange(ctx, append(pc.alignValues(values), command))
	if err != nil {
		pc.broken = true
		return answer, true, err
	}
	answer = answers[len(answers)-1]
	err = setupError(answers[:len(answers)-1])
	pc.inTransaction = answer.Transaction != request.Idle
	if err == nil && answer.Err == nil && pc.answers.isUncertain() {
		err = pc.confirm(ctx, pc.confirmation())
	}
	if err != nil {
		pc.broken = true
		return request.Answer{}, true, err
	}
	return answer, true, nil
}

// confirmation returns a command that changes nothing, neither in the session nor in its transaction.
func (pc *PooledConn) confirmation() request.Command {
	pc.named++
	return request.Command{Statement: request.Statement{Kind: request.Prepare, Prepared: request.Prepared{Shape: "-"}}, Alias: aliasOf(pc.named)}
}

var (
	errPrepareFailed = errors.New("backend: the endpoint answered PREPARE with an error, and may have run the statement")
	errUnattributed  = errors.New("backend: an answer does not belong to the statement")
	errIncomplete    = errors.New("backend: the endpoint has not answered every command")
	errBarrier       = errors.New("backend: the endpoint has not refused a transaction at a position that no log holds")
	errPanicked      = errors.New("backend: the statement ended with a panic")
	errOutOfTurn     = errors.New("backend: the endpoint has sent more than one answer for each command")
)

// withoutEvidence returns the outcome of a statement that may have run. In a transaction the end of the
// connection undoes it, unless the endpoint has perhaps run it outside the transaction: then the
// outcome is an answer, so that it is not taken for that of a transaction that was rolled back.
func (pc *PooledConn) withoutEvidence(command request.Command, err error) (request.Answer, bool, error) {
	pc.broken = true
	if !pc.inTransaction || pc.answers.begun || command.Kind == request.Commit {
		return request.Answer{}, true, err
	}
	unknown := verdict.New(verdict.MayHaveRun, verdict.CodeCompletionUnknown, "the statement may have run outside its transaction")
	return request.Answer{Err: unknown.WithCause(err)}, true, nil
}

// setUp sends the commands that set values and prepare a statement, with a barrier behind them. The endpoint
// runs what follows a failed SET or RESET, with the values of another session, so that nothing may be sent
// behind them before all have been answered.
func (pc *PooledConn) setUp(ctx context.Context, values, prepare []request.Command) error {
	if pc.inTransaction {
		// A barrier would fail the transaction. A PREPARE without effect is noticed at the EXECUTE.
		return pc.confirm(ctx, slices.Concat(values, values[len(values)-1:], prepare)...)
	}
	answers, err := pc.exchange(ctx, slices.Concat(values, prepare, []request.Command{barrier}))
	if err != nil {
		return err
	}
	last := len(answers) - 1
	switch {
	case setupError(answers[:last]) != nil:
		return setupError(answers[:last])
	case !isRefusedBarrier(answers[last]):
		return errBarrier
	case !pc.isQuiet():
		return errOutOfTurn
	}
	return nil
}

// confirm sends commands inside a transaction. The error of a command before the last one is seen unless two
// repetitions at once have taken the place of it and of another answer.
func (pc *PooledConn) confirm(ctx context.Context, commands ...request.Command) error {
	answers, err := pc.exchange(ctx, commands)
	switch {
	case err != nil:
		return err
	case setupError(answers) != nil:
		return setupError(answers)
	case !pc.isQuiet():
		return errOutOfTurn
	case pc.answers.isUncertain() && pc.pool.repeats():
		return errUnattributed
	}
	return nil
}

// exchange sends commands, attributes the answers, and records how the endpoint responds.
func (pc *PooledConn) exchange(ctx context.Context, commands []request.Command) ([]request.Answer, error) {
	done := pc.pool.health.startStatement(pc.Endpoint.ID)
	returned := false
	defer func() {
		if !returned { // after a panic an answer may still come
			pc.broken = true
			done(errPanicked, false)
		}
	}()
	answers := make([]request.Answer, 0, len(commands))
	isRejected := false
	err := pc.conn.Exchange(ctx, commands, func(answer request.Answer) bool {
		awaited := commands[len(answers)]
		ruling, reason := pc.answers.rule(awaited, answer)
		switch ruling {
		case skipped, rejected:
			isRejected = ruling == rejected
			pc.reportAnswer(awaited.Kind, ruling, reason)
			return !isRejected
		case believed:
			pc.broken, pc.unattributed = true, true
		}
		answers = append(answers, answer)
		return len(answers) < len(commands)
	})
	if err == nil && !isRejected && len(answers) < len(commands) {
		err = errIncomplete
	}
	returned = true
	done(err, isRejected || slices.ContainsFunc(answers, CannotServe))
	if isRejected {
		pc.unattributed = true
		return nil, errUnattributed
	}
	return answers, err
}

// isQuiet reports whether the connection is open and nothing has arrived on it since the last answer.
func (pc *PooledConn) isQuiet() bool {
	if pc.conn.Reusable() {
		return true
	}
	if conn, ok := pc.conn.(UnreadReporter); ok && conn.Unread() {
		pc.reportAnswer(0, skipped, reasonOutOfTurn)
	}
	return false
}

// reusable reports whether the answers on the connection will be evidence for another session.
func (pc *PooledConn) reusable() bool {
	return pc.answers.reusable(pc.Endpoint.Role != catalog.RoleReplica, pc.pool.repeats())
}

// reportAnswer counts an answer that was not taken, and logs the first one of the connection, at
// most one for the endpoint in reportInterval.
func (pc *PooledConn) reportAnswer(awaited request.Kind, r ruling, reason string) {
	if r == skipped {
		pc.pool.noteRepetition()
	}
	cfg := &pc.pool.pools.cfg
	cfg.Metrics.Labelled("endpoint_answers_not_taken_total").Add(reason, 1)
	if !pc.logged && pc.pool.mayReport() {
		pc.logged = true
		event.AnswerNotTaken.Emit(cfg.Log, zap.String("endpoint", pc.Endpoint.ID), zap.String("connection", fmt.Sprint(pc.conn)),
			zap.String("statement", awaited.String()), zap.String("reason", reason), zap.Bool("skipped", r == skipped))
	}
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
	pc.named++
	alias := aliasOf(pc.named)
	pc.aliases[p] = alias
	return alias, []request.Command{{Statement: request.Statement{Kind: request.Prepare, Prepared: p}, Alias: alias}}
}

func aliasOf(n int) string { return "h" + strconv.Itoa(n) }

// Release returns the connection to its pool. A connection that is broken, in a transaction or
// has received an error is closed instead, which rolls the transaction back.
func (pc *PooledConn) Release() { pc.pool.release(pc) }

// Discard closes the connection and removes it from its pool.
func (pc *PooledConn) Discard() {
	pc.broken = true
	pc.Release()
}
