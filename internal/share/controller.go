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

// maxQueuedTasks bounds the tasks that wait to be started.
const maxQueuedTasks = 256

// Controller divides limits; see the package comment.
type Controller struct {
	cfg            Config
	store          *store
	session        *session
	directory      atomic.Pointer[directory]
	sequence       atomic.Uint64 // of requests to allocators
	sessionRemoved atomic.Bool   // set when the table contradicts the session
	// tableAvailable is false while calls to the table fail.
	tableAvailable atomic.Bool
	triggered      chan struct{}
	tasks          chan func(context.Context)

	messages  *expvar.Int
	conflicts *expvar.Int

	mu          sync.RWMutex
	accounts    map[string]*Account    // guarded by mu
	allocations map[string]*allocation // guarded by mu

	activeMu sync.Mutex
	active   map[string]*Account // guarded by activeMu; accounts in use

	suspectMu sync.Mutex
	suspects  map[string]time.Duration // guarded by suspectMu; the end of the suspicion, by instance
}

// New returns a controller, which does nothing until Run is called.
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
		triggered:   make(chan struct{}, 1),
		tasks:       make(chan func(context.Context), maxQueuedTasks),
		messages:    cfg.Metrics.Counter("share_messages_total"),
		conflicts:   cfg.Metrics.Counter("share_table_conflicts_total"),
		accounts:    make(map[string]*Account),
		allocations: make(map[string]*allocation),
		active:      make(map[string]*Account),
		suspects:    make(map[string]time.Duration),
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

// Run runs the controller until ctx ends, then returns what the instance holds.
func (c *Controller) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error { return c.watch(ctx) })
	t.Go(func() error { return c.tick(ctx) })
	t.Go(func() error { return c.dispatch(ctx, t) })
	t.Go(func() error { return c.runRenewer(ctx) })
	err := t.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// dispatch starts the tasks queued by spawn.
func (c *Controller) dispatch(ctx context.Context, t *tomb.Tomb) error {
	for {
		select {
		case f := <-c.tasks:
			t.Go(func() error {
				f(ctx)
				return nil
			})
		case <-ctx.Done():
			return nil
		}
	}
}

// spawn queues f to run soon and reports whether it did. It drops f when the queue
// is full; the callers try again at a later tick.
func (c *Controller) spawn(f func(context.Context)) bool {
	select {
	case c.tasks <- f:
		return true
	default:
		return false
	}
}

// trigger makes the renewer run its next step at once.
func (c *Controller) trigger() {
	select {
	case c.triggered <- struct{}{}:
	default:
	}
}

// ReportDemand reports that amount tokens or units of a limit were requested
// without success. The controller requests more at once, unless it is backing off.
// An amount of 0 repeats earlier demand that is still waiting.
func (c *Controller) ReportDemand(resource string, amount float64) {
	a := c.account(resource)
	if a == nil {
		return
	}
	now := c.cfg.Clock()
	a.mu.Lock()
	if amount > 0 {
		a.demand.recordUnmet(now, amount, a.limit)
	}
	renew := !a.renewing && now >= a.backoffUntil
	a.mu.Unlock()
	c.activate(a)
	if renew {
		c.startRenewal(a)
	}
}

// startRenewal starts a renewal of an account, unless one is in flight.
func (c *Controller) startRenewal(a *Account) {
	a.mu.Lock()
	inFlight := a.renewing
	a.renewing = true
	a.mu.Unlock()
	if inFlight {
		return
	}
	if !c.spawn(func(ctx context.Context) { c.renewAccount(ctx, a) }) {
		a.mu.Lock()
		a.renewing = false
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

// activeAccounts returns a copy of the accounts in use.
func (c *Controller) activeAccounts() []*Account {
	c.activeMu.Lock()
	defer c.activeMu.Unlock()
	all := make([]*Account, 0, len(c.active))
	for _, a := range c.active {
		all = append(all, a)
	}
	return all
}

// tick updates the demand estimates and starts the renewals that are due.
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
			due, idle := a.due(c.cfg.Clock(), c.cfg.HoldingLease, c.minUnits(a.resource))
			switch {
			case due:
				c.startRenewal(a)
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

// suspect makes requests skip an allocator for suspectTTL.
func (c *Controller) suspect(id string) {
	c.suspectMu.Lock()
	defer c.suspectMu.Unlock()
	c.suspects[id] = c.cfg.Clock() + suspectTTL
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

// allocatorOf returns the instance to request a limit's units from.
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

// limits returns the limits of the configuration by resource name.
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
