package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/grpcplatform"
	"github.com/hornbeamlock/hornbeamlock/internal/harness"
	"github.com/hornbeamlock/hornbeamlock/internal/load"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/relay"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	baselineProbeInterval = time.Second
	baselineProbeTimeout  = 500 * time.Millisecond
	// baselineProbeFailures is the number of consecutive failed probes after which a
	// primary is replaced.
	baselineProbeFailures    = 3
	baselineStatementTimeout = 10 * time.Second
)

// baseline is a conventional setup for comparison. Each instance has a pool of
// fixed size for every endpoint and an equal static share of every rate, and reads
// from the primary for a time after a write and from replicas otherwise. One monitor
// replaces a primary that fails several consecutive probes. The baseline has no
// floors and doesn't confirm that a primary is still current.
type baseline struct {
	opts      options
	instances []*baselineInstance
	tasks     *tomb.Tomb

	replicaReads, primaryReads atomic.Int64
}

// baselineInstance is one simulated proxy.
type baselineInstance struct {
	baseline *baseline
	domain   string
	services map[string]*baselineService
	limiters map[string]*rate.Limiter
	adapter  *grpcplatform.Adapter
	// generation counts restarts; sessions of an older generation are closed.
	generation atomic.Int64
}

// baselineService is an instance's view of a database group.
type baselineService struct {
	group     *database.Group
	endpoints []*baselinePool
	// primary is the index of the endpoint that the instance uses as primary.
	primary atomic.Int32
}

// baselinePool is an instance's connection pool of fixed size for an endpoint.
type baselinePool struct {
	agent  platform.GroupServer
	config *pgx.ConnConfig
	idle   chan *pgx.Conn // free connections of the pool; nil stands for one that is not open
}

func newBaseline(opts options, fleet *harness.Fleet) (*baseline, error) {
	b := &baseline{opts: opts, tasks: new(tomb.Tomb)}
	for _, place := range opts.deployment.Instances() {
		instance, err := b.newInstance(fleet, place.FailureDomain)
		if err != nil {
			b.close()
			return nil, trace.Wrap(err)
		}
		b.instances = append(b.instances, instance)
	}
	for i, instance := range b.instances {
		for _, service := range instance.services {
			b.tasks.Go(func() error { return service.pollPrimary(b.tasks, i == 0) })
		}
	}
	return b, nil
}

func (b *baseline) newInstance(fleet *harness.Fleet, domain string) (*baselineInstance, error) {
	dial := func(_ context.Context, address string) (net.Conn, error) {
		return fleet.Links.Dial(relay.Direction{From: domain}, address), nil
	}
	adapter, err := grpcplatform.New(grpcplatform.Config{
		Address: fleet.Platform.Address(), Dial: dial, CallTimeout: baselineProbeTimeout,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d := b.opts.deployment
	instance := &baselineInstance{
		baseline: b, domain: domain, adapter: adapter,
		services: make(map[string]*baselineService), limiters: make(map[string]*rate.Limiter),
	}
	count := float64(d.InstanceCount)
	for _, o := range d.Organisations {
		instance.limiters[o.Name] = rate.NewLimiter(rate.Limit(o.Rate/count), max(1, int(o.Burst/count)))
	}
	for _, group := range fleet.Groups {
		service := &baselineService{group: group}
		for _, server := range group.Servers() {
			config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable",
				group.Username(), group.Password(), fleet.DatabaseAddress(server), group.Service()))
			if err != nil {
				return nil, trace.Wrap(err)
			}
			config.DialFunc = func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }
			pool := &baselinePool{
				agent:  adapter.Platform().Groups.GroupServer(fleet.ControlAddress(server)),
				config: config,
				idle:   make(chan *pgx.Conn, max(1, d.Connections/d.InstanceCount)),
			}
			for range cap(pool.idle) {
				pool.idle <- nil
			}
			service.endpoints = append(service.endpoints, pool)
		}
		instance.services[group.Service()] = service
	}
	return instance, nil
}

