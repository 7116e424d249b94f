package configuration

import (
	"errors"
	"fmt"
	"strings"
)

// RefusalKind is the reason why a change was not accepted.
type RefusalKind uint8

// The kinds of refusals.
const (
	// RefusedUnavailable means that instances or the table cannot be reached. The
	// change has no effect, now or later.
	RefusedUnavailable RefusalKind = iota
	// RefusedInvalid means that the change itself is invalid.
	RefusedInvalid
	// RefusedConflict means that the change is based on another version than the one
	// in force.
	RefusedConflict
	// RefusedBusy means that another change is in progress.
	RefusedBusy
	// OutcomeUnknown means that the change may have been accepted. Repeating it
	// with the same identifier shows whether it was.
	OutcomeUnknown
)

// Refusal is the error of a change that is not known to be accepted.
type Refusal struct {
	Kind    RefusalKind
	Message string
	// Version is the version in force; set for RefusedConflict.
	Version uint64
	// Domains are the failure domains that could still serve by the older version;
	// may be set for RefusedUnavailable.
	Domains []string
	Cause   error
}

// Error implements error.
func (r *Refusal) Error() string {
	text := r.Message
	if len(r.Domains) > 0 {
		text += ": " + strings.Join(r.Domains, ", ")
	}
	if r.Cause != nil {
		text += ": " + r.Cause.Error()
	}
	if r.Kind == OutcomeUnknown {
		return text + "; the change may have been accepted: repeat it with the same identifier"
	}
	return text + "; nothing changed"
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// AsRefusal returns the Refusal in err's chain, or nil.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}

func refuse(kind RefusalKind, cause error, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Message: fmt.Sprintf(format, args...), Cause: cause}
}

func (r *Refusal) isInvalid() bool { return r != nil && r.Kind == RefusedInvalid }
