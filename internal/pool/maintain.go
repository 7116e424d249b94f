package pool

import (
	"expvar"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

// counters are the pools' metrics.
type counters struct {
	opened, closed, silent, probesFailed *expvar.Int
}

func newCounters(set *metrics.Set, p *Pools) counters {
	set.Gauge("pool_connections_open", func() any { return p.OpenConnections() })
	return counters{
		opened:       set.Counter("pool_connections_opened_total"),
		closed:       set.Counter("pool_connections_closed_total"),
		silent:       set.Counter("pool_connections_silent_total"),
		probesFailed: set.Counter("pool_probes_failed_total"),
	}
}

// OpenConnections counts the connections by endpoint id.
func (p *Pools) OpenConnections() map[string]int {
	open := make(map[string]int)
	for _, pool := range p.all() {
		pool.mu.Lock()
		open[pool.id] = pool.open
		pool.mu.Unlock()
	}
	return open
}

// background runs work under the tomb, or at once when the pools do not run.
func (p *Pools) background(work func()) {
	if !p.startBackground(work) {
		work()
	}
}

// startBackground runs work under the tomb. It reports false when the pools do
// not run.
func (p *Pools) startBackground(work func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running {
		return false
	}
	p.tomb.Go(func() error {
		work()
		return nil
	})
	return true
}

// maintain follows changes of the configuration, and sweeps.
func (p *Pools) maintain() error {
	ticker := time.NewTicker(p.cfg.MaintenanceInterval)
	defer ticker.Stop()
	for {
		configuration := p.cfg.Board.Configuration.Changed()
		p.sweep()
		select {
		case <-p.tomb.Dying():
			return nil
		case <-configuration:
		case <-ticker.C:
		}
	}
}

// sweep closes surplus connections and wakes the queues, whose capacity may have
// grown.
func (p *Pools) sweep() {
	for _, pool := range p.all() {
		for _, conn := range pool.surplus() {
			pool.close(conn)
		}
		pool.queue.NotifyCapacity()
	}
}

// surplus takes out the idle connections that have been idle for too long, that
// exceed the share, or whose endpoint takes no new work. They count as closing.
func (p *endpointPool) surplus() []*endpoint.Conn {
	limit := p.limit()
	if !p.wanted() {
		limit = 0
	}
	oldest := p.pools.cfg.Now().Add(-p.pools.cfg.IdleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.idle) && (p.open-p.closing-n > limit || p.idle[n].UsedAt().Before(oldest)) {
		n++
	}
	surplus := append([]*endpoint.Conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	p.closing += n
	return surplus
}

// closeAll closes the idle connections at the end.
func (p *Pools) closeAll() {
	for _, pool := range p.all() {
		for _, conn := range pool.surplus() {
			pool.close(conn)
		}
	}
}

// grower is implemented by shares that tell when they have grown.
type grower interface {
	// Changed is closed at the next change; it is called before Units.
	Changed() <-chan struct{}
}

// wakeOnGrowth has the queue look at the share as soon as that has grown, for as
// long as there are more requests than connections.
func (p *endpointPool) wakeOnGrowth() {
	growing, ok := p.share().(grower)
	if !ok || !p.waking.CompareAndSwap(false, true) {
		return
	}
	started := p.pools.startBackground(func() {
		defer p.waking.Store(false)
		for int(p.inFlight.Load()) > p.limit() {
			changed := growing.Changed()
			p.queue.NotifyCapacity()
			timer := time.NewTimer(p.pools.cfg.MaintenanceInterval)
			select {
			case <-changed:
			case <-timer.C:
			case <-p.pools.tomb.Dying():
				timer.Stop()
				return
			}
			timer.Stop()
		}
		p.queue.NotifyCapacity()
	})
	if !started {
		p.waking.Store(false)
	}
}