// pollPrimary refreshes the primary periodically until the tomb dies. The monitor
// also replaces a primary after several failures.
func (s *baselineService) pollPrimary(t *tomb.Tomb, monitor bool) error {
	failures := 0
	ticker := time.NewTicker(baselineProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.Dying():
			return nil
		case <-ticker.C:
		}
		ctx := t.Context(context.Background())
		if s.refreshPrimary(ctx) {
			failures = 0
			continue
		}
		failures++
		if monitor && failures >= baselineProbeFailures {
			s.promote(ctx)
		}
	}
}

// refreshPrimary polls all agents and selects the primary with the highest term. It
// reports whether there is one.
func (s *baselineService) refreshPrimary(ctx context.Context) bool {
	found, highest := -1, uint64(0)
	for i, status := range s.statuses(ctx) {
		if status.Primary && status.PromisedTerm > highest {
			found, highest = i, status.PromisedTerm
		}
	}
	if found >= 0 {
		s.primary.Store(int32(found))
	}
	return found >= 0
}

// statuses polls all agents concurrently. The status of an agent that doesn't respond
// is the zero value.
func (s *baselineService) statuses(ctx context.Context) []platform.ServerStatus {
	statuses := make([]platform.ServerStatus, len(s.endpoints))
	var calls sync.WaitGroup
	for i, endpoint := range s.endpoints {
		calls.Go(func() { statuses[i], _ = endpoint.agent.Status(ctx) })
	}
	calls.Wait()
	return statuses
}

// promote promotes the server with the highest durable position if a majority of the
// agents accepts the new term.
func (s *baselineService) promote(ctx context.Context) {
	term := uint64(0)
	for _, status := range s.statuses(ctx) {
		term = max(term, status.PromisedTerm)
	}
	term++
	proposer := fmt.Sprintf("monitor-%d", rand.Uint64())
	best, granted := -1, 0
	var bestStatus platform.ServerStatus
	for i, endpoint := range s.endpoints {
		ok, status, err := endpoint.agent.Prepare(ctx, term, proposer)
		if err != nil || !ok {
			continue
		}
		granted++
		if best < 0 || bestStatus.Durable.Less(status.Durable) {
			best, bestStatus = i, status
		}
	}
	if 2*granted <= len(s.endpoints) {
		return
	}
	var peers []string
	for i, server := range s.group.Servers() {
		if i != best {
			peers = append(peers, server.ControlAddress())
		}
	}
	_, _, _ = s.endpoints[best].agent.Promote(ctx, term, proposer, peers)
}

// adapt implements policy.
func (b *baseline) adapt(p *load.Plan) {
	p.Instances = make([]string, len(b.instances))
	p.Dial = func(_ context.Context, r load.DialRequest) (load.Connection, error) {
		instance := b.instances[r.Instance%len(b.instances)]
		return &baselineSession{
			instance: instance, generation: instance.generation.Load(),
			service: instance.services[r.Service], limiter: instance.limiters[r.Organisation],
		}, nil
	}
}

// restart implements policy.
func (b *baseline) restart(_ context.Context, instance int) { b.instances[instance].generation.Add(1) }

// replicaReadShare implements policy.
func (b *baseline) replicaReadShare(context.Context) float64 {
	replica, primary := float64(b.replicaReads.Load()), float64(b.primaryReads.Load())
	if replica+primary == 0 {
		return 0
	}
	return replica / (replica + primary)
}

// measureIdle implements policy; the baseline has no processes of its own.
func (b *baseline) measureIdle(context.Context, *result) error { return nil }

func (b *baseline) close() {
	b.tasks.Kill(nil)
	if len(b.instances) > 0 {
		_ = b.tasks.Wait()
	}
	for _, instance := range b.instances {
		_ = instance.adapter.Close()
		for _, service := range instance.services {
			for _, pool := range service.endpoints {
				pool.close()
			}
		}
	}
}

