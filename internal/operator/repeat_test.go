package operator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hornbeamlock/hornbeamlock/internal/configuration"
)

// TestRepeat guards against a set-up that gives up because one instance did not answer in
// time, and against one that repeats a change that may have been accepted.
func TestRepeat(t *testing.T) {
	refused := func(kind configuration.RefusalKind) error { return statusOf(&configuration.Refusal{Kind: kind}) }
	for _, c := range []struct {
		name     string
		errs     []error
		wantCode codes.Code
		calls    int
	}{
		{"accepted", []error{nil}, codes.OK, 1},
		{"an instance does not answer twice", []error{refused(configuration.RefusedUnavailable), refused(configuration.RefusedUnavailable), nil}, codes.OK, 3},
		{"another change is in progress", []error{refused(configuration.RefusedBusy), nil}, codes.OK, 2},
		{"invalid", []error{refused(configuration.RefusedInvalid)}, codes.InvalidArgument, 1},
		{"another version is in force", []error{refused(configuration.RefusedConflict)}, codes.FailedPrecondition, 1},
		{"the outcome is unknown", []error{refused(configuration.OutcomeUnknown)}, codes.Unknown, 1},
		{"the connection broke", []error{status.Error(codes.Unavailable, "EOF")}, codes.Unavailable, 1},
		{"never reachable", []error{refused(configuration.RefusedUnavailable)}, codes.Unavailable, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 4*repeatInterval-time.Millisecond)
				defer cancel()
				calls := 0
				_, err := Repeat(ctx, func(context.Context) (int, error) {
					calls++
					return 0, c.errs[min(calls, len(c.errs))-1]
				})
				require.Equal(t, c.wantCode, status.Code(err))
				require.Equal(t, c.calls, calls)
			})
		})
	}
}
