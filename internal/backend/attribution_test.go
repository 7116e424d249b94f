package backend

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// scriptedConn is a connection on which given answers arrive.
type scriptedConn struct {
	answers []request.Answer
	sent    []request.Command
	// unread is true if an answer arrives after the last one.
	unread, closed bool
}

func (c *scriptedConn) Dial(context.Context, catalog.Endpoint, string) (Conn, error) { return c, nil }

func (c *scriptedConn) Exchange(_ context.Context, commands []request.Command, accept func(request.Answer) (more bool)) error {
	c.sent = append(c.sent, commands...)
	return deliver(&c.answers, accept)
}

// deliver passes the answers that have arrived to accept, until that returns false.
func deliver(arrived *[]request.Answer, accept func(request.Answer) (more bool)) error {
	for len(*arrived) > 0 {
		next := (*arrived)[0]
		*arrived = (*arrived)[1:]
		if !accept(next) {
			return nil
		}
	}
	return errNoAnswer
}

// wasSent reports whether a command of the kind, and no barrier, is among those that were sent.
func wasSent(sent []request.Command, kind request.Kind) bool {
	return slices.ContainsFunc(sent, func(command request.Command) bool { return command.Kind == kind && !isBarrier(command) })
}

func (c *scriptedConn) Reusable() bool { return !c.unread || len(c.sent) == 0 }
func (c *scriptedConn) Close()         { c.closed = true }

func newScripted(t *testing.T, answers ...request.Answer) (*scriptedConn, *PooledConn) {
	c := &scriptedConn{answers: answers}
	pools := newPools(t, &fakeEndpoint{limit: 1}, 1)
	pools.cfg.Dialer = c
	conn, err := pools.Acquire(t.Context(), testEndpoint, "a", Turn{})
	require.NoError(t, err)
	return c, conn
}

func signed(signature string, state request.Transaction) request.Answer {
	return request.Answer{Signature: signature, Transaction: state}
}

func unsigned(state request.Transaction) request.Answer { return request.Answer{Transaction: state} }

func refusal(code string) request.Answer {
	return request.Answer{Err: verdict.New(verdict.NotRun, code, "refused")}
}

func commandOf(kind request.Kind) request.Command {
	return request.Command{Statement: request.Statement{ID: "x", Kind: kind, Prepared: request.Prepared{Shape: "q"}}}
}

// TestOnlyEvidenceIsDelivered guards against success, and against promises, without evidence.
func TestOnlyEvidenceIsDelivered(t *testing.T) {
	colour := Needs{Values: map[string]string{"colour": "red"}}
	prepared := Needs{Prepared: &request.Prepared{Shape: "q"}}
	for _, c := range []struct {
		name     string
		before   []request.Kind // statements that succeed
		kind     request.Kind
		needs    Needs
		arriving []request.Answer
		sent     bool
		unread   bool // an answer arrives after the last one
	}{
		{name: "acknowledgement of a write", kind: request.Write, arriving: []request.Answer{unsigned(request.Idle)}, sent: true},
		{name: "acknowledgement of a commit", before: []request.Kind{request.Begin}, kind: request.Commit, arriving: []request.Answer{unsigned(request.Idle)}, sent: true},
		{name: "write in a transaction of nobody", kind: request.Write, arriving: []request.Answer{signed("s", request.Open)}, sent: true},
		{name: "commit that leaves the transaction open", before: []request.Kind{request.Begin, request.Write}, kind: request.Commit, arriving: []request.Answer{signed("s", request.Open)}, sent: true},
		{name: "signature of an earlier write", before: []request.Kind{request.Write}, kind: request.Write, arriving: []request.Answer{signed("write", request.Idle)}, sent: true},
		{name: "BEGIN that leaves the connection idle", kind: request.Begin, arriving: []request.Answer{unsigned(request.Idle)}, sent: true},
		{name: "BEGIN with a signature", kind: request.Begin, arriving: []request.Answer{signed("s", request.Open)}, sent: true},
		{name: "BEGIN with rows", kind: request.Begin, arriving: []request.Answer{{Rows: []string{"a"}, Transaction: request.Open}}, sent: true},
		{name: "SET with a signature", kind: request.Write, needs: colour, arriving: []request.Answer{signed("s", request.Idle), signed("t", request.Idle)}},
		{name: "SET that opens a transaction", kind: request.Write, needs: colour, arriving: []request.Answer{unsigned(request.Open), signed("t", request.Idle)}},
		{name: "answer after that of SET", kind: request.Write, needs: colour, arriving: []request.Answer{unsigned(request.Idle), refusal(verdict.CodeBehind), signed("t", request.Idle)}, unread: true},
		{
			name: "failed PREPARE and busy EXECUTE", kind: request.Execute, needs: prepared,
			arriving: []request.Answer{refusal(verdict.CodeReadOnlyTransaction), refusal(verdict.CodeCannotConnectNow)}, sent: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw, conn := newScripted(t)
			for _, kind := range c.before {
				answer := unsigned(conn.answers.stateAfter(kind))
				if kind.IsSigned() {
					answer.Signature = kind.String()
				}
				raw.answers = []request.Answer{answer}
				_, _, err := conn.Run(t.Context(), Needs{}, commandOf(kind))
				require.NoError(t, err)
			}
			raw.sent, raw.answers, raw.unread = nil, c.arriving, c.unread
			_, sent, err := conn.Run(t.Context(), c.needs, commandOf(c.kind))
			require.Error(t, err)
			require.NotEqual(t, verdict.NotRun, verdict.Of(err))
			require.Equal(t, c.sent, sent)
			conn.Release()
			require.True(t, raw.closed)
		})
	}
}

