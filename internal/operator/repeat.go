package operator

import (
	"context"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hornbeamlock/hornbeamlock/internal/pause"
)

// repeatInterval is the wait of Repeat between two calls.
const repeatInterval = 250 * time.Millisecond

// Repeat submits a change until it is accepted or refused for good, or until ctx ends. It
// repeats only a refusal that changed nothing and that another time may not come to, such as
// that of an instance that did not answer. It returns the last result.
func Repeat[T any](ctx context.Context, submit func(context.Context) (T, error)) (T, error) {
	for {
		response, err := submit(ctx)
		if !isRefusedForNow(err) || !pause.For(ctx, repeatInterval) {
			return response, err
		}
	}
}

// isRefusedForNow reports whether err says that nothing changed and that the same change may
// be accepted later.
func isRefusedForNow(err error) bool {
	return status.Code(err) == codes.Unavailable && Reason(status.Convert(err)) == ReasonNothingChanged
}

// Reason returns the reason in the ErrorInfo detail of a change's status, or "".
func Reason(s *status.Status) string {
	for _, detail := range s.Details() {
		if info, ok := detail.(*errdetails.ErrorInfo); ok && info.GetDomain() == ErrorDomain {
			return info.GetReason()
		}
	}
	return ""
}
