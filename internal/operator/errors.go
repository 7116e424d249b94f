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

// Reasons in the ErrorInfo detail of a change that is not known to be accepted.
const (
	ErrorDomain = "hornbeamlock"
	// ReasonNothingChanged means that the change was not accepted and never will be.
	ReasonNothingChanged = "NOTHING_CHANGED"
	// ReasonOutcomeUnknown means that the change may have been accepted.
	ReasonOutcomeUnknown = "OUTCOME_UNKNOWN"
)

// statusOf converts an error to a gRPC status. If the error is or wraps a
// fleetconfig.FieldError, a BadRequest detail holds the field's path.
func statusOf(err error) error {
	if err == nil {
		return nil
	}
	var refusal *configuration.Refusal
	if errors.As(err, &refusal) {
		return withField(withReason(status.New(codeOf(refusal.Kind), refusal.Error()), refusal.Kind), err)
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

// withReason adds the detail that tells whether anything changed.
func withReason(s *status.Status, kind configuration.RefusalKind) *status.Status {
	reason := ReasonNothingChanged
	if kind == configuration.OutcomeUnknown {
		reason = ReasonOutcomeUnknown
	}
	detailed, err := s.WithDetails(&errdetails.ErrorInfo{Reason: reason, Domain: ErrorDomain})
	if err != nil {
		return s // only a status of an accepted change cannot have details
	}
	return detailed
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
