// Package pool keeps an instance's connections to the endpoints. It reads the
// blackboard's Configuration and Shares and writes nothing there. Its invariants:
// an endpoint never has more connections from this instance than the instance's
// share was when the last one was opened; a connection serves one lease at a time
// and is clean when the lease begins; no lease is given for a leaving endpoint.
package pool

import (
	"context"
	"hash/maphash"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const shardCount = 16

// sharePrefix is the prefix of the resource names of connection shares.
const sharePrefix = "conn/"

// Config configures Pools.
type Config struct {
	Board   *blackboard.Board
	Log     *zap.Logger
	Metrics *metrics.Set
	// Tracer records spans of the waits for a queue slot and for a connection; nil
	// records none.
	Tracer oteltrace.Tracer
	// Dial opens the transport; the default is TCP with keep-alive.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// ReportDemand reports unmet demand to the share controller; may be nil.
	ReportDemand func(resource string, amount float64)
	// ReportFailure reports a failed connection to the group controller; may be nil.
	ReportFailure func(endpointID string, err error)
	// Now is the clock; default time.Now.
	Now func() time.Time
	// ConnectTimeout bounds the opening of a connection; default 1 s.
	ConnectTimeout time.Duration
	// IdleProbeThreshold is the idle time after which a connection is probed before use;
	// default 5 s.
	IdleProbeThreshold time.Duration
	// ProbeTimeout bounds a probe; default 250 ms.
	ProbeTimeout time.Duration
	// IdleTimeout is the idle time after which a connection is closed; default 5 min.
	IdleTimeout time.Duration
	// ResetTimeout bounds the reset of a used connection; default 1 s.
	ResetTimeout time.Duration
	// MaxWaiting and MaxWaitingPerOrganisation bound the number of requests that wait
	// for one endpoint; 0 means the defaults of package fairqueue.
	MaxWaiting                int
	MaxWaitingPerOrganisation int
	// MaintenanceInterval is the interval at which surplus connections are closed and
	// the queues are dispatched; default 500 ms.
	MaintenanceInterval time.Duration
}

// CheckAndSetDefaults validates the configuration.
func (c *Config) CheckAndSetDefaults() error {
	if c.Board == nil {
		return trace.BadParameter("pool: Board is required")
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.ReportDemand == nil {
		c.ReportDemand = func(string, float64) {}
	}
	if c.ReportFailure == nil {
		c.ReportFailure = func(string, error) {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	setDefault(&c.ConnectTimeout, time.Second)
	setDefault(&c.IdleProbeThreshold, 5*time.Second)
	setDefault(&c.ProbeTimeout, 250*time.Millisecond)
	setDefault(&c.IdleTimeout, 5*time.Minute)
	setDefault(&c.ResetTimeout, time.Second)
	setDefault(&c.MaintenanceInterval, 500*time.Millisecond)
	return nil
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}

// Pools are the pools of all endpoints.
type Pools struct {
	cfg     Config
	seed    maphash.Seed
	shards  [shardCount]shard
	metrics counters

	tomb *tomb.Tomb
	ctx  context.Context // cancelled when the tomb is killed
	mu   sync.Mutex
	// running is true while the tomb accepts background work. Guarded by mu.
	running bool
}

type shard struct {
	mu    sync.RWMutex
	pools map[string]*endpointPool // guarded by mu
}

// New returns pools without connections. Leases may be acquired before Run.
func New(cfg Config) (*Pools, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Pools{cfg: cfg, seed: maphash.MakeSeed()}
	p.tomb, p.ctx = tomb.WithContext(context.Background())
	p.metrics = newCounters(cfg.Metrics, p)
	for i := range p.shards {
		p.shards[i].pools = make(map[string]*endpointPool)
	}
	return p, nil
}

// Run maintains the connections until ctx ends, then closes the idle ones.
func (p *Pools) Run(ctx context.Context) error {
	p.setRunning(true)
	<-ctx.Done()
	p.setRunning(false)
	err := p.tomb.Wait()
	p.closeAll()
	return trace.Wrap(err)
}

// setRunning starts or kills the tomb. Its first goroutine runs until the tomb is
// killed, so that background work can be added until then.
func (p *Pools) setRunning(running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running = running
	if running {
		p.tomb.Go(p.maintain)
		return
	}
	p.tomb.Kill(nil)
}

// Request describes a request for a connection.
type Request struct {
	Endpoint     string
	Organisation string
	// Weight is the organisation's relative share of scarce capacity; 0 means 1.
	Weight uint32
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Settings are the session's endpoint settings; an idle connection that already
	// has them is preferred.
	Settings string
}

// Acquire waits for a slot in the endpoint's queue and returns a clean connection.
// Every error is a NotRun verdict.
func (p *Pools) Acquire(ctx context.Context, r Request) (*Lease, error) {
	entry, ok := p.cfg.Board.Configuration.Get().Endpoints[r.Endpoint]
	if !ok || entry.Endpoint.GetLeaving() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "endpoint %s takes no new work", r.Endpoint)
	}
	pool := p.poolOf(r.Endpoint)
	if int(pool.inFlight.Add(1)) > pool.limit() {
		p.cfg.ReportDemand(sharePrefix+r.Endpoint, 1)
		pool.watchGrowth()
	}
	lease, err := pool.acquire(ctx, r)
	if err != nil {
		pool.inFlight.Add(-1)
		return nil, err
	}
	return lease, nil
}

// startWait starts the span of a wait and returns the function that ends it.
func (p *Pools) startWait(ctx context.Context, name string) (context.Context, func()) {
	if p.cfg.Tracer == nil {
		return ctx, func() {}
	}
	ctx, span := p.cfg.Tracer.Start(ctx, name)
	return ctx, func() { span.End() }
}

// InFlight returns the number of leases of the endpoint that are held or waited for.
func (p *Pools) InFlight(endpointID string) int {
	s := p.shardOf(endpointID)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if pool, ok := s.pools[endpointID]; ok {
		return int(pool.inFlight.Load())
	}
	return 0
}

func (p *Pools) shardOf(id string) *shard {
	return &p.shards[maphash.String(p.seed, id)%shardCount]
}

// poolOf returns the endpoint's pool, created at the first request.
func (p *Pools) poolOf(id string) *endpointPool {
	s := p.shardOf(id)
	s.mu.RLock()
	pool, ok := s.pools[id]
	s.mu.RUnlock()
	if ok {
		return pool
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if pool, ok := s.pools[id]; ok {
		return pool
	}
	pool = newEndpointPool(p, id)
	s.pools[id] = pool
	return pool
}

// allPools returns a snapshot of the list of pools.
func (p *Pools) allPools() []*endpointPool {
	var list []*endpointPool
	for i := range p.shards {
		s := &p.shards[i]
		s.mu.RLock()
		for _, pool := range s.pools {
			list = append(list, pool)
		}
		s.mu.RUnlock()
	}
	return list
}
