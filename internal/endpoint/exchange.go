package endpoint

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sys/unix"
)

// maxInlineWrite is the largest request that is written before its responses are
// read. Larger ones are written concurrently with reading, so that neither side blocks
// on a write until the other reads.
const maxInlineWrite = 32 * 1024 // bytes

// Send writes encoded messages that request the given number of responses, each ended
// by ReadyForQuery. If started is false, nothing was written because the connection had
// failed or been closed, so that the server cannot have seen the request.
func (c *Conn) Send(encoded []byte, responses int) (started bool, err error) {
	if c.failure != nil {
		return false, trace.Wrap(c.failure)
	}
	if err := c.awaitWriter(); err != nil {
		return true, c.fail(err)
	}
	if c.pending == 0 && !c.unsynced && c.hasUnsolicitedInput() {
		return false, c.fail(trace.ConnectionProblem(nil, "the endpoint has closed the connection"))
	}
	c.pending += responses
	c.unsynced = responses == 0
	if len(encoded) > maxInlineWrite {
		c.writeDone = make(chan error, 1)
		go func(done chan<- error) {
			_, err := c.net.Write(encoded)
			done <- err
		}(c.writeDone)
		return true, nil
	}
	n, err := c.net.Write(encoded)
	if err != nil {
		return n > 0, c.fail(trace.ConvertSystemError(err))
	}
	return true, nil
}

// awaitWriter waits for a concurrent write to finish.
func (c *Conn) awaitWriter() error {
	if c.writeDone == nil {
		return nil
	}
	err := <-c.writeDone
	c.writeDone = nil
	return err
}

// SetDeadline sets the deadline of reads and writes; the zero time removes it.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Receive returns the next message, which is valid until the next call. The group's
// parameters are recorded and not returned. After an error the connection is closed.
func (c *Conn) Receive() (pgproto3.BackendMessage, error) {
	for {
		message, err := c.wire.Receive()
		if err != nil {
			return nil, c.fail(err)
		}
		switch m := message.(type) {
		case *pgproto3.ParameterStatus:
			if c.recordParameter(m) {
				continue
			}
		case *pgproto3.ReadyForQuery:
			c.completeResponse(m)
		}
		return message, nil
	}
}

// completeResponse records the end of one response.
func (c *Conn) completeResponse(m *pgproto3.ReadyForQuery) {
	c.status = m.TxStatus
	c.usedAt = time.Now()
	if c.pending--; c.pending > 0 {
		return
	}
	c.pending = 0
	if err := c.awaitWriter(); err != nil {
		_ = c.fail(err)
	}
}

// hasUnsolicitedInput reports whether the server has closed an idle connection or sent
// an unsolicited message, such as the notice of its shutdown.
func (c *Conn) hasUnsolicitedInput() bool {
	if c.wire.ReadBufferLen() > 0 {
		return true
	}
	return c.peek != nil && c.peek.readable()
}

// peeker checks whether a socket has input, without blocking or consuming it.
type peeker struct {
	raw      syscall.RawConn
	recv     func(fd uintptr) bool // created once, to avoid allocations
	hasInput bool
	buffer   [1]byte
}

// newPeeker returns a peeker for the transport; nil if it isn't a socket.
func newPeeker(transport net.Conn) *peeker {
	socket, ok := transport.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	p := &peeker{raw: raw}
	p.recv = func(fd uintptr) bool {
		n, _, err := unix.Recvfrom(int(fd), p.buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		p.hasInput = n > 0 || !errors.Is(err, unix.EAGAIN)
		return true
	}
	return p
}

// readable reports whether there is data, an end of file or an error to read.
func (p *peeker) readable() bool {
	p.hasInput = false
	err := p.raw.Read(p.recv)
	return p.hasInput || err != nil
}

// Stream writes more data of a request that was started by Send, such as COPY data.
func (c *Conn) Stream(encoded []byte) error {
	if c.failure != nil {
		return trace.Wrap(c.failure)
	}
	if _, err := c.net.Write(encoded); err != nil {
		return c.fail(trace.ConvertSystemError(err))
	}
	return nil
}
