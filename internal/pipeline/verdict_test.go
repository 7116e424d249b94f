package pipeline

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// TestNotRunIsTrue checks that a statement which an endpoint may have run is neither reported
// nor logged as not run and keeps its token spent, and that one which certainly has not run
// is reported so and has its token refunded.
func TestNotRunIsTrue(t *testing.T) {
	busy := verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "busy")
	behind := verdict.New(verdict.NotRun, verdict.CodeBehind, "behind")
	failed := verdict.New(verdict.Ran, verdict.CodeStatementFailed, "failed")
	reset := errors.New("connection reset")
	for _, c := range []struct {
		name     string
		answers  map[string]behaviour
		want     verdict.Verdict
		refunded int
		event    int
	}{
		{"all endpoints are silent", map[string]behaviour{"p": neverAnswers, "r1": neverAnswers, "r2": neverAnswers}, verdict.MayHaveRun, 0, event.RequestUnknown.Number},
		{"one is silent, the others refuse", map[string]behaviour{"p": refuses(busy), "r1": neverAnswers, "r2": refuses(busy)}, verdict.MayHaveRun, 0, event.RequestUnknown.Number},
		{"all connections fail after the send", map[string]behaviour{"p": refuses(reset), "r1": refuses(reset), "r2": refuses(reset)}, verdict.MayHaveRun, 0, event.RequestUnknown.Number},
		{"the last one refuses", map[string]behaviour{"p": refuses(busy), "r1": refuses(reset), "r2": refuses(reset)}, verdict.MayHaveRun, 0, event.RequestUnknown.Number},
		{"one has run it and failed, another is behind", map[string]behaviour{"p": refuses(failed), "r1": refuses(behind), "r2": refuses(behind)}, verdict.Ran, 0, event.RequestUnknown.Number},
		{"all refuse", map[string]behaviour{"p": refuses(busy), "r1": refuses(busy), "r2": refuses(busy)}, verdict.NotRun, 1, event.RequestRefused.Number},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				f.servers.answers = c.answers
				s := f.open("own")
				// A read index, so that replicas are candidates.
				f.fresh.add("db", f.clock(), oneCommit)
				answer := s.Handle(t.Context(), readOf("x"))
				require.NotNil(t, answer.Err)
				require.Equal(t, c.want, answer.Err.Verdict, answer.Err.Error())
				require.Equal(t, c.refunded, f.admission.refunded)
				require.Equal(t, 1, f.logged.FilterField(eventField(c.event)).Len(), "lines: %v", f.logged.All())
			})
		})
	}
}

// TestUnknownWriteIsNotRepeated checks that a write without an answer is neither repeated nor
// reported as not run.
func TestUnknownWriteIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.servers.answers["p"] = neverAnswers
		answer := f.open("own").Handle(t.Context(), writeOf("x"))
		require.Equal(t, verdict.MayHaveRun, answer.Err.Verdict)
		require.Equal(t, 1, f.servers.count("p"))
		require.Zero(t, f.servers.count("r1")+f.servers.count("r2"))
		require.Zero(t, f.admission.refunded)
	})
}

// TestTransactionOfALostConnectionIsAborted checks that a statement of a transaction whose
// connection fails is reported as rolled back, except a commit, whose outcome is unknown.
func TestTransactionOfALostConnectionIsAborted(t *testing.T) {
	for kind, want := range map[request.Kind]verdict.Verdict{request.Write: verdict.NotRun, request.Commit: verdict.MayHaveRun} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				s := f.open("own")
				require.Nil(t, s.Handle(t.Context(), request.Statement{ID: "1", Kind: request.Begin, Text: "BEGIN"}).Err)
				f.servers.answers["p"] = served
				require.Nil(t, s.Handle(t.Context(), writeOf("2")).Err)
				f.servers.answers["p"] = refuses(errors.New("connection reset"))
				answer := s.Handle(t.Context(), request.Statement{ID: "3", Kind: kind, Text: "x"})
				require.Equal(t, want, answer.Err.Verdict)
			})
		})
	}
}

// TestStatementThatMayHaveRunOutsideItsTransaction guards against the promise that a transaction was
// rolled back, where the answer to its BEGIN may have been that of an earlier one on the connection:
// then the first statement may have taken effect at once.
func TestStatementThatMayHaveRunOutsideItsTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		s := f.open("own")
		for _, st := range []request.Statement{beginStatement, writeOf("1"), commitStatement, beginStatement} {
			require.Nil(t, s.Handle(t.Context(), st).Err)
		}
		f.servers.answers["p"] = func(ctx context.Context, command request.Command) (request.Answer, error) {
			if command.Kind == request.Begin || command.Kind == request.Prepare { // which confirms the BEGIN
				return served(ctx, command)
			}
			return request.Answer{}, errors.New("connection reset")
		}
		require.Equal(t, verdict.MayHaveRun, s.Handle(t.Context(), writeOf("2")).Err.Verdict)
		require.Equal(t, verdict.MayHaveRun, s.Handle(t.Context(), commitStatement).Err.Verdict)
	})
}

// TestIsolatedInstanceSendsCallersElsewhere covers an instance that is partitioned from the
// others, which have the tokens that it lacks.
func TestIsolatedInstanceSendsCallersElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.admission.refusal = verdict.New(verdict.NotRun, verdict.CodeConfigurationLimit, "beyond its rate").WithRetryAfter(time.Second)
		s := f.open("own")
		require.False(t, s.Handle(t.Context(), readOf("1")).Err.Elsewhere)
		f.admission.isolated = true
		refused := s.Handle(t.Context(), readOf("2")).Err
		require.True(t, refused.Elsewhere)
		require.Equal(t, elsewhereRetryAfter, refused.RetryAfter)
		f.admission.refusal = nil
		f.servers.answers["p"] = neverAnswers
		require.False(t, s.Handle(t.Context(), writeOf("3")).Err.Elsewhere, "it may have run")
	})
}

// TestPanicReleasesThePrimary guards against a use of the primary, or a connection to it, that is
// never given back after a panic that ended one session only.
func TestPanicReleasesThePrimary(t *testing.T) {
	begin := request.Statement{ID: "b", Kind: request.Begin, Text: "BEGIN"}
	for name, c := range map[string]struct {
		before []request.Statement
		at     int // the statement at the endpoint that panics
	}{
		"write":                         {nil, 1},
		"begin":                         {[]request.Statement{begin}, 1},
		"first write of a transaction":  {[]request.Statement{begin}, 2},
		"second write of a transaction": {[]request.Statement{begin, writeOf("1")}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				received := 0
				f.servers.answers["p"] = func(ctx context.Context, command request.Command) (request.Answer, error) {
					if received++; received == c.at {
						panic("unexpected")
					}
					return served(ctx, command)
				}
				s := f.open("primary")
				for _, st := range c.before {
					require.Nil(t, s.Handle(t.Context(), st).Err)
				}
				require.Panics(t, func() { s.Handle(t.Context(), writeOf("x")) })
				s.Close()
				began := f.clock()
				require.NoError(t, f.primaryView.Revoke(t.Context(), "db", 1))
				require.Equal(t, began, f.clock(), "the primary is still in use")
				require.Zero(t, f.servers.opened.Load())
			})
		})
	}
}
