package gateway

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"
)

// recordingConn records what is written to a caller.
type recordingConn struct {
	net.Conn
	written bytes.Buffer
}

func (c *recordingConn) Write(p []byte) (int, error)      { return c.written.Write(p) }
func (c *recordingConn) SetWriteDeadline(time.Time) error { return nil }

func row(size int) *pgproto3.DataRow { return &pgproto3.DataRow{Values: [][]byte{make([]byte, size)}} }

// TestCommitTagIsHeldUntilConfirmed covers a query string with a COMMIT followed by a large
// SELECT. Drivers take the tag for the acknowledgement of the commit.
func TestCommitTagIsHeldUntilConfirmed(t *testing.T) {
	conn := &recordingConn{}
	r := &responses{conn: conn}
	r.begin()
	r.add(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	r.holdCommit()
	r.add(&pgproto3.CommandComplete{CommandTag: []byte(commitTag)})
	for range 100 {
		r.add(row(1 << 10))
		require.NoError(t, r.flushIfLarge())
	}
	require.Contains(t, conn.written.String(), "INSERT")
	require.NotContains(t, conn.written.String(), commitTag)

	held := *r
	held.discardHeld()
	require.Empty(t, held.buffer, "the commit was not confirmed")

	r.releaseHeld()
	require.NoError(t, r.flush())
	require.Contains(t, conn.written.String(), commitTag)
	require.Greater(t, conn.written.Len(), 100<<10)
}

// TestCommitIsNotHeldWithoutBound covers a response that would fill the instance's memory.
func TestCommitIsNotHeldWithoutBound(t *testing.T) {
	conn := &recordingConn{}
	r := &responses{conn: conn}
	r.begin()
	r.holdCommit()
	r.add(&pgproto3.CommandComplete{CommandTag: []byte(commitTag)})
	var err error
	for range 2 * maxCommitHeldBytes / (64 << 10) {
		r.add(row(64 << 10))
		if err = r.flushIfLarge(); err != nil {
			break
		}
	}
	require.ErrorContains(t, err, "before its commit is confirmed")
	require.Zero(t, conn.written.Len())
}

// TestTagsOfALongBatchAreSent covers a batch of many writes in one implicit transaction, whose
// tags acknowledge nothing before its end.
func TestTagsOfALongBatchAreSent(t *testing.T) {
	conn := &recordingConn{}
	r := &responses{conn: conn}
	r.begin()
	for range 4 * flushThresholdBytes / 16 {
		r.hold()
		r.add(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
		require.NoError(t, r.flushIfLarge())
	}
	require.Greater(t, conn.written.Len(), flushThresholdBytes)
}
