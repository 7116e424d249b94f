package endpoint

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
)

// query encodes a simple query.
func query(sql string) []byte {
	encoded, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return encoded
}

// Reset makes the connection clean within the bound, or fails: it waits for
// cancel requests under way, reads unread answers, ends an open transaction and
// resets the session at the server.
func (c *Conn) Reset() error {
	if c.broken != nil {
		return trace.Wrap(c.broken)
	}
	c.cancelling.Wait()
	if c.cancelled.Swap(false) {
		// The round trip of the reset takes up a cancellation that comes late.
		c.tainted = true
	}
	if c.IsClean() {
		return nil
	}
	c.SetDeadline(time.Now().Add(c.cfg.ResetTimeout))
	defer c.SetDeadline(time.Time{})
	if c.unsynced {
		encoded, _ := (&pgproto3.Sync{}).Encode(nil)
		if _, err := c.Send(encoded, 1); err != nil {
			return trace.Wrap(err)
		}
	}
	if err := c.drain(); err != nil {
		return trace.Wrap(err)
	}
	if c.status != StatusIdle {
		if err := c.run("ROLLBACK"); err != nil {
			return trace.Wrap(err)
		}
	}
	if c.tainted {
		return trace.Wrap(c.discard())
	}
	return nil
}

// drain reads the unread answers. A COPY in progress is never drained: the
// server waits for data that will not come.
func (c *Conn) drain() error {
	for c.pending > 0 {
		message, err := c.Receive()
		if err != nil {
			return trace.Wrap(err)
		}
		switch message.(type) {
		case *pgproto3.CopyInResponse, *pgproto3.CopyBothResponse:
			return c.fail(trace.BadParameter("abandoned while copying in"))
		}
	}
	return trace.Wrap(c.joinWriter())
}

func (c *Conn) discard() error {
	if err := c.run("DISCARD ALL"); err != nil {
		return trace.Wrap(err)
	}
	c.tainted = false
	c.settings = ""
	c.prepared.unnamed = ""
	clear(c.prepared.names)
	return nil
}

// run executes a command of the proxy's own. An error response fails it.
func (c *Conn) run(sql string) error {
	if _, err := c.Send(query(sql), 1); err != nil {
		return trace.Wrap(err)
	}
	var refused error
	for c.pending > 0 {
		message, err := c.Receive()
		if err != nil {
			return trace.Wrap(err)
		}
		if m, ok := message.(*pgproto3.ErrorResponse); ok {
			refused = trace.BadParameter("%s: %s", m.Code, m.Message)
		}
	}
	return refused
}

// Probe asks the server for a sign of life within the bound; a failure closes the
// connection.
func (c *Conn) Probe(bound time.Duration) error {
	c.SetDeadline(time.Now().Add(bound))
	defer c.SetDeadline(time.Time{})
	return trace.Wrap(c.run(""))
}

// ApplySettings makes the session at the server have exactly the given settings, a
// string of SET commands.
func (c *Conn) ApplySettings(settings string) error {
	if c.settings == settings {
		return nil
	}
	sql := settings
	if c.settings != "" {
		sql = "RESET ALL;" + settings
	}
	if err := c.run(sql); err != nil {
		c.tainted = true
		return trace.Wrap(err)
	}
	c.settings = settings
	return nil
}

// Settings are the SET commands in force, for choosing a connection.
func (c *Conn) Settings() string { return c.settings }

// RecordSettings records settings that the caller's own statement has put in force.
func (c *Conn) RecordSettings(settings string) { c.settings = settings }

// HoldForCancel keeps the connection from serving anybody else until the Cancel
// that must follow has returned. Restore must not have begun.
func (c *Conn) HoldForCancel() {
	c.cancelling.Add(1)
	c.cancelled.Store(true)
}

// Cancel asks the server, over a connection of its own, to cancel what runs on
// this one.
func (c *Conn) Cancel(ctx context.Context) error {
	defer c.cancelling.Done()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ConnectTimeout)
	defer cancel()
	transport, err := c.cfg.Dial(ctx, c.cfg.Endpoint.GetAddress())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer transport.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = transport.SetDeadline(deadline)
	}
	request, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}).Encode(nil)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := transport.Write(request); err != nil {
		return trace.ConvertSystemError(err)
	}
	// The server closes the connection once it has taken the request.
	_, _ = transport.Read(make([]byte, 1))
	return nil
}
