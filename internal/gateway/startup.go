package gateway

import (
	"crypto/tls"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/session"
	"github.com/hornbeamlock/hornbeamlock/internal/statement"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// errSessionEnded means that a session ended and that nothing more is to be reported to
// the caller.
var errSessionEnded = errors.New("gateway: connection ended")

// startup handles a connection from its first byte to the first ReadyForQuery.
func (c *caller) startup() error {
	_ = c.conn.SetDeadline(time.Now().Add(c.server.cfg.StartupTimeout))
	message, err := c.startupMessage()
	if err != nil {
		return err
	}
	if c.server.isDraining() {
		return verdict.New(verdict.NotRun, verdict.CodeAdminShutdown, "this instance takes no new callers")
	}
	identity, err := c.authenticate(message.Parameters["user"], message.Parameters["database"])
	if err != nil {
		return err
	}
	if err := c.applyStartupParameters(message.Parameters); err != nil {
		return err
	}
	c.identity.Store(identity)
	c.wire.SetMaxBodyLen(c.server.cfg.MaxRequestBytes)
	c.completeLogin()
	_ = c.conn.SetDeadline(time.Time{})
	return c.responses.flush()
}

// startupMessage returns the startup message. Before it, requests for encryption are
// answered; a cancel request is handled and ends the connection.
func (c *caller) startupMessage() (*pgproto3.StartupMessage, error) {
	for {
		message, err := c.wire.ReceiveStartupMessage()
		if err != nil {
			return nil, errSessionEnded
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.SSLRequest:
			if err := c.startTLS(); err != nil {
				return nil, errSessionEnded
			}
		case *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, errSessionEnded
			}
		case *pgproto3.CancelRequest:
			c.server.cancel(m.ProcessID, m.SecretKey)
			return nil, errSessionEnded
		default:
			return nil, verdict.New(verdict.NotRun, verdict.CodeProtocolViolation, "unexpected startup message")
		}
	}
}

// startTLS responds to an SSL request. Bytes received before the handshake must not be
// processed as encrypted ones: those already buffered are discarded, others make the
// handshake fail.
func (c *caller) startTLS() error {
	if c.server.cfg.TLS == nil || c.encrypted {
		_, err := c.conn.Write([]byte{'N'})
		return trace.Wrap(err)
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return trace.Wrap(err)
	}
	secure := tls.Server(c.conn, c.server.cfg.TLS)
	if err := secure.Handshake(); err != nil {
		return trace.Wrap(err)
	}
	c.encrypted = true
	c.setTransport(secure)
	return nil
}

// applyStartupParameters applies the settings of the startup message. As at the server, the options come
// first, so that a parameter of its own prevails.
func (c *caller) applyStartupParameters(parameters map[string]string) error {
	if err := c.applyOptions(parameters[parameterOptions]); err != nil {
		return err
	}
	for name, value := range parameters {
		switch name {
		case "user", "database", "application_name", parameterOptions:
			continue
		}
		if err := c.applyStartupSetting(statement.LowerASCII(name), value); err != nil {
			return err
		}
	}
	return nil
}

// parameterOptions is the startup parameter that holds options of the server's command line.
const parameterOptions = "options"

// applyOptions parses "-c name=value" and "--name=value".
func (c *caller) applyOptions(options string) error {
	fields := splitOptions(options)
	for i := 0; i < len(fields); i++ {
		assignment, isLong := strings.CutPrefix(fields[i], "--")
		if !isLong {
			short, isShort := strings.CutPrefix(fields[i], "-c")
			if !isShort {
				return invalidParameter("options: %q is not supported", fields[i])
			}
			if assignment = short; short == "" && i+1 < len(fields) {
				i++
				assignment = fields[i]
			}
		}
		name, value, ok := strings.Cut(assignment, "=")
		if !ok {
			return invalidParameter("options: %q lacks a value", assignment)
		}
		if err := c.applyStartupSetting(statement.LowerASCII(name), value); err != nil {
			return err
		}
	}
	return nil
}

// splitOptions splits at white space; a backslash escapes the next byte.
func splitOptions(options string) []string {
	var fields []string
	var field strings.Builder
	inField := false
	for i := 0; i < len(options); i++ {
		isSpace := strings.IndexByte(whiteSpace, options[i]) >= 0
		if isSpace && inField {
			fields = append(fields, field.String())
			field.Reset()
		}
		if inField = !isSpace; isSpace {
			continue
		}
		if options[i] == '\\' {
			i++
		}
		if i < len(options) {
			field.WriteByte(options[i])
		}
	}
	if inField {
		fields = append(fields, field.String())
	}
	return fields
}

func (c *caller) applyStartupSetting(name, value string) error {
	switch {
	case strings.HasPrefix(name, statement.ProxySettingPrefix):
		if err := c.state.Set(name, value, time.Now()); err != nil {
			return invalidParameter("%s", trace.UserMessage(err))
		}
	case name == "client_encoding":
		switch strings.ToLower(strings.ReplaceAll(value, "-", "")) {
		case "utf8", "unicode", "'utf8'":
		default:
			return invalidParameter("client_encoding: only UTF8 is supported")
		}
	case name == listSetting:
		literals, ok := listLiterals(value)
		if !ok {
			return invalidParameter("%s: malformed list", name)
		}
		c.state.SetEndpointSetting(name, literals, false)
	case statement.IsReplayable(name):
		c.state.SetEndpointSetting(name, quoteLiteral(value), false)
	case strings.HasPrefix(name, "_pq_."):
		// Protocol extensions are optional; the server may ignore them.
	default:
		return verdict.New(verdict.NotRun, verdict.CodeFeatureNotSupported, "the startup parameter %s is not supported", name)
	}
	return nil
}

func invalidParameter(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, format, args...)
}

func quoteLiteral(value string) string { return "'" + strings.ReplaceAll(value, "'", "''") + "'" }

// completeLogin sends the messages that complete a login.
func (c *caller) completeLogin() {
	c.responses.add(&pgproto3.AuthenticationOk{})
	for _, p := range [...][2]string{
		{"server_version", "17.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"in_hot_standby", "off"},
		{"default_transaction_read_only", "off"},
	} {
		c.responses.add(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.reportFloor()
	c.responses.add(&pgproto3.BackendKeyData{ProcessID: c.id, SecretKey: c.secret})
	c.addReadyForQuery()
}

// reportFloor reports the floor to the caller if it has changed since the last report.
func (c *caller) reportFloor() {
	token := c.state.Floor.Token()
	if token == c.reportedFloor {
		return
	}
	c.reportedFloor = token
	c.responses.add(&pgproto3.ParameterStatus{Name: session.SettingFloor, Value: token})
}