// TestErrorInATransactionOfNobodyCounts guards against telling that a write may have run which an endpoint
// has refused, since its answer tells of a transaction. Whatever there is ends with the connection.
func TestErrorInATransactionOfNobodyCounts(t *testing.T) {
	for _, state := range []request.Transaction{request.Open, request.Failed} {
		refused := refusal(verdict.CodeReadOnlyTransaction)
		refused.Transaction = state
		raw, conn := newScripted(t, refused)
		answer, _, err := conn.Run(t.Context(), Needs{}, commandOf(request.Write))
		require.NoError(t, err)
		require.Equal(t, verdict.NotRun, answer.Err.Verdict)
		conn.Endpoint.Role = catalog.RoleReplica // its connections are kept after an error
		conn.Release()
		require.True(t, raw.closed)
	}
}

// TestStatementOutsideItsTransactionIsUnknown guards against calling a write rolled back that the
// endpoint may have run without a transaction.
func TestStatementOutsideItsTransactionIsUnknown(t *testing.T) {
	for name, c := range map[string]struct {
		needs    Needs
		arriving []request.Answer // after the answers to BEGIN, COMMIT and BEGIN
	}{
		"signed without a transaction": {Needs{}, []request.Answer{signed("s", request.Idle)}},
		"no answer":                    {Needs{}, nil},
		"error of BEGIN":               {Needs{}, []request.Answer{refusal(verdict.CodeCannotConnectNow)}},
		"error of BEGIN for that of PREPARE": {
			Needs{Prepared: &request.Prepared{Shape: "q"}},
			[]request.Answer{refusal(verdict.CodeCannotConnectNow), unsigned(request.Idle), signed("s", request.Idle)},
		},
	} {
		t.Run(name, func(t *testing.T) {
			raw, conn := newScripted(t)
			for _, step := range []struct {
				kind    request.Kind
				answers []request.Answer
			}{
				{request.Begin, []request.Answer{unsigned(request.Open)}},
				{request.Commit, []request.Answer{signed("c", request.Idle)}},
				{request.Begin, []request.Answer{unsigned(request.Open), unsigned(request.Open)}}, // the second one confirms
			} {
				raw.answers = step.answers
				_, _, err := conn.Run(t.Context(), Needs{}, commandOf(step.kind))
				require.NoError(t, err)
			}
			raw.answers = c.arriving
			answer, _, err := conn.Run(t.Context(), c.needs, commandOf(request.Execute))
			require.NoError(t, err)
			require.Equal(t, verdict.MayHaveRun, answer.Err.Verdict)
			require.Equal(t, request.Idle, answer.Transaction)
			conn.Release()
			require.True(t, raw.closed)
		})
	}
}

