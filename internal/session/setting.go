package session

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// The proxy's own settings, given as startup parameters, in options or by SET.
const (
	// SettingFloor is the position that reads must have reached, "term/offset".
	SettingFloor = "hornbeamlock.floor"
	// SettingSession is a name for the session, used only in traces.
	SettingSession = "hornbeamlock.session"
	// SettingMaxStaleness limits the staleness of reads, for example "500ms".
	SettingMaxStaleness = "hornbeamlock.max_staleness"
	// SettingIdempotent declares that statements may be repeated, "on" or "off".
	SettingIdempotent = "hornbeamlock.idempotent"
	// SettingTimeout limits one statement, waits included, for example "10s".
	SettingTimeout = "hornbeamlock.timeout"
	// SettingTraceparent is a W3C trace context.
	SettingTraceparent = "hornbeamlock.traceparent"
)

// Limits of the settings.
const (
	MaxTimeout     = time.Hour
	MaxStaleness   = 24 * time.Hour
	maxSessionName = 128 // bytes
)

// Options holds a session's proxy settings.
type Options struct {
	Session string
	// MaxStaleness limits the staleness of reads if Bounded is true; 0 to 24 h.
	MaxStaleness time.Duration
	Bounded      bool
	Idempotent   bool
	// Timeout limits one statement; 0 means the instance's default.
	Timeout     time.Duration
	Traceparent string
}

var traceparentPattern = regexp.MustCompile(`^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$`)

// Set sets one proxy setting. Errors are BadParameter and name the setting.
func (s *State) Set(name, value string, now time.Time) error {
	switch name {
	case SettingFloor:
		return s.setFloor(value, now)
	case SettingSession:
		if len(value) > maxSessionName {
			return trace.BadParameter("%s: longer than %d bytes", name, maxSessionName)
		}
		s.Options.Session = value
	case SettingMaxStaleness:
		age, err := parseDuration(name, value, 0, MaxStaleness)
		if err != nil {
			return trace.Wrap(err)
		}
		s.Options.MaxStaleness, s.Options.Bounded = age, true
	case SettingIdempotent:
		on, err := parseBool(name, value)
		if err != nil {
			return trace.Wrap(err)
		}
		s.Options.Idempotent = on
	case SettingTimeout:
		timeout, err := parseDuration(name, value, time.Millisecond, MaxTimeout)
		if err != nil {
			return trace.Wrap(err)
		}
		s.Options.Timeout = timeout
	case SettingTraceparent:
		if !traceparentPattern.MatchString(value) {
			return trace.BadParameter("%s: not a W3C trace context", name)
		}
		s.Options.Traceparent = value
	default:
		return trace.BadParameter("%s: no such setting", name)
	}
	return nil
}

func (s *State) setFloor(value string, now time.Time) error {
	p, err := ParseToken(value)
	if err != nil {
		return trace.Wrap(err)
	}
	s.Floor.RaiseWritten(p, now)
	return nil
}

// Reset resets one proxy setting to its default.
func (s *State) Reset(name string) error {
	switch name {
	case SettingFloor:
		s.Floor.Forget()
	case SettingSession:
		s.Options.Session = ""
	case SettingMaxStaleness:
		s.Options.MaxStaleness, s.Options.Bounded = 0, false
	case SettingIdempotent:
		s.Options.Idempotent = false
	case SettingTimeout:
		s.Options.Timeout = 0
	case SettingTraceparent:
		s.Options.Traceparent = ""
	default:
		return trace.BadParameter("%s: no such setting", name)
	}
	return nil
}

// Show returns the value of one proxy setting as text.
func (s *State) Show(name string) (string, error) {
	switch name {
	case SettingFloor:
		return s.Floor.Token(), nil
	case SettingSession:
		return s.Options.Session, nil
	case SettingMaxStaleness:
		if !s.Options.Bounded {
			return "", nil
		}
		return s.Options.MaxStaleness.String(), nil
	case SettingIdempotent:
		if s.Options.Idempotent {
			return "on", nil
		}
		return "off", nil
	case SettingTimeout:
		return s.Options.Timeout.String(), nil
	case SettingTraceparent:
		return s.Options.Traceparent, nil
	default:
		return "", trace.BadParameter("%s: no such setting", name)
	}
}

func parseBool(name, value string) (bool, error) {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1":
		return true, nil
	case "off", "false", "no", "0":
		return false, nil
	default:
		return false, trace.BadParameter("%s: %q is neither on nor off", name, value)
	}
}

// parseDuration parses a Go duration or a bare number of milliseconds.
func parseDuration(name, value string, lower, upper time.Duration) (time.Duration, error) {
	var d time.Duration
	if ms, err := strconv.ParseInt(value, 10, 32); err == nil {
		d = time.Duration(ms) * time.Millisecond
	} else if d, err = time.ParseDuration(value); err != nil {
		return 0, trace.BadParameter("%s: %q is no duration", name, value)
	}
	if d < lower || d > upper {
		return 0, trace.BadParameter("%s: %s is not within %s and %s", name, d, lower, upper)
	}
	return d, nil
}
