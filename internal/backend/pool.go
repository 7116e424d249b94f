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
	// sweepInterval is how often idle connections are looked through.
	sweepInterval = 250 * time.Millisecond
	// idleLimit closes idle connections before endpoints do, after 60 s.
	idleLimit = 30 * time.Second
	// dialTimeout bounds the opening of a connection: one takes about 12 ms, more
	// while the endpoint's slots are taken.
	dialTimeout = 600 * time.Millisecond
	// fullPause is how long a pool keeps to its own part after the endpoint has
	// refused a connection for want of room.
	fullPause = time.Second
	// firstFullRetry and longestFullRetry space attempts of one pool to connect to
	// an endpoint without room, doubling in between.
	firstFullRetry   = 20 * time.Millisecond
	longestFullRetry = 320 * time.Millisecond
	// spareConnections may be open beyond the endpoint's slots, for transactions
	// that rest.
	spareConnections = 2
	// maxWaiting bounds the statements that wait for one endpoint: with a few
	// connections of some 30 ms a statement, more would wait for longer than
	// their objectives.
	maxWaiting = 24
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

// keptPart is the part of an endpoint's connections for the instance that keeps them;
// the rest is for transactions and writes of all instances, which few are at a time.
const keptPart = 2.0 / 3

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
	waiting []*waiter
	// fullUntil is until when the pool keeps to its part, and retryAt when the next
	// connection may be tried.
	fullUntil, retryAt time.Duration
	fullRetry          time.Duration
}

// waiter is a statement that waits for a connection.
type waiter struct {
	priority int
	wake     chan struct{}
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
		part, most, _ := p.limits(e)
		link, victim, dial, w := q.take(e, organisation, priority, part, most)
		if victim != nil {
			victim.conn.Close()
		}
		switch {
		case link != nil && link.conn.Reusable():
			return link, nil
		case link != nil:
			link.Discard()
			continue
		case dial:
			link, err := q.connect(ctx, e, organisation)
			if err == nil || !isFull(err) {
				return link, err
			}
			continue
		case w == nil:
			return nil, noRoom(e)
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
			q.leave(w)
			return nil, noRoom(e)
		}
	}
}

// HasIdle tells whether the organisation has an idle connection to the endpoint.
func (p *Pools) HasIdle(endpoint, organisation string) bool {
	q := p.poolOf(endpoint)
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.idle, func(l *PooledConn) bool { return l.Organisation == organisation })
}

// limits returns this instance's part of an endpoint's connections, how many it may
// have while there is room, and how many it keeps while they are idle.
func (p *Pools) limits(e catalog.Endpoint) (part, most, keep int) {
	total := max(1, p.cfg.MaxConnections(e.Service))
	switch p.cfg.Ownership(e) {
	case OwnedHere:
		part = max(1, int(float64(total)*keptPart))
		return part, part, part
	case OwnedElsewhere:
		return 1, min(total, e.Slots+spareConnections), 0
	default:
		part = max(1, total/max(1, p.cfg.Members()))
		return part, min(total, max(part, e.Slots+spareConnections)), part
	}
}

func noRoom(e catalog.Endpoint) error {
	return verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "no connection to %s became free in time", e.ID).
		WithRetryAfter(50 * time.Millisecond)
}

func isFull(err error) bool {
	var refused *verdict.Error
	return errors.As(err, &refused) && refused.Code == verdict.CodeTooManyConnections
}

// take returns an idle connection, or the right to open one, with an idle one of
// another organisation to close for it, or a place in the line; nothing when the
// line is full.
func (q *pool) take(e catalog.Endpoint, organisation string, priority, part, most int) (link, victim *PooledConn, dial bool, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := len(q.idle) - 1; i >= 0; i-- {
		if l := q.idle[i]; l.Organisation == organisation && l.Endpoint.Address == e.Address && l.Endpoint.StartedAt == e.StartedAt {
			q.idle = slices.Delete(q.idle, i, i+1)
			return l, nil, false, nil
		}
	}
	allowed := most
	if q.pools.cfg.Clock() < q.fullUntil {
		allowed = part
	}
	waits := q.pools.cfg.Clock() < q.retryAt
	switch {
	case waits:
	case q.open < part || q.open < allowed && len(q.idle) == 0:
		q.open++
		return nil, nil, true, nil
	case len(q.idle) > 0:
		victim = q.idle[0]
		q.idle = q.idle[1:]
		return nil, victim, true, nil
	}
	if len(q.waiting) >= maxWaiting {
		return nil, nil, false, nil
	}
	w = &waiter{priority: priority, wake: make(chan struct{}, 1)}
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *waiter) int {
		if a.priority <= b.priority {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, at, w)
	return nil, nil, false, w
}

