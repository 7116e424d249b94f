package gateway

import (
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// flushThresholdBytes is the size at which the buffer is sent.
	flushThresholdBytes = 16 * 1024
	// maxCommitHeldBytes limits what is held back together with the tag of a COMMIT. A
	// caller whose response exceeds it is disconnected, which leaves its outcome unknown.
	maxCommitHeldBytes = 4 << 20
	// maxIdleBufferBytes limits the buffer that an idle caller keeps.
	maxIdleBufferBytes = 4 * 1024
)

// nothingHeld is the value of responses.held while nothing is held back.
const nothingHeld = -1

// responses buffers the messages to a caller. Buffered messages can be discarded, and
// those after a mark can be held back until they are released.
type responses struct {
	conn    net.Conn
	timeout time.Duration
	buffer  []byte
	// sent is true once bytes were written to the caller since begin.
	sent bool
	held int // offset in buffer, or nothingHeld
	// lastMark is the offset in buffer of the latest call of hold.
	lastMark int
	// commitHeld is true while the tag of a COMMIT is among what is held back, none of
	// which may be sent before the commit is confirmed.
	commitHeld bool
	err        error
}

// begin starts a new response, of which nothing has been sent.
func (r *responses) begin() {
	r.sent = false
	r.held, r.commitHeld = nothingHeld, false
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

// hold holds back the messages added from now on, or from an earlier mark if there is
// one.
func (r *responses) hold() {
	r.lastMark = len(r.buffer)
	if r.held == nothingHeld {
		r.held = r.lastMark
	}
}

// holdCommit is hold for the tag of a COMMIT, which acknowledges the commit by itself.
func (r *responses) holdCommit() {
	r.hold()
	r.commitHeld = true
}

// releaseHeld ends holding back messages.
func (r *responses) releaseHeld() { r.held, r.commitHeld = nothingHeld, false }

// discardHeld discards the messages that are held back.
func (r *responses) discardHeld() {
	if r.held != nothingHeld {
		r.buffer = r.buffer[:r.held]
	}
	r.releaseHeld()
}

// discard discards all buffered messages.
func (r *responses) discard() {
	r.buffer = r.buffer[:0]
	r.releaseHeld()
}

// flushIfLarge sends a large buffer except for what is held back. If the held part
// itself becomes large, only what follows the latest mark stays held; if that is large
// as well, everything is sent. With the tag of a COMMIT in it, all of it stays held.
func (r *responses) flushIfLarge() error {
	if len(r.buffer) < flushThresholdBytes {
		return r.err
	}
	if r.commitHeld {
		return r.flushBeforeHeld()
	}
	if r.held != nothingHeld && len(r.buffer)-r.held > flushThresholdBytes {
		r.held = r.lastMark
	}
	if r.held == nothingHeld || len(r.buffer)-r.held > flushThresholdBytes {
		r.held = nothingHeld
		return r.flush()
	}
	return r.flushBeforeHeld()
}

// flushBeforeHeld sends what precedes the held part.
func (r *responses) flushBeforeHeld() error {
	if r.commitHeld && len(r.buffer)-r.held > maxCommitHeldBytes {
		return trace.LimitExceeded("the response exceeds %d bytes before its commit is confirmed", maxCommitHeldBytes)
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

// flush sends all buffered messages, held or not.
func (r *responses) flush() error {
	if len(r.buffer) == 0 {
		return r.err
	}
	err := r.write(r.buffer)
	r.releaseHeld()
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

// shrink frees a large buffer while the caller is idle.
func (r *responses) shrink() {
	if len(r.buffer) == 0 && cap(r.buffer) > maxIdleBufferBytes {
		r.buffer = nil
	}
}
