package backend

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	// idleScanInterval is the interval between scans for idle connections to close.
	idleScanInterval = 500 * time.Millisecond
	// idleTimeout is long enough for the organisations that use an endpoint regularly. Others would
	// keep its places, also those of an instance that has lost power, for a while.
	idleTimeout = 5 * time.Second
	// dialTimeout limits the opening of a connection, which takes about 12 ms, or longer
	// while all slots of the endpoint are in use.
	dialTimeout = 600 * time.Millisecond
	// ownShareDuration is how long a pool is limited to its own share after the endpoint
	// has refused a connection because it was full.
	ownShareDuration = time.Second
	// initialFullBackoff and maxFullBackoff bound the exponential backoff between one
	// pool's attempts to connect to a full endpoint.
	initialFullBackoff = 20 * time.Millisecond
	maxFullBackoff     = 320 * time.Millisecond
	// spareConnections is the number of connections that may be open beyond the endpoint's
	// slots, to allow for idle transactions.
	spareConnections = 2
	// maxWaiters limits the statements that wait for a connection to one endpoint. With a
	// few connections and about 30 ms per statement, more would wait for longer than the
	// latency objectives.
	maxWaiters = 24
	// repetitionMemory is how long an endpoint counts as one that repeats answers after it has
	// done so.
	repetitionMemory = 5 * time.Minute
	// reportInterval is the shortest time between two lines about the answers of one endpoint.
	reportInterval = time.Second
)

var errClosed = trace.ConnectionProblem(nil, "the endpoint has closed the connection")

// Config describes the pools.
type Config struct {
	Dialer Dialer
	Health *Health
	Clock  lease.Clock
	// Members returns the number of instances that share the endpoints' connections.
	Members func() int
	// MaxConnections returns the connection limit of one endpoint, over all instances.
	MaxConnections func(service string) int
	// Registry returns the endpoints that may be used.
	Registry func() *catalog.Registry
	// Ownership returns whether an endpoint's connections have an owner and whether it is
	// this instance. If Ownership is nil, every endpoint is Unshared.
	Ownership func(e catalog.Endpoint) Ownership
	Log       *zap.Logger
	Metrics   *metrics.Set
}

// Ownership states whether one instance, the connection owner, keeps the connections to an
// endpoint for all instances.
type Ownership uint8

const (
	// Unshared means that each instance keeps its own connections.
	Unshared Ownership = iota
	// OwnedHere means that this instance is the connection owner.
	OwnedHere
	// OwnedElsewhere means that another instance is the connection owner. This instance
	// opens a connection only for what cannot go through the owner, within its part of what
	// the owner leaves free, and closes it as soon as it is released.
	OwnedElsewhere
)

// ownerShare is the connection owner's share of an endpoint's connections. The rest is for
// instances to which the owner does not respond, and for the next owner.
const ownerShare = 5.0 / 6

// Pools holds a connection pool for each endpoint.
type Pools struct {
	cfg Config

	mu    sync.Mutex
	pools map[string]*pool // guarded by mu
}

// NewPools returns Pools without connections.
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
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Pools{cfg: cfg, pools: make(map[string]*pool)}, nil
}

// pool holds the connections to one endpoint.
type pool struct {
	pools  *Pools
	health *Health
	id     string

	mu sync.Mutex
	// idle holds the idle connections, most recently used last. It is guarded by mu, like
	// all fields below.
	idle []*PooledConn
	// open counts the connections that are idle, in use or being opened.
	open    int
	waiters []*waiter // by the time at which they are due
	// busy counts the connections that occupy a slot of the endpoint: those in use outside
	// transactions. notified counts the waiters that may take one.
	busy, notified int
	// wakes counts the waiters that were notified.
	wakes uint64
	// demand is observed while this instance is the connection owner.
	demand demand
	// Until ownShareUntil the pool is limited to its own share; before nextDialAt it opens
	// no connection.
	ownShareUntil, nextDialAt time.Duration
	fullBackoff               time.Duration
	// Until repeatsUntil the endpoint counts as one that repeats answers.
	repeatsUntil time.Duration
	// nextReportAt is when a line about the endpoint's answers may be logged again.
	nextReportAt time.Duration
	// retired holds the organisations whose last connection was closed although it was in order,
	// since its answers would have been no evidence.
	retired map[string]struct{}
}

