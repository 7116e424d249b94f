package gateway

import (
	"errors"
	"os"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// copyChunkBytes is the amount of COPY data after which it is sent to the endpoint.
const copyChunkBytes = 32 * 1024

// copyIn forwards the caller's COPY data until its end. The statement timeout restarts
// with each chunk.
func (x *exchange) copyIn() error {
	if err := x.c.responses.flush(); err != nil {
		x.sendCopyFail("the caller has gone")
		return err
	}
	var pending []byte
	for {
		message, err := x.receiveCopy()
		if err != nil {
			x.sendCopyFail("the caller has gone")
			return err
		}
		done := false
		switch m := message.(type) {
		case *pgproto3.CopyData:
			pending, _ = m.Encode(pending)
		case *pgproto3.CopyDone, *pgproto3.CopyFail:
			pending, _ = m.(pgproto3.Message).Encode(pending)
			done = true
		case *pgproto3.Flush, *pgproto3.Sync:
			continue
		default:
			x.sendCopyFail("unexpected message while copying in")
			return errSessionEnded
		}
		if done || len(pending) >= copyChunkBytes {
			if x.sendCopy(pending) != nil {
				return nil //nolint:nilerr // reading the response reports the error as well
			}
			pending = pending[:0]
		}
		if done {
			return x.syncAfterCopy()
		}
	}
}

// receiveCopy reads the caller's next message. Draining does not interrupt a COPY;
// withdrawing the key does.
func (x *exchange) receiveCopy() (pgproto3.FrontendMessage, error) {
	for {
		message, err := x.c.wire.Receive()
		if err == nil {
			return message, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, errSessionEnded
		}
		_ = x.c.transport.SetReadDeadline(time.Now().Add(x.c.server.cfg.IdleTransactionTimeout))
		if reason := x.c.server.revocationReason(x.c.identity.Load()); reason != nil {
			x.c.endSession(reason)
			return nil, errSessionEnded
		}
		if !x.c.interrupted.Swap(false) {
			x.c.fatal(verdict.New(verdict.NotRun, codeIdleTransaction, "the COPY was idle for too long and was rolled back"))
			return nil, errSessionEnded
		}
	}
}

// sendCopy writes to the endpoint; the next read from it reports a failure as well.
func (x *exchange) sendCopy(encoded []byte) error {
	x.conn.SetDeadline(time.Now().Add(x.c.server.cfg.StatementTimeout))
	return x.conn.Stream(encoded)
}

func (x *exchange) sendCopyFail(reason string) {
	encoded, _ := (&pgproto3.CopyFail{Message: reason}).Encode(nil)
	if x.rq.batch != nil {
		encoded, _ = (&pgproto3.Sync{}).Encode(encoded)
	}
	_ = x.sendCopy(encoded)
}

// syncAfterCopy consumes the Sync that callers of the extended protocol send after the
// data and sends another to the endpoint, which ignores one that came earlier.
func (x *exchange) syncAfterCopy() error {
	if x.rq.batch == nil || !x.rq.synced {
		return nil
	}
	for {
		message, err := x.receiveCopy()
		if err != nil {
			return err
		}
		if _, ok := message.(*pgproto3.Sync); ok {
			encoded, _ := (&pgproto3.Sync{}).Encode(nil)
			_ = x.sendCopy(encoded)
			return nil
		}
	}
}
