package pool

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/endpoint"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/fairqueue"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// endpointPool holds the connections to one endpoint. Each slot of the queue allows
// for one open connection, so that slots bound the number of connections.
type endpointPool struct {
	pools          *Pools
	id             string
	queue          *fairqueue.Queue
	inFlight       atomic.Int64
	watchingGrowth atomic.Bool // true while watchGrowth runs

	mu   sync.Mutex
	idle []*endpoint.Conn // guarded by mu; least recently used first
	open int              // guarded by mu; idle, leased, being opened and being closed
	// closing counts those of open that are being closed: they are still reported as
	// in use, but don't count when surplus connections are closed. Guarded by mu.
	closing int
	// suspectedAt is when a connection was last found unresponsive: connections last
	// used before it are probed before use. Guarded by mu.
	suspectedAt time.Time
}

func newEndpointPool(p *Pools, id string) *endpointPool {
	pool := &endpointPool{pools: p, id: id}
	pool.queue = fairqueue.New(fairqueue.Config{
		Capacity:                  pool.limit,
		MaxWaiting:                p.cfg.MaxWaiting,
		MaxWaitingPerOrganisation: p.cfg.MaxWaitingPerOrganisation,
		Metrics:                   p.cfg.Metrics,
	})
	return pool
}

// share returns the instance's share of the endpoint's connections; nil if it has none.
func (p *endpointPool) share() blackboard.Spender {
	share, _ := p.pools.cfg.Board.Shares.Get(sharePrefix + p.id)
	return share.Spender
}

// limit returns how many connections this instance may have to the endpoint. It is 1
// without a share.
func (p *endpointPool) limit() int {
	share := p.share()
	if share == nil {
		return 1
	}
	return share.Units(p.pools.cfg.Now())
}

// addOpen changes the number of open connections and reports it to the share, so that
// the share gives up only units that are not in use. It returns the new number.
func (p *endpointPool) addOpen(change int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addOpenLocked(change)
}

// addOpenLocked is addOpen for a caller that holds mu.
func (p *endpointPool) addOpenLocked(change int) int {
	p.open += change
	if reporter, ok := p.share().(blackboard.UseReporter); ok {
		reporter.SetUsed(p.open)
	}
	return p.open
}

// errShareExhausted means that the share has shrunk since a slot was granted.
var errShareExhausted = errors.New("pool: the share of connections is used up")

// acquire waits for a slot in the queue and takes a connection. It starts over if the
// share has shrunk in between.
func (p *endpointPool) acquire(ctx context.Context, r Request) (*Lease, error) {
	for {
		queueCtx, end := p.pools.startWait(ctx, "queue wait")
		release, err := p.queue.Acquire(queueCtx, fairqueue.Request{Organisation: r.Organisation, Weight: r.Weight, Bytes: r.Bytes})
		end()
		if err != nil {
			return nil, err
		}
		poolCtx, end := p.pools.startWait(ctx, "pool wait")
		conn, err := p.take(poolCtx, r.Settings)
		end()
		if err == nil {
			return &Lease{Conn: conn, pool: p, release: release}, nil
		}
		release()
		if !errors.Is(err, errShareExhausted) {
			return nil, err
		}
	}
}

// take returns a clean connection, an idle one if there is any. Idle connections that
// may be unresponsive are probed first.
func (p *endpointPool) take(ctx context.Context, settings string) (*endpoint.Conn, error) {
	for {
		conn, needsProbe := p.popIdle(settings)
		if conn == nil {
			return p.connect(ctx)
		}
		if !needsProbe {
			return conn, nil
		}
		if err := conn.Probe(p.pools.cfg.ProbeTimeout); err == nil {
			return conn, nil
		}
		p.pools.metrics.probesFailed.Add(1)
		p.suspectIdle()
		p.discard(conn)
	}
}

