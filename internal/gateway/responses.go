package gateway

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// flushThresholdBytes is the size at which buffered answers are sent.
	flushThresholdBytes = 16 * 1024
	// maxIdleBufferBytes is the largest buffer that an idle caller keeps.
	maxIdleBufferBytes = 4 * 1024
)

// nothingHeld means that nothing is held back.
const nothingHeld = -1

// responses buffers the messages to a caller. Messages can be taken back until
// they are sent, and those from a mark on are held until it is lifted.
type responses struct {
	conn    net.Conn
	timeout time.Duration
	buffer  []byte
	// sent is true once bytes have left since begin.
	sent bool
	held int // offset in buffer, or noHold
	// lastMark is the offset of the latest mark.
	lastMark int
	err      error
}

// begin starts a new answer, of which nothing has left.
func (r *responses) begin() {
	r.sent = false
	r.held = nothingHeld
}

// add appends a message.
func (r *responses) add(message pgproto3.BackendMessage) {
	encoded, err := message.Encode(r.buffer)
	if err != nil {
		r.err = trace.Wrap(err)
		return
	}
	r.buffer = encoded
}

// hold keeps back everything from here on, or from an earlier mark.
func (r *responses) hold() {
	r.lastMark = len(r.buffer)
	if r.held == nothingHeld {
		r.held = r.lastMark
	}
}

// releaseHeld ends the holding back.
func (r *responses) releaseHeld() { r.held = nothingHeld }

// discardHeld drops what is held back.
func (r *responses) discardHeld() {
	if r.held != nothingHeld {
		r.buffer = r.buffer[:r.held]
	}
	r.held = nothingHeld
}

// discard drops all that was added since begin, unless bytes have left.
func (r *responses) discard() {
	r.buffer = r.buffer[:0]
	r.held = nothingHeld
}

// flushIfLarge sends the buffer once it is large, but for what is held back. When the
// held part itself grows large, only what follows the latest mark is held on.
func (r *responses) flushIfLarge() error {
	if len(r.buffer) < flushThresholdBytes {
		return r.err
	}
	if r.held != nothingHeld && len(r.buffer)-r.held > flushThresholdBytes {
		r.held = r.lastMark
	}
	if r.held == nothingHeld || len(r.buffer)-r.held > flushThresholdBytes {
		r.held = nothingHeld
		return r.flush()
	}
	if r.held == 0 {
		return r.err
	}
	err := r.write(r.buffer[:r.held])
	r.buffer = append(r.buffer[:0], r.buffer[r.held:]...)
	r.lastMark -= r.held
	r.held = 0
	return err
}

// flush sends everything.
func (r *responses) flush() error {
	if len(r.buffer) == 0 {
		return r.err
	}
	err := r.write(r.buffer)
	r.held = nothingHeld
	r.buffer = r.buffer[:0]
	return err
}

func (r *responses) write(encoded []byte) error {
	if r.err != nil {
		return r.err
	}
	r.sent = true
	_ = r.conn.SetWriteDeadline(time.Now().Add(r.timeout))
	if _, err := r.conn.Write(encoded); err != nil {
		r.err = trace.ConvertSystemError(err)
	}
	return r.err
}

// shrink gives a large buffer back while the caller is idle.
func (r *responses) shrink() {
	if len(r.buffer) == 0 && cap(r.buffer) > maxIdleBufferBytes {
		r.buffer = nil
	}
}
