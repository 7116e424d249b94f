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

// maxInlineWrite is the largest request that is written before its answers are
// read. Larger ones are written beside the reading, so that neither side waits
// for the other to read.
const maxInlineWrite = 32 * 1024 // bytes

// Send writes encoded messages that ask for the given number of ReadyForQuery
// answers. Started is false when the connection was already gone, so that the
// server has surely not seen the request.
func (c *Conn) Send(encoded []byte, answers int) (started bool, err error) {
	if c.failure != nil {
		return false, trace.Wrap(c.failure)
	}
	if err := c.awaitWriter(); err != nil {
		return true, c.fail(err)
	}
	if c.pending == 0 && !c.unsynced && c.hasUnsolicitedInput() {
		return false, c.fail(trace.ConnectionProblem(nil, "the endpoint has closed the connection"))
	}
	c.pending += answers
	c.unsynced = answers == 0
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

// awaitWriter waits for a write that goes on beside the reading.
func (c *Conn) awaitWriter() error {
	if c.writeDone == nil {
		return nil
	}
	err := <-c.writeDone
	c.writeDone = nil
	return err
}

// SetDeadline bounds reading and writing; the zero time removes the bound.
func (c *Conn) SetDeadline(t time.Time) { _ = c.net.SetDeadline(t) }

// Receive returns the next message, which is valid until the next call. The
// group's parameters are kept and not returned. An error means that the
// connection is closed.
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

// completeResponse notes the end of one answer.
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

// hasUnsolicitedInput tells whether the server has closed an idle connection or sent something
// unasked, such as the notice that it stops.
func (c *Conn) hasUnsolicitedInput() bool {
	if c.wire.ReadBufferLen() > 0 {
		return true
	}
	return c.peek != nil && c.peek.readable()
}

// peeker looks whether a socket has something to read, without waiting.
type peeker struct {
	raw      syscall.RawConn
	recv     func(fd uintptr) bool // made once, to spare allocations
	hasInput bool
	buffer   [1]byte
}

// newPeeker returns nil for a transport that is no socket.
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

// readable tells whether data or the end has come.
func (p *peeker) readable() bool {
	p.hasInput = false
	err := p.raw.Read(p.recv)
	return p.hasInput || err != nil
}

// Stream writes more of a request that was begun by Send, such as COPY data.
func (c *Conn) Stream(encoded []byte) error {
	if c.failure != nil {
		return trace.Wrap(c.failure)
	}
	if _, err := c.net.Write(encoded); err != nil {
		return c.fail(trace.ConvertSystemError(err))
	}
	return nil
}
