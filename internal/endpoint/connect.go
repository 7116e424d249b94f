package endpoint

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Connect opens a connection and logs in with the credentials of the service.
// Every error is a NotRun verdict.
func Connect(ctx context.Context, cfg Config) (*Conn, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(ctx, cfg.ConnectTimeout)
	defer cancel()
	transport, err := cfg.Dial(ctx, cfg.Endpoint.GetAddress())
	if err != nil {
		return nil, connectError(err)
	}
	c := &Conn{
		cfg: cfg, net: transport, wire: pgproto3.NewFrontend(transport, transport), peek: newPeeker(transport),
		prepared: prepared{names: make(map[string]string)}, parameters: make(map[string]string),
	}
	stop := context.AfterFunc(ctx, c.Close)
	err = c.startup()
	var refusal *verdict.Error
	if !stop() && !errors.As(err, &refusal) {
		err = ctx.Err() // the transport was closed for it
	}
	if err != nil {
		c.Close()
		return nil, connectError(err)
	}
	c.usedAt = time.Now()
	return c, nil
}

func connectError(err error) error {
	var refusal *verdict.Error
	if errors.As(err, &refusal) {
		return refusal
	}
	return verdict.New(verdict.NotRun, verdict.CodeConnectionFailure, "no connection to the endpoint").WithCause(err)
}

// startup sends the startup message and reads until ReadyForQuery.
func (c *Conn) startup() error {
	database := c.cfg.Service.GetDatabase()
	if database == "" {
		database = c.cfg.Service.GetName()
	}
	c.wire.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": c.cfg.Service.GetUsername(), "database": database},
	})
	if err := c.wire.Flush(); err != nil {
		return trace.Wrap(err)
	}
	for {
		message, err := c.wire.Receive()
		if err != nil {
			return trace.Wrap(err)
		}
		ready, err := c.handleStartupMessage(message)
		if ready || err != nil {
			return err
		}
	}
}

// handleStartupMessage handles a message that the server sends during startup. It
// reports whether the server is ready for queries.
func (c *Conn) handleStartupMessage(message pgproto3.BackendMessage) (ready bool, err error) {
	switch m := message.(type) {
	case *pgproto3.AuthenticationOk, *pgproto3.NoticeResponse:
	case *pgproto3.AuthenticationCleartextPassword:
		c.wire.Send(&pgproto3.PasswordMessage{Password: c.cfg.Service.GetPassword()})
		return false, trace.Wrap(c.wire.Flush())
	case *pgproto3.ParameterStatus:
		c.recordParameter(m)
	case *pgproto3.BackendKeyData:
		c.pid, c.secret = m.ProcessID, m.SecretKey
	case *pgproto3.ReadyForQuery:
		c.status = m.TxStatus
		return true, nil
	case *pgproto3.ErrorResponse:
		return false, verdict.New(verdict.NotRun, m.Code, "the endpoint refused a connection: %s", m.Message)
	default:
		return false, trace.BadParameter("unexpected startup message %T", message)
	}
	return false, nil
}
