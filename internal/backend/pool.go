package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	// idleScanInterval is how often idle connections are looked through.
	idleScanInterval = 250 * time.Millisecond
	// idleTimeout closes idle connections before endpoints do, after 60 s.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds the opening of a connection: one takes about 12 ms, more
	// while the endpoint's slots are taken.
	dialTimeout = 600 * time.Millisecond
	// ownShareDuration is how long a pool keeps to its own share after the endpoint has
	// refused a connection for want of room.
	ownShareDuration = time.Second
	// initialFullBackoff and longestFullRetry space attempts of one pool to connect to
	// an endpoint without room, doubling in between.
	initialFullBackoff = 20 * time.Millisecond
	maxFullBackoff     = 320 * time.Millisecond
	// spareConnections may be open beyond the endpoint's slots, for transactions
	// that rest.
	spareConnections = 2
	// maxWaiters bounds the statements that wait for one endpoint: with a few
	// connections of some 30 ms a statement, more would wait for longer than
	// their objectives.
	maxWaiters = 24
)

var errClosed = trace.ConnectionProblem(nil, "the endpoint has closed the connection")

// Config describes the pools.
type Config struct {
	Dialer Dialer
	Health *Health
	Clock  lease.Clock
	// Members is how many instances share the endpoints' connections.
	Members func() int
	// MaxConnections is the bound of one endpoint for all instances.
	MaxConnections func(service string) int
	// Registry tells which endpoints may be used.
	Registry func() *catalog.Registry
	// Ownership tells which instance keeps an endpoint's connections; nil means that
	// each keeps its own.
	Ownership func(e catalog.Endpoint) Ownership
}

// Ownership is which instance keeps an endpoint's connections.
type Ownership uint8

const (
	// Unshared means that each instance keeps its own.
	Unshared Ownership = iota
	// OwnedHere means that this instance keeps them for others.
	OwnedHere
	// OwnedElsewhere means that another one does: this instance opens one for what
	// cannot go there, and closes it at once.
	OwnedElsewhere
)

// ownerShare is the share of an endpoint's connections for the instance that keeps them;
// the rest is for transactions and writes of all instances, which few are at a time.
const ownerShare = 2.0 / 3

// Pools are the connections to all endpoints.
type Pools struct {
	cfg Config

	mu    sync.Mutex
	pools map[string]*pool // guarded by mu
}

// NewPools returns pools without connections.
func NewPools(cfg Config) (*Pools, error) {
	if cfg.Dialer == nil || cfg.Health == nil || cfg.Members == nil || cfg.MaxConnections == nil || cfg.Registry == nil {
		return nil, trace.BadParameter("backend: every port is required")
	}
	if cfg.Clock == nil {
		cfg.Clock = lease.BootClock
	}
	if cfg.Ownership == nil {
		cfg.Ownership = func(catalog.Endpoint) Ownership { return Unshared }
	}
	return &Pools{cfg: cfg, pools: make(map[string]*pool)}, nil
}

// pool is the connections to one endpoint.
type pool struct {
	pools  *Pools
	health *Health
	id     string

	mu sync.Mutex
	// idle connections, the latest used last; guarded by mu, as all below.
	idle []*PooledConn
	// open counts connections, idle, in use and being opened.
	open    int
	waiters []*waiter
	// ownShareUntil is until when the pool keeps to its share, and nextDialAt when the next
	// connection may be tried.
	ownShareUntil, nextDialAt time.Duration
	fullBackoff               time.Duration
}

// waiter is a statement that waits for a connection.
type waiter struct {
	priority int
	notify   chan struct{}
}

func (p *Pools) poolOf(id string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.pools[id]
	if !ok {
		q = &pool{pools: p, health: p.cfg.Health, id: id}
		p.pools[id] = q
	}
	return q
}

// Acquire returns a connection of the organisation to the endpoint. Statements of
// a lower priority number go first. Every error means that nothing was sent.
func (p *Pools) Acquire(ctx context.Context, e catalog.Endpoint, organisation string, priority int) (*PooledConn, error) {
	q := p.poolOf(e.ID)
	for {
		share, maxOpen, _ := p.limits(e)
		pooled, evicted, dial, w := q.takeOrQueue(e, organisation, priority, share, maxOpen)
		if evicted != nil {
			evicted.conn.Close()
		}
		switch {
		case pooled != nil && pooled.conn.Reusable():
			return pooled, nil
		case pooled != nil:
			pooled.Discard()
			continue
		case dial:
			pooled, err := q.connect(ctx, e, organisation)
			if err == nil || !isFullErr(err) {
				return pooled, err
			}
			continue
		case w == nil:
			return nil, noConnectionErr(e)
		}
		select {
		case <-w.notify:
		case <-ctx.Done():
			q.removeWaiter(w)
			return nil, noConnectionErr(e)
		}
	}
}

// HasIdle tells whether the organisation has an idle connection to the endpoint.
func (p *Pools) HasIdle(endpoint, organisation string) bool {
	q := p.poolOf(endpoint)
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.idle, func(pc *PooledConn) bool { return pc.Organisation == organisation })
}

// limits returns this instance's share of an endpoint's connections, how many it may
// have while there is room, and how many it keeps while they are idle.
func (p *Pools) limits(e catalog.Endpoint) (share, maxOpen, keepIdle int) {
	total := max(1, p.cfg.MaxConnections(e.Service))
	switch p.cfg.Ownership(e) {
	case OwnedHere:
		share = max(1, int(float64(total)*ownerShare))
		return share, share, share
	case OwnedElsewhere:
		return 1, min(total, e.Slots+spareConnections), 0
	default:
		share = max(1, total/max(1, p.cfg.Members()))
		return share, min(total, max(share, e.Slots+spareConnections)), share
	}
}

