package peerlink

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext adds the connection of a request to its context. It is set as the ConnContext of
// the http.Server that serves a Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// RequesterGone reports whether the requester has given up: its connection is closed. A
// process that was suspended reads requests whose time ended meanwhile; their contexts are
// cancelled only some time after the handler has begun.
func RequesterGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && err != unix.EAGAIN && err != unix.EINTR
	})
	return gone || err != nil
}
