package gateway

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// spillBytes is the size at which buffered answers are sent.
	spillBytes = 16 * 1024
	// keepBytes is the largest buffer that an idle caller keeps.
	keepBytes = 4 * 1024
)

// noHold means that nothing is held back.
const noHold = -1

// answers buffers the messages to a caller. Messages can be taken back until
// they are sent, and those from a mark on are held until it is lifted.
type answers struct {
	conn    net.Conn
	timeout time.Duration
	buffer  []byte
	// sent is true once bytes have left since begin.
	sent bool
	held int // offset in buffer, or noHold
	// last is the offset of the latest mark.
	last int
	err  error
}

// begin starts a new answer, of which nothing has left.
func (a *answers) begin() {
	a.sent = false
	a.held = noHold
}

// add appends a message.
func (a *answers) add(message pgproto3.BackendMessage) {
	encoded, err := message.Encode(a.buffer)
	if err != nil {
		a.err = trace.Wrap(err)
		return
	}
	a.buffer = encoded
}

// hold keeps back everything from here on, or from an earlier mark.
func (a *answers) hold() {
	a.last = len(a.buffer)
	if a.held == noHold {
		a.held = a.last
	}
}

// lift ends the holding back.
func (a *answers) lift() { a.held = noHold }

// takeBackHeld drops what is held back.
func (a *answers) takeBackHeld() {
	if a.held != noHold {
		a.buffer = a.buffer[:a.held]
	}
	a.held = noHold
}

// takeBack drops all that was added since begin, unless bytes have left.
func (a *answers) takeBack() {
	a.buffer = a.buffer[:0]
	a.held = noHold
}

// spill sends the buffer once it is large, but for what is held back. When the
// held part itself grows large, only what follows the latest mark is held on.
func (a *answers) spill() error {
	if len(a.buffer) < spillBytes {
		return a.err
	}
	if a.held != noHold && len(a.buffer)-a.held > spillBytes {
		a.held = a.last
	}
	if a.held == noHold || len(a.buffer)-a.held > spillBytes {
		a.held = noHold
		return a.flush()
	}
	if a.held == 0 {
		return a.err
	}
	err := a.write(a.buffer[:a.held])
	a.buffer = append(a.buffer[:0], a.buffer[a.held:]...)
	a.last -= a.held
	a.held = 0
	return err
}

// flush sends everything.
func (a *answers) flush() error {
	if len(a.buffer) == 0 {
		return a.err
	}
	err := a.write(a.buffer)
	a.held = noHold
	a.buffer = a.buffer[:0]
	return err
}

func (a *answers) write(encoded []byte) error {
	if a.err != nil {
		return a.err
	}
	a.sent = true
	_ = a.conn.SetWriteDeadline(time.Now().Add(a.timeout))
	if _, err := a.conn.Write(encoded); err != nil {
		a.err = trace.ConvertSystemError(err)
	}
	return a.err
}

// shrink gives a large buffer back while the caller is idle.
func (a *answers) shrink() {
	if len(a.buffer) == 0 && cap(a.buffer) > keepBytes {
		a.buffer = nil
	}
}