// connect opens a connection, for which take has counted one.
func (q *pool) connect(ctx context.Context, e catalog.Endpoint, organisation string) (*PooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := q.pools.cfg.Dialer.Dial(ctx, e, organisation)
	var refused *verdict.Error
	if err == nil || errors.As(err, &refused) {
		q.health.reached(q.id, nil)
	} else {
		q.health.reached(q.id, err)
	}
	if err != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		if isFull(err) {
			q.full()
		}
		q.closed()
		return nil, err
	}
	q.mu.Lock()
	q.fullRetry = 0
	q.mu.Unlock()
	return &PooledConn{Endpoint: e, Organisation: organisation, conn: conn, pool: q}, nil
}

// full notes that the endpoint has no room for another connection. The caller
// holds mu.
func (q *pool) full() {
	now := q.pools.cfg.Clock()
	q.fullUntil = now + fullPause
	q.fullRetry = min(max(firstFullRetry, 2*q.fullRetry), longestFullRetry)
	q.retryAt = now + q.fullRetry/2 + rand.N(q.fullRetry/2)
	time.AfterFunc(q.retryAt-now, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.wakeOne()
	})
}

// closed counts a connection less and lets a waiter try. The caller holds mu.
func (q *pool) closed() {
	q.open--
	q.wakeOne()
}

// wakeOne lets the first waiter try again. The caller holds mu.
func (q *pool) wakeOne() {
	if len(q.waiting) > 0 {
		q.waiting[0].wake <- struct{}{}
		q.waiting = q.waiting[1:]
	}
}

// leave takes a waiter out of the line. One that was woken passes its turn on.
func (q *pool) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
		return
	}
	q.wakeOne()
}

func (q *pool) release(l *PooledConn) {
	if _, _, keep := q.pools.limits(l.Endpoint); l.broken || l.open || keep == 0 {
		l.conn.Close()
		q.mu.Lock()
		defer q.mu.Unlock()
		q.closed()
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l.idleSince = q.pools.cfg.Clock()
	q.idle = append(q.idle, l)
	q.wakeOne()
}

// Run looks after idle connections until ctx ends, then closes them.
func (p *Pools) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.sweep(false)
		case <-ctx.Done():
			p.sweep(true)
			return nil
		}
	}
}

// sweep closes idle connections that are too old, beyond this instance's part, or
// lead to endpoints that take no new work.
func (p *Pools) sweep(all bool) {
	p.mu.Lock()
	pools := make([]*pool, 0, len(p.pools))
	for _, q := range p.pools {
		pools = append(pools, q)
	}
	p.mu.Unlock()
	registry := p.cfg.Registry()
	for _, q := range pools {
		for _, l := range q.surplus(registry, all) {
			l.conn.Close()
		}
	}
}

// surplus takes out the idle connections to be closed.
func (q *pool) surplus(registry *catalog.Registry, all bool) []*PooledConn {
	q.mu.Lock()
	defer q.mu.Unlock()
	var closing []*PooledConn
	now := q.pools.cfg.Clock()
	q.idle = slices.DeleteFunc(q.idle, func(l *PooledConn) bool {
		known, registered := registry.Endpoints[q.id]
		_, _, keep := q.pools.limits(l.Endpoint)
		unfit := all || !registered || known.Draining || known.StartedAt != l.Endpoint.StartedAt
		if unfit || now-l.idleSince > idleLimit || q.open > keep {
			q.open--
			closing = append(closing, l)
			return true
		}
		return false
	})
	return closing
}
