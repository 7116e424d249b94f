package operator

import (
	"errors"

	"github.com/gravitational/trace"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/hornbeamlock/hornbeamlock/internal/configuration"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
)

// statusOf turns an error into a gRPC status with a clear text. A mistake in a
// change carries the field's path as a BadRequest detail.
func statusOf(err error) error {
	if err == nil {
		return nil
	}
	var refusal *configuration.Refusal
	if errors.As(err, &refusal) {
		return withField(status.New(codeOf(refusal.Kind), refusal.Error()), err)
	}
	if fleetconfig.AsFieldError(err) != nil {
		return withField(status.New(codes.InvalidArgument, err.Error()), err)
	}
	if trace.IsNotFound(err) {
		return status.Error(codes.NotFound, trace.UserMessage(err))
	}
	return status.Error(codes.Unavailable, trace.UserMessage(err))
}

func codeOf(kind configuration.RefusalKind) codes.Code {
	switch kind {
	case configuration.RefusedInvalid:
		return codes.InvalidArgument
	case configuration.RefusedConflict:
		return codes.FailedPrecondition
	case configuration.OutcomeUnknown:
		return codes.Unknown
	default:
		return codes.Unavailable
	}
}

func withField(s *status.Status, err error) error {
	field := fleetconfig.AsFieldError(err)
	if field == nil {
		return s.Err()
	}
	detailed, detailErr := s.WithDetails(&errdetails.BadRequest{FieldViolations: []*errdetails.BadRequest_FieldViolation{
		{Field: field.Path, Description: field.Reason},
	}})
	if detailErr != nil {
		return s.Err()
	}
	return detailed.Err()
}