func noConnectionErr(e catalog.Endpoint) error {
	return verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "no connection to %s became free in time", e.ID).
		WithRetryAfter(50 * time.Millisecond)
}

func isFullErr(err error) bool {
	var refused *verdict.Error
	return errors.As(err, &refused) && refused.Code == verdict.CodeTooManyConnections
}

// takeOrQueue returns an idle connection, or the right to open one, with an idle one of
// another organisation to close for it, or a place in the line; nothing when the
// line is full.
func (q *pool) takeOrQueue(e catalog.Endpoint, organisation string, priority, share, maxOpen int) (pooled, evicted *PooledConn, dial bool, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := len(q.idle) - 1; i >= 0; i-- {
		if pc := q.idle[i]; pc.Organisation == organisation && pc.Endpoint.Address == e.Address && pc.Endpoint.StartedAt == e.StartedAt {
			q.idle = slices.Delete(q.idle, i, i+1)
			return pc, nil, false, nil
		}
	}
	allowed := maxOpen
	if q.pools.cfg.Clock() < q.ownShareUntil {
		allowed = share
	}
	dialBlocked := q.pools.cfg.Clock() < q.nextDialAt
	switch {
	case dialBlocked:
	case q.open < share || q.open < allowed && len(q.idle) == 0:
		q.open++
		return nil, nil, true, nil
	case len(q.idle) > 0:
		evicted = q.idle[0]
		q.idle = q.idle[1:]
		return nil, evicted, true, nil
	}
	if len(q.waiters) >= maxWaiters {
		return nil, nil, false, nil
	}
	w = &waiter{priority: priority, notify: make(chan struct{}, 1)}
	at, _ := slices.BinarySearchFunc(q.waiters, w, func(a, b *waiter) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	q.waiters = slices.Insert(q.waiters, at, w)
	return nil, nil, false, w
}

// connect opens a connection, for which take has counted one.
func (q *pool) connect(ctx context.Context, e catalog.Endpoint, organisation string) (*PooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := q.pools.cfg.Dialer.Dial(ctx, e, organisation)
	var refused *verdict.Error
	if err == nil || errors.As(err, &refused) {
		q.health.recordDial(q.id, nil)
	} else {
		q.health.recordDial(q.id, err)
	}
	if err != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		if isFullErr(err) {
			q.noteFull()
		}
		q.noteClosed()
		return nil, err
	}
	q.mu.Lock()
	q.fullBackoff = 0
	q.mu.Unlock()
	return &PooledConn{Endpoint: e, Organisation: organisation, conn: conn, pool: q}, nil
}

// noteFull notes that the endpoint has no room for another connection. The caller
// holds mu.
func (q *pool) noteFull() {
	now := q.pools.cfg.Clock()
	q.ownShareUntil = now + ownShareDuration
	q.fullBackoff = min(max(initialFullBackoff, 2*q.fullBackoff), maxFullBackoff)
	q.nextDialAt = now + q.fullBackoff/2 + rand.N(q.fullBackoff/2)
	time.AfterFunc(q.nextDialAt-now, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.notifyFirst()
	})
}

// noteClosed counts a connection less and lets a waiter try. The caller holds mu.
func (q *pool) noteClosed() {
	q.open--
	q.notifyFirst()
}

// notifyFirst lets the first waiter try again. The caller holds mu.
func (q *pool) notifyFirst() {
	if len(q.waiters) > 0 {
		q.waiters[0].notify <- struct{}{}
		q.waiters = q.waiters[1:]
	}
}

// removeWaiter takes a waiter out of the line. One that was woken passes its turn on.
func (q *pool) removeWaiter(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		return
	}
	q.notifyFirst()
}

func (q *pool) release(pc *PooledConn) {
	if _, _, keepIdle := q.pools.limits(pc.Endpoint); pc.broken || pc.inTransaction || keepIdle == 0 {
		pc.conn.Close()
		q.mu.Lock()
		defer q.mu.Unlock()
		q.noteClosed()
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	pc.idleSince = q.pools.cfg.Clock()
	q.idle = append(q.idle, pc)
	q.notifyFirst()
}

// Run looks after idle connections until ctx ends, then closes them.
func (p *Pools) Run(ctx context.Context) error {
	ticker := time.NewTicker(idleScanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.closeSurplus(false)
		case <-ctx.Done():
			p.closeSurplus(true)
			return nil
		}
	}
}

// closeSurplus closes idle connections that are too old, beyond this instance's share, or
// lead to endpoints that take no new work.
func (p *Pools) closeSurplus(all bool) {
	p.mu.Lock()
	pools := make([]*pool, 0, len(p.pools))
	for _, q := range p.pools {
		pools = append(pools, q)
	}
	p.mu.Unlock()
	registry := p.cfg.Registry()
	for _, q := range pools {
		for _, pc := range q.removeSurplus(registry, all) {
			pc.conn.Close()
		}
	}
}

// removeSurplus takes out the idle connections to be closed.
func (q *pool) removeSurplus(registry *catalog.Registry, all bool) []*PooledConn {
	q.mu.Lock()
	defer q.mu.Unlock()
	var closing []*PooledConn
	now := q.pools.cfg.Clock()
	q.idle = slices.DeleteFunc(q.idle, func(pc *PooledConn) bool {
		current, registered := registry.Endpoints[q.id]
		_, _, keepIdle := q.pools.limits(pc.Endpoint)
		obsolete := all || !registered || current.Draining || current.StartedAt != pc.Endpoint.StartedAt
		if obsolete || now-pc.idleSince > idleTimeout || q.open > keepIdle {
			q.open--
			closing = append(closing, pc)
			return true
		}
		return false
	})
	return closing
}
