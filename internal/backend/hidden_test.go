package backend

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// hidingConn is a connection to a server that carries out each command, except that fails returns its error, and
// sends the answers of repeats before the answer to a command. Answers that are not read stay for later.
type hidingConn struct {
	state    request.Transaction
	log      uint64
	signed   int
	sent     []request.Command
	arriving []request.Answer
	closed   bool
	fails    func(request.Command) *verdict.Error
	repeats  func(request.Command) []request.Answer
	loses    func(request.Command) bool
	// late is true if answers that nobody awaits have not arrived yet when they are looked for.
	late bool
}

func (c *hidingConn) Dial(context.Context, catalog.Endpoint, string) (Conn, error) { return c, nil }
func (c *hidingConn) Reusable() bool                                               { return c.late || len(c.arriving) == 0 }
func (c *hidingConn) Close()                                                       { c.closed = true }

func (c *hidingConn) Exchange(_ context.Context, commands []request.Command, accept func(request.Answer) (more bool)) error {
	for _, command := range commands {
		c.sent = append(c.sent, command)
		if c.repeats != nil {
			c.arriving = append(c.arriving, c.repeats(command)...)
		}
		if answer := c.run(command); c.loses == nil || !c.loses(command) {
			c.arriving = append(c.arriving, answer)
		}
	}
	return deliver(&c.arriving, accept)
}

func (c *hidingConn) run(command request.Command) request.Answer {
	answer := request.Answer{Transaction: c.state, Position: position.Position{Term: 1, Offset: c.log}}
	if c.fails != nil {
		answer.Err = c.fails(command)
	}
	switch {
	case answer.Err != nil:
	case isBarrier(command):
		answer.Err = verdict.New(verdict.NotRun, verdict.CodeBehind, "refused")
	case command.Kind == request.Begin:
		c.state = request.Open
	case command.Kind == request.Commit || command.Kind == request.Rollback:
		c.state = request.Idle
	}
	if answer.Err == nil && command.Kind.IsSigned() {
		c.signed++
		answer.Signature = string(rune('a' + c.signed))
	}
	answer.Transaction = c.state
	return answer
}

func newHiding(t *testing.T, role catalog.Role) (*hidingConn, *PooledConn) {
	c := &hidingConn{log: 5, late: true}
	pools := newPools(t, &fakeEndpoint{limit: 1}, 1)
	pools.cfg.Dialer = c
	e := testEndpoint
	e.Role = role
	conn, err := pools.Acquire(t.Context(), e, "a", Turn{})
	require.NoError(t, err)
	return c, conn
}

func acknowledgedAt(offset uint64, state request.Transaction) []request.Answer {
	return []request.Answer{{Transaction: state, Position: position.Position{Term: 1, Offset: offset}}}
}

func branch(value string) Needs { return Needs{Values: map[string]string{"branch": value}} }

func failsAt(kind request.Kind) func(request.Command) *verdict.Error {
	return func(command request.Command) *verdict.Error {
		if command.Kind == kind && !isBarrier(command) {
			return verdict.New(verdict.Ran, verdict.CodeStatementFailed, "failed")
		}
		return nil
	}
}

// before returns the answers before that to the first command of the kind.
func before(kind request.Kind, answers []request.Answer) func(request.Command) []request.Answer {
	return func(command request.Command) []request.Answer {
		if command.Kind != kind {
			return nil
		}
		defer func() { answers = nil }()
		return answers
	}
}

// TestAcknowledgementThatWasSkippedIsNotNew guards against a statement that runs without a value of its session:
// an acknowledgement that arrived late, and was skipped, comes again in place of the error of a SET. Neither
// are there two repetitions at once, nor is the endpoint unknown as one that repeats answers.
func TestAcknowledgementThatWasSkippedIsNotNew(t *testing.T) {
	raw, conn := newHiding(t, catalog.RolePrimary)
	run := func(needs Needs, kind request.Kind) error {
		raw.sent = nil
		answer, _, err := conn.Run(t.Context(), needs, commandOf(kind))
		if err == nil && answer.Err != nil {
			return answer.Err
		}
		return err
	}
	require.NoError(t, run(Needs{}, request.Begin))
	raw.log = 6
	require.NoError(t, run(Needs{}, request.Write))
	// The acknowledgement of BEGIN comes again, so that the last one of a SET, at 7, is skipped.
	raw.repeats = func(command request.Command) []request.Answer {
		if command.Kind == request.Set && len(raw.sent) == 1 {
			return acknowledgedAt(5, request.Open)
		}
		if command.Kind == request.Set {
			raw.log = 7
		}
		return nil
	}
	require.NoError(t, run(branch("1"), request.Write))
	require.True(t, conn.pool.repeats())
	raw.repeats, raw.fails = before(request.Set, acknowledgedAt(7, request.Open)), failsAt(request.Set)
	require.Error(t, run(branch("2"), request.Write))
	require.False(t, wasSent(raw.sent, request.Write), "the statement was sent")
}

