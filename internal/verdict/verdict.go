// Package verdict says what became of a request: whether it ran at a database,
// may have run, or did not run. Every error that reaches a caller carries a
// verdict, and only a request with the verdict NotRun is repeated freely.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict is what is known about the execution of a request.
type Verdict uint8

// The verdicts, from the least to the most that is known to have happened.
// MayHaveRun is the zero value, so that an unset verdict never claims too much.
const (
	// MayHaveRun means that the outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request had no effect and never will have.
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

// Error is a failure with its verdict. It is what the proxy tells a caller.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Code is the SQLSTATE, five characters.
	Code string
	// Message is the primary text for a person.
	Message string
	// RetryAfter is when a repeated request may succeed; 0 means unknown.
	RetryAfter time.Duration
	// Elsewhere is true when another instance may serve the request at once: this one
	// reaches too little.
	Elsewhere bool
	// Cause is the underlying error, for logs; callers never see it.
	Cause error
}

// New returns an Error with a formatted message.
func New(v Verdict, code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that tells when to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithElsewhere returns a copy of e that sends the caller to another instance.
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

// Detail is the text of the DETAIL field, for example "verdict: not run".
func (e *Error) Detail() string { return "verdict: " + e.Verdict.String() }

// Hint is the text of the HINT field; it is empty without RetryAfter.
func (e *Error) Hint() string {
	if e.RetryAfter <= 0 {
		return ""
	}
	return fmt.Sprintf("retry after %d ms", e.RetryAfter.Round(time.Millisecond).Milliseconds())
}

// Of returns the verdict that err carries; an error without one means MayHaveRun.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// As returns err as an *Error; any other error becomes an internal one with the
// verdict given.
func As(err error, otherwise Verdict) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(otherwise, CodeInternal, "internal error").WithCause(err)
}

// Codes that endpoints report beside those above.
const (
	// CodeBehind: the endpoint's log lacks the position asked for.
	CodeBehind = "55R01"
	// CodeMisrouted: the endpoint is not the one that was meant.
	CodeMisrouted = "08R01"
	// CodeStatementFailed: the endpoint ran the statement, and it failed.
	CodeStatementFailed = "XXR01"
	// CodeSyntaxError: the statement cannot be read or does not fit here.
	CodeSyntaxError = "42601"
	// CodeTooLarge: the message is beyond the bound.
	CodeTooLarge = "54000"
)