// TestNamesAreNotUsedTwice guards against an EXECUTE of another statement under a name from before a
// RESET that the endpoint has not carried out.
func TestNamesAreNotUsedTwice(t *testing.T) {
	raw, conn := newScripted(t, unsigned(request.Idle), unsigned(request.Idle), refusal(verdict.CodeBehind), signed("1", request.Idle),
		unsigned(request.Idle), unsigned(request.Idle), refusal(verdict.CodeBehind), signed("2", request.Idle))
	for _, needs := range []Needs{{Values: map[string]string{"colour": "red"}, Prepared: &request.Prepared{Shape: "q"}}, {Prepared: &request.Prepared{Shape: "r"}}} {
		_, _, err := conn.Run(t.Context(), needs, commandOf(request.Execute))
		require.NoError(t, err)
	}
	require.Equal(t, request.Reset, raw.sent[4].Kind)
	require.NotEqual(t, raw.sent[3].Alias, raw.sent[7].Alias)
}

// TestRepetitionIsReported checks that a repetition is skipped, counted and logged once, and that
// from then on a connection serves another session only if its answers will be evidence.
func TestRepetitionIsReported(t *testing.T) {
	for _, needs := range []Needs{{}, {Values: map[string]string{"colour": "red"}}} {
		raw, conn := newScripted(t)
		core, logged := observer.New(zap.InfoLevel)
		conn.pool.pools.cfg.Log = zap.New(core)
		if needs.Values != nil {
			raw.answers = []request.Answer{unsigned(request.Idle), refusal(verdict.CodeBehind)}
		}
		raw.answers = append(raw.answers, signed("1", request.Idle))
		for n := range 3 {
			if n > 0 {
				raw.answers = []request.Answer{signed("1", request.Idle), signed(strconv.Itoa(n+1), request.Idle)}
			}
			answer, _, err := conn.Run(t.Context(), needs, commandOf(request.Read))
			require.NoError(t, err)
			require.Equal(t, strconv.Itoa(n+1), answer.Signature)
		}
		require.Equal(t, 1, logged.FilterField(zap.String("reason", reasonSignatureRepeated)).Len())
		require.Equal(t, "2", conn.pool.pools.cfg.Metrics.Labelled("endpoint_answers_not_taken_total").Get(reasonSignatureRepeated).String())
		conn.Release()
		require.Equal(t, needs.Values != nil, raw.closed)
	}
}

// TestReportsAreLimited guards against a line for each error of an endpoint that is busy, whose
// connections are replaced.
func TestReportsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, conn := newScripted(t)
		core, logged := observer.New(zap.InfoLevel)
		conn.pool.pools.cfg.Log = zap.New(core)
		for range 30 {
			(&PooledConn{pool: conn.pool, conn: conn.conn}).reportAnswer(request.Read, rejected, reasonErrorRepeated)
			time.Sleep(reportInterval / 10)
		}
		require.Equal(t, 3, logged.Len())
	})
}

// TestRecordOfSignaturesIsBounded guards against a record that grows, or forgets, on a connection that
// is never idle.
func TestRecordOfSignaturesIsBounded(t *testing.T) {
	raw, conn := newScripted(t)
	for n := range maxSignatures {
		require.False(t, raw.closed)
		raw.answers = []request.Answer{signed(strconv.Itoa(n), request.Idle)}
		_, _, err := conn.Run(t.Context(), Needs{}, commandOf(request.Read))
		require.NoError(t, err)
	}
	conn.Release()
	require.True(t, raw.closed)
}

// TestErrorOfUncertainOriginEndsTheConnection guards against a statement inside a transaction, or under values,
// of another session: the error that BEGIN was answered with may be that of the SET before it.
func TestErrorOfUncertainOriginEndsTheConnection(t *testing.T) {
	values := Needs{Values: map[string]string{"branch": "1", "colour": "red"}}
	raw, conn := newScripted(t, unsigned(request.Open))
	conn.Endpoint.Role = catalog.RoleReplica // its connections are kept after an error
	_, _, err := conn.Run(t.Context(), Needs{}, commandOf(request.Begin))
	require.NoError(t, err)
	raw.answers = []request.Answer{unsigned(request.Idle)}
	_, _, err = conn.Run(t.Context(), Needs{}, commandOf(request.Rollback))
	require.NoError(t, err)
	raw.answers = []request.Answer{unsigned(request.Idle), unsigned(request.Idle), refusal(verdict.CodeCannotConnectNow)}
	answer, _, err := conn.Run(t.Context(), values, commandOf(request.Begin))
	require.NoError(t, err)
	require.NotNil(t, answer.Err)
	conn.Release()
	require.True(t, raw.closed)
}