func (p *baselinePool) close() {
	for range cap(p.idle) {
		select {
		case conn := <-p.idle:
			if conn != nil {
				ctx, cancel := context.WithTimeout(context.Background(), baselineProbeTimeout)
				_ = conn.Close(ctx)
				cancel()
			}
		default:
			return
		}
	}
}

// withConnection calls f with a connection of the pool, which it opens if necessary.
func (p *baselinePool) withConnection(ctx context.Context, f func(*pgx.Conn) error) error {
	var conn *pgx.Conn
	select {
	case conn = <-p.idle:
	case <-ctx.Done():
		return refusal(verdict.CodeTooManyConnections, "no connection was free")
	}
	defer func() { p.idle <- conn }()
	if conn == nil || conn.IsClosed() {
		opened, err := pgx.ConnectConfig(ctx, p.config)
		if err != nil {
			conn = nil
			return refusal(verdict.CodeCannotConnectNow, "endpoint does not answer")
		}
		conn = opened
	}
	return f(conn)
}

// refusal returns an error with the verdict that the request was not run.
func refusal(code, message string) error {
	refused := verdict.New(verdict.NotRun, code, "%s", message)
	return &pgconn.PgError{Code: code, Message: message, Detail: refused.Detail()}
}

// baselineSession implements load.Connection.
type baselineSession struct {
	instance   *baselineInstance
	generation int64
	service    *baselineService
	limiter    *rate.Limiter
	lastWrite  time.Time
}

// Exec implements load.Connection for writes.
func (s *baselineSession) Exec(ctx context.Context, sql string, args ...any) (tag pgconn.CommandTag, err error) {
	if !s.limiter.Allow() {
		return tag, refusal(verdict.CodeConfigurationLimit, "rate exceeded")
	}
	ctx, cancel := context.WithTimeout(ctx, baselineStatementTimeout)
	defer cancel()
	s.lastWrite = time.Now()
	err = s.service.endpoints[s.service.primary.Load()].withConnection(ctx, func(conn *pgx.Conn) error {
		var err error
		tag, err = conn.Exec(ctx, sql, args...)
		return err
	})
	s.lastWrite = time.Now()
	return tag, err
}

// QueryRow implements load.Connection for reads.
func (s *baselineSession) QueryRow(ctx context.Context, sql string, args ...any) pgx.Row {
	return rowFunc(func(into ...any) error {
		if !s.limiter.Allow() {
			return refusal(verdict.CodeConfigurationLimit, "rate exceeded")
		}
		ctx, cancel := context.WithTimeout(ctx, baselineStatementTimeout)
		defer cancel()
		return s.endpointForRead().withConnection(ctx, func(conn *pgx.Conn) error {
			return conn.QueryRow(ctx, sql, args...).Scan(into...)
		})
	})
}

// endpointForRead returns the primary for a time after a write, otherwise a random
// replica.
func (s *baselineSession) endpointForRead() *baselinePool {
	b := s.instance.baseline
	primary := int(s.service.primary.Load())
	if b.opts.pin == 0 || time.Since(s.lastWrite) < b.opts.pin {
		b.primaryReads.Add(1)
		return s.service.endpoints[primary]
	}
	b.replicaReads.Add(1)
	others := len(s.service.endpoints) - 1
	return s.service.endpoints[(primary+1+rand.IntN(others))%len(s.service.endpoints)]
}

// rowFunc is a row whose query runs when it is scanned.
type rowFunc func(into ...any) error

// Scan implements pgx.Row.
func (f rowFunc) Scan(into ...any) error { return f(into...) }

// IsClosed implements load.Connection.
func (s *baselineSession) IsClosed() bool { return s.generation != s.instance.generation.Load() }

// Close implements load.Connection.
func (s *baselineSession) Close(context.Context) error { return nil }

// Floor implements load.Connection; the baseline has no floors.
func (s *baselineSession) Floor() string { return "" }