// popIdle takes the most recently used idle connection, preferably one with the given
// settings, and reports whether it has to be probed.
func (p *endpointPool) popIdle(settings string) (conn *endpoint.Conn, needsProbe bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil, false
	}
	index := len(p.idle) - 1
	for i := index; i >= 0; i-- {
		if p.idle[i].Settings() == settings {
			index = i
			break
		}
	}
	conn = p.idle[index]
	p.idle = append(p.idle[:index], p.idle[index+1:]...)
	idleFor := p.pools.cfg.Now().Sub(conn.UsedAt())
	return conn, idleFor > p.pools.cfg.IdleProbeThreshold || conn.UsedAt().Before(p.suspectedAt)
}

// connect opens a connection, unless the share is used up. The connection is reported
// as in use before the limit is read, so that it isn't missed by a share that shrinks
// at the same time: either the share sees it in use or the limit is already lower.
func (p *endpointPool) connect(ctx context.Context) (*endpoint.Conn, error) {
	if p.addOpen(1) > p.limit() {
		p.addOpen(-1)
		return nil, errShareExhausted
	}
	conn, err := p.dial(ctx)
	if err != nil {
		p.addOpen(-1)
		return nil, err
	}
	p.pools.metrics.opened.Add(1)
	return conn, nil
}

func (p *endpointPool) dial(ctx context.Context) (*endpoint.Conn, error) {
	cfg := &p.pools.cfg
	view := cfg.Board.Configuration.Get()
	entry, ok := view.Endpoints[p.id]
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "endpoint %s is not configured", p.id)
	}
	conn, err := endpoint.Connect(ctx, endpoint.Config{
		Service: view.Services[entry.Service], Endpoint: entry.Endpoint, Board: cfg.Board, Log: cfg.Log,
		Dial: cfg.Dial, ConnectTimeout: cfg.ConnectTimeout, ResetTimeout: cfg.ResetTimeout,
	})
	if err == nil {
		return conn, nil
	}
	if ctx.Err() == nil {
		event.ConnectionRefused.Emit(cfg.Log, zap.String("endpoint", p.id), zap.Error(err))
		cfg.ReportFailure(p.id, err)
	}
	refusal := verdict.As(err, verdict.NotRun)
	if refusal.Code == verdict.CodeTooManyConnections {
		// All instances together exceed the endpoint's limit for a moment.
		return nil, verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "endpoint %s has no connection left", p.id).WithCause(err)
	}
	return nil, refusal
}

// put adds a clean connection to the idle ones, or closes it when there are more
// connections than the share allows or the endpoint accepts no new work.
func (p *endpointPool) put(conn *endpoint.Conn) {
	keep := p.acceptsWork()
	limit := p.limit()
	p.mu.Lock()
	if keep && p.open-p.closing <= limit {
		p.idle = append(p.idle, conn)
		p.mu.Unlock()
		return
	}
	p.closing++
	p.mu.Unlock()
	p.close(conn)
}

// discard closes a connection that was taken out of the pool.
func (p *endpointPool) discard(conn *endpoint.Conn) {
	p.mu.Lock()
	p.closing++
	p.mu.Unlock()
	p.close(conn)
}

// close closes a connection that is counted in closing.
func (p *endpointPool) close(conn *endpoint.Conn) {
	conn.Close()
	p.mu.Lock()
	p.closing--
	p.addOpenLocked(-1)
	p.mu.Unlock()
	p.pools.metrics.closed.Add(1)
}

// suspectIdle requires a probe before the next use of connections last used before now.
func (p *endpointPool) suspectIdle() {
	now := p.pools.cfg.Now()
	p.mu.Lock()
	p.suspectedAt = now
	p.mu.Unlock()
}

// acceptsWork reports whether the endpoint accepts new work and the pools still run.
func (p *endpointPool) acceptsWork() bool {
	entry, ok := p.pools.cfg.Board.Configuration.Get().Endpoints[p.id]
	return ok && !entry.Endpoint.GetLeaving() && p.pools.ctx.Err() == nil
}