// TestHiddenErrorOfSetIsSeenBeforeTheStatement guards against a statement that runs without a value of its
// session: a repeated acknowledgement takes the place of the error of a SET, which is still to come.
func TestHiddenErrorOfSetIsSeenBeforeTheStatement(t *testing.T) {
	values := Needs{Values: map[string]string{"branch": "1", "colour": "red"}}
	raw, conn := newScripted(t, unsigned(request.Idle), unsigned(request.Idle), refusal(verdict.CodeCannotConnectNow), unsigned(request.Open), unsigned(request.Idle))
	_, sent, err := conn.Run(t.Context(), values, commandOf(request.Write))
	require.Error(t, err)
	require.False(t, sent)
	for _, command := range raw.sent {
		require.NotEqual(t, request.Write, command.Kind)
	}
	conn.Release()
	require.True(t, raw.closed)
}

// TestConnectionFollowsTheRoleOfItsEndpoint guards against a write on a connection on which another error would
// be no evidence, as it was kept while the endpoint was a replica.
func TestConnectionFollowsTheRoleOfItsEndpoint(t *testing.T) {
	e := &fakeEndpoint{limit: 1, refuses: request.Read}
	p := newPools(t, e, 1)
	replica, primary := testEndpoint, testEndpoint
	replica.Role, primary.Role = catalog.RoleReplica, catalog.RolePrimary
	conn, err := p.Acquire(t.Context(), replica, "a", Turn{})
	require.NoError(t, err)
	answer, _, err := conn.Run(t.Context(), Needs{}, read())
	require.NoError(t, err)
	require.NotNil(t, answer.Err)
	conn.Release()
	require.Equal(t, 1, e.open)
	conn, err = p.Acquire(t.Context(), primary, "a", Turn{})
	require.NoError(t, err)
	require.Equal(t, 2, e.dials)
	require.Equal(t, catalog.RolePrimary, conn.Endpoint.Role)
}

// TestRefusedReadsAreNoFailures guards against a replica that counts as failing, and a read that is told as
// unknown, since the replica lags, or is busy, a second time.
func TestRefusedReadsAreNoFailures(t *testing.T) {
	for _, code := range []string{verdict.CodeBehind, verdict.CodeTooManyConnections} {
		for kind, told := range map[request.Kind]bool{request.Read: true, request.Execute: true, request.Write: false} {
			raw, conn := newScripted(t)
			conn.Endpoint.Role = catalog.RoleReplica // its connections are kept after an error
			raw.answers = []request.Answer{refusal(code), refusal(code)}
			_, _, err := conn.Run(t.Context(), Needs{}, commandOf(request.Read))
			require.NoError(t, err)
			answer, sent, err := conn.Run(t.Context(), Needs{}, commandOf(kind))
			require.True(t, sent)
			require.Equal(t, told, err == nil)
			require.Equal(t, told, answer.Err != nil && answer.Err.Code == code)
			require.Equal(t, told, conn.pool.health.Load(testEndpoint.ID).FailureRate == 0)
			conn.Release()
			require.True(t, raw.closed)
			require.True(t, conn.pool.pools.HasIdle(testEndpoint.ID, "a"))
		}
	}
}

// TestRefusedReadOfATransactionIsNoEvidence guards against a transaction that goes on after an error which may be
// that of an earlier statement.
func TestRefusedReadOfATransactionIsNoEvidence(t *testing.T) {
	raw, conn := newScripted(t, refusal(verdict.CodeBehind), unsigned(request.Open), refusal(verdict.CodeBehind))
	for _, kind := range []request.Kind{request.Read, request.Begin} {
		_, _, err := conn.Run(t.Context(), Needs{}, commandOf(kind))
		require.NoError(t, err)
	}
	_, _, err := conn.Run(t.Context(), Needs{}, commandOf(request.Read))
	require.ErrorIs(t, err, errUnattributed)
	conn.Release()
	require.True(t, raw.closed)
}

