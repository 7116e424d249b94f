package share

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

// maxSpawned bounds the requests under way at once.
const maxSpawned = 256

// Controller divides limits; see the package comment.
type Controller struct {
	cfg       Config
	store     *store
	session   *session
	directory atomic.Pointer[directory]
	sequence  atomic.Uint64 // of requests to allocators
	voided    atomic.Bool   // the session was found to be gone
	// tableAnswers is false while calls of the table fail.
	tableAnswers atomic.Bool
	kicked       chan struct{}
	spawned      chan func(context.Context)

	messages  *expvar.Int
	conflicts *expvar.Int

	mu       sync.RWMutex
	accounts map[string]*Account // guarded by mu
	parts    map[string]*part    // guarded by mu

	activeMu sync.Mutex
	active   map[string]*Account // guarded by activeMu; accounts in use

	suspectMu sync.Mutex
	suspects  map[string]time.Duration // guarded by suspectMu; until when
}

// New returns a controller that does nothing before Run.
func New(cfg Config) (*Controller, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	c := &Controller{
		cfg: cfg,
		store: &store{
			table: cfg.Table, clock: cfg.Clock, timeout: cfg.TableTimeout,
			writes: cfg.Metrics.Counter("share_table_writes_total"),
			reads:  cfg.Metrics.Counter("share_table_reads_total"),
		},
		kicked:    make(chan struct{}, 1),
		spawned:   make(chan func(context.Context), maxSpawned),
		messages:  cfg.Metrics.Counter("share_messages_total"),
		conflicts: cfg.Metrics.Counter("share_table_conflicts_total"),
		accounts:  make(map[string]*Account),
		parts:     make(map[string]*part),
		active:    make(map[string]*Account),
		suspects:  make(map[string]time.Duration),
	}
	c.session = &session{store: c.store, self: cfg.Self}
	if cfg.Ended != nil {
		c.session.serving = func() lease.Lease { return cfg.Board.Lease.Get().Lease }
	}
	cfg.Metrics.Gauge("share_session_left_seconds", func() any { return c.session.left(cfg.Clock()).Seconds() })
	c.refreshMembers()
	c.refreshLimits()
	return c, nil
}

// Run works until ctx ends, then hands back what the instance holds.
func (c *Controller) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error { return c.watch(ctx) })
	t.Go(func() error { return c.tick(ctx) })
	t.Go(func() error { return c.dispatch(ctx, t) })
	t.Go(func() error { return c.lease(ctx) })
	err := t.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// dispatch starts the requests that were handed to spawn.
func (c *Controller) dispatch(ctx context.Context, t *tomb.Tomb) error {
	for {
		select {
		case f := <-c.spawned:
			t.Go(func() error {
				f(ctx)
				return nil
			})
		case <-ctx.Done():
			return nil
		}
	}
}

// spawn has f run soon. It drops f when too much is waiting; whoever needs it
// comes back at a later tick.
func (c *Controller) spawn(f func(context.Context)) bool {
	select {
	case c.spawned <- f:
		return true
	default:
		return false
	}
}

// kick wakes the worker.
func (c *Controller) kick() {
	select {
	case c.kicked <- struct{}{}:
	default:
	}
}

// ReportDemand tells that amount tokens or units of a limit were asked for in vain.
// The controller asks for more at once unless there is known to be none. An amount
// of 0 repeats earlier demand that is still waiting.
func (c *Controller) ReportDemand(resource string, amount float64) {
	a := c.account(resource)
	if a == nil {
		return
	}
	now := c.cfg.Clock()
	a.mu.Lock()
	if amount > 0 {
		a.demand.note(now, amount, a.limit)
	}
	ask := !a.asking && now >= a.emptyUntil
	a.mu.Unlock()
	c.activate(a)
	if ask {
		c.askSoon(a)
	}
}

// askSoon has an account renewed, unless that is under way.
func (c *Controller) askSoon(a *Account) {
	a.mu.Lock()
	started := a.asking
	a.asking = true
	a.mu.Unlock()
	if started {
		return
	}
	if !c.spawn(func(ctx context.Context) { c.renew(ctx, a) }) {
		a.mu.Lock()
		a.asking = false
		a.mu.Unlock()
	}
}

func (c *Controller) account(resource string) *Account {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.accounts[resource]
}

func (c *Controller) activate(a *Account) {
	c.activeMu.Lock()
	defer c.activeMu.Unlock()
	c.active[a.resource] = a
}

// activeAccounts copies the accounts in use.
func (c *Controller) activeAccounts() []*Account {
	c.activeMu.Lock()
	defer c.activeMu.Unlock()
	all := make([]*Account, 0, len(c.active))
	for _, a := range c.active {
		all = append(all, a)
	}
	return all
}

// tick estimates demand and renews what is due.
func (c *Controller) tick(ctx context.Context) error {
	ticker := time.NewTicker(c.cfg.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		for _, a := range c.activeAccounts() {
			due, idle := a.due(c.cfg.Clock(), c.cfg.HoldingLease, c.leastUnits(a.resource))
			switch {
			case due:
				c.askSoon(a)
			case idle:
				c.deactivate(a)
			}
		}
	}
}

func (c *Controller) deactivate(a *Account) {
	c.activeMu.Lock()
	defer c.activeMu.Unlock()
	delete(c.active, a.resource)
}

// suspect passes over an allocator for some time.
func (c *Controller) suspect(id string) {
	c.suspectMu.Lock()
	defer c.suspectMu.Unlock()
	c.suspects[id] = c.cfg.Clock() + suspectTime
}

func (c *Controller) suspected(id string) bool {
	c.suspectMu.Lock()
	defer c.suspectMu.Unlock()
	until, ok := c.suspects[id]
	if ok && c.cfg.Clock() >= until {
		delete(c.suspects, id)
		return false
	}
	return ok
}

// allocatorOf returns the instance to ask for a limit.
func (c *Controller) allocatorOf(resource string) string {
	if c.cfg.Peers == nil {
		return c.cfg.Self.ID
	}
	d := c.directory.Load()
	id := d.allocator(d.self.FailureDomain, resource)
	if id == "" || !c.suspected(id) {
		return id
	}
	if other := d.fallback(resource, c.suspected); other != "" {
		return other
	}
	return c.cfg.Self.ID
}

// limits lists the limits of the configuration by resource name.
func (c *Controller) limits() map[string]escrow.Limit {
	view := c.cfg.Board.Configuration.Get()
	all := make(map[string]escrow.Limit, len(view.Organisations)+len(view.Endpoints))
	for name, o := range view.Organisations {
		all[RateResource(name)] = escrow.Limit{Units: escrow.RateUnits, Rate: o.GetRate(), Burst: o.GetBurst()}
	}
	for id, e := range view.Endpoints {
		all[ConnectionResource(id)] = escrow.Limit{Units: int64(e.Endpoint.GetConnections())}
	}
	return all
}
