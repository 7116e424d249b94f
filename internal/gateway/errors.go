package gateway

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// errorResponse returns the protocol message for an error.
func errorResponse(e *verdict.Error, severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: e.Code, Message: e.Message, Detail: e.Detail(), Hint: e.Hint(),
	}
}

// isFatal reports whether the server closes the connection after the message.
func isFatal(m *pgproto3.ErrorResponse) bool {
	severity := m.SeverityUnlocalized
	if severity == "" {
		severity = m.Severity
	}
	return severity == severityFatal || severity == "PANIC"
}

func unsupportedFeature(name string) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeFeatureNotSupported, "%s is not supported through the proxy", name)
}