// TestHiddenErrorOnAConnectionWithAnEarlierTransaction guards against a statement that runs without a value of
// its session, or outside its transaction: the acknowledgement of an earlier ROLLBACK or BEGIN comes again, in
// place of the error of the SET or BEGIN, which is still to come.
func TestHiddenErrorOnAConnectionWithAnEarlierTransaction(t *testing.T) {
	failed := refusal(verdict.CodeStatementFailed)
	for name, c := range map[string]struct {
		values   map[string]string
		setup    request.Kind
		arriving []request.Answer
	}{
		"SET":         {map[string]string{"branch": "1"}, request.Read, []request.Answer{unsigned(request.Idle), failed, refusal(verdict.CodeBehind)}},
		"SET, later":  {map[string]string{"branch": "1"}, request.Read, []request.Answer{unsigned(request.Idle)}},
		"second SET":  {map[string]string{"branch": "1", "colour": "red"}, request.Read, []request.Answer{unsigned(request.Idle), unsigned(request.Idle), failed, refusal(verdict.CodeBehind)}},
		"BEGIN":       {nil, request.Begin, []request.Answer{unsigned(request.Open), failed}},
		"SET, BEGIN":  {map[string]string{"branch": "1"}, request.Begin, []request.Answer{unsigned(request.Idle), failed, unsigned(request.Open)}},
		"BEGIN after": {map[string]string{"branch": "1"}, request.Begin, []request.Answer{unsigned(request.Idle), unsigned(request.Open), failed}},
	} {
		t.Run(name, func(t *testing.T) {
			raw, conn := newScripted(t)
			for _, earlier := range []request.Command{commandOf(request.Begin), commandOf(request.Rollback)} {
				raw.answers = []request.Answer{unsigned(map[request.Kind]request.Transaction{request.Begin: request.Open}[earlier.Kind])}
				_, _, err := conn.Run(t.Context(), Needs{}, earlier)
				require.NoError(t, err)
			}
			raw.answers, raw.sent = c.arriving, nil // the first one is the repetition
			answer, sent, err := conn.Run(t.Context(), Needs{Values: c.values}, commandOf(c.setup))
			require.True(t, err != nil || answer.Err != nil)
			require.Equal(t, c.setup == request.Begin, sent)
			if c.setup == request.Begin {
				_, _, _ = conn.Run(t.Context(), Needs{}, commandOf(request.Read))
			}
			require.False(t, wasSent(raw.sent, request.Read), "the statement was sent")
			conn.Release()
			require.True(t, raw.closed)
		})
	}
}

// TestHiddenErrorOfRollbackIsSeenBeforeTheNextStatement guards against a statement that runs inside another
// session's transaction: a repeated acknowledgement takes the place of the error of its ROLLBACK.
func TestHiddenErrorOfRollbackIsSeenBeforeTheNextStatement(t *testing.T) {
	raw, conn := newScripted(t)
	for _, step := range []struct {
		kind   request.Kind
		offset uint64
	}{{request.Begin, 1}, {request.Rollback, 1}, {request.Begin, 2}, {request.Rollback, 1}} { // the last one is a repetition
		answer := unsigned(conn.answers.stateAfter(step.kind))
		answer.Position.Offset = step.offset
		raw.answers = []request.Answer{answer}
		_, _, err := conn.Run(t.Context(), Needs{}, commandOf(step.kind))
		require.NoError(t, err)
	}
	raw.answers, raw.sent = []request.Answer{refusal(verdict.CodeStatementFailed), refusal(verdict.CodeBehind)}, nil
	_, sent, err := conn.Run(t.Context(), Needs{}, commandOf(request.Write))
	require.Error(t, err)
	require.False(t, sent)
	require.False(t, wasSent(raw.sent, request.Write), "the statement was sent")
}

// TestUncertainSetInATransactionOfARepeatingEndpoint guards against a statement that runs without a value of its
// session: both acknowledgements of a SET that was sent twice may be repetitions.
func TestUncertainSetInATransactionOfARepeatingEndpoint(t *testing.T) {
	for _, known := range []bool{false, true} {
		raw, conn := newScripted(t, unsigned(request.Open))
		_, _, err := conn.Run(t.Context(), Needs{}, commandOf(request.Begin))
		require.NoError(t, err)
		if known {
			conn.pool.noteRepetition()
		}
		raw.answers, raw.sent = []request.Answer{unsigned(request.Open), unsigned(request.Open), signed("s", request.Open)}, nil
		_, sent, err := conn.Run(t.Context(), Needs{Values: map[string]string{"branch": "1"}}, commandOf(request.Write))
		require.Equal(t, !known, sent)
		require.Equal(t, known, err != nil)
		require.Equal(t, !known, wasSent(raw.sent, request.Write))
		conn.Release()
		require.True(t, raw.closed)
	}
}