func (p *Pools) poolOf(id string) *pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.pools[id]
	if !ok {
		q = &pool{pools: p, health: p.cfg.Health, id: id, retired: make(map[string]struct{})}
		p.pools[id] = q
	}
	return q
}

// Acquire returns a connection of the organisation to the endpoint and waits for one if
// necessary, in the order of Turn. An error means that nothing was sent.
func (p *Pools) Acquire(ctx context.Context, e catalog.Endpoint, organisation string, t Turn) (*PooledConn, error) {
	q := p.poolOf(e.ID)
	owned := p.cfg.Ownership(e) == OwnedHere
	if owned {
		q.noteDemand(organisation)
	}
	t.setDefault(p.cfg.Clock())
	c := claim{organisation: organisation, turn: t, occupies: owned && !t.Transaction, expires: expiryOf(ctx, p.cfg.Clock())}
	for {
		c.share, c.maxOpen, _ = p.limits(e)
		pooled, evicted, dial, w := q.takeOrQueue(e, c)
		c.notified = false
		if evicted != nil {
			evicted.conn.Close()
		}
		if pooled != nil {
			pooled.Endpoint = e // its role may have changed
		}
		switch {
		case pooled != nil && pooled.reusable() && pooled.isQuiet():
			return pooled, nil
		case pooled != nil:
			pooled.Discard()
			continue
		case dial:
			pooled, err := q.connect(ctx, e, c)
			if err == nil || !isFullErr(err) {
				return pooled, err
			}
			continue
		case w == nil:
			return nil, noConnectionErr(e)
		}
		select {
		case <-w.notify:
			if w.dropped {
				return nil, noConnectionErr(e)
			}
			c.notified = true
		case <-ctx.Done():
			q.removeWaiter(w)
			return nil, noConnectionErr(e)
		}
	}
}

// HasIdle reports whether the organisation has an idle connection to the endpoint, or had one that
// was closed only because its answers would have been no evidence. An endpoint that sends errors
// would otherwise be avoided for good, once it has recovered.
func (p *Pools) HasIdle(endpoint, organisation string) bool {
	q := p.poolOf(endpoint)
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, retired := q.retired[organisation]; retired {
		return true
	}
	return slices.ContainsFunc(q.idle, func(pc *PooledConn) bool { return pc.Organisation == organisation })
}

