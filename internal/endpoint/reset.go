package endpoint

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
)

// query encodes a simple query.
func query(sql string) []byte {
	encoded, _ := (&pgproto3.Query{String: sql}).Encode(nil)
	return encoded
}

// Reset makes the connection clean within ResetTimeout, or fails: it waits for
// cancel requests in flight, reads unread responses, rolls back an open transaction
// and resets the server's session state.
func (c *Conn) Reset() error {
	if c.failure != nil {
		return trace.Wrap(c.failure)
	}
	c.cancelling.Wait()
	if c.cancelled.Swap(false) {
		// The round trip of the reset absorbs a late cancellation, which could hit the
		// next session's statement otherwise.
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
		if err := c.exec("ROLLBACK", "ROLLBACK"); err != nil {
			return trace.Wrap(err)
		}
	}
	if c.tainted {
		return trace.Wrap(c.discardSession())
	}
	return nil
}

// drain reads the unread responses. It closes the connection if the server waits for
// the data of a COPY, as that will not arrive.
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
	return trace.Wrap(c.awaitWriter())
}

func (c *Conn) discardSession() error {
	if err := c.exec("DISCARD ALL", "DISCARD ALL"); err != nil {
		return trace.Wrap(err)
	}
	c.tainted = false
	c.settings = ""
	c.prepared.unnamed = ""
	clear(c.prepared.names)
	return nil
}

// errOtherAnswer means that the server has answered something else than the command.
var errOtherAnswer = errors.New("endpoint: the server does not answer the command")

// exec executes a command of the proxy itself. It returns an error response as an error. The
// command is done only if the first command tag is tags[0] and all are among tags: otherwise
// the server has answered something else, and its answer to the command would be taken for that
// of the next statement, so that the connection is closed. The tag of an empty query is empty.
func (c *Conn) exec(sql string, tags ...string) error {
	if _, err := c.Send(query(sql), 1); err != nil {
		return trace.Wrap(err)
	}
	var refused error
	var completed []string
	for c.pending > 0 {
		message, err := c.Receive()
		if err != nil {
			return trace.Wrap(err)
		}
		switch m := message.(type) {
		case *pgproto3.ErrorResponse:
			refused = trace.BadParameter("%s: %s", m.Code, m.Message)
		case *pgproto3.CommandComplete:
			completed = append(completed, string(m.CommandTag))
		case *pgproto3.EmptyQueryResponse:
			completed = append(completed, "")
		}
	}
	if refused != nil {
		return refused
	}
	isOther := func(tag string) bool { return !slices.Contains(tags, tag) }
	if len(completed) == 0 || completed[0] != tags[0] || slices.ContainsFunc(completed, isOther) {
		return c.fail(errOtherAnswer)
	}
	return nil
}

// Probe checks that the server responds to an empty query within the timeout. If it
// doesn't, the connection is closed.
func (c *Conn) Probe(timeout time.Duration) error {
	c.SetDeadline(time.Now().Add(timeout))
	defer c.SetDeadline(time.Time{})
	return trace.Wrap(c.exec("", ""))
}

// ApplySettings replaces the settings of the server's session by the given ones, a
// string of SET commands.
func (c *Conn) ApplySettings(settings string) error {
	if c.settings == settings {
		return nil
	}
	sql, tags := settings, []string{"SET"}
	if c.settings != "" {
		sql, tags = "RESET ALL;"+settings, []string{"RESET", "SET"}
	}
	if err := c.exec(sql, tags...); err != nil {
		c.tainted = true
		return trace.Wrap(err)
	}
	c.settings = settings
	return nil
}

// Settings returns the SET commands in force, for choosing a connection.
func (c *Conn) Settings() string { return c.settings }

// RecordSettings records settings that were put in force by the caller's own statement.
func (c *Conn) RecordSettings(settings string) { c.settings = settings }

// HoldForCancel reserves the connection until the Cancel that must follow has
// returned: until then Reset doesn't finish and no other session is served. It must
// be called before Reset.
func (c *Conn) HoldForCancel() {
	c.cancelling.Add(1)
	c.cancelled.Store(true)
}

// Cancel requests, over a separate transport, that the server cancel the statement
// running on this connection. HoldForCancel must have been called before.
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
	// The server closes the transport once it has processed the request.
	_, _ = transport.Read(make([]byte, 1))
	return nil
}
