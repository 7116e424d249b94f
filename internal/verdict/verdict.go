// Package verdict describes the outcome of a request: whether it ran at a database, may
// have run, or did not run. Every error reported to a caller carries a verdict, and
// only a request with the verdict NotRun may be retried without further conditions.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict is what is known about the execution of a request.
type Verdict uint8

// The verdicts. MayHaveRun is the zero value, so that an unset verdict claims nothing
// that may be wrong.
const (
	// MayHaveRun means that the outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request had no effect and will never have one.
	NotRun
	// Ran means that the request was executed and its outcome is known.
	Ran
)

// String returns the wording that callers see in the DETAIL field.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// SQLSTATE codes that the proxy itself reports.
const (
	CodeProtocolViolation     = "08P01"
	CodeConnectionFailure     = "08006"
	CodeFeatureNotSupported   = "0A000"
	CodeInvalidPassword       = "28P01"
	CodeInvalidAuthorization  = "28000"
	CodeUnknownDatabase       = "3D000"
	CodeInvalidParameter      = "22023"
	CodeReadOnlyTransaction   = "25006"
	CodeInFailedTransaction   = "25P02"
	CodeSerializationFailure  = "40001"
	CodeCompletionUnknown     = "40003"
	CodeTooManyConnections    = "53300"
	CodeConfigurationLimit    = "53400"
	CodeObjectNotInState      = "55000"
	CodeQueryCanceled         = "57014"
	CodeAdminShutdown         = "57P01"
	CodeCannotConnectNow      = "57P03"
	CodeInternal              = "XX000"
	CodeDuplicatePreparedStmt = "42P05"
	CodeUndefinedPreparedStmt = "26000"
)

// Error is a failure with its verdict, as reported to a caller.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Code is the SQLSTATE, five characters.
	Code string
	// Message is the primary, human-readable text.
	Message string
	// RetryAfter is the delay after which a retry may succeed; 0 means unknown.
	RetryAfter time.Duration
	// Elsewhere is true if another instance may serve the request immediately, because
	// this one cannot reach enough of the system.
	Elsewhere bool
	// Cause is the underlying error, for logs; it is never sent to callers.
	Cause error
}

// New returns an Error with a formatted message.
func New(v Verdict, code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with the delay after which to retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithElsewhere returns a copy of e that directs the caller to another instance.
func (e *Error) WithElsewhere(retryAfter time.Duration) *Error {
	c := *e
	c.Elsewhere, c.RetryAfter = true, retryAfter
	return &c
}

// WithCause returns a copy of e that wraps err.
func (e *Error) WithCause(err error) *Error {
	c := *e
	c.Cause = err
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (SQLSTATE %s, %s)", e.Message, e.Code, e.Verdict)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Detail returns the text of the DETAIL field, for example "verdict: not run".
func (e *Error) Detail() string { return "verdict: " + e.Verdict.String() }

// Hint returns the text of the HINT field; it is empty without RetryAfter.
func (e *Error) Hint() string {
	if e.RetryAfter <= 0 {
		return ""
	}
	return fmt.Sprintf("retry after %d ms", e.RetryAfter.Round(time.Millisecond).Milliseconds())
}

// Of returns the verdict that err carries, or MayHaveRun if it carries none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns err as an *Error. Any other error becomes the cause of an internal one
// with the given verdict.
func As(err error, otherwise Verdict) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(otherwise, CodeInternal, "internal error").WithCause(err)
}

// Further SQLSTATE codes, reported by endpoints.
const (
	// CodeBehind means that the endpoint's log has not reached the requested position.
	CodeBehind = "55R01"
	// CodeMisrouted means that the endpoint is not the intended one.
	CodeMisrouted = "08R01"
	// CodeStatementFailed means that the endpoint ran the statement and it failed.
	CodeStatementFailed = "XXR01"
	// CodeSyntaxError means that the statement cannot be parsed or is not allowed in this
	// place.
	CodeSyntaxError = "42601"
	// CodeTooLarge means that the message exceeds the size limit.
	CodeTooLarge = "54000"
)