// limits returns this instance's share of an endpoint's connections, how many it may open
// while the endpoint is not full, and up to how many idle ones it keeps open.
func (p *Pools) limits(e catalog.Endpoint) (share, maxOpen, keepIdle int) {
	total := max(1, p.cfg.MaxConnections(e.Service))
	switch p.cfg.Ownership(e) {
	case OwnedHere:
		share = max(1, int(float64(total)*ownerShare))
		return share, share, share
	case OwnedElsewhere:
		left := float64(total) * (1 - ownerShare) / float64(max(1, p.cfg.Members()-1))
		share = max(1, int(left))
		return share, share, 0
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

// takeOrQueue returns one of: an idle connection of the organisation; permission to dial a
// new one, together with an idle connection that must be closed for it, if any; or a waiter
// that has been queued. It returns none of them when the queue is full, or when the statement
// could not run in its time.
func (q *pool) takeOrQueue(e catalog.Endpoint, c claim) (pooled, evicted *PooledConn, dial bool, w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.notified {
		q.notified--
	}
	if c.occupies && !q.hasSlot(e) {
		return nil, nil, false, q.enqueue(e, c)
	}
	organisation, share, maxOpen := c.organisation, c.share, c.maxOpen
	defer func() {
		if c.occupies && (pooled != nil || dial) {
			q.occupy(pooled)
		}
	}()
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
		n := q.demand.leastWanted(q.idle, q.pools.cfg.Clock())
		evicted = q.idle[n]
		q.idle = slices.Delete(q.idle, n, n+1)
		return nil, evicted, true, nil
	}
	return nil, nil, false, q.enqueue(e, c)
}

// noteDemand records that the organisation acquires a connection.
func (q *pool) noteDemand(organisation string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.demand.note(organisation, q.pools.cfg.Clock())
}

// connect opens a connection that takeOrQueue has already counted in q.open.
func (q *pool) connect(ctx context.Context, e catalog.Endpoint, c claim) (*PooledConn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := q.pools.cfg.Dialer.Dial(ctx, e, c.organisation)
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
		if c.occupies {
			q.busy--
		}
		q.noteClosed()
		return nil, err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.fullBackoff = 0
	delete(q.retired, c.organisation)
	return &PooledConn{Endpoint: e, Organisation: c.organisation, conn: conn, pool: q, occupies: c.occupies, answers: newAttribution()}, nil
}

// noteRepetition records that the endpoint has sent an answer again.
func (q *pool) noteRepetition() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.repeatsUntil = q.pools.cfg.Clock() + repetitionMemory
}

// mayReport reports whether a line about the endpoint's answers may be logged now.
func (q *pool) mayReport() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.pools.cfg.Clock()
	if now < q.nextReportAt {
		return false
	}
	q.nextReportAt = now + reportInterval
	return true
}

// repeats reports whether the endpoint is known to repeat answers.
func (q *pool) repeats() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pools.cfg.Clock() < q.repeatsUntil
}

// noteFull starts the backoff and limits the pool to its own share, after the endpoint has
// refused a connection because it was full. The caller holds mu.
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

// noteClosed decrements the connection count and notifies a waiter. The caller holds mu.
func (q *pool) noteClosed() {
	q.open--
	q.notifyFirst()
}

func (q *pool) release(pc *PooledConn) {
	reusable := pc.reusable()
	if _, _, keepIdle := q.pools.limits(pc.Endpoint); pc.broken || pc.inTransaction || keepIdle == 0 || !reusable {
		pc.conn.Close()
		q.mu.Lock()
		defer q.mu.Unlock()
		if !reusable || pc.unattributed {
			q.retired[pc.Organisation] = struct{}{}
		}
		q.vacate(pc)
		q.noteClosed()
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.vacate(pc)
	pc.idleSince = q.pools.cfg.Clock()
	q.idle = append(q.idle, pc)
	q.notifyFirst()
}

// Run closes surplus idle connections periodically until ctx ends, then all idle ones.
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

// closeSurplus closes the idle connections that were idle for too long, exceed the number
// this instance keeps, or lead to endpoints that are draining, evacuated, removed or restarted. With
// all, it closes every idle connection.
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

// removeSurplus removes the idle connections that are to be closed and returns them.
func (q *pool) removeSurplus(registry *catalog.Registry, all bool) []*PooledConn {
	q.mu.Lock()
	defer q.mu.Unlock()
	var closing []*PooledConn
	now := q.pools.cfg.Clock()
	q.idle = slices.DeleteFunc(q.idle, func(pc *PooledConn) bool {
		current, registered := registry.Endpoints[q.id]
		_, _, keepIdle := q.pools.limits(pc.Endpoint)
		obsolete := all || !registered || !current.TakesNewWork() || current.StartedAt != pc.Endpoint.StartedAt
		if obsolete || now-pc.idleSince > idleTimeout || q.open > keepIdle {
			q.open--
			closing = append(closing, pc)
			return true
		}
		return false
	})
	return closing
}
