package pool

import (
	"expvar"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

// counters are the pools' metrics.
type counters struct {
	opened, openedAhead, closed, silent, probesFailed *expvar.Int
}

func newCounters(set *metrics.Set, p *Pools) counters {
	set.Gauge("pool_connections_open", func() any { return p.OpenConnections() })
	return counters{
		opened:       set.Counter("pool_connections_opened_total"),
		openedAhead:  set.Counter("pool_connections_opened_ahead_total"),
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
	p.mu.Lock()
	running := p.running
	if running {
		p.tomb.Go(func() error {
			work()
			return nil
		})
	}
	p.mu.Unlock()
	if !running {
		work()
	}
}

// maintain follows changes of the configuration, and sweeps.
func (p *Pools) maintain() error {
	ticker := time.NewTicker(p.cfg.Sweep)
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
			pool.forget(conn)
		}
		pool.queue.Wake()
		pool.openAhead()
	}
}

// surplus takes out the idle connections that have been idle for too long, that
// exceed the share, or whose endpoint takes no new work.
func (p *endpointPool) surplus() []*endpoint.Conn {
	limit := p.limit()
	if !p.wanted() {
		limit = 0
	}
	oldest := p.pools.cfg.Now().Add(-p.pools.cfg.IdleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.idle) && (p.open-n > limit || p.idle[n].UsedAt().Before(oldest)) {
		n++
	}
	surplus := append([]*endpoint.Conn(nil), p.idle[:n]...)
	p.idle = append(p.idle[:0], p.idle[n:]...)
	return surplus
}

// openAhead opens one connection in the background when the share has room and
// there are fewer idle ones than wanted.
func (p *endpointPool) openAhead() {
	if p.pools.cfg.Spare <= 0 || !p.wanted() || !p.reserveAhead() {
		return
	}
	p.pools.background(func() {
		conn, err := p.dial(p.pools.ctx)
		if err == nil {
			p.pools.metrics.openedAhead.Add(1)
			p.put(conn)
		}
		p.finishAhead(err != nil)
	})
}

// reserveAhead counts a connection as open before it is, if there is room.
func (p *endpointPool) reserveAhead() bool {
	limit := p.limit()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= p.pools.cfg.Spare || p.open >= limit || p.opening != nil {
		return false
	}
	p.open++
	p.opening = make(chan struct{})
	return true
}

// finishAhead wakes those who wait for the connection.
func (p *endpointPool) finishAhead(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if failed {
		p.open--
	}
	close(p.opening)
	p.opening = nil
}

// closeAll closes the idle connections at the end.
func (p *Pools) closeAll() {
	for _, pool := range p.all() {
		for _, conn := range pool.surplus() {
			pool.forget(conn)
		}
	}
}
