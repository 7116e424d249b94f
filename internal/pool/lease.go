package pool

import (
	"errors"
	"os"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// Lease is the exclusive use of a connection by one transaction.
type Lease struct {
	// Conn is the connection; it must not be used after Release.
	Conn     *endpoint.Conn
	pool     *endpointPool
	release  func()
	released atomic.Bool
}

// Release returns the connection to the pool. A connection that is not clean is reset
// in the background, within ResetTimeout, and keeps its queue slot until then. Release
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
		l.reportFailure()
		l.finish(false)
		return
	}
	l.pool.pools.runBackground(func() {
		err := l.Conn.Reset()
		if err != nil {
			event.ConnectionDirty.Emit(l.pool.pools.cfg.Log, zap.String("endpoint", l.pool.id), zap.Error(err))
			l.reportFailure()
		}
		l.finish(err == nil)
	})
}

// reportFailure reports a failed connection. After a timeout, the pool's other
// connections may be unresponsive too and are probed before use; new ones may still
// work, as the endpoint need not be down.
func (l *Lease) reportFailure() {
	err := l.Conn.Err()
	if err == nil {
		return
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		l.pool.pools.metrics.unresponsive.Add(1)
		event.ConnectionSilent.Emit(l.pool.pools.cfg.Log, zap.String("endpoint", l.pool.id), zap.Error(err))
		l.pool.suspectIdle()
	}
	l.pool.pools.cfg.ReportFailure(l.pool.id, err)
}

func (l *Lease) finish(clean bool) {
	if clean {
		l.pool.put(l.Conn)
	} else {
		l.pool.discard(l.Conn)
	}
	l.pool.inFlight.Add(-1)
	l.release()
}
