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

// endpointPool is the connections to one endpoint. Whoever holds a place of the
// queue may have one connection open, so that places bound connections.
type endpointPool struct {
	pools    *Pools
	id       string
	queue    *fairqueue.Queue
	inFlight atomic.Int64
	waking   atomic.Bool // wakeOnGrowth is at work

	mu   sync.Mutex
	idle []*endpoint.Conn // guarded by mu; the last used is the last
	open int              // guarded by mu; idle, leased, being opened and being closed
	// closing counts those of open that are being closed: they are still reported as
	// in use, and take no other connection's place. Guarded by mu.
	closing int
	// doubtedAt is when a connection was found silent: those used last before
	// are probed before use. Guarded by mu.
	doubtedAt time.Time
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

// share is the instance's part of the endpoint's connections; nil without one.
func (p *endpointPool) share() blackboard.Spender {
	share, _ := p.pools.cfg.Board.Shares.Get(sharePrefix + p.id)
	return share.Spender
}

// limit is how many connections this instance may have to the endpoint.
func (p *endpointPool) limit() int {
	share := p.share()
	if share == nil {
		return 1
	}
	return share.Units(p.pools.cfg.Now())
}

// count changes the number of open connections and reports it, so that the share
// gives away only what is not in use. It returns the new number.
func (p *endpointPool) count(change int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.countLocked(change)
}

// countLocked is count for a caller that holds mu.
func (p *endpointPool) countLocked(change int) int {
	p.open += change
	if reporter, ok := p.share().(blackboard.UseReporter); ok {
		reporter.SetUsed(p.open)
	}
	return p.open
}

// errNoRoom means that the share has shrunk since a place was granted.
var errNoRoom = errors.New("pool: no room for a connection")

// acquire waits for a place in the queue and takes a connection.
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
		if !errors.Is(err, errNoRoom) {
			return nil, err
		}
	}
}

// take returns a clean connection that answers, an idle one if there is any.
func (p *endpointPool) take(ctx context.Context, settings string) (*endpoint.Conn, error) {
	for {
		conn, doubtful := p.popIdle(settings)
		if conn == nil {
			return p.connect(ctx)
		}
		if !doubtful {
			return conn, nil
		}
		if err := conn.Probe(p.pools.cfg.ProbeTimeout); err == nil {
			return conn, nil
		}
		p.pools.metrics.probesFailed.Add(1)
		p.doubt()
		p.forget(conn)
	}
}

// popIdle takes the connection used last, one with the same settings first, and
// tells whether it has to be probed.
func (p *endpointPool) popIdle(settings string) (conn *endpoint.Conn, doubtful bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil, false
	}
	at := len(p.idle) - 1
	for i := at; i >= 0; i-- {
		if p.idle[i].Settings() == settings {
			at = i
			break
		}
	}
	conn = p.idle[at]
	p.idle = append(p.idle[:at], p.idle[at+1:]...)
	idleFor := p.pools.cfg.Now().Sub(conn.UsedAt())
	return conn, idleFor > p.pools.cfg.IdleProbeThreshold || conn.UsedAt().Before(p.doubtedAt)
}

// connect opens a connection, unless the share has no room left. The connection
// is reported before the limit is read: a share that shrinks in between either
// sees it in use or has shrunk already.
func (p *endpointPool) connect(ctx context.Context) (*endpoint.Conn, error) {
	if p.count(1) > p.limit() {
		p.count(-1)
		return nil, errNoRoom
	}
	conn, err := p.dial(ctx)
	if err != nil {
		p.count(-1)
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
		// The instances together are over the endpoint's limit for a moment.
		return nil, verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "endpoint %s has no connection left", p.id).WithCause(err)
	}
	return nil, refusal
}

// put gives a clean connection back, or closes it when there are too many or the
// endpoint takes no new work.
func (p *endpointPool) put(conn *endpoint.Conn) {
	keep := p.wanted()
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

// forget closes a connection that was taken out of the pool.
func (p *endpointPool) forget(conn *endpoint.Conn) {
	p.mu.Lock()
	p.closing++
	p.mu.Unlock()
	p.close(conn)
}

// close closes a connection that is counted as closing.
func (p *endpointPool) close(conn *endpoint.Conn) {
	conn.Close()
	p.mu.Lock()
	p.closing--
	p.countLocked(-1)
	p.mu.Unlock()
	p.pools.metrics.closed.Add(1)
}

// doubt makes the connections that were last used until now be probed before use.
func (p *endpointPool) doubt() {
	now := p.pools.cfg.Now()
	p.mu.Lock()
	p.doubtedAt = now
	p.mu.Unlock()
}

// wanted tells whether the endpoint still takes new work.
func (p *endpointPool) wanted() bool {
	entry, ok := p.pools.cfg.Board.Configuration.Get().Endpoints[p.id]
	return ok && !entry.Endpoint.GetLeaving() && p.pools.ctx.Err() == nil
}
