package gateway

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	severityError = "ERROR"
	severityFatal = "FATAL"
)

// errorResponse is the message that tells a caller of a failure.
func errorResponse(e *verdict.Error, severity string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: e.Code, Message: e.Message, Detail: e.Detail(), Hint: e.Hint(),
	}
}

// isFatal tells whether the server ends the connection after the message.
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