// TestRefusalOfABarrierInATransaction guards against a statement that runs inside another session's
// transaction: a repetition takes the place of the error of its ROLLBACK, which is lost, and the refusal of
// the barrier tells of the transaction.
func TestRefusalOfABarrierInATransaction(t *testing.T) {
	raw, conn := newHiding(t, catalog.RolePrimary)
	for _, kind := range []request.Kind{request.Begin, request.Rollback, request.Begin, request.Rollback} {
		if raw.log++; raw.log == 9 {
			raw.repeats, raw.fails = before(request.Rollback, acknowledgedAt(7, request.Idle)), failsAt(request.Rollback)
			raw.loses = func(command request.Command) bool { return command.Kind == request.Rollback }
		}
		answer, _, err := conn.Run(t.Context(), Needs{}, commandOf(kind))
		require.NoError(t, err)
		require.NoError(t, setupError([]request.Answer{answer}))
	}
	require.Equal(t, request.Open, raw.state)
	_, sent, err := conn.Run(t.Context(), Needs{}, commandOf(request.Write))
	require.False(t, wasSent(raw.sent, request.Write), "the statement was sent")
	require.Error(t, err)
	require.False(t, sent)
}

// TestNamesArePreparedOnce guards against transactions that are aborted by an endpoint which refuses to prepare
// a name that is in use.
func TestNamesArePreparedOnce(t *testing.T) {
	raw, conn := newHiding(t, catalog.RolePrimary)
	_, _, err := conn.Run(t.Context(), Needs{}, commandOf(request.Begin))
	require.NoError(t, err)
	needs := branch("1")
	needs.Prepared = &request.Prepared{Shape: "q"}
	_, _, err = conn.Run(t.Context(), needs, commandOf(request.Execute))
	require.NoError(t, err)
	names := map[string]int{}
	for _, c := range raw.sent {
		if c.Kind == request.Prepare {
			names[c.Alias]++
		}
	}
	for name, times := range names {
		require.Equal(t, 1, times, "%s was prepared %d times", name, times)
	}
}

// TestRepetitionWithAFreshPosition guards against evidence that rests on the position of an answer, where the
// endpoint sends an answer again with a READY of that moment.
func TestRepetitionWithAFreshPosition(t *testing.T) {
	t.Run("acknowledgement", func(t *testing.T) {
		raw, conn := newHiding(t, catalog.RolePrimary)
		_, _, err := conn.Run(t.Context(), branch("1"), commandOf(request.Write))
		require.NoError(t, err)
		raw.sent, raw.log = nil, 6
		_, _, err = conn.Run(t.Context(), branch("1"), commandOf(request.Write)) // reports the new position
		require.NoError(t, err)
		raw.sent, raw.repeats, raw.fails = nil, before(request.Set, acknowledgedAt(6, request.Idle)), failsAt(request.Set)
		answer, sent, err := conn.Run(t.Context(), branch("2"), commandOf(request.Write))
		require.False(t, wasSent(raw.sent, request.Write), "the statement was sent under another value; told: %v, sent %v, %v", answer.Err, sent, err)
	})
	t.Run("error", func(t *testing.T) {
		raw, conn := newHiding(t, catalog.RoleReplica) // its connections are kept after an error
		raw.fails = failsAt(request.Read)
		_, _, err := conn.Run(t.Context(), Needs{}, commandOf(request.Read))
		require.NoError(t, err)
		raw.log, raw.fails = 6, nil
		again := acknowledgedAt(6, request.Idle)
		again[0].Err = verdict.New(verdict.Ran, verdict.CodeStatementFailed, "failed")
		raw.repeats = before(request.Read, again)
		_, _, _ = conn.Run(t.Context(), Needs{}, commandOf(request.Read))
		conn.Release()
		require.True(t, raw.closed, "the next read would be answered with the answer to the second")
	})
}
