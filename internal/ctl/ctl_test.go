package ctl

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hornbeamlock/hornbeamlock/internal/operator"
)

func run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = Main(context.Background(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestWrongCommandLines(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"frobnicate"}, `unknown command "frobnicate"`},
		{[]string{"key", "withdraw"}, "wants exactly one key id"},
		{[]string{"service", "put"}, "-file is required"},
		{[]string{"config", "diff", "1"}, "wants two versions"},
		{[]string{"config", "diff", "1", "two"}, `"two" is not a version`},
		{[]string{"fleet", "-o", "yaml"}, "-o wants table or json"},
		{[]string{"fleet", "-nope"}, "flag provided but not defined"},
	} {
		code, _, errOut := run(c.args...)
		require.Equal(t, ExitUsage, code, c.args)
		require.Contains(t, errOut, c.want)
	}
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	for _, c := range commands() {
		require.NotEmpty(t, c.synopsis, c.name)
		env := &environment{out: &bytes.Buffer{}, errOut: &bytes.Buffer{}}
		code := runCommand(context.Background(), env, c, []string{"-h"})
		require.Equal(t, ExitOK, code, c.name)
		require.Contains(t, env.errOut.(*bytes.Buffer).String(), "hornbeamctl "+c.example)
	}
}

func TestExitCodes(t *testing.T) {
	require.Equal(t, ExitOK, exitCode(nil))
	require.Equal(t, ExitUsage, exitCode(usagef("x")))
	require.Equal(t, ExitRefused, exitCode(status.Error(codes.FailedPrecondition, "x")))
	require.Equal(t, ExitUnknown, exitCode(status.Error(codes.Aborted, "x")))
	require.Equal(t, ExitFailed, exitCode(status.Error(codes.Internal, "x")))
}

// TestExitCodesOfChanges checks that a change exits with 3 only if the instance has said that
// nothing changed: a connection that breaks may have carried the change.
func TestExitCodesOfChanges(t *testing.T) {
	withReason := func(code codes.Code, reason string) error {
		s, err := status.New(code, "x").WithDetails(&errdetails.ErrorInfo{Domain: operator.ErrorDomain, Reason: reason})
		require.NoError(t, err)
		return s.Err()
	}
	for _, c := range []struct {
		name string
		err  error
		want int
	}{
		{"refused, a failure domain could still serve", withReason(codes.Unavailable, operator.ReasonNothingChanged), ExitRefused},
		{"refused as invalid", withReason(codes.InvalidArgument, operator.ReasonNothingChanged), ExitRefused},
		{"the instance does not know the outcome", withReason(codes.Unknown, operator.ReasonOutcomeUnknown), ExitUnknown},
		{"the connection broke", status.Error(codes.Unavailable, "EOF"), ExitUnknown},
		{"no answer in time", status.Error(codes.DeadlineExceeded, "x"), ExitUnknown},
		{"an unexpected error of the instance", status.Error(codes.Internal, "x"), ExitUnknown},
		{"invalid, by an earlier version", status.Error(codes.InvalidArgument, "x"), ExitRefused},
		{"an error before the call", errors.New("no such file"), ExitFailed},
	} {
		require.Equal(t, c.want, exitCode(asChangeError(c.err)), c.name)
	}
	require.Equal(t, ExitFailed, exitCode(status.Error(codes.Unavailable, "a call that changes nothing")))
	require.Equal(t, "x", errorText(asChangeError(status.Error(codes.Internal, "x"))))
}

func TestOverviewNamesEveryCommand(t *testing.T) {
	code, out, _ := run("help")
	require.Equal(t, ExitOK, code)
	for _, c := range commands() {
		require.Contains(t, out, c.name)
	}
}
