package pool

import (
	"expvar"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

// counters are the pools' metrics.
type counters struct {
	opened, closed, unresponsive, probesFailed *expvar.Int
}

func newCounters(set *metrics.Set, p *Pools) counters {
	set.Gauge("pool_connections_open", func() any { return p.OpenConnections() })
	return counters{
		opened:       set.Counter("pool_connections_opened_total"),
		closed:       set.Counter("pool_connections_closed_total"),
		unresponsive: set.Counter("pool_connections_silent_total"),
		probesFailed: set.Counter("pool_probes_failed_total"),
	}
}

// OpenConnections returns the number of open connections by endpoint id.
func (p *Pools) OpenConnections() map[string]int {
	open := make(map[string]int)
	for _, pool := range p.allPools() {
		pool.mu.Lock()
		open[pool.id] = pool.open
		pool.mu.Unlock()
	}
	return open
}

// runBackground runs work in a goroutine of the tomb, or synchronously when the pools
// don't run.
func (p *Pools) runBackground(work func()) {
	if !p.startBackground(work) {
		work()
	}
}

// startBackground runs work in a goroutine of the tomb. It reports false, without
// running it, when the pools don't run.
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

// maintain calls reclaim periodically and after each change of the configuration.
func (p *Pools) maintain() error {
	ticker := time.NewTicker(p.cfg.MaintenanceInterval)
	defer ticker.Stop()
	for {
		configuration := p.cfg.Board.Configuration.Changed()
		p.reclaim()
		select {
		case <-p.tomb.Dying():
			return nil
		case <-configuration:
		case <-ticker.C:
		}
	}
}

// reclaim closes surplus connections and dispatches the queues, whose capacity may
// have grown.
func (p *Pools) reclaim() {
	for _, pool := range p.allPools() {
		for _, conn := range pool.surplus() {
			pool.close(conn)
		}
		pool.queue.NotifyCapacity()
	}
}

// surplus removes and returns the idle connections that have been idle for too long,
// that exceed the share, or whose endpoint accepts no new work. They are counted in
// closing.
func (p *endpointPool) surplus() []*endpoint.Conn {
	limit := p.limit()
	if !p.acceptsWork() {
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

// closeAll closes all idle connections after the tomb has ended.
func (p *Pools) closeAll() {
	for _, pool := range p.allPools() {
		for _, conn := range pool.surplus() {
			pool.close(conn)
		}
	}
}

// changeNotifier is implemented by shares that notify of their changes.
type changeNotifier interface {
	// Changed returns a channel that is closed at the next change. Call it before Units,
	// so that no change is missed.
	Changed() <-chan struct{}
}

// watchGrowth dispatches the queue as soon as the share has grown, for as long as there
// are more requests than the share allows connections.
func (p *endpointPool) watchGrowth() {
	notifier, ok := p.share().(changeNotifier)
	if !ok || !p.watchingGrowth.CompareAndSwap(false, true) {
		return
	}
	started := p.pools.startBackground(func() {
		defer p.watchingGrowth.Store(false)
		for int(p.inFlight.Load()) > p.limit() {
			changed := notifier.Changed()
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
		p.watchingGrowth.Store(false)
	}
}
