package pool

import (
	"errors"
	"os"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// Lease is a connection held by one transaction.
type Lease struct {
	// Conn is the connection; it must not be used after Release.
	Conn     *endpoint.Conn
	pool     *endpointPool
	release  func()
	released atomic.Bool
}

// Release gives the connection back. One that is not clean is cleaned in the
// background, within a bound, and keeps its place in the queue until then. It
// may be called more than once.
func (l *Lease) Release() {
	if l.released.Swap(true) {
		return
	}
	if l.Conn.IsClean() {
		l.finish(true)
		return
	}
	if l.Conn.Err() != nil {
		l.failed()
		l.finish(false)
		return
	}
	l.pool.pools.background(func() {
		err := l.Conn.Reset()
		if err != nil {
			event.ConnectionDirty.Emit(l.pool.pools.cfg.Log, zap.String("endpoint", l.pool.id), zap.Error(err))
			l.failed()
		}
		l.finish(err == nil)
	})
}

// failed draws the conclusions from a broken connection: its siblings may be as
// silent, the endpoint need not be down.
func (l *Lease) failed() {
	err := l.Conn.Err()
	if err == nil {
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.pool.pools.metrics.silent.Add(1)
		event.ConnectionSilent.Emit(l.pool.pools.cfg.Log, zap.String("endpoint", l.pool.id), zap.Error(err))
		l.pool.doubt()
	}
	l.pool.pools.cfg.ReportFailure(l.pool.id, err)
}

func (l *Lease) finish(clean bool) {
	if clean {
		l.pool.put(l.Conn)
	} else {
		l.pool.forget(l.Conn)
	}
	l.pool.inFlight.Add(-1)
	l.release()
}
